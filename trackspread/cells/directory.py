"""Keeps the directory of cells: it places gateways in cells, and splits, merges and closes cells.

- A gateway is placed in its former cell if that is known, because the slots of its former process are free
  there at once; otherwise in the fullest cell of its zone below `target_gateways`; otherwise in a new cell.
- Half of the gateways of a cell above `max_gateways` are moved to other cells with capacity, or to a new one.
- A cell is closed in each of these cases:
  - It has `min_gateways` or fewer and fits into another cell, and neither cell has changed for
    `merge_delay_ns`. The delay is needed because gateways that are cut off disappear from the reports one by
    one, and return the same way.
  - It has had no gateways for `empty_timeout_ns`. Gateways that are unreachable for a shorter time return to
    it, and no gateway is moved into an empty cell.
  - It has lost a seed for `seed_loss_timeout_ns` while its region has other control machines.
- The gateways of a closing cell are moved to other cells. Once it has been empty for `RETIRE_DELAY_NS`, it is
  retired.
- A gateway is moved only to a cell whose seeds report a view.
- A zone has one split or close at a time, with at most `MOVES_PER_ROUND` moved gateways in a round, because a
  move costs its gateway the time of a join.
- The directory is soft state. A new leader starts with an empty directory and waits `REBUILD_NS` for the
  control machines' reports before it opens or closes a cell or moves a gateway; a cell that only its gateways
  remember is recorded when they name it.
- Cells whose seeds are unreachable together with their whole region are left unchanged, because these seeds
  can't report.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from msgspec import structs

from ..membership.identifiers import NO_VIEW, SECOND, Address, Epoch, MemberId, ViewNumber
from .messages import Cell, Placement, PlacementRequest
from .topology import SEEDS_PER_CELL, CellPolicy, ControlMachine, Zone

REBUILD_NS = 3 * SECOND  # time from the election of a leader in which control machines report their cells
# A gateway counts for this time in the cell in which it is placed before a report names it there.
PENDING_TIMEOUT_NS = 8 * SECOND
RETIRE_DELAY_NS = 5 * SECOND  # time for which a closing cell has to be empty before it is retired
ROUND_INTERVAL_NS = 1 * SECOND  # time between two rounds of moves in one zone
MOVES_PER_ROUND = 4  # limit of gateways moved in one round
RESEND_INTERVAL_NS = 3 * SECOND  # time until a gateway that has not moved is notified again
MAX_REMEMBERED_RETIRED = 1_024  # limit of remembered retired cells


class PendingMove(NamedTuple):
    """Holds the move of a gateway that was notified and has not arrived yet."""

    cell_name: str  # the cell that the gateway has to leave
    placement: Placement
    sent_at_ns: int


class MoveRequest(NamedTuple):
    """Asks to notify a gateway of a cell of its new placement."""

    cell: Cell
    gateway: str
    placement: Placement


@dataclass(slots=True)
class CellEntry:
    """Holds what is known of one cell; `members` are the gateways of the newest reported view."""

    cell: Cell
    known_since_ns: int
    view_number: ViewNumber = NO_VIEW
    members: dict[str, int] = field(default_factory=dict)  # creation times in ms, by name
    # Gateways that are placed here but not reported yet, each with the time in ns until which it counts.
    pending: dict[str, int] = field(default_factory=dict)
    previous_count: int = 0  # number of gateways in the last tick
    changed_at_ns: int = 0  # time of the last change of that number
    small_since_ns: int | None = None
    empty_since_ns: int | None = None

    def count(self) -> int:
        """Returns the number of gateways that are in the cell or expected there."""
        return len(self.members.keys() | self.pending.keys())


class Directory:
    """Holds the directory of one leader in its epoch.

    `entries` and the `retired` cells are keyed by the cell's name.
    """

    def __init__(
        self, now_ns: int, epoch: Epoch, policy: CellPolicy, machines: tuple[ControlMachine, ...]
    ) -> None:
        self.epoch = epoch
        self.policy = policy
        self.entries: dict[str, CellEntry] = {}
        self.retired: dict[str, Cell] = {}
        self.rejected_requests = 0  # requests of gateways beyond `max_fleet_gateways`
        self._machines = {machine.address: machine for machine in machines}
        self._started_at_ns = now_ns
        self._numbers_issued = 0  # count of the numbers issued in this epoch
        self._cell_of: dict[str, str] = {}  # cell in which a gateway is or was placed, by the gateway's name
        self._pending_moves: dict[str, PendingMove] = {}  # keyed by the gateway's name
        # Gateways that a split still has to move, each with the name of its cell.
        self._split_queues: dict[Zone, list[tuple[str, str]]] = {}
        self._next_round_at_ns: dict[Zone, int] = {}
        self._lost_since_ns: dict[Address, int] = {}  # since when each control machine is not live

    def is_rebuilding(self, now_ns: int) -> bool:
        """Returns whether control machines may not have reported yet."""
        return now_ns - self._started_at_ns < REBUILD_NS

    def place(self, now_ns: int, member_id: MemberId, request: PlacementRequest) -> Placement | None:
        """Returns this gateway's placement, or None where it is not known yet or there is no capacity."""
        name = member_id[0]
        if (moving := self._pending_moves.get(name)) is not None:
            return moving.placement
        known = self._current_placement(now_ns, name, request) or self._former_placement(
            now_ns, name, request.location
        )
        if known is not None or self.is_rebuilding(now_ns):
            return known
        if len(self._cell_of) >= self.policy.max_fleet_gateways and name not in self._cell_of:
            self.rejected_requests += 1
            return None
        entry = self._cell_with_capacity(now_ns, request.location)
        if entry is None:
            return None
        self._assign(now_ns, name, entry)
        return Placement(self._next_number(), entry.cell)

    def _current_placement(self, now_ns: int, name: str, request: PlacementRequest) -> Placement | None:
        """Returns a placement in the cell that the gateway names as its own, while that cell is open."""
        current = request.current
        entry = self._entry_for(now_ns, current.cell) if current is not None else None
        if current is None or entry is None or not _is_open_in(entry, request.location):
            return None
        self._assign(now_ns, name, entry)
        return Placement(current.number, entry.cell)

    def _former_placement(self, now_ns: int, name: str, zone: Zone) -> Placement | None:
        """Returns a placement in the cell in which the gateway was placed last, while that cell is open."""
        entry = self.entries.get(self._cell_of.get(name, ""))
        if entry is None or not _is_open_in(entry, zone):
            return None
        self._assign(now_ns, name, entry)
        return Placement(self._next_number(), entry.cell)

    def record_report(
        self, now_ns: int, cell: Cell, view_number: ViewNumber, members: Iterable[MemberId]
    ) -> None:
        """Records a seed's report of a cell; of two reports, the one with the newer view takes precedence."""
        entry = self._entry_for(now_ns, cell)
        if entry is None or view_number < entry.view_number:
            return
        before = entry.members.keys()
        entry.view_number = view_number
        entry.members = dict(members)
        for name in before - entry.members.keys():
            if self._cell_of.get(name) == cell.name and name not in entry.pending:
                del self._cell_of[name]
        for name in entry.members:
            self._record_arrival(name, entry)

    def _record_arrival(self, name: str, entry: CellEntry) -> None:
        entry.pending.pop(name, None)
        moving = self._pending_moves.get(name)
        if moving is not None and moving.placement.cell.name == entry.cell.name:
            del self._pending_moves[name]
        if name not in self._pending_moves and self._is_newest_report(name, entry):
            self._cell_of[name] = entry.cell.name

    def record_retired(self, name: str) -> None:
        """Retires a cell that a former leader retired, as a seed reports; its gateways are placed again."""
        if (entry := self.entries.get(name)) is not None:
            self._retire(entry)

    def _is_newest_report(self, name: str, entry: CellEntry) -> bool:
        """Returns whether a gateway that two cells report is in this one, as far as is known."""
        other = self.entries.get(self._cell_of.get(name, ""))
        if other is None or other is entry or name not in other.members:
            return other is None or other is entry or name not in other.pending
        return entry.members[name] > other.members[name]

    def _entry_for(self, now_ns: int, cell: Cell) -> CellEntry | None:
        """Returns the entry of a cell that a process names, recorded if it is new here and plausible."""
        entry = self.entries.get(cell.name)
        if entry is None:
            if cell.name in self.retired or not self._is_plausible(cell):
                return None
            entry = self.entries[cell.name] = CellEntry(cell, now_ns)
        elif cell.number > entry.cell.number:
            entry.cell = cell
        return entry

    def _is_plausible(self, cell: Cell) -> bool:
        """Returns whether a cell may be recorded.

        All its seeds have to be control machines of this fleet, and no later leader may have numbered it.
        """
        has_known_seeds = bool(cell.seeds) and all(seed in self._machines for seed in cell.seeds)
        is_past = cell.number[:2] <= self.epoch
        return has_known_seeds and is_past and len(self.entries) < self.policy.max_fleet_gateways

    def _next_number(self) -> ViewNumber:
        self._numbers_issued += 1
        return (*self.epoch, self._numbers_issued)

    def _assign(self, now_ns: int, name: str, entry: CellEntry) -> None:
        former = self.entries.get(self._cell_of.get(name, ""))
        if former is not None and former is not entry:
            former.pending.pop(name, None)
        self._cell_of[name] = entry.cell.name
        if name not in entry.members:
            entry.pending[name] = now_ns + PENDING_TIMEOUT_NS

    def _open_cells(self, zone: Zone) -> list[CellEntry]:
        return [entry for entry in self.entries.values() if _is_open_in(entry, zone)]

    def _cell_with_capacity(self, now_ns: int, zone: Zone) -> CellEntry | None:
        """Returns the zone's fullest cell that has capacity and needs no new seed, otherwise a new cell."""
        suitable = [
            entry
            for entry in self._open_cells(zone)
            if entry.count() < self.policy.target_gateways and not self._needs_new_seed(now_ns, entry)
        ]
        if suitable:
            return max(suitable, key=lambda entry: (entry.count(), entry.cell.name))
        return self._open_cell(now_ns, zone)

    def _open_cell(self, now_ns: int, zone: Zone) -> CellEntry | None:
        seeds = self._choose_seeds(zone)
        if not seeds:
            return None
        number = self._next_number()
        name = f"{zone.region}.{zone.zone}.{number[0]:x}-{number[1]:x}-{number[2]:x}"
        cell = Cell(name, zone.region, zone.zone, number, seeds)
        entry = self.entries[name] = CellEntry(cell, now_ns)
        return entry

    def _choose_seeds(self, zone: Zone) -> tuple[Address, ...]:
        """Returns the seeds of a new cell.

        They are live control machines of the region, first those with the fewest cells, from several of its
        zones. Control machines of other regions are chosen only where the region has too few.
        """
        load = dict.fromkeys(self._machines, 0)
        for entry in self.entries.values():
            for seed in entry.cell.seeds:
                load[seed] += 1
        live = sorted(
            (machine for machine in self._machines.values() if machine.address not in self._lost_since_ns),
            key=lambda machine: (machine.region != zone.region, load[machine.address], machine.name),
        )
        chosen: list[ControlMachine] = []
        while live and len(chosen) < SEEDS_PER_CELL:
            zones = [Zone(machine.region, machine.zone) for machine in chosen]
            best = min(live, key=lambda machine: _seed_cost(machine, zone, zones, load))
            chosen.append(best)
            live.remove(best)
        return tuple(machine.address for machine in chosen)

    def _needs_new_seed(self, now_ns: int, entry: CellEntry) -> bool:
        """Returns whether a seed has been lost for long and its region has others to replace it."""
        lost = [
            seed
            for seed in entry.cell.seeds
            if now_ns - self._lost_since_ns.get(seed, now_ns) >= self.policy.seed_loss_timeout_ns
        ]
        if not lost:
            return False
        spare = [
            machine
            for machine in self._machines.values()
            if machine.region == entry.cell.region
            and machine.address not in self._lost_since_ns
            and machine.address not in entry.cell.seeds
        ]
        return len(spare) >= len(lost)

    def tick(self, now_ns: int, live: frozenset[str]) -> list[MoveRequest]:
        """Updates the entries and returns the moves that are due.

        `live` holds the names of the live control machines.
        """
        for machine in self._machines.values():
            if machine.name in live:
                self._lost_since_ns.pop(machine.address, None)
            else:
                self._lost_since_ns.setdefault(machine.address, now_ns)
        self._remove_expired(now_ns)
        if self.is_rebuilding(now_ns):
            return []
        requests: list[MoveRequest] = []
        for zone in {entry.cell.location for entry in self.entries.values()}:
            if now_ns >= self._next_round_at_ns.get(zone, 0):
                self._next_round_at_ns[zone] = now_ns + ROUND_INTERVAL_NS
                requests += self._rebalance(now_ns, zone)
        return requests + self._repeated_moves(now_ns)

    def _remove_expired(self, now_ns: int) -> None:
        for entry in self.entries.values():
            for name in [n for n, until_ns in entry.pending.items() if now_ns >= until_ns]:
                del entry.pending[name]
                if self._cell_of.get(name) == entry.cell.name:
                    del self._cell_of[name]
            self._update_times(now_ns, entry)
        for name, moving in list(self._pending_moves.items()):
            source = self.entries.get(moving.cell_name)
            target = self.entries.get(moving.placement.cell.name)
            # The gateway has moved to the target or has stopped.
            has_left = source is None or name not in source.members
            if has_left or target is None or target.cell.closing:
                del self._pending_moves[name]

    def _update_times(self, now_ns: int, entry: CellEntry) -> None:
        count = entry.count()
        if count != entry.previous_count:
            entry.previous_count = count
            entry.changed_at_ns = now_ns
        is_small = count <= self.policy.min_gateways
        entry.small_since_ns = _true_since(entry.small_since_ns, is_small, now_ns)
        entry.empty_since_ns = _true_since(entry.empty_since_ns, not count, now_ns)

    def _rebalance(self, now_ns: int, zone: Zone) -> list[MoveRequest]:
        """Runs one round of one zone: continues a split or close in progress, or starts one."""
        closing = [
            entry for entry in self.entries.values() if entry.cell.location == zone and entry.cell.closing
        ]
        for entry in closing:
            if entry.empty_since_ns is not None and now_ns - entry.empty_since_ns >= RETIRE_DELAY_NS:
                self._retire(entry)
        if closing:
            return list(self._moves_from_closing(now_ns, closing))
        if self._split_queues.get(zone):
            return list(self._moves_of_split(now_ns, zone))
        self._start_change(now_ns, zone)
        return []

    def _retire(self, entry: CellEntry) -> None:
        del self.entries[entry.cell.name]
        self.retired[entry.cell.name] = structs.replace(entry.cell, number=self._next_number())
        if len(self.retired) > MAX_REMEMBERED_RETIRED:
            del self.retired[next(iter(self.retired))]

    def _moves_from_closing(self, now_ns: int, closing: list[CellEntry]) -> Iterator[MoveRequest]:
        unmoved = [
            (e, name) for e in closing for name in sorted(e.members) if name not in self._pending_moves
        ]
        for entry, name in unmoved[:MOVES_PER_ROUND]:
            target = self._cell_with_capacity(now_ns, entry.cell.location)
            if target is not None and target.view_number != NO_VIEW:
                yield self._move(now_ns, entry, name, target)

    def _moves_of_split(self, now_ns: int, zone: Zone) -> Iterator[MoveRequest]:
        waiting = self._split_queues[zone]
        for _ in range(min(MOVES_PER_ROUND, len(waiting))):
            name, cell_name = waiting[-1]
            entry = self.entries.get(cell_name)
            if entry is not None and name in entry.members and name not in self._pending_moves:
                target = self._split_target(now_ns, zone, entry)
                if target is None or target.view_number == NO_VIEW:
                    return
                yield self._move(now_ns, entry, name, target)
            waiting.pop()

    def _split_target(self, now_ns: int, zone: Zone, entry: CellEntry) -> CellEntry | None:
        """Returns the fullest other cell with capacity, otherwise a new cell."""
        others = [
            other
            for other in self._open_cells(zone)
            if other is not entry and other.count() < self.policy.target_gateways
        ]
        return max(others, key=CellEntry.count) if others else self._open_cell(now_ns, zone)

    def _move(self, now_ns: int, entry: CellEntry, name: str, target: CellEntry) -> MoveRequest:
        placement = Placement(self._next_number(), target.cell)
        self._pending_moves[name] = PendingMove(entry.cell.name, placement, now_ns)
        self._assign(now_ns, name, target)
        return MoveRequest(entry.cell, name, placement)

    def _start_change(self, now_ns: int, zone: Zone) -> None:
        """Starts to split or close at most one cell of the zone."""
        entries = self._open_cells(zone)
        oversized = [entry for entry in entries if len(entry.members) > self.policy.max_gateways]
        if oversized:
            names = sorted(oversized[0].members)
            self._split_queues[zone] = [(name, oversized[0].cell.name) for name in names[len(names) // 2 :]]
            return
        for entry in sorted(entries, key=CellEntry.count):
            if self._needs_new_seed(now_ns, entry) or self._is_redundant(now_ns, entry, entries):
                entry.cell = structs.replace(entry.cell, number=self._next_number(), closing=True)
                return

    def _is_redundant(self, now_ns: int, entry: CellEntry, entries: list[CellEntry]) -> bool:
        """Returns whether a cell may be closed.

        It has either been empty for long, or been small for long while its gateways fit into another cell.
        """
        if entry.empty_since_ns is not None:
            return now_ns - max(entry.empty_since_ns, entry.known_since_ns) >= self.policy.empty_timeout_ns
        if entry.small_since_ns is None:
            return False
        if now_ns - max(entry.small_since_ns, entry.known_since_ns) < self.policy.merge_delay_ns:
            return False
        unchanged = [other for other in entries if now_ns - other.changed_at_ns >= self.policy.merge_delay_ns]
        capacity = self.policy.max_merged_gateways - entry.count()
        return entry in unchanged and any(
            other is not entry and 0 < other.count() <= capacity for other in unchanged
        )

    def _repeated_moves(self, now_ns: int) -> list[MoveRequest]:
        """Returns again the moves of gateways that have not left yet, because their notices may be lost."""
        requests = []
        for name, moving in self._pending_moves.items():
            source = self.entries.get(moving.cell_name)
            target = self.entries.get(moving.placement.cell.name)
            is_due = now_ns - moving.sent_at_ns >= RESEND_INTERVAL_NS
            if is_due and source is not None and target is not None:
                self._assign(now_ns, name, target)
                self._pending_moves[name] = moving._replace(sent_at_ns=now_ns)
                requests.append(MoveRequest(source.cell, name, moving.placement))
        return requests


def _is_open_in(entry: CellEntry, zone: Zone) -> bool:
    return entry.cell.location == zone and not entry.cell.closing


def _seed_cost(
    machine: ControlMachine, zone: Zone, chosen_zones: list[Zone], load: dict[Address, int]
) -> tuple[bool, int, int, str]:
    """Returns the sort key by which seeds of a cell are chosen, least first."""
    in_same_zone = chosen_zones.count(Zone(machine.region, machine.zone))
    return machine.region != zone.region, in_same_zone, load[machine.address], machine.name


def _true_since(since_ns: int | None, holds: bool, now_ns: int) -> int | None:
    """Returns since when a condition that holds now has held, or None where it does not hold."""
    if not holds:
        return None
    return now_ns if since_ns is None else since_ns
