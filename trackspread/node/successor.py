"""The new process's side of a handover: what each step does at its gateway.

May know: the gateway, the steps (`handover/states.py`), the link. Decides nothing: the steps do.
"""

from __future__ import annotations

import asyncio
import logging
import os

from ..handover import wire
from ..handover.link import Rendezvous
from ..handover.states import Action, Event, SuccessorStep, SuccessorSteps
from ..handover.wire import Kind, Reassembly, WireError
from .handover_side import HandoverSide, Serving
from .handover_state import StateImporter

log = logging.getLogger(__name__)


class Successor(HandoverSide):
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
