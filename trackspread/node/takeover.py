"""The gateway's side of a handover: connections to the other process, timers, and what each step does here.

May know: the gateway, the steps (`handover/states.py`), the link. Decides nothing: the steps do.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from typing import Protocol

from ..fronts.connections import Clients, PassOn
from ..handover import wire
from ..handover.link import Link, Rendezvous
from ..handover.states import (
    Action,
    Actions,
    Event,
    PredecessorStep,
    PredecessorSteps,
    SuccessorStep,
    SuccessorSteps,
)
from ..handover.wire import Kind, Reassembly, WireError
from .handover_state import RequestTable, StateExporter, StateImporter

log = logging.getLogger(__name__)

VACANT_POLL_S = 0.02  # between checks whether all requests that the old process accepted are over


class Serving(RequestTable, Protocol):
    """A process that can stop serving for another, and resume; a gateway is one."""

    clients: Clients

    def freeze(self) -> int | None:
        """Accept nothing more; returns a descriptor of the peers' socket, for the other process."""

    def retire(self, exporter: StateExporter) -> None:
        """Grant nothing more, and notify the other process of what is still in flight."""

    def pass_on(self, pass_on: PassOn) -> None:
        """Give the clients' connections to the other process."""

    def is_vacant(self) -> bool:
        """Whether no request is open here and no client connected."""

    async def unfreeze(self) -> None:
        """Serve on: the other process is gone, or never came to serve."""


