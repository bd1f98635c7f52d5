"""Follows one attempt at a backend from its start to its single outcome.

It knows the call, the adapter and the observer of attempts. It knows no sockets, pools or addresses.
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
    """Provides the part of a connection that its attempt uses."""

    @property
    def has_unsent_bytes(self) -> bool:
        """Returns whether some of the request is in the write buffer, or none of it was written."""

    def drop(self) -> None:
        """Closes the connection at once."""


@dataclass(slots=True, eq=False)
class Attempt:
    """Holds one attempt of one request at one backend, or a health check if `call` is None.

    Times are those of the gateway's clock.
    """

    request: int
    index: int
    backend: int
    started_at_ns: int
    expires_at_ns: int
    call: Call | None
    not_after_ns: int = 0  # by which its last byte has to be written; 0 for no limit
    connection: AttemptConnection | None = None
    timer: LagTolerantTimer | None = None
    is_written: bool = False  # whether its last byte was written
    may_be_retried: bool = True  # whether another attempt may follow if its answer stays incomplete
    has_ended: bool = False  # whether its observer was notified of its end

    def cancel_timeout(self) -> None:
        """Removes the attempt's own timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def encode(self, adapter: Adapter, now_ns: int) -> bytes | list[bytes]:
        """Returns the bytes to write, which include the time left before the attempt's timeout."""
        if self.call is None:
            return adapter.health_check()
        time_left_ms = -(-(self.expires_at_ns - now_ns) // NS_PER_MS)
        return adapter.request(self.call, max(1, time_left_ms))


class AttemptObserver(Protocol):
    """Is notified of attempts, including health checks."""

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: LoadReport
    ) -> None:
        """Handles the end of an attempt, once for each; a value that was forwarded is empty."""

    def is_wanted(self, attempt: Attempt) -> bool:
        """Returns whether a client still waits for the attempt; called once its connection is open."""

    def attempt_written(self) -> None:
        """Counts an attempt, once its last byte is written."""

    def value_begins(self, attempt: Attempt, length: int, source: PausableSource) -> bool:
        """Handles the beginning of a long value of `length` bytes; returns whether it is wanted."""

    def value_piece(self, attempt: Attempt, data: bytes) -> None:
        """Handles the next bytes of a long value."""


class AttemptEndings:
    """Ends attempts, and notifies their observer of one end only."""

    def __init__(self, observer: AttemptObserver) -> None:
        self.observer = observer

    def finish(
        self,
        attempt: Attempt,
        outcome: Outcome,
        value: bytes | None = None,
        report: LoadReport | None = None,
    ) -> None:
        """Notifies of the first end and ignores others: one deferred to the loop's next turn may follow."""
        if attempt.has_ended:
            return
        attempt.has_ended = True
        attempt.connection = None
        attempt.cancel_timeout()
        self.observer.attempt_ended(attempt, outcome, value, report or {})

    def fail_unsent(self, attempt: Attempt) -> None:
        """Ends an attempt that is known never to have run."""
        self.finish(attempt, Outcome.CONNECT_FAILED)

    def expire(self, attempt: Attempt) -> None:
        """Ends an attempt at its timeout; it never ran if some of it is still in the write buffer."""
        connection = attempt.connection
        is_unsent = connection is None or connection.has_unsent_bytes
        self._abandon(attempt, Outcome.CONNECT_FAILED if is_unsent else Outcome.TIMEOUT)

    def cancel(self, attempt: Attempt) -> None:
        """Ends an attempt whose answer is not wanted any more."""
        self._abandon(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """Ends an attempt unless it is written, as its client has left or its time to be sent is over.

        A request that is not written completely never will be. The outcome says nothing about the backend.
        """
        if not attempt.is_written:
            self._abandon(attempt, Outcome.NOT_SENT)

    def _abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            # Answers come in order, so a later request could not be matched to its answer on this connection.
            attempt.connection.drop()
        self.finish(attempt, outcome)
