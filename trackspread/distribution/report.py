"""What one gateway holds of the configuration that is handed down, for operators.

May know: the host and its core. Decides nothing.
"""

from __future__ import annotations

import msgspec

from .host import SubscriberHost
from .log import fingerprint
from .terms import SECOND, Epoch


class Report(msgspec.Struct, frozen=True):
    """`age_s`: for how long replicas may have had something newer; None where nothing was ever had.
    `values`: the same at all gateways with the same services and version."""

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


def report(now: int, host: SubscriberHost) -> Report:
    core = host.core
    age, version = core.age(now), core.version
    return Report(
        host.name,
        version.history,
        version.epoch,
        version.sequence,
        round(age / SECOND, 3) if age is not None else None,
        "{}:{}".format(*core.target),
        len(core.snapshot),
        sum(map(len, core.snapshot.values())),
        fingerprint(core.snapshot),
        dict(host.counts),
        dict(host.wire.dropped),
    )
