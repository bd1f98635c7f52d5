"""Carries out the old process's side of a handover at its gateway.

This module may depend on the gateway, the steps (`handover/states.py`) and the link. It makes no decisions;
the steps do.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable

from ..handover import wire
from ..handover.link import HandoverSocket
from ..handover.states import Action, Event, PredecessorStep, PredecessorSteps
from ..handover.wire import Kind, WireError
from .handover_side import HandoverSide, ServingGateway
from .handover_state import StateExporter

log = logging.getLogger(__name__)

DRAIN_POLL_INTERVAL_S = 0.02  # between checks whether the old process has no request and no client left


class Predecessor(HandoverSide):
    """Runs the serving process's side, towards any new process that connects to take over."""

    def __init__(
        self, gateway: ServingGateway, handover_socket: HandoverSocket, on_drained: Callable[[], None]
    ) -> None:
        """Creates the side; `on_drained` is called once a new process serves and no request is open here."""
        super().__init__(gateway)
        self._handover_socket = handover_socket
        self._on_drained = on_drained
        self._steps = PredecessorSteps()
        self._exporter = StateExporter(gateway, self._send_packet)
        self._max_client_input_bytes = wire.PIECE_BYTES  # of one connection that is passed on
        self._drain_poll: asyncio.TimerHandle | None = None
        self._resuming: asyncio.Task[None] | None = None

    def listen(self) -> None:
        """Lets newer processes connect; if that is not possible, logs it and serves without handovers."""
        try:
            self._handover_socket.listen(self._accept)
        except OSError as error:
            log.error("handover: no newer process can take over, as the socket cannot be opened: %s", error)

    @property
    def has_handed_over(self) -> bool:
        """Whether a newer process serves in place of this one."""
        return self._steps.step is PredecessorStep.HANDED_OVER

    def _accept(self) -> None:
        """Accepts one new process at a time; the others wait in the socket's backlog."""
        if self._link is None and (accepted := self._handover_socket.accept()) is not None:
            self._open_link(accepted)

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
                self._max_client_input_bytes = wire.max_client_input_bytes(packet.body)
                self._handle(Event.STATE_REQUESTED)
            case Kind.TAKEN:
                self._handle(Event.TAKEN_OVER)
            case _:
                raise WireError(f"{packet.kind.name} is not a valid packet for the old process")

    def _is_sending(self) -> bool:
        return self._steps.step is PredecessorStep.SENDING

    def _handle(self, event: Event) -> None:
        if event is Event.TIMED_OUT and self._is_sending() and self._link is not None:
            # From here on the new process cannot write TAKEN; a TAKEN that it wrote before is read first.
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
                self._gateway.pass_on(self._send_client, self._max_client_input_bytes)
                self._poll_drained()
            case Action.RESUME:
                log.warning("handover: the newer process did not take over, this process continues to serve")
                self._resume()
            case Action.DISCONNECT:
                self._close_link()
                self._loop.call_soon(self._accept)

    def _send_state(self) -> None:
        descriptor = self._gateway.stop_serving()
        state = self._exporter.export()
        for packet in wire.state_packets(state):
            self._send_packet(packet)
        if self._link is not None:
            self._link.send(wire.state_end_packet(state), descriptor)
        self._gateway.retire(self._exporter)

    def _send_client(self, descriptor: int, passed_input: list[bytes]) -> None:
        """Passes on a client's connection; its input goes ahead in as many packets as it needs."""
        *first, last = wire.client_input_pieces(passed_input)
        for piece in first:
            self._send(Kind.CLIENT_INPUT, piece)
        self._send(Kind.CLIENT, last, descriptor)

    def _resume(self) -> None:
        self._cancel_poll()
        self._resuming = self._loop.create_task(self._gateway.resume_serving())

    def _poll_drained(self) -> None:
        # Packets that wait hold descriptors of clients' connections, which would end with this process.
        if self._gateway.is_drained() and not self.buffered_bytes:
            log.info("handover: the last request and client connection of this process have ended")
            self._on_drained()
            return
        self._drain_poll = self._loop.call_later(DRAIN_POLL_INTERVAL_S, self._poll_drained)

    def _cancel_poll(self) -> None:
        if self._drain_poll is not None:
            self._drain_poll.cancel()
            self._drain_poll = None

    async def flush(self, end_s: float) -> None:
        """Waits until all packets are sent, the link has ended, or the loop's time is `end_s`."""
        while self.buffered_bytes and self._loop.time() < end_s:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def close(self) -> None:
        """Closes the connection and stops listening for newer processes."""
        self._cancel_poll()
        self._start_timer(0.0)
        self._close_link()
        self._handover_socket.close()
