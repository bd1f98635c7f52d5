"""Records the gateway's usage: one record for each final answer.

This module may depend on calls, configuration and the host of the ledger. It makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..call import Call
from ..config.addresses import ConfigError
from ..config.operator import Use
from ..config.platform import Config
from ..storage.slots import SLOT_BYTES
from ..usage.control import Names
from ..usage.host import UsageHost
from ..usage.ledger import Bounds
from ..usage.record import Ending
from ..usage.senders import Sender, make_configured_sender

BYTES_PER_MB = 1 << 20
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
MIN_SEGMENT_SLOTS = 64
MIN_SEGMENTS = 4


def ledger_bounds(use: Use) -> Bounds:
    """Returns the ledger's sizes and intervals from the operator's `use` table."""
    return Bounds(
        max(MIN_SEGMENT_SLOTS, int(use.segment_mb * BYTES_PER_MB) // SLOT_BYTES),
        max(MIN_SEGMENTS, int(use.disk_mb / use.segment_mb)),
        int(use.commit_ms * NS_PER_MS),
        int(use.batch_s * NS_PER_S),
        use.when_full,
    )


def billing_sender(use: Use) -> Sender | None:
    """Returns the sender of batches to billing, or None if they are only stored; raises `ConfigError`."""
    if not use.billing:
        return None
    try:
        return make_configured_sender(use.billing, use.secret, use.ca)
    except (OSError, ValueError) as error:
        raise ConfigError(f"use.secret, use.ca or use.billing: {error}") from None


def record_names(config: Config) -> Names:
    """Returns the names of the gateway, the classes and the plans, by which records are shown."""
    classes = tuple(name.decode() for name in config.classes)
    plans = tuple(name.decode() for name in config.plans)
    return Names(config.name, classes, plans)


class UsagePart:
    """Runs the host that writes usage records and sends them to billing."""

    def __init__(self, config: Config, use: Use, now: Callable[[], int]) -> None:
        """Creates the host; `now` is the gateway's clock, in ns. Raises `ConfigError`."""
        self.host = UsageHost(
            Path(use.folder), ledger_bounds(use), record_names(config), now, billing_sender(use)
        )

    def start(self) -> None:
        """Opens the ledger and starts to write and send records."""
        self.host.start()

    async def stop(self) -> None:
        """Writes the records that are still in memory, and closes the ledger."""
        await self.host.stop()

    def record(self, call: Call, ending: Ending, attempts: int, plan_version: int) -> None:
        """Records a request's final answer, and the number of its attempts."""
        self.host.count(
            ending, call.request_class, call.plan, plan_version, call.tenant, call.units, attempts
        )
