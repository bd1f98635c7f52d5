"""The cores on sockets: datagrams at one address, timers, the log and the records.

Decides nothing. All that comes is bounded by the wire. A fault in the core's handling of one word must cost
that word alone. Hundreds of gateways may share a process: each is a socket and one timer.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path

from ..logs import Sparing
from ..membership.event_log import EventLog
from .log import fingerprint
from .replica import Replica
from .subscriber import Subscriber
from .terms import (
    SECOND,
    TICK,
    Action,
    Address,
    Bodies,
    Epoch,
    Message,
    StatusEvent,
    ReplicaSettings,
    Send,
    SubscriberSettings,
)
from .wire import Wire

log = logging.getLogger(__name__)
log.addFilter(Sparing())

NOTED = {"leads", "outdone", "whole", "forgot", "installed"}  # of a replica, for the log
RECEIVE = 1 << 20  # bytes of the socket's buffer that are asked for: a snapshot's pieces come in bursts


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, host: Endpoint) -> None:
        self._host = host

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._host.came(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A dead replica's port answers with an ICMP error; datagrams may be lost anyway."""


class Endpoint:
    """A socket for a core; `counts`: datagrams and bytes, sent and received."""

    def __init__(
        self,
        name: str,
        replica: int,
        born: int,
        listen: Address,
        wire: Wire,
        now: Callable[[], int],
        record: Path | None = None,
    ) -> None:
        """`replica`: the core's number, -1 for a gateway. Raises `OSError` where the record can't be
        written."""
        self.name, self.wire, self.now = name, wire, now
        self.counts: Counter[str] = Counter()
        self._replica, self._born, self._listen = replica, born, listen
        self._recorder = EventLog(record, name, born) if record is not None else None
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def address(self) -> Address:
        """Where it listens, once it has been opened."""
        if self._transport is None:
            return self._listen
        host, port = self._transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    async def start(self) -> None:
        """Raises `OSError` where the address can't be had."""
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.setblocking(False)
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
            made.bind(self._listen)
        except OSError:
            made.close()
            raise
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: _Datagrams(self), sock=made)
        self.tick()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._recorder is not None:
            self._recorder.close()
            self._recorder = None

    def came(self, data: bytes, source: Address) -> None:
        self.counts["received"] += 1
        self.counts["bytes received"] += len(data)
        message = self.wire.unpack(data)
        if message is not None and self._transport is not None:
            self.guarded(lambda: self.heard(message, source))

    def guarded(self, call: Callable[[], Iterable[Action]]) -> None:
        """What the core wants done."""
        try:
            for action in call():
                match action:
                    case Send(to, body):
                        self.send(to, body)
                    case StatusEvent():
                        self.notice(action)
        except Exception:
            log.exception("fault in handing configuration down")

    def send(self, to: Address, body: Bodies) -> None:
        if self._transport is None:
            return
        data = self.wire.pack(Message(self.wire.fleet, self._replica, self._born, body))
        self.counts["sent"] += 1
        self.counts["bytes sent"] += len(data)
        self._transport.sendto(data, to)

    def record(self, kind: str, about: dict[str, object]) -> None:
        if self._recorder is not None:
            self._recorder.write(kind, about)

    def call_at(self, due: int) -> None:
        """`tick` is called then, ns of the core's clock, and not at any moment that was named before."""
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, (due - self.now()) / SECOND), self.tick)

    def tick(self) -> None:
        raise NotImplementedError

    def heard(self, message: Message, source: Address) -> Iterable[Action]:
        raise NotImplementedError

    def notice(self, noticed: StatusEvent) -> None:
        raise NotImplementedError


class ReplicaHost(Endpoint):
    """One replica that runs."""

    def __init__(
        self,
        settings: ReplicaSettings,
        listen: Address,
        wire: Wire,
        seed: int,
        now: Callable[[], int],
        leads: Callable[[], Epoch | None],
        outdone: Callable[[Epoch], None] = lambda epoch: None,
        record: Path | None = None,
    ) -> None:
        """`leads`: the lease election's word at this instant, asked before each thing that is done;
        `outdone`: a newer epoch is known than the one that the election named."""
        name, number = f"replica {settings.number}", settings.number
        super().__init__(name, number, settings.born, listen, wire, now, record)
        self.core = Replica(settings, now(), seed)
        self._leads, self._outdone = leads, outdone

    def tick(self) -> None:
        now = self.now()
        self.guarded(lambda: self.core.lead(now, self._leads()))
        self.guarded(lambda: self.core.tick(self.now()))
        self.call_at(now + TICK)

    def heard(self, message: Message, source: Address) -> Iterable[Action]:
        now = self.now()
        made = self.core.lead(now, self._leads())
        return made + self.core.received(now, message.replica, message.born, message.body, source)

    def notice(self, noticed: StatusEvent) -> None:
        self.record(noticed.kind, noticed.details)
        if noticed.kind in NOTED:
            about = ", ".join(f"{key} {value}" for key, value in noticed.details.items())
            log.info("configuration: %s: %s %s", self.name, noticed.kind, about)
        if noticed.kind == "outdone":
            self._outdone(noticed.details["by"])  # type: ignore[arg-type]


class SubscriberHost(Endpoint):
    """One gateway's subscription that runs."""

    def __init__(
        self,
        name: str,
        settings: SubscriberSettings,
        listen: Address,
        wire: Wire,
        seed: int,
        born: int,
        now: Callable[[], int],
        changed: Callable[[], None] = lambda: None,
        record: Path | None = None,
    ) -> None:
        """`changed` is called after other values are in force."""
        super().__init__(name, -1, born, listen, wire, now, record)
        self.core = Subscriber(settings, now(), seed)
        self._changed, self._due = changed, -1

    def subscribe(self, services: frozenset[str]) -> None:
        """Other services from now on."""
        self.core.subscribe(self.now(), services)
        self._again()

    def tick(self) -> None:
        self.guarded(lambda: self.core.tick(self.now()))
        self._again(True)

    def _again(self, ticked: bool = False) -> None:
        if ticked or self.core.due != self._due:
            self._due = self.core.due
            self.call_at(self._due)

    def heard(self, message: Message, source: Address) -> Iterable[Action]:
        made = self.core.received(self.now(), message.body, source)
        self._again()
        return made

    def notice(self, noticed: StatusEvent) -> None:
        if self._recorder is not None:
            self.record(noticed.kind, noticed.details | {"values": fingerprint(self.core.snapshot)})
        self._changed()
