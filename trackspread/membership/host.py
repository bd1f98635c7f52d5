"""Runs a member on sockets, with the log and the event log."""

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
important_log = logging.getLogger(f"{__name__}.note")  # the many events of members must not suppress these


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
        """`on_change` is called when members or this one's slots have changed, `on_data` with the data of
        other members. Raises `OSError` where the event log can't be opened."""
        self.settings = settings
        self.core = Member(settings, clock_ns(), seed)
        super().__init__(self.core, listen, wire, clock_ns, event_log, on_change, on_data)

    def send_data(self, names: Iterable[str], data: bytes) -> None:
        """Send data of the program to other members."""
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
            important_log.log(level, "fleet: %s%s", event.kind, format_event(event))
        elif event.kind == "member":
            log.info("fleet: member%s", format_event(event))


def format_event(event: StatusEvent) -> str:
    """The details of an event for the log, with a space before them; empty for a kind without."""
    details = event.details
    match event.kind:
        case "member":
            name, _ = cast(MemberId, details["who"])
            slow = ", slow" if details["slow"] else ""
            return f" {name} is {details['state']}{slow}, says {details['by']}"
        case "view":
            names = ", ".join(name for name, _ in cast(tuple[MemberId, ...], details["members"]))
            return f" {details['number']}: {names}"
        case "forgot":
            slots = details["slots"] or "none"
            return f" {details['name']}, at an operator's request: its slots ({slots}) are free"
        case "fenced":
            return (
                f" off: a newer process with this name is at {details['at']}; this one has left the "
                "fleet and holds no slots: stop one of the two"
            )
        case "leads":
            return f" as coordinator, epoch {details['epoch']}"
        case "slow":
            return ": this process answers late, others do not wait for it (load, CPU, network)"
        case "well":
            return ": this process no longer answers late"
        case "renamed":
            _, created_at_ms = cast(MemberId, details["who"])
            return f": now known as created at {created_at_ms}, as a former process's clock was ahead"
    return ""


def created_now_ms() -> int:
    """The wall clock in ms, by which processes of one name are told apart."""
    return time.time_ns() // 1_000_000
