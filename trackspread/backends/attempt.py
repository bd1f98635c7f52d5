"""One attempt at a backend, from its start to its one outcome.

May know: the call, the adapter, who observes attempts. May not know: sockets, pools, addresses.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..call import Call, PausableSource
from ..decide.events import Outcome
from ..lag import LagTolerantTimer
from .adapter import Adapter, LoadReport

NS_PER_MS = 1_000_000


class AttemptConnection(Protocol):
    """What an attempt needs of the connection that it is on."""

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether some of the request is still in the write buffer, or none of it was written."""

    def drop(self) -> None:
        """Close at once."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of one request at one backend; a health check if `call` is None. Times are the clock's."""

    request: int
    index: int
    backend: int
    started_at_ns: int
    expires_at_ns: int
    call: Call | None
    not_after_ns: int = 0  # its last byte has to be out by then; 0 for no such time
    connection: AttemptConnection | None = None
    timer: LagTolerantTimer | None = None
    is_written: bool = False  # completely
    has_ended: bool = False  # and its observer was notified

    def cancel_timeout(self) -> None:
        """Wait without a time limit of its own from now on."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def encode(self, adapter: Adapter, now_ns: int) -> bytes | list[bytes]:
        """The bytes to write, with the time for which this attempt is waited for."""
        if self.call is None:
            return adapter.health_check()
        time_left_ms = -(-(self.expires_at_ns - now_ns) // NS_PER_MS)
        return adapter.request(self.call, max(1, time_left_ms))


class AttemptObserver(Protocol):
    """Who is notified of attempts, health checks among them."""

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: LoadReport
    ) -> None:
        """Called once for each; a value that was passed on as it arrived is empty."""

    def is_wanted(self, attempt: Attempt) -> bool:
        """Whether a client still waits for the attempt; asked once its connection is established."""

    def attempt_written(self) -> None:
        """Called once for each request whose last byte has gone out."""

    def value_begins(self, attempt: Attempt, length: int, source: PausableSource) -> bool:
        """A long value of `length` bytes has begun; returns whether it is wanted."""

    def value_piece(self, attempt: Attempt, data: bytes) -> None:
        """The next bytes of a long value."""


class AttemptEndings:
    """The ways in which an attempt ends; its observer is notified of one end only."""

    def __init__(self, observer: AttemptObserver) -> None:
        self.observer = observer

    def finish(
        self,
        attempt: Attempt,
        outcome: Outcome,
        value: bytes | None = None,
        report: LoadReport | None = None,
    ) -> None:
        """Notify of the first end: one that was deferred to the loop's next turn may come second."""
        if attempt.has_ended:
            return
        attempt.has_ended = True
        attempt.connection = None
        attempt.cancel_timeout()
        self.observer.attempt_ended(attempt, outcome, value, report or {})

    def fail_unsent(self, attempt: Attempt) -> None:
        """End it as one that is known never to have run."""
        self.finish(attempt, Outcome.CONNECT_FAILED)

    def expire(self, attempt: Attempt) -> None:
        """Stop waiting. What never left the write buffer never ran, anything else may have."""
        connection = attempt.connection
        is_unsent = connection is None or connection.has_unsent_bytes
        self._abandon(attempt, Outcome.CONNECT_FAILED if is_unsent else Outcome.TIMEOUT)

    def cancel(self, attempt: Attempt) -> None:
        """End it because its answer is not wanted any more."""
        self._abandon(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """End it unless it is written: its client has left, or it may not be sent any more.

        What has not gone out completely never will. It says nothing about the backend.
        """
        if not attempt.is_written:
            self._abandon(attempt, Outcome.NOT_SENT)

    def _abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            # Answers come in order: a connection whose answer is not waited for is of no more use.
            attempt.connection.drop()
        self.finish(attempt, outcome)
