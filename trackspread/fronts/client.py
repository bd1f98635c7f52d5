"""One client's connection: order of its answers, what it may take its time for, backpressure, alike for
every front.

May know: bytes, time, its own place among the others. May not know: the protocol spoken (`seam.Front`), nor
what becomes of a call. A front that answers in another order than that of the calls needs more than this.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import select
import struct
import termios
from collections import deque
from typing import TYPE_CHECKING, cast

from ..call import Call
from ..call import InvalidCall, PausableSource
from ..logs import RateLimitFilter
from .seam import Broken, Front, Item, Ping

if TYPE_CHECKING:
    from .connections import Clients

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

IDLE_CROWDED = 2.0  # s at rest that every connection is granted where few are left
CARRY_MOST = 32 << 10  # bytes of what a client has said that go with its connection to another process
LONG_UNREAD = 10.0  # s in which a client takes nothing of a long value: it may take seconds for a piece
LINGER = 0.75  # s that what a client still sends is read on and dropped, once all is answered
LINGER_MOST = 1 << 20  # bytes of it; more is left unread
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # of a socket: its other side sends nothing more


class Slot:
    """The place of one answer in its connection's order."""

    __slots__ = ("answer", "client", "request", "source", "waiting")

    def __init__(self, client: Client, request: int = -1) -> None:
        self.client = client
        self.request = request
        self.answer: bytes | None = None
        self.source: PausableSource | None = None  # of a long value that is passed on as it comes
        self.waiting: list[bytes] | None = None  # what came of it before its turn; None once it has its turn

    def begins(self, call: Call, length: int, source: PausableSource) -> None:
        self.source, self.waiting = source, [self.client.front.begins(call, length)]
        self.client.begins(self)

    def piece(self, data: bytes) -> None:
        if self.waiting is not None:
            self.waiting.append(data)
        else:
            self.client.write(data)

    def whole(self, call: Call) -> None:
        last = self.client.front.whole(call)
        self.source = None
        if self.waiting is None:
            return self.client.whole(self, last)
        waiting = self.waiting
        self.waiting = None
        self.client.answer(self, b"".join([*waiting, last]))

    def cut(self, call: Call) -> None:
        """The value can't be finished: the client is to see that, or is told so if it has seen nothing
        yet."""
        self.source = None
        if self.waiting is not None:
            self.waiting = None
            self.client.answer(self, self.client.front.failed(call, "failed"))
        else:
            self.client.cut()

    def served(self, call: Call, value: bytes) -> None:
        self.client.answer(self, self.client.front.served(call, value))

    def refused(self, call: Call, wait_ms: int) -> None:
        self.client.answer(self, self.client.front.refused(call, wait_ms))

    def failed(self, call: Call, reason: str) -> None:
        self.client.answer(self, self.client.front.failed(call, reason))


