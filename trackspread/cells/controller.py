"""One control machine: its seat in the control machines' own view, the cells it seeds, and leading.

The host calls `start` once, `tick` every `TICK`, `received` for each datagram of a view, `message` for each
other one, `table` and `merge` for each exchange over a connection, and does what each returns in order.

The rules of this file:
- Who coordinates the control machines' view leads, as long as it owns that: no other election is held. It
  asks at each instant whether it still does. Words of a leader with an older epoch than the newest known are
  dropped.
- A cell is seeded on the leader's word alone, and given up on it alone.
- A gateway's question is answered here where the cell that it holds is seeded here, open, and no move of it
  is known; else by the leader. While that is out of reach (`ALONE`), a gateway without a cell is sent to one
  of its zone that is seeded here and has room, by that cell's own number: nothing is opened, closed or moved.

May know: members' cores, the leader's work. May not know: sockets, how gateways decide.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from itertools import zip_longest
from typing import NamedTuple

from ..membership.actions import Action
from ..membership.identifiers import Address, Epoch, MemberId
from ..membership.identifiers import OBSERVER
from ..membership.member import Member
from ..membership.messages import MemberMessage, State, TableSnapshot
from ..membership.settings import MemberSettings
from .leading import Leading
from .seeding import Seeding
from .terms import (
    MS,
    SECOND,
    Bodies,
    Cell,
    CellReport,
    CellsAction,
    ControlMachine,
    Describe,
    Described,
    Forwarded,
    InCell,
    Leads,
    Locate,
    Located,
    Message,
    Move,
    Noted,
    Placed,
    Placement,
    Policy,
    Retire,
    Seed,
    Send,
    StatusEvent,
    Zone,
)

VOTERS = 7  # of the control machines: an election among more has more to wait for than it gains
ALONE = 5 * SECOND  # ns without an answer of the leader, from which newcomers are placed without it
CELLS_MOST = 1_024  # that one control machine seeds
GIVEN_UP_MOST = 1_024  # cells given up that are remembered, so that late words do not bring them back
CELL_MOST = 64  # members of a cell, as its views' tables are bounded by


class ControlSettings(NamedTuple):
    """One control machine's. `machines`: all of them, in the same order everywhere."""

    fleet: str
    name: str
    born: int
    machines: tuple[ControlMachine, ...]
    version: str = ""
    policy: Policy = Policy()
    period: int = 300 * MS
    keep: int = 30 * SECOND


def voters(machines: Iterable[ControlMachine]) -> tuple[Address, ...]:
    """An odd number, from all regions in turn: of three regions or more none has a majority."""
    regions: dict[str, list[ControlMachine]] = {}
    for machine in machines:
        regions.setdefault(machine.region, []).append(machine)
    turns = [m for turn in zip_longest(*regions.values()) for m in turn if m is not None]
    return tuple(m.address for m in turns[: min(VOTERS, len(turns) - (len(turns) + 1) % 2)])


