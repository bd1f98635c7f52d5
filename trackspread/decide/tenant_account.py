"""One tenant's quota state at one gateway: token buckets, shares of limits and what others reported."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .decaying_mean import DecayingMean
from .settings import Plan

Balances = tuple[float, float, float, int]  # level, part, ceiling, quarter units not told as used
NO_BALANCES: Balances = (0.0, 0.0, 0.0, 0)


def rescaled_tokens(level: float, old: float, new: float) -> float:
    """A store's level under another burst; one that begins to count begins empty."""
    return level * min(1.0, new / old) if level > 0.0 and old > 0.0 else min(level, 0.0)


class UnsettledGrant(NamedTuple):
    """Units that an owner granted to a gateway, which has not reported yet that it used them."""

    units: float
    granted_at_ns: int


class PeerAttempts(NamedTuple):
    """Attempts of a tenant's that were in flight at a peer, as it reported."""

    attempts: int
    reported_at_ns: int


@dataclass(slots=True)
class TenantAccount:
    """What this gateway knows of one customer: its bucket and its slices, whatever services it asks for."""

    tenant: int
    plan: Plan
    plan_index: int  # the plan's
    quota_owner: int  # the gateway that keeps the customer's store where gateways are many, as of `homed`
    tokens: float
    refilled_at_ns: int
    last_request_ns: int
    tokens_known_at_ns: int  # when home or counter last told of its store
    in_flight_known_at_ns: int  # when others' open attempts were last told
    demand: DecayingMean
    grant_ratio: DecayingMean  # 1 for units granted, 0 for denied
    long_term_demand: DecayingMean  # units asked for here, remembered longer than the demand
    hard_limit_tokens: float = 0.0
    transfer_request: int = (
        0  # number of the last ask for some of a peer's part of the ceiling, until it is answered
    )
    static_tokens: float = 0.0  # this gateway's even slice of the store
    peers: tuple[int, ...] = ()
    static_shares: int = 0  # gateways among which it is sliced; 0 where none of its requests came here yet
    in_flight: int = 0
    forwarded_quarter_units: int = 0  # quarter units sent on inside the quota, since this gateway's start
    announcements_due: int = 0
    peer_totals: dict[int, int] = field(default_factory=dict)
    queried_at_ns: dict[int, int] = field(default_factory=dict)  # at home: when each last asked
    unsettled_grants: dict[int, UnsettledGrant] = field(
        default_factory=dict
    )  # at home: granted, not told as taken
    in_flight_elsewhere: int = 0  # open attempts elsewhere, as told by the counter
    peers_in_flight: dict[int, PeerAttempts] = field(default_factory=dict)  # as each peer told, and when
    pending_queries: int = 0  # requests that wait for the home's answer
    counter_correction_units: float = 0.0  # to be added to the counter with the next call
    quota_share: float = 0.0  # shares of quota and ceiling kept here, as the host says
    hard_limit_share: float = 0.0
    concurrency_share: float = 0.0
    overflow_units: float = (
        0.0  # refill that never was in the store here: it was full, or others' part while not heard
    )
    unresponsive_units: float = (
        0.0  # what those not heard would have in their part of the store, had they used nothing
    )
    more_expected: bool = False  # whether asking the host for more may pay
    first_gateway: int = (
        0  # the customer's set: so many gateways in a row from this one of the settings' list on
    )
    gateway_span: int = 0  # 0: not told yet
    is_owner: bool = False  # whether this gateway is the home, as of `homed`
    is_taking_over: bool = False  # it has become so, and nobody has told yet what the former home had
    tokens_reported_by: int = 0  # the home that last told of the store
    taken_over_at_ns: dict[int, int] = field(
        default_factory=dict
    )  # at home: others whose stores came here, and when
    owner_of_view: int = -1  # by which of the views taken in so far its home was found
    rejection_reason: str = ""  # which limit turned its last refused request away, where the host asks
    refunded_quarter_units: int = (
        0  # quarter units counted in `sent` that never came to a backend: later ones count for it
    )

    def forget_owned_state(self) -> None:
        """What this gateway knew as the tenant's owner is of an earlier time, and holds no longer."""
        self.overflow_units = 0.0
        self.unresponsive_units = 0.0
        self.taken_over_at_ns = {}
        self.peer_totals = {}
        self.queried_at_ns = {}
        self.unsettled_grants = {}

    def count_forwarded(self, units: float) -> None:
        """Count units as sent on inside the quota. What is told of them to others may only grow."""
        quarters = round(4 * units)
        again = min(quarters, self.refunded_quarter_units)
        self.refunded_quarter_units, self.forwarded_quarter_units = (
            self.refunded_quarter_units - again,
            self.forwarded_quarter_units + quarters - again,
        )

    def balances(self) -> Balances:
        return (
            self.tokens,
            self.static_tokens,
            self.hard_limit_tokens,
            self.refunded_quarter_units - self.forwarded_quarter_units,
        )

    def taken_since(self, before: Balances) -> Balances:
        return (
            before[0] - self.tokens,
            before[1] - self.static_tokens,
            before[2] - self.hard_limit_tokens,
            before[3] - self.refunded_quarter_units + self.forwarded_quarter_units,
        )

    def give_back(self, taken: Balances) -> None:
        """What the stores had more before; they are not overfilled for long, as each refill is bounded."""
        level, part, ceiling, quarters = taken
        self.tokens = max(self.tokens, min(self.plan.burst_units, self.tokens + level))
        self.static_tokens, self.hard_limit_tokens = (
            self.static_tokens + part,
            self.hard_limit_tokens + ceiling,
        )
        self.refunded_quarter_units += quarters
