"""Cells at size: control machines as processes, hollow gateways beside them, faults, and what all that costs.

May know: processes, messages. May not know: which sizes and faults a run wants.
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

LOOK = 0.25  # s between looks: how finely a time to settle is told


class CellsCost(msgspec.Struct, frozen=True):
    """What one size costs at rest; bytes a second are payload of datagrams and tables, the greater of sent
    and received."""

    gateways: int
    control: int  # machines
    cells: int
    cpu: float  # of a gateway, share of a core
    bytes: float  # of a gateway, bytes/s
    memory: float  # of a gateway, bytes resident
    control_cpu: float  # of a control machine on the mean
    control_bytes: float
    control_memory: float  # bytes resident beyond what it holds without a gateway
    busiest_cpu: float  # of the control machine that took most
    busiest_bytes: float
    lag: Lag


class CellsFleet:
    """Use as `async with`; no gateway runs at first, all control machines do."""

    def __init__(self, control: int, processes: int, each: int, guard: Guard) -> None:
        """`each`: hollow gateways in one of `processes`, which fill up one after the other."""
        self._ports, self._guard, self._each = Ports(), guard, each
        hosts = tuple(self._ports.host() for _ in range(processes))
        addresses = tuple((self._ports.host(), PORT) for _ in range(control))
        self.layout = Layout("scale", addresses, hosts, each)
        self.control: list[Child[CellsReply]] = []
        self.processes: list[Child[CellsReply]] = []
        self.running: set[int] = set()
        self.control_running: set[int] = set()
        self.cutoffs: list[Cutoff] = []
        self._base = self._control_base = 0.0  # bytes that processes hold without gateways
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

    # Asking.

    async def _all(self, command: CellsCommand) -> list[CellsReply]:
        self._guard.check()
        return list(await asyncio.gather(*(c.ask(command) for c in (*self.control, *self.processes))))

    async def count(self, children: Sequence[Child[CellsReply]]) -> list[Counted]:
        """What they used; verdicts and lives are kept."""
        told = await asyncio.gather(*(child.ask(Count()) for child in children))
        counted = [each for each in told if isinstance(each, Counted)]
        self._verdicts += [verdict for each in counted for verdict in each.verdicts]
        return counted

    async def hold(self) -> list[Holding]:
        return [each for each in await self._all(Tell()) if isinstance(each, Holding)]

    # Members.

    async def begin(self, numbers: Iterable[int]) -> int:
        """Start these gateways; ns of the clock when all had begun."""
        chosen = sorted(set(numbers) - self.running)
        await self._to_gateways(chosen, Start)
        self.running |= set(chosen)
        return time.monotonic_ns()

    async def kill(self, numbers: Iterable[int]) -> None:
        """End these gateways without a word."""
        chosen = sorted(set(numbers) & self.running)
        await self._to_gateways(chosen, Kill)
        self.running -= set(chosen)

    async def _to_gateways(self, chosen: list[int], command: type[Start] | type[Kill]) -> None:
        dealt: dict[int, list[int]] = {}
        for number in chosen:
            dealt.setdefault(number // self._each, []).append(number)
        await asyncio.gather(
            *(self.processes[process].ask(command(tuple(mine))) for process, mine in dealt.items())
        )

    async def restart(self, numbers: Sequence[int], over: float, groups: int) -> int:
        """These end and begin anew in `groups` groups within `over` s; ns of the clock of the last."""
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

    # Whether all hold the same.

    async def until_settled(self, most: float, since: int | None = None) -> float | None:
        """s after `since` (now, where it is left out) until all gateways that run are in a cell, and all in
        one cell hold one view of just them and its control machines; None where not within `most` s."""
        since = time.monotonic_ns() if since is None else since
        while True:
            held = await self.hold()
            took = (time.monotonic_ns() - since) / 1e9
            if not unsettled_reason(held, len(self.running)):
                return took
            if took >= most:
                return None
            await asyncio.sleep(LOOK)

    async def leader(self) -> int | None:
        """The number of the control machine that leads."""
        held = await asyncio.gather(*(child.ask(Tell()) for child in self.control))
        leading = [n for n, each in enumerate(held) if isinstance(each, Holding) and each.leads]
        return leading[0] if len(leading) == 1 else None

    async def quiet(self, most: float) -> bool:
        """Until the words of the start are told, and all hold a part; whether that was within `most` s."""
        end = time.monotonic() + most
        while True:
            held = await self.hold()
            views = [view for each in held for view in each.views]
            telling = sum(each.telling for each in held)
            if telling <= AT_REST * len(views) and all(view.part for view in views):
                return True
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK)

    # Costs and faults.

    async def cost(self, span: float, quiet_most: float) -> CellsCost:
        """Over `span` s in which nothing happens. Raises `NotSettled`."""
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
        """What was seen until now does not count."""
        await self.count([*self.control, *self.processes])
        self._verdicts.clear()
        self._watch.take()
        self._members_before = len(self.running)

    async def outcome(self, fault: str, struck: int, since: int, most: float) -> Outcome:
        """What a fault that began at `since` did, once all hold the same again or `most` s are over."""
        took = await self.until_settled(most, since)
        await asyncio.sleep(PEAK_SPAN)
        counted = await self.count([*self.control, *self.processes])
        lives = [life for each in counted for life in each.lives]
        verdicts, self._verdicts = self._verdicts, []
        mistaken = {each.of for each in false_deaths(verdicts, lives, self.cutoffs, region_of_member)}
        told = relayed_deaths(verdicts, lives, self.cutoffs, region_of_member)
        return Outcome(
            fault,
            self._members_before,
            struck,
            None if took is None else round(took, 2),
            max(each.peak for each in counted),
            len(mistaken),
            len(told),
            combined_lag(each.lag for each in counted),
            self._watch.take(),
        )

    async def cut_off(self, region: int, span: float) -> int:
        """A region is cut off for `span` s; ns of the clock of its heal."""
        since = time.monotonic_ns()
        await self._all(CutOff((region,)))
        await asyncio.sleep(span)
        await self._all(CutOff(()))
        until = time.monotonic_ns()
        self.cutoffs.append(Cutoff(region, since, until))
        return until

    def in_zone(self, zone: int) -> tuple[list[int], list[int]]:
        """Gateways and control machines there."""
        return (
            [n for n in self.running if gateway_zone(n) == zone],
            [n for n in self.control_running if control_zone(n) == zone],
        )

    def in_rack(self, rack: int) -> list[int]:
        return [n for n in self.running if in_rack(rack, n)]

    def in_region(self, region: int) -> list[int]:
        return [n for n in self.running if gateway_zone(n) % REGIONS == region]


def cpu_share(before: Counted, after: Counted) -> float:
    """Of a core."""
    return (after.cpu - before.cpu) * 1e9 / (after.at - before.at)


def sent(before: Counted, after: Counted) -> float:
    """bytes/s."""
    return (after.sent - before.sent) * 1e9 / (after.at - before.at)


def received(before: Counted, after: Counted) -> float:
    """bytes/s."""
    return (after.received - before.received) * 1e9 / (after.at - before.at)


def unsettled_reason(held: Iterable[Holding], gateways: int) -> str:
    """Why not all hold the same; nothing where they do. `gateways`: that run."""
    looked = list(held)
    if (nowhere := sum(each.nowhere for each in looked)) > _empty_control(looked):
        return f"{nowhere} are in no cell"
    cells: dict[str, list[InView]] = {}
    for each in looked:
        for view in each.views:
            cells.setdefault(view.cell, []).append(view)
    inside = 0
    for name, views in cells.items():
        mine = [view for view in views if not view.who[0].startswith(CONTROL_PREFIX)]
        inside += len(mine)
        if not mine:
            continue  # one that is empty has nothing to agree on
        wanted = digest(sorted(view.who for view in views))
        if any((a.number, a.members) != (b.number, b.members) for a, b in pairwise(views)):
            return f"{name}: not all hold one view"
        if views[0].members != wanted:
            return f"{name}: the view is not of just those that run"
    if inside != gateways:
        return f"{inside} of {gateways} gateways are in a cell"
    leading = [each.gateways for each in looked if each.leads]
    return "" if leading == [gateways] else f"the directory has {leading} of {gateways} gateways"


def _empty_control(held: list[Holding]) -> int:
    """Control machines that seed no cell: they are in none."""
    return sum(1 for each in held if each.nowhere and not each.views)
