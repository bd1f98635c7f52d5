"""Serves the stand-in counter (`counter.Shard`) on sockets.

Each gateway has a listener of its own at every shard, so that during a split each side reaches another state.
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

from .counter import Cluster, CommandError, Shard, SimpleString
from .loopback import Address, address_text, own_address
from .transports import reset

MAX_DELAYED_REPLIES = 65_536  # limit for one connection; further replies are lost
AUTHENTICATING_COMMANDS = (b"HELLO", b"AUTH")


def encode_reply(value: Any) -> bytes:
    """Encodes a reply as RESP2."""
    match value:
        case CommandError():
            return b"-%b\r\n" % value.encode()
        case SimpleString():
            return b"+%b\r\n" % value.encode()
        case bytes():
            return b"$%d\r\n%b\r\n" % (len(value), value)
        case int():
            return b":%d\r\n" % value
        case list():
            return b"*%d\r\n%b" % (len(value), b"".join(map(encode_reply, value)))
        case _:
            return b"$-1\r\n"


class CounterServer:
    """Serves shards, which redirect clients if they belong to a `cluster`.

    Faults are plain attributes. `unreachable` has pairs of shard and gateway whose connections end and are
    not accepted. Commands of `unanswered_gateways` are executed and not answered. `delay_s` is the delay of
    every answer.
    """

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
        self.unreachable: set[tuple[int, int]] = set()
        self.unanswered_gateways: set[int] = set()
        self.delay_s = 0.0
        self.connections: set[_Connection] = set()
        self._servers: list[asyncio.Server] = []
        if cluster is not None:
            cluster.address = lambda shard, gateway: self.addresses[shard, gateway]

    async def start(self) -> None:
        """Starts to listen at free ports."""
        loop = asyncio.get_running_loop()
        for shard in self.shards:
            for gateway in range(self.gateways):
                accept = partial(_Connection, self, shard, gateway)
                server = await loop.create_server(accept, own_address(), 0, ssl=self.tls)
                self._servers.append(server)
                self.addresses[shard.number, gateway] = server.sockets[0].getsockname()[:2]

    def server_texts(self, gateway: int) -> list[str]:
        """Returns the servers in the form of the operator's file of one gateway."""
        return [address_text(self.addresses[shard.number, gateway]) for shard in self.shards]

    def disconnect(self, gateways: set[int]) -> None:
        """Makes all servers unreachable for these gateways; open connections and new ones are ended."""
        self.unreachable |= {(shard.number, gateway) for shard in self.shards for gateway in gateways}
        for connection in list(self.connections):
            if (connection.shard.number, connection.gateway) in self.unreachable:
                connection.end()

    def end_faults(self) -> None:
        """Accepts and answers connections again."""
        self.unreachable.clear()
        self.unanswered_gateways.clear()
        self.delay_s = 0.0

    def close(self) -> None:
        """Closes all listeners and connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.end()


class _Connection(asyncio.Protocol):
    def __init__(self, server: CounterServer, shard: Shard, gateway: int) -> None:
        self.server = server
        self.shard = shard
        self.gateway = gateway
        self._reader = hiredis.Reader()
        self._asking = False
        self._authenticated = not shard.password
        self._delayed: deque[bytes] = deque()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        if (self.shard.number, self.gateway) in self.server.unreachable:
            self.end()

    def end(self) -> None:
        """Resets the connection; TLS connections are aborted."""
        self.server.connections.discard(self)
        if self._transport is not None and not self._transport.is_closing():
            if self.server.tls is None:
                reset(self._transport)
            else:
                self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        replies = []
        while (words := self._reader.gets()) is not False:
            replies.append(encode_reply(self._execute(tuple(words))))
        if not replies or self.gateway in self.server.unanswered_gateways:
            return
        if not self.server.delay_s:
            self._write(b"".join(replies))
        elif len(self._delayed) < MAX_DELAYED_REPLIES:
            self._delayed.append(b"".join(replies))
            asyncio.get_running_loop().call_later(self.server.delay_s, self._write_delayed)

    def _write_delayed(self) -> None:
        self._write(self._delayed.popleft())

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _execute(self, words: tuple[bytes, ...]) -> Any:
        name = words[0].upper()
        if not self._authenticated and name not in AUTHENTICATING_COMMANDS:
            return CommandError("NOAUTH Authentication required.")
        asking = self._asking
        self._asking = name == b"ASKING"
        value = self.shard.execute(self.gateway, words, time.time_ns() // 1_000_000, asking)
        if name == b"HELLO" and not isinstance(value, CommandError):
            self._authenticated = True
        return value
