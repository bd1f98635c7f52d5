"""Provides closed-loop load for benchmarks: nodes that answer at once, a plain relay, and clients.

`python -m benchmarks.closed_loop nodes N` and `... relay HOST:PORT,...` run as separate processes. Each
prints the addresses on which it listens, and ends when its parent ends.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from collections.abc import Callable
from typing import cast

import uvloop

from trackspread.testing.standins.loopback import own_address

Address = tuple[str, int]
REPORT = b"util=0.50,latency_ms=1.0,inflight=1"
ANSWER = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$%d\r\n%b\r\n" % (len(REPORT), REPORT)


class Node(asyncio.Protocol):
    """Answers every command at once.

    Clients wait for each answer, so data that ends with a line end is one complete command.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n"):
            self._transport.write(ANSWER)


class Relay(asyncio.Protocol):
    """Forwards bytes between a client and a node, one connection each, without parsing or decisions."""

    def __init__(self, target: Address) -> None:
        self._target, self.other, self._early = target, None, b""
        self.transport: asyncio.Transport | None = None

    other: RelayBack | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        loop = asyncio.get_running_loop()
        self._connecting = loop.create_task(self._connect(loop))

    async def _connect(self, loop: asyncio.AbstractEventLoop) -> None:
        transport, back = await loop.create_connection(lambda: RelayBack(self), *self._target)
        self.other = back
        if self._early:
            transport.write(self._early)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self._early += data
        else:
            self.other.transport.write(data)


class RelayBack(asyncio.Protocol):
    """Forwards the node's bytes to the client of a relayed connection."""

    transport: asyncio.Transport

    def __init__(self, front: Relay) -> None:
        self._front = front

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        cast(asyncio.Transport, self._front.transport).write(data)


class ClosedLoopClient(asyncio.Protocol):
    """Holds one client connection that sends the next command when the answer to the last is complete.

    Every successful answer ends with `answer_end`; any other answer counts as refused.
    """

    def __init__(self, commands: Callable[[], bytes], counts: ReplyCounts, answer_end: bytes) -> None:
        self._commands, self._counts, self._end = commands, counts, answer_end
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(self._commands())

    def data_received(self, data: bytes) -> None:
        if not data.endswith(b"\r\n"):
            return
        if data.endswith(self._end):
            self._counts.served += 1
        else:
            self._counts.refused += 1
        if self._counts.is_sending:
            cast(asyncio.Transport, self._transport).write(self._commands())

    def connection_lost(self, exc: Exception | None) -> None:
        self._counts.lost += self._counts.is_sending


class ReplyCounts:
    """Counts answers, refusals and lost connections of all clients."""

    def __init__(self) -> None:
        self.served = self.refused = self.lost = 0
        self.is_sending = True


def commands(customers: int) -> Callable[[], bytes]:
    """Returns a function that makes look-ups of the tenants in turn, each with its own request id."""
    numbers = itertools.count()

    def next_command() -> bytes:
        number = next(numbers)
        words = (
            b"CALL.GET",
            b"%016x" % (1 + number % customers),
            b"%016x" % number,
            b"c=rate-lookup,t=wide,d=1500,units=1,spread=1,first=0",
        )
        return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)

    return next_command


async def _listen(factory: Callable[[], asyncio.Protocol]) -> Address:
    server = await asyncio.get_running_loop().create_server(factory, own_address(), 0, backlog=1024)
    _SERVERS.append(server)
    return own_address(), int(server.sockets[0].getsockname()[1])


_SERVERS: list[asyncio.Server] = []  # Keeps the servers open until the process ends.


async def _serve(kind: str, argument: str) -> None:
    if kind == "nodes":
        addresses = [await _listen(Node) for _ in range(int(argument))]
    else:
        targets = itertools.cycle(
            [(h, int(p)) for h, _, p in (w.rpartition(":") for w in argument.split(","))]
        )
        addresses = [await _listen(lambda: Relay(next(targets)))]
    print(json.dumps(addresses), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # Ends with the parent.


if __name__ == "__main__":
    uvloop.run(_serve(sys.argv[1], sys.argv[2]))
