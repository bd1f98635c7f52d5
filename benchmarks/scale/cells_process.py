"""Runs a process of cells: a control machine, or hollow gateways that serve no requests.

The cores, the wire format and the host are the program's own (`trackspread/cells/`), on real sockets. The
process reads one command per line from standard input and answers each (`cells_messages.py`). It does not
know how the run uses its figures.
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

MAX_VERDICTS = 20_000  # Kept between two reports.
MAX_CELL_MEMBERS = 64  # Of one view.
PEAK_SPAN_S = 1.0


def zone_of(zone: int) -> Zone:
    return Zone(f"r{zone % REGIONS}", f"z{zone}")


def machines(layout: Layout) -> tuple[ControlMachine, ...]:
    return tuple(
        ControlMachine(control_name(n), *zone_of(control_zone(n)), at) for n, at in enumerate(layout.control)
    )


class HollowCellHost(Host):
    """Runs one core on sockets and records its verdicts, its traffic and its cells."""

    def __init__(self, core: Controller | Gateway, at: Address, process: CellsProcess) -> None:
        wire = CellsWire(process.layout.fleet, Keys(), MAX_CELL_MEMBERS)
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
        except asyncio.CancelledError:  # The process ends.
            writer.close()

    def _record_event(self, fleet: str, event: StatusEvent) -> None:
        super()._record_event(fleet, event)
        if event.kind == "member":
            who = cast(MemberId, event.details["who"])
            self._record_verdict(who, str(event.details["state"]), str(event.details["by"]))

    def _record_verdict(self, who: MemberId, state: str, reporter: str) -> None:
        now, me = time.monotonic_ns(), self.core.member_id[0]
        if state == "SUSPECT":
            self._suspected.setdefault(who, now)
            return
        since = self._suspected.pop(who, now)
        if state == "DEAD":
            self._process.verdicts.append(DeadVerdict(now, me, who, reporter == me, since))

    def _record_placement(self, action: CellJoined | CellLeft) -> None:
        super()._record_placement(action)
        self._process.placed(self, isinstance(action, CellJoined))

    def members(self) -> list[tuple[str, Member]]:
        """Returns the cell's name and the member for each cell of this core."""
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
        """Returns the bytes since the last call: the greater of sent and received."""
        before, self._before = self._before, (self.sent(), self.received())
        return max(self._before[0] - before[0], self._before[1] - before[1])


class CellsProcess:
    """Runs the control machine or the hollow gateways of this process and executes commands."""

    def __init__(self, setup: SetControl | SetHollow) -> None:
        self._setup, self.layout = setup, setup.layout
        self.partition = Partition(self.layout.region)
        self.verdicts: deque[DeadVerdict] = deque(maxlen=MAX_VERDICTS)
        self._hosts: dict[int, HollowCellHost] = {}
        self._lives: dict[MemberId, Life] = {}
        self._member_ids: dict[
            HollowCellHost, MemberId
        ] = {}  # As which member each is in a cell or among control machines.
        self._ended = (0, 0, 0)  # Datagrams, bytes sent and bytes received of ended hosts.
        self._peak = 0
        self._rng = random.Random()
        self._watch = LagWatch()
        self._peak_task: asyncio.Task[None] | None = None
        self._digests: dict[str, tuple[tuple[MemberId, ...], int]] = {}

    def start(self) -> None:
        self._watch.start()
        self._peak_task = asyncio.get_running_loop().create_task(self._every_second())

    def close(self) -> None:
        self._watch.stop()
        if self._peak_task is not None:
            self._peak_task.cancel()
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

    async def _start(self, number: int) -> None:
        layout, seed, now = self.layout, self._rng.getrandbits(60), time.monotonic_ns()
        core: Controller | Gateway
        if isinstance(self._setup, SetControl):
            at = layout.control[number]
            settings = ControlSettings(
                layout.fleet, control_name(number), created_now_ms(), machines(layout), "hollow"
            )
            core = Controller(settings, now, seed)
        else:
            at = layout.address(number)
            core = Gateway(
                GatewaySettings(
                    layout.fleet,
                    name_of(number),
                    created_now_ms(),
                    at,
                    zone_of(gateway_zone(number)),
                    machines(layout),
                    "hollow",
                ),
                now,
                seed,
            )
        host = self._hosts[number] = HollowCellHost(core, at, self)
        if isinstance(core, Controller):
            self._record_life(host, core.member_id)
        await host.start()

    def _kill(self, number: int) -> None:
        host = self._hosts.pop(number)
        ended = self._ended
        self._ended = (ended[0] + host.counts["sent"], ended[1] + host.sent(), ended[2] + host.received())
        self._record_life(host, None)
        host._close_sockets()  # `close` would send a message to others first.

    def placed(self, host: HollowCellHost, joined: bool) -> None:
        """Records that a gateway joined a cell or left one."""
        self._record_life(host, host.core.member_id if joined else None)

    def _record_life(self, host: HollowCellHost, who: MemberId | None) -> None:
        now = time.monotonic_ns()
        if (ended_as := self._member_ids.pop(host, None)) is not None:
            self._lives[ended_as] = Life(ended_as, self._lives[ended_as].since, now)
        if who is not None:
            self._member_ids[host], self._lives[who] = who, Life(who, now)

    def _holding(self, with_views: bool) -> Holding:
        now, views, telling, nowhere = time.monotonic_ns(), list[InView](), 0, 0
        leads, gateways, cells = False, -1, -1
        for host in self._hosts.values() if with_views else ():
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
        """Returns the digest of a cell's members, computed once for all members here with the same view."""
        cached = self._digests.get(cell)
        if cached is None or cached[0] != members:
            cached = self._digests[cell] = members, digest(members)
        return cached[1]

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
        """Moves each member's next exchange of tables to a random time within the interval of exchanges."""
        for host in self._hosts.values():
            for _, member in host.members():
                member.discovery.anti_entropy_at_ns = time.monotonic_ns() + int(
                    ANTI_ENTROPY_INTERVAL_NS * self._rng.random()
                )

    async def _every_second(self) -> None:
        while True:
            await asyncio.sleep(PEAK_SPAN_S)
            self._peak = max([self._peak, *(host.since_last() for host in self._hosts.values())])


async def serve() -> None:
    """Executes the commands of the run until it ends."""
    process: CellsProcess | None = None

    async def answer(command: CellsCommand) -> CellsReply:
        nonlocal process
        if isinstance(command, SetControl | SetHollow):
            process = CellsProcess(command)
            process.start()
        if process is None:
            raise SystemExit("first command: must be SetControl or SetHollow")
        return await process.do(command)

    await answer_all(CellsCommand, answer, Quit)
    if process is not None:
        process.close()


if __name__ == "__main__":
    uvloop.run(serve())
