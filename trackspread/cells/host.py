"""A control machine's core, or a gateway's, on sockets: a port, the log and the records. Decides nothing.

One address serves the views of all cells that the core takes part in, and the words on cells. Hundreds of
gateways may share a process: each is two sockets and one timer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from pathlib import Path

from ..logs import Sparing
from ..membership.host import CHANGING, NOTED, plain
from ..membership.port import Port
from ..membership.record import Recorder
from ..membership.terms import Address, Epoch, Exchange, Heard, MemberMessage, Say, Table
from .controller import Controller
from .gateway import Gateway
from .terms import CellsAction, InCell, Joined, Leads, Left, Message, Noticed, Send
from .wire import CellsWire

log = logging.getLogger(__name__)
log.addFilter(Sparing())
of_note = logging.getLogger(f"{__name__}.note")  # what members' coming and going must not drown

CONTROL_RECEIVE = 1 << 20  # bytes of its socket's buffer: hundreds of gateways may ask at once
CONTROL_SERVED = 128  # exchanges under way at a control machine, which is in many views


class Host(Port):
    """One core that runs. Its record has a line for each thing that came to be, with the `fleet` (the cell's
    name, or the fleet's for the control machines' own view) that it came to be in."""

    def __init__(
        self,
        core: Controller | Gateway,
        listen: Address,
        wire: CellsWire,
        now: Callable[[], int],
        record: Path | None = None,
        changed: Callable[[], None] = lambda: None,
        heard: Callable[[str, bytes, int], None] = lambda name, data, part: None,
        led: Callable[[Epoch | None], None] = lambda epoch: None,
    ) -> None:
        """`changed` is called when members or this one's slots are not as they were, `heard` with the words
        of others of the cell, `led` with the epoch from which on this control machine leads, and with none
        when it no longer does. Raises `OSError` where the record can't be written."""
        if isinstance(core, Controller):
            super().__init__(listen, wire, CONTROL_SERVED, CONTROL_RECEIVE)
        else:
            super().__init__(listen, wire)
        self.core, self.now, self._reader = core, now, wire
        self._changed, self._heard, self._led = changed, heard, led
        self._packed: tuple[MemberMessage, bytes] | None = None  # the last one: it often goes to several
        self._record = Recorder(record, *core.who) if record is not None else None

    async def start(self) -> None:
        """Raises `OSError` where the address can't be had."""
        await self._open(lambda: self._do(self.core.start(self.now())))

    def close(self, leave: bool = True) -> None:
        """In good order; `leave` False: another process goes on under this name, or it ends outright."""
        self._stop_ticking()
        if self._transport is not None:
            if leave:
                self._do(self.core.leave(self.now()))
            elif isinstance(self.core, Gateway):
                self._do(self.core.make_way())
        self._shut()
        if self._record is not None:
            self._record.close()
            self._record = None

    # What the port calls.

    def _ticked(self) -> None:
        self._do(self.core.tick(self.now()))

    def _take(self, data: bytes, source: Address) -> None:
        match self._reader.read(data):
            case MemberMessage() as member_message:
                self._do(self.core.received(self.now(), member_message, source))
            case Message() as message:
                self._do(self.core.message(self.now(), message, source))

    def _table(self, fleet: str) -> Table | None:
        return self.core.table(self.now(), fleet)

    def _took(self, table: Table) -> None:
        self._do(self.core.merge(self.now(), table))

    def tell(self, names: Iterable[str], data: bytes) -> None:
        """The program's words for others of the gateway's cell."""
        if isinstance(self.core, Gateway):
            self._do(self.core.send_data(names, data))

    # What the core wants done.

    def _do(self, actions: Iterable[CellsAction]) -> None:
        changed = False
        for action in actions:
            match action:
                case Send(to, message):
                    self._send(self._reader.pack_message(message), to)
                case InCell(_, Say(to, member_message)):
                    self._say(to, member_message)
                case InCell(fleet, Exchange(to)):
                    self._exchange(to, fleet)
                case InCell(_, Heard(name, data, part)):
                    self._heard(name, data, part)
                case InCell(fleet, Noticed() as told):
                    self._told(fleet, told)
                    changed |= told.kind in CHANGING
                case Joined() | Left():
                    self._placed(action)
                    changed = True
                case Leads(epoch):
                    self._noticed("leads" if epoch is not None else "leads no more", {"epoch": epoch})
                    self._led(epoch)
                case Noticed(kind, about):
                    self._noticed(kind, about)
        if changed:
            self._changed()

    def _say(self, to: Address, member_message: MemberMessage) -> None:
        if self._packed is None or self._packed[0] is not member_message:
            self._packed = member_message, self.wire.pack(member_message)
        self._send(self._packed[1], to)

    def _line(self, kind: str, about: dict[str, object]) -> None:
        if self._record is not None:
            self._record.write(kind, about)

    def _told(self, fleet: str, told: Noticed) -> None:
        self._line(told.kind, {**told.about, "fleet": fleet})
        if told.kind in NOTED and isinstance(self.core, Gateway):
            of_note.info("%s: %s%s", fleet, told.kind, plain(told))
        elif told.kind in NOTED:  # a control machine is in many views
            log.info("%s: %s%s", fleet, told.kind, plain(told))

    def _placed(self, action: Joined | Left) -> None:
        kind = "joined" if isinstance(action, Joined) else "parted"
        cell = action.placement.cell.name
        of_note.info("cell %s: %s", cell, kind)
        self._line(kind, {"cell": cell, "number": action.placement.number})

    def _noticed(self, kind: str, about: dict[str, object]) -> None:
        if kind == "full":
            log.warning(
                "fleet.gateways: found more than %s gateways, wanted at most that: one is not placed",
                about["gateways"],
            )
        else:
            of_note.info("control: %s %s", kind, about)
        self._line(f"control {kind}", about)
