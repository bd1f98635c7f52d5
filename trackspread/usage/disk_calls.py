"""The ledger's calls to the disk: one at a time, each with what follows it, and pauses after failures."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from ..storage.calls import Call, Result

SECOND = 1_000_000_000
RETRY_NS = 2 * SECOND  # from a failed call to the next one for the same purpose
OnSuccess = Callable[[int, Result], None]  # with the time in ns and what the call returned
OnFailure = Callable[[int, OSError], None]  # with the time in ns


class Purpose(Enum):
    """What a call is for; each purpose has its own pause after a failure."""

    SCAN = auto()  # the folder is listed and its segments are read
    REFRESH = auto()  # what an earlier incarnation wrote is written and synced again
    STREAM = auto()  # a stream is created, or its records are committed
    SEGMENT = auto()  # the stream gets its next segment
    END = auto()  # the stream is ended
    SAVE = auto()  # the checkpoint is saved for the export or for retention
    RETENTION = auto()  # a segment is removed
    READ = auto()  # records are read for the export


class PendingCall(NamedTuple):
    """What follows the call in progress."""

    on_success: OnSuccess
    on_failure: OnFailure


class DiskCalls:
    """The call in progress, and when each purpose may be tried again."""

    def __init__(self) -> None:
        self._pending: PendingCall | None = None
        self._not_before_ns: dict[Purpose, int] = {}

    @property
    def in_progress(self) -> bool:
        """Whether a call is in progress; no other may be started then."""
        return self._pending is not None

    def start(self, call: Call, on_success: OnSuccess, on_failure: OnFailure) -> Call:
        """Take a call as started; returns it, for the host to perform."""
        self._pending = PendingCall(on_success, on_failure)
        return call

    def finish(self) -> PendingCall:
        """The call in progress has ended; returns what follows it."""
        assert self._pending is not None
        pending, self._pending = self._pending, None
        return pending

    def may_start(self, purpose: Purpose, now: int) -> bool:
        """Whether a call for this purpose may be started at `now`, in ns."""
        return now >= self._not_before_ns.get(purpose, 0)

    def postpone(self, purpose: Purpose, until_ns: int) -> None:
        """Start no call for this purpose before `until_ns`."""
        self._not_before_ns[purpose] = until_ns

    def retry_later(self, purpose: Purpose) -> OnFailure:
        """A failure handler that does nothing but postpone the purpose by `RETRY_NS`."""

        def on_failure(now: int, _: OSError) -> None:
            self.postpone(purpose, now + RETRY_NS)

        return on_failure
