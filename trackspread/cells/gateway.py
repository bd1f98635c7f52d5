"""Runs a gateway's side of cells: it requests its placement, joins its cell, and moves between cells.

- A gateway asks a control machine of its region for its placement, and then keeps asking one of the cell's
  seeds at long intervals. Without an answer it asks other control machines, including those of other regions,
  with random backoff, so that a region that heals receives no burst.
- It follows its placement until one with a greater number arrives, even if no control machine answers.
- It moves by leaving one cell, whose slots it releases, before it joins the other, and is never in two cells.

| event | gateway without a cell | gateway in a cell |
| --- | --- | --- |
| placement, number not greater | | ignored, except for a newer entry of the same cell |
| placement, same cell | joins | updates its placement |
| placement, another cell | joins | leaves, then joins |
| no answer | asks again soon, then at long intervals | stays, asks again |
| fenced: a newer process has this name | | sends nothing more |
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from ..membership.actions import Action
from ..membership.identifiers import MS, SECOND, Address, MemberId
from ..membership.member import Member
from ..membership.settings import MemberSettings
from .actions import CellJoined, CellLeft, CellsAction, SendCellsMessage
from .core import CellsCore
from .messages import CellsMessage, Placement, PlacementNotice, PlacementRequest
from .topology import MAX_CELL_MEMBERS, ControlMachine, Zone

REFRESH_INTERVAL_NS = 6 * SECOND  # mean time between requests of a gateway that is in a cell
MIN_BACKOFF_NS = 500 * MS  # mean backoff before the first retry
MAX_BACKOFF_NS = 4 * SECOND  # greatest mean backoff
MAX_BACKOFF_DOUBLINGS = 10
LOCAL_ATTEMPTS = 3  # unanswered requests after which control machines of other regions are asked too
REFRESH_JITTER = (0.7, 1.3)  # random factor of the refresh interval
BACKOFF_JITTER = (0.5, 1.5)  # random factor of the backoff


class GatewaySettings(NamedTuple):
    """Holds the settings of one gateway.

    `machines` lists control machines, at least those of the gateway's own region.
    """

    fleet: str
    name: str
    created_at_ms: int  # wall-clock time
    address: Address
    zone: Zone
    machines: tuple[ControlMachine, ...]
    version: str = ""
    probe_interval_ns: int = 300 * MS
    lease_duration_ns: int = 30 * SECOND


class Gateway(CellsCore):
    """Runs the core of a gateway's membership in cells; the process itself is in `node/gateway.py`.

    `seed` determines all its random choices.
    """

    def __init__(self, settings: GatewaySettings, now_ns: int, seed: int) -> None:
        super().__init__()
        self.settings = settings
        self.rng = random.Random(seed)
        self.placement: Placement | None = None
        self.member: Member | None = None
        self.answered_at_ns: int | None = None  # time of a control machine's last answer
        self._created_at_ms = settings.created_at_ms  # creation time under which it last joined a cell
        self._unanswered_requests = 0  # requests since the last answer
        self._next_request_at_ns = now_ns
        self._control_names = frozenset(machine.name for machine in settings.machines)
        self._local_machines = [
            machine.address for machine in settings.machines if machine.region == settings.zone.region
        ]
        self._all_machines = [machine.address for machine in settings.machines]

    @property
    def member_id(self) -> MemberId:
        """Returns the name and creation time by which the cell knows this gateway."""
        if self.member is not None:
            return self.member.member_id
        return self.settings.name, self._created_at_ms

    @property
    def is_fenced(self) -> bool:
        """Returns whether a newer process runs under this name."""
        return self.member is not None and self.member.is_fenced

    def usable_slots(self, now_ns: int) -> int:
        """Returns the slots of the cell's shared limits that this gateway may use at this instant."""
        return self.member.usable_slots(now_ns) if self.member is not None else 0

    def start(self, now_ns: int) -> list[CellsAction]:
        """Schedules the first request after a random delay, because many gateways may start at once."""
        self._next_request_at_ns = now_ns + int(MIN_BACKOFF_NS * self.rng.random())
        return self._take_actions()

    def tick(self, now_ns: int) -> list[CellsAction]:
        """Performs the work that is due."""
        if self.member is not None:
            self._perform(self.member.tick(now_ns))
        if not self.has_left and not self.is_fenced and now_ns >= self._next_request_at_ns:
            self._request_placement(now_ns)
        return self._take_actions()

    def receive_cells_message(self, now_ns: int, message: CellsMessage, source: Address) -> list[CellsAction]:
        """Handles a control machine's message."""
        body = message.body
        if self._accepts(message) and isinstance(body, PlacementNotice) and body.member_id == self.member_id:
            self.answered_at_ns = now_ns
            self._unanswered_requests = 0
            self._next_request_at_ns = now_ns + int(REFRESH_INTERVAL_NS * self.rng.uniform(*REFRESH_JITTER))
            self._follow(now_ns, body.placement)
        return self._take_actions()

    def send_data(self, names: Iterable[str], data: bytes) -> list[CellsAction]:
        """Sends data to those of these gateways that are present in the cell."""
        if self.member is not None:
            self._perform(self.member.send_data(names, data))
        return self._take_actions()

    def leave(self, now_ns: int) -> list[CellsAction]:
        """Shuts down gracefully."""
        if not self.has_left:
            self._leave_cell(now_ns)
            self.has_left = True
        return self._take_actions()

    def hand_over(self) -> list[CellsAction]:
        """Stops in favor of another process under this name."""
        if not self.has_left:
            if self.member is not None:
                self._perform(self.member.hand_over())
            self.has_left = True
        return self._take_actions()

    def _accepts(self, message: CellsMessage) -> bool:
        from_control = message.fleet == self.settings.fleet and message.name in self._control_names
        return from_control and not self.has_left and not self.is_fenced

    def _member_in(self, fleet: str) -> Member | None:
        if self.placement is None or fleet != self.placement.cell.name:
            return None
        return self.member

    def _perform(self, actions: Iterable[Action]) -> None:
        if self.placement is not None:
            self._add_member_actions(self.placement.cell.name, actions)

    def _request_placement(self, now_ns: int) -> None:
        """Asks a control machine for the placement; the backoff grows until one answers."""
        backoff_ns = min(
            MAX_BACKOFF_NS, MIN_BACKOFF_NS << min(self._unanswered_requests, MAX_BACKOFF_DOUBLINGS)
        )
        self._next_request_at_ns = now_ns + int(backoff_ns * self.rng.uniform(*BACKOFF_JITTER))
        machine = self._choose_machine()
        self._unanswered_requests += 1
        settings = self.settings
        request = PlacementRequest(settings.zone.region, settings.zone.zone, settings.address, self.placement)
        message = CellsMessage(settings.fleet, *self.member_id, request)
        self._actions.append(SendCellsMessage(machine, message))

    def _choose_machine(self) -> Address:
        """Returns a seed of the cell, which knows the gateway best, then one of its region, then any."""
        if self.placement is not None and not self._unanswered_requests:
            return self.rng.choice(self.placement.cell.seeds)
        if self._local_machines and self._unanswered_requests < LOCAL_ATTEMPTS:
            return self.rng.choice(self._local_machines)
        return self.rng.choice(self._all_machines)

    def _follow(self, now_ns: int, placement: Placement) -> None:
        current = self.placement
        if current is None:
            self._join_cell(now_ns, placement)
        elif placement.cell.name == current.cell.name:
            if placement.number >= current.number and placement.cell.number >= current.cell.number:
                self.placement = placement
        elif placement.number > current.number:
            self._leave_cell(now_ns)
            self._join_cell(now_ns, placement)

    def _leave_cell(self, now_ns: int) -> None:
        if self.member is None or self.placement is None:
            return
        self._created_at_ms = self.member.member_id[1]
        self._perform(self.member.leave(now_ns))
        self._actions.append(CellLeft(self.placement))
        self.member = None

    def _join_cell(self, now_ns: int, placement: Placement) -> None:
        """Joins with a new creation time, because a member that has left a cell can't return to it."""
        settings, cell = self.settings, placement.cell
        self.placement = placement
        self._created_at_ms += 1
        member_settings = MemberSettings(
            cell.name,
            settings.name,
            self._created_at_ms,
            settings.address,
            cell.seeds,
            settings.version,
            settings.probe_interval_ns,
            MAX_CELL_MEMBERS,
            lease_duration_ns=settings.lease_duration_ns,
        )
        self.member = Member(member_settings, now_ns, self.rng.getrandbits(60))
        self._actions.append(CellJoined(placement))
        self._perform(self.member.start(now_ns))
