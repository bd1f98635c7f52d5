"""Implements what both sides of a handover share: one link, one timer, and actions carried out in order.

This module may depend on the gateway and the link. It makes no decisions; the steps (`handover/states.py`)
do.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from typing import Protocol

from ..fair_scheduler import FairScheduler
from ..fronts.connections import ClientConnections, PassOn
from ..handover import wire
from ..handover.link import Link
from ..handover.states import Action, Actions, Event
from ..handover.wire import Kind, WireError
from .handover_state import HandoverGateway, StateExporter

log = logging.getLogger(__name__)


class ServingGateway(HandoverGateway, Protocol):
    """Describes a gateway that can stop serving in favor of another process, and resume."""

    clients: ClientConnections
    input_scheduler: FairScheduler

    def stop_serving(self) -> int | None:
        """Stops accepting; returns a descriptor of the peers' socket for the other process, or None."""

    def share_memory(self, processes: int) -> None:
        """Shares the gateway's memory limit equally among this many processes."""

    def retire(self, exporter: StateExporter) -> None:
        """Stops granting, and from now on notifies the other process about what is still in flight."""

    def pass_on(self, pass_on: PassOn, max_input_bytes: int) -> None:
        """Passes the clients' connections to the other process, with at most `max_input_bytes` of input."""

    def is_drained(self) -> bool:
        """Returns whether no request is open here and no client is connected."""

    async def resume_serving(self) -> None:
        """Serves again after the other process ended, or failed to take over."""


class HandoverSide:
    """Holds the link and the timer of one side, reads packets, and carries out actions in order."""

    def __init__(self, gateway: ServingGateway) -> None:
        self._gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._link: Link | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of the packets that wait to be sent to the other process."""
        return self._link.unsent_bytes if self._link is not None else 0

    def _handle(self, event: Event) -> None:
        raise NotImplementedError

    def _execute(self, action: Action) -> None:
        raise NotImplementedError

    def _packet_received(self, packet: wire.Packet, descriptor: int | None) -> None:
        """Handles one packet and owns its descriptor. Raises `WireError`."""
        raise NotImplementedError

    def _execute_all(self, actions: Actions) -> None:
        for action, wait_s in actions:
            self._start_timer(wait_s)
            self._execute(action)

    def _open_link(self, link_socket: socket.socket) -> None:
        self._gateway.share_memory(processes=2)
        self._link = Link(
            link_socket,
            self._received,
            lambda: self._handle(Event.CONNECTION_LOST),
            self._gateway.input_scheduler,
        )

    def _received(self, data: bytes, descriptor: int | None) -> None:
        try:
            self._packet_received(wire.unpack(data), descriptor)
        except WireError as error:
            log.warning("handover: packet rejected: %s", error)
            if descriptor is not None:
                os.close(descriptor)
            self._handle(Event.INVALID_MESSAGE)

    def _start_timer(self, wait_s: float) -> None:
        """Stops the timer, and starts it again unless `wait_s` is 0."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wait_s:
            self._timer = self._loop.call_later(wait_s, self._handle, Event.TIMED_OUT)

    def _send(self, kind: Kind, body: bytes = b"", descriptor: int | None = None) -> bool:
        """Sends a packet and owns the descriptor; returns False if there is no connection."""
        if self._link is None:
            if descriptor is not None:
                os.close(descriptor)
            return False
        return self._link.send(wire.pack(kind, body), descriptor)

    def _send_hello(self) -> None:
        self._send(Kind.HELLO, self._gateway.config.name.encode())

    def _close_link(self) -> None:
        link = self._link
        self._link = None
        if link is not None:
            self._gateway.share_memory(processes=1)
            link.close()
