"""Keeps one client's connection: its order of answers, timeouts and backpressure, for every protocol.

It knows bytes, time and its place among the other connections. It knows neither the protocol that the client
speaks (`protocol.ClientAdapter`) nor the outcome of a call. Answers are written in the order of the calls; a
protocol with another order needs changes here.
"""

from __future__ import annotations

import asyncio
import logging
import os
import select
import socket
from collections import deque
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, cast

from ..call import Call
from ..call import InvalidCall, PausableSource
from ..fair_scheduler import Queue, TimeSlice
from ..logs import RateLimitFilter
from ..memory.account import Holder
from ..memory.socket_queues import unacknowledged_bytes, unread_bytes
from ..memory.read_buffer import READ_BYTES, SharedBufferProtocol
from .close_reason import CloseReason
from .protocol import ClientAdapter, Item, Ping, ProtocolError
from .response_slot import ResponseSlot
from .unread_output import UnreadOutput

if TYPE_CHECKING:
    from .connections import ClientConnections

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

NEARLY_FULL_IDLE_S = 2.0  # idle time that every connection gets when few more can be accepted
LONG_VALUE_UNREAD_S = 10.0  # without progress in a long answer: a slow client may take seconds for a piece
MEMORY_SHORT_UNREAD_S = 3.0  # without progress, for who keeps more than its share while memory is short
# Of its request's time, for which a long body may wait for memory; the rest is left to the attempts. A
# rejection after half of a request's time would cost its client as much as a failure.
BODY_WAIT_FRACTION = 0.25
BACKLOGGED_S = 2.0  # for which a client counts as backlogged, after it was
BACKLOG_BYTES = 32 << 10  # of commands that arrived with others; far more than a short pipeline
LINGER_S = 0.75  # after the last answer, in which input is still read and discarded
MAX_LINGER_BYTES = 1 << 20  # of discarded input; more than that stays unread
END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # of a socket whose peer sends nothing more


