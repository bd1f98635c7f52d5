"""Carries out the new process's side of a handover at its gateway.

This module may depend on the gateway, the steps (`handover/states.py`) and the link. It makes no decisions;
the steps do.
"""

from __future__ import annotations

import asyncio
import logging
import os

from ..handover import wire
from ..handover.link import HandoverSocket
from ..handover.states import Action, Event, SuccessorStep, SuccessorSteps
from ..handover.wire import ClientInput, Kind, Reassembly, WireError
from .handover_side import HandoverSide, ServingGateway
from .handover_state import StateImporter

log = logging.getLogger(__name__)


class Successor(HandoverSide):
    """Runs the new process's side until the old process has ended."""

    def __init__(self, gateway: ServingGateway, handover_socket: HandoverSocket) -> None:
        super().__init__(gateway)
        self._handover_socket = handover_socket
        self._steps = SuccessorSteps()
        self._reassembly = Reassembly()
        self._client_input = ClientInput()
        self._state = b""  # the complete state, from its arrival until it is restored
        self._importer = StateImporter(gateway)
        self._decided = asyncio.Event()
        self._adoptions: set[asyncio.Task[None]] = set()  # adoptions of clients' connections in progress
        self.peer_descriptor: int | None = None  # descriptor of the peers' socket, if handed over
        self.took_over = False

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of the packets to be sent, and of what has arrived incomplete."""
        arrived_bytes = len(self._state) + self._reassembly.size_bytes + self._client_input.size_bytes
        return super().buffered_bytes + arrived_bytes

    def connect(self) -> None:
        """Connects to the old process, if there is one; also called again after a lost connection."""
        self._reassembly = Reassembly()
        connection = self._handover_socket.connect()
        if connection is not None:
            self._open_link(connection)
        self._execute_all(self._steps.found(connection is not None))

    async def decided(self) -> None:
        """Reports that this process can serve, and returns once it has to, after a handover or cold."""
        self._handle(Event.READY)
        await self._decided.wait()

    def _handle(self, event: Event) -> None:
        if self._steps.step is not SuccessorStep.SERVING:
            self._execute_all(self._steps.handle(event))
        elif event is Event.INVALID_MESSAGE:
            self._client_input.invalidate()
        elif event is Event.CONNECTION_LOST:
            log.info("handover: the old process has ended")
            self._close_link()
            self._importer.predecessor_ended()

    def _execute(self, action: Action) -> None:
        match action:
            case Action.SEND_HELLO:
                self._send_hello()
            case Action.REQUEST_STATE:
                self._send(Kind.STATE_REQUEST, wire.encode(wire.MAX_CLIENT_INPUT_BYTES))
            case Action.TAKE_OVER:
                self._take_over()
            case Action.DISCONNECT:
                self._close_link()
            case Action.RECONNECT:
                self.connect()
            case Action.START_COLD:
                log.info("handover: no state was handed over, starting cold")
                self._decided.set()

    def _take_over(self) -> None:
        try:
            self._importer.restore(self._state)
        except ValueError as error:  # also `WireError`
            log.error("handover: the state cannot be restored: %s", error)
            self._handle(Event.CONNECTION_LOST)
            return
        self._state = b""
        self._reassembly = Reassembly()
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
                self._adopt_client(descriptor, self._client_input.complete(packet.body))
                descriptor = None
            case Kind.CLIENT_INPUT:
                self._client_input.add(packet.body)
            case Kind.PROGRESS:
                self._importer.apply_progress(packet.body)
            case _:
                raise WireError(f"{packet.kind.name} is not a valid packet for the new process at this step")
        if descriptor is not None:
            os.close(descriptor)

    def _adopt_client(self, descriptor: int, inherited_input: list[bytes]) -> None:
        """Adopts a client's connection with the input that the old process had read and not processed."""
        task = self._loop.create_task(self._gateway.clients.adopt(descriptor, inherited_input))
        self._adoptions.add(task)
        task.add_done_callback(self._adoptions.discard)
