"""Runs replicas and subscribers on sockets: datagrams at one address, timers, log lines and event logs.

The module decides nothing, and the wire bounds everything that is received. An exception while one message
is handled must cost that message alone. Hundreds of gateways may share a process: each has one socket and one
timer.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path

from ..logs import RateLimitFilter
from ..membership.event_log import EventLog
from .log import fingerprint
from .replica import Replica
from .subscriber import Subscriber
from ..decide.time_units import SECOND
from .actions import Action, Send
from .messages import Message, MessageBody
from .settings import TICK_NS, ReplicaSettings, SubscriberSettings
from ..membership.actions import StatusEvent
from ..membership.identifiers import Address, Epoch
from .wire import Wire

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

LOG_TEXTS = {  # of the events of a replica that are logged, by kind
    "leads": "became the leader and accepts changes:",
    "outdone": "no longer leads because a newer epoch is known:",
    "whole": "became complete and counts for majorities again:",
    "forgot": "dropped its log and recovers because an operator began another history",
    "installed": "installed a snapshot:",
}
RECEIVE_BUFFER_BYTES = 1 << 20  # of the socket, as the pieces of a snapshot arrive in bursts


class _Datagrams(asyncio.DatagramProtocol):
    """Passes the datagrams of a socket to its endpoint."""

    def __init__(self, host: Endpoint) -> None:
        self._host = host

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._host.on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignores the ICMP error that the port of a stopped replica answers with.

        Datagrams may be lost anyway.
        """


class Endpoint:
    """Gives a core a socket and a timer; `counts` counts datagrams and bytes, sent and received."""

    def __init__(
        self,
        name: str,
        replica: int,
        incarnation: int,
        listen: Address,
        wire: Wire,
        now: Callable[[], int],
        record: Path | None = None,
    ) -> None:
        """Takes the core's number in `replica`, -1 for a gateway, and its clock in nanoseconds in `now`.

        Raises `OSError` where the event log can't be written.
        """
        self.name = name
        self.wire = wire
        self.now = now
        self.counts: Counter[str] = Counter()
        self._replica = replica
        self._incarnation = incarnation
        self._listen = listen
        self._recorder = EventLog(record, name, incarnation) if record is not None else None
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def address(self) -> Address:
        """Returns the address of the endpoint: the bound one once the endpoint has been started."""
        if self._transport is None:
            return self._listen
        host, port = self._transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    async def start(self) -> None:
        """Binds the socket and begins to tick; raises `OSError` where the address can't be bound."""
        datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagram_socket.setblocking(False)
            datagram_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            datagram_socket.bind(self._listen)
        except OSError:
            datagram_socket.close()
            raise
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), sock=datagram_socket
        )
        self.tick()

    def close(self) -> None:
        """Closes the socket and the event log and cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._recorder is not None:
            self._recorder.close()
            self._recorder = None

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Decodes a received datagram and executes the actions that the core returns for it."""
        self.counts["received"] += 1
        self.counts["bytes received"] += len(data)
        message = self.wire.unpack(data)
        if message is not None and self._transport is not None:
            self.carry_out(lambda: self.on_message(message, source))

    def carry_out(self, call: Callable[[], Iterable[Action]]) -> None:
        """Executes the actions that a call to the core returns; an exception is logged."""
        try:
            for action in call():
                match action:
                    case Send(to, body):
                        self.send(to, body)
                    case StatusEvent():
                        self.on_event(action)
        except Exception:
            log.exception("configuration: %s failed to handle a message or a tick", self.name)

    def send(self, to: Address, body: MessageBody) -> None:
        """Sends one datagram if the socket is open."""
        if self._transport is None:
            return
        data = self.wire.pack(Message(self.wire.fleet, self._replica, self._incarnation, body))
        self.counts["sent"] += 1
        self.counts["bytes sent"] += len(data)
        self._transport.sendto(data, to)

    def record(self, kind: str, details: dict[str, object]) -> None:
        """Writes a line to the event log, if there is one."""
        if self._recorder is not None:
            self._recorder.write(kind, details)

    def schedule_tick(self, due_ns: int) -> None:
        """Schedules `tick` for `due_ns` of the core's clock, in place of the tick scheduled before."""
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, (due_ns - self.now()) / SECOND), self.tick)

    def tick(self) -> None:
        """Calls the core and schedules the next tick."""
        raise NotImplementedError

    def on_message(self, message: Message, source: Address) -> Iterable[Action]:
        """Passes a message to the core and returns its actions."""
        raise NotImplementedError

    def on_event(self, event: StatusEvent) -> None:
        """Logs and records an event of the core."""
        raise NotImplementedError


