"""Holds a request without a final answer, and the attempts made for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from .backends import Backend
from .commitment import Commitment
from .events import RequestArrived
from .tenant_account import NO_BALANCES, Balances, TenantAccount


class GrantedTransit(Enum):
    """Enumerates how long a request that the tenant's owner granted has been in transit."""

    NONE = auto()  # it was not granted by another gateway, or it has arrived
    RECENT = auto()
    LATE = auto()  # its units are part of the reports to the owner


@dataclass(slots=True)
class OpenRequest:
    """Holds a request without a final answer."""

    arrival: RequestArrived
    commitment: Commitment
    max_attempts: int  # the limit in the settings when the request arrived
    attempts_started: int = 0
    attempts_in_flight: int = 0
    tried_backends: set[int] = field(default_factory=set)  # ids
    may_have_executed: bool = False
    deduplicated_from_ns: int = 0  # start of the first attempt that may have executed
    deduplicated_by: Backend | None = None  # backend of that attempt, whose zone or cell remembers the key
    last_attempt_at_ns: int = 0
    # Time from an attempt's start to the first byte of a long value; 0 if none has arrived.
    first_byte_after_ns: int = 0
    queued_at_ns: int = 0  # 0 if the request was never queued
    counted_remotely: bool = False  # whether the quota owner or the counter counts it as in flight
    balances_before: Balances = NO_BALANCES  # the account's balances before the request took from them
    balances_taken: Balances = NO_BALANCES  # what the request took from the account
    # Until an attempt has certainly arrived: units that were taken out of the hard limit's bucket here, or
    # the state of a request that the tenant's owner granted.
    units_in_transit: float = 0.0
    granted_transit: GrantedTransit = GrantedTransit.NONE
    reached_backend: bool = False  # whether an attempt may have reached a backend; then the units are used

    @property
    def account(self) -> TenantAccount:
        """Returns the quota state of the request's tenant."""
        return self.commitment.account
