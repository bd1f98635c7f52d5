"""One tenant's quota state at one gateway: token buckets, shares of limits, and what others reported."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .decaying_mean import DecayingMean
from .settings import Plan

QUARTERS_PER_UNIT = 4


class Balances(NamedTuple):
    """What is in an account's buckets, or was taken out of them."""

    tokens: float
    static_tokens: float
    hard_limit_tokens: float
    unreported_quarter_units: int  # counted as not forwarded: falls with each unit that is


NO_BALANCES = Balances(0.0, 0.0, 0.0, 0)


def rescaled_tokens(tokens: float, old_burst: float, new_burst: float) -> float:
    """Units of a bucket under another burst. One that had no burst, and so was not counted, begins empty."""
    if tokens <= 0.0 or old_burst <= 0.0:
        return min(tokens, 0.0)
    return tokens * min(1.0, new_burst / old_burst)


class UnsettledGrant(NamedTuple):
    """Units that an owner granted to a gateway, which has not reported yet that it used them."""

    units: float
    granted_at_ns: int


class PeerAttempts(NamedTuple):
    """Attempts of a tenant's that were in flight at a peer, as it reported."""

    attempts: int
    reported_at_ns: int


@dataclass(frozen=True, slots=True)
class TenantGateways:
    """Those that a tenant's requests come through: `span` in a row of the settings' list from `first` on."""

    first: int = 0
    span: int = 0  # 0: not known yet
    share_count: int = 0  # even shares of the tenant's limits; 0 while no request of it came here
    peers: tuple[int, ...] = ()  # those whose gossip reports its use here


@dataclass(frozen=True, slots=True)
class LeasedShares:
    """Parts of a tenant's limits that the host leases to this gateway."""

    quota_share: float = 0.0
    hard_limit_share: float = 0.0
    concurrency_share: float = 0.0
    more_expected: bool = False  # whether it may pay to ask the host for more


UNKNOWN_GATEWAYS = TenantGateways()
NOTHING_LEASED = LeasedShares()


@dataclass(slots=True)
class CounterRecord:
    """What is known of a tenant's number on the shared counter."""

    in_flight_known_at_ns: int  # when the counter last answered
    in_flight_elsewhere: int = 0  # attempts at other gateways, by that answer
    correction_units: float = 0.0  # to be added with the next call


@dataclass(slots=True)
class OwnerRecord:
    """What a gateway keeps as the owner of a tenant's quota; others by their numbers."""

    is_owner: bool = False  # by the view in which the owner was last looked up
    is_taking_over: bool = False  # it became so, and nobody has reported yet what the former owner had
    queried_at_ns: dict[int, int] = field(default_factory=dict)  # when each gateway last asked
    unsettled_grants: dict[int, UnsettledGrant] = field(default_factory=dict)
    taken_over_at_ns: dict[int, int] = field(default_factory=dict)  # former owners whose buckets came here


@dataclass(slots=True)
class TenantAccount:
    """What this gateway knows of one tenant, whatever services it asks for."""

    tenant: int
    plan: Plan
    plan_index: int
    quota_owner: int  # the gateway that owns the quota where quotas have owners

    # The token bucket. With an owner or a counter: as it last answered.
    tokens: float
    refilled_at_ns: int
    last_request_ns: int
    tokens_known_at_ns: int  # when owner or counter last answered

    # Demand and answers.
    demand: DecayingMean  # its value: units a request; its rate: requests a second, over `SHORT_TERM`
    grant_ratio: DecayingMean  # 1 for a request that was granted, 0 for one that was denied
    long_term_demand: DecayingMean  # the same over a longer time

    counter: CounterRecord
    gateways: TenantGateways = UNKNOWN_GATEWAYS
    lease: LeasedShares = NOTHING_LEASED
    owner_record: OwnerRecord = field(default_factory=OwnerRecord)

    # Other buckets.
    static_tokens: float = 0.0  # this gateway's static share of the token bucket
    hard_limit_tokens: float = 0.0
    transfer_request: int = 0  # the last query for some of a peer's part of the hard limit, until answered
    # Refill that never was in the bucket here: it was full, or not this gateway's.
    overflow_units: float = 0.0
    unresponsive_units: float = 0.0  # in the shares of unresponsive peers, if they have used nothing

    # What is reported to others, and by them.
    in_flight: int = 0  # attempts of this gateway's
    forwarded_quarter_units: int = 0  # inside the quota, since this gateway's start
    # Counted as forwarded, never came to a backend: later ones count for them.
    refunded_quarter_units: int = 0
    announcements_due: int = 0  # messages of totals that are to report it
    peer_totals: dict[int, int] = field(default_factory=dict)  # quarter units that each last reported
    peers_in_flight: dict[int, PeerAttempts] = field(default_factory=dict)
    pending_queries: int = 0  # requests that wait for the owner's answer
    tokens_reported_by: int = 0  # the owner that last answered
    owner_of_view: int = -1  # version of the fleet in which the owner was looked up
    rejection_reason: str = ""  # the last limit known here that rejected a request; not an owner's denial

    def forget_owned_state(self) -> None:
        """What this gateway knew as the tenant's owner is of an earlier time, and holds no longer."""
        self.overflow_units = 0.0
        self.unresponsive_units = 0.0
        self.peer_totals = {}
        self.owner_record = OwnerRecord(self.owner_record.is_owner, self.owner_record.is_taking_over)

    def count_forwarded(self, units: float) -> None:
        """Count units as forwarded inside the quota. The total that others see may only grow, so what was
        refunded counts first."""
        quarters = round(QUARTERS_PER_UNIT * units)
        covered = min(quarters, self.refunded_quarter_units)
        self.refunded_quarter_units -= covered
        self.forwarded_quarter_units += quarters - covered

    def balances(self) -> Balances:
        """What is in the buckets now."""
        return Balances(
            self.tokens,
            self.static_tokens,
            self.hard_limit_tokens,
            self.refunded_quarter_units - self.forwarded_quarter_units,
        )

    def taken_since(self, before: Balances) -> Balances:
        """What was taken out of the buckets since they had these balances."""
        return Balances(
            before.tokens - self.tokens,
            before.static_tokens - self.static_tokens,
            before.hard_limit_tokens - self.hard_limit_tokens,
            before.unreported_quarter_units - self.refunded_quarter_units + self.forwarded_quarter_units,
        )

    def refund(self, taken: Balances) -> None:
        """Refund what was taken. The buckets are not overfilled for long, as each refill is bounded."""
        refilled = min(self.plan.burst_units, self.tokens + taken.tokens)
        self.tokens = max(self.tokens, refilled)
        self.static_tokens += taken.static_tokens
        self.hard_limit_tokens += taken.hard_limit_tokens
        self.refunded_quarter_units += taken.unreported_quarter_units
