"""Runs a state machine of the fleet's view on sockets, as the common base of all its hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Generic, Protocol, TypeVar

from .event_log import EventLog
from .identifiers import Address, MemberId
from .messages import MemberMessage, TableSnapshot
from .transport import MAX_SERVED_EXCHANGES, Transport
from .wire import Wire

ActionT = TypeVar("ActionT")

# After events of these kinds `on_change` is called, because members or this member's slots have changed.
CHANGE_KINDS = {"member", "part", "slow", "well", "left", "fenced", "renamed"}
# Events of these kinds are written to the log as well as to the event log.
LOGGED_KINDS = {"view", "fenced", "leads", "leads no more", "slow", "well", "renamed", "left", "forgot"}

DataCallback = Callable[[str, bytes, int], None]  # the sender's name, the data, and the sender's set of slots


class Core(Protocol[ActionT]):
    """Describes a state machine that a host runs."""

    @property
    def member_id(self) -> MemberId:
        """Returns the name and creation time of the process."""

    def start(self, now_ns: int, /) -> list[ActionT]:
        """Starts the state machine."""

    def tick(self, now_ns: int, /) -> list[ActionT]:
        """Performs the work that is due."""

    def merge(self, now_ns: int, table: TableSnapshot, /) -> list[ActionT]:
        """Merges another member's table."""


class CoreHost(Transport, Generic[ActionT]):
    """Provides the common base of hosts that each run one core."""

    def __init__(
        self,
        core: Core[ActionT],
        listen: Address,
        wire: Wire,
        clock_ns: Callable[[], int],
        event_log: Path | None,
        on_change: Callable[[], None],
        on_data: DataCallback,
        max_served_exchanges: int = MAX_SERVED_EXCHANGES,
        receive_buffer_bytes: int = 0,
    ) -> None:
        """Creates the host without opening its sockets.

        Raises `OSError` where the event log can't be opened.
        """
        super().__init__(listen, wire, max_served_exchanges, receive_buffer_bytes)
        self._clock_ns = clock_ns
        self._state_machine = core
        self._on_change = on_change
        self._on_data = on_data
        # The last message is kept encoded, because one message often goes to several members.
        self._last_packed: tuple[MemberMessage, bytes] | None = None
        self._event_log = EventLog(event_log, *core.member_id) if event_log is not None else None

    async def start(self) -> None:
        """Opens the sockets and starts the core.

        Raises `OSError` where the address can't be bound.
        """
        await self._open(lambda: self._perform(self._state_machine.start(self._clock_ns())))

    def close(self, leave: bool = True) -> None:
        """Closes the sockets and the event log, after a graceful shutdown of the core.

        With `leave` False the core does not leave the fleet, because another process continues under its name
        or because the host stops at once.
        """
        self._stop_ticking()
        if self._transport is not None:
            self._perform(self._final_actions(leave))
        self._close_sockets()
        if self._event_log is not None:
            self._event_log.close()
            self._event_log = None

    def _final_actions(self, leave: bool) -> Iterable[ActionT]:
        """Returns the core's last actions before its host closes."""
        raise NotImplementedError

    def _perform(self, actions: Iterable[ActionT]) -> None:
        """Performs the actions of the core."""
        raise NotImplementedError

    def _tick(self) -> None:
        self._perform(self._state_machine.tick(self._clock_ns()))

    def _merge(self, table: TableSnapshot) -> None:
        self._perform(self._state_machine.merge(self._clock_ns(), table))

    def _send_message(self, address: Address, message: MemberMessage) -> None:
        if self._last_packed is None or self._last_packed[0] is not message:
            self._last_packed = message, self.wire.pack(message)
        self._send(self._last_packed[1], address)

    def _log_event(self, kind: str, details: dict[str, object]) -> None:
        if self._event_log is not None:
            self._event_log.write(kind, details)
