"""A process of cells: a control machine, or hollow gateways that serve nothing.

The cores, the wire and the host are the program's own (`trackspread/cells/`), on real sockets. Reads one
command a line from standard input and answers each (`cells_messages.py`). May know: these cores. May not
know: what the run makes of its figures.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections import deque
from typing import cast

import uvloop

from trackspread.cells.actions import CellJoined, CellLeft
from trackspread.cells.controller import Controller, ControlSettings
from trackspread.cells.gateway import Gateway, GatewaySettings
from trackspread.cells.host import Host
from trackspread.cells.topology import ControlMachine, Zone
from trackspread.cells.wire import CellsWire
from trackspread.membership.actions import StatusEvent
from trackspread.membership.discovery import ANTI_ENTROPY_INTERVAL_NS
from trackspread.membership.host import created_now_ms
from trackspread.membership.member import Member
from trackspread.membership.wire import Keys

from .answering import answer_all
from .bounds import resident
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
)
from .lag import LagWatch
from .messages import DeadVerdict, Life, MemberId
from .placement import REGIONS, Address, Partition, control_name, name_of
from .view import digest

VERDICTS_MOST = 20_000  # kept between two questions
CELL_MOST = 64  # members of one view
PEAK_SPAN = 1.0  # s


def place(zone: int) -> Zone:
    return Zone(f"r{zone % REGIONS}", f"z{zone}")


def machines(layout: Layout) -> tuple[ControlMachine, ...]:
    return tuple(
        ControlMachine(control_name(n), *place(control_zone(n)), at) for n, at in enumerate(layout.control)
    )


class HollowCellHost(Host):
    """One core, and what it has told."""

    def __init__(self, core: Controller | Gateway, at: Address, process: CellsProcess) -> None:
        wire = CellsWire(process.layout.fleet, Keys(), CELL_MOST)
        super().__init__(core, at, wire, time.monotonic_ns)
        self._process, self._before = process, (0, 0)
        self._suspected: dict[MemberId, int] = {}

    def datagram_received(self, data: bytes, source: Address) -> None:
        if self._process.partition.passes(source, self._listen):
            super().datagram_received(data, source)

    def _start_exchange(self, to: Address, fleet: str) -> None:
        if self._process.partition.passes(self._listen, to):
            super()._start_exchange(to, fleet)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await super()._serve(reader, writer)
        except asyncio.CancelledError:  # the process ends
            writer.close()

    def _record_event(self, fleet: str, told: StatusEvent) -> None:
        super()._record_event(fleet, told)
        if told.kind == "member":
            who = cast(MemberId, told.details["who"])
            self._judged(who, str(told.details["state"]), str(told.details["by"]))

    def _judged(self, who: MemberId, state: str, teller: str) -> None:
        now, me = time.monotonic_ns(), self.core.member_id[0]
        if state == "SUSPECT":
            self._suspected.setdefault(who, now)
            return
        since = self._suspected.pop(who, now)
        if state == "DEAD":
            self._process.verdicts.append(DeadVerdict(now, me, who, teller == me, since))

    def _record_placement(self, action: CellJoined | CellLeft) -> None:
        super()._record_placement(action)
        self._process.placed(self, isinstance(action, CellJoined))

    def members(self) -> list[tuple[str, Member]]:
        """Of each cell that this core takes part in."""
        if isinstance(self.core, Controller):
            return [(name, seeding.member) for name, seeding in self.core.cells.items()]
        if self.core.member is None or self.core.placement is None:
            return []
        return [(self.core.placement.cell.name, self.core.member)]

    def sent(self) -> int:
        return self.counts["bytes sent"] + self.counts["table bytes sent"]

    def received(self) -> int:
        return self.counts["bytes received"] + self.counts["table bytes received"]

    def since_last(self) -> int:
        """Bytes since the last call, the greater of sent and received."""
        before, self._before = self._before, (self.sent(), self.received())
        return max(self._before[0] - before[0], self._before[1] - before[1])


class CellsProcess:
    """All that runs in this process."""

    def __init__(self, setup: SetControl | SetHollow) -> None:
        self._setup, self.layout = setup, setup.layout
        self.partition = Partition(self.layout.region)
        self.verdicts: deque[DeadVerdict] = deque(maxlen=VERDICTS_MOST)
        self._hosts: dict[int, HollowCellHost] = {}
        self._lives: dict[MemberId, Life] = {}
        self._as: dict[HollowCellHost, MemberId] = {}  # as whom each is in a cell, or among control machines
        self._ended = (0, 0, 0)  # datagrams, bytes sent and received of those that have ended
        self._peak = 0
        self._rng = random.Random()
        self._watch = LagWatch()
        self._beat: asyncio.Task[None] | None = None
        self._digests: dict[str, tuple[tuple[MemberId, ...], int]] = {}

    def start(self) -> None:
        self._watch.start()
        self._beat = asyncio.get_running_loop().create_task(self._every_second())

    def close(self) -> None:
        self._watch.stop()
        if self._beat is not None:
            self._beat.cancel()
        for number in list(self._hosts):
            self._kill(number)

    async def do(self, command: CellsCommand) -> CellsReply:
        match command:
            case Start():
                for number in command.numbers:
                    await self._start(number)
                    await asyncio.sleep(0.0)
            case Kill():
                for number in command.numbers:
                    self._kill(number)
            case CutOff():
                self.partition.cut(command.regions)
            case Spread():
                self._spread()
            case Count():
                return self._counted()
        return self._holding(isinstance(command, Tell))

    # Members.

    async def _start(self, number: int) -> None:
        layout, seed, now = self.layout, self._rng.getrandbits(60), time.monotonic_ns()
        core: Controller | Gateway
        if isinstance(self._setup, SetControl):
            at = layout.control[number]
            mine = ControlSettings(
                layout.fleet, control_name(number), created_now_ms(), machines(layout), "hollow"
            )
            core = Controller(mine, now, seed)
        else:
            at = layout.address(number)
            core = Gateway(
                GatewaySettings(
                    layout.fleet,
                    name_of(number),
                    created_now_ms(),
                    at,
                    place(gateway_zone(number)),
                    machines(layout),
                    "hollow",
                ),
                now,
                seed,
            )
        host = self._hosts[number] = HollowCellHost(core, at, self)
        if isinstance(core, Controller):
            self._lives_as(host, core.member_id)
        await host.start()

    def _kill(self, number: int) -> None:
        host = self._hosts.pop(number)
        ended = self._ended
        self._ended = (ended[0] + host.counts["sent"], ended[1] + host.sent(), ended[2] + host.received())
        self._lives_as(host, None)
        host._close_sockets()  # without a word, as `close` would say one

    def placed(self, host: HollowCellHost, joined: bool) -> None:
        """A gateway has joined a cell, or left one."""
        self._lives_as(host, host.core.member_id if joined else None)

    def _lives_as(self, host: HollowCellHost, who: MemberId | None) -> None:
        now = time.monotonic_ns()
        if (former := self._as.pop(host, None)) is not None:
            self._lives[former] = Life(former, self._lives[former].since, now)
        if who is not None:
            self._as[host], self._lives[who] = who, Life(who, now)

    # What they hold and have used.

    def _holding(self, whole: bool) -> Holding:
        now, views, telling, nowhere = time.monotonic_ns(), list[InView](), 0, 0
        leads, gateways, cells = False, -1, -1
        for host in self._hosts.values() if whole else ():
            members = host.members()
            nowhere += not members
            for name, member in members:
                telling += len(member.gossip)
                views.append(self._in_view(now, host, name, member))
            core = host.core
            if isinstance(core, Controller) and core.is_leader(now) and core.leader is not None:
                entries = core.leader.directory.entries.values()
                leads, gateways, cells = True, sum(len(each.members) for each in entries), len(entries)
        return Holding(now, tuple(views), nowhere, telling, leads, gateways, cells)

    def _in_view(self, now: int, host: HollowCellHost, cell: str, member: Member) -> InView:
        held = member.view.members if member.view is not None else ()
        part = isinstance(host.core, Controller) or bool(member.usable_slots(now))
        return InView(member.member_id, cell, member.view_number(), self._digest(cell, held), part)

    def _digest(self, cell: str, members: tuple[MemberId, ...]) -> int:
        """Made once for all here that hold the same."""
        kept = self._digests.get(cell)
        if kept is None or kept[0] != members:
            kept = self._digests[cell] = members, digest(members)
        return kept[1]

    def _counted(self) -> Counted:
        hosts = self._hosts.values()
        verdicts = tuple(self.verdicts)
        self.verdicts.clear()
        peak, self._peak = self._peak, 0
        return Counted(
            time.monotonic_ns(),
            time.process_time(),
            resident(os.getpid()),
            len(hosts),
            self._ended[0] + sum(host.counts["sent"] for host in hosts),
            self._ended[1] + sum(host.sent() for host in hosts),
            self._ended[2] + sum(host.received() for host in hosts),
            peak,
            self._watch.take(),
            tuple(self._lives.values()),
            verdicts,
        )

    def _spread(self) -> None:
        """The members' next exchanges of tables at any moment of the interval between two."""
        for host in self._hosts.values():
            for _, member in host.members():
                member.discovery.anti_entropy_at_ns = time.monotonic_ns() + int(
                    ANTI_ENTROPY_INTERVAL_NS * self._rng.random()
                )

    async def _every_second(self) -> None:
        while True:
            await asyncio.sleep(PEAK_SPAN)
            self._peak = max([self._peak, *(host.since_last() for host in self._hosts.values())])


async def serve() -> None:
    """As the run asks, until it ends."""
    process: CellsProcess | None = None

    async def answer(command: CellsCommand) -> CellsReply:
        nonlocal process
        if isinstance(command, SetControl | SetHollow):
            process = CellsProcess(command)
            process.start()
        if process is None:
            raise SystemExit("the first command has to set this process up")
        return await process.do(command)

    await answer_all(CellsCommand, answer, Quit)
    if process is not None:
        process.close()


if __name__ == "__main__":
    uvloop.run(serve())
