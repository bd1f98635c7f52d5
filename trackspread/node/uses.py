"""The gateway's side of use records: its names and settings to a host, its answers to records.

May know: calls, configuration, the host. Decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..call import Call
from ..config.addresses import ConfigError
from ..config.operator import Use
from ..config.platform import Config
from ..storage.slots import SLOT
from ..usage.control import Names
from ..usage.host import UseHost
from ..usage.ledger import Bounds
from ..usage.record import Ending
from ..usage.senders import Sender, configured_sender

MEGABYTE = 1 << 20


def bounds(use: Use) -> Bounds:
    slots = max(64, int(use.segment_mb * MEGABYTE) // SLOT)
    return Bounds(
        slots,
        max(4, int(use.disk_mb / use.segment_mb)),
        int(use.commit_ms * 1e6),
        int(use.batch_s * 1e9),
        use.when_full,
    )


def way(use: Use) -> Sender | None:
    """To billing; raises `ConfigError`."""
    if not use.billing:
        return None
    try:
        return configured_sender(use.billing, use.secret, use.ca)
    except (OSError, ValueError) as error:
        raise ConfigError(f"use.secret, use.ca or use.billing: {error}") from None


def named(config: Config) -> Names:
    classes, plans = (tuple(name.decode() for name in names) for names in (config.classes, config.plans))
    return Names(config.name, classes, plans)


class Uses:
    """What the gateway holds while use is recorded."""

    def __init__(self, config: Config, use: Use, now: Callable[[], int]) -> None:
        self.host = UseHost(Path(use.folder), bounds(use), named(config), now, way(use))
        self.start, self.stop = self.host.start, self.host.stop

    def count(self, call: Call, ending: Ending, attempts: int, version: int) -> None:
        self.host.count(ending, call.request_class, call.plan, version, call.tenant, call.units, attempts)
