"""The old process's side of a handover: what each step does at its gateway.

May know: the gateway, the steps (`handover/states.py`), the link. Decides nothing: the steps do.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable

from ..handover import wire
from ..handover.link import Rendezvous
from ..handover.states import Action, Event, PredecessorStep, PredecessorSteps
from ..handover.wire import Kind, WireError
from .handover_side import HandoverSide, Serving
from .handover_state import StateExporter

log = logging.getLogger(__name__)

VACANT_POLL_S = 0.02  # between checks whether all requests that the old process accepted are over


class Predecessor(HandoverSide):
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