class ReplicaHost(Endpoint):
    """Runs a replica on a socket."""

    def __init__(
        self,
        settings: ReplicaSettings,
        listen: Address,
        wire: Wire,
        seed: int,
        now: Callable[[], int],
        current_epoch: Callable[[], Epoch | None],
        on_superseded: Callable[[Epoch], None] = lambda epoch: None,
        record: Path | None = None,
    ) -> None:
        """Takes the callbacks that connect the replica to the election.

        `current_epoch` returns the epoch that this replica is elected for, and is called before each call to
        the core. `on_superseded` is called with an epoch newer than the elected one, once one is known.
        """
        name = f"replica {settings.number}"
        super().__init__(name, settings.number, settings.incarnation, listen, wire, now, record)
        self.core = Replica(settings, now(), seed)
        self._current_epoch = current_epoch
        self._on_superseded = on_superseded

    def tick(self) -> None:
        """Calls the core and schedules the next tick."""
        now = self.now()
        self.carry_out(lambda: self.core.set_leadership(now, self._current_epoch()))
        self.carry_out(lambda: self.core.tick(self.now()))
        self.schedule_tick(now + TICK_NS)

    def on_message(self, message: Message, source: Address) -> Iterable[Action]:
        """Passes a message to the core and returns its actions."""
        now = self.now()
        actions = self.core.set_leadership(now, self._current_epoch())
        return actions + self.core.on_message(now, message.replica, message.incarnation, message.body, source)

    def on_event(self, event: StatusEvent) -> None:
        """Logs and records an event of the core; a newer epoch is reported to `on_superseded`."""
        self.record(event.kind, event.details)
        if (text := LOG_TEXTS.get(event.kind)) is not None:
            details = ", ".join(f"{key} {value}" for key, value in event.details.items())
            log.info("configuration: %s %s %s", self.name, text, details)
        if event.kind == "outdone":
            self._on_superseded(event.details["by"])  # type: ignore[arg-type]


class SubscriberHost(Endpoint):
    """Runs a gateway's subscription on a socket."""

    def __init__(
        self,
        name: str,
        settings: SubscriberSettings,
        listen: Address,
        wire: Wire,
        seed: int,
        incarnation: int,
        now: Callable[[], int],
        on_change: Callable[[], None] = lambda: None,
        record: Path | None = None,
    ) -> None:
        """Takes in `on_change` the callback that is called after other values have come into force."""
        super().__init__(name, -1, incarnation, listen, wire, now, record)
        self.core = Subscriber(settings, now(), seed)
        self._on_change = on_change
        self._scheduled_ns = -1

    def change_services(self, services: frozenset[str]) -> None:
        """Subscribes to other services from now on."""
        self.core.change_services(self.now(), services)
        self._reschedule()

    def tick(self) -> None:
        """Calls the core and schedules the next tick."""
        self.carry_out(lambda: self.core.tick(self.now()))
        self._reschedule(True)

    def _reschedule(self, always: bool = False) -> None:
        if always or self.core.due_ns != self._scheduled_ns:
            self._scheduled_ns = self.core.due_ns
            self.schedule_tick(self._scheduled_ns)

    def on_message(self, message: Message, source: Address) -> Iterable[Action]:
        """Passes a message to the core and returns its actions."""
        actions = self.core.on_message(self.now(), message.body, source)
        self._reschedule()
        return actions

    def on_event(self, event: StatusEvent) -> None:
        """Records an event of the core with a digest of the values in force, and calls `on_change`."""
        if self._recorder is not None:
            self.record(event.kind, event.details | {"values": fingerprint(self.core.snapshot)})
        self._on_change()