class _Side:
    """What both sides have: one link, one timer, packets read, actions carried out in order."""

    def __init__(self, gateway: Serving) -> None:
        self._gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._link: Link | None = None
        self._timer: asyncio.TimerHandle | None = None

    def _handle(self, event: Event) -> None:
        raise NotImplementedError

    def _execute(self, action: Action) -> None:
        raise NotImplementedError

    def _packet_received(self, packet: wire.Packet, descriptor: int | None) -> None:
        """Owns the descriptor. Raises `WireError`."""
        raise NotImplementedError

    def _execute_all(self, actions: Actions) -> None:
        for action, wait_s in actions:
            self._start_timer(wait_s)
            self._execute(action)

    def _connect(self, link_socket: socket.socket) -> None:
        self._link = Link(link_socket, self._received, lambda: self._handle(Event.CONNECTION_LOST))

    def _received(self, data: bytes, descriptor: int | None) -> None:
        try:
            self._packet_received(wire.unpack(data), descriptor)
        except WireError as error:
            log.warning("handover: packet rejected: %s", error)
            if descriptor is not None:
                os.close(descriptor)
            self._handle(Event.INVALID_MESSAGE)

    def _start_timer(self, wait_s: float) -> None:
        """Stop the timer, and start it anew unless `wait_s` is 0."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wait_s:
            self._timer = self._loop.call_later(wait_s, self._handle, Event.TIMED_OUT)

    def _send(self, kind: Kind, body: bytes = b"", descriptor: int | None = None) -> bool:
        """Send a packet; False where there is no connection. Owns the descriptor."""
        if self._link is None:
            if descriptor is not None:
                os.close(descriptor)
            return False
        return self._link.send(wire.pack(kind, body), descriptor)

    def _send_hello(self) -> None:
        self._send(Kind.HELLO, self._gateway.config.name.encode())

    def _disconnect(self) -> None:
        link = self._link
        self._link = None
        if link is not None:
            link.close()


class Successor(_Side):
    """The new process, until the old one is gone."""

    def __init__(self, gateway: Serving, rendezvous: Rendezvous) -> None:
        super().__init__(gateway)
        self._rendezvous = rendezvous
        self._steps = SuccessorSteps()
        self._reassembly = Reassembly()
        self._state = b""  # complete, until it is restored
        self._importer = StateImporter(gateway)
        self._decided = asyncio.Event()
        self._adoptions: set[asyncio.Task[None]] = set()  # of clients' connections, while they are under way
        self.peer_descriptor: int | None = None  # of the socket for peers, where one was handed over
        self.took_over = False

    def seek(self) -> None:
        """Look for an old process, once more after one that was lost."""
        self._reassembly = Reassembly()
        found = self._rendezvous.seek()
        if found is not None:
            self._connect(found)
        self._execute_all(self._steps.found(found is not None))

    async def decided(self) -> None:
        """This process could serve now; returns once it is to, after a handover or cold."""
        self._handle(Event.READY)
        await self._decided.wait()

    def _handle(self, event: Event) -> None:
        if self._steps.step is not SuccessorStep.SERVING:
            self._execute_all(self._steps.handle(event))
        elif event is Event.CONNECTION_LOST:
            log.info("handover: the old process is gone")
            self._disconnect()
            self._importer.predecessor_gone()

    def _execute(self, action: Action) -> None:
        match action:
            case Action.SEND_HELLO:
                self._send_hello()
            case Action.REQUEST_STATE:
                self._send(Kind.STATE_REQUEST)
            case Action.TAKE_OVER:
                self._take_over()
            case Action.DISCONNECT:
                self._disconnect()
            case Action.RECONNECT:
                self.seek()
            case Action.START_COLD:
                log.info("handover: no state was handed over, starting cold")
                self._decided.set()

    def _take_over(self) -> None:
        try:
            self._importer.restore(self._state)
        except ValueError as error:  # `WireError` among them
            log.error("handover: the state cannot be restored: %s", error)
            self._handle(Event.CONNECTION_LOST)
            return
        self._state = b""
        self.took_over = self._send(Kind.TAKEN)
        self._execute_all(self._steps.taken_over(self.took_over))
        if self.took_over:
            self._decided.set()

    def _packet_received(self, packet: wire.Packet, descriptor: int | None) -> None:
        match packet.kind:
            case Kind.HELLO:
                self._handle(Event.HELLO_RECEIVED)
            case Kind.STATE_PIECE:
                self._reassembly.add(packet.body)
            case Kind.STATE_END:
                self._state = self._reassembly.complete(packet.body)
                self.peer_descriptor = descriptor
                descriptor = None
                self._handle(Event.STATE_RECEIVED)
            case Kind.CLIENT if descriptor is not None:
                self._adopt_client(descriptor, packet.body)
                descriptor = None
            case Kind.PROGRESS:
                self._importer.progressed(packet.body)
            case _:
                raise WireError(f"{packet.kind.name} out of turn")
        if descriptor is not None:
            os.close(descriptor)

    def _adopt_client(self, descriptor: int, rest: bytes) -> None:
        """`rest`: what the old process had read, and is no complete command. Raises `WireError`."""
        if len(rest) > wire.MAX_CLIENT_REST_BYTES:
            raise WireError(f"a client's connection with {len(rest)} bytes that were read")
        task = self._loop.create_task(self._gateway.clients.adopt(descriptor, rest))
        self._adoptions.add(task)
        task.add_done_callback(self._adoptions.discard)


class Predecessor(_Side):
    """The process that serves, towards any that comes to take over."""

    def __init__(self, gateway: Serving, rendezvous: Rendezvous, vacated: Callable[[], None]) -> None:
        """`vacated` is called once another process serves and no request is open here."""
        super().__init__(gateway)
        self._rendezvous = rendezvous
        self._vacated = vacated
        self._steps = PredecessorSteps()
        self._exporter = StateExporter(gateway, self._send_packet)
        self._vacant_poll: asyncio.TimerHandle | None = None
        self._resuming: asyncio.Task[None] | None = None

    def listen(self) -> None:
        """Let newer processes connect; where that is not possible, serve on without them."""
        try:
            self._rendezvous.listen(self._accept)
        except OSError as error:
            log.error("handover: no newer process can take over: %s", error)

    @property
    def has_handed_over(self) -> bool:
        """Whether a newer process serves."""
        return self._steps.step is PredecessorStep.HANDED_OVER

    def _accept(self) -> None:
        """Take one new process at a time: the others wait in the socket's backlog."""
        if self._link is None and (accepted := self._rendezvous.accept()) is not None:
            self._connect(accepted)

    def _send_packet(self, packet: bytes) -> None:
        if self._link is not None:
            self._link.send(packet)

    def _packet_received(self, packet: wire.Packet, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)
        match packet.kind:
            case Kind.HELLO:
                self._handle(Event.HELLO_RECEIVED)
            case Kind.STATE_REQUEST:
                self._handle(Event.STATE_REQUESTED)
            case Kind.TAKEN:
                self._handle(Event.TAKEN_OVER)
            case _:
                raise WireError(f"{packet.kind.name} out of turn")

    def _is_sending(self) -> bool:
        return self._steps.step is PredecessorStep.SENDING

    def _handle(self, event: Event) -> None:
        if event is Event.TIMED_OUT and self._is_sending() and self._link is not None:
            # A TAKEN that is written from here on fails; one that was written before is read first.
            self._link.end_reading()
            if not self._is_sending():
                return
        self._execute_all(self._steps.handle(event))

    def _execute(self, action: Action) -> None:
        match action:
            case Action.SEND_HELLO:
                log.info("handover: a newer process has connected")
                self._send_hello()
            case Action.SEND_STATE:
                self._send_state()
            case Action.PASS_CLIENTS:
                log.info("handover: the newer process serves")
                self._gateway.pass_on(lambda descriptor, rest: self._send(Kind.CLIENT, rest, descriptor))
                self._poll_vacant()
            case Action.RESUME:
                log.warning("handover: the newer process did not take over, this one serves on")
                self._resume()
            case Action.DISCONNECT:
                self._disconnect()
                self._loop.call_soon(self._accept)

    def _send_state(self) -> None:
        descriptor = self._gateway.freeze()
        state = self._exporter.export()
        for packet in wire.state_packets(state):
            self._send_packet(packet)
        if self._link is not None:
            self._link.send(wire.state_end_packet(state), descriptor)
        self._gateway.retire(self._exporter)

    def _resume(self) -> None:
        self._cancel_poll()
        self._resuming = self._loop.create_task(self._gateway.unfreeze())

    def _poll_vacant(self) -> None:
        if self._gateway.is_vacant():
            log.info("handover: no request is open here any more")
            self._vacated()
            return
        self._vacant_poll = self._loop.call_later(VACANT_POLL_S, self._poll_vacant)

    def _cancel_poll(self) -> None:
        if self._vacant_poll is not None:
            self._vacant_poll.cancel()
            self._vacant_poll = None

    def close(self) -> None:
        """End the connection and the listening for newer processes."""
        self._cancel_poll()
        self._start_timer(0.0)
        self._disconnect()
        self._rendezvous.close()
