"""Holds many client connections that occupy a gateway's memory, as a program of its own beside the harness.

Usage: `python -m trackspread.testing.standins.memory_load HOST PORT KIND CONNECTIONS SECONDS`. The kinds are
those of `LoadKind`. Each connection has a tenant of its own, and requests have ids of floods, which the judge
does not follow. A connection that ends is opened again. The last line of the output is JSON with `Totals`.
"""

from __future__ import annotations

import asyncio
import json
import resource
import socket
import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from itertools import count, cycle
from typing import cast

import uvloop

from .flooding_client import FIRST_TENANT, Totals, flood_id, words

ANSWER_OPTION = b"answer"  # asks a rating node of the tests for an answer of so many bytes
LONG_BODY_BYTES = 1 << 20
LONG_ANSWER_BYTES = 1 << 20
PIPELINED_BODY_BYTES = 60 << 10
SHORT_ANSWER_BYTES = 60 << 10  # the longest that is not forwarded in pieces, nearly
PIPELINED = 32  # requests on a connection at once
HEAD_FIELDS = 15
HEAD_FIELD_BYTES = 4300  # of each field; all together are just below the longest command
DRIP_BYTES = 2 << 10
DRIP_INTERVAL_S = 0.05
READ_BYTES = 4 << 10
READ_INTERVAL_S = 0.25
REPEAT_S = 1.0  # between pipelines of one client
CLIENT_RECEIVE_BUFFER_BYTES = 16 << 10  # of a client that reads slowly
WAIT_MS = 2000
RECONNECT_DELAY_S = 0.01  # after a connection could not be opened
RESTART_DELAY_S = 0.3  # after the gateway ended a connection
CONNECTS_AT_ONCE = 100


class LoadKind(StrEnum):
    """Enumerates what its clients do."""

    STOPPED = "stopped"  # half of a body of 1 MiB is sent, and no more
    DRIPPED = "dripped"  # 2 KiB of such a body every 50 ms
    LONG_ANSWERS = "long-answers"  # answers of 1 MiB are read slowly
    UNREAD_ANSWERS = "unread-answers"  # 32 answers of 60 KB are not read
    UNREAD_PIPELINES = "unread-pipelines"  # short commands without end, whose answers are not read
    LONG_HEADS = "long-heads"  # commands of many fields that lack their last bytes
    PIPELINED_BODIES = "pipelined-bodies"  # 32 requests at once with bodies of 60 KB
    MIX = "mix"


MIXED = tuple(kind for kind in LoadKind if kind is not LoadKind.MIX)


def _parameters(number: int, request_class: bytes, answer_bytes: int) -> bytes:
    key = b",k=%016x" % number if request_class == b"usage-submit" else b""
    answer = b",%b=%d" % (ANSWER_OPTION, answer_bytes)
    return b"c=%b,t=basic,d=%d%b%b,units=0.1,spread=2,first=0" % (request_class, WAIT_MS, key, answer)


def submit(tenant: int, number: int, body: bytes) -> bytes:
    """Returns a request with a body."""
    parameters = _parameters(number, b"usage-submit", answer_bytes=0)
    return words(b"CALL.POST", b"%016x" % tenant, flood_id(number), parameters, body)


def lookup(tenant: int, number: int, answer_bytes: int) -> bytes:
    """Returns a request for an answer of that size."""
    parameters = _parameters(number, b"rate-lookup", answer_bytes)
    return words(b"CALL.GET", b"%016x" % tenant, flood_id(number), parameters)


LONG_HEAD = words(*[b"x" * HEAD_FIELD_BYTES] * HEAD_FIELDS)[:-8]


