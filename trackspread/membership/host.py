"""Runs a member on sockets, and writes its events to the log and the event log."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import cast

from ..logs import RateLimitFilter
from .actions import Action, ExchangeTables, PeerDataReceived, SendMessage, StatusEvent
from .core_host import CHANGE_KINDS, LOGGED_KINDS, CoreHost, DataCallback
from .identifiers import Address, MemberId
from .member import Member
from .messages import TableSnapshot
from .settings import MemberSettings
from .wire import Wire

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())
# These lines have a logger of their own, so that the rate limit on the events of members does not drop them.
important_log = logging.getLogger(f"{__name__}.note")


# Events of these kinds have a log text without values.
_FIXED_TEXTS = {
    "leads no more": "this member is no longer the coordinator",
    "left": "this member has left the fleet",
    "slow": "this process answers late and others do not wait for it: check its load, CPU and network",
    "well": "this process no longer answers late",
}


class Host(CoreHost[Action]):
    """Runs one member."""

    def __init__(
        self,
        settings: MemberSettings,
        listen: Address,
        wire: Wire,
        seed: int,
        clock_ns: Callable[[], int],
        event_log: Path | None = None,
        on_change: Callable[[], None] = lambda: None,
        on_data: DataCallback = lambda name, data, slots: None,
    ) -> None:
        """Creates the member and its host without opening sockets.

        `on_change` is called when members or this member's slots have changed, and `on_data` with the data of
        other members. Raises `OSError` where the event log can't be opened.
        """
        self.settings = settings
        self.core = Member(settings, clock_ns(), seed)
        super().__init__(self.core, listen, wire, clock_ns, event_log, on_change, on_data)

    def send_data(self, names: Iterable[str], data: bytes) -> None:
        """Sends application data to other members."""
        self._perform(self.core.send_data(names, data))

    def _final_actions(self, leave: bool) -> Iterable[Action]:
        return self.core.leave(self._clock_ns()) if leave else self.core.hand_over()

    def _receive(self, data: bytes, source: Address) -> None:
        message = self.wire.unpack(data)
        if message is not None:
            self._perform(self.core.receive(self._clock_ns(), message, source))

    def _table_snapshot(self, fleet: str) -> TableSnapshot | None:
        return self.core.table_snapshot()

    def _perform(self, actions: Iterable[Action]) -> None:
        has_changed = False
        for action in actions:
            match action:
                case SendMessage(address, message):
                    self._send_message(address, message)
                case ExchangeTables(address):
                    self._start_exchange(address, self.settings.fleet)
                case PeerDataReceived(name, data, slots):
                    self._on_data(name, data, slots)
                case StatusEvent():
                    self._record_event(action)
                    has_changed |= action.kind in CHANGE_KINDS
        if has_changed:
            self._on_change()

    def _record_event(self, event: StatusEvent) -> None:
        self._log_event(event.kind, event.details)
        if event.kind in LOGGED_KINDS:
            level = logging.WARNING if event.kind == "fenced" else logging.INFO
            important_log.log(level, "fleet: %s", format_event(event))
        elif event.kind == "member":
            log.info("fleet: %s", format_event(event))


def format_event(event: StatusEvent) -> str:
    """Returns the text of an event for the log, without the fleet's or the cell's name."""
    details = event.details
    match event.kind:
        case "member":
            name, _ = cast(MemberId, details["who"])
            slow = " and slow" if details["slow"] else ""
            return f"member {name} is {details['state']}{slow}, as reported by {details['by']}"
        case "view":
            names = ", ".join(name for name, _ in cast(tuple[MemberId, ...], details["members"]))
            return f"view {details['number']} has the members {names}"
        case "forgot":
            slots = details["slots"] or "none"
            return f"member {details['name']} was declared gone by an operator; freed slots: {slots}"
        case "fenced":
            return (
                f"this process is fenced: a newer process with this name is at {details['at']}; this one has "
                "left the fleet and holds no slots: stop one of the two"
            )
        case "leads":
            return f"this member is the coordinator of epoch {details['epoch']}"
        case "renamed":
            _, created_at_ms = cast(MemberId, details["who"])
            return f"this process uses creation time {created_at_ms} ms: a former process's clock was ahead"
    return _FIXED_TEXTS.get(event.kind, event.kind)


def created_now_ms() -> int:
    """Returns the wall-clock time in ms, which distinguishes the processes of one name."""
    return time.time_ns() // 1_000_000
