"""Reports one gateway's subscription to the distributed configuration as JSON for operators.

The module decides nothing.
"""

from __future__ import annotations

import msgspec

from .host import SubscriberHost
from .log import fingerprint
from ..decide.time_units import SECOND
from ..membership.identifiers import Epoch


class SubscriptionReport(msgspec.Struct, frozen=True):
    """Holds the report of one gateway; the field names are those of the JSON.

    `age_s` is the time for which replicas may have had something newer, or None if nothing was ever received.
    `values` is a digest, which is the same at all gateways with the same services and version.
    """

    name: str
    history: int
    epoch: Epoch
    sequence: int
    age_s: float | None
    replica: str
    services: int
    keys: int
    values: str
    counts: dict[str, int]
    dropped: dict[str, int]


def subscription_report(now: int, host: SubscriberHost) -> SubscriptionReport:
    """Returns the report of one gateway at `now`, in nanoseconds."""
    core = host.core
    age_ns = core.age_ns(now)
    return SubscriptionReport(
        name=host.name,
        history=core.version.history,
        epoch=core.version.epoch,
        sequence=core.version.sequence,
        age_s=round(age_ns / SECOND, 3) if age_ns is not None else None,
        replica="{}:{}".format(*core.replica),
        services=len(core.snapshot),
        keys=sum(map(len, core.snapshot.values())),
        values=fingerprint(core.snapshot),
        counts=dict(host.counts),
        dropped=dict(host.wire.dropped),
    )
