"""The gateway's side of the plan registry: reads the file and puts each version in force when it is due.

May know: the registry, configuration, the loop. Decides nothing. A registry that cannot be read changes
nothing and is logged once; the limits in force stay.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from ..config.platform import Config
from ..decide.events import PlansChanged
from ..decide.settings import Plan
from ..plans.calendar import TENANT_BURST_S
from ..plans.registry import SCHEMA, PlanRegistry, Version, VersionFollower
from ..storage.document import DocumentError

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0  # of the file: under a fifth of the notice that a version has
NS_PER_MS = 1_000_000
MS_PER_S = 1000


class PlanRegistryPart:
    """Follows the registry's file; `version` is that of the limits in force, 0 for the platform's."""

    def __init__(self, path: Path, config: Config, changed: Callable[[PlansChanged], None]) -> None:
        """`changed` is called with the plans, by index, whenever other limits come into force."""
        self.version = 0
        self._path = path
        self._changed = changed
        self._names = [name.decode() for name in config.plans]
        self._platform_plans = config.settings.plans
        self._plans = config.settings.plans
        self._follower = VersionFollower()
        self._last_read: tuple[int, int, int] | None = None  # the file's mtime, size and inode
        self._logged_fault = ""
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Read the file now, and from now on."""
        self._poll()

    def stop(self) -> None:
        """Follow the file no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _poll(self) -> None:
        """Run once a second, and at the time at which the next version is due."""
        self._read()
        now_ms = _now_ms()
        due = self._follower.take_due(now_ms)
        reserved_rates = self._follower.take_changed_reservations(now_ms)
        if due is not None:
            self._put_in_force(*due)
        if reserved_rates is not None:
            log.warning("plans: reservations of %d tenants are in force", len(reserved_rates))
        if due is not None or reserved_rates is not None:
            self._report_change()
        wait_ms = self._follower.ms_until_next_change(_now_ms())
        delay_s = POLL_INTERVAL_S
        if wait_ms is not None:
            delay_s = min(POLL_INTERVAL_S, max(0.0, wait_ms / MS_PER_S))
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._poll)

    def _report_change(self) -> None:
        reservations = tuple(
            (tenant, rate, TENANT_BURST_S * rate)
            for tenant, rate in sorted(self._follower.reserved_per_s.items())
        )
        self._changed(PlansChanged(self._plans, reservations))

    def _read(self) -> None:
        try:
            stat = self._path.stat()
            identity = stat.st_mtime_ns, stat.st_size, stat.st_ino
            if identity == self._last_read:
                return
            registry = SCHEMA.unpack(self._path.read_bytes(), PlanRegistry)
        except (OSError, DocumentError) as error:
            reason = (error.strerror if isinstance(error, OSError) else None) or str(error)
            if reason != self._logged_fault:
                log.warning("plans: %s: %s; the limits in force stay", self._path, reason)
            self._logged_fault = reason
            return
        self._last_read = identity
        self._logged_fault = ""
        self._follower.set_registry(registry)

    def _put_in_force(self, version: Version | None, late_ms: int) -> None:
        named = zip(self._platform_plans, self._names, strict=True)
        self._plans = tuple(_limits_of(plan, version, name) for plan, name in named)
        self.version = version.number if version is not None else 0
        log.warning("plans: version %d is in force, %d ms after it was due", self.version, late_ms)


def _now_ms() -> int:
    return time.time_ns() // NS_PER_MS


def _limits_of(plan: Plan, version: Version | None, name: str) -> Plan:
    """The plan with the version's limits, where that has some for it."""
    figures = version.plans.get(name) if version is not None else None
    if figures is None:
        return plan
    return replace(
        plan,
        rate_per_s=figures.rate,
        burst_units=figures.burst,
        concurrency_limit=figures.open_limit,
        hard_limit_per_s=figures.ceiling_rate,
        hard_limit_burst_units=figures.ceiling_burst,
        hard_limit_slack_units=figures.ceiling_slack,
    )
