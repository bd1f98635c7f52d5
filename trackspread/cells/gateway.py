"""A gateway's side: which cell it is to be in, that it is in it, and how it moves from one to another.

- A gateway asks a control machine of its region for its placement, and goes on asking one of the cell's
  seeds, at long intervals. Without an answer it asks others, of other regions too, with random backoff, so
  that a region that heals sees no burst.
- It follows its placement until one with a greater number arrives, whatever does not answer.
- It moves by leaving the one cell, whose slots it gives back, and then joining the other: it is never in two.

| event | without a cell | in one |
| --- | --- | --- |
| placement, number not greater | | ignored, but for a newer entry of the same cell |
| placement, same cell | joined | updated |
| placement, another cell | joined | left, then joined |
| no answer | asks again, soon, then at long intervals | stays, asks again |
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

REFRESH_INTERVAL_NS = 6 * SECOND  # the mean, between requests of a gateway that is in a cell
MIN_BACKOFF_NS = 500 * MS  # the mean, before the first retry
MAX_BACKOFF_NS = 4 * SECOND  # the mean
MAX_BACKOFF_DOUBLINGS = 10
LOCAL_ATTEMPTS = 3  # without an answer, after which control machines of other regions are asked too
REFRESH_JITTER = (0.7, 1.3)  # of the interval
BACKOFF_JITTER = (0.5, 1.5)  # of the backoff


class GatewaySettings(NamedTuple):
    """Settings of one gateway. `machines`: control machines, at least those of its own region."""

    fleet: str
    name: str
    created_at_ms: int  # wall clock
    address: Address
    zone: Zone
    machines: tuple[ControlMachine, ...]
    version: str = ""
    probe_interval_ns: int = 300 * MS
    lease_duration_ns: int = 30 * SECOND


class Gateway(CellsCore):
    """The core of a gateway's part in cells (not the process, `node/gateway.py`). `seed`: of all its random
    choices."""

    def __init__(self, settings: GatewaySettings, now_ns: int, seed: int) -> None:
        super().__init__()
        self.settings = settings
        self.rng = random.Random(seed)
        self.placement: Placement | None = None
        self.member: Member | None = None
        self.answered_at_ns: int | None = None  # by a control machine
        self._created_at_ms = settings.created_at_ms  # of the newest process of this name in any cell
        self._unanswered_requests = 0  # requests since the last answer
        self._next_request_at_ns = now_ns
        self._control_names = frozenset(machine.name for machine in settings.machines)
        self._local_machines = [
            machine.address for machine in settings.machines if machine.region == settings.zone.region
        ]
        self._all_machines = [machine.address for machine in settings.machines]

    @property
    def member_id(self) -> MemberId:
        """Name and creation time, as the cell knows them."""
        if self.member is not None:
            return self.member.member_id
        return self.settings.name, self._created_at_ms

    @property
    def is_fenced(self) -> bool:
        """Whether a newer process runs under this name."""
        return self.member is not None and self.member.is_fenced

    def usable_slots(self, now_ns: int) -> int:
        """The slots of the cell's shared limits that this gateway may use at this instant."""
        return self.member.usable_slots(now_ns) if self.member is not None else 0

    # What the host calls.

    def start(self, now_ns: int) -> list[CellsAction]:
        """Begin after a random delay: many gateways may start at once."""
        self._next_request_at_ns = now_ns + int(MIN_BACKOFF_NS * self.rng.random())
        return self._take_actions()

    def tick(self, now_ns: int) -> list[CellsAction]:
        """Do what is due."""
        if self.member is not None:
            self._perform(self.member.tick(now_ns))
        if not self.has_left and not self.is_fenced and now_ns >= self._next_request_at_ns:
            self._request_placement(now_ns)
        return self._take_actions()

    def receive_cells_message(self, now_ns: int, message: CellsMessage, source: Address) -> list[CellsAction]:
        """A control machine's message."""
        body = message.body
        if self._accepts(message) and isinstance(body, PlacementNotice) and body.member_id == self.member_id:
            self.answered_at_ns = now_ns
            self._unanswered_requests = 0
            self._next_request_at_ns = now_ns + int(REFRESH_INTERVAL_NS * self.rng.uniform(*REFRESH_JITTER))
            self._follow(now_ns, body.placement)
        return self._take_actions()

    def send_data(self, names: Iterable[str], data: bytes) -> list[CellsAction]:
        """Send data to those of these gateways that are present in the cell."""
        if self.member is not None:
            self._perform(self.member.send_data(names, data))
        return self._take_actions()

    def leave(self, now_ns: int) -> list[CellsAction]:
        """Shut down gracefully."""
        if not self.has_left:
            self._leave_cell(now_ns)
            self.has_left = True
        return self._take_actions()

    def hand_over(self) -> list[CellsAction]:
        """Another process goes on under this name."""
        if not self.has_left:
            if self.member is not None:
                self._perform(self.member.hand_over())
            self.has_left = True
        return self._take_actions()

    # The cell.

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
        """Ask a control machine; the backoff grows until it answers."""
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
        """A seed of its cell, which knows it best; then one of its region; then any."""
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
        """Join as another process of this name: the former one has left, should it ever return to a cell."""
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
