"""Runs one control machine: a member of the control machines' view, a seed of cells, and at times the leader.

- The coordinator of the control machines' view is the leader for as long as it is coordinator; there is no
  other election. It checks at each instant whether it still is the coordinator. Messages of a leader whose
  epoch is older than the newest known one are dropped.
- A cell is seeded and retired only by the leader's decision.
- This control machine answers a gateway's request if the gateway's cell is seeded here and open and no move
  of the gateway is known; otherwise the leader answers it. While the leader is unreachable
  (`LEADER_TIMEOUT_NS`), a gateway without a cell is placed in a cell of its zone that is seeded here and has
  capacity, by that cell's own number; no cell is opened, closed or split.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from itertools import zip_longest
from typing import NamedTuple

from ..membership.actions import StatusEvent
from ..membership.identifiers import MS, NO_EPOCH, OBSERVER, SECOND, Address, Epoch, MemberId
from ..membership.member import Member
from ..membership.messages import State
from ..membership.settings import MemberSettings
from .actions import CellsAction, LeadershipChanged, SendCellsMessage
from .core import CellsCore
from .directory_leader import DirectoryLeader
from .messages import (
    Cell,
    CellReport,
    CellsMessage,
    DirectoryPage,
    DirectoryRequest,
    ForwardedPlacement,
    ForwardedRequest,
    MessageBody,
    MoveGateways,
    Placement,
    PlacementNotice,
    PlacementRequest,
    ReportReceipt,
    RetireCell,
    SeedCell,
)
from .seeded_cell import SeededCell
from .topology import MAX_CELL_MEMBERS, CellPolicy, ControlMachine

MAX_VOTERS = 7  # more voters would delay an election more than they make it safer
# Without an answer of the leader for this time, gateways without a cell are placed without it.
LEADER_TIMEOUT_NS = 5 * SECOND
MAX_SEEDED_CELLS = 1_024  # limit of cells that one control machine seeds
MAX_REMEMBERED_RETIRED = 1_024  # limit of remembered retired cells, which late messages must not restore


class ControlSettings(NamedTuple):
    """Holds the settings of one control machine.

    `machines` lists all control machines in the same order in every process.
    """

    fleet: str
    name: str
    created_at_ms: int  # wall-clock time
    machines: tuple[ControlMachine, ...]
    version: str = ""
    policy: CellPolicy = CellPolicy()
    probe_interval_ns: int = 300 * MS
    lease_duration_ns: int = 30 * SECOND


def voters(machines: Iterable[ControlMachine]) -> tuple[Address, ...]:
    """Returns the addresses of an odd number of voters, taken from all regions in turn.

    With three regions or more, no region then has a majority.
    """
    by_region: dict[str, list[ControlMachine]] = {}
    for machine in machines:
        by_region.setdefault(machine.region, []).append(machine)
    rounds = zip_longest(*by_region.values())
    alternating = [machine for each in rounds for machine in each if machine is not None]
    odd_count = len(alternating) - (len(alternating) + 1) % 2
    return tuple(machine.address for machine in alternating[: min(MAX_VOTERS, odd_count)])


class Controller(CellsCore):
    """Runs the core of a control machine; `seed` determines all its random choices."""

    def __init__(self, settings: ControlSettings, now_ns: int, seed: int) -> None:
        super().__init__()
        self.settings = settings
        self.rng = random.Random(seed)
        self.machine = next(m for m in settings.machines if m.name == settings.name)
        self._machines = {m.name: m for m in settings.machines}
        self._control_names = frozenset(self._machines)
        seeds = voters(settings.machines)
        member_settings = self._member_settings(settings.fleet, seeds, 2 * len(settings.machines))
        self.control_member = Member(member_settings, now_ns, self.rng.getrandbits(60))
        self.cells: dict[str, SeededCell] = {}
        self.retired: dict[str, RetireCell] = {}
        self.leader: DirectoryLeader | None = None  # set while this machine leads
        self.epoch: Epoch = NO_EPOCH  # epoch of the newest known leader

    @property
    def member_id(self) -> MemberId:
        """Returns the name and creation time of this process."""
        return self.settings.name, self.settings.created_at_ms

    def is_leader(self, now_ns: int) -> bool:
        """Returns whether this machine leads at this instant."""
        return self.leader is not None and self.control_member.is_coordinator(now_ns)

    def start(self, now_ns: int) -> list[CellsAction]:
        """Starts the member in the control machines' view."""
        self._add_member_actions(self.settings.fleet, self.control_member.start(now_ns))
        return self._take_actions()

    def tick(self, now_ns: int) -> list[CellsAction]:
        """Performs the work that is due."""
        if not self.has_left:
            self._add_member_actions(self.settings.fleet, self.control_member.tick(now_ns))
            for name, seeded in list(self.cells.items()):
                self._add_member_actions(name, seeded.member.tick(now_ns))
            self._lead(now_ns)
            self._report_cells(now_ns)
        return self._take_actions()

    def receive_cells_message(self, now_ns: int, message: CellsMessage, source: Address) -> list[CellsAction]:
        """Handles a message of a gateway, another control machine or an operator."""
        is_own = message.member_id == self.member_id
        if not self.has_left and message.fleet == self.settings.fleet and not is_own:
            self._dispatch(now_ns, message, source)
        return self._take_actions()

    def leave(self, now_ns: int) -> list[CellsAction]:
        """Shuts down gracefully; the cells continue with their other seeds."""
        if not self.has_left:
            for name, seeded in self.cells.items():
                self._add_member_actions(name, seeded.member.leave(now_ns))
            self._add_member_actions(self.settings.fleet, self.control_member.leave(now_ns))
            self._stop_leading()
            self.has_left = True
        return self._take_actions()

    def _member_settings(self, fleet: str, seeds: tuple[Address, ...], max_members: int) -> MemberSettings:
        settings = self.settings
        return MemberSettings(
            fleet,
            settings.name,
            settings.created_at_ms,
            self.machine.address,
            seeds,
            settings.version,
            settings.probe_interval_ns,
            max(MAX_CELL_MEMBERS, max_members),
            OBSERVER,
            settings.lease_duration_ns,
        )

    def _member_in(self, fleet: str) -> Member | None:
        if fleet == self.settings.fleet:
            return self.control_member
        seeded = self.cells.get(fleet)
        return seeded.member if seeded is not None else None

    def _lead(self, now_ns: int) -> None:
        coordinator = self.control_member.coordinator
        if coordinator is None or not self.control_member.is_coordinator(now_ns):
            self._stop_leading()
            return
        if self.leader is None or self.leader.epoch != coordinator.epoch:
            self._start_leading(now_ns, coordinator.epoch)
        if self.leader is None:
            return
        for address, body in self.leader.tick(now_ns, self._live_machines()):
            self._send(now_ns, address, body, coordinator.epoch)

    def _live_machines(self) -> dict[str, int]:
        """Returns the creation times in ms of the control machines that are alive, by name."""
        entries = self.control_member.member_table.present()
        alive = [entry.update for entry in entries if entry.update.state == State.ALIVE]
        live = {update.name: update.created_at_ms for update in alive}
        live[self.settings.name] = self.settings.created_at_ms
        return live

    def _start_leading(self, now_ns: int, epoch: Epoch) -> None:
        self.leader = DirectoryLeader(now_ns, epoch, self.settings.policy, self.settings.machines)
        self.epoch = max(self.epoch, epoch)
        self._actions.append(LeadershipChanged(epoch))

    def _stop_leading(self) -> None:
        if self.leader is not None:
            self.leader = None
            self._actions.append(LeadershipChanged(None))

    def _send(self, now_ns: int, address: Address, body: MessageBody, epoch: Epoch | None = None) -> None:
        """Sends a message, or handles it at once where it is for this machine itself."""
        message = CellsMessage(self.settings.fleet, *self.member_id, body, epoch)
        if address == self.machine.address:
            self._dispatch(now_ns, message, address)
        else:
            self._actions.append(SendCellsMessage(address, message))

    def _leader_address(self) -> Address | None:
        """Returns the address of the newest known leader, or None."""
        leader = self.control_member.leader
        return leader.address if leader is not None else None

    def _report_cells(self, now_ns: int) -> None:
        leader = self.control_member.leader
        if leader is None:
            return
        self.epoch = max(self.epoch, leader.epoch)
        for seeded in self.cells.values():
            for report in seeded.due_reports(now_ns, leader.epoch, self._control_names, self.rng):
                self._send(now_ns, leader.address, report)

    def _dispatch(self, now_ns: int, message: CellsMessage, source: Address) -> None:
        body = message.body
        if isinstance(body, PlacementRequest):
            self._answer_placement(now_ns, message.member_id, body)
        elif isinstance(body, DirectoryRequest):
            self._answer_operator(now_ns, body.page, source)
        elif message.name not in self._control_names:
            return  # only control machines may send the other kinds
        elif message.epoch is not None:
            if message.epoch >= self.epoch:
                self.epoch = message.epoch
                self._apply_decision(now_ns, message.epoch, body)
        elif self.leader is not None and self.control_member.is_coordinator(now_ns):
            self._answer_as_leader(now_ns, self.leader, self._machines[message.name], body)

    def _answer_as_leader(
        self, now_ns: int, leader: DirectoryLeader, machine: ControlMachine, body: MessageBody
    ) -> None:
        """Handles a control machine's message to the leader, which is this machine."""
        match body:
            case ForwardedRequest():
                rejected_before = leader.directory.rejected_requests
                if (placement := leader.place(now_ns, body)) is not None:
                    self._send(now_ns, machine.address, placement, leader.epoch)
                elif leader.directory.rejected_requests > rejected_before:
                    details: dict[str, object] = {"gateways": self.settings.policy.max_fleet_gateways}
                    self._actions.append(StatusEvent("full", details))
            case CellReport():
                for answer in leader.record_report(now_ns, machine, body):
                    self._send(now_ns, machine.address, answer, leader.epoch)
            case RetireCell():
                leader.directory.record_retired(body.name)

    def _apply_decision(self, now_ns: int, epoch: Epoch, body: MessageBody) -> None:
        """Applies a decision of the leader."""
        match body:
            case ForwardedPlacement():
                self._send(now_ns, body.address, PlacementNotice(body.member_id, body.placement))
            case SeedCell():
                self._seed(now_ns, body.cell)
            case RetireCell():
                self._retire(body)
            case MoveGateways():
                self._move(now_ns, body)
            case ReportReceipt():
                if (seeded := self.cells.get(body.name)) is not None:
                    seeded.record_receipt(epoch, body)

    def _seed(self, now_ns: int, cell: Cell) -> None:
        seeded = self.cells.get(cell.name)
        if seeded is not None:
            if cell.number > seeded.cell.number:
                seeded.cell = cell
            return
        if (retired := self.retired.get(cell.name)) is not None:
            # A later leader does not know that the cell is retired.
            if (leader := self._leader_address()) is not None:
                self._send(now_ns, leader, retired)
            return
        if self.machine.address not in cell.seeds or len(self.cells) >= MAX_SEEDED_CELLS:
            return
        settings = self._member_settings(cell.name, cell.seeds, MAX_CELL_MEMBERS)
        member = Member(settings, now_ns, self.rng.getrandbits(60))
        self.cells[cell.name] = SeededCell(cell, member)
        self._actions.append(StatusEvent("seeds", {"cell": cell.name, "number": cell.number}))
        self._add_member_actions(cell.name, member.start(now_ns))

    def _retire(self, retire: RetireCell) -> None:
        seeded = self.cells.get(retire.name)
        if seeded is None or retire.number < seeded.cell.number:
            return
        del self.cells[retire.name]
        if len(self.retired) >= MAX_REMEMBERED_RETIRED:
            del self.retired[next(iter(self.retired))]
        self.retired[retire.name] = retire
        self._actions.append(StatusEvent("retired", {"cell": retire.name, "number": retire.number}))

    def _move(self, now_ns: int, move: MoveGateways) -> None:
        seeded = self.cells.get(move.cell_name)
        if seeded is None:
            return
        for name in move.gateways:
            entry = seeded.member.member_table.by_name.get(name)
            if seeded.record_move(name, move.placement) and entry is not None and entry.is_present:
                notice = PlacementNotice(entry.update.member_id, move.placement)
                self._send(now_ns, entry.update.address, notice)

    def _answer_operator(self, now_ns: int, page: int, source: Address) -> None:
        if self.leader is not None and self.control_member.is_coordinator(now_ns):
            answer = self.leader.directory_page(page, self.machine.address)
        else:
            answer = DirectoryPage(self._leader_address(), page, 0, 0, ())
        self._send(now_ns, source, answer)

    def _answer_placement(self, now_ns: int, member_id: MemberId, request: PlacementRequest) -> None:
        placement = self._placement_in_seeded_cell(member_id, request)
        unanswered_ns = now_ns - self.control_member.renewal.answered_at_ns
        if placement is None and unanswered_ns >= LEADER_TIMEOUT_NS:
            placement = self._place_without_leader(now_ns, member_id, request)
        if placement is not None:
            self._send(now_ns, request.address, PlacementNotice(member_id, placement))
        elif (leader := self._leader_address()) is not None:
            self._send(now_ns, leader, ForwardedRequest(member_id, request))

    def _placement_in_seeded_cell(self, member_id: MemberId, request: PlacementRequest) -> Placement | None:
        """Returns the placement of a gateway whose cell is seeded here, or None where the leader decides."""
        current = request.current
        seeded = self.cells.get(current.cell.name) if current is not None else None
        if current is None or seeded is None:
            return None
        moved = seeded.moves.get(member_id[0])
        if moved is not None and moved.number > current.number:
            return moved
        if seeded.cell.closing or seeded.cell.location != request.location:
            return None
        return Placement(current.number, seeded.cell)

    def _place_without_leader(
        self, now_ns: int, member_id: MemberId, request: PlacementRequest
    ) -> Placement | None:
        """Returns a placement in a cell of the gateway's zone that is seeded here.

        The gateway's former cell is preferred, otherwise the fullest cell with capacity.
        """
        if request.current is not None:
            return None
        # Each candidate holds whether it is the former cell, its number of gateways, and its name.
        candidates: list[tuple[bool, int, str]] = []
        for name, seeded in self.cells.items():
            if seeded.cell.location != request.location or seeded.cell.closing or not seeded.has_view:
                continue
            gateways = [gateway for gateway, _ in seeded.gateways(self._control_names)]
            is_former = member_id[0] in gateways
            if is_former or len(gateways) < self.settings.policy.target_gateways:
                candidates.append((is_former, len(gateways), name))
        if not candidates:
            return None
        _, _, best_name = max(candidates)
        cell = self.cells[best_name].cell
        return Placement(cell.number, cell)
