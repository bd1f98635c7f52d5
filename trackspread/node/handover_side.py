"""What both sides of a handover have in common at a gateway: one link, one timer, actions in order.

May know: the gateway, the link. Decides nothing: the steps (`handover/states.py`) do.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from typing import Protocol

from ..fronts.connections import ClientConnections, PassOn
from ..handover import wire
from ..handover.link import Link
from ..handover.states import Action, Actions, Event
from ..handover.wire import Kind, WireError
from .handover_state import HandoverGateway, StateExporter

log = logging.getLogger(__name__)


class Serving(HandoverGateway, Protocol):
    """A process that can stop serving for another, and resume; a gateway is one."""

    clients: ClientConnections

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


class HandoverSide:
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
