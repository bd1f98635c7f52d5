"""Relays TCP connections and delays, throttles, cuts or half-closes them, or discards their data.

A reset on one side becomes a reset on the other, and an EOF becomes an EOF, because a relay that turned one
into the other would hide faults. A stream that has lost discarded data never continues.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from typing import Literal, cast

from .loopback import Address, own_address
from .network_path import NetworkPath, NetworkPaths
from .transports import reset

MAX_BUFFERED_BYTES = 1 << 20  # limit for one direction of a connection; beyond it the source is not read
MIN_SLEEP_S = 0.0005  # shorter delays between two writes are skipped


class _RelayedConnection(asyncio.Protocol):
    """Handles one side of a relayed connection; data that it reads is written to the other side."""

    def __init__(self, relay: TcpRelay, source: str | None, target: str) -> None:
        """Creates one side; `source` is None until it is identified by its host."""
        self._relay = relay
        self.source = source
        self.target = target
        self.has_discarded = False  # data of this side was discarded
        self.other: _RelayedConnection | None = None
        self.linked = asyncio.Event()  # set when there is another side to deliver to
        self.transport: asyncio.Transport | None = None
        self._deliveries: asyncio.Queue[tuple[float, Callable[[], None]]] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None
        self._buffered_bytes = 0
        self.eof_forwarded = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.source is None and not self._relay.identify(self):
            reset(self.transport)
            return
        self._task = asyncio.get_running_loop().create_task(self._deliver())

    @property
    def path(self) -> NetworkPath:
        return self._relay.paths.path(self.source or "", self.target, "tcp")

    def data_received(self, data: bytes) -> None:
        if self.path.blackhole:
            self.has_discarded = True
            return
        if self.has_discarded:
            reset(cast(asyncio.Transport, self.transport))
            return
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            cast(asyncio.Transport, self.transport).pause_reading()
        self._schedule(partial(self._write, data), len(data))

    def eof_received(self) -> bool:
        """Forwards the EOF after the data before it; this side may still be written to."""
        if self.path.blackhole:
            self.has_discarded = True
        else:
            self._schedule(self._write_eof)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Resets the other side; after an EOF from both sides it is closed already."""
        self.closed = True
        if self.path.blackhole:
            self._relay.forget(self)
        else:
            self._schedule(self._reset)

    def _schedule(self, delivery: Callable[[], None], size: int = 0) -> None:
        now = asyncio.get_running_loop().time()
        due = now + self.path.delivery_delay_s(now, size, self._relay.paths.rng)
        self._deliveries.put_nowait((due, delivery))

    async def _deliver(self) -> None:
        """Delivers in the order of arrival whatever the delays are, as in any stream."""
        loop = asyncio.get_running_loop()
        await self.linked.wait()
        while True:
            due, delivery = await self._deliveries.get()
            if (wait := due - loop.time()) > MIN_SLEEP_S:
                await asyncio.sleep(wait)
            delivery()

    def _target(self) -> asyncio.Transport | None:
        return self.other.transport if self.other is not None and not self.other.closed else None

    def _write(self, data: bytes) -> None:
        self._buffered_bytes -= len(data)
        below_limit = self._buffered_bytes <= MAX_BUFFERED_BYTES
        if below_limit and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if (target := self._target()) is not None and not target.is_closing():
            target.write(data)

    def _write_eof(self) -> None:
        self.eof_forwarded = True
        if (target := self._target()) is not None and not target.is_closing():
            target.write_eof()
            if self.other is not None and self.other.eof_forwarded:
                target.close()
                cast(asyncio.Transport, self.transport).close()

    def _reset(self) -> None:
        if (target := self._target()) is not None:
            reset(target)
        self.end()

    def end(self) -> None:
        """Stops delivery from this side."""
        if self._task is not None:
            self._task.cancel()
        self._relay.forget(self)


class TcpRelay:
    """Listens for the source and connects it to `target`, which listens at `target_address`.

    `source` is None where several names may connect; `names_by_host` then identifies them by host.
    """

    def __init__(
        self,
        paths: NetworkPaths,
        source: str | None,
        target: str,
        target_address: Address,
        names_by_host: dict[str, str] | None = None,
    ) -> None:
        self.paths = paths
        self.source = source
        self.target = target
        self._target_address = target_address
        self._names_by_host = names_by_host or {}
        self._server: asyncio.Server | None = None
        self._connections: set[_RelayedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> Address:
        """Starts to listen (at any port for 0) and returns the address; raises `OSError` if it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, own_address(), port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def _accept(self) -> _RelayedConnection:
        connection = _RelayedConnection(self, self.source, self.target)
        if self.source is not None:
            self._begin(connection)
        return connection

    def identify(self, connection: _RelayedConnection) -> bool:
        """Sets a connection's source from its host; returns False for an unknown host."""
        host = cast(asyncio.Transport, connection.transport).get_extra_info("peername")[0]
        connection.source = self._names_by_host.get(host)
        if connection.source is not None:
            self._begin(connection)
        return connection.source is not None

    def _begin(self, connection: _RelayedConnection) -> None:
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._connect(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, source_side: _RelayedConnection) -> None:
        """Connects to the target; data that the source writes meanwhile is queued.

        Over a cut path no data reaches the target, not even the attempt to connect.
        """
        source = source_side.source or ""
        directions = (source, self.target), (self.target, source)
        if any(self.paths.path(*direction, "tcp").blackhole for direction in directions):
            source_side.has_discarded = True
            return
        target_side = _RelayedConnection(self, self.target, source)
        target_side.other = source_side
        target_side.linked.set()
        try:
            await asyncio.get_running_loop().create_connection(lambda: target_side, *self._target_address)
        except OSError:
            source_side.end()
            if source_side.transport is not None:
                reset(source_side.transport)
            return
        self._connections.add(target_side)
        source_side.other = target_side
        source_side.linked.set()
        if source_side.closed and target_side.transport is not None:
            reset(target_side.transport)

    def forget(self, connection: _RelayedConnection) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def reset_connections(self) -> int:
        """Resets all connections on both sides; returns the number of sides that were reset."""
        transports = [
            connection.transport
            for connection in self._connections
            if connection.transport is not None and not connection.closed
        ]
        for transport in transports:
            reset(transport)
        return len(transports)

    def half_close(self, towards: Literal["source", "target"]) -> int:
        """Sends EOF to one side of each connection, and the other direction stays; returns their number."""
        chosen = [
            connection
            for connection in self._connections
            if (connection.target == self.target) is (towards == "source") and not connection.closed
        ]
        for connection in chosen:
            cast(asyncio.Transport, connection.transport).write_eof()
        return len(chosen)

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.end()
            if connection.transport is not None:
                connection.transport.abort()
        for task in list(self._tasks):
            task.cancel()
