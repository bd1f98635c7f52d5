"""A gateway's side: which cell it is to be in, that it is in it, and how it moves from one to another.

The host calls as `controller.py` says. The rules of this file:
- A gateway asks a control machine of its region which cell it is to be in, and goes on asking one of the
  cell's seeds, seldom. Without an answer it asks others, of other regions too, ever less often, at times that
  are drawn: a region that heals hears no storm.
- It goes by what it has until a greater number says otherwise, whatever does not answer.
- It moves by leaving the one cell, whose slots it gives back, and then joining the other: it is never in two.

| event | without a cell | in one |
| --- | --- | --- |
| placement, number not greater | | passed over, but for a newer entry of the same cell |
| placement, same cell | joined | taken up |
| placement, another cell | joined | left, then joined |
| no answer | asks again, soon, then seldom | stays, asks again |
| fenced: a newer process has this name | | asks and says no more |

May know: its cell's member. May not know: the directory, other cells.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..membership.actions import Action
from ..membership.identifiers import Address, MemberId
from ..membership.member import Member
from ..membership.messages import MemberMessage, TableSnapshot
from ..membership.settings import MemberSettings
from .terms import (
    MS,
    SECOND,
    CellsAction,
    ControlMachine,
    InCell,
    Joined,
    Left,
    Locate,
    Located,
    Message,
    Placement,
    Send,
    Zone,
)

REFRESH = 6 * SECOND  # ns, the mean, between questions of one that is in a cell
ASK, ASK_MOST = 500 * MS, 4 * SECOND  # ns until one without an answer asks again: first, and at most
OTHERS_AFTER = 3  # questions without an answer, after which control machines of other regions are asked too
CELL_MOST = 64  # members of a cell, as its tables are bounded by


class GatewaySettings(NamedTuple):
    """One gateway's. `machines`: control machines, of its own region at least."""

    fleet: str
    name: str
    born: int
    address: Address
    zone: Zone
    machines: tuple[ControlMachine, ...]
    version: str = ""
    period: int = 300 * MS
    keep: int = 30 * SECOND


class Gateway:
    """The core. `seed`: of all its chances; `born` in the settings: wall clock, ms, at its start."""

    def __init__(self, settings: GatewaySettings, now: int, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.held: Placement | None = None
        self.member: Member | None = None
        self.answered_at: int | None = None  # by a control machine
        self._born, self._failed = settings.born, 0
        self._ask_at = now
        self._control = frozenset(machine.name for machine in settings.machines)
        self._near = [m.address for m in settings.machines if m.region == settings.zone.region]
        self._all = [m.address for m in settings.machines]
        self._out: list[CellsAction] = []
        self.gone = False

    @property
    def member_id(self) -> MemberId:
        return self.member.member_id if self.member is not None else (self.settings.name, self._born)

    @property
    def fenced(self) -> bool:
        return self.member is not None and self.member.is_fenced

    def part(self, now: int) -> int:
        """The slots of what its cell shares that this gateway may act on at this instant."""
        return self.member.usable_slots(now) if self.member is not None else 0

    # What the host calls.

    def start(self, now: int) -> list[CellsAction]:
        """Many may start at once: not all ask at once."""
        self._ask_at = now + int(ASK * self.rng.random())
        return self._done()

    def tick(self, now: int) -> list[CellsAction]:
        if self.member is not None:
            self._do(self.member.tick(now))
        if not self.gone and not self.fenced and now >= self._ask_at:
            self._ask(now)
        return self._done()

    def receive(self, now: int, member_message: MemberMessage, source: Address) -> list[CellsAction]:
        return self._on(member_message.fleet, lambda member: member.receive(now, member_message, source))

    def merge(self, now: int, table: TableSnapshot) -> list[CellsAction]:
        return self._on(table.fleet, lambda member: member.merge(now, table))

    def table_snapshot(self, fleet: str) -> TableSnapshot | None:
        member = self._in(fleet)
        return member.table_snapshot() if member is not None else None

    def message(self, now: int, message: Message, source: Address) -> list[CellsAction]:
        body = message.body
        mine = message.fleet == self.settings.fleet and message.name in self._control
        if (
            mine
            and not self.gone
            and not self.fenced
            and isinstance(body, Located)
            and body.to == self.member_id
        ):
            self.answered_at, self._failed = now, 0
            self._ask_at = now + int(REFRESH * self.rng.uniform(0.7, 1.3))
            self._placed(now, body.placement)
        return self._done()

    def send_data(self, names: Iterable[str], data: bytes) -> list[CellsAction]:
        """To those of these that are here in the cell."""
        if self.member is not None:
            self._do(self.member.send_data(names, data))
        return self._done()

    def leave(self, now: int) -> list[CellsAction]:
        """In good order."""
        if not self.gone:
            self._leave(now)
            self.gone = True
        return self._done()

    def hand_over(self) -> list[CellsAction]:
        """Another process goes on under this name."""
        if not self.gone:
            if self.member is not None:
                self._do(self.member.hand_over())
            self.gone = True
        return self._done()

    # The cell.

    def _in(self, fleet: str) -> Member | None:
        return self.member if self.held is not None and fleet == self.held.cell.name else None

    def _on(self, fleet: str, call: Callable[[Member], Iterable[Action]]) -> list[CellsAction]:
        member = self._in(fleet)
        if member is not None:
            self._do(call(member))
        return self._done()

    def _do(self, actions: Iterable[Action]) -> None:
        if self.held is not None:
            self._out += [InCell(self.held.cell.name, action) for action in actions]

    def _done(self) -> list[CellsAction]:
        out, self._out = self._out, []
        return out

    def _ask(self, now: int) -> None:
        """Until it is answered, the next time is further off, and drawn."""
        span = min(ASK_MOST, ASK << min(self._failed, 10))
        self._ask_at = now + int(span * self.rng.uniform(0.5, 1.5))
        to = self._asked()
        self._failed += 1
        zone, address = self.settings.zone, self.settings.address
        body = Locate(zone.region, zone.zone, address, self.held)
        self._out.append(Send(to, Message(self.settings.fleet, *self.member_id, body)))

    def _asked(self) -> Address:
        """Its cell's seeds know it best; then its region; then whoever is left."""
        if self.held is not None and not self._failed:
            return self.rng.choice(self.held.cell.seeds)
        if self._near and self._failed < OTHERS_AFTER:
            return self.rng.choice(self._near)
        return self.rng.choice(self._all)

    def _placed(self, now: int, placement: Placement) -> None:
        held = self.held
        if held is None:
            self._join(now, placement)
        elif placement.cell.name == held.cell.name:
            if placement.number >= held.number and placement.cell.number >= held.cell.number:
                self.held = placement
        elif placement.number > held.number:
            self._leave(now)
            self._join(now, placement)

    def _leave(self, now: int) -> None:
        if self.member is None or self.held is None:
            return
        self._born = self.member.member_id[1]
        self._do(self.member.leave(now))
        self._out.append(Left(self.held))
        self.member = None

    def _join(self, now: int, placement: Placement) -> None:
        """As another process of its name: the former one has left, should it ever come back to a cell."""
        mine, cell = self.settings, placement.cell
        self.held, self._born = placement, self._born + 1
        settings = MemberSettings(
            cell.name,
            mine.name,
            self._born,
            mine.address,
            cell.seeds,
            mine.version,
            mine.period,
            CELL_MOST,
            lease_duration_ns=mine.keep,
        )
        self.member = Member(settings, now, self.rng.getrandbits(60))
        self._out.append(Joined(placement))
        self._do(self.member.start(now))
