"""The leader's work: the directory, and that every control machine seeds what it says.

The rules of this file:
- Every entry is told to its seeds until they report it with that number; a process that starts anew is told
  all of its own again. Of a cell that was given up they are told so as long as they report it.
- A report that does not fit into one datagram comes in pages; only a whole one counts.
- Whoever reports hears what is known of that here, and stops.

May know: the directory, what control machines say. May not know: sockets, the election, gateways' ways.
"""

from __future__ import annotations

from typing import NamedTuple

from ..membership.identifiers import MS, Address, Epoch, MemberId, ViewNumber
from .directory import Directory, MoveWanted
from .terms import (
    SECOND,
    Bodies,
    CellReport,
    CellRow,
    ControlMachine,
    Described,
    Forwarded,
    Move,
    Noted,
    Placed,
    Policy,
    Retire,
    Seed,
)

LOOK = 250 * MS  # ns between two looks at what is to be told
TELL = 1 * SECOND  # ns after which a seed that has not reported an entry is told it again
PAGES_MOST = 64  # pages of one report: a cell has far fewer gateways
ROWS = 8  # cells of one page of the directory, with the longest names
WAITING_MOST = 1_024  # reports of which pages are missing

Outgoing = list[tuple[Address, Bodies]]


class _Pages(NamedTuple):
    """What has come of one report."""

    view: ViewNumber
    members: dict[int, tuple[MemberId, ...]]


class Leading:
    """Under one epoch. All that is returned is to be sent under it."""

    def __init__(self, now: int, epoch: Epoch, policy: Policy, machines: tuple[ControlMachine, ...]) -> None:
        self.epoch, self.directory = epoch, Directory(now, epoch, policy, machines)
        self._machines = {machine.name: machine for machine in machines}
        self._has: dict[tuple[str, Address], ViewNumber] = {}  # entries that seeds reported
        self._told: dict[tuple[str, Address], int] = {}
        self._born: dict[str, int] = {}  # of the control machines
        self._pages: dict[tuple[str, str], _Pages] = {}
        self._look_at = now

    def placed(self, now: int, asked: Forwarded) -> Placed | None:
        """The answer for a gateway, where there is one yet."""
        placement = self.directory.locate(now, asked.who, asked.locate)
        return Placed(asked.who, asked.locate.address, placement) if placement is not None else None

    def reported(self, now: int, machine: ControlMachine, report: CellReport) -> list[Bodies]:
        """What the machine that reports is told."""
        name = report.cell.name
        if (gone := self.directory.given_up.get(name)) is not None:
            return [Retire(name, gone.number)]
        if (members := self._whole(machine.name, report)) is None:
            return []
        self.directory.reported(now, report.cell, report.view, members)
        if (entry := self.directory.entries.get(name)) is None:
            return []
        self._has[name, machine.address] = report.cell.number
        noted = Noted(name, report.cell.number, report.view)
        return [noted, Seed(entry.cell)] if entry.cell.number > report.cell.number else [noted]

    def described(self, page: int, address: Address) -> Described:
        """One page of all cells; `address`: of the leader."""
        entries = sorted(self.directory.entries.values(), key=lambda entry: entry.cell.name)
        pages = max(1, -(-len(entries) // ROWS))
        rows = (
            tuple(
                CellRow(e.cell.name, len(e.members), e.cell.closing)
                for e in entries[page * ROWS : (page + 1) * ROWS]
            )
            if page >= 0
            else ()
        )
        return Described(address, page, pages, self.directory.refused, rows)

    def _whole(self, machine: str, report: CellReport) -> tuple[MemberId, ...] | None:
        """All members, once all pages of one view have come."""
        if report.pages == 1:
            return report.members
        if not 0 <= report.page < report.pages <= PAGES_MOST:
            return None
        key = machine, report.cell.name
        waiting = self._pages.get(key)
        if waiting is None or waiting.view != report.view:
            if len(self._pages) >= WAITING_MOST:
                del self._pages[next(iter(self._pages))]
            waiting = self._pages[key] = _Pages(report.view, {})
        waiting.members[report.page] = report.members
        if len(waiting.members) < report.pages:
            return None
        del self._pages[key]
        return tuple(who for page in sorted(waiting.members) for who in waiting.members[page])

    def tick(self, now: int, live: dict[str, int]) -> Outgoing:
        """`live`: born by the name of each control machine that is."""
        if now < self._look_at:
            return []
        self._look_at = now + LOOK
        for name, born in live.items():
            if self._born.get(name) != born and (machine := self._machines.get(name)) is not None:
                self._born[name] = born
                self._forget(machine.address)
        known = set(self.directory.entries)
        out = self._moves(self.directory.tick(now, frozenset(live)))
        for name in known - self.directory.entries.keys():
            gone = self.directory.given_up[name]
            out += [(seed, Retire(name, gone.number)) for seed in gone.seeds]
            for seed in gone.seeds:
                self._has.pop((name, seed), None)
                self._told.pop((name, seed), None)
        here = {self._machines[name].address for name in live if name in self._machines}
        return out + self._seeding(now, here)

    def _forget(self, address: Address) -> None:
        for key in [key for key in self._has if key[1] == address]:
            del self._has[key]
        for key in [key for key in self._told if key[1] == address]:
            del self._told[key]

    @staticmethod
    def _moves(wanted: list[MoveWanted]) -> Outgoing:
        """Each to all seeds of the cell: whoever reaches the gateway tells it."""
        return [
            (seed, Move(each.cell.name, (each.gateway,), each.placement))
            for each in wanted
            for seed in each.cell.seeds
        ]

    def _seeding(self, now: int, here: set[Address]) -> Outgoing:
        """Entries that live seeds do not have yet."""
        out: Outgoing = []
        for entry in self.directory.entries.values():
            cell = entry.cell
            for seed in cell.seeds:
                key = cell.name, seed
                behind = self._has.get(key, (0, -1, 0)) < cell.number
                if behind and seed in here and now - self._told.get(key, now - TELL) >= TELL:
                    self._told[key] = now
                    out.append((seed, Seed(cell)))
        return out
