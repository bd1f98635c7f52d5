"""Runs a large fleet of cells, with each control machine in a process and hollow gateways in others.

The module measures costs and causes faults. It knows processes and messages; it does not know which sizes and
faults a run has.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Sequence
from itertools import pairwise
from statistics import fmean

import msgspec

from trackspread.testing.standins.loopback import Ports

from .bounds import Guard
from .cells_messages import (
    CellsCommand,
    CellsReply,
    Count,
    Counted,
    CutOff,
    Holding,
    InView,
    Kill,
    Layout,
    Quit,
    SetControl,
    SetHollow,
    Spread,
    Start,
    Tell,
    control_zone,
    gateway_zone,
    in_rack,
    region_of_member,
)
from .children import Child, start_all
from .flat_fleet import AT_REST, PEAK_SPAN, NotSettled, Outcome
from .lag import Lag, LagWatch, combined_lag
from .messages import DeadVerdict, Life
from .placement import CONTROL_PREFIX, PORT, REGIONS
from .verdicts import Cutoff, false_deaths, relayed_deaths
from .view import digest

POLL_S = 0.25  # Between two polls of the state; the resolution of the times to settle.


class CellsCost(msgspec.Struct, frozen=True):
    """Holds the costs of one size at rest.

    Bytes per second are payload of datagrams and tables: the greater of sent and received.
    """

    gateways: int
    control: int  # Control machines.
    cells: int
    cpu: float  # Of a gateway, as a share of a core.
    bytes: float  # Of a gateway, in bytes/s.
    memory: float  # Of a gateway, in resident bytes.
    control_cpu: float  # The mean of control machines, as are the next two.
    control_bytes: float
    control_memory: float  # Resident bytes beyond those without gateways.
    busiest_cpu: float  # The most of any control machine.
    busiest_bytes: float
    lag: Lag


class CellsFleet:
    """Holds the processes of a fleet; use it as `async with`. At first only the control machines run."""

    def __init__(self, control: int, processes: int, each: int, guard: Guard) -> None:
        """Takes the number of `processes` and of hollow gateways in `each`; processes fill up one by one."""
        self._ports, self._guard, self._each = Ports(), guard, each
        hosts = tuple(self._ports.host() for _ in range(processes))
        addresses = tuple((self._ports.host(), PORT) for _ in range(control))
        self.layout = Layout("scale", addresses, hosts, each)
        self.control: list[Child[CellsReply]] = []
        self.processes: list[Child[CellsReply]] = []
        self.running: set[int] = set()
        self.control_running: set[int] = set()
        self.cutoffs: list[Cutoff] = []
        self._base = self._control_base = 0.0  # Resident bytes of a process without gateways.
        self._verdicts: list[DeadVerdict] = []
        self._lives: list[Life] = []
        self._watch = LagWatch()
        self._members_before = 0

    async def __aenter__(self) -> CellsFleet:
        self._guard.admit(len(self.layout.control) + len(self.layout.hosts))
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def _start(self) -> None:
        layout = self.layout
        self.control = await start_all("cells_process", CellsReply, len(layout.control))
        self.processes = await start_all("cells_process", CellsReply, len(layout.hosts))
        await asyncio.gather(*(child.ask(SetControl(layout, n)) for n, child in enumerate(self.control)))
        await asyncio.gather(*(child.ask(SetHollow(layout)) for child in self.processes))
        await self.begin_control(range(len(layout.control)))
        self._watch.start()
        counted = await self.count(self.processes)
        self._base = sum(each.memory for each in counted) / len(counted)
        self._control_base = fmean(each.memory for each in await self.count(self.control))

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        self._watch.stop()
        await asyncio.gather(*(child.close() for child in (*self.control, *self.processes)))
        self._ports.close()

    async def end(self) -> None:
        await self._all(Quit())

    async def _all(self, command: CellsCommand) -> list[CellsReply]:
        self._guard.check()
        return list(await asyncio.gather(*(c.ask(command) for c in (*self.control, *self.processes))))

    async def count(self, children: Sequence[Child[CellsReply]]) -> list[Counted]:
        """Returns the use of these processes, and keeps their verdicts."""
        replies = await asyncio.gather(*(child.ask(Count()) for child in children))
        counted = [each for each in replies if isinstance(each, Counted)]
        self._verdicts += [verdict for each in counted for verdict in each.verdicts]
        return counted

    async def hold(self) -> list[Holding]:
        return [each for each in await self._all(Tell()) if isinstance(each, Holding)]

    async def begin(self, numbers: Iterable[int]) -> int:
        """Starts these gateways; returns the time in ns when all had started."""
        chosen = sorted(set(numbers) - self.running)
        await self._to_gateways(chosen, Start)
        self.running |= set(chosen)
        return time.monotonic_ns()

    async def kill(self, numbers: Iterable[int]) -> None:
        """Ends these gateways at once, without a message to others."""
        chosen = sorted(set(numbers) & self.running)
        await self._to_gateways(chosen, Kill)
        self.running -= set(chosen)

    async def _to_gateways(self, chosen: list[int], command: type[Start] | type[Kill]) -> None:
        by_process: dict[int, list[int]] = {}
        for number in chosen:
            by_process.setdefault(number // self._each, []).append(number)
        await asyncio.gather(
            *(self.processes[process].ask(command(tuple(mine))) for process, mine in by_process.items())
        )

    async def restart(self, numbers: Sequence[int], over: float, groups: int) -> int:
        """Restarts these gateways in `groups` groups within `over` s; returns the time of the last in ns."""
        for group in range(groups):
            mine = numbers[group::groups]
            await self.kill(mine)
            await self.begin(mine)
            if group + 1 < groups:
                await asyncio.sleep(over / groups)
        return time.monotonic_ns()

    async def begin_control(self, numbers: Iterable[int]) -> None:
        chosen = sorted(set(numbers) - self.control_running)
        await asyncio.gather(*(self.control[n].ask(Start((n,))) for n in chosen))
        self.control_running |= set(chosen)

    async def kill_control(self, numbers: Iterable[int]) -> None:
        chosen = sorted(set(numbers) & self.control_running)
        await asyncio.gather(*(self.control[n].ask(Kill((n,))) for n in chosen))
        self.control_running -= set(chosen)

    async def until_settled(self, most: float, since: int | None = None) -> float | None:
        """Returns the seconds from `since`, by default now, until the fleet settles, or None after `most` s.

        The fleet has settled when all running gateways are in a cell, and all members of each cell hold one
        view of exactly its gateways and its control machines.
        """
        since = time.monotonic_ns() if since is None else since
        while True:
            held = await self.hold()
            elapsed = (time.monotonic_ns() - since) / 1e9
            if not unsettled_reason(held, len(self.running)):
                return elapsed
            if elapsed >= most:
                return None
            await asyncio.sleep(POLL_S)

    async def leader(self) -> int | None:
        """Returns the number of the leading control machine, or None if not exactly one leads."""
        held = await asyncio.gather(*(child.ask(Tell()) for child in self.control))
        leading = [n for n, each in enumerate(held) if isinstance(each, Holding) and each.leads]
        return leading[0] if len(leading) == 1 else None

    async def quiet(self, most: float) -> bool:
        """Waits up to `most` s until all hold slots and have gossiped the start; returns whether so."""
        end = time.monotonic() + most
        while True:
            held = await self.hold()
            views = [view for each in held for view in each.views]
            telling = sum(each.telling for each in held)
            if telling <= AT_REST * len(views) and all(view.part for view in views):
                return True
            if time.monotonic() > end:
                return False
            await asyncio.sleep(POLL_S)

    async def cost(self, span: float, quiet_most: float) -> CellsCost:
        """Returns the costs over `span` seconds without faults. Raises `NotSettled`."""
        if not await self.quiet(quiet_most):
            raise NotSettled("still telling one another of the start")
        await self._all(Spread())
        in_use = self.processes[: -(-len(self.running) // self._each)]
        before, control_before = await self.count(in_use), await self.count(self.control)
        await asyncio.sleep(span)
        after, control_after = await self.count(in_use), await self.count(self.control)
        cells = max(each.cells for each in await self.hold())
        gateways, control = len(self.running), list(zip(control_before, control_after, strict=True))
        return CellsCost(
            gateways,
            len(self.control_running),
            cells,
            sum(cpu_share(a, b) for a, b in zip(before, after, strict=True)) / gateways,
            max(
                sum(sent(a, b) for a, b in zip(before, after, strict=True)),
                sum(received(a, b) for a, b in zip(before, after, strict=True)),
            )
            / gateways,
            sum(each.memory - self._base for each in after) / gateways,
            fmean(cpu_share(a, b) for a, b in control),
            fmean(max(sent(a, b), received(a, b)) for a, b in control),
            fmean(each.memory for each in control_after) - self._control_base,
            max(cpu_share(a, b) for a, b in control),
            max(max(sent(a, b), received(a, b)) for a, b in control),
            combined_lag(each.lag for each in (*after, *control_after)),
        )

    async def before_fault(self) -> None:
        """Discards the verdicts and the lag before a fault."""
        await self.count([*self.control, *self.processes])
        self._verdicts.clear()
        self._watch.take()
        self._members_before = len(self.running)

    async def outcome(self, fault: str, struck: int, since: int, most: float) -> Outcome:
        """Returns the effects of a fault at `since`, once the fleet has settled or `most` s have passed."""
        elapsed = await self.until_settled(most, since)
        await asyncio.sleep(PEAK_SPAN)
        counted = await self.count([*self.control, *self.processes])
        lives = [life for each in counted for life in each.lives]
        verdicts, self._verdicts = self._verdicts, []
        mistaken = {each.of for each in false_deaths(verdicts, lives, self.cutoffs, region_of_member)}
        relayed = relayed_deaths(verdicts, lives, self.cutoffs, region_of_member)
        return Outcome(
            fault,
            self._members_before,
            struck,
            None if elapsed is None else round(elapsed, 2),
            max(each.peak for each in counted),
            len(mistaken),
            len(relayed),
            combined_lag(each.lag for each in counted),
            self._watch.take(),
        )

    async def cut_off(self, region: int, span: float) -> int:
        """Cuts a region off for `span` seconds; returns the time in ns at which the partition ended."""
        since = time.monotonic_ns()
        await self._all(CutOff((region,)))
        await asyncio.sleep(span)
        await self._all(CutOff(()))
        until = time.monotonic_ns()
        self.cutoffs.append(Cutoff(region, since, until))
        return until

    def in_zone(self, zone: int) -> tuple[list[int], list[int]]:
        """Returns the running gateways and control machines of a zone."""
        return (
            [n for n in self.running if gateway_zone(n) == zone],
            [n for n in self.control_running if control_zone(n) == zone],
        )

    def in_rack(self, rack: int) -> list[int]:
        return [n for n in self.running if in_rack(rack, n)]

    def in_region(self, region: int) -> list[int]:
        return [n for n in self.running if gateway_zone(n) % REGIONS == region]


def cpu_share(before: Counted, after: Counted) -> float:
    """Returns the share of a core that was used."""
    return (after.cpu - before.cpu) * 1e9 / (after.at - before.at)


def sent(before: Counted, after: Counted) -> float:
    """Returns the bytes sent per second."""
    return (after.sent - before.sent) * 1e9 / (after.at - before.at)


def received(before: Counted, after: Counted) -> float:
    """Returns the bytes received per second."""
    return (after.received - before.received) * 1e9 / (after.at - before.at)


def unsettled_reason(held: Iterable[Holding], gateways: int) -> str:
    """Returns why a fleet of `gateways` running gateways has not settled; an empty text if it has."""
    states = list(held)
    if (nowhere := sum(each.nowhere for each in states)) > _empty_control(states):
        return f"{nowhere} are in no cell"
    cells: dict[str, list[InView]] = {}
    for each in states:
        for view in each.views:
            cells.setdefault(view.cell, []).append(view)
    inside = 0
    for name, views in cells.items():
        mine = [view for view in views if not view.who[0].startswith(CONTROL_PREFIX)]
        inside += len(mine)
        if not mine:
            continue  # An empty cell has nothing to agree on.
        expected = digest(sorted(view.who for view in views))
        if any((a.number, a.members) != (b.number, b.members) for a, b in pairwise(views)):
            return f"{name}: not all hold one view"
        if views[0].members != expected:
            return f"{name}: the view is not of just those that run"
    if inside != gateways:
        return f"{inside} of {gateways} gateways are in a cell"
    leading = [each.gateways for each in states if each.leads]
    return "" if leading == [gateways] else f"the directory has {leading} of {gateways} gateways"


def _empty_control(held: list[Holding]) -> int:
    """Returns the number of control machines that seed no cell, and so are in none."""
    return sum(1 for each in held if each.nowhere and not each.views)
