"""Plays a schedule of faults on a fleet of processes; the ledger says when each in fact began and ended.

May know: fleets, schedules. May not know: what gateways make of it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable

from ..judge.ledger import FaultChanged
from ..standins.fault_schedule import AWAY, Calm, Cut, Duty, Fault, Halt, Loop, Restart, Rough, Schedule
from ..standins.faulty_network import Over
from .fleet import Fleet


class Player:
    """Plays a schedule on a fleet that runs. A direction that two faults cut is whole again after both."""

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._cuts: dict[tuple[str, str, Over], int] = {}

    async def play(self) -> None:
        """Returns once the schedule's seconds are over and every fault has ended."""
        async with asyncio.TaskGroup() as group:
            group.create_task(asyncio.sleep(self._schedule.seconds))
            for number, fault in enumerate(self._schedule.faults):
                group.create_task(self._one(number, fault))

    async def _one(self, number: int, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        write = self._fleet.ledger.write
        write(FaultChanged(time.monotonic_ns(), number, True, type(fault).__name__))
        try:
            await self._do(fault)
        finally:
            write(FaultChanged(time.monotonic_ns(), number, False, type(fault).__name__))

    def _do(self, fault: Fault) -> Awaitable[None]:
        match fault:
            case Calm():
                return asyncio.sleep(fault.span)
            case Cut():
                return self._cut(fault)
            case Rough():
                return self._rough(fault)
            case Halt():
                return self._halt(fault)
            case Duty():
                return self._duty(fault)
            case Restart():
                return self._fleet.restart(fault.gateways, fault.span, fault.outright)
            case Loop():
                return self._loop(fault)

    async def _cut(self, fault: Cut) -> None:
        ways = [(*pair, over) for pair in fault.pairs for over in fault.over]
        for way in ways:
            self._cuts[way] = self._cuts.get(way, 0) + 1
            self._fleet.wire.between(*way).hole = True
        await asyncio.sleep(fault.span)
        for way in ways:
            self._cuts[way] -= 1
            self._fleet.wire.between(*way).hole = self._cuts[way] > 0

    async def _rough(self, fault: Rough) -> None:
        """The last to end leaves the ways calm."""
        ways = [self._fleet.wire.between(*pair, over) for pair in fault.pairs for over in fault.over]
        for path in ways:
            path.delay = fault.delay
            path.jitter = fault.jitter
            path.loss = fault.loss
            path.twice = fault.twice
            path.rate = fault.rate
        await asyncio.sleep(fault.span)
        for path in ways:
            path.delay = 0.0
            path.jitter = 0.0
            path.loss = 0.0
            path.twice = 0.0
            path.rate = 0.0

    async def _halt(self, fault: Halt) -> None:
        chosen = [self._fleet.gateways[number] for number in fault.gateways]
        for gateway in chosen:
            gateway.pause()
        await asyncio.sleep(fault.span)
        for gateway in chosen:
            gateway.resume()

    async def _duty(self, fault: Duty) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + fault.span
        while loop.time() < end:
            await self._halt(Halt(0.0, fault.part * fault.period, fault.gateways))
            await asyncio.sleep((1.0 - fault.part) * fault.period)

    async def _loop(self, fault: Loop) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + fault.span
        while loop.time() < end:
            await self._fleet.restart([fault.gateway], AWAY)
            await asyncio.sleep(fault.every)
