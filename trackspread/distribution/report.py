"""What one gateway has of the configuration that is distributed, as JSON for operators. Decides nothing."""

from __future__ import annotations

import msgspec

from .host import SubscriberHost
from .log import fingerprint
from ..decide.time_units import SECOND
from ..membership.identifiers import Epoch


class SubscriptionReport(msgspec.Struct, frozen=True):
    """Field names are those of the JSON. `age_s`: for how long replicas may have had something newer; None
    where nothing was ever received. `values`: a digest, the same at all gateways with the same services and
    version."""

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
    """The report of one gateway at `now`, ns."""
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
