"""Runs a control machine's or a gateway's core on sockets, and writes its events to the logs.

The host makes no decisions of its own. One address serves the views of all cells in which the core is a
member, and the messages on cells. Hundreds of gateways may share a process: each uses two sockets and one
timer.
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
# These lines have a logger of their own, so that the rate limit on the events of members does not drop them.
important_log = logging.getLogger(f"{__name__}.note")

CONTROL_RECEIVE_BUFFER_BYTES = 1 << 20  # hundreds of gateways may send requests at once
MAX_CONTROL_EXCHANGES = 128  # limit of exchanges in progress at a control machine, which is in many views


class Host(CoreHost[CellsAction]):
    """Runs one core.

    Its event log has a line for each event, with the `fleet` to which it belongs: the cell's name, or the
    fleet's name for the control machines' own view.
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
        """Creates the host without opening sockets.

        `on_change` is called when members or this member's slots have changed, and `on_data` with the data of
        other members of the cell. `on_leadership` is called with the epoch in which this control machine
        starts to lead, and with None when it stops leading. Raises `OSError` where the event log can't be
        opened.
        """
        self.core = core
        self._cells_wire = wire
        self._on_leadership = on_leadership
        common = (core, listen, wire, clock_ns, event_log, on_change, on_data)
        if isinstance(core, Controller):
            super().__init__(*common, MAX_CONTROL_EXCHANGES, CONTROL_RECEIVE_BUFFER_BYTES)
        else:
            super().__init__(*common)

    def send_data(self, names: Iterable[str], data: bytes) -> None:
        """Sends application data to other members of the gateway's cell."""
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
        """Performs an action of this cell's member; returns whether members or slots may have changed."""
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
        elif event.kind in LOGGED_KINDS:  # rate-limited, because a control machine is in many views
            log.info("%s: %s", fleet, format_event(event))

    def _record_placement(self, action: CellJoined | CellLeft) -> None:
        kind = "joined" if isinstance(action, CellJoined) else "parted"
        cell = action.placement.cell.name
        important_log.info("cell %s: this gateway has %s it", cell, "joined" if kind == "joined" else "left")
        self._log_event(kind, {"cell": cell, "number": action.placement.number})

    def _record_control_event(self, kind: str, details: dict[str, object]) -> None:
        if kind == "full":
            log.warning(
                "fleet.gateways: a gateway gets no cell because the limit of %s gateways is reached: "
                "raise the limit or stop gateways",
                details["gateways"],
            )
        else:
            important_log.info("control: %s", _format_control_event(kind, details))
        self._log_event(f"control {kind}", details)


def _format_control_event(kind: str, details: dict[str, object]) -> str:
    """Returns the text of a control machine's event for the log."""
    match kind:
        case "leads":
            return f"this machine leads in epoch {details['epoch']}"
        case "leads no more":
            return "this machine no longer leads"
        case "seeds":
            return f"this machine seeds cell {details['cell']}, entry {details['number']}"
        case "retired":
            return f"this machine no longer seeds cell {details['cell']}: retired by {details['number']}"
    return kind
