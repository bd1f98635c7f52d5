"""Keeps one connection to a backend, which carries at most one attempt at a time.

It knows bytes, time, the socket and outcomes. It knows neither the protocol that the backend speaks
(`adapter.Adapter`) nor other connections.
"""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import struct
from collections.abc import Mapping
from contextlib import suppress
from functools import partial
from typing import Protocol, cast

from ..config.addresses import Address
from ..decide.events import Outcome
from ..lag import LagTolerantTimer
from ..logs import RateLimitFilter
from ..memory.account import Holder
from ..memory.socket_queues import unacknowledged_bytes
from ..memory.read_buffer import READ_BYTES, SharedBufferProtocol
from .adapter import Answer, InvalidAnswer
from .attempt import Attempt
from .pool_context import PoolContext
from .surplus_answers import SurplusAge

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

NS_PER_S = 1_000_000_000
STALL_TIMEOUT_S = 0.5  # without a byte of an answer that has begun; several round trips
# Without a byte of a long value: a slow client may need seconds, and a failed backend never sends one.
LONG_VALUE_STALL_TIMEOUT_S = 10.0
# After an answer, a connection is not reused for this time, as a second copy of the answer may follow some
# milliseconds late.
REUSE_DELAY_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, for 0 s
# After the start of a write: a reset this soon means a stale connection. Longer than a round trip.
STALE_RESET_WINDOW_S = 0.02


class ConnectionOwner(Protocol):
    """Owns connections; a connection pool implements it."""

    context: PoolContext
    address: Address

    def connected(self, connection: BackendConnection) -> None:
        """Handles that the connection is established."""

    def release(self, connection: BackendConnection) -> None:
        """Handles that the answer is complete and the connection is idle."""

    def lost(self, connection: BackendConnection) -> None:
        """Handles that the connection is closed; may be called more than once."""