class Controller:
    """The core. `seed`: of all its chances; `born` in the settings: wall clock, ms, at its start."""

    def __init__(self, settings: ControlSettings, now: int, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.me = next(m for m in settings.machines if m.name == settings.name)
        self._names = frozenset(m.name for m in settings.machines)
        self._by_name = {m.name: m for m in settings.machines}
        self._seeds = voters(settings.machines)
        tier = self._member(settings.fleet, self._seeds, 2 * len(settings.machines))
        self.tier = Member(tier, now, self.rng.getrandbits(60))
        self.cells: dict[str, Seeding] = {}
        self.given_up: dict[str, Retire] = {}
        self.leading: Leading | None = None
        self.epoch: Epoch = (0, -1)  # the newest leader's that is known
        self._out: list[CellsAction] = []
        self.gone = False

    def _member(self, fleet: str, seeds: tuple[Address, ...], most: int) -> MemberSettings:
        mine = self.settings
        return MemberSettings(
            fleet,
            mine.name,
            mine.born,
            self.me.address,
            seeds,
            mine.version,
            mine.period,
            max(CELL_MOST, most),
            OBSERVER,
            mine.keep,
        )

    @property
    def member_id(self) -> MemberId:
        return self.settings.name, self.settings.born

    def leads(self, now: int) -> bool:
        return self.leading is not None and self.tier.is_coordinator(now)

    # What the host calls.

    def start(self, now: int) -> list[CellsAction]:
        self._do(self.settings.fleet, self.tier.start(now))
        return self._done()

    def tick(self, now: int) -> list[CellsAction]:
        if not self.gone:
            self._do(self.settings.fleet, self.tier.tick(now))
            for name, seeding in list(self.cells.items()):
                self._do(name, seeding.member.tick(now))
            self._lead(now)
            self._report(now)
        return self._done()

    def receive(self, now: int, member_message: MemberMessage, source: Address) -> list[CellsAction]:
        """A datagram of a view that this machine may be in."""
        return self._on(member_message.fleet, lambda member: member.receive(now, member_message, source))

    def merge(self, now: int, table: TableSnapshot) -> list[CellsAction]:
        return self._on(table.fleet, lambda member: member.merge(now, table))

    def table_snapshot(self, fleet: str) -> TableSnapshot | None:
        """What is held of one view, for another member of it."""
        member = self._in(fleet)
        return member.table_snapshot() if member is not None else None

    def message(self, now: int, message: Message, source: Address) -> list[CellsAction]:
        if not self.gone and message.fleet == self.settings.fleet and message.who != self.member_id:
            self._message(now, message, source)
        return self._done()

    def leave(self, now: int) -> list[CellsAction]:
        """In good order. What it seeds goes on with the other seeds."""
        if not self.gone:
            for name, seeding in self.cells.items():
                self._do(name, seeding.member.leave(now))
            self._do(self.settings.fleet, self.tier.leave(now))
            self._led(None)
            self.gone = True
        return self._done()

    # Views.

    def _in(self, fleet: str) -> Member | None:
        if fleet == self.settings.fleet:
            return self.tier
        seeding = self.cells.get(fleet)
        return seeding.member if seeding is not None else None

    def _on(self, fleet: str, call: Callable[[Member], Iterable[Action]]) -> list[CellsAction]:
        member = self._in(fleet)
        if member is not None and not self.gone:
            self._do(fleet, call(member))
        return self._done()

    def _do(self, fleet: str, actions: Iterable[Action]) -> None:
        self._out += [InCell(fleet, action) for action in actions]

    def _done(self) -> list[CellsAction]:
        out, self._out = self._out, []
        return out

    # Leading.

    def _lead(self, now: int) -> None:
        if not self.tier.is_coordinator(now) or self.tier.coordinator is None:
            self._led(None)
            return
        epoch = self.tier.coordinator.epoch
        if self.leading is None or self.leading.epoch != epoch:
            self.leading = Leading(now, epoch, self.settings.policy, self.settings.machines)
            self._led(epoch)
        live = {
            p.update.name: p.update.created_at_ms
            for p in self.tier.member_table.present()
            if p.update.state == State.ALIVE
        }
        live[self.settings.name] = self.settings.born
        for to, body in self.leading.tick(now, live):
            self._say(now, to, body, epoch)

    def _led(self, epoch: Epoch | None) -> None:
        if epoch is not None:
            self.epoch = max(self.epoch, epoch)
        elif self.leading is None:
            return
        else:
            self.leading = None
        self._out.append(Leads(epoch))

    def _say(self, now: int, to: Address, body: Bodies, epoch: Epoch | None = None) -> None:
        """Sent, or heard at once where it is for this machine itself."""
        message = Message(self.settings.fleet, *self.member_id, body, epoch)
        if to == self.me.address:
            self._message(now, message, to)
        else:
            self._out.append(Send(to, message))

    def _leader(self) -> Address | None:
        """Where the newest leader that is known is reached."""
        leader = self.tier.leader
        return leader.address if leader is not None else None

    # Reports.

    def _report(self, now: int) -> None:
        leader = self.tier.leader
        if leader is None:
            return
        self.epoch = max(self.epoch, leader.epoch)
        for seeding in self.cells.values():
            for report in seeding.reports(now, leader.epoch, self._names, self.rng):
                self._say(now, leader.address, report)

    # Messages.

    def _message(self, now: int, message: Message, source: Address) -> None:
        body = message.body
        if isinstance(body, Locate):
            self._locate(now, message.who, body)
        elif isinstance(body, Describe):
            self._describe(now, body.page, source)
        elif message.name not in self._names:
            return  # only control machines say the rest
        elif message.epoch is not None:
            if message.epoch >= self.epoch:
                self.epoch = message.epoch
                self._led_by(now, message.epoch, body)
        elif self.leading is not None and self.tier.is_coordinator(now):
            self._asked(now, self.leading, self._by_name[message.name], body)

    def _asked(self, now: int, leading: Leading, machine: ControlMachine, body: Bodies) -> None:
        """As the leader."""
        match body:
            case Forwarded():
                refused = leading.directory.refused
                if (placed := leading.placed(now, body)) is not None:
                    self._say(now, machine.address, placed, leading.epoch)
                elif leading.directory.refused > refused:
                    self._out.append(StatusEvent("full", {"gateways": self.settings.policy.gateways}))
            case CellReport():
                for told in leading.reported(now, machine, body):
                    self._say(now, machine.address, told, leading.epoch)
            case Retire():
                leading.directory.known_given_up(body.name)

    def _led_by(self, now: int, epoch: Epoch, body: Bodies) -> None:
        """What the leader wants done."""
        match body:
            case Placed():
                self._say(now, body.address, Located(body.to, body.placement))
            case Seed():
                self._seed(now, body.cell)
            case Retire():
                self._retire(body)
            case Move():
                self._move(now, body)
            case Noted():
                if (seeding := self.cells.get(body.name)) is not None:
                    seeding.heard(epoch, body)

    def _seed(self, now: int, cell: Cell) -> None:
        seeding = self.cells.get(cell.name)
        if seeding is not None:
            if cell.number > seeding.cell.number:
                seeding.cell = cell
            return
        if (gone := self.given_up.get(cell.name)) is not None:
            if (leader := self._leader()) is not None:  # one that came later does not know
                self._say(now, leader, gone)
            return
        if self.me.address not in cell.seeds or len(self.cells) >= CELLS_MOST:
            return
        settings = self._member(cell.name, cell.seeds, CELL_MOST)
        seeding = self.cells[cell.name] = Seeding(cell, Member(settings, now, self.rng.getrandbits(60)))
        self._out.append(StatusEvent("seeds", {"cell": cell.name, "number": cell.number}))
        self._do(cell.name, seeding.member.start(now))

    def _retire(self, retire: Retire) -> None:
        seeding = self.cells.get(retire.name)
        if seeding is None or retire.number < seeding.cell.number:
            return
        del self.cells[retire.name]
        if len(self.given_up) >= GIVEN_UP_MOST:
            del self.given_up[next(iter(self.given_up))]
        self.given_up[retire.name] = retire
        self._out.append(StatusEvent("retired", {"cell": retire.name, "number": retire.number}))

    def _move(self, now: int, move: Move) -> None:
        if (seeding := self.cells.get(move.cell)) is None:
            return
        for name in move.gateways:
            held = seeding.member.member_table.by_name.get(name)
            if seeding.moved(name, move.placement) and held is not None and held.is_present:
                word = held.update
                self._say(now, word.address, Located(word.member_id, move.placement))

    def _describe(self, now: int, page: int, source: Address) -> None:
        """For an operator."""
        if self.leading is not None and self.tier.is_coordinator(now):
            self._say(now, source, self.leading.described(page, self.me.address))
        else:
            self._say(now, source, Described(self._leader(), page, 0, 0, ()))

    # Gateways' questions.

    def _locate(self, now: int, who: MemberId, locate: Locate) -> None:
        placement = self._own(who, locate)
        if placement is None and now - self.tier.renewal.answered_at_ns >= ALONE:
            placement = self._without_leader(now, who, locate)
        if placement is not None:
            self._say(now, locate.address, Located(who, placement))
        elif (leader := self._leader()) is not None:
            self._say(now, leader, Forwarded(who, locate))

    def _own(self, who: MemberId, locate: Locate) -> Placement | None:
        """The answer to a gateway of a cell that is seeded here, where it needs no leader."""
        held = locate.held
        seeding = self.cells.get(held.cell.name) if held is not None else None
        if held is None or seeding is None:
            return None
        moved = seeding.moves.get(who[0])
        if moved is not None and moved.number > held.number:
            return moved
        if seeding.cell.closing or seeding.cell.place != Zone(locate.region, locate.zone):
            return None
        return Placement(held.number, seeding.cell)

    def _without_leader(self, now: int, who: MemberId, locate: Locate) -> Placement | None:
        """A cell of its zone that is seeded here; the one it was in before rather than another."""
        zone = Zone(locate.region, locate.zone)
        if locate.held is not None:
            return None
        best: tuple[bool, int, str] | None = None
        for name, seeding in self.cells.items():
            if seeding.cell.place != zone or seeding.cell.closing or not seeding.known_view:
                continue
            gateways = [gateway for gateway, _ in seeding.gateways(self._names)]
            former = who[0] in gateways
            if former or len(gateways) < self.settings.policy.target:
                best = max(best or (False, -1, ""), (former, len(gateways), name))
        if best is None:
            return None
        cell = self.cells[best[2]].cell
        return Placement(cell.number, cell)
