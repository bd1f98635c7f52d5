"""Simulates one request of one client, from the time when it is written until its reply or its end."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from ..judge.ledger import ClientDisconnected, ConnectionLost, Ledger, ReplyReceived
from ..standins.client_population import ClientRequest
from .clock import Clock
from .host import Host, IncomingRequest, ReplyKind


class ExchangeWorld(Protocol):
    """Defines what an exchange needs of its world."""

    clock: Clock
    ledger: Ledger

    def draw_delay_ns(self) -> int:
        """Returns a random one-way delay in ns."""

    def class_and_plan(self, wanted: ClientRequest) -> tuple[int, int]:
        """Returns the indexes of a request's class and plan in the settings."""

    def close_exchange(self, gateway: int, request: str) -> None:
        """Forgets a request at the gateway of this position, which is no longer outstanding."""

    def schedule_retry(self, wanted: ClientRequest, kind: str, retry_after_ms: int) -> None:
        """Schedules the client's retry, if it makes one, after a reply of this kind or a `cut`."""


class Exchange:
    """Holds one request of one client at one process of a gateway.

    `is_over` says that the client no longer waits, `is_disconnected` that it no longer reads a reply.
    """

    def __init__(self, world: ExchangeWorld, wanted: ClientRequest, request: str, host: Host) -> None:
        self._world = world
        self._wanted = wanted
        self._request = request
        self._host = host
        self._number = 0  # in the host, once it has accepted the request
        self.is_over = False
        self.is_disconnected = False

    def deliver(self) -> None:
        """Delivers the request to its gateway."""
        if self.is_over or not self._host.alive:
            return
        wanted, tenant = self._wanted, self._wanted.tenant
        request_class, plan = self._world.class_and_plan(wanted)
        incoming = IncomingRequest(
            self._request,
            request_class,
            plan,
            tenant.number,
            wanted.timeout_ns,
            wanted.units,
            tenant.gateway_count,
            tenant.first_gateway,
        )
        self._number = self._host.accept(incoming, self._on_reply)

    def _on_reply(self, kind: ReplyKind, value: str, retry_after_ms: int) -> None:
        """Delivers a reply of the host after a delay, even if the host is killed meanwhile."""
        wait_ns = self._world.draw_delay_ns()
        self._world.clock.after(wait_ns, partial(self._read_reply, kind, value, retry_after_ms))

    def _read_reply(self, kind: ReplyKind, value: str, retry_after_ms: int) -> None:
        if self.is_disconnected:
            return
        now = self._world.clock.now
        self._world.ledger.write(ReplyReceived(now, self._request, kind, value, retry_after_ms))
        if not self.is_over:
            self._end()
            if kind != "served":
                self._world.schedule_retry(self._wanted, kind, retry_after_ms)

    def lose_connection(self) -> None:
        """Ends the connection because the gateway was killed."""
        if not self.is_over:
            self._end()
            self.is_disconnected = True
            self._world.ledger.write(ConnectionLost(self._world.clock.now, self._request))
            self._world.schedule_retry(self._wanted, "cut", 0)

    def disconnect(self) -> None:
        """Closes the client's connection if it still waits."""
        if not self.is_over:
            self._end()
            self.is_disconnected = True
            self._world.ledger.write(ClientDisconnected(self._world.clock.now, self._request))
            if self._number:
                self._host.disconnect_client(self._number)

    def _end(self) -> None:
        self.is_over = True
        self._world.close_exchange(self._wanted.gateway, self._request)
