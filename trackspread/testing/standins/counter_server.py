"""The stand-in counter on sockets: a thin server round `counter.Shard`.

Each gateway has a listener of its own at every shard, so that a split can show each half another server.
Faults of the connection are plain attributes: `down` (refused and cut), `silent` (commands are carried out
and nothing is said), `delay`.
"""

from __future__ import annotations

import asyncio
import ssl
import time
from collections import deque
from collections.abc import Sequence
from functools import partial
from typing import Any, cast

import hiredis

from .counter import Cluster, Failure, Shard, Simple
from .loopback import Address, own_address
from .faulty_network import reset

HELD_MOST = 65_536  # replies that wait while there is a delay: more is a test gone wild


def encoded(value: Any) -> bytes:
    """A reply as RESP2."""
    match value:
        case Failure():
            return b"-%b\r\n" % value.encode()
        case Simple():
            return b"+%b\r\n" % value.encode()
        case bytes():
            return b"$%d\r\n%b\r\n" % (len(value), value)
        case int():
            return b":%d\r\n" % value
        case list():
            return b"*%d\r\n%b" % (len(value), b"".join(map(encoded, value)))
        case _:
            return b"$-1\r\n"


class CounterServer:
    """Shards as servers; with a `cluster` they tell where names lie."""

    def __init__(
        self,
        shards: Sequence[Shard],
        gateways: int,
        cluster: Cluster | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.shards = list(shards)
        self.gateways = gateways
        self.tls = tls
        self.addresses: dict[tuple[int, int], Address] = {}  # by shard and gateway
        self.down: set[tuple[int, int]] = set()
        self.silent: set[int] = set()  # gateways that hear no answer
        self.delay = 0.0  # s
        self.lines: set[_Line] = set()
        self._servers: list[asyncio.Server] = []
        if cluster is not None:
            cluster.address = lambda shard, gateway: self.addresses[shard, gateway]

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for shard in self.shards:
            for gateway in range(self.gateways):
                made = partial(_Line, self, shard, gateway)
                server = await loop.create_server(made, own_address(), 0, ssl=self.tls)
                self._servers.append(server)
                self.addresses[shard.number, gateway] = server.sockets[0].getsockname()[:2]

    def named(self, gateway: int) -> list[str]:
        """As the operator's file of one gateway names them."""
        return ["{}:{}".format(*self.addresses[shard.number, gateway]) for shard in self.shards]

    def cut(self, gateways: set[int]) -> None:
        """These reach no server any more: connections end, and new ones with them."""
        self.down |= {(shard.number, gateway) for shard in self.shards for gateway in gateways}
        for line in list(self.lines):
            if (line.shard.number, line.gateway) in self.down:
                line.end()

    def mend(self) -> None:
        self.down.clear()
        self.silent.clear()
        self.delay = 0.0

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for line in list(self.lines):
            line.end()


class _Line(asyncio.Protocol):
    def __init__(self, server: CounterServer, shard: Shard, gateway: int) -> None:
        self.server = server
        self.shard = shard
        self.gateway = gateway
        self._reader = hiredis.Reader()
        self._asking = False
        self._let_in = not shard.password
        self._waiting: deque[bytes] = deque()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.server.lines.add(self)
        if (self.shard.number, self.gateway) in self.server.down:
            self.end()

    def end(self) -> None:
        self.server.lines.discard(self)
        if self._transport is not None and not self._transport.is_closing():
            if self.server.tls is None:
                reset(self._transport)
            else:
                self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.lines.discard(self)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        said = []
        while (words := self._reader.gets()) is not False:
            said.append(encoded(self._execute(tuple(words))))
        if not said or self.gateway in self.server.silent:
            return
        if not self.server.delay:
            self._say(b"".join(said))
        elif len(self._waiting) < HELD_MOST:
            self._waiting.append(b"".join(said))
            asyncio.get_running_loop().call_later(self.server.delay, self._late)

    def _late(self) -> None:
        self._say(self._waiting.popleft())

    def _say(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _execute(self, words: tuple[bytes, ...]) -> Any:
        name = words[0].upper()
        if not self._let_in and name not in (b"HELLO", b"AUTH"):
            return Failure("NOAUTH Authentication required.")
        asking = self._asking
        self._asking = name == b"ASKING"
        value = self.shard.execute(self.gateway, words, time.time_ns() // 1_000_000, asking)
        if name == b"HELLO" and not isinstance(value, Failure):
            self._let_in = True
        return value
