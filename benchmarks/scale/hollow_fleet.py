"""Starts, queries and ends the hollow processes of a run.

The module knows processes and messages; it does not know what the run measures.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Sequence

from trackspread.testing.standins.loopback import Ports

from .bounds import Guard
from .children import Child, start_all
from .messages import (
    Begin,
    Command,
    Crash,
    Cut,
    Done,
    End,
    Held,
    Look,
    Measure,
    Measured,
    Reply,
    Settle,
    Setup,
)
from .placement import Placement


class HollowFleet:
    """Holds the hollow processes of a fleet; use it as `async with`. At first no member runs."""

    def __init__(self, processes: int, seeds: Sequence[int], most: int, guard: Guard, fleet: str) -> None:
        """Takes the numbers of the `seeds` and the largest number of members, `most`."""
        self._count, self._seeds, self._most, self._guard = processes, tuple(seeds), most, guard
        self._fleet = fleet
        self._ports = Ports()
        self.placement = Placement(tuple(self._ports.host() for _ in range(processes)))
        self.children: list[Child[Reply]] = []
        self.running: set[int] = set()

    async def __aenter__(self) -> HollowFleet:
        self._guard.admit(self._count)
        try:
            self.children = await start_all("hollow_process", Reply, self._count)
            await asyncio.gather(
                *(
                    child.ask(Setup(n, self.placement, self._fleet, self._seeds, self._most))
                    for n, child in enumerate(self.children)
                )
            )
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        await asyncio.gather(*(child.close() for child in self.children))
        self._ports.close()

    def seeds(self) -> list[str]:
        """Returns the seeds as `host:port`, for the operator's file of a real gateway."""
        return ["{}:{}".format(*self.placement.address(seed)) for seed in self._seeds]

    def _by_process(self, numbers: Iterable[int]) -> list[tuple[Child[Reply], tuple[int, ...]]]:
        by_process: dict[int, list[int]] = {}
        for number in numbers:
            by_process.setdefault(self.placement.process(number), []).append(number)
        return [(self.children[process], tuple(mine)) for process, mine in by_process.items()]

    async def begin(self, numbers: Iterable[int], spread: float = 0.0) -> int:
        """Starts these members, the last `spread` s after the first; returns when all had started, in ns."""
        chosen = sorted(set(numbers) - self.running)
        replies = await asyncio.gather(
            *(child.ask(Begin(mine, spread), spread) for child, mine in self._by_process(chosen))
        )
        self.running |= set(chosen)
        return max((each.at for each in replies if isinstance(each, Done)), default=time.monotonic_ns())

    async def crash(self, numbers: Iterable[int]) -> int:
        """Ends these members without a message to others; returns when the last had ended, in ns."""
        chosen = sorted(set(numbers) & self.running)
        replies = await asyncio.gather(*(child.ask(Crash(mine)) for child, mine in self._by_process(chosen)))
        self.running -= set(chosen)
        return max((each.at for each in replies if isinstance(each, Done)), default=time.monotonic_ns())

    async def cut(self, regions: Iterable[int]) -> int:
        """Cuts these regions off from all others in all processes; without regions, ends the partition.

        Returns the time in ns at which the last hollow process had done so.
        """
        replies = await self._all(Cut(tuple(regions)))
        return max(each.at for each in replies if isinstance(each, Done))

    async def spread_entropy(self) -> None:
        await self._all(Settle())

    async def look(self) -> list[Held]:
        return [each for each in await self._all(Look()) if isinstance(each, Held)]

    async def measure(self) -> list[Measured]:
        return [each for each in await self._all(Measure()) if isinstance(each, Measured)]

    async def end(self) -> None:
        await self._all(End())

    async def _all(self, command: Command) -> list[Reply]:
        return list(await asyncio.gather(*(child.ask(command) for child in self.children)))
