"""Defines an accepted request, and the units of time used in handling it."""

from __future__ import annotations

from ..backends.attempt import Attempt
from ..call import Call
from ..fronts.response_slot import ResponseSlot
from ..lag import LagTolerantTimer

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000


class Request:
    """Holds the state of an accepted request until its final answer and the end of its last attempt."""

    __slots__ = (
        "attempt_count",
        "attempts_in_flight",
        "call",
        "expires_at_ns",
        "forwarded_attempt",
        "has_reached_backend",
        "is_closed",
        "slot",
        "timer",
    )

    def __init__(self, call: Call, slot: ResponseSlot, expires_at_ns: int) -> None:
        """Creates an open request.

        `slot` is the place among its client's answers, `expires_at_ns` the deadline by the gateway's clock.
        """
        self.call = call
        self.slot = slot
        self.expires_at_ns = expires_at_ns
        self.is_closed = False
        self.has_reached_backend = False  # whether an attempt that has ended may have been executed
        self.attempt_count = 0
        self.attempts_in_flight: dict[int, Attempt] = {}  # attempts by index
        self.timer: LagTolerantTimer | None = None
        self.forwarded_attempt: Attempt | None = None  # the attempt whose long value is forwarded

    def may_have_been_executed(self) -> bool:
        """Returns whether a backend may have executed the request, or may yet."""
        return self.has_reached_backend or any(
            attempt.is_written for attempt in self.attempts_in_flight.values()
        )
