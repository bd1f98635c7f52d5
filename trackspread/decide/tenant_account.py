"""Holds one tenant's quota state at one gateway: token buckets, shares of limits and reports of others."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .decaying_mean import DecayingMean
from .settings import Plan

QUARTERS_PER_UNIT = 4


class Balances(NamedTuple):
    """Holds the balances of an account's buckets, or the amounts taken out of them."""

    tokens: float
    static_tokens: float
    hard_limit_tokens: float
    unreported_quarter_units: int  # counted as not forwarded; falls with each unit that is forwarded


NO_BALANCES = Balances(0.0, 0.0, 0.0, 0)


def rescaled_tokens(tokens: float, old_burst: float, new_burst: float) -> float:
    """Returns the tokens of a bucket whose burst has changed.

    A bucket that had no burst was not in use and starts empty.
    """
    if tokens <= 0.0 or old_burst <= 0.0:
        return min(tokens, 0.0)
    return tokens * min(1.0, new_burst / old_burst)


class UnsettledGrant(NamedTuple):
    """Holds units that an owner granted to a gateway which has not reported their use yet."""

    units: float
    granted_at_ns: int


class ArrivalInTransit(NamedTuple):
    """Holds the units of the hard limit that were in transit just before a request arrived at a backend."""

    units_in_transit: float
    at_ns: int


class UnitsInTransit(NamedTuple):
    """Holds units that a gateway reported as in transit, of requests that the owner granted."""

    units: float
    reported_at_ns: int


class PeerAttempts(NamedTuple):
    """Holds the number of a tenant's attempts that a peer reported as in flight."""

    attempts: int
    reported_at_ns: int


@dataclass(frozen=True, slots=True)
class TenantGateways:
    """Holds the gateways that a tenant's requests come through.

    They are `span` consecutive gateways of the settings' list, starting at `first`.
    """

    first: int = 0
    span: int = 0  # 0 if not known yet
    # Number of even shares of the tenant's limits; 0 until a request of the tenant arrives here.
    share_count: int = 0
    peers: tuple[int, ...] = ()  # gateways whose gossip reports the tenant's use


@dataclass(frozen=True, slots=True)
class LeasedShares:
    """Holds the parts of a tenant's limits that the host leases to this gateway."""

    quota_share: float = 0.0
    hard_limit_share: float = 0.0
    concurrency_share: float = 0.0
    more_expected: bool = False  # whether the host may lease more if it is asked


UNKNOWN_GATEWAYS = TenantGateways()
NOTHING_LEASED = LeasedShares()


@dataclass(slots=True)
class CounterRecord:
    """Holds what is known of a tenant's number on the shared counter."""

    in_flight_known_at_ns: int  # last answer of the counter
    in_flight_elsewhere: int = 0  # attempts at other gateways, according to that answer
    correction_units: float = 0.0  # added to the next call


