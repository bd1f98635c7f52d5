"""The gateway's side of the plan registry: reads the file, waits until it is time, gives the module figures.

May know: the registry, configuration, the loop. Decides nothing. A registry that can't be read changes
nothing and is told once; the figures in force hold.
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
from ..plans.calendar import MEMBERS_BURST_S
from ..plans.registry import SCHEMA, PlanRegistry, Version, VersionFollower
from ..storage.document import DocumentError

log = logging.getLogger(__name__)

LOOK = 1.0  # s between looks at the file: under a fifth of the notice that a version has


class PlanFollower:
    """`version`: of the figures in force; `changed` is called with new ones, by plan's index."""

    def __init__(self, path: Path, config: Config, changed: Callable[[PlansChanged], None]) -> None:
        self.version = 0
        self._path, self._changed = path, changed
        self._names = [name.decode() for name in config.plans]
        self._own = self._plans = config.settings.plans
        self._follower = VersionFollower()
        self._seen: tuple[int, int, int] | None = None
        self._told = ""
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._look()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        """Once a second, and at the very moment of the next version."""
        self._read()
        now = time.time_ns() // 1_000_000
        due, rates = self._follower.due(now), self._follower.reservations(now)
        if due is not None:
            self._take_up(*due)
        if rates is not None:
            log.warning("plans: reservations of %d members are in force", len(rates))
        if due is not None or rates is not None:
            self._changed(
                PlansChanged(
                    self._plans,
                    tuple(
                        (customer, rate, MEMBERS_BURST_S * rate)
                        for customer, rate in sorted(self._follower.reserved.items())
                    ),
                )
            )
        wait = self._follower.wait(time.time_ns() // 1_000_000)
        pause = LOOK if wait is None else min(LOOK, max(0.0, wait / 1000))
        self._timer = asyncio.get_running_loop().call_later(pause, self._look)

    def _read(self) -> None:
        try:
            stat = self._path.stat()
            seen = stat.st_mtime_ns, stat.st_size, stat.st_ino
            if seen == self._seen:
                return
            registry = SCHEMA.unpack(self._path.read_bytes(), PlanRegistry)
        except (OSError, DocumentError) as error:
            why = (error.strerror if isinstance(error, OSError) else None) or str(error)
            if why != self._told:
                log.warning("plans: %s: %s; the figures in force hold", self._path, why)
            self._told = why
            return
        self._seen, self._told = seen, ""
        self._follower.read(registry)

    def _take_up(self, version: Version | None, late: int) -> None:
        named = zip(self._own, self._names, strict=True)
        self._plans = tuple(_with(plan, version, name) for plan, name in named)
        self.version = version.number if version is not None else 0
        log.warning("plans: version %d is in force, taken up %d ms after its moment", self.version, late)


def _with(plan: Plan, version: Version | None, name: str) -> Plan:
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
