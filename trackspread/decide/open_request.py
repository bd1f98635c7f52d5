"""A request that still owes its final answer, with the attempts made for it."""

from __future__ import annotations

from dataclasses import dataclass, field

from .backends import Backend
from .commitment import Commitment
from .events import RequestArrived
from .tenant_account import NO_BALANCES, Balances, TenantAccount


@dataclass(slots=True)
class OpenRequest:
    """A request that still owes its final answer."""

    arrival: RequestArrived
    commitment: Commitment
    max_attempts: int  # as the settings had it when the request arrived
    attempts_started: int = 0
    attempts_in_flight: int = 0
    tried_backends: set[int] = field(default_factory=set)  # ids
    may_have_executed: bool = False
    deduplicated_from_ns: int = 0  # start of the first attempt that may have executed
    deduplicated_by: Backend | None = None  # where that one went: its zone or cell remembers the key
    last_attempt_at_ns: int = 0
    first_byte_after_ns: int = 0  # from an attempt's start to the first byte of its long value; 0: none
    queued_at_ns: int = 0  # for an answer; 0: never
    counted_remotely: bool = False  # counted as in flight at the quota's owner or on the counter
    balances_before: Balances = NO_BALANCES  # of the account, before the request took of them ...
    balances_taken: Balances = NO_BALANCES  # ... and what it took
    reached_backend: bool = False  # an attempt may have come to a backend: then the units are used

    @property
    def account(self) -> TenantAccount:
        """The quota state of the request's tenant."""
        return self.commitment.account
