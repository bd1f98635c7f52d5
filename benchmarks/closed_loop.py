"""Closed-loop work for measurements: nodes that answer at once, a bare relay, clients that ask on and on.

`python -m benchmarks.closed_loop nodes N` and `... relay HOST:PORT,...` are processes of their own: each
prints where it listens, and ends with its parent.
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
    """Answers every command at once; whoever asks waits for each answer: a chunk that ends is a command."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n"):
            self._transport.write(ANSWER)


class Relay(asyncio.Protocol):
    """Bytes on, bytes back: one connection to a node for each of a client's. No parsing, no decisions."""

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
    """The node's side of a relayed connection."""

    transport: asyncio.Transport

    def __init__(self, front: Relay) -> None:
        self._front = front

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        cast(asyncio.Transport, self._front.transport).write(data)


class Asker(asyncio.Protocol):
    """One client connection: the next command goes out when the answer to the last has come whole.

    `answer_end` is how every good answer ends; anything else counts as refused."""

    def __init__(self, commands: Callable[[], bytes], tally: Tally, answer_end: bytes) -> None:
        self._commands, self._tally, self._end = commands, tally, answer_end
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(self._commands())

    def data_received(self, data: bytes) -> None:
        if not data.endswith(b"\r\n"):
            return
        if data.endswith(self._end):
            self._tally.served += 1
        else:
            self._tally.refused += 1
        if self._tally.asking:
            cast(asyncio.Transport, self._transport).write(self._commands())

    def connection_lost(self, exc: Exception | None) -> None:
        self._tally.lost += self._tally.asking


class Tally:
    """What came back so far."""

    def __init__(self) -> None:
        self.served = self.refused = self.lost = 0
        self.asking = True


def commands(customers: int) -> Callable[[], bytes]:
    """Look-ups of so many customers in turn, each with an id of its own."""
    numbers = itertools.count()

    def one() -> bytes:
        number = next(numbers)
        words = (
            b"CALL.GET",
            b"%016x" % (1 + number % customers),
            b"%016x" % number,
            b"c=rate-lookup,t=wide,d=1500,units=1,spread=1,first=0",
        )
        return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)

    return one


async def _listen(made: Callable[[], asyncio.Protocol]) -> Address:
    server = await asyncio.get_running_loop().create_server(made, own_address(), 0, backlog=1024)
    _KEPT.append(server)
    return own_address(), int(server.sockets[0].getsockname()[1])


_KEPT: list[asyncio.Server] = []  # servers end with the process


async def _serve(kind: str, word: str) -> None:
    if kind == "nodes":
        made = [await _listen(Node) for _ in range(int(word))]
    else:
        targets = itertools.cycle([(h, int(p)) for h, _, p in (w.rpartition(":") for w in word.split(","))])
        made = [await _listen(lambda: Relay(next(targets)))]
    print(json.dumps(made), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # until the parent is gone


if __name__ == "__main__":
    uvloop.run(_serve(sys.argv[1], sys.argv[2]))
