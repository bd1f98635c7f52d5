"""The directory of cells: which there are, which gateways are in each, and who is to go where.

The rules of this file:
- A gateway is sent to the fullest cell of its zone that is below `target`; to the one it was in before, where
  that is known: there its former self's part is free at once. Where there is none, a cell is opened.
- A cell above `most` gives half of its gateways to others with room, or to a new one.
- A cell of `least` or fewer that fits into another is closed once neither has changed for `hold`: gateways
  that are cut off vanish one by one, and come back so. So is one without gateways for `idle`: whoever is out
  of reach for less comes back to it, and nobody is moved into a cell without any. So is one that has lost a
  seed for `replace` while its region has others. A closing cell's gateways are sent elsewhere; once it has
  been empty for `EMPTY`, it is given up.
- A gateway is moved only to a cell that has a view already, as its seeds report.
- One change of this kind at a time in a zone, `MOVES` gateways a second at most: a move costs its gateway the
  time of a join.
- All of it is soft state. A leader begins with nothing and waits `REBUILD` for what control machines report
  before it opens, closes or moves anything; a cell that only its gateways remember is taken up by their word.
- Seeds that are out of reach with all of their region say nothing of their cells: these are left alone.

May know: reports, questions, which control machines are live, times handed in. May not know: how words
travel.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from msgspec import structs

from ..membership.identifiers import NO_VIEW, Address, Epoch, MemberId, ViewNumber
from .terms import SECOND, SEEDS, Cell, ControlMachine, Locate, Placement, Policy, Zone

REBUILD = 3 * SECOND  # ns from the first moment of a leader, in which control machines report
COMING = 8 * SECOND  # ns for which somebody that was sent to a cell counts there before it is reported
EMPTY = 5 * SECOND  # ns for which a closing cell has to be without gateways before it is given up
PACE = 1 * SECOND  # ns between two rounds of moves in one zone
MOVES = 4  # gateways in one round
AGAIN = 3 * SECOND  # ns after which a gateway that is still where it was is told again to move
GIVEN_UP_MOST = 1_024  # cells given up that are remembered


class Moving(NamedTuple):
    """A gateway that was told to move."""

    cell: str  # the one that it is to leave
    placement: Placement
    told_at: int


class MoveWanted(NamedTuple):
    """A gateway of a cell is to be told its new placement."""

    cell: Cell
    gateway: str
    placement: Placement


@dataclass(slots=True)
class Entry:
    """What is known of one cell; `members`: gateways of the newest view that was reported."""

    cell: Cell
    since: int  # when it came to be known here
    view: ViewNumber = NO_VIEW
    members: dict[str, int] = field(default_factory=dict)  # name: born
    coming: dict[str, int] = field(default_factory=dict)  # sent here, by name: until when that counts
    counted: int = 0  # at the last look
    changed_at: int = 0  # when it was seen to have others than before
    small_since: int | None = None
    empty_since: int | None = None

    def count(self) -> int:
        return len(self.members.keys() | self.coming.keys())


class Directory:
    """One leader's, under its epoch. `entries` by the cell's name; `given_up`: those that are no more."""

    def __init__(self, now: int, epoch: Epoch, policy: Policy, machines: tuple[ControlMachine, ...]) -> None:
        self.epoch, self.policy = epoch, policy
        self._machines = {machine.address: machine for machine in machines}
        self._begun, self._count = now, 0
        self.entries: dict[str, Entry] = {}
        self.given_up: dict[str, Cell] = {}
        self._where: dict[str, str] = {}  # the cell that a gateway is in, or was sent to, by its name
        self._moving: dict[str, Moving] = {}
        self._to_split: dict[Zone, list[tuple[str, str]]] = {}  # gateways that a split moves, and their cells
        self._paced: dict[Zone, int] = {}
        self._lost: dict[Address, int] = {}  # control machines that are not live: since when
        self.refused = 0  # questions beyond the size that is set

    # What comes.

    def rebuilding(self, now: int) -> bool:
        """Whether control machines may not have reported yet."""
        return now - self._begun < REBUILD

    def locate(self, now: int, who: MemberId, locate: Locate) -> Placement | None:
        """Where this gateway is to be; None: not known yet, or there is no room."""
        name, zone = who[0], Zone(locate.region, locate.zone)
        if (moving := self._moving.get(name)) is not None:
            return moving.placement
        held = locate.held
        if (
            held is not None
            and (entry := self._known(now, held.cell)) is not None
            and not entry.cell.closing
            and entry.cell.place == zone
        ):
            self._sent(now, name, entry)
            return Placement(held.number, entry.cell)
        former = self.entries.get(self._where.get(name, ""))
        if former is not None and not former.cell.closing and former.cell.place == zone:
            self._sent(now, name, former)
            return Placement(self._next(), former.cell)
        if self.rebuilding(now):
            return None
        if len(self._where) >= self.policy.gateways and name not in self._where:
            self.refused += 1
            return None
        entry = self._room(now, zone)
        if entry is None:
            return None
        self._sent(now, name, entry)
        return Placement(self._next(), entry.cell)

    def reported(self, now: int, cell: Cell, view: ViewNumber, members: Iterable[MemberId]) -> None:
        """What a seed holds of a cell; of two reports that of the newer view counts."""
        entry = self._known(now, cell)
        if entry is None or view < entry.view:
            return
        gone = entry.members.keys()
        entry.view, entry.members = view, dict(members)
        for name in gone - entry.members.keys():
            if self._where.get(name) == cell.name and name not in entry.coming:
                del self._where[name]
        for name in entry.members:
            entry.coming.pop(name, None)
            moving = self._moving.get(name)
            if moving is not None and moving.placement.cell.name == cell.name:
                del self._moving[name]
            if name not in self._moving and self._newer(name, entry):
                self._where[name] = cell.name

    def known_given_up(self, name: str) -> None:
        """A seed remembers that a former leader gave this cell up: its gateways are placed anew."""
        if (entry := self.entries.get(name)) is not None:
            self._give_up(entry)

    def _newer(self, name: str, entry: Entry) -> bool:
        """Whether a gateway that two cells report is to be looked for in this one."""
        other = self.entries.get(self._where.get(name, ""))
        if other is None or other is entry or name not in other.members:
            return other is None or other is entry or name not in other.coming
        return entry.members[name] > other.members[name]

    def _known(self, now: int, cell: Cell) -> Entry | None:
        """The entry of a cell that somebody goes by; taken up where it is new here and can be right."""
        entry = self.entries.get(cell.name)
        if entry is None:
            if cell.name in self.given_up or not self._plausible(cell):
                return None
            entry = self.entries[cell.name] = Entry(cell, now)
        elif cell.number > entry.cell.number:
            entry.cell = cell
        return entry

    def _plausible(self, cell: Cell) -> bool:
        """Only of this fleet's control machines, and of no leader after this one."""
        seeded = bool(cell.seeds) and all(seed in self._machines for seed in cell.seeds)
        return seeded and cell.number[:2] <= self.epoch and len(self.entries) < self.policy.gateways

    # What is made of it.

    def _next(self) -> ViewNumber:
        self._count += 1
        return (*self.epoch, self._count)

    def _sent(self, now: int, name: str, entry: Entry) -> None:
        former = self.entries.get(self._where.get(name, ""))
        if former is not None and former is not entry:
            former.coming.pop(name, None)
        self._where[name] = entry.cell.name
        if name not in entry.members:
            entry.coming[name] = now + COMING

    def _open(self, zone: Zone) -> list[Entry]:
        return [e for e in self.entries.values() if e.cell.place == zone and not e.cell.closing]

    def _room(self, now: int, zone: Zone) -> Entry | None:
        """The fullest cell of the zone that takes one more and has all its seeds; else a new one."""
        fitting = [
            e for e in self._open(zone) if e.count() < self.policy.target and not self._without_seed(now, e)
        ]
        if fitting:
            return max(fitting, key=lambda e: (e.count(), e.cell.name))
        return self._opened(now, zone)

    def _opened(self, now: int, zone: Zone) -> Entry | None:
        seeds = self._chosen(zone)
        if not seeds:
            return None
        number = self._next()
        name = f"{zone.region}.{zone.zone}.{number[0]:x}-{number[1]:x}-{number[2]:x}"
        cell = Cell(name, zone.region, zone.zone, number, seeds)
        entry = self.entries[name] = Entry(cell, now)
        return entry

    def _chosen(self, zone: Zone) -> tuple[Address, ...]:
        """Live control machines of the region, those with the fewest cells first, from several of its zones;
        those of other regions only where the region has not enough."""
        load = dict.fromkeys(self._machines, 0)
        for entry in self.entries.values():
            for seed in entry.cell.seeds:
                load[seed] += 1
        live = sorted(
            (m for m in self._machines.values() if m.address not in self._lost),
            key=lambda m: (m.region != zone.region, load[m.address], m.name),
        )
        chosen: list[ControlMachine] = []
        while live and len(chosen) < SEEDS:
            zones = [(m.region, m.zone) for m in chosen]
            best = min(
                live,
                key=lambda m: (
                    m.region != zone.region,
                    zones.count((m.region, m.zone)),
                    load[m.address],
                    m.name,
                ),
            )
            chosen.append(best)
            live.remove(best)
        return tuple(machine.address for machine in chosen)

    def _without_seed(self, now: int, entry: Entry) -> bool:
        """Whether a seed has been gone for long, and its region has others to take its place."""
        lost = [s for s in entry.cell.seeds if now - self._lost.get(s, now) >= self.policy.replace]
        if not lost:
            return False
        spare = [
            m
            for m in self._machines.values()
            if m.region == entry.cell.region
            and m.address not in self._lost
            and m.address not in entry.cell.seeds
        ]
        return len(spare) >= len(lost)

    # As time goes on.

    def tick(self, now: int, live: frozenset[str]) -> list[MoveWanted]:
        """What gateways are to be told; `live`: names of control machines. Entries change by themselves."""
        for machine in self._machines.values():
            if machine.name in live:
                self._lost.pop(machine.address, None)
            else:
                self._lost.setdefault(machine.address, now)
        self._forget(now)
        if self.rebuilding(now):
            return []
        wanted: list[MoveWanted] = []
        for zone in {entry.cell.place for entry in self.entries.values()}:
            if now >= self._paced.get(zone, 0):
                self._paced[zone] = now + PACE
                wanted += self._moved(now, zone)
        return wanted + self._again(now)

    def _forget(self, now: int) -> None:
        for entry in self.entries.values():
            for name in [n for n, until in entry.coming.items() if now >= until]:
                del entry.coming[name]
                if self._where.get(name) == entry.cell.name:
                    del self._where[name]
            count = entry.count()
            if count != entry.counted:
                entry.counted, entry.changed_at = count, now
            entry.small_since = _since(entry.small_since, count <= self.policy.least, now)
            entry.empty_since = _since(entry.empty_since, not count, now)
        for name, moving in list(self._moving.items()):
            left, to = self.entries.get(moving.cell), self.entries.get(moving.placement.cell.name)
            arrived = left is None or name not in left.members  # or ended: if it is there, it is reported
            if arrived or to is None or to.cell.closing:
                del self._moving[name]

    def _moved(self, now: int, zone: Zone) -> list[MoveWanted]:
        """One round of one zone: what is under way goes on, else something may begin."""
        closing = [e for e in self.entries.values() if e.cell.place == zone and e.cell.closing]
        for entry in closing:
            if entry.empty_since is not None and now - entry.empty_since >= EMPTY:
                self._give_up(entry)
        if closing:
            return list(self._emptied(now, closing))
        if self._to_split.get(zone):
            return list(self._split(now, zone))
        self._begin(now, zone)
        return []

    def _give_up(self, entry: Entry) -> None:
        del self.entries[entry.cell.name]
        self.given_up[entry.cell.name] = structs.replace(entry.cell, number=self._next())
        if len(self.given_up) > GIVEN_UP_MOST:
            del self.given_up[next(iter(self.given_up))]

    def _emptied(self, now: int, closing: list[Entry]) -> Iterator[MoveWanted]:
        staying = [(e, name) for e in closing for name in sorted(e.members) if name not in self._moving]
        for entry, name in staying[:MOVES]:
            if (to := self._room(now, entry.cell.place)) is not None and to.view != NO_VIEW:
                yield self._move(now, entry, name, to)

    def _split(self, now: int, zone: Zone) -> Iterator[MoveWanted]:
        waiting = self._to_split[zone]
        for _ in range(min(MOVES, len(waiting))):
            name, cell = waiting[-1]
            entry = self.entries.get(cell)
            if entry is not None and name in entry.members and name not in self._moving:
                others = [e for e in self._open(zone) if e is not entry and e.count() < self.policy.target]
                to = max(others, key=Entry.count) if others else self._opened(now, zone)
                if to is None or to.view == NO_VIEW:
                    return
                yield self._move(now, entry, name, to)
            waiting.pop()

    def _move(self, now: int, entry: Entry, name: str, to: Entry) -> MoveWanted:
        placement = Placement(self._next(), to.cell)
        self._moving[name] = Moving(entry.cell.name, placement, now)
        self._sent(now, name, to)
        return MoveWanted(entry.cell, name, placement)

    def _begin(self, now: int, zone: Zone) -> None:
        """At most one cell of the zone begins to be split or closed."""
        entries = self._open(zone)
        full = [e for e in entries if len(e.members) > self.policy.most]
        if full:
            names = sorted(full[0].members)
            self._to_split[zone] = [(name, full[0].cell.name) for name in names[len(names) // 2 :]]
            return
        for entry in sorted(entries, key=Entry.count):
            if self._without_seed(now, entry) or self._spare(now, entry, entries):
                entry.cell = structs.replace(entry.cell, number=self._next(), closing=True)
                return

    def _spare(self, now: int, entry: Entry, entries: list[Entry]) -> bool:
        """Whether it has been small for long, and its gateways fit into another; or had none for longer."""
        if entry.empty_since is not None:
            return now - max(entry.empty_since, entry.since) >= self.policy.idle
        if entry.small_since is None or now - max(entry.small_since, entry.since) < self.policy.hold:
            return False
        steady = [other for other in entries if now - other.changed_at >= self.policy.hold]
        room = self.policy.merged - entry.count()
        return entry in steady and any(other is not entry and 0 < other.count() <= room for other in steady)

    def _again(self, now: int) -> list[MoveWanted]:
        """Those that are still where they were: word to them may be lost."""
        made = []
        for name, moving in self._moving.items():
            left = self.entries.get(moving.cell)
            to = self.entries.get(moving.placement.cell.name)
            if left is not None and to is not None and now - moving.told_at >= AGAIN:
                self._sent(now, name, to)
                self._moving[name] = moving._replace(told_at=now)
                made.append(MoveWanted(left.cell, name, moving.placement))
        return made


def _since(since: int | None, holds: bool, now: int) -> int | None:
    """When something that holds now began to."""
    if not holds:
        return None
    return now if since is None else since
