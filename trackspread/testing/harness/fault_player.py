"""Plays a schedule of faults on a fleet of processes; the ledger records when each began and ended."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable

from ..judge.ledger import FaultChanged
from ..standins.fault_schedule import (
    CRASH_LOOP_DOWNTIME_S,
    CrashLoop,
    Cut,
    DegradedNetwork,
    Fault,
    NoFault,
    Pause,
    PauseCycle,
    Restart,
    Schedule,
)
from ..standins.network_path import NetworkPath, NetworkProtocol
from .fleet import Fleet


class FaultPlayer:
    """Plays a schedule on a running fleet. A direction that two faults cut is healed when both have ended."""

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._cuts: dict[tuple[str, str, NetworkProtocol], int] = {}  # number of faults that cut a direction

    async def play(self) -> None:
        """Plays the schedule and returns once its time is over and every fault has ended."""
        async with asyncio.TaskGroup() as group:
            group.create_task(asyncio.sleep(self._schedule.duration_s))
            for number, fault in enumerate(self._schedule.faults):
                group.create_task(self._play_fault(number, fault))

    async def _play_fault(self, number: int, fault: Fault) -> None:
        await asyncio.sleep(fault.start_s)
        write = self._fleet.ledger.write
        write(FaultChanged(time.monotonic_ns(), number, True, fault.kind))
        try:
            await self._inject(fault)
        finally:
            write(FaultChanged(time.monotonic_ns(), number, False, fault.kind))

    def _inject(self, fault: Fault) -> Awaitable[None]:
        match fault:
            case NoFault():
                return asyncio.sleep(fault.duration_s)
            case Cut():
                return self._cut(fault)
            case DegradedNetwork():
                return self._degrade(fault)
            case Pause():
                return self._pause(fault.gateways, fault.duration_s)
            case PauseCycle():
                return self._pause_cycle(fault)
            case Restart():
                return self._fleet.restart(fault.gateways, fault.duration_s, fault.kill)
            case CrashLoop():
                return self._crash_loop(fault)

    async def _cut(self, fault: Cut) -> None:
        directions = [(*pair, protocol) for pair in fault.directions for protocol in fault.protocols]
        for direction in directions:
            self._cuts[direction] = self._cuts.get(direction, 0) + 1
            self._fleet.network.path(*direction).blackhole = True
        await asyncio.sleep(fault.duration_s)
        for direction in directions:
            self._cuts[direction] -= 1
            self._fleet.network.path(*direction).blackhole = self._cuts[direction] > 0

    async def _degrade(self, fault: DegradedNetwork) -> None:
        """Degrades the paths; of two overlapping faults the first to end restores them."""
        paths = [
            self._fleet.network.path(*pair, protocol)
            for pair in fault.directions
            for protocol in fault.protocols
        ]
        for path in paths:
            path.delay_s = fault.delay_s
            path.jitter_s = fault.jitter_s
            path.loss = fault.loss
            path.duplication = fault.duplication
            path.bytes_per_s = fault.bytes_per_s
        await asyncio.sleep(fault.duration_s)
        for path in paths:
            _restore(path)

    async def _pause(self, gateways: tuple[int, ...], duration_s: float) -> None:
        chosen = [self._fleet.gateways[number] for number in gateways]
        for gateway in chosen:
            gateway.pause()
        await asyncio.sleep(duration_s)
        for gateway in chosen:
            gateway.resume()

    async def _pause_cycle(self, fault: PauseCycle) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + fault.duration_s
        while loop.time() < end:
            await self._pause(fault.gateways, fault.paused_share * fault.period_s)
            await asyncio.sleep((1.0 - fault.paused_share) * fault.period_s)

    async def _crash_loop(self, fault: CrashLoop) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + fault.duration_s
        while loop.time() < end:
            await self._fleet.restart([fault.gateway], CRASH_LOOP_DOWNTIME_S)
            await asyncio.sleep(fault.interval_s)


def _restore(path: NetworkPath) -> None:
    path.delay_s = 0.0
    path.jitter_s = 0.0
    path.loss = 0.0
    path.duplication = 0.0
    path.bytes_per_s = 0.0