@dataclass(slots=True)
class MemoryLoad:
    """Holds what the connections of one load share."""

    numbers: Iterator[int] = field(default_factory=count)
    tenants: Iterator[int] = field(default_factory=lambda: count(FIRST_TENANT))
    totals: Totals = field(default_factory=Totals)

    def pieces(self, kind: LoadKind, tenant: int) -> deque[bytes]:
        """Returns what one connection of a tenant sends, in the pieces that it writes."""
        match kind:
            case LoadKind.STOPPED:
                return deque(
                    [submit(tenant, next(self.numbers), bytes(LONG_BODY_BYTES))[: LONG_BODY_BYTES // 2]]
                )
            case LoadKind.DRIPPED:
                command = submit(tenant, next(self.numbers), bytes(LONG_BODY_BYTES))
                return deque(command[at : at + DRIP_BYTES] for at in range(0, len(command), DRIP_BYTES))
            case LoadKind.LONG_ANSWERS:
                return deque([lookup(tenant, next(self.numbers), LONG_ANSWER_BYTES)])
            case LoadKind.UNREAD_ANSWERS:
                return self._pipeline(lambda number: lookup(tenant, number, SHORT_ANSWER_BYTES))
            case LoadKind.UNREAD_PIPELINES:
                return deque([words(b"PING") * 100_000])
            case LoadKind.LONG_HEADS:
                return deque([LONG_HEAD])
            case LoadKind.PIPELINED_BODIES | LoadKind.MIX:
                return self._pipeline(lambda number: submit(tenant, number, bytes(PIPELINED_BODY_BYTES)))

    def _pipeline(self, command: Callable[[int], bytes]) -> deque[bytes]:
        return deque([b"".join(command(next(self.numbers)) for _ in range(PIPELINED))])


class LoadConnection(asyncio.Protocol):
    """Sends its pieces and reads as its kind does."""

    def __init__(self, load: MemoryLoad, kind: LoadKind) -> None:
        self._load = load
        self._kind = kind
        self._tenant = next(load.tenants)
        self._pieces = load.pieces(kind, self._tenant)
        self._transport: asyncio.Transport | None = None
        self._raw_socket: socket.socket | None = None
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to send, and stops reading where its kind does not read."""
        self._transport = cast(asyncio.Transport, transport)
        self._raw_socket = transport.get_extra_info("socket")
        self._load.totals.connections += 1
        loop = asyncio.get_running_loop()
        if self._kind in (LoadKind.UNREAD_ANSWERS, LoadKind.UNREAD_PIPELINES, LoadKind.LONG_ANSWERS):
            loop.call_soon(self._stop_reading)
        if self._kind is LoadKind.LONG_ANSWERS:
            loop.call_later(READ_INTERVAL_S, self._read_some)
        self._write()

    def _stop_reading(self) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if not transport.is_closing():
            transport.pause_reading()

    def _write(self) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if transport.is_closing() or not self._pieces:
            return
        piece = self._pieces.popleft()
        self._load.totals.sent_bytes += len(piece)
        transport.write(piece)
        if self._pieces:
            asyncio.get_running_loop().call_later(DRIP_INTERVAL_S, self._write)
        elif self._kind is LoadKind.PIPELINED_BODIES:
            asyncio.get_running_loop().call_later(REPEAT_S, self._repeat)

    def _repeat(self) -> None:
        """Sends another pipeline once the gateway has read the last one."""
        transport = cast(asyncio.Transport, self._transport)
        if not transport.is_closing() and not transport.get_write_buffer_size():
            self._pieces = self._load.pieces(self._kind, self._tenant)
            self._write()
        else:
            asyncio.get_running_loop().call_later(REPEAT_S, self._repeat)

    def _read_some(self) -> None:
        """Reads a little from the socket, whose transport does not read."""
        transport = cast(asyncio.Transport, self._transport)
        if transport.is_closing():
            return
        # The transport's socket object forbids `recv`; another object for the same descriptor does not.
        raw_socket = cast(socket.socket, self._raw_socket)
        duplicate = socket.socket(fileno=raw_socket.fileno())
        try:
            data = duplicate.recv(READ_BYTES)
        except BlockingIOError:
            data = b"nothing yet"
        except OSError:
            data = b""
        finally:
            duplicate.detach()
        if not data:
            transport.abort()
            return
        self._load.totals.received_bytes += len(data)
        asyncio.get_running_loop().call_later(READ_INTERVAL_S, self._read_some)

    def data_received(self, data: bytes) -> None:
        """Counts and discards answers."""
        self._load.totals.received_bytes += len(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the connection's end."""
        if not self.closed.done():
            self.closed.set_result(None)


def _client_socket(kind: LoadKind) -> socket.socket:
    client = socket.socket()
    client.setblocking(False)
    if kind is LoadKind.LONG_ANSWERS:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_RECEIVE_BUFFER_BYTES)
    return client


async def _connect(
    load: MemoryLoad, kind: LoadKind, host: str, port: int, gate: asyncio.Semaphore
) -> LoadConnection:
    loop = asyncio.get_running_loop()
    client = _client_socket(kind)
    try:
        async with gate:
            await loop.sock_connect(client, (host, port))
    except BaseException:
        client.close()
        raise
    _, connection = await loop.create_connection(lambda: LoadConnection(load, kind), sock=client)
    return connection


async def _keep_connected(
    load: MemoryLoad, kind: LoadKind, host: str, port: int, gate: asyncio.Semaphore
) -> None:
    while True:
        try:
            connection = await _connect(load, kind, host, port, gate)
            await connection.closed
            await asyncio.sleep(RESTART_DELAY_S)
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY_S)


async def run(host: str, port: int, kind: LoadKind, connections: int, seconds: float) -> Totals:
    """Keeps the connections open for `seconds` and returns the totals."""
    load = MemoryLoad()
    gate = asyncio.Semaphore(CONNECTS_AT_ONCE)
    kinds = cycle(MIXED if kind is LoadKind.MIX else (kind,))
    tasks = [
        asyncio.create_task(_keep_connected(load, next(kinds), host, port, gate)) for _ in range(connections)
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    return load.totals


def main() -> None:
    """Runs the command."""
    host, port, kind, connections, seconds = sys.argv[1:]
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard_limit, 8192), hard_limit))
    totals = uvloop.run(run(host, int(port), LoadKind(kind), int(connections), float(seconds)))
    print(json.dumps(asdict(totals)))


if __name__ == "__main__":
    main()
