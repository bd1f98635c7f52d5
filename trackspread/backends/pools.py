"""Holds the connection pools of all backends, with one limit on their connections.

It knows addresses, time and descriptors. It does not know the protocol that backends speak
(`adapter.Adapter`). Which backend gets a request, how often and with which timeout is the decision module's
choice.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain

from ..config.addresses import Address
from ..lag import LagTolerantTimer
from ..logs import RateLimitFilter
from ..memory.account import MemoryAccount
from .adapter import Adapter
from .attempt import Attempt, AttemptEndings, AttemptObserver
from .connection_pool import ConnectionPool
from .idle_age import IdleAgeLimit
from .pool_context import PoolContext
from .read_budget import ReadBudget

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

# The receive buffer that is set for one connection. The kernel keeps, and so delivers at once, at most twice
# that. Below the minimum, small pieces arrive slowly, as the kernel counts an overhead for each of them.
MAX_RECEIVE_BUFFER_BYTES = 64 << 10
MIN_RECEIVE_BUFFER_BYTES = 32 << 10
RECEIVE_BUFFER_FRACTION = 0.25  # of the memory, for the receive buffers of all connections
RETIRE_FRACTION = 0.5  # of the idle limit, after which a connection is closed, well before its backend does
SWEEP_INTERVAL_S = 1.0  # between checks for idle connections to retire


class ConnectionPools:
    """Holds all pools and limits their connections together, so that descriptors never run out."""

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        idle_limit_s: float,
        grace_s: float,
        clock: Callable[[], int],
        adapter: Adapter,
        observer: AttemptObserver,
        account: MemoryAccount,
    ) -> None:
        """Creates the pools; `clock` is the gateway's, in ns, `account` sums up what the process keeps."""
        self._loop = asyncio.get_running_loop()
        buffer_bytes = int(account.capacity_bytes * RECEIVE_BUFFER_FRACTION / max_connections)
        self.context = PoolContext(
            self._loop,
            self._loop.time,
            clock,
            adapter,
            AttemptEndings(observer),
            IdleAgeLimit(idle_limit_s * RETIRE_FRACTION),
            connect_timeout_s,
            max(MIN_RECEIVE_BUFFER_BYTES, min(MAX_RECEIVE_BUFFER_BYTES, buffer_bytes)),
            max_connections,
            account,
            ReadBudget(self._loop.call_soon),
        )
        self._grace_s = grace_s
        self._pools: dict[int, ConnectionPool] = {}
        self._closing: list[ConnectionPool] = []  # of backends that are draining, removed or at a new address
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def update_backend(
        self, backend: int, address: Address | None, is_old: bool = False, incarnation: int = 0
    ) -> None:
        """Sets a backend's address, or None once it is draining or removed and gets no new attempts.

        `is_old` means that others may have been notified long ago: the grace time may be over, so connections
        that are being opened are not written to. `incarnation` is when the backend's process started, in any
        unit. A new process has none of the former connections: a request written to one would end as a
        reset, as if it might have run.
        """
        grace_s = 0.0 if is_old else self._grace_s
        pool = self._pools.get(backend)
        if address is None:
            if pool is not None and not pool.is_closing:
                self._begin_closing(pool, grace_s)
        elif pool is None or pool.address != address or pool.is_closing:
            if pool is not None:
                self._replace(pool, address, grace_s)
            self._end_grace_of_former_backends(address)
            self._pools[backend] = ConnectionPool(self.context, address, incarnation, self._has_capacity)
        elif pool.incarnation != incarnation:
            pool.restart(incarnation)

    def _end_grace_of_former_backends(self, address: Address) -> None:
        """Has attempts for backends that were at this address before not be written to the new one."""
        for pool in self._closing:
            if pool.address == address:
                pool.end_grace()

    def _replace(self, pool: ConnectionPool, address: Address, grace_s: float) -> None:
        if pool.address != address:
            log.warning("backend address changed from %s:%d to %s:%d", *pool.address, *address)
        self._begin_closing(pool, grace_s)

    def _begin_closing(self, pool: ConnectionPool, grace_s: float) -> None:
        pool.begin_closing(grace_s)
        self._closing.append(pool)

    def known_backends(self) -> list[int]:
        """Returns the backends that have a pool, including those whose pool is closing."""
        return list(self._pools)

    def has_available_backend(self) -> bool:
        """Returns whether any backend accepts attempts."""
        return any(not pool.is_closing for pool in self._pools.values())

    @property
    def max_connections(self) -> int:
        """Returns the maximum of connections."""
        return self.context.max_connections

    @property
    def open_connections(self) -> int:
        """Returns the number of connections to all backends, including those being opened."""
        return self.context.open_connections

    def idle_connections(self) -> int:
        """Returns the number of connections without an attempt."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def sockets(self) -> Iterator[socket.socket]:
        """Yields the sockets of all established connections."""
        for pool in chain(self._pools.values(), self._closing):
            for connection in pool.connections:
                if (raw_socket := connection.raw_socket) is not None:
                    yield raw_socket

    def limit_connections(self, max_connections: int) -> None:
        """Changes the maximum of connections."""
        self.context.max_connections = max_connections

    def start(self, attempt: Attempt, timeout_s: float | None) -> None:
        """Starts an attempt; its observer is notified of its end exactly once, never before this returns."""
        if timeout_s is not None:
            attempt.timer = LagTolerantTimer(self._loop, timeout_s, partial(self.expire, attempt))
        pool = self._pools.get(attempt.backend)
        if pool is None:
            self._loop.call_soon(self.context.attempts.fail_unsent, attempt)
        else:
            pool.start(attempt, attempt.started_at_ns)

    def expire(self, attempt: Attempt) -> None:
        """Ends an attempt at its timeout."""
        self.context.attempts.expire(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Ends an attempt whose answer is not wanted any more."""
        self.context.attempts.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Ends an attempt unless its last byte is written."""
        self.context.attempts.withdraw(attempt)

    def close_idle(self, backend: int) -> None:
        """Closes one backend's idle connections."""
        if (pool := self._pools.get(backend)) is not None:
            pool.close_idle()

    def close_all_idle(self) -> None:
        """Closes the idle connections to all backends."""
        for pool in self._pools.values():
            pool.close_idle()

    def _has_capacity(self) -> bool:
        """Returns whether one more connection may be opened; closes idle ones for it."""
        context = self.context
        while context.open_connections >= context.max_connections:
            spare = max(self._pools.values(), key=lambda pool: len(pool.idle), default=None)
            if spare is None or not spare.idle:
                return False
            spare.idle[0].drop()
        return True

    def _sweep(self) -> None:
        idle_age = self.context.idle_age
        idle_age.decay()
        idle_before_s = self.context.time() - idle_age.limit_s
        self._closing = [pool for pool in self._closing if not pool.has_closed()]
        for backend, pool in list(self._pools.items()):
            pool.retire(idle_before_s)
            if pool.has_closed():
                del self._pools[backend]
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        """Closes all connections at once."""
        self._sweeper.cancel()
        for pool in self._pools.values():
            pool.close()
