"""Shares the event loop's time among sources of input, so that one that sends at full speed delays no other.

It knows time and the loop's turns. It knows neither sockets nor what the input means.

The scheduler is a fair queue with lists, as FQ-CoDel (RFC 8290) has them for flows. A source whose input has
just begun is served first; those that never had a complete item come after those that had, as hundreds may
connect at once. One that leaves input behind when its time slice is over joins the backlogged sources, which
are served in rotation. So does one whose input continues: a source that streams has little input at a time,
but ever more. A turn of the loop ends once its budget is spent, whatever the number of sources; between two
turns the loop reads its sockets and runs its timers.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

log = logging.getLogger(__name__)

TURN_BUDGET_NS = 2_000_000  # for input in one turn of the loop
MAX_SLICE_NS = 500_000  # for one source in one turn
MIN_SLICE_NS = 100_000  # with many sources; a few short commands


class Queue(IntEnum):
    """Enumerates the queues of sources in the order of their service."""

    SPARSE = 0  # its input has just begun, and it had a complete item before
    FIRST = 1  # its input has just begun, and it never had a complete item
    BACKLOGGED = 2  # its slice left input behind, or its input continues


class TimeSlice:
    """Holds the end of the time for which a source may process input without a pause."""

    __slots__ = ("_end_ns", "_now_ns")

    def __init__(self, end_ns: int, now_ns: Callable[[], int]) -> None:
        self._end_ns = end_ns
        self._now_ns = now_ns

    def is_over(self) -> bool:
        """Returns whether the source has to stop."""
        return self._now_ns() >= self._end_ns


class InputSource(Protocol):
    """Holds input that arrived and is not processed yet."""

    def process_input(self, time_slice: TimeSlice) -> bool:
        """Processes input until the slice is over; at least one item, if any may be processed.

        Returns whether input remains that may be processed in a later turn.
        """

    def abort(self) -> None:
        """Ends the source, whose input could not be processed because of an exception."""


class FairScheduler:
    """Decides when each source processes its input."""

    def __init__(
        self,
        call_soon: Callable[[Callable[[], object]], object],
        now_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        """Creates a scheduler without sources.

        `call_soon` calls a function in the loop's next turn; `now_ns` is a clock that runs on in a turn.
        """
        self._call_soon = call_soon
        self._now_ns = now_ns
        self._queues: dict[Queue, dict[InputSource, None]] = {queue: {} for queue in Queue}
        self._spent_ns = 0  # in the present turn
        self._is_turn_scheduled = False
        self.deferred_slices = 0  # slices that left input behind, since the start

    @property
    def waiting(self) -> int:
        """Returns the number of sources that wait for a slice."""
        return sum(map(len, self._queues.values()))

    @property
    def waiting_first(self) -> int:
        """Returns how many of them wait for their first slice."""
        return len(self._queues[Queue.FIRST])

    def input_arrived(self, source: InputSource, queue: Queue = Queue.SPARSE) -> None:
        """Has the source process its input, at once if the turn's budget and earlier sources allow it.

        `queue` is where it waits otherwise; its input continues if more was known to wait at its last read.
        """
        if self._is_waiting(source):
            return
        if self._has_earlier(queue) or self._spent_ns >= TURN_BUDGET_NS:
            self._queues[queue][source] = None
        else:
            self._serve(source)
        self._schedule_turn()

    def _is_waiting(self, source: InputSource) -> bool:
        return any(source in sources for sources in self._queues.values())

    def _has_earlier(self, queue: Queue) -> bool:
        """Returns whether sources wait that are served before one whose input arrives now."""
        return bool(self._queues[Queue.SPARSE]) or (queue > Queue.SPARSE and bool(self._queues[Queue.FIRST]))

    def resume(self, source: InputSource) -> None:
        """Has the source process in a later turn the input that it had to hold back."""
        if not self._is_waiting(source):
            self._queues[Queue.BACKLOGGED][source] = None
            self._schedule_turn()

    def remove(self, source: InputSource) -> None:
        """Forgets a source that has ended."""
        for sources in self._queues.values():
            sources.pop(source, None)

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Serves sources until the budget is spent, and at least one of each queue."""
        self._is_turn_scheduled = False
        self._spent_ns = 0
        for sources in self._queues.values():
            is_first = True
            while sources and (is_first or self._spent_ns < TURN_BUDGET_NS):
                is_first = False
                self._serve(_pop_first(sources))
        if self.waiting:
            self._schedule_turn()

    def _serve(self, source: InputSource) -> None:
        started_ns = self._now_ns()
        slice_ns = max(MIN_SLICE_NS, min(MAX_SLICE_NS, TURN_BUDGET_NS // (1 + self.waiting)))
        has_more = False
        try:
            has_more = source.process_input(TimeSlice(started_ns + slice_ns, self._now_ns))
        except Exception:
            # Other sources must not wait for one that fails.
            log.exception("input of %s failed with an exception", type(source).__name__)
            source.abort()
        self._spent_ns += self._now_ns() - started_ns
        if has_more:
            self.deferred_slices += 1
            self._queues[Queue.BACKLOGGED].setdefault(source)


def _pop_first(sources: dict[InputSource, None]) -> InputSource:
    source = next(iter(sources))
    del sources[source]
    return source