@dataclass(slots=True)
class OwnerRecord:
    """Holds what the owner of a tenant's quota records about other gateways, by their numbers."""

    is_owner: bool = False  # as of the fleet view in which the owner was last looked up
    # It has become the owner, and no gateway has reported the former owner's balance yet.
    is_taking_over: bool = False
    queried_at_ns: dict[int, int] = field(default_factory=dict)  # last query of each gateway
    unsettled_grants: dict[int, UnsettledGrant] = field(default_factory=dict)
    units_in_transit: dict[int, UnitsInTransit] = field(default_factory=dict)  # last report of each gateway
    # Former owners whose balances were added to the bucket here, and when.
    taken_over_at_ns: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class TenantAccount:
    """Holds what this gateway knows of one tenant, whatever services it uses."""

    tenant: int
    plan: Plan
    plan_index: int
    quota_owner: int  # the gateway that owns the quota, where quotas have owners

    # Balance of the token bucket; with an owner or a counter, the balance in its last answer.
    tokens: float
    refilled_at_ns: int
    last_request_ns: int
    tokens_known_at_ns: int  # last answer of the owner or the counter

    demand: DecayingMean  # its value is units per request, its rate is requests per second over `SHORT_TERM`
    grant_ratio: DecayingMean  # samples are 1 for a granted request and 0 for a denied one
    long_term_demand: DecayingMean  # the same as `demand` over a longer time

    counter: CounterRecord
    gateways: TenantGateways = UNKNOWN_GATEWAYS
    lease: LeasedShares = NOTHING_LEASED
    owner_record: OwnerRecord = field(default_factory=OwnerRecord)

    static_tokens: float = 0.0  # this gateway's static share of the token bucket
    hard_limit_tokens: float = 0.0
    units_in_transit: float = 0.0  # taken out of it by requests that may not have arrived at a backend yet
    arrivals_since_refill: list[ArrivalInTransit] = field(default_factory=list)
    # Number of the query that asks a peer for a part of its hard limit; 0 once it is answered.
    transfer_request: int = 0
    # Refill that was not added to the bucket here, because it was full or the refill was not this gateway's.
    overflow_units: float = 0.0
    # Units in the shares of unresponsive peers, provided that these have used nothing.
    unresponsive_units: float = 0.0

    in_flight: int = 0  # attempts of this gateway only
    forwarded_quarter_units: int = 0  # within the quota, since this gateway's start
    # Units counted as forwarded that never reached a backend; units that are forwarded later are set against
    # them.
    refunded_quarter_units: int = 0
    announcements_due: int = 0  # messages of usage totals that still have to report the account
    peer_totals: dict[int, int] = field(default_factory=dict)  # quarter units in each peer's last report
    peers_in_flight: dict[int, PeerAttempts] = field(default_factory=dict)
    pending_queries: int = 0  # requests that wait for the owner's answer
    tokens_reported_by: int = 0  # the owner that answered last
    owner_of_view: int = -1  # version of the fleet in which the owner was last looked up
    # The last limit known here that rejected a request; an owner's denial is not recorded.
    rejection_reason: str = ""

    def forget_owned_state(self) -> None:
        """Drops what this gateway recorded as an earlier owner of the quota, because it is out of date."""
        self.overflow_units = 0.0
        self.unresponsive_units = 0.0
        self.peer_totals = {}
        self.owner_record = OwnerRecord(self.owner_record.is_owner, self.owner_record.is_taking_over)

    def count_forwarded(self, units: float) -> None:
        """Counts units as forwarded within the quota.

        The total that is reported to others must never decrease, so units that were refunded are used up
        first.
        """
        quarters = round(QUARTERS_PER_UNIT * units)
        covered = min(quarters, self.refunded_quarter_units)
        self.refunded_quarter_units -= covered
        self.forwarded_quarter_units += quarters - covered

    def balances(self) -> Balances:
        """Returns the present balances of the buckets."""
        return Balances(
            self.tokens,
            self.static_tokens,
            self.hard_limit_tokens,
            self.refunded_quarter_units - self.forwarded_quarter_units,
        )

    def taken_since(self, before: Balances) -> Balances:
        """Returns what was taken out of the buckets since they had these balances."""
        return Balances(
            before.tokens - self.tokens,
            before.static_tokens - self.static_tokens,
            before.hard_limit_tokens - self.hard_limit_tokens,
            before.unreported_quarter_units - self.refunded_quarter_units + self.forwarded_quarter_units,
        )

    def refund(self, taken: Balances) -> None:
        """Adds back what was taken out of the buckets.

        A bucket may exceed its limit only until its next refill, which is bounded.
        """
        refilled = min(self.plan.burst_units, self.tokens + taken.tokens)
        self.tokens = max(self.tokens, refilled)
        self.static_tokens += taken.static_tokens
        self.hard_limit_tokens += taken.hard_limit_tokens
        self.refunded_quarter_units += taken.unreported_quarter_units
