"""One view over hollow members and real gateways: when it has settled, what it costs, what faults do to it.

May know: hollow processes, real gateways. May not know: which sizes and faults a run wants.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

import msgspec

from .bounds import Guard
from .hollow_fleet import HollowFleet
from .lag import Lag, LagWatch, combined_lag
from .messages import DeadVerdict, Life, Measured, Traffic
from .placement import number_of
from .real_gateways import RealGateways
from .verdicts import Cutoff, false_deaths, relayed_deaths
from .view import settled

PEAK_SPAN = 1.1  # s after which the last second's bytes have been looked at
AT_REST = 0.1  # words still to be told by a member on the mean: a suspicion now and then, and no start
LOOK = 0.1  # s between looks: how finely a time to settle is told


class NotSettled(Exception):
    """A fleet did not come to hold one view, or to rest, in time."""


class Cost(msgspec.Struct, frozen=True):
    """What one size costs over a span, by member; bytes a second are payload of datagrams and tables."""

    members: int  # all, real gateways included
    cpu: float  # share of a core
    sent: float  # bytes/s
    received: float
    datagrams: float  # sent, a second
    memory: float  # bytes resident
    coordinator_sent: float  # bytes/s
    coordinator_received: float
    coordinator_cpu: float  # share of a core
    lag: Lag  # of all hollow processes' loops
    run_lag: Lag  # of the run's own loop

    @property
    def bytes(self) -> float:
        """bytes/s in the busier direction."""
        return max(self.sent, self.received)

    @property
    def coordinator_bytes(self) -> float:
        """bytes/s in the busier direction."""
        return max(self.coordinator_sent, self.coordinator_received)


class Outcome(msgspec.Struct, frozen=True):
    """What one failure did."""

    fault: str
    members: int  # at its beginning
    struck: int  # members that it ended, or cut off
    settle_s: float | None  # until all held the same again; None: not within the time given
    peak_bytes_s: int  # of the busiest member, the greater of sent and received within one second
    false_dead: int  # live members, in reach, that somebody's own probes called dead
    hearsay_dead: int  # live members that somebody in reach of them held for dead by what was told
    lag: Lag  # of all hollow processes' loops
    run_lag: Lag  # of the run's own loop: how finely it saw what came to be


class FlatFleet:
    """Hollow members, and real gateways beside them, in one view."""

    def __init__(self, hollow: HollowFleet, real: RealGateways | None, guard: Guard) -> None:
        self.hollow, self.real, self._guard = hollow, real, guard
        self._watch = LagWatch()
        self._base = 0.0  # bytes that all hollow processes hold without a member
        self.lives: tuple[Life, ...] = ()
        self.cutoffs: list[Cutoff] = []
        self._verdicts: list[DeadVerdict] = []

    async def open(self) -> None:
        """Before the first member begins."""
        self._base = sum(each.memory for each in await self.hollow.measure())
        self._watch.start()

    def close(self) -> None:
        self._watch.stop()

    def members(self) -> int:
        return len(self.hollow.running) + (len(self.real.running()) if self.real is not None else 0)

    async def until_settled(self, most: float, since: int | None = None) -> float | None:
        """s after `since` (now, where it is left out) until all hold one view of just those that run; None
        where they did not within `most` s."""
        since = time.monotonic_ns() if since is None else since
        while True:
            self._guard.check()
            held = await self.hollow.look()
            others = self.real.running() if self.real is not None else []
            views = self.real.views() if self.real is not None else set()
            took = (time.monotonic_ns() - since) / 1e9
            if settled(held, others, views):
                return took
            if took >= most:
                return None
            await asyncio.sleep(LOOK)

    async def quiet(self, most: float) -> bool:
        """Until the words of the start are told, and all hold a part; whether that was within `most` s."""
        end = time.monotonic() + most
        while True:
            held = await self.hollow.look()
            telling = sum(each.telling for each in held)
            if telling <= AT_REST * self.members() and not any(each.without_part for each in held):
                return True
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK)

    async def _measure(self) -> list[Measured]:
        """Of each hollow process; verdicts and lives are kept."""
        measured = await self.hollow.measure()
        self.lives = tuple(life for each in measured for life in each.lives)
        self._verdicts += [verdict for each in measured for verdict in each.verdicts]
        return measured

    async def cost(self, span: float, quiet_most: float) -> Cost:
        """Over `span` s in which nothing happens. Raises `NotSettled`."""
        if not await self.quiet(quiet_most):
            raise NotSettled("still telling one another of the start")
        await self.hollow.spread_entropy()
        before = await self._measure()
        self._watch.take()
        await asyncio.sleep(span)
        after = await self._measure()
        return cost(before, after, self._base, self.members(), self._watch.take())

    async def struck(self, fault: str, count: int, since: int, most: float) -> Outcome:
        """What a fault that began at `since` and struck `count` members did, once all hold the same again or
        `most` s are over. `begin` was called before it."""
        took = await self.until_settled(most, since)
        await asyncio.sleep(PEAK_SPAN)
        measured = await self._measure()
        lag = combined_lag(each.lag for each in measured)
        verdicts, self._verdicts = self._verdicts, []
        mistaken = {each.of for each in false_deaths(verdicts, self.lives, self.cutoffs)}
        told = relayed_deaths(verdicts, self.lives, self.cutoffs)
        peak = max(each.peak for each in measured)
        return Outcome(
            fault,
            self._members_before,
            count,
            None if took is None else round(took, 2),
            peak,
            len(mistaken),
            len(told),
            lag,
            self._watch.take(),
        )

    async def begin(self) -> None:
        """A fault follows: what was seen before it does not count."""
        await self._measure()
        self._verdicts.clear()
        self._watch.take()
        self._members_before = self.members()

    _members_before = 0

    async def crash(self, fault: str, numbers: Iterable[int], most: float) -> Outcome:
        """These end at once, and stay away."""
        chosen = list(numbers)
        await self.begin()
        since = await self.hollow.crash(chosen)
        return await self.struck(fault, len(chosen), since, most)

    async def restart(
        self, fault: str, numbers: Iterable[int], over: float, groups: int, most: float
    ) -> Outcome:
        """These end and begin anew in `groups` groups, one after the other within `over` s."""
        chosen = list(numbers)
        await self.begin()
        for group in range(groups):
            mine = chosen[group::groups]
            await self.hollow.crash(mine)
            await self.hollow.begin(mine)
            if group + 1 < groups:
                await asyncio.sleep(over / groups)
        return await self.struck(fault, len(chosen), time.monotonic_ns(), most)

    async def cut_off(self, fault: str, region: int, struck: int, span: float, most: float) -> Outcome:
        """A region is cut off for `span` s; the time to settle is from its heal on."""
        await self.begin()
        since = await self.hollow.cut([region])
        await asyncio.sleep(span)
        until = await self.hollow.cut([])
        self.cutoffs.append(Cutoff(region, since, until))
        return await self.struck(fault, struck, until, most)

    async def coordinator(self) -> int | None:
        """The number of the hollow member that coordinates; None where none does."""
        names = [leading.name for each in await self._measure() for leading in each.leading]
        return number_of(names[0]) if len(names) == 1 else None


def cost(before: list[Measured], after: list[Measured], base: float, members: int, run_lag: Lag) -> Cost:
    """By member, from what each process told before and after a span."""
    shares = [(b.cpu - a.cpu) / ((b.at - a.at) / 1e9) for a, b in zip(before, after, strict=True)]
    seconds = sum(b.at - a.at for a, b in zip(before, after, strict=True)) / len(after) / 1e9
    hollow = sum(each.members for each in after)

    def rate(total: Callable[[Measured], int]) -> float:
        return sum(total(b) - total(a) for a, b in zip(before, after, strict=True)) / seconds / hollow

    sent, received, coordinator_cpu = 0.0, 0.0, 0.0
    for number, (process_before, process_after) in enumerate(zip(before, after, strict=True)):
        earlier = {each.name: each for each in process_before.leading}
        for leading in process_after.leading:
            start = earlier.get(leading.name, Traffic(leading.name, 0, 0))
            if leading.name in earlier:
                sent = (leading.sent - start.sent) / seconds
                received = (leading.received - start.received) / seconds
                coordinator_cpu = _beyond_others(number, shares, [each.members for each in after])
    return Cost(
        members,
        sum(shares) / hollow,
        rate(lambda each: each.sent),
        rate(lambda each: each.received),
        rate(lambda each: each.datagrams),
        (sum(each.memory for each in after) - base) / hollow,
        sent,
        received,
        coordinator_cpu,
        combined_lag(each.lag for each in after),
        run_lag,
    )


def _beyond_others(number: int, shares: list[float], members: list[int]) -> float:
    """A process's share of a core, less what its other members take by what those elsewhere do."""
    elsewhere = [
        (share, count) for n, (share, count) in enumerate(zip(shares, members, strict=True)) if n != number
    ]
    if not elsewhere or not members[number]:
        return 0.0
    usual = sum(share for share, _ in elsewhere) / max(1, sum(count for _, count in elsewhere))
    return max(0.0, shares[number] - usual * (members[number] - 1))
