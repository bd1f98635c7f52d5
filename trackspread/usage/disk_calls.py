"""Tracks the ledger's disk calls, of which one is in progress at a time, and pauses after failures."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from ..storage.calls import Call, Result

SECOND = 1_000_000_000
RETRY_NS = 2 * SECOND  # pause between a failed call and the next one for the same purpose
OnSuccess = Callable[[int, Result], None]  # gets the time in ns and the call's result
OnFailure = Callable[[int, OSError], None]  # gets the time in ns and the error


class Purpose(Enum):
    """Names the purpose of a call; each purpose has its own pause after a failure."""

    SCAN = auto()  # lists the folder and reads its segments
    REFRESH = auto()  # writes and syncs again what an earlier incarnation wrote
    STREAM = auto()  # creates a stream or commits its records
    SEGMENT = auto()  # creates the stream's next segment
    END = auto()  # ends the stream
    SAVE = auto()  # saves the checkpoint for the export or for retention
    RETENTION = auto()  # removes a segment
    READ = auto()  # reads records for the export


class PendingCall(NamedTuple):
    """Holds the handlers for the end of the call in progress."""

    on_success: OnSuccess
    on_failure: OnFailure


class DiskCalls:
    """Holds the call in progress and the time at which each purpose may be retried."""

    def __init__(self) -> None:
        self._pending: PendingCall | None = None
        self._not_before_ns: dict[Purpose, int] = {}

    @property
    def in_progress(self) -> bool:
        """Returns whether a call is in progress, during which no other may be started."""
        return self._pending is not None

    def start(self, call: Call, on_success: OnSuccess, on_failure: OnFailure) -> Call:
        """Marks a call as in progress and returns it for the host to perform."""
        self._pending = PendingCall(on_success, on_failure)
        return call

    def finish(self) -> PendingCall:
        """Ends the call in progress and returns its handlers."""
        assert self._pending is not None
        pending, self._pending = self._pending, None
        return pending

    def may_start(self, purpose: Purpose, now: int) -> bool:
        """Returns whether a call for this purpose may be started at `now`, which is in ns."""
        return now >= self._not_before_ns.get(purpose, 0)

    def postpone(self, purpose: Purpose, until_ns: int) -> None:
        """Prevents calls for this purpose before `until_ns`."""
        self._not_before_ns[purpose] = until_ns

    def retry_later(self, purpose: Purpose) -> OnFailure:
        """Returns a failure handler that only postpones the purpose by `RETRY_NS`."""

        def on_failure(now: int, _: OSError) -> None:
            self.postpone(purpose, now + RETRY_NS)

        return on_failure