class BackendConnection(SharedBufferProtocol):
    """Holds one connection; its attempt counts as written once the write buffer is empty."""

    __slots__ = (
        "_is_paused",
        "_is_reading",
        "_waits_to_read",
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
        """Creates a connection for an attempt; `incarnation` identifies the backend's process."""
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
        self._is_paused = False  # as the client is slower than the backend
        self._waits_to_read = False  # as enough was read from all backends in this turn of the loop
        self._is_reading = True

    @property
    def _open_transport(self) -> asyncio.Transport:
        """Returns the transport of a connection that was established."""
        return cast(asyncio.Transport, self.transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hands the connection to its owner, or closes it if its attempt has ended meanwhile."""
        self.transport = cast(asyncio.Transport, transport)
        if self.attempt is None:
            self.transport.abort()
            return
        # With a limit of 0, `pause_writing` is called when some of a write stays in the buffer.
        self.transport.set_write_buffer_limits(high=0)
        # Bytes that are read have to be kept until a slower client reads them.
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.owner.context.receive_buffer_bytes)
        self.owner.connected(self)

    def write(self, attempt: Attempt, now_ns: int) -> None:
        """Sends the attempt's request."""
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
        # A write to a broken connection leaves the transport closing, with nothing sent.
        self.has_unsent_bytes = transport.is_closing() or transport.get_write_buffer_size() > 0
        if not self.has_unsent_bytes:
            self._request_written()
        if attempt.not_after_ns:
            # No `LagTolerantTimer`: the last bytes could be written in the turns that it waits for sockets.
            delay_s = max(0, attempt.not_after_ns - now_ns) / NS_PER_S
            context.loop.call_later(delay_s, self._sending_time_over, attempt)

    def _sending_time_over(self, attempt: Attempt) -> None:
        """Ends an attempt if the backend's system has not received its whole request."""
        attempts = self.owner.context.attempts
        attempts.withdraw(attempt)
        if self.attempt is attempt and self._unacknowledged_bytes():
            attempts.expire(attempt)

    def _unacknowledged_bytes(self) -> int:
        """Returns how many bytes the kernel holds that the backend's system has not acknowledged."""
        raw_socket = self.raw_socket
        if raw_socket is None:
            return 0
        return unacknowledged_bytes(raw_socket)

    def _request_written(self) -> None:
        """Notifies the observer, once, that the request's last byte is written."""
        attempt = self.attempt
        if attempt is not None and attempt.call is not None and not attempt.is_written:
            attempt.is_written = True
            self.owner.context.attempts.observer.attempt_written()

    @property
    def raw_socket(self) -> socket.socket | None:
        """Returns the socket of a connection that is open."""
        if self.transport is None or self.transport.is_closing():
            return None
        return cast(socket.socket, self.transport.get_extra_info("socket"))

    def held_memory(self) -> Mapping[Holder, int]:
        """Returns the bytes that are kept for this backend; a long body counts for its request."""
        call = self.attempt.call if self.attempt is not None else None
        has_own_copy = self.transport is not None and not (call is not None and call.body_bytes)
        unsent_bytes = self._open_transport.get_write_buffer_size() if has_own_copy else 0
        return {Holder.BACKENDS: self.answers.buffered_bytes + unsent_bytes}

    def shed_memory(self) -> bool:
        """Gives up nothing: an end for the sake of this gateway's memory would count as the backend's fault.

        An answer of this size is complete, or timed out, within its request's time.
        """
        return False

    def pause_writing(self) -> None:
        """Notes that some of the request is in the write buffer."""
        self.has_unsent_bytes = True
        self.owner.context.account.update(self)

    def resume_writing(self) -> None:
        """Notes that the write buffer is empty."""
        if self.has_unsent_bytes:
            self.has_unsent_bytes = False
            self.owner.context.account.update(self)
            self._request_written()

    def data_received(self, data: bytes) -> None:
        """Reads the attempt's answer."""
        attempt = self.attempt
        if attempt is None or self.has_unsent_bytes:
            self._unexpected_data(attempt)
            return
        self.cancel_timer()
        read_budget = self.owner.context.read_budget
        read_budget.spend(len(data))
        try:
            end, answer = self.answers.read(data, attempt.call is None, self)
        except InvalidAnswer as error:
            self._invalid_answer(str(error))
            return
        if self.attempt is None:
            return  # the value that has begun is not wanted
        if answer is None:
            self._waits_to_read = len(data) >= READ_BYTES and read_budget.must_wait(self)
            self._update_reading()
            self._await_more()
        else:
            self._answered(attempt, answer, has_surplus=end < len(data))

    def _unexpected_data(self, attempt: Attempt | None) -> None:
        """Drops the connection after bytes without a request: a later answer could not be matched."""
        self._record_surplus(attempt)
        self.drop()
        if attempt is not None:
            self._finish(attempt, Outcome.CONNECT_FAILED)

    def _record_surplus(self, attempt: Attempt | None) -> None:
        context = self.owner.context
        age = SurplusAge.WRITING
        if attempt is None:
            idle_s = context.time() - self.idle_since_s
            age = SurplusAge.RESTING if idle_s < REUSE_DELAY_S else SurplusAge.IDLE
            log.warning("backend %s:%d: bytes %.0f ms after an answer", *self.owner.address, 1000 * idle_s)
        context.surplus_answers.record(age)

    def _answered(self, attempt: Attempt, answer: Answer, has_surplus: bool) -> None:
        self.attempt = None
        self.is_forwarding_value = False
        self.owner.context.account.remove(self)
        # The client's pause may come with the last bytes, and nobody resumes a value that is complete.
        self._is_paused = False
        self._update_reading()
        if has_surplus:
            self.owner.context.surplus_answers.record(SurplusAge.WITH_ANSWER)
            self.drop()  # the bytes after the answer belong to no request, and more may follow
        else:
            self._acknowledge()
            self.owner.release(self)
        self.owner.context.attempts.finish(attempt, *answer)

    def _acknowledge(self) -> None:
        """Acknowledges the answer now, and not with the next request.

        The backend's system may hold back a small write until the one before it is acknowledged (Nagle's
        algorithm, RFC 9293, 3.7.4). A second copy of the answer then comes while the connection rests; with
        an acknowledgement that is delayed it comes behind the next request, as if it were its answer.
        """
        raw_socket = self._open_transport.get_extra_info("socket")
        with suppress(OSError):
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)

    def _await_more(self) -> None:
        """Starts the timeout for more of the answer."""
        self.owner.context.account.update(self)
        self.cancel_timer()
        if not self._is_reading or self._waits_for_deadline():
            return
        timeout_s = LONG_VALUE_STALL_TIMEOUT_S if self.is_forwarding_value else STALL_TIMEOUT_S
        stalled = partial(self._invalid_answer, f"answer incomplete after {timeout_s} s without a byte")
        self.timer = LagTolerantTimer(self.owner.context.loop, timeout_s, stalled)

    def _waits_for_deadline(self) -> bool:
        """Returns whether only the request's deadline ends the wait for the rest of a short answer.

        Giving up earlier helps a request that may be retried at another backend. One that may not would fail,
        although a slow backend may still complete its answer.
        """
        attempt = self.attempt
        return not self.is_forwarding_value and attempt is not None and not attempt.may_be_retried

    def _invalid_answer(self, reason: str) -> None:
        """Drops the connection: no later answer can be matched, and the request may have run."""
        attempt = cast(Attempt, self.attempt)
        host, port = self.owner.address
        log.warning("backend %s:%d: invalid answer, connection closed: %s", host, port, reason)
        self.drop()
        self._finish(attempt, Outcome.RESET)

    def value_begins(self, length: int) -> None:
        """Offers a long value to the observer; drops the connection if it is not wanted."""
        attempt = cast(Attempt, self.attempt)
        attempt.cancel_timeout()  # an answer that arrives is not cut off
        observer = self.owner.context.attempts.observer
        self.is_forwarding_value = observer.value_begins(attempt, length, self)
        if not self.is_forwarding_value:
            self.attempt = None
            self.drop()
            self._finish(attempt, Outcome.CANCELLED)

    def value_piece(self, data: bytes) -> None:
        """Forwards the next bytes of the long value."""
        if self.attempt is not None and self.is_forwarding_value:
            self.owner.context.attempts.observer.value_piece(self.attempt, data)

    def pause(self) -> None:
        """Stops reading, as the client is slower than the backend."""
        if self.is_forwarding_value and not self._is_paused:
            self._is_paused = True
            self.cancel_timer()
            self._update_reading()

    def resume(self) -> None:
        """Continues to read after `pause`."""
        if self._is_paused:
            self._is_paused = False
            self._read_on()

    def continue_reading(self) -> None:
        """Continues to read in a new turn of the loop; see `PausedConnection`."""
        self._waits_to_read = False
        self._read_on()

    def _read_on(self) -> None:
        if self._update_reading():
            self._await_more()

    def _update_reading(self) -> bool:
        """Pauses or continues to read; returns whether it was continued."""
        is_reading = not (self._is_paused or self._waits_to_read)
        if is_reading is self._is_reading or self._open_transport.is_closing():
            return False
        self._is_reading = is_reading
        if is_reading:
            self._open_transport.resume_reading()
        else:
            self._open_transport.pause_reading()
        return is_reading

    def is_reusable(self) -> bool:
        """Returns whether the connection is open with nothing unread in its socket.

        A duplicate answer would be taken for the next one, and a request written after the backend's end of
        stream would count as one that may have run.
        """
        if self._open_transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._open_transport.get_extra_info("socket").fileno(), select.POLLIN)
        if not poll.poll(0):
            return True
        self.owner.context.surplus_answers.record(SurplusAge.AT_REUSE)
        return False

    def cancel_timer(self) -> None:
        """Stops the timeout of connecting or of a stalled answer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the attempt that was on the connection."""
        attempt = self.attempt
        self.attempt = None
        self.cancel_timer()
        self._forget()
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
        """Closes at once: nothing more is sent, and bytes that still arrive are ignored."""
        if self.attempt is not None:
            self._discard_unsent()
        self.attempt = None
        self.cancel_timer()
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not None:
            self.task.cancel()
        self._forget()

    def _discard_unsent(self) -> None:
        """Has the close discard what the kernel still holds of a request, by a reset (tcp(7), socket(7)).

        After a usual close the kernel still sends it, however late the backend reads, and the request may
        run long after it was given up.
        """
        raw_socket = self.raw_socket
        if raw_socket is not None and self._unacknowledged_bytes():
            with suppress(OSError):
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _forget(self) -> None:
        """Removes the connection from its pool and from what all connections share."""
        self.owner.context.account.remove(self)
        self.owner.context.read_budget.remove(self)
        self.owner.lost(self)

    def _finish(self, attempt: Attempt, outcome: Outcome) -> None:
        self.owner.context.attempts.finish(attempt, outcome)
