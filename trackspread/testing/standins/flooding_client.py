"""Sends commands to one gateway at full speed, as a program of its own beside the harness.

Usage: `python -m trackspread.testing.standins.flooding_client HOST PORT KIND CONNECTIONS SECONDS`. The kinds
are those of `FLOODS`. A connection that the gateway ends is opened again. The last line of the output is JSON
with the numbers of connections opened and of bytes sent and received.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from itertools import count
from typing import cast

import uvloop

PING = b"*1\r\n$4\r\nPING\r\n"
COMMANDS_PER_WRITE = 500
MAX_UNSENT_BYTES = 256 << 10  # in the client's own buffer
RECONNECT_DELAY_S = 0.01  # after a connection could not be opened
FIRST_TENANT = 1 << 32  # far from the tenants of other clients

FLOOD_ID_PREFIX = "flood-"  # of request ids; those of other clients have hex digits only

Commands = Callable[[int], bytes]  # returns one command for its number


def flood_id(number: int) -> bytes:
    """Returns the id of a request of a flood."""
    return b"%b%x" % (FLOOD_ID_PREFIX.encode(), number)


def is_flood_id(request: str) -> bool:
    """Returns whether a request belongs to a flood, which the judge does not follow."""
    return request.startswith(FLOOD_ID_PREFIX)


def words(*parts: bytes) -> bytes:
    """Returns a command of these words."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def _lookup(number: int, tenant: int, parameters: bytes) -> bytes:
    return words(b"CALL.GET", b"%016x" % tenant, flood_id(number), parameters)


def _lookup_parameters(request_class: bytes = b"rate-lookup", wait_ms: int = 1000) -> bytes:
    return b"c=%b,t=basic,d=%d,units=1,spread=2,first=0" % (request_class, wait_ms)


def _submit(number: int, tenant: int) -> bytes:
    parameters = b"c=usage-submit,t=basic,d=1000,k=%016x,units=1,spread=2,first=0" % number
    return words(b"CALL.POST", b"%016x" % tenant, flood_id(number), parameters, b"body")


FLOODS: dict[str, Commands] = {
    "ping": lambda number: PING,
    "unknown-commands": lambda number: words(b"COMMAND%d" % number),
    "no-id": lambda number: words(b"CALL.GET", b"%016x" % FIRST_TENANT, b"", _lookup_parameters()),
    "new-classes": lambda number: _lookup(number, FIRST_TENANT, _lookup_parameters(b"class-%d" % number)),
    "new-tenants": lambda number: _lookup(number, FIRST_TENANT + number, _lookup_parameters()),
    "new-keys": lambda number: _submit(number, FIRST_TENANT),
    "new-tenants-and-keys": lambda number: _submit(number, FIRST_TENANT + number),
    "out-of-time": lambda number: _lookup(number, FIRST_TENANT, _lookup_parameters(wait_ms=1)),
    "long-lines": lambda number: b"*" + b"1" * 600 + b"\r\n",
}
READS_NOTHING = "-unread"  # suffix of a kind whose clients read no answers


@dataclass(slots=True)
class Totals:
    """Counts what all connections of a flood did."""

    connections: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(slots=True)
class Flood:
    """Holds what the connections of one flood share."""

    commands: Commands
    reads: bool
    numbers: Iterator[int] = field(default_factory=count)
    totals: Totals = field(default_factory=Totals)

    def next_bytes(self) -> bytes:
        """Returns the next commands."""
        return b"".join(self.commands(next(self.numbers)) for _ in range(COMMANDS_PER_WRITE))


class FloodingConnection(asyncio.Protocol):
    """Writes commands whenever its buffer has room."""

    def __init__(self, flood: Flood) -> None:
        self._flood = flood
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._is_lost = False
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to write."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._flood.totals.connections += 1
        if not self._flood.reads:
            asyncio.get_running_loop().call_soon(self._transport.pause_reading)
        self._write()

    def _write(self) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if self._is_lost or self._is_paused or transport.is_closing():
            return
        data = self._flood.next_bytes()
        self._flood.totals.sent_bytes += len(data)
        try:
            transport.write(data)
        except RuntimeError:  # uvloop has closed the handle and not reported it yet
            return
        asyncio.get_running_loop().call_soon(self._write)

    def pause_writing(self) -> None:
        """Waits until the gateway reads."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Continues to write."""
        self._is_paused = False
        self._write()

    def data_received(self, data: bytes) -> None:
        """Counts and discards answers."""
        self._flood.totals.received_bytes += len(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the connection's end."""
        self._is_lost = True
        if not self.closed.done():
            self.closed.set_result(None)


async def _keep_connected(flood: Flood, host: str, port: int) -> None:
    loop = asyncio.get_running_loop()
    while True:
        try:
            _, connection = await loop.create_connection(lambda: FloodingConnection(flood), host, port)
            await connection.closed
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY_S)


async def run(host: str, port: int, kind: str, connections: int, seconds: float) -> Totals:
    """Sends for `seconds` on this many connections and returns the totals."""
    flood = Flood(FLOODS[kind.removesuffix(READS_NOTHING)], not kind.endswith(READS_NOTHING))
    tasks = [asyncio.create_task(_keep_connected(flood, host, port)) for _ in range(connections)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    return flood.totals


def main() -> None:
    """Runs the command."""
    host, port, kind, connections, seconds = sys.argv[1:]
    totals = uvloop.run(run(host, int(port), kind, int(connections), float(seconds)))
    print(json.dumps(asdict(totals)))


if __name__ == "__main__":
    main()