class Client(asyncio.Protocol):
    """One client's connection."""

    __slots__ = (
        "_before",
        "_blocked",
        "_end_poll",
        "_ending",
        "_half",
        "_late",
        "_lingering",
        "_long",
        "_owner",
        "_read_on",
        "_reading",
        "_rest",
        "_rest_at",
        "_taking",
        "_transport",
        "_unsent",
        "front",
        "roomless",
        "said",
        "seen",
        "slots",
    )

    def __init__(self, owner: Clients, front: Front, before: bytes = b"") -> None:
        """`before`: what another process had read of it."""
        self._owner = owner
        self.front = front
        self._before = before
        self._reading = self.front.reading()
        self._transport: asyncio.Transport | None = None
        self._end_poll = select.poll()  # asks the kernel whether the other side sends nothing more
        self._ending = False  # nothing more is taken; closed once all that was taken is answered
        self._lingering = 0.0  # when reading on ends, once the last answer is written
        self._late = 0  # bytes read on since then
        self._half = 0.0  # when the first byte of a command came whose last has not; 0 for none
        # read, but not taken yet, and since when
        self._rest = b""
        self._rest_at = 0.0
        self._blocked = 0.0  # since when what waits for the client has not grown less; 0 if nothing waits
        self._unsent = 0  # bytes of it at that time
        self._long = False  # whether what waits for the client is of a long value
        self._read_on = True
        self._taking = False  # more may lie behind the command that is being taken
        self.roomless = False  # a long body is coming, and there is no room for more of it
        self.said = False  # whether a whole command ever came
        self.seen = owner.time()  # when it last came to rest
        self.slots: deque[Slot] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=self._owner.buffer)
        self._end_poll.register(self._transport.get_extra_info("socket").fileno(), ENDED)
        self._owner.came(self)
        before = self._before
        self._before = b""
        if before and not self._transport.is_closing():
            self.data_received(before)

    def data_received(self, data: bytes) -> None:
        if self._ending:
            self._late += len(data)
            if self._late > LINGER_MOST:
                self._gate()
        elif self._rest:
            self._hold(self._rest + data)
        else:
            self._take(data, 0.0)

    def _take(self, data: bytes, waited: float) -> None:
        """Command by command, as far as they may be taken now; `waited` counts in for each."""
        self._taking = True
        try:
            self._take_from(data, waited)
        finally:
            self._taking = False
        if self._owner.closing and self.resting():
            self.close()

    def _take_from(self, data: bytes, waited: float) -> None:
        at = 0
        while at < len(data) and not self._ending:
            if len(self.slots) >= self._owner.bounds.pipeline or self._blocked or self._owner.handing:
                return self._hold(data[at:])
            try:
                end, item = self._reading.read(data, at)
            except Broken as error:
                return self._broken(str(error))
            if item is None:
                self._half = self._half or self._owner.time()
                if self._reading.held:
                    self._half = self._owner.time()  # a long body may take its time, as long as it moves
                    self._owner.bodies.grew(self, self._reading.held)
                return
            at = end
            self._half = 0.0
            self._item(item, waited)

    def _hold(self, rest: bytes) -> None:
        """Backpressure: more commands than are worked on at once stay where they are."""
        if not self._rest:
            self._rest_at = self._owner.time()
        self._owner.held += len(rest) - len(self._rest)
        self._rest = rest
        if self._owner.held > self._owner.memory and not self._owner.handing:
            self._release()
            return self._broken("too many commands at once")
        self._gate()

    def _release(self) -> bytes:
        rest = self._rest
        self._rest = b""
        self._owner.held -= len(rest)
        return rest

    def _go_on(self) -> None:
        if self._owner.handing:
            self._owner.leave(self)
        elif self.gone():
            return self.abort()
        elif self._rest and not self._ending and not cast(asyncio.Transport, self._transport).is_closing():
            waited = self._owner.time() - self._rest_at
            self._take(self._release(), waited)
        self._gate()

    def _gate(self) -> None:
        """Read only what can be taken."""
        read_on = (
            self._late <= LINGER_MOST
            if self._ending
            else not (self._rest or self._blocked or self._owner.handing or self.roomless)
        )
        if read_on is not self._read_on:
            self._read_on = read_on
            transport = cast(asyncio.Transport, self._transport)
            if not transport.is_closing():
                (transport.resume_reading if read_on else transport.pause_reading)()
                self._owner.reads(self, read_on)

    def gone(self) -> bool:
        """Whether the client has left, which nothing tells where its connection is not read."""
        if self._read_on or cast(asyncio.Transport, self._transport).is_closing():
            return False
        return self.ended()

    def ended(self) -> bool:
        """Whether the connection is over, by the kernel's word: its end may lie behind bytes that are not
        read yet, or have come in this turn of the loop."""
        return cast(asyncio.Transport, self._transport).is_closing() or bool(self._end_poll.poll(0))

    def room(self, there: bool) -> None:
        """Whether there is room for more of the long body that is coming."""
        if there is self.roomless:
            self.roomless = not there
            self._half = self._owner.time()
            self._gate()

    def pause_writing(self) -> None:
        self._blocked = self._owner.time()
        self._unsent = cast(asyncio.Transport, self._transport).get_write_buffer_size()
        if (source := self._source()) is not None:
            source.pause()
        self._gate()

    def _source(self) -> PausableSource | None:
        """Of the long value that is going out."""
        return self.slots[0].source if self.slots and self.slots[0].waiting is None else None

    def resume_writing(self) -> None:
        self._blocked = 0.0
        if (source := self._source()) is not None:
            source.resume()
        else:
            self._long = False
        self._go_on()

    def _broken(self, reason: str) -> None:
        """Where the next command begins can't be known any more; what was taken before is still answered,
        or closing at once would lose it (rule 1)."""
        log.warning("client sent what can't be read: %s", reason)
        self._half = 0.0
        self._ending = True
        slot = Slot(self)
        self.slots.append(slot)
        self._gate()
        self.answer(slot, self.front.broken(reason))

    def _item(self, item: Item, waited: float) -> None:
        slot = Slot(self)
        self.slots.append(slot)
        self._owner.spoke(self)
        if self._reading.had:
            self._owner.bodies.whole(self, slot, item.body_bytes if isinstance(item, Call) else 0)
        if isinstance(item, Call):
            try:
                self._owner.requests.take(item, slot, waited)
            except InvalidCall as error:
                self.answer(slot, self.front.bad(str(error)))
        elif isinstance(item, Ping):
            self.answer(slot, self.front.pong(self._owner.requests.ready()))
        else:
            self.answer(slot, item)

    def answer(self, slot: Slot, answer: bytes) -> None:
        """Kept until all before it on this connection are answered."""
        slot.answer = answer
        if self._owner.bodies.held:
            self._owner.bodies.gone(slot)
        slots, transport = self.slots, cast(asyncio.Transport, self._transport)
        if not slots or slots[0] is not slot:
            return
        if len(slots) == 1:
            slots.popleft()
            transport.write(answer)
        else:
            out = []
            while slots and slots[0].answer is not None:
                out.append(slots.popleft().answer or b"")
            transport.write(b"".join(out))
        if slots:
            if slots[0].source is not None:
                self.begins(slots[0])
            if self._rest and len(slots) < self._owner.bounds.pipeline:
                self._owner.soon(self._go_on)
            return
        self.seen = self._owner.time()
        if self._ending:
            self._linger()
        elif self._owner.handing:
            self._owner.leave(self)
        elif self._rest:
            self._owner.soon(self._go_on)
        elif self._owner.closing and self.resting():
            # A client in a hurry would never be found at rest by a look now and then.
            self.close()

    def begins(self, slot: Slot) -> None:
        """A long value has begun to come: it goes out in its turn, at the client's pace."""
        source = cast(PausableSource, slot.source)
        if self.slots[0] is not slot:
            return source.pause()
        transport, waiting = cast(asyncio.Transport, self._transport), slot.waiting or []
        slot.waiting = None
        self._long = True
        # With no room in the buffer a pause tells at once that the client takes less than comes.
        transport.set_write_buffer_limits(high=0)
        (source.pause if self._blocked else source.resume)()
        transport.write(b"".join(waiting))

    def write(self, data: bytes) -> None:
        cast(asyncio.Transport, self._transport).write(data)

    def whole(self, slot: Slot, last: bytes) -> None:
        cast(asyncio.Transport, self._transport).set_write_buffer_limits(high=self._owner.buffer)
        self.answer(slot, last)

    def cut(self) -> None:
        """What has begun can't be finished: the connection ends there, once what came of it is out."""
        self._ending = True
        cast(asyncio.Transport, self._transport).close()

    def close(self) -> None:
        """Take nothing more, and end once all is written. Bytes that come in this very moment are read and
        dropped: the client sees an end with no answer, and sends its request once more elsewhere."""
        self._ending = True
        self._linger()

    def _linger(self) -> None:
        """Half-close: to close on bytes that came unread is to reset, and a reset may take answers along that
        the client has not read yet."""
        transport = cast(asyncio.Transport, self._transport)
        if not self._lingering and not transport.is_closing():
            self._lingering = self._owner.time() + LINGER
            transport.write_eof()

    def hold(self) -> None:
        """Another process is about to take over, or has given up doing so: nothing is read, or again."""
        if not self._ending:
            self._gate()
            if not self._owner.handing:
                self._owner.soon(self._go_on)

    def depart(self) -> tuple[int, bytes] | None:
        """A descriptor of the connection and what was read of it that is not taken, for another process,
        where nothing is owed here and nothing unwritten; None where it has to stay."""
        transport = cast(asyncio.Transport, self._transport)
        busy = self.slots or self._ending or self._taking or transport.is_closing()
        if busy or transport.get_write_buffer_size() or self._reading.size + len(self._rest) > CARRY_MOST:
            return None
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        return descriptor, self._reading.unread() + self._release()

    def look(self, now: float, crowded: bool) -> None:
        """Whether this connection has had its time."""
        transport = cast(asyncio.Transport, self._transport)
        unsent = transport.get_write_buffer_size()
        if self._blocked or transport.is_closing() or (self._lingering and unsent):
            # Also one that is closed or ends stays until what waits for the client is out.
            if not self._blocked or unsent < self._unsent:
                self._blocked = now
                self._unsent = unsent
            elif now - self._blocked >= self._patience():
                log.warning("client does not read its answers")
                self.abort()
        elif self._lingering:
            if now >= self._lingering:
                self.abort()
        elif self._half:
            # Whoever has said nothing yet has had its time from connecting on.
            since = self._half if self.said or self._reading.held else self.seen
            if now - since >= (LONG_UNREAD if self._reading.held else self._owner.bounds.mute_s):
                self._broken("command without end")
        elif not self.slots and not self._rest:
            bounds = self._owner.bounds
            idle = bounds.mute_s if not self.said else IDLE_CROWDED if crowded else bounds.idle_s
            if now - self.seen >= idle and self.resting():
                self.close()

    def _patience(self) -> float:
        """s for which a client may take nothing: a slow one that moves is not a dead one."""
        return max(self._owner.bounds.unread_s, LONG_UNREAD if self._long else 0.0)

    def eof_received(self) -> None:
        """The client has gone, though the transport closes only once its last answers are out: it may take
        none of them."""
        self._abandon()

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.went(self)
        self._owner.bodies.left(self)
        self._release()
        self._abandon()

    def _abandon(self) -> None:
        """Nobody waits for what is owed here any more."""
        slots = self.slots
        self.slots = deque()
        for slot in slots:
            self._owner.bodies.gone(slot)
            if slot.answer is None:
                self._owner.requests.left(slot.request)

    def gives_way(self) -> bool:
        """Whether its descriptor is free once it is aborted: nothing is owed, and nothing waits unread."""
        over = self._lingering > 0.0 or self.resting()
        return over and not cast(asyncio.Transport, self._transport).get_write_buffer_size()

    def resting(self) -> bool:
        """Between requests, with nothing unread in the socket; what is unwritten goes out before a close."""
        transport = cast(asyncio.Transport, self._transport)
        busy = self.slots or self._rest or self._taking or self._reading.midway or self._ending
        if busy or transport.is_closing():
            return False
        waiting = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return bool(struct.unpack("i", waiting)[0] == 0)

    def abort(self) -> None:
        cast(asyncio.Transport, self._transport).abort()
