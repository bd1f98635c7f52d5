"""One connection to one server of the counter: pipelined commands out, replies back in their order.

What is written in one turn of the loop goes out together. A connection that is not there fails what is asked
of it at once; it is made anew with growing pauses. It ends after an answer that is none, or none for long.

May know: RESP, TLS, credentials. May not know: what commands mean.
"""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import hiredis

from .commands import Command, Refused

log = logging.getLogger(__name__)

CONNECT_MOST = 1.0  # s for TCP, TLS and the handshake
PAUSE_LEAST, PAUSE_MOST = 0.05, 2.0  # s between tries; twice as long after each, drawn from half of it up
OWED_MOST = 4096  # commands without a reply: a counter that is so far behind is of no use
STUCK = 1.0  # s without any reply while some are owed, after which a connection is given up
Done = Callable[[list[Any] | None], None]  # replies, or None where there will be none


@dataclass(frozen=True, slots=True)
class Access:
    """How a server is spoken to. `password_file` is read anew for each connection and never logged."""

    user: str = ""
    password_file: str = ""
    tls: ssl.SSLContext | None = None


def _packed(command: Command) -> bytes:
    return bytes(hiredis.pack_command(command))  # type: ignore[arg-type]


@dataclass(slots=True)
class _Owed:
    count: int
    done: Done
    replies: list[Any]


class _Line(asyncio.Protocol):
    def __init__(self, link: Link) -> None:
        self._link = link
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.owed: deque[_Owed] = deque()
        self.owing = 0
        self.heard_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, count: int, done: Done) -> None:
        assert self.transport is not None
        if not self.owed:
            self.heard_at = asyncio.get_running_loop().time()
        self.owed.append(_Owed(count, done, []))
        self.owing += count
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self._take(reply)
        except (hiredis.ProtocolError, IndexError) as error:
            log.warning("counter: an answer that is none: %s", type(error).__name__)
            if self.transport is not None:
                self.transport.abort()

    def _take(self, reply: Any) -> None:
        first = self.owed[0]
        first.replies.append(Refused(str(reply)) if isinstance(reply, hiredis.ReplyError) else reply)
        self.owing -= 1
        if len(first.replies) == first.count:
            self.owed.popleft()
            first.done(first.replies)

    def connection_lost(self, error: Exception | None) -> None:
        owed, self.owed, self.owing = self.owed, deque(), 0
        self._link.gone(self)
        for each in owed:
            each.done(None)


class Link:
    """A connection that is made anew whenever it ended, until `close`."""

    def __init__(self, address: tuple[str, int], access: Access, lost: Callable[[], None]) -> None:
        self.address, self._access, self._lost = address, access, lost
        self._line: _Line | None = None
        self._task: asyncio.Task[None] | None = None
        self._batch: list[tuple[bytes, int, Done]] = []
        self._rng = random.Random()
        self._told = ""
        self.connects = 0

    def start(self) -> None:
        """Connect, and again whenever the connection is lost."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._keep())

    async def close(self) -> None:
        """End the connection for good."""
        if self._task is not None:
            self._task.cancel()
        if self._line is not None and self._line.transport is not None:
            self._line.transport.abort()

    @property
    def ready(self) -> bool:
        """Whether a call could be sent now."""
        return self._line is not None

    def send(self, commands: Sequence[Command], done: Done) -> None:
        """`done` is called once, never within this call."""
        loop = asyncio.get_running_loop()
        line = self._line
        stuck = line is not None and line.owed and loop.time() - line.heard_at > STUCK
        if stuck and line is not None and line.transport is not None:
            line.transport.abort()
            line = None
        if line is None or line.owing + len(commands) > OWED_MOST:
            loop.call_soon(done, None)
            return
        if not self._batch:
            loop.call_soon(self._flush)
        data = b"".join(map(_packed, commands))
        self._batch.append((data, len(commands), done))

    def _flush(self) -> None:
        batch, self._batch = self._batch, []
        if self._line is None:
            for _, _, done in batch:
                done(None)
            return
        # One write for all: each of them alone would be a system call.
        for number, (_, count, done) in enumerate(batch):
            self._line.send(b"".join(data for data, _, _ in batch) if not number else b"", count, done)

    def gone(self, line: _Line) -> None:
        """The connection `line` is lost: what was sent on it has failed."""
        if self._line is line:
            self._line = None
            self._lost()
            self._task = asyncio.get_running_loop().create_task(self._keep())

    async def _keep(self) -> None:
        pause = PAUSE_LEAST
        while True:
            try:
                async with asyncio.timeout(CONNECT_MOST):
                    self._line = await self._connect()
                self.connects += 1
                if self._told:
                    log.warning("counter: %s:%d is there again", *self.address)
                self._told = ""
                return
            except (OSError, TimeoutError, ValueError) as error:
                why = str(error) or type(error).__name__
                if why != self._told:
                    log.warning("counter: %s:%d: %s", *self.address, why)
                self._told = why
                self._lost()
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
            pause = min(PAUSE_MOST, 2 * pause)

    async def _connect(self) -> _Line:
        loop = asyncio.get_running_loop()
        hello: list[bytes] = [b"HELLO", b"3"]
        secret = b""
        if self._access.password_file:
            secret = Path(self._access.password_file).read_bytes().strip()
            hello += [b"AUTH", (self._access.user or "default").encode(), secret]
        _, line = await loop.create_connection(lambda: _Line(self), *self.address, ssl=self._access.tls)
        try:
            answer = await self._one(line, tuple(hello))
            if isinstance(answer, Refused) and answer.code in ("ERR", "NOPROTO"):
                # A server from before HELLO, or without RESP3: the same by the older words.
                answer = True
                if secret:
                    words = (self._access.user.encode(), secret) if self._access.user else (secret,)
                    answer = await self._one(line, (b"AUTH", *words))
            if isinstance(answer, Refused):
                raise ValueError(f"not let in: {answer.code}")
        except BaseException:
            if line.transport is not None:
                line.transport.abort()
            raise
        return line

    async def _one(self, line: _Line, command: Command) -> Any:
        done: asyncio.Future[list[Any] | None] = asyncio.get_running_loop().create_future()
        line.send(_packed(command), 1, lambda replies: None if done.done() else done.set_result(replies))
        replies = await done
        if replies is None:
            raise ConnectionResetError("it ended in the handshake")
        return replies[0]
