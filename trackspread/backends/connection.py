"""One connection to a backend, with at most one attempt at a time on it.

May know: bytes, time, the socket, outcomes. May not know: the protocol spoken (`adapter.Adapter`), other
connections.
"""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from functools import partial
from typing import Protocol, cast

from ..config.addresses import Address
from ..decide.events import Outcome
from ..lag import LagTolerantTimer
from ..logs import RateLimitFilter
from .adapter import Answer, InvalidAnswer
from .attempt import Attempt
from .pool_context import PoolContext

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

NS_PER_S = 1_000_000_000
STALL_TIMEOUT_S = 0.5  # without a byte of an answer that has begun: several round trips
LONG_VALUE_STALL_TIMEOUT_S = 10.0  # without a byte of a long value: clients take seconds, the dead for ever
# From the start of a write: a reset this soon means a stale connection; over a round trip.
STALE_RESET_WINDOW_S = 0.02


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    context: PoolContext
    address: Address

    def connected(self, connection: BackendConnection) -> None:
        """It is established."""

    def release(self, connection: BackendConnection) -> None:
        """Its answer is complete: it is idle."""

    def lost(self, connection: BackendConnection) -> None:
        """It is closed; may be called more than once."""


class BackendConnection(asyncio.Protocol):
    """One connection; its attempt's bytes are known to be out once the write buffer is empty."""

    __slots__ = (
        "_is_paused",
        "answers",
        "attempt",
        "has_unsent_bytes",
        "idle_before_request_s",
        "idle_since_s",
        "incarnation",
        "is_forwarding_value",
        "owner",
        "task",
        "timer",
        "transport",
        "write_started_at_s",
    )

    def __init__(self, owner: ConnectionOwner, incarnation: int, attempt: Attempt) -> None:
        """`incarnation`: of the backend's process that it leads to."""
        self.owner = owner
        self.incarnation = incarnation
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: LagTolerantTimer | None = None
        self.answers = owner.context.adapter.answer_reader()
        self.has_unsent_bytes = True
        self.idle_since_s = 0.0
        self.write_started_at_s = 0.0
        self.idle_before_request_s = -1.0  # negative on a new connection
        self.is_forwarding_value = False
        self._is_paused = False

    @property
    def _open_transport(self) -> asyncio.Transport:
        """The transport of a connection that was established."""
        return cast(asyncio.Transport, self.transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the connection to its owner, or close it if its attempt has ended meanwhile."""
        self.transport = cast(asyncio.Transport, transport)
        if self.attempt is None:
            self.transport.abort()
            return
        # Without a buffer a write goes out at once, and `pause_writing` shows that some of it did not.
        self.transport.set_write_buffer_limits(high=0)
        # What is read at once has to be kept until a slower client takes it.
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.owner.context.receive_buffer_bytes)
        self.owner.connected(self)

    # Writing.

    def write(self, attempt: Attempt, now_ns: int) -> None:
        """Send the attempt's request."""
        context = self.owner.context
        transport = self._open_transport
        attempt.connection = self
        self.attempt = attempt
        self.has_unsent_bytes = True
        self.write_started_at_s = context.time()
        if self.idle_since_s:
            self.idle_before_request_s = self.write_started_at_s - self.idle_since_s
            context.idle_age.record_use(self.idle_before_request_s)
        payload = attempt.encode(context.adapter, now_ns)
        if isinstance(payload, list):
            transport.writelines(payload)
        else:
            transport.write(payload)
        # A write that met a broken connection leaves the transport closing, with nothing sent.
        self.has_unsent_bytes = transport.is_closing() or transport.get_write_buffer_size() > 0
        if not self.has_unsent_bytes:
            self._request_written()
        elif attempt.not_after_ns:
            # No `LagTolerantTimer`: the last bytes could go out in the turns that it waits for sockets.
            delay_s = max(0, attempt.not_after_ns - now_ns) / NS_PER_S
            context.loop.call_later(delay_s, context.attempts.withdraw, attempt)

    def _request_written(self) -> None:
        """The request's last byte has gone out: notify once, however the buffer came to be empty."""
        attempt = self.attempt
        if attempt is not None and attempt.call is not None and not attempt.is_written:
            attempt.is_written = True
            self.owner.context.attempts.observer.attempt_written()

    def pause_writing(self) -> None:
        """Some of the request is still in the write buffer."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """The write buffer is empty."""
        if self.has_unsent_bytes:
            self.has_unsent_bytes = False
            self._request_written()

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Read the attempt's answer."""
        attempt = self.attempt
        if attempt is None or self.has_unsent_bytes:
            self._unexpected_data(attempt)
            return
        self.cancel_timer()
        try:
            end, answer = self.answers.read(data, attempt.call is None, self)
        except InvalidAnswer as error:
            self._invalid_answer(str(error))
            return
        if self.attempt is None:
            return  # the value that has begun is not wanted
        if answer is None:
            self._await_more()
        else:
            self._answered(attempt, answer, has_surplus=end < len(data))

    def _unexpected_data(self, attempt: Attempt | None) -> None:
        """Bytes without a request: what comes next on this connection could belong to any."""
        self.drop()
        if attempt is not None:
            self._finish(attempt, Outcome.CONNECT_FAILED)

    def _answered(self, attempt: Attempt, answer: Answer, has_surplus: bool) -> None:
        self.attempt = None
        self.is_forwarding_value = False
        if has_surplus:
            self.drop()  # what follows the answer belongs to no request, and more of it may come
        else:
            self.owner.release(self)
        self.owner.context.attempts.finish(attempt, *answer)

    def _await_more(self) -> None:
        """More of the answer is to come, and in time."""
        self.cancel_timer()
        if self._is_paused:
            return
        timeout_s = LONG_VALUE_STALL_TIMEOUT_S if self.is_forwarding_value else STALL_TIMEOUT_S
        stalled = partial(self._invalid_answer, "answer without end")
        self.timer = LagTolerantTimer(self.owner.context.loop, timeout_s, stalled)

    def _invalid_answer(self, reason: str) -> None:
        """The request may have run; no later answer here can be matched to its request."""
        attempt = cast(Attempt, self.attempt)
        host, port = self.owner.address
        log.warning("backend %s:%d: invalid answer, connection closed: %s", host, port, reason)
        self.drop()
        self._finish(attempt, Outcome.RESET)

    # A long value, forwarded while it arrives.

    def value_begins(self, length: int) -> None:
        """Offer the value to the observer; drop the connection if it is not wanted."""
        attempt = cast(Attempt, self.attempt)
        attempt.cancel_timeout()  # an answer that arrives is not cut off
        observer = self.owner.context.attempts.observer
        self.is_forwarding_value = observer.value_begins(attempt, length, self)
        if not self.is_forwarding_value:
            self.attempt = None
            self.drop()
            self._finish(attempt, Outcome.CANCELLED)

    def value_piece(self, data: bytes) -> None:
        """Forward the next bytes of the value."""
        if self.attempt is not None and self.is_forwarding_value:
            self.owner.context.attempts.observer.value_piece(self.attempt, data)

    def pause(self) -> None:
        """Read no more for now: the client is slower than the backend."""
        if self.is_forwarding_value and not self._is_paused and not self._open_transport.is_closing():
            self._is_paused = True
            self.cancel_timer()
            self._open_transport.pause_reading()

    def resume(self) -> None:
        """Read on after `pause`."""
        if self._is_paused and not self._open_transport.is_closing():
            self._is_paused = False
            self._open_transport.resume_reading()
            self._await_more()

    # Reuse and end.

    def is_reusable(self) -> bool:
        """Whether the connection is open with nothing unread in its socket.

        A second copy of an answer would be taken for the next one, and a request written behind the
        backend's end of stream may be thought to have run.
        """
        if self._open_transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._open_transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    def cancel_timer(self) -> None:
        """Stop the time-out of connecting or of a stalled answer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt that was on it."""
        attempt = self.attempt
        self.attempt = None
        self.cancel_timer()
        self.owner.lost(self)
        if attempt is None:
            return
        context = self.owner.context
        was_reset_at_once = (
            not self.answers.is_midway and context.time() - self.write_started_at_s <= STALE_RESET_WINDOW_S
        )
        if self.idle_before_request_s >= 0.0 and was_reset_at_once:
            context.idle_age.record_reset(self.idle_before_request_s)
        self._finish(attempt, Outcome.CONNECT_FAILED if self.has_unsent_bytes else Outcome.RESET)

    def drop(self) -> None:
        """Close at once: nothing more is sent, and what still arrives is ignored."""
        self.attempt = None
        self.cancel_timer()
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not None:
            self.task.cancel()
        self.owner.lost(self)

    def _finish(self, attempt: Attempt, outcome: Outcome) -> None:
        self.owner.context.attempts.finish(attempt, outcome)
