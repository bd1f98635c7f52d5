"""Pools the connections to one backend.

It knows connections, attempts and time. It knows neither other pools nor the backend's protocol.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import cast

from ..config.addresses import Address
from ..lag import LagTolerantTimer
from .attempt import Attempt
from .connection import REUSE_DELAY_S, BackendConnection
from .pool_context import PoolContext


class ConnectionPool:
    """Holds the connections to one backend, and reuses idle ones."""

    def __init__(
        self, context: PoolContext, address: Address, incarnation: int, has_capacity: Callable[[], bool]
    ) -> None:
        """Creates an empty pool.

        `incarnation` identifies the backend's process. `has_capacity` tells whether one more connection may
        be opened.
        """
        self.context = context
        self.address = address
        self.incarnation = incarnation
        self._has_capacity = has_capacity
        self.idle: list[BackendConnection] = []  # the longest idle first
        self.connections: set[BackendConnection] = set()
        self.closes_at_s: float | None = None  # end of the grace time once the backend is draining

    @property
    def is_closing(self) -> bool:
        """Returns whether the backend is draining or removed and gets no new attempts."""
        return self.closes_at_s is not None

    def start(self, attempt: Attempt, now_ns: int) -> None:
        """Writes the attempt to an idle connection, or opens one for it."""
        connection = self._take_idle()
        if connection is not None:
            connection.write(attempt, now_ns)
        elif self._has_capacity():
            self._open(attempt)
        else:
            # Without a descriptor no connection is established, so the attempt never ran.
            self.context.loop.call_soon(self.context.attempts.fail_unsent, attempt)

    def _take_idle(self) -> BackendConnection | None:
        """Returns the last used connection that has been idle for at least `REUSE_DELAY_S`, or None.

        Closes those that it meets and that are too old or not reusable.
        """
        now_s = self.context.time()
        for position in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[position]
            idle_s = now_s - connection.idle_since_s
            if idle_s < REUSE_DELAY_S:
                continue
            if idle_s < self.context.idle_age.limit_s and connection.is_reusable():
                del self.idle[position]
                return connection
            connection.drop()
        return None

    def _open(self, attempt: Attempt) -> None:
        context = self.context
        connection = BackendConnection(self, self.incarnation, attempt)
        attempt.connection = connection
        self.connections.add(connection)
        context.open_connections += 1
        connection.timer = LagTolerantTimer(
            context.loop, context.connect_timeout_s, partial(self._connect_failed, connection)
        )
        connection.task = context.loop.create_task(self._connect(connection))

    async def _connect(self, connection: BackendConnection) -> None:
        try:
            await self.context.loop.create_connection(lambda: connection, *self.address)
        except OSError:
            self._connect_failed(connection)

    def _connect_failed(self, connection: BackendConnection) -> None:
        """Ends the attempt of a connection that was not established: it is known never to have run."""
        attempt = connection.attempt
        connection.drop()
        if attempt is not None:
            self.context.attempts.fail_unsent(attempt)

    def connected(self, connection: BackendConnection) -> None:
        """Writes the attempt that the connection was opened for, if it may still be written."""
        attempt = cast(Attempt, connection.attempt)
        connection.cancel_timer()
        if self.closes_at_s is not None and self.context.loop.time() >= self.closes_at_s:
            # Rule 3: the attempt was decided before the drain was notified, but its grace time is over.
            self._connect_failed(connection)
            return
        now_ns = self.context.clock()
        if attempt.not_after_ns and now_ns >= attempt.not_after_ns:
            # Rule 2: the attempt was decided within the window for retries, but the connection came too late.
            self.context.attempts.withdraw(attempt)
            return
        if attempt.call is not None and not self.context.attempts.observer.is_wanted(attempt):
            self.context.attempts.withdraw(attempt)
            return
        connection.write(attempt, now_ns)

    def release(self, connection: BackendConnection) -> None:
        """Keeps the connection for reuse; closes it if the backend is draining or its process restarted."""
        if self.is_closing or connection.incarnation != self.incarnation:
            connection.drop()
            return
        connection.idle_since_s = self.context.time()
        self.idle.append(connection)

    def lost(self, connection: BackendConnection) -> None:
        """Removes a closed connection."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.context.open_connections -= 1
            if connection in self.idle:
                self.idle.remove(connection)

    def begin_closing(self, grace_s: float) -> None:
        """Closes idle connections; those being opened are not written to after the grace time."""
        self.closes_at_s = self.closes_at_s or self.context.loop.time() + grace_s
        self.close_idle()

    def end_grace(self) -> None:
        """Writes nothing more to connections that are being opened, as another backend has the address."""
        self.closes_at_s = self.context.loop.time()

    def has_closed(self) -> bool:
        """Returns whether the grace time is over and no connection is left."""
        if self.closes_at_s is None or self.connections:
            return False
        return self.context.loop.time() > self.closes_at_s

    def restart(self, incarnation: int) -> None:
        """Handles a restart of the backend's process: connections to the former one are not reused."""
        self.incarnation = incarnation
        self.close_idle()

    def retire(self, idle_before_s: float) -> None:
        """Closes connections that have been idle since that time or longer."""
        while self.idle and self.idle[0].idle_since_s <= idle_before_s:
            self.idle[0].drop()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in self.idle[:]:
            connection.drop()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self.connections):
            connection.drop()
