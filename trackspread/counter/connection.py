"""Holds one connection to one server of the counter, which pipelines commands and returns replies in order.

Commands that are sent in one turn of the event loop are written together. While there is no connection,
commands fail at once, and the connection is made anew with backoff. A connection is closed after a reply that
can't be parsed, or if no reply arrives for `REPLY_TIMEOUT_S`.
"""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import hiredis

from .commands import Command, ErrorReply

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0  # for TCP, TLS and the handshake
# The backoff between attempts to connect doubles after each attempt; jitter draws from half of it up.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_PENDING_COMMANDS = 4096  # commands without a reply; a counter that is further behind is of no use
REPLY_TIMEOUT_S = 1.0  # longest time without any reply while some are pending
ReplyCallback = Callable[[list[Any] | None], None]  # gets the replies, or None if the commands failed


@dataclass(frozen=True, slots=True)
class Credentials:
    """Holds the credentials for a server.

    `password_file` is read anew for each connection, and the password is never logged.
    """

    user: str = ""
    password_file: str = ""
    tls: ssl.SSLContext | None = None


def _packed(command: Command) -> bytes:
    return bytes(hiredis.pack_command(command))  # type: ignore[arg-type]


@dataclass(slots=True)
class _PendingReplies:
    """Collects the replies to commands that were sent together."""

    count: int
    callback: ReplyCallback
    replies: list[Any] = field(default_factory=list)


@dataclass(slots=True)
class _UnsentCommands:
    data: bytes
    count: int
    callback: ReplyCallback


class _Protocol(asyncio.Protocol):
    """Parses RESP replies on one transport and passes them to their callbacks in order."""

    def __init__(self, connection: CounterConnection) -> None:
        self._connection = connection
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self._pending: deque[_PendingReplies] = deque()
        self.pending_commands = 0
        self._last_reply_s = 0.0  # time on the event loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, count: int, callback: ReplyCallback) -> None:
        assert self.transport is not None
        if not self._pending:
            self._last_reply_s = asyncio.get_running_loop().time()
        self._pending.append(_PendingReplies(count, callback))
        self.pending_commands += count
        self.transport.write(data)

    def is_unresponsive(self, now_s: float) -> bool:
        """Returns whether replies are pending and none has arrived for `REPLY_TIMEOUT_S`."""
        return bool(self._pending) and now_s - self._last_reply_s > REPLY_TIMEOUT_S

    def data_received(self, data: bytes) -> None:
        self._last_reply_s = asyncio.get_running_loop().time()
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self._on_reply(reply)
        except (hiredis.ProtocolError, IndexError) as error:
            host, port = self._connection.address
            log.warning(
                "counter: %s:%d: connection closed: a reply can't be parsed: %s",
                host,
                port,
                type(error).__name__,
            )
            if self.transport is not None:
                self.transport.abort()

    def _on_reply(self, reply: Any) -> None:
        first = self._pending[0]
        first.replies.append(ErrorReply(str(reply)) if isinstance(reply, hiredis.ReplyError) else reply)
        self.pending_commands -= 1
        if len(first.replies) == first.count:
            self._pending.popleft()
            first.callback(first.replies)

    def connection_lost(self, error: Exception | None) -> None:
        pending = self._pending
        self._pending = deque()
        self.pending_commands = 0
        self._connection.on_connection_lost(self)
        for each in pending:
            each.callback(None)


