"""Runs a control machine's or a gateway's core on sockets, with the log and the event log. Decides nothing.

One address serves the views of all cells that the core takes part in, and the messages on cells. Hundreds of
gateways may share a process: each is two sockets and one timer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from pathlib import Path

from ..logs import RateLimitFilter
from ..membership.actions import Action, ExchangeTables, PeerDataReceived, SendMessage, StatusEvent
from ..membership.core_host import CHANGE_KINDS, LOGGED_KINDS, CoreHost, DataCallback
from ..membership.host import format_event
from ..membership.identifiers import Address, Epoch
from ..membership.messages import MemberMessage, TableSnapshot
from .actions import CellJoined, CellLeft, CellsAction, LeadershipChanged, MemberAction, SendCellsMessage
from .controller import Controller
from .gateway import Gateway
from .messages import CellsMessage
from .wire import CellsWire

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())
# So that the many events of members do not suppress these.
important_log = logging.getLogger(f"{__name__}.note")

CONTROL_RECEIVE_BUFFER_BYTES = 1 << 20  # bytes of its socket's buffer: hundreds of gateways may ask at once
MAX_CONTROL_EXCHANGES = 128  # exchanges under way at a control machine, which is in many views


class Host(CoreHost[CellsAction]):
    """Runs one core.

    Its event log has a line for each event, with the `fleet` that it belongs to: the cell's name, or the
    fleet's for the control machines' own view.
    """

    def __init__(
        self,
        core: Controller | Gateway,
        listen: Address,
        wire: CellsWire,
        clock_ns: Callable[[], int],
        event_log: Path | None = None,
        on_change: Callable[[], None] = lambda: None,
        on_data: DataCallback = lambda name, data, slots: None,
        on_leadership: Callable[[Epoch | None], None] = lambda epoch: None,
    ) -> None:
        """`on_change` is called when members or this one's slots have changed, `on_data` with the data of
        others of the cell, `on_leadership` with the epoch from which on this control machine leads, and with
        None when it no longer does. Raises `OSError` where the event log can't be opened."""
        self.core = core
        self._cells_wire = wire
        self._on_leadership = on_leadership
        common = (core, listen, wire, clock_ns, event_log, on_change, on_data)
        if isinstance(core, Controller):
            super().__init__(*common, MAX_CONTROL_EXCHANGES, CONTROL_RECEIVE_BUFFER_BYTES)
        else:
            super().__init__(*common)

    def send_data(self, names: Iterable[str], data: bytes) -> None:
        """Send data of the program to other members of the gateway's cell."""
        if isinstance(self.core, Gateway):
            self._perform(self.core.send_data(names, data))

    def _final_actions(self, leave: bool) -> Iterable[CellsAction]:
        if leave:
            return self.core.leave(self._clock_ns())
        return self.core.hand_over() if isinstance(self.core, Gateway) else []

    def _receive(self, data: bytes, source: Address) -> None:
        match self._cells_wire.read(data):
            case MemberMessage() as member_message:
                self._perform(self.core.receive(self._clock_ns(), member_message, source))
            case CellsMessage() as message:
                self._perform(self.core.receive_cells_message(self._clock_ns(), message, source))

    def _table_snapshot(self, fleet: str) -> TableSnapshot | None:
        return self.core.table_snapshot(fleet)

    def _perform(self, actions: Iterable[CellsAction]) -> None:
        has_changed = False
        for action in actions:
            match action:
                case SendCellsMessage(to, message):
                    self._send(self._cells_wire.pack_message(message), to)
                case MemberAction(fleet, member_action):
                    has_changed |= self._perform_in_cell(fleet, member_action)
                case CellJoined() | CellLeft():
                    self._record_placement(action)
                    has_changed = True
                case LeadershipChanged(epoch):
                    kind = "leads" if epoch is not None else "leads no more"
                    self._record_control_event(kind, {"epoch": epoch})
                    self._on_leadership(epoch)
                case StatusEvent(kind, details):
                    self._record_control_event(kind, details)
        if has_changed:
            self._on_change()

    def _perform_in_cell(self, fleet: str, action: Action) -> bool:
        """Do what the member of this cell wants done; returns whether the program may act on it."""
        match action:
            case SendMessage(address, message):
                self._send_message(address, message)
            case ExchangeTables(address):
                self._start_exchange(address, fleet)
            case PeerDataReceived(name, data, slots):
                self._on_data(name, data, slots)
            case StatusEvent():
                self._record_event(fleet, action)
                return action.kind in CHANGE_KINDS
        return False

    def _record_event(self, fleet: str, event: StatusEvent) -> None:
        self._log_event(event.kind, {**event.details, "fleet": fleet})
        if event.kind in LOGGED_KINDS and isinstance(self.core, Gateway):
            important_log.info("%s: %s", fleet, format_event(event))
        elif event.kind in LOGGED_KINDS:  # a control machine is in many views
            log.info("%s: %s", fleet, format_event(event))

    def _record_placement(self, action: CellJoined | CellLeft) -> None:
        kind = "joined" if isinstance(action, CellJoined) else "parted"
        cell = action.placement.cell.name
        important_log.info("cell %s: %s", cell, "joined" if kind == "joined" else "left")
        self._log_event(kind, {"cell": cell, "number": action.placement.number})

    def _record_control_event(self, kind: str, details: dict[str, object]) -> None:
        if kind == "full":
            log.warning(
                "fleet.gateways: the limit of %s gateways is reached, a further one gets no cell: "
                "raise it or stop gateways",
                details["gateways"],
            )
        else:
            text = ", ".join(f"{key} {value}" for key, value in details.items() if value is not None)
            important_log.info("control: %s %s", kind, text)
        self._log_event(f"control {kind}", details)
