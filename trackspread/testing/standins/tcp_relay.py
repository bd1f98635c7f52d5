"""A relay for TCP connections that delays, throttles, cuts, half-closes and swallows them.

A reset on one side becomes a reset on the other, an end an end: a relay that turned one into the other would
hide faults. A stream of which something was swallowed never goes on.
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

MAX_BUFFERED_BYTES = 1 << 20  # of one direction of a connection; then its source is not read any more
MIN_SLEEP_S = 0.0005  # shorter delays between two writes are left out


class _RelayedConnection(asyncio.Protocol):
    """One side of a relayed connection; what it reads is written to the other side."""

    def __init__(self, relay: TcpRelay, source: str | None, target: str) -> None:
        """`source`: None until it is recognised by its host."""
        self._relay = relay
        self.source = source
        self.target = target
        self.swallowed = False  # something of it was discarded
        self.other: _RelayedConnection | None = None
        self.linked = asyncio.Event()  # there is another side to deliver to
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
        if self.source is None and not self._relay.recognise(self):
            reset(self.transport)
            return
        self._task = asyncio.get_running_loop().create_task(self._deliver())

    @property
    def path(self) -> NetworkPath:
        return self._relay.paths.path(self.source or "", self.target, "tcp")

    def data_received(self, data: bytes) -> None:
        if self.path.blackhole:
            self.swallowed = True
            return
        if self.swallowed:
            reset(cast(asyncio.Transport, self.transport))
            return
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            cast(asyncio.Transport, self.transport).pause_reading()
        self._schedule(partial(self._write, data), len(data))

    def eof_received(self) -> bool:
        """The end is forwarded behind what came before it; this side may still be written to."""
        if self.path.blackhole:
            self.swallowed = True
        else:
            self._schedule(self._write_eof)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """After a reset the other side is reset; after both ends there is nothing left to reset."""
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
        """In the order in which it came, whatever the delays: this is a stream."""
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
        """Nothing more is delivered."""
        if self._task is not None:
            self._task.cancel()
        self._relay.forget(self)


class TcpRelay:
    """One listener: the source connects here and reaches `target`, which listens at `target_address`.

    `source`: None where several names may connect; `names_by_host` then says whose a host is.
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
        """Listens; returns its address. `port`: 0 for any. Raises `OSError` if the port is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, own_address(), port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def _accept(self) -> _RelayedConnection:
        connection = _RelayedConnection(self, self.source, self.target)
        if self.source is not None:
            self._begin(connection)
        return connection

    def recognise(self, connection: _RelayedConnection) -> bool:
        """Sets a connection's source by the host that it comes from; False for an unknown host."""
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

    async def _connect(self, near: _RelayedConnection) -> None:
        """Connects to the target; what the source writes meanwhile is queued.

        Over a cut path nothing reaches the target, not even the attempt to connect.
        """
        source = near.source or ""
        directions = (source, self.target), (self.target, source)
        if any(self.paths.path(*direction, "tcp").blackhole for direction in directions):
            near.swallowed = True
            return
        far = _RelayedConnection(self, self.target, source)
        far.other = near
        far.linked.set()
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, *self._target_address)
        except OSError:
            near.end()
            if near.transport is not None:
                reset(near.transport)
            return
        self._connections.add(far)
        near.other = far
        near.linked.set()
        if near.closed and far.transport is not None:
            reset(far.transport)

    def forget(self, connection: _RelayedConnection) -> None:
        """A connection has ended."""
        self._connections.discard(connection)

    def reset_connections(self) -> int:
        """Resets all connections on both sides; returns how many sides that were."""
        transports = [
            connection.transport
            for connection in self._connections
            if connection.transport is not None and not connection.closed
        ]
        for transport in transports:
            reset(transport)
        return len(transports)

    def half_close(self, towards: Literal["source", "target"]) -> int:
        """Ends what is written towards one side; the other direction goes on. Returns how many ends."""
        chosen = [
            connection
            for connection in self._connections
            if (connection.target == self.target) is (towards == "source") and not connection.closed
        ]
        for connection in chosen:
            cast(asyncio.Transport, connection.transport).write_eof()
        return len(chosen)

    def close(self) -> None:
        """Ends the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.end()
            if connection.transport is not None:
                connection.transport.abort()
        for task in list(self._tasks):
            task.cancel()
