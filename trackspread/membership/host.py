"""The core on sockets: a port, the log and the records. Decides nothing."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import cast

from ..logs import Sparing
from .member import Member
from .port import DESCRIPTORS as DESCRIPTORS
from .port import Port
from .record import Recorder
from .terms import Action, Address, Exchange, Heard, MemberMessage, Noticed, Say, Settings, Table
from .wire import Wire

log = logging.getLogger(__name__)
log.addFilter(Sparing())
of_note = logging.getLogger(f"{__name__}.note")  # what members' coming and going must not drown

CHANGING = {"member", "part", "slow", "well", "left", "fenced", "renamed"}  # what the program may act on
NOTED = {"view", "fenced", "leads", "leads no more", "slow", "well", "renamed", "left", "forgot"}


class Host(Port):
    """One member that runs."""

    def __init__(
        self,
        settings: Settings,
        listen: Address,
        wire: Wire,
        seed: int,
        now: Callable[[], int],
        record: Path | None = None,
        changed: Callable[[], None] = lambda: None,
        heard: Callable[[str, bytes, int], None] = lambda name, data, part: None,
    ) -> None:
        """`changed` is called when members or this one's part are not as they were, `heard` with the words of
        others and the slots they hold. Raises `OSError` where the record can't be written."""
        super().__init__(listen, wire)
        self.settings, self.now = settings, now
        self.core = Member(settings, now(), seed)
        self._changed, self._heard = changed, heard
        self._packed: tuple[MemberMessage, bytes] | None = None  # the last one: it often goes to several
        self._record = Recorder(record, *settings.who) if record is not None else None

    async def start(self) -> None:
        """Raises `OSError` where the address can't be had."""
        await self._open(lambda: self._do(self.core.start(self.now())))

    def close(self, leave: bool = True) -> None:
        """In good order; `leave` False: another process goes on under this name."""
        self._stop_ticking()
        if self._transport is not None:
            self._do(self.core.leave(self.now()) if leave else self.core.make_way())
        self._shut()
        if self._record is not None:
            self._record.close()
            self._record = None

    # What the port calls.

    def _ticked(self) -> None:
        self._do(self.core.tick(self.now()))

    def _take(self, data: bytes, source: Address) -> None:
        message = self.wire.unpack(data)
        if message is not None:
            self._do(self.core.received(self.now(), message, source))

    def _table(self, fleet: str) -> Table | None:
        return self.core.table(self.now())

    def _took(self, table: Table) -> None:
        self._do(self.core.merge(self.now(), table))

    def tell(self, names: Iterable[str], data: bytes) -> None:
        """The program's words for other members."""
        self._do(self.core.send_data(names, data))

    def _do(self, actions: Iterable[Action]) -> None:
        changed = False
        for action in actions:
            match action:
                case Say(to, message):
                    self._say(to, message)
                case Exchange(to):
                    self._exchange(to, self.settings.fleet)
                case Heard(name, data, part):
                    self._heard(name, data, part)
                case Noticed():
                    self._told(action)
                    changed |= action.kind in CHANGING
        if changed:
            self._changed()

    def _say(self, to: Address, message: MemberMessage) -> None:
        if self._packed is None or self._packed[0] is not message:
            self._packed = message, self.wire.pack(message)
        self._send(self._packed[1], to)

    def _told(self, told: Noticed) -> None:
        if self._record is not None:
            self._record.write(told.kind, told.about)
        if told.kind in NOTED:
            level = logging.WARNING if told.kind == "fenced" else logging.INFO
            of_note.log(level, "fleet: %s%s", told.kind, plain(told))
        elif told.kind == "member":
            log.info("fleet: member%s", plain(told))


def plain(told: Noticed) -> str:
    """What came to be, for the log's readers."""
    about = told.about
    match told.kind:
        case "member":
            name, _ = cast(tuple[str, int], about["who"])
            slow = ", slow" if about["slow"] else ""
            return f" {name} is {about['state']}{slow}, says {about['by']}"
        case "view":
            names = ", ".join(name for name, _ in cast(tuple[tuple[str, int], ...], about["members"]))
            return f" {about['number']}: {names}"
        case "forgot":
            return f" {about['name']}, by an operator's word: slots {about['slots'] or 'none'} are free"
        case "fenced":
            return f" off: a newer process under this name is at {about['at']}, this one takes no part now"
    return ""


def born_now() -> int:
    """ms of wall clock: which process of a name is the newer."""
    return time.time_ns() // 1_000_000
