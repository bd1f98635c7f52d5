"""Replicas and subscribers on sockets: datagrams at one address, timers, the log and the records.

Decides nothing. All that comes is bounded by the wire. A fault in the handling of one message must cost that
message alone. Hundreds of gateways may share a process: each is a socket and one timer.
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

LOG_TEXTS = {  # by kind of event of a replica, for those that are logged
    "leads": "leads and takes changes:",
    "outdone": "no longer leads, a newer epoch is known:",
    "whole": "is complete, counts for majorities again:",
    "forgot": "starts anew, as an operator has begun another history",
    "installed": "has installed a snapshot:",
}
RECEIVE_BUFFER_BYTES = 1 << 20  # of the socket: a snapshot's pieces come in bursts


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, host: Endpoint) -> None:
        self._host = host

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._host.on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A dead replica's port answers with an ICMP error; datagrams may be lost anyway."""


class Endpoint:
    """A socket and a timer for a core; `counts`: datagrams and bytes, sent and received."""

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
        """`replica`: the core's number, -1 for a gateway; `now`: the core's clock, ns. Raises `OSError` where
        the record can't be written."""
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
        """Where it listens: as bound, once it has been started."""
        if self._transport is None:
            return self._listen
        host, port = self._transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    async def start(self) -> None:
        """Listen and begin to tick. Raises `OSError` where the address can't be bound."""
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
        """End the socket, the timer and the record."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._recorder is not None:
            self._recorder.close()
            self._recorder = None

    def on_datagram(self, data: bytes, source: Address) -> None:
        """A datagram was received."""
        self.counts["received"] += 1
        self.counts["bytes received"] += len(data)
        message = self.wire.unpack(data)
        if message is not None and self._transport is not None:
            self.carry_out(lambda: self.on_message(message, source))

    def carry_out(self, call: Callable[[], Iterable[Action]]) -> None:
        """Carry out what a call to the core wants done; a fault is logged."""
        try:
            for action in call():
                match action:
                    case Send(to, body):
                        self.send(to, body)
                    case StatusEvent():
                        self.on_notice(action)
        except Exception:
            log.exception("configuration: fault in %s", self.name)

    def send(self, to: Address, body: MessageBody) -> None:
        """Send one datagram, where the socket is open."""
        if self._transport is None:
            return
        data = self.wire.pack(Message(self.wire.fleet, self._replica, self._incarnation, body))
        self.counts["sent"] += 1
        self.counts["bytes sent"] += len(data)
        self._transport.sendto(data, to)

    def record(self, kind: str, details: dict[str, object]) -> None:
        """Write a line to the record, if one is kept."""
        if self._recorder is not None:
            self._recorder.write(kind, details)

    def schedule_tick(self, due_ns: int) -> None:
        """Call `tick` at `due_ns` of the core's clock, in place of any time that was scheduled before."""
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, (due_ns - self.now()) / SECOND), self.tick)

    def tick(self) -> None:
        """Call the core and schedule the next tick."""
        raise NotImplementedError

    def on_message(self, message: Message, source: Address) -> Iterable[Action]:
        """Hand a message to the core; returns what it wants done."""
        raise NotImplementedError

    def on_notice(self, event: StatusEvent) -> None:
        """Log and record an event of the core."""
        raise NotImplementedError


class ReplicaHost(Endpoint):
    """A replica on a socket."""

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
        """`current_epoch`: the epoch that this replica is elected for at this instant, queried before each
        call to the core; `on_superseded`: called with a newer epoch than the elected one, once that is
        known."""
        name = f"replica {settings.number}"
        super().__init__(name, settings.number, settings.incarnation, listen, wire, now, record)
        self.core = Replica(settings, now(), seed)
        self._current_epoch = current_epoch
        self._on_superseded = on_superseded

    def tick(self) -> None:
        """Call the core and schedule the next tick."""
        now = self.now()
        self.carry_out(lambda: self.core.set_leadership(now, self._current_epoch()))
        self.carry_out(lambda: self.core.tick(self.now()))
        self.schedule_tick(now + TICK_NS)

    def on_message(self, message: Message, source: Address) -> Iterable[Action]:
        """Hand a message to the core; returns what it wants done."""
        now = self.now()
        actions = self.core.set_leadership(now, self._current_epoch())
        return actions + self.core.on_message(now, message.replica, message.incarnation, message.body, source)

    def on_notice(self, event: StatusEvent) -> None:
        """Log and record an event of the core."""
        self.record(event.kind, event.details)
        if (text := LOG_TEXTS.get(event.kind)) is not None:
            details = ", ".join(f"{key} {value}" for key, value in event.details.items())
            log.info("configuration: %s %s %s", self.name, text, details)
        if event.kind == "outdone":
            self._on_superseded(event.details["by"])  # type: ignore[arg-type]


class SubscriberHost(Endpoint):
    """A gateway's subscription on a socket."""

    def __init__(
        self,
        name: str,
        settings: SubscriberSettings,
        listen: Address,
        wire: Wire,
        seed: int,
        incarnation: int,
        now: Callable[[], int],
        changed: Callable[[], None] = lambda: None,
        record: Path | None = None,
    ) -> None:
        """`changed`: called after other values have come into force."""
        super().__init__(name, -1, incarnation, listen, wire, now, record)
        self.core = Subscriber(settings, now(), seed)
        self._on_change = changed
        self._scheduled_ns = -1

    def change_services(self, services: frozenset[str]) -> None:
        """Subscribe to other services from now on."""
        self.core.change_services(self.now(), services)
        self._reschedule()

    def tick(self) -> None:
        """Call the core and schedule the next tick."""
        self.carry_out(lambda: self.core.tick(self.now()))
        self._reschedule(True)

    def _reschedule(self, always: bool = False) -> None:
        if always or self.core.due_ns != self._scheduled_ns:
            self._scheduled_ns = self.core.due_ns
            self.schedule_tick(self._scheduled_ns)

    def on_message(self, message: Message, source: Address) -> Iterable[Action]:
        """Hand a message to the core; returns what it wants done."""
        actions = self.core.on_message(self.now(), message.body, source)
        self._reschedule()
        return actions

    def on_notice(self, event: StatusEvent) -> None:
        """Log and record an event of the core."""
        if self._recorder is not None:
            self.record(event.kind, event.details | {"values": fingerprint(self.core.snapshot)})
        self._on_change()