class CounterConnection:
    """Keeps a connection to one server and makes it anew whenever it is lost, until `close`.

    `on_lost` is called whenever the connection was lost or could not be made.
    """

    def __init__(
        self, address: tuple[str, int], credentials: Credentials, on_lost: Callable[[], None]
    ) -> None:
        self.address = address
        self._credentials = credentials
        self._on_lost = on_lost
        self._protocol: _Protocol | None = None
        self._task: asyncio.Task[None] | None = None
        self._unsent: list[_UnsentCommands] = []
        self._rng = random.Random()
        self._last_failure = ""
        self.connects = 0

    def start(self) -> None:
        """Starts to connect, which is repeated whenever the connection is lost."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._reconnect())

    async def close(self) -> None:
        """Closes the connection permanently."""
        if self._task is not None:
            self._task.cancel()
        if self._protocol is not None and self._protocol.transport is not None:
            self._protocol.transport.abort()

    @property
    def is_ready(self) -> bool:
        """Returns whether commands can be sent now."""
        return self._protocol is not None

    def send(self, commands: Sequence[Command], callback: ReplyCallback) -> None:
        """Sends the commands together.

        `callback` is called once with their replies, and never from within this call.
        """
        loop = asyncio.get_running_loop()
        protocol = self._protocol
        if protocol is not None and protocol.transport is not None and protocol.is_unresponsive(loop.time()):
            protocol.transport.abort()
            protocol = None
        if protocol is None or protocol.pending_commands + len(commands) > MAX_PENDING_COMMANDS:
            loop.call_soon(callback, None)
            return
        if not self._unsent:
            loop.call_soon(self._flush)
        data = b"".join(map(_packed, commands))
        self._unsent.append(_UnsentCommands(data, len(commands), callback))

    def _flush(self) -> None:
        batch = self._unsent
        self._unsent = []
        if self._protocol is None:
            for each in batch:
                each.callback(None)
            return
        # The commands are joined into one write, as each write is a system call.
        data = b"".join(each.data for each in batch)
        for each in batch:
            self._protocol.send(data, each.count, each.callback)
            data = b""

    def on_connection_lost(self, protocol: asyncio.Protocol) -> None:
        """Starts to reconnect after the connection was lost; the commands that were sent on it failed."""
        if self._protocol is protocol:
            self._protocol = None
            self._on_lost()
            self._task = asyncio.get_running_loop().create_task(self._reconnect())

    async def _reconnect(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    self._protocol = await self._connect()
                self.connects += 1
                if self._last_failure:
                    log.warning("counter: %s:%d: connected again", *self.address)
                self._last_failure = ""
                return
            except (OSError, TimeoutError, ValueError) as error:
                self._log_failure(str(error) or type(error).__name__)
                self._on_lost()
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _log_failure(self, reason: str) -> None:
        """Logs the reason why a connection failed, unless the previous attempt failed for the same reason."""
        if reason != self._last_failure:
            log.warning("counter: %s:%d: connection failed: %s", *self.address, reason)
        self._last_failure = reason

    async def _connect(self) -> _Protocol:
        loop = asyncio.get_running_loop()
        password = b""
        if self._credentials.password_file:
            password = Path(self._credentials.password_file).read_bytes().strip()
        _, protocol = await loop.create_connection(
            lambda: _Protocol(self), *self.address, ssl=self._credentials.tls
        )
        try:
            await self._authenticate(protocol, password)
        except BaseException:
            if protocol.transport is not None:
                protocol.transport.abort()
            raise
        return protocol

    async def _authenticate(self, protocol: _Protocol, password: bytes) -> None:
        """Performs the RESP3 handshake; raises `ValueError` if the server rejects it."""
        user = self._credentials.user
        hello: list[bytes] = [b"HELLO", b"3"]
        if self._credentials.password_file:
            hello += [b"AUTH", (user or "default").encode(), password]
        reply = await self._call(protocol, tuple(hello))
        if isinstance(reply, ErrorReply) and reply.code in ("ERR", "NOPROTO"):
            # The server is older than HELLO or has no RESP3, so RESP2 and AUTH alone are used.
            reply = True
            if password:
                arguments = (user.encode(), password) if user else (password,)
                reply = await self._call(protocol, (b"AUTH", *arguments))
        if isinstance(reply, ErrorReply):
            raise ValueError(f"authentication rejected: {reply.code}")

    async def _call(self, protocol: _Protocol, command: Command) -> Any:
        future: asyncio.Future[list[Any] | None] = asyncio.get_running_loop().create_future()

        def resolve(replies: list[Any] | None) -> None:
            if not future.done():
                future.set_result(replies)

        protocol.send(_packed(command), 1, resolve)
        replies = await future
        if replies is None:
            raise ConnectionResetError("connection closed during the handshake")
        return replies[0]
