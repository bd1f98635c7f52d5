"""A request that was accepted, and the units of time that it is handled in."""

from __future__ import annotations

from ..backends.attempt import Attempt
from ..call import Call
from ..fronts.client import ResponseSlot
from ..lag import LagTolerantTimer

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000


class Request:
    """A request that was accepted, until its final answer and its last attempt's end."""

    __slots__ = (
        "attempt_count",
        "attempts_in_flight",
        "call",
        "expires_at_ns",
        "forwarded_attempt",
        "is_closed",
        "slot",
        "timer",
    )

    def __init__(self, call: Call, slot: ResponseSlot, expires_at_ns: int) -> None:
        """`slot`: where its client waits for the answer; `expires_at_ns`: by the gateway's clock."""
        self.call = call
        self.slot = slot
        self.expires_at_ns = expires_at_ns
        self.is_closed = False
        self.attempt_count = 0
        self.attempts_in_flight: dict[int, Attempt] = {}  # by index
        self.timer: LagTolerantTimer | None = None
        self.forwarded_attempt: Attempt | None = None  # whose long value is being forwarded
