"""The operators' door: HTTP/1.1 by h11 at an address of its own, one call to a connection.

May know: bytes, time, its own connections. May not know: what the answers say; they are asked for when a
whole call has come. It shares neither descriptors nor bounds with clients: no crowd shuts operators out.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import h11

from ..config.addresses import Address
from ..logs import Sparing

log = logging.getLogger(__name__)
log.addFilter(Sparing())

CALLERS_MOST = 24  # connections: operators' tools are few; with the gateway's own files under `RESERVED`
CALL_MOST = 5.0  # s from connecting until all is over; a caller that takes 4 s for its words is still served
HEAD_MOST = 8 << 10  # bytes of one call
BACKLOG = 128  # connections that wait for the loop's turn: a burst of callers that hold on

Answer = tuple[int, str]  # status and text
Answers = dict[bytes, Callable[[], Answer]]  # by path


class _Caller(asyncio.Protocol):
    """One connection: one call, one answer, closed."""

    __slots__ = ("_door", "_http", "_late", "_transport")

    def __init__(self, door: Door) -> None:
        self._door = door
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        self._transport: asyncio.Transport | None = None
        self._late: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._late = asyncio.get_running_loop().call_later(CALL_MOST, self.abort)
        self._door.came(self)

    def data_received(self, data: bytes) -> None:
        if self._http.our_state is not h11.IDLE:
            return  # answered: what follows the one call is read and dropped until it hangs up or time ends
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            return self._answer(error.error_status_hint, "not a call that can be read\n")
        if isinstance(event, h11.Request):
            self._answer(*self._door.answer(event))

    def _answer(self, status: int, text: str) -> None:
        body, transport = text.encode(), cast(asyncio.Transport, self._transport)
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if status == 405:
            headers.append(("Allow", "GET"))
        out = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        transport.write(out + (self._http.send(h11.Data(data=body)) or b""))
        # Half-closed, not closed: to close on bytes that came unread resets, and may take the answer along.
        transport.write_eof()

    def eof_received(self) -> bool:
        return False  # closed once the answer is out

    def connection_lost(self, exc: Exception | None) -> None:
        if self._late is not None:
            self._late.cancel()
        self._door.went(self)

    def abort(self) -> None:
        cast(asyncio.Transport, self._transport).abort()


class Door:
    """The listening socket and its callers. Who came first and has not finished makes room for the next."""

    def __init__(self, where: Address, answers: Answers) -> None:
        self._where = where
        self._answers = answers
        self._callers: dict[_Caller, None] = {}  # in the order in which they came
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Caller(self), *self._where, backlog=BACKLOG)

    @property
    def port(self) -> int:
        return int(cast(asyncio.Server, self._server).sockets[0].getsockname()[1])

    def came(self, caller: _Caller) -> None:
        self._callers[caller] = None
        if len(self._callers) > CALLERS_MOST:
            oldest = next(iter(self._callers))
            del self._callers[oldest]
            oldest.abort()

    def went(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)

    def answer(self, call: h11.Request) -> Answer:
        """A fault in making an answer is the caller's 500, never the gateway's."""
        made = self._answers.get(call.target.partition(b"?")[0])
        if made is None:
            return 404, "no such path\n"
        if call.method != b"GET":
            return 405, "GET alone\n"
        try:
            return made()
        except Exception:
            log.exception("fault in answering %r", call.target[:80])
            return 500, "internal fault\n"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for caller in list(self._callers):
            caller.abort()
