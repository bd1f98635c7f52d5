"""Connection pools to the backends, and one attempt at a time on each connection.

May know: bytes, time, descriptors, the outcomes. May not know: the protocol spoken (`seam.Dialect`), or which
backend a request goes to, how often and for how long: that is the decision module's.
"""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import cast

from ..call import Call
from ..config.addresses import Address
from ..decide.events import Outcome
from ..lag import Later
from ..logs import Sparing
from .ages import Ages
from .seam import Dialect, Hearer, Report, Spoilt

log = logging.getLogger(__name__)
log.addFilter(Sparing())

STALL = 0.5  # s without a byte after which an answer that has begun counts as spoilt: several round trips
LONG_STALL = 10.0  # s without a byte of a long value while it is read: peers take seconds, the dead for ever
# Bytes that the kernel is to hold of one connection's answers; it holds, and so delivers at once, twice that
# at most. Under the least, pieces of a kilobyte come at 70 KB/s, as the kernel counts each with what it
# takes up itself.
UNREAD_MOST, UNREAD_LEAST = 64 << 10, 32 << 10
UNREAD_PART = 0.25  # of the memory, for what all connections together may deliver at once
SETTLE = 0.005  # s that a connection rests after an answer, where another is free: a second copy may follow
RETIRE = 0.5  # part of the idle limit after which a connection is closed: well before its backend does so
SWEEP = 1.0  # s between looks for idle connections to retire
AGE_BREAK = 0.02  # s after a request's last byte in which a reset is the answer to it: over a round trip
MILLISECOND, SECOND = 1_000_000, 1_000_000_000


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of one request at one backend; a probe if `call` is None."""

    request: int
    index: int
    backend: int
    started: int
    expires: int
    call: Call | None
    until: int = 0  # ns of the clock by which its last byte has to be out, 0 for no such time
    link: _Link | None = None
    timer: Later | None = None
    written: bool = False
    over: bool = False  # its end has been told

    def quiet(self) -> None:
        """It is waited for without a limit of its own from now on."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def payload(self, dialect: Dialect, now: int) -> bytes | list[bytes]:
        """`d` is the time for which this attempt is waited for."""
        if self.call is None:
            return dialect.probe()
        return dialect.request(self.call, max(1, -(-(self.expires - now) // MILLISECOND)))


class _Link(asyncio.Protocol):
    """One connection; its attempt's bytes are known to be out once the write buffer is empty."""

    __slots__ = (
        "_paused",
        "age",
        "answers",
        "attempt",
        "booted",
        "idle_at",
        "passing",
        "pool",
        "task",
        "timer",
        "transport",
        "unsent",
        "written_at",
    )

    def __init__(self, pool: _Pool, attempt: Attempt) -> None:
        self.pool, self.booted = pool, pool.booted
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: Later | None = None
        self.answers = pool.owner.dialect.answers()
        self.unsent = True
        self.idle_at = self.written_at = 0.0
        self.age = -1.0  # s at rest before its request; negative on a new one
        self.passing = False  # a long value goes on to somebody as it comes
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.attempt is None:
            self.transport.abort()
            return
        # With no room in the buffer a write goes out at once, and a pause tells that some of it did not.
        self.transport.set_write_buffer_limits(high=0)
        # What is read at once has to be held until a slower client takes it.
        made = transport.get_extra_info("socket")
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.pool.owner.unread)
        self.pool.connected(self)

    def write(self, attempt: Attempt, now: int) -> None:
        transport = cast(asyncio.Transport, self.transport)
        attempt.link, self.attempt = self, attempt
        self.unsent, self.written_at = True, self.pool.owner.time()
        if self.idle_at:
            self.age = self.written_at - self.idle_at
            self.pool.owner.ages.tried(self.age)
        payload = attempt.payload(self.pool.owner.dialect, now)
        if isinstance(payload, list):
            transport.writelines(payload)
        else:
            transport.write(payload)
        # A write that met a broken connection leaves the transport closing, with nothing sent.
        self.unsent = transport.is_closing() or transport.get_write_buffer_size() > 0
        if not self.unsent:
            self._out()
        elif attempt.until:
            owner = self.pool.owner  # not behind the sockets: its last bytes could go out in those turns
            owner.loop.call_later(max(0, attempt.until - now) / SECOND, owner.withdraw, attempt)

    def _out(self) -> None:
        """The request's last byte has gone out: told once, however the buffer came to be empty."""
        attempt = self.attempt
        if attempt is not None and attempt.call is not None and not attempt.written:
            attempt.written = True
            self.pool.owner.hearer.attempt_written()

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        if self.unsent:
            self.unsent = False
            self._out()

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None or self.unsent:
            # Words that nobody asked for: what comes next on this connection could belong to anything.
            self.drop()
            if attempt is not None:
                self.pool.finish(attempt, Outcome.CONNECT_FAILED)
            return
        if self.timer is not None:
            self.quiet()
        try:
            end, ending = self.answers.read(data, attempt.call is None, self)
        except Spoilt as error:
            return self._spoilt(str(error))
        if self.attempt is None:
            return  # nobody wants the value that has begun
        if ending is None:
            self._listen()
            return
        self.attempt, self.passing = None, False
        if end < len(data):
            self.drop()  # what follows the answer is nobody's, and more of it may come
        else:
            self.pool.release(self)
        self.pool.finish(attempt, *ending)

    def _listen(self) -> None:
        """More of the answer is to come, and in time."""
        self.quiet()
        if not self._paused:
            wait = LONG_STALL if self.passing else STALL
            self.timer = Later(self.pool.owner.loop, wait, partial(self._spoilt, "answer without end"))

    def begins(self, length: int) -> None:
        attempt = cast(Attempt, self.attempt)
        attempt.quiet()  # what is coming is not cut off
        self.passing = self.pool.owner.hearer.value_begins(attempt, length, self)
        if not self.passing:
            self.attempt = None
            self.drop()
            self.pool.finish(attempt, Outcome.CANCELLED)

    def piece(self, data: bytes) -> None:
        if self.attempt is not None and self.passing:
            self.pool.owner.hearer.value_piece(self.attempt, data)

    def pause(self) -> None:
        """Whoever takes the value is slower than the backend."""
        if self.passing and not self._paused and not cast(asyncio.Transport, self.transport).is_closing():
            self._paused = True
            self.quiet()
            cast(asyncio.Transport, self.transport).pause_reading()

    def resume(self) -> None:
        if self._paused and not cast(asyncio.Transport, self.transport).is_closing():
            self._paused = False
            cast(asyncio.Transport, self.transport).resume_reading()
            self._listen()

    def _spoilt(self, why: str) -> None:
        """The request may have run; nothing that comes here from now on can be told apart."""
        attempt = cast(Attempt, self.attempt)
        log.warning("backend %s:%d, spoilt answer: %s", *self.pool.address, why)
        self.drop()
        self.pool.finish(attempt, Outcome.RESET)

    def clean(self) -> bool:
        """Whether neither bytes nor an end lie unread in the socket: a second copy would be taken for the
        next answer, and a request written behind an end may be thought to have run."""
        transport = cast(asyncio.Transport, self.transport)
        if transport.is_closing():
            return False
        look = select.poll()
        look.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not look.poll(0)

    def quiet(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        attempt, self.attempt = self.attempt, None
        self.quiet()
        self.pool.lost(self)
        if attempt is not None:
            owner = self.pool.owner
            at_once = not self.answers.midway and owner.time() - self.written_at <= AGE_BREAK
            if self.age >= 0.0 and at_once:
                owner.ages.broke(self.age)
            self.pool.finish(attempt, Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)

    def drop(self) -> None:
        """Close at once: nothing more is sent, and what still comes is nobody's."""
        self.attempt = None
        self.quiet()
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not None:
            self.task.cancel()
        self.pool.lost(self)


class _Pool:
    """The connections to one backend."""

    def __init__(self, owner: Backends, address: Address, booted: int) -> None:
        self.owner, self.address, self.booted = owner, address, booted
        self.idle: list[_Link] = []
        self.links: set[_Link] = set()
        self.closing_at: float | None = None  # when the grace after a drain's notice ends

    def start(self, attempt: Attempt, now: int) -> None:
        if (link := self._free(SETTLE)) is not None:
            link.write(attempt, now)
            return
        if not self.owner.room():
            if (link := self._free(0.0)) is not None:
                link.write(attempt, now)
                return
            # Out of descriptors: told as what it is, a connection that never came up.
            self.owner.loop.call_soon(self.owner.fail_unsent, attempt)
            return
        link = _Link(self, attempt)
        attempt.link = link
        self.links.add(link)
        self.owner.open += 1
        link.timer = Later(self.owner.loop, self.owner.connect_timeout, partial(self._too_late, link))
        link.task = self.owner.loop.create_task(self._connect(link))

    def _free(self, rested: float) -> _Link | None:
        """The newest idle connection that has rested so long, clean and not about to be closed."""
        now = self.owner.time()
        for at in range(len(self.idle) - 1, -1, -1):
            link = self.idle[at]
            if now - link.idle_at < rested:
                continue
            if now - link.idle_at < self.owner.ages.limit and link.clean():
                del self.idle[at]
                return link
            link.drop()
        return None

    async def _connect(self, link: _Link) -> None:
        try:
            await self.owner.loop.create_connection(lambda: link, *self.address)
        except OSError:
            self._too_late(link)

    def _too_late(self, link: _Link) -> None:
        """Refused, or not up in time: known never to have run."""
        attempt = link.attempt
        link.drop()
        if attempt is not None:
            self.finish(attempt, Outcome.CONNECT_FAILED)

    def connected(self, link: _Link) -> None:
        attempt = cast(Attempt, link.attempt)
        link.quiet()
        if self.closing_at is not None and self.owner.loop.time() >= self.closing_at:
            # Rule 3: decided before the drain was told, but too late to be written now.
            self._too_late(link)
            return
        now = self.owner.clock()
        if attempt.until and now >= attempt.until:
            # Rule 2: decided within the window for repeats, but up too late.
            self.owner.withdraw(attempt)
            return
        if attempt.call is not None and not self.owner.hearer.wanted(attempt):
            self.owner.withdraw(attempt)
            return
        link.write(attempt, now)

    def release(self, link: _Link) -> None:
        """Back to the top of the stack: the rest below grow old and are retired."""
        if self.closing_at is not None or link.booted != self.booted:
            link.drop()
            return
        link.idle_at = self.owner.time()
        self.idle.append(link)

    def lost(self, link: _Link) -> None:
        if link in self.links:
            self.links.remove(link)
            self.owner.open -= 1
            if link in self.idle:
                self.idle.remove(link)

    def finish(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None = None, report: Report | None = None
    ) -> None:
        self.owner.finish(attempt, outcome, value, report or {})

    def retire(self, before: float) -> None:
        """The oldest lie at the bottom."""
        while self.idle and self.idle[0].idle_at <= before:
            self.idle[0].drop()

    def close_idle(self) -> None:
        for link in self.idle[:]:
            link.drop()


class Backends:
    """All pools, bounded together so that descriptors never run out."""

    def __init__(
        self,
        most: int,
        connect_timeout: float,
        idle_limit: float,
        grace: float,
        clock: Callable[[], int],
        dialect: Dialect,
        hearer: Hearer,
        memory: int,
    ) -> None:
        """`memory`: bytes that the process may use."""
        self.loop = asyncio.get_running_loop()
        self.time = self.loop.time
        self.open = 0
        self.connect_timeout, self.ages = connect_timeout, Ages(idle_limit * RETIRE)
        self.clock, self.dialect, self.hearer = clock, dialect, hearer
        self.most = most
        self.unread = max(UNREAD_LEAST, min(UNREAD_MOST, int(memory * UNREAD_PART / most)))
        self._grace = grace
        self._pools: dict[int, _Pool] = {}
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)

    def learn(self, backend: int, address: Address | None, old: bool = False, booted: int = 0) -> None:
        """Where a backend is reached; None once it drains or is gone and gets nothing new. `old`: that may
        have been told to others long ago: its grace may be over, and whoever is connecting to it is not
        written to. `booted`: when its process started, in any unit; another one has none of the connections
        made to it, and what is written to them would end as a reset, as if it might have run."""
        grace = 0.0 if old else self._grace
        pool = self._pools.get(backend)
        if address is None:
            if pool is not None and pool.closing_at is None:
                pool.closing_at = self.loop.time() + grace
                pool.close_idle()
        elif pool is None or pool.address != address or pool.closing_at is not None:
            if pool is not None:
                if pool.address != address:
                    log.warning("backend at %s:%d is at %s:%d now", *pool.address, *address)
                pool.closing_at = pool.closing_at or self.loop.time() + grace
                pool.close_idle()
            self._pools[backend] = _Pool(self, address, booted)
        elif pool.booted != booted:
            pool.booted = booted
            pool.close_idle()

    def known(self) -> list[int]:
        return list(self._pools)

    def usable(self) -> bool:
        """Whether any backend takes requests."""
        return any(pool.closing_at is None for pool in self._pools.values())

    def idle(self) -> int:
        """Connections that wait for an attempt."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def start(self, attempt: Attempt, timeout: float | None) -> None:
        """Exactly one call of `done` follows, never before this returns."""
        if timeout is not None:
            attempt.timer = Later(self.loop, timeout, partial(self.expire, attempt))
        pool = self._pools.get(attempt.backend)
        if pool is None:
            self.loop.call_soon(self.fail_unsent, attempt)
        else:
            pool.start(attempt, attempt.started)

    def fail_unsent(self, attempt: Attempt) -> None:
        self.finish(attempt, Outcome.CONNECT_FAILED, None, {})

    def expire(self, attempt: Attempt) -> None:
        """Stop waiting. What never left the write buffer never ran, anything else may have."""
        link = attempt.link
        unsent = link is None or link.unsent
        self._abandon(attempt, Outcome.CONNECT_FAILED if unsent else Outcome.TIMEOUT)

    def cancel(self, attempt: Attempt) -> None:
        self._abandon(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """Nobody is there any more for whom it would be written, or it may not be sent again any more: what
        has not gone out whole never will. It says nothing about the backend."""
        if not attempt.written:
            self._abandon(attempt, Outcome.NOT_SENT)

    def _abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.link is not None:
            # Answers queue in order: a connection whose answer is not waited for is of no more use.
            attempt.link.drop()
        self.finish(attempt, outcome, None, {})

    def finish(self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: Report) -> None:
        """The first end told counts: one that was put off to the loop's next turn may come second."""
        if attempt.over:
            return
        attempt.over = True
        attempt.link = None
        attempt.quiet()
        self.hearer.attempt_ended(attempt, outcome, value, report)

    def close_idle(self, backend: int) -> None:
        if (pool := self._pools.get(backend)) is not None:
            pool.close_idle()

    def close_all_idle(self) -> None:
        for pool in self._pools.values():
            pool.close_idle()

    def room(self) -> bool:
        """Whether one more connection may be opened; an idle one elsewhere gives way."""
        if self.open >= self.most:
            spare = max(self._pools.values(), key=lambda pool: len(pool.idle), default=None)
            if spare is not None and spare.idle:
                spare.idle[0].drop()
        return self.open < self.most

    def _sweep(self) -> None:
        self.ages.decay()
        before = self.time() - self.ages.limit
        for backend, pool in list(self._pools.items()):
            pool.retire(before)
            if pool.closing_at is not None and not pool.links and self.loop.time() > pool.closing_at:
                del self._pools[backend]
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)

    def close(self) -> None:
        self._sweeper.cancel()
        for pool in self._pools.values():
            for link in list(pool.links):
                link.drop()
