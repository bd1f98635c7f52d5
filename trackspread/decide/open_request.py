"""A request that still owes its final answer, with the attempts made for it."""

from __future__ import annotations

from dataclasses import dataclass, field

from .backends import Backend
from .commitment import Commitment
from .events import RequestArrived
from .tenant_account import NO_BALANCES, TenantAccount, Balances


@dataclass(slots=True)
class OpenRequest:
    """A request that still owes its final answer."""

    arrival: RequestArrived
    commitment: Commitment
    max_attempts: int  # attempts, as the settings had it when it came
    attempts_started: int = 0
    attempts_in_flight: int = 0
    tried_backends: set[int] = field(default_factory=set)
    may_have_executed: bool = False
    deduplicated_from_ns: int = 0
    deduplicated_by: Backend | None = None
    last_attempt_at_ns: int = 0
    first_byte_after_ns: int = 0  # ns from an attempt's start to the first byte of its long value
    queued_at_ns: int = 0
    counted_remotely: bool = False  # counted as out on the counter
    balances_before: Balances = NO_BALANCES  # in the account's stores before it took of them ...
    balances_taken: Balances = NO_BALANCES  # ... and what it took
    reached_backend: bool = (
        False  # whether an attempt may have come whole to a backend: then the units are used
    )

    @property
    def account(self) -> TenantAccount:
        return self.commitment.account
