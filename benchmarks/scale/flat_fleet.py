"""Runs one flat view of hollow members and real gateways, and measures its costs and the effects of faults.

The module knows hollow processes and real gateways; it does not know which sizes and faults a run has.
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

PEAK_SPAN = 1.1  # s; after this time the bytes of the last second are counted.
AT_REST = 0.1  # Updates still to be gossiped, the mean of members: a rare suspicion, but no start.
POLL_S = 0.1  # Between two polls of the state; the resolution of the times to settle.


class NotSettled(Exception):
    """Reports a fleet that did not reach one view, or rest, in time."""


class Cost(msgspec.Struct, frozen=True):
    """Holds the costs of one size over a span, per member.

    Bytes per second are payload of datagrams and tables.
    """

    members: int  # All, including real gateways.
    cpu: float  # Share of a core.
    sent: float  # Bytes/s.
    received: float
    datagrams: float  # Sent per second.
    memory: float  # Resident bytes.
    coordinator_sent: float  # Bytes/s.
    coordinator_received: float
    coordinator_cpu: float  # Share of a core.
    lag: Lag  # Of the loops of all hollow processes.
    run_lag: Lag  # Of the run's own loop.

    @property
    def bytes(self) -> float:
        """Returns the bytes/s of the busier direction."""
        return max(self.sent, self.received)

    @property
    def coordinator_bytes(self) -> float:
        """Returns the bytes/s of the busier direction."""
        return max(self.coordinator_sent, self.coordinator_received)


class Outcome(msgspec.Struct, frozen=True):
    """Holds the effects of one fault."""

    fault: str
    members: int  # Before the fault.
    struck: int  # Members that it ended or cut off.
    settle_s: float | None  # Until all held one view again; None if not within the time given.
    peak_bytes_s: int  # Of the busiest member: the greater of sent and received within one second.
    false_dead: int  # Live members that a member in reach declared dead by its own probes.
    hearsay_dead: int  # Live members that a member in reach held for dead because of gossip.
    lag: Lag  # Of the loops of all hollow processes.
    run_lag: Lag  # Of the run's own loop, which limits the resolution of its times.


class FlatFleet:
    """Holds hollow members and real gateways in one view."""

    def __init__(self, hollow: HollowFleet, real: RealGateways | None, guard: Guard) -> None:
        self.hollow, self.real, self._guard = hollow, real, guard
        self._watch = LagWatch()
        self._base = 0.0  # Resident bytes of all hollow processes without members.
        self.lives: tuple[Life, ...] = ()
        self.cutoffs: list[Cutoff] = []
        self._verdicts: list[DeadVerdict] = []

    async def open(self) -> None:
        """Measures the processes without members; it must be called before the first member starts."""
        self._base = sum(each.memory for each in await self.hollow.measure())
        self._watch.start()

    def close(self) -> None:
        self._watch.stop()

    def members(self) -> int:
        return len(self.hollow.running) + (len(self.real.running()) if self.real is not None else 0)

    async def until_settled(self, most: float, since: int | None = None) -> float | None:
        """Returns the seconds from `since`, by default now, until all hold one view of the running members.

        The view must have no other members. The result is None if they do not within `most` seconds.
        """
        since = time.monotonic_ns() if since is None else since
        while True:
            self._guard.check()
            held = await self.hollow.look()
            others = self.real.running() if self.real is not None else []
            views = self.real.views() if self.real is not None else set()
            elapsed = (time.monotonic_ns() - since) / 1e9
            if settled(held, others, views):
                return elapsed
            if elapsed >= most:
                return None
            await asyncio.sleep(POLL_S)

    async def quiet(self, most: float) -> bool:
        """Waits up to `most` s until all hold slots and have gossiped the start; returns whether so."""
        end = time.monotonic() + most
        while True:
            held = await self.hollow.look()
            telling = sum(each.telling for each in held)
            if telling <= AT_REST * self.members() and not any(each.without_part for each in held):
                return True
            if time.monotonic() > end:
                return False
            await asyncio.sleep(POLL_S)

    async def _measure(self) -> list[Measured]:
        """Returns the report of each hollow process, and keeps the verdicts and the lives."""
        measured = await self.hollow.measure()
        self.lives = tuple(life for each in measured for life in each.lives)
        self._verdicts += [verdict for each in measured for verdict in each.verdicts]
        return measured

    async def cost(self, span: float, quiet_most: float) -> Cost:
        """Returns the costs over `span` seconds without faults. Raises `NotSettled`."""
        if not await self.quiet(quiet_most):
            raise NotSettled("still telling one another of the start")
        await self.hollow.spread_entropy()
        before = await self._measure()
        self._watch.take()
        await asyncio.sleep(span)
        after = await self._measure()
        return cost(before, after, self._base, self.members(), self._watch.take())

    async def outcome(self, fault: str, count: int, since: int, most: float) -> Outcome:
        """Returns the effects of a fault at `since` on `count` members, once settled or after `most` seconds.

        `begin` must be called before the fault.
        """
        elapsed = await self.until_settled(most, since)
        await asyncio.sleep(PEAK_SPAN)
        measured = await self._measure()
        lag = combined_lag(each.lag for each in measured)
        verdicts, self._verdicts = self._verdicts, []
        mistaken = {each.of for each in false_deaths(verdicts, self.lives, self.cutoffs)}
        relayed = relayed_deaths(verdicts, self.lives, self.cutoffs)
        peak = max(each.peak for each in measured)
        return Outcome(
            fault,
            self._members_before,
            count,
            None if elapsed is None else round(elapsed, 2),
            peak,
            len(mistaken),
            len(relayed),
            lag,
            self._watch.take(),
        )

    async def begin(self) -> None:
        """Discards the verdicts and the lag before a fault."""
        await self._measure()
        self._verdicts.clear()
        self._watch.take()
        self._members_before = self.members()

    _members_before = 0

    async def crash(self, fault: str, numbers: Iterable[int], most: float) -> Outcome:
        """Ends these members for good; returns the effects."""
        chosen = list(numbers)
        await self.begin()
        since = await self.hollow.crash(chosen)
        return await self.outcome(fault, len(chosen), since, most)

    async def restart(
        self, fault: str, numbers: Iterable[int], over: float, groups: int, most: float
    ) -> Outcome:
        """Restarts these members in `groups` groups, one after the other within `over` seconds."""
        chosen = list(numbers)
        await self.begin()
        for group in range(groups):
            mine = chosen[group::groups]
            await self.hollow.crash(mine)
            await self.hollow.begin(mine)
            if group + 1 < groups:
                await asyncio.sleep(over / groups)
        return await self.outcome(fault, len(chosen), time.monotonic_ns(), most)

    async def cut_off(self, fault: str, region: int, struck: int, span: float, most: float) -> Outcome:
        """Cuts a region off for `span` seconds; the time to settle starts when the partition ends."""
        await self.begin()
        since = await self.hollow.cut([region])
        await asyncio.sleep(span)
        until = await self.hollow.cut([])
        self.cutoffs.append(Cutoff(region, since, until))
        return await self.outcome(fault, struck, until, most)

    async def coordinator(self) -> int | None:
        """Returns the number of the hollow member that coordinates, or None if not exactly one does."""
        names = [leading.name for each in await self._measure() for leading in each.leading]
        return number_of(names[0]) if len(names) == 1 else None


def cost(before: list[Measured], after: list[Measured], base: float, members: int, run_lag: Lag) -> Cost:
    """Returns the costs per member from the reports of each process before and after a span."""
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
    """Returns a process's share of a core, less the usual share of its other members.

    The usual share is the mean of the members of other processes.
    """
    elsewhere = [
        (share, count) for n, (share, count) in enumerate(zip(shares, members, strict=True)) if n != number
    ]
    if not elsewhere or not members[number]:
        return 0.0
    usual = sum(share for share, _ in elsewhere) / max(1, sum(count for _, count in elsewhere))
    return max(0.0, shares[number] - usual * (members[number] - 1))