class ClientConnection(SharedBufferProtocol):
    """Holds one client's connection with its incomplete command, unprocessed input and response slots."""

    __slots__ = (
        "_backlogged_until",
        "_close_reason",
        "_discarded_bytes",
        "_end_poll",
        "_incomplete_since",
        "_inherited_input",
        "_is_aborted",
        "_is_blocked",
        "_is_discarding_paused",
        "_is_ending",
        "_is_processing",
        "_is_reading",
        "_is_sending_long_value",
        "_linger_until",
        "_owner",
        "_reader",
        "_transport",
        "_unprocessed",
        "_unprocessed_since",
        "_unread_output",
        "_waits_to_read",
        "_was_read_full",
        "adapter",
        "has_sent_command",
        "idle_since",
        "is_body_paused",
        "slots",
    )

    def __init__(
        self, owner: ClientConnections, adapter: ClientAdapter, inherited_input: Sequence[bytes] = ()
    ) -> None:
        """Creates a connection; `inherited_input` was read from it by another process and not processed."""
        self._owner = owner
        self.adapter = adapter
        self._inherited_input = inherited_input
        self._reader = self.adapter.command_reader()
        self._transport: asyncio.Transport | None = None
        self._end_poll = select.poll()  # asks the kernel whether the client sends nothing more
        self._is_aborted = False  # what is kept for it is freed in the loop's next turn
        self._is_ending = False  # accepts no more commands; closes once all accepted ones are answered
        self._linger_until = 0.0  # end of reading after the last answer was written; 0 before that
        self._discarded_bytes = 0  # read since no command is accepted any more
        self._is_discarding_paused = False  # the rest is read in a later turn of the loop
        self._close_reason = CloseReason.CLIENT_LEFT  # until this side ends the connection
        self._incomplete_since = 0.0  # arrival of the first byte of the incomplete command; 0 for none
        self._unprocessed = b""  # read, but held back
        self._unprocessed_since = 0.0
        self._backlogged_until = 0.0  # until when it counts as a client that sends at full speed
        self._is_blocked = False  # more answers wait to be sent than may be written
        self._unread_output = UnreadOutput()
        self._is_sending_long_value = False  # whether the unsent bytes belong to a long value
        self._is_reading = True
        self._was_read_full = False  # the last read filled its buffer, so that more may follow
        self._waits_to_read = False  # until other clients' input is processed
        self._is_processing = False  # more input may follow the command that is being processed
        self.is_body_paused = False  # a long body is being received, and the memory for bodies is used up
        self.has_sent_command = False  # whether a complete command was ever received
        self.idle_since = owner.time()
        self.slots: deque[ResponseSlot] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, and has the input processed that another process had read from it."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=self._owner.write_buffer_bytes)
        self._end_poll.register(self._transport.get_extra_info("socket").fileno(), END_EVENTS)
        self._owner.connection_opened(self)
        if self._inherited_input:
            # uvloop starts to read after this method, so a pause in it would not last.
            self._owner.call_soon(self._process_inherited_input)

    def _process_inherited_input(self) -> None:
        inherited_input = self._inherited_input
        self._inherited_input = ()
        for data in inherited_input:
            if not cast(asyncio.Transport, self._transport).is_closing():
                self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Processes input, holds it back, or discards it where no command is accepted any more."""
        if self._inherited_input:
            self._process_inherited_input()
        if self._is_ending:
            self._discard(len(data))
        else:
            queue = self._input_queue()
            self._was_read_full = len(data) >= READ_BYTES
            arrived_at = self._unprocessed_since if self._unprocessed else self._owner.time()
            self._hold_back(self._unprocessed + data, arrived_at)
            self._owner.input_scheduler.input_arrived(self, queue)
            self._update_reading()
            self.memory_changed()
            self._owner.limit_unprocessed()

    def _input_queue(self) -> Queue:
        """Returns where input that arrives now waits for its slice."""
        if self._was_read_full:
            return Queue.BACKLOGGED
        return Queue.SPARSE if self.has_sent_command else Queue.FIRST

    def _discard(self, read_bytes: int) -> None:
        """Counts discarded input, and has the scheduler say when more is read where more may follow.

        The loop reads a socket up to 32 times in a turn, until nothing is left or reading pauses.
        """
        self._discarded_bytes += read_bytes
        self._update_reading()
        if read_bytes >= READ_BYTES and self._is_reading:
            self._is_discarding_paused = True
            cast(asyncio.Transport, self._transport).pause_reading()
            self._owner.input_scheduler.resume(self)

    def _resume_discarding(self) -> None:
        if self._is_discarding_paused:
            self._is_discarding_paused = False
            transport = cast(asyncio.Transport, self._transport)
            if not transport.is_closing():
                transport.resume_reading()

    def held_memory(self) -> Mapping[Holder, int]:
        """Returns the bytes that are kept for this client, and will be after this turn of the loop."""
        if self._is_aborted:
            return {}
        body_bytes = self._reader.kept_body_bytes
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return {
            Holder.INPUT: self.input_bytes - body_bytes,
            Holder.BODIES: body_bytes,
            Holder.REQUESTS: sum(slot.request_bytes for slot in self.slots),
            Holder.ANSWERS: sum(slot.answer_bytes for slot in self.slots) + unsent_bytes,
        }

    def memory_changed(self) -> None:
        """Reports to the account what is kept for this client."""
        self._owner.account.update(self)

    def shed_memory(self) -> bool:
        """Rejects the long body that is being received, or ends the connection; see `MemoryOwner`.

        Open requests keep what they have, as each of them is answered.
        """
        if self._reader.kept_body_bytes:
            self._owner.bodies.drop(self)
            return True
        held = self.held_memory()
        if cast(asyncio.Transport, self._transport).is_closing() or held[Holder.REQUESTS] >= max(
            held[Holder.INPUT], held[Holder.ANSWERS]
        ):
            return False
        log.warning(
            "client connection: ended, memory is short and %d bytes are kept for it", sum(held.values())
        )
        if held[Holder.ANSWERS]:
            self.abort(CloseReason.MEMORY)
            return True
        self._take_unprocessed()
        self._reader = self.adapter.command_reader()
        self._fail_protocol("memory is short", CloseReason.MEMORY)
        return True

    @property
    def raw_socket(self) -> socket.socket | None:
        """Returns the socket of a connection that is open."""
        transport = cast(asyncio.Transport, self._transport)
        return None if transport.is_closing() else transport.get_extra_info("socket")

    def process_input(self, time_slice: TimeSlice) -> bool:
        """Processes held back input, or passes it on to another process; see `InputSource`."""
        self._resume_discarding()
        if self._waits_for_handover():
            self._owner.pass_on_connection(self)
        elif self.has_left():
            self.abort(CloseReason.CLIENT_LEFT)
            return False
        elif self._may_process():
            self._process(self._take_unprocessed(), self._unprocessed_since, time_slice)
            if self._was_read_full and not self._unprocessed:
                self._waits_to_read = self._owner.read_ahead.must_wait(self)
        self._update_reading()
        self.memory_changed()
        return self._may_process()

    def _may_process(self) -> bool:
        """Returns whether there is input that may be processed now."""
        return (
            bool(self._unprocessed)
            and not (self._is_ending or self._is_blocked or self._waits_for_handover())
            and not self._is_pipeline_full()
            and not cast(asyncio.Transport, self._transport).is_closing()
        )

    def is_backlogged(self) -> bool:
        """Returns whether the client recently had many commands waiting, or its pipeline was full."""
        return self._backlogged_until > self._owner.time()

    def _note_backlog(self) -> None:
        self._backlogged_until = self._owner.time() + BACKLOGGED_S

    def _is_pipeline_full(self) -> bool:
        """Returns whether another command has to wait for an answer."""
        in_flight = len(self.slots)
        if not in_flight:
            return False
        if self._owner.overload.is_over_share(self):
            return True
        window = self._owner.requests.window(self.is_backlogged())
        return in_flight >= min(window, self._owner.bounds.pipeline)

    def _process(self, data: bytes, arrived_at: float, time_slice: TimeSlice) -> None:
        """Processes as many commands as may be accepted now."""
        self._is_processing = True
        try:
            self._process_commands(data, arrived_at, time_slice)
        finally:
            self._is_processing = False
        if self._owner.is_closing and self.is_idle():
            self.close()

    def _process_commands(self, data: bytes, arrived_at: float, time_slice: TimeSlice) -> None:
        start = 0
        waited_s = self._owner.time() - arrived_at
        while start < len(data) and not self._is_ending:
            is_pipeline_full = self._is_pipeline_full()
            if is_pipeline_full:
                self._note_backlog()
            if is_pipeline_full or self._is_blocked or self._waits_for_handover():
                # A command's time does not run while it waits for the answers before its own.
                return self._hold_back(data[start:], self._owner.time())
            if start and time_slice.is_over():
                return self._hold_back(data[start:], arrived_at)
            buffered_bytes = self._reader.buffered_bytes
            try:
                end, item = self._reader.read(data, start)
            except ProtocolError as error:
                return self._fail_protocol(str(error))
            if item is None:
                self._incomplete_since = self._incomplete_since or self._owner.time()
                if self._reader.long_body_bytes:
                    self._incomplete_since = self._owner.time()  # a long body may be slow while it progresses
                    if not self._reader.is_discarding:
                        self._body_grew()
                return
            command_bytes = buffered_bytes + end - start
            start = end
            if self._is_much_waiting(len(data) - start):
                self._note_backlog()
            self._incomplete_since = 0.0
            self._handle_item(item, command_bytes, waited_s)

    def _body_grew(self) -> None:
        self._owner.bodies.body_grew(self, self._reader.long_body_bytes)
        if self._owner.overload.must_reject(self):
            self._owner.bodies.drop(self)

    def _is_much_waiting(self, remaining_bytes: int) -> bool:
        """Returns whether many commands wait behind one, in what was read or in the socket."""
        if self._was_read_full and remaining_bytes:
            remaining_bytes += self._unread_bytes()
        return remaining_bytes > BACKLOG_BYTES

    def _unread_bytes(self) -> int:
        """Returns how many bytes the socket holds that are not read."""
        return unread_bytes(cast(asyncio.Transport, self._transport).get_extra_info("socket"))

    def _waits_for_handover(self) -> bool:
        """Returns whether no input is processed, as another process takes over.

        A command whose body is discarded cannot be handed over, so it is read to its end and rejected here.
        """
        return self._owner.is_handing_over and not self._reader.is_discarding

    def _hold_back(self, data: bytes, arrived_at: float) -> None:
        """Keeps input unprocessed; nothing is read while there is any."""
        self._unprocessed_since = arrived_at
        added_bytes = len(data) - len(self._unprocessed)
        self._unprocessed = data
        self._owner.read_ahead.changed(added_bytes)

    @property
    def unprocessed_bytes(self) -> int:
        """Returns the size of the input that is held back."""
        return len(self._unprocessed)

    def end_backlog(self) -> None:
        """Ends the connection, whose input is held back and does not fit the memory."""
        log.warning("client connection: %d bytes of input held back, the most of all", len(self._unprocessed))
        self._take_unprocessed()
        self._fail_protocol("too many commands at once", CloseReason.BACKLOG)

    def _take_unprocessed(self) -> bytes:
        data = self._unprocessed
        self._unprocessed = b""
        self._owner.read_ahead.changed(-len(data))
        return data

    def _update_reading(self) -> None:
        """Reads from the socket only while input can be processed or, at the end, discarded."""
        is_reading = (
            self._discarded_bytes <= MAX_LINGER_BYTES
            if self._is_ending
            else not (
                self._unprocessed
                or self._is_blocked
                or self._waits_to_read
                or self._waits_for_handover()
                or self.is_body_paused
            )
        )
        if is_reading is not self._is_reading:
            self._is_reading = is_reading
            transport = cast(asyncio.Transport, self._transport)
            if not transport.is_closing():
                (transport.resume_reading if is_reading else transport.pause_reading)()
                self._owner.reading_changed(self, is_reading)

    def continue_reading(self) -> None:
        """Reads on after other clients' input was processed; see `PausedConnection`."""
        self._waits_to_read = False
        if self._reader.long_body_bytes:
            self._incomplete_since = self._owner.time()  # the client was not the one that waited
        self._update_reading()

    def has_left(self) -> bool:
        """Returns whether the client has left while it is not read, when the loop reports no end."""
        if self._is_reading or cast(asyncio.Transport, self._transport).is_closing():
            return False
        return self.has_ended()

    def has_ended(self) -> bool:
        """Returns whether the connection has ended according to the kernel.

        Its end may lie behind bytes that are not read yet, or may have arrived in this turn of the loop.
        """
        return cast(asyncio.Transport, self._transport).is_closing() or bool(self._end_poll.poll(0))

    def allow_body(self, is_allowed: bool) -> None:
        """Allows or stops reading more of the long body that is being received."""
        if is_allowed is self.is_body_paused:
            self.is_body_paused = not is_allowed
            self._incomplete_since = self._owner.time()
            self._update_reading()

    def body_wait_limit_s(self) -> float:
        """Returns how long the body that is being received may wait for memory in all."""
        call = self._reader.incomplete_call()
        return BODY_WAIT_FRACTION * self._owner.requests.time_allowed_s(call) if call is not None else 0.0

    def drop_body(self) -> None:
        """Reads the rest of the body that is being received without keeping it; its request is rejected."""
        log.warning("client connection: long body discarded, its request is rejected: no memory in time")
        self._reader.discard_body()
        self.allow_body(True)
        # Input may also have been held back for a handover, which does not wait for this body any more.
        self._owner.input_scheduler.resume(self)

    def pause_writing(self) -> None:
        """Stops reading and the long value that is being sent, as the client does not read its answers."""
        self._is_blocked = True
        self._unread_output.follow(self._owner.time(), self._bytes_before_client())
        if (source := self._active_source()) is not None:
            source.pause()
        self._update_reading()

    def _active_source(self) -> PausableSource | None:
        """Returns the source of the long value that is being sent."""
        return self.slots[0].source if self.slots and self.slots[0].waiting is None else None

    def resume_writing(self) -> None:
        """Continues the long value and the commands that were held back."""
        self._is_blocked = False
        self._unread_output.clear()
        self.memory_changed()
        if (source := self._active_source()) is not None:
            source.resume()
        else:
            self._is_sending_long_value = False
        self._update_reading()
        self._owner.input_scheduler.resume(self)

    def _fail_protocol(self, reason: str, close_reason: CloseReason = CloseReason.PROTOCOL_ERROR) -> None:
        """Ends the connection with an error: where the next command begins is unknown.

        Commands that were accepted before are still answered, as closing at once would lose their answers
        (rule 1).
        """
        log.warning("client connection: protocol error, connection ends: %s", reason)
        self._note_close(close_reason)
        self._incomplete_since = 0.0
        self._is_ending = True
        slot = ResponseSlot(self)
        self.slots.append(slot)
        self._update_reading()
        self.send_answer(slot, self.adapter.encode_protocol_error(reason))

    def _handle_item(self, item: Item, command_bytes: int, waited_s: float) -> None:
        slot = ResponseSlot(self)
        slot.request_bytes = command_bytes
        self.slots.append(slot)
        self._owner.command_received(self)
        if self._reader.had_long_body:
            body_bytes = item.body_bytes if isinstance(item, Call) else 0
            waited_s += self._owner.bodies.body_complete(self, slot, body_bytes)
        if isinstance(item, Call) and self._reader.had_discarded_body:
            self._owner.requests.reject_without_body(item, slot)
        elif isinstance(item, Call):
            try:
                self._owner.requests.take(item, slot, waited_s)
            except InvalidCall as error:
                self.send_answer(slot, self.adapter.encode_invalid_call(str(error)))
        elif isinstance(item, Ping):
            self.send_answer(slot, self.adapter.encode_pong(self._owner.requests.ready()))
        else:
            self.send_answer(slot, item)

    def send_answer(self, slot: ResponseSlot, answer: bytes) -> None:
        """Writes an answer, or keeps it until all answers before it on this connection are written."""
        slot.answer = answer
        slot.request_bytes = 0
        if self._owner.bodies.used_bytes:
            self._owner.bodies.release(slot)
        self._write_answers(slot, answer)
        self.memory_changed()

    def _write_answers(self, slot: ResponseSlot, answer: bytes) -> None:
        """Writes the answer of a slot whose turn it is, and the complete ones after it."""
        slots, transport = self.slots, cast(asyncio.Transport, self._transport)
        if not slots or slots[0] is not slot:
            return
        if len(slots) == 1:
            slots.popleft()
            transport.write(answer)
        else:
            answers = []
            while slots and slots[0].answer is not None:
                answers.append(slots.popleft().answer or b"")
            transport.write(b"".join(answers))
        if slots:
            if slots[0].source is not None:
                self.begin_value(slots[0])
            if self._unprocessed and not self._is_pipeline_full():
                self._owner.input_scheduler.resume(self)
            return
        self.idle_since = self._owner.time()
        if self._is_ending:
            self._half_close()
        elif self._owner.is_handing_over:
            self._owner.pass_on_connection(self)
        elif self._unprocessed:
            self._owner.input_scheduler.resume(self)
        elif self._owner.is_closing and self.is_idle():
            # A client that sends without a pause would never be found idle by the periodic check.
            self.close()

    def begin_value(self, slot: ResponseSlot) -> None:
        """Begins to send a long value at the client's pace, or pauses its source until its turn."""
        source = cast(PausableSource, slot.source)
        if self.slots[0] is not slot:
            return source.pause()
        transport, waiting = cast(asyncio.Transport, self._transport), slot.waiting or []
        slot.waiting = None
        self._is_sending_long_value = True
        # Without a write buffer, a pause shows at once that the client reads less than arrives.
        transport.set_write_buffer_limits(high=0)
        (source.pause if self._is_blocked else source.resume)()
        transport.write(b"".join(waiting))

    def write(self, data: bytes) -> None:
        """Writes the next bytes of a long value."""
        cast(asyncio.Transport, self._transport).write(data)

    def end_value(self, slot: ResponseSlot, tail: bytes) -> None:
        """Writes the end of a long value."""
        cast(asyncio.Transport, self._transport).set_write_buffer_limits(high=self._owner.write_buffer_bytes)
        self.send_answer(slot, tail)

    def close_incomplete(self) -> None:
        """Closes the connection after the bytes of a long value that cannot be completed."""
        self._note_close(CloseReason.INCOMPLETE_VALUE)
        self._is_ending = True
        cast(asyncio.Transport, self._transport).close()

    def close(self) -> None:
        """Accepts no more commands, and ends the connection once all answers are written.

        Input that arrives at the same time is read and discarded: the client sees an end without an answer,
        and sends its request again elsewhere.
        """
        self._note_close(CloseReason.SHUTDOWN)
        self._is_ending = True
        self._half_close()

    def _half_close(self) -> None:
        """Ends the sending side, and continues to read for `LINGER_S`.

        Closing a socket with unread input resets the connection, and a reset may discard answers that the
        client has not read yet.
        """
        transport = cast(asyncio.Transport, self._transport)
        if not self._linger_until and not transport.is_closing():
            self._linger_until = self._owner.time() + LINGER_S
            transport.write_eof()

    def handover_changed(self) -> None:
        """Stops reading when a handover to another process begins, and resumes when it is cancelled."""
        if not self._is_ending:
            self._update_reading()
            if not self._owner.is_handing_over:
                self._owner.input_scheduler.resume(self)

    @property
    def input_bytes(self) -> int:
        """Returns the size of the input that was read and belongs to no accepted command."""
        inherited_bytes = sum(map(len, self._inherited_input))
        return inherited_bytes + self._reader.buffered_bytes + len(self._unprocessed)

    def is_detachable(self) -> bool:
        """Returns whether another process can take over: no answer is missing or unsent."""
        transport = cast(asyncio.Transport, self._transport)
        is_busy = self.slots or self._is_ending or self._is_processing or self._reader.is_discarding
        return not (is_busy or transport.is_closing() or transport.get_write_buffer_size())

    def detach(self) -> tuple[int, list[bytes]]:
        """Returns a descriptor of the connection, which is detachable, and its input, for another process."""
        descriptor = os.dup(cast(asyncio.Transport, self._transport).get_extra_info("socket").fileno())
        inherited_input = self._inherited_input
        self._inherited_input = ()
        return descriptor, [*self._reader.take_buffered(), self._take_unprocessed(), *inherited_input]

    def fail_handover(self) -> None:
        """Ends the connection with an error, as no process can go on with its input."""
        self._take_unprocessed()
        self._fail_protocol("command too long for a process of another version that takes over")

    def check_timeouts(self, now: float, is_nearly_full: bool) -> None:
        """Ends the connection if one of its timeouts has passed."""
        if self._has_output_to_follow():
            self._check_unread_output(now)
        elif self._linger_until:
            if now >= self._linger_until:
                self.abort(self._close_reason)
        elif self._incomplete_since:
            # Before the first complete command, the time counts from the connection's start.
            has_progressed = self.has_sent_command or self._reader.long_body_bytes
            since = self._incomplete_since if has_progressed else self.idle_since
            if now - since >= self._owner.bounds.mute_s and not self.is_body_paused:
                self._fail_protocol("command without end")
        elif not self.slots and not self._unprocessed:
            bounds = self._owner.bounds
            if not self.has_sent_command:
                timeout_s = bounds.mute_s
            else:
                timeout_s = NEARLY_FULL_IDLE_S if is_nearly_full else bounds.idle_s
            if now - self.idle_since >= timeout_s and self.is_idle():
                self._note_close(CloseReason.IDLE)
                self.close()

    def _has_output_to_follow(self) -> bool:
        """Returns whether the connection stays until its client takes more, or its time for that is over.

        A connection that is closed or ending also stays until its answers have arrived.
        """
        is_closing = cast(asyncio.Transport, self._transport).is_closing()
        return (
            self._is_blocked or is_closing or (self._linger_until > 0.0 and self._bytes_before_client() > 0)
        )

    def _bytes_before_client(self) -> int:
        """Returns how many bytes of answers are unsent, or not acknowledged by the client's system."""
        transport = cast(asyncio.Transport, self._transport)
        unsent_bytes = transport.get_write_buffer_size()
        raw_socket = self.raw_socket
        return unsent_bytes if raw_socket is None else unsent_bytes + unacknowledged_bytes(raw_socket)

    def _check_unread_output(self, now: float) -> None:
        """Ends the connection if its client has taken nothing for too long."""
        waiting_bytes = self._bytes_before_client()
        unread_s = self._unread_output.follow(now, waiting_bytes)
        if unread_s < self._unread_timeout_s():
            return
        overload = self._owner.overload
        log.warning(
            "client connection: aborted, client did not read its answers for %.1f s: %d bytes written, "
            "%d kept for it, memory stage %s",
            unread_s,
            waiting_bytes,
            sum(self.held_memory().values()),
            overload.stage.name,
        )
        self.abort(CloseReason.MEMORY if overload.is_over_share(self) else CloseReason.UNREAD)

    def _unread_timeout_s(self) -> float:
        """Returns how long a client may read nothing."""
        bounds = self._owner.bounds
        if self._is_sending_long_value:
            return max(bounds.unread_s, LONG_VALUE_UNREAD_S)
        if self._owner.overload.is_over_share(self):
            return min(bounds.unread_s, MEMORY_SHORT_UNREAD_S)
        return bounds.unread_s

    def eof_received(self) -> None:
        """Gives up the client's requests: it has left.

        Its transport closes only once its last answers are written, which may never happen.
        """
        self._abandon_requests()

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection, and frees its memory."""
        self._owner.closed[self._close_reason] += 1
        self._owner.connection_closed(self)
        self._owner.input_scheduler.remove(self)
        self._owner.bodies.discard(self)
        self._take_unprocessed()
        self._abandon_requests()
        self._owner.account.remove(self)

    def _abandon_requests(self) -> None:
        """Reports for each request without an answer that its client has left."""
        slots = self.slots
        self.slots = deque()
        for slot in slots:
            self._owner.bodies.release(slot)
            if slot.answer is None:
                self._owner.requests.left(slot.request)

    def is_evictable(self) -> bool:
        """Returns whether an abort frees the descriptor at once: no answer is missing or unsent."""
        is_over = self._linger_until > 0.0 or self.is_idle()
        return is_over and not cast(asyncio.Transport, self._transport).get_write_buffer_size()

    @property
    def incomplete_bytes(self) -> int:
        """Returns how much was received of requests that are not accepted; see `Evictable`."""
        if self.slots or self._is_ending or cast(asyncio.Transport, self._transport).is_closing():
            return 0
        received_bytes = max(self._reader.buffered_bytes, self._reader.long_body_bytes)
        return received_bytes + len(self._unprocessed)

    def is_idle(self) -> bool:
        """Returns whether the client has no request open and its socket holds no unread input.

        Unsent answers do not matter, as they are written before a close.
        """
        transport = cast(asyncio.Transport, self._transport)
        is_busy = (
            self.slots
            or self._unprocessed
            or self._inherited_input
            or self._is_processing
            or self._reader.is_midway
            or self._is_ending
        )
        if is_busy or transport.is_closing():
            return False
        return self._unread_bytes() == 0

    def _note_close(self, reason: CloseReason) -> None:
        """Notes why this side ends the connection; the first reason counts."""
        if self._close_reason is CloseReason.CLIENT_LEFT:
            self._close_reason = reason

    def abort(self, reason: CloseReason = CloseReason.INTERNAL_ERROR) -> None:
        """Closes the connection at once."""
        self._note_close(reason)
        self._is_aborted = True
        cast(asyncio.Transport, self._transport).abort()
