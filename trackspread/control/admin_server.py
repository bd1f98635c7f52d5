"""Serves HTTP/1.1 for operators at an address of its own, with one request for each connection.

It has its own limit on connections, so that clients cannot lock operators out.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import h11

from ..config.addresses import Address
from ..logs import RateLimitFilter
from ..memory.read_buffer import SharedBufferProtocol

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

MAX_CONNECTIONS = 24  # fits with the gateway's own files within the reserved descriptors
CALL_TIMEOUT_S = 5.0  # from connecting until the connection is closed
MAX_HEAD_BYTES = 8 << 10  # of one request
MAX_LOGGED_TARGET = 80  # bytes of a path
BACKLOG = 128  # connections that the kernel queues, enough for a burst of them

Response = tuple[int, str]  # status and body
Routes = dict[bytes, Callable[[], Response]]  # by path


class _Connection(SharedBufferProtocol):
    """Serves one connection, which is closed after one request and its response."""

    __slots__ = ("_http", "_server", "_timeout", "_transport")

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timeout of the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._timeout = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self.abort)
        self._server.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Answers the first complete request and ignores later input."""
        if self._http.our_state is not h11.IDLE:
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._respond(error.error_status_hint, "not a call that can be read\n")
            return
        if isinstance(event, h11.Request):
            self._respond(*self._server.respond(event))

    def _respond(self, status: int, text: str) -> None:
        body = text.encode()
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if status == HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append(("Allow", "GET"))
        head = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        transport = cast(asyncio.Transport, self._transport)
        transport.write(head + (self._http.send(h11.Data(data=body)) or b""))
        # Only the sending side is closed: closing with unread input would reset the connection, and the
        # response might be lost.
        transport.write_eof()

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of the incomplete request and of the unsent response."""
        received, _ = self._http.trailing_data
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return len(received) + unsent_bytes

    def eof_received(self) -> bool:
        """Has the transport close the connection once the response is sent."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timeout and removes the connection."""
        if self._timeout is not None:
            self._timeout.cancel()
        self._server.connection_closed(self)

    def abort(self) -> None:
        """Closes the connection at once."""
        cast(asyncio.Transport, self._transport).abort()


class AdminServer:
    """Holds the listening socket and its connections; closes the oldest one over `MAX_CONNECTIONS`."""

    def __init__(self, address: Address, routes: Routes) -> None:
        self._address = address
        self._routes = routes
        self._connections: dict[_Connection, None] = {}  # oldest first
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the listening socket; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), *self._address, backlog=BACKLOG)

    @property
    def buffered_bytes(self) -> int:
        """Returns what all connections keep."""
        return sum(connection.buffered_bytes for connection in self._connections)

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        return int(cast(asyncio.Server, self._server).sockets[0].getsockname()[1])

    def connection_opened(self, connection: _Connection) -> None:
        """Registers a new connection, and closes the oldest one if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.abort()

    def connection_closed(self, connection: _Connection) -> None:
        """Removes a closed connection."""
        self._connections.pop(connection, None)

    def respond(self, request: h11.Request) -> Response:
        """Returns the response to a request; an exception in a route becomes status 500."""
        route = self._routes.get(request.target.partition(b"?")[0])
        if route is None:
            return HTTPStatus.NOT_FOUND, "no such path\n"
        if request.method != b"GET":
            return HTTPStatus.METHOD_NOT_ALLOWED, "GET alone\n"
        try:
            return route()
        except Exception:
            log.exception("admin server: request for %r failed", request.target[:MAX_LOGGED_TARGET])
            return HTTPStatus.INTERNAL_SERVER_ERROR, "internal fault\n"

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()
