"""Reads the plan registry's file, and applies each version of the plans' limits when it is due.

A registry that cannot be read is logged once, and the limits in force stay. This module may depend on the
registry, configuration and the event loop. It makes no decisions.
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

POLL_INTERVAL_S = 1.0  # between reads of the file; under a fifth of the notice with which a version is added
NS_PER_MS = 1_000_000
MS_PER_S = 1000


class PlanRegistryPart:
    """Follows the registry's file; `version` is the version in force, 0 for the platform's limits."""

    def __init__(self, path: Path, config: Config, changed: Callable[[PlansChanged], None]) -> None:
        """Creates the part; `changed` is called with the plans whenever other limits come into force."""
        self.version = 0
        self._path = path
        self._changed = changed
        self._names = [name.decode() for name in config.plans]
        self._platform_plans = config.settings.plans
        self._plans = config.settings.plans
        self._follower = VersionFollower()
        self._last_read: tuple[int, int, int] | None = None  # mtime, size and inode of the file
        self._logged_reason = ""
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Reads the file, and starts to poll it."""
        self._poll()

    def stop(self) -> None:
        """Stops polling the file."""
        if self._timer is not None:
            self._timer.cancel()

    def _poll(self) -> None:
        """Reads the file and applies what is due; runs every second and when the next version is due."""
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
            if reason != self._logged_reason:
                log.warning("plans: %s cannot be read: %s; the limits in force stay", self._path, reason)
            self._logged_reason = reason
            return
        self._last_read = identity
        self._logged_reason = ""
        self._follower.set_registry(registry)

    def _put_in_force(self, version: Version | None, late_ms: int) -> None:
        plans_and_names = zip(self._platform_plans, self._names, strict=True)
        self._plans = tuple(_with_limits(plan, version, name) for plan, name in plans_and_names)
        self.version = version.number if version is not None else 0
        log.warning("plans: version %d is in force, %d ms after it was due", self.version, late_ms)


def _now_ms() -> int:
    return time.time_ns() // NS_PER_MS


def _with_limits(plan: Plan, version: Version | None, name: str) -> Plan:
    """Returns the plan with the version's limits, or the plan itself if the version has none for it."""
    limits = version.plans.get(name) if version is not None else None
    if limits is None:
        return plan
    return replace(
        plan,
        rate_per_s=limits.rate,
        burst_units=limits.burst,
        concurrency_limit=limits.open_limit,
        hard_limit_per_s=limits.ceiling_rate,
        hard_limit_burst_units=limits.ceiling_burst,
        hard_limit_slack_units=limits.ceiling_slack,
    )
