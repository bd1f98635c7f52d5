"""Defines what a decision module is given at its start: request classes, plans and limits of the platform.

Times are integer nanoseconds and rates are per second. All types are immutable and contain no decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Defines how a request may be repeated once an attempt may have been executed.

    It may be repeated freely, with its idempotency key only, or not at all.
    """

    IDEMPOTENT = "free"
    WITH_KEY = "guarded"
    NOT_IDEMPOTENT = "single_shot"


class DeduplicationScope(Enum):
    """Defines which backends recognize a request's idempotency key: all, or those of a zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Holds the properties of one class of request.

    `latency_objective_ns` is the time from arrival to answer. A later answer, until `deadline_ns`, counts
    `late_priority_weight` instead of `priority_weight`. The backends of `deduplication_scope` remember an
    idempotency key for `deduplication_window_ns`.
    """

    name: str
    latency_objective_ns: int
    deadline_ns: int
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ns: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Holds the limits of one plan, for each of its tenants over all gateways; 0 means no limit.

    `rate_per_s` and `burst_units` define the quota's token bucket. `concurrency_limit` bounds the attempts in
    flight. `priority_factor` multiplies the priority weight of requests. `overage_weight` and `overage_cost`
    are what a unit beyond the quota earns and costs, as parts of its weight. `hard_limit_per_s` and
    `hard_limit_burst_units` define a token bucket that is never overdrawn by more than
    `hard_limit_slack_units`.
    """

    name: str
    rate_per_s: float = 0.0
    burst_units: float = 0.0
    concurrency_limit: int = 0
    priority_factor: float = 1.0
    overage_weight: float = 0.0
    overage_cost: float = 1.0
    hard_limit_per_s: float = 0.0
    hard_limit_burst_units: float = 0.0
    hard_limit_slack_units: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Holds what a decision module is given at its start.

    By default a feature is off, or the value describes a single gateway.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]

    zone: int = 0
    gateway_index: int = 0  # position in the settings' list of gateways
    gateway_count: int = 1

    max_attempts: int = 3  # limit for one request
    may_hedge: bool = False  # no rule uses it yet
    may_cancel: bool = False  # no rule uses it yet
    may_check_health: bool = False
    may_gossip: bool = False
    peer_messages_per_s: float = 0.0  # messages that one gateway accepts
    may_send_retry_after: bool = True
    max_retry_after_ns: int = 1_000_000_000
    has_shared_counter: bool = False
    # The host leases parts of each quota to this gateway, which then sends no gossip.
    has_leased_quotas: bool = False

    load_report_names: tuple[str, ...] = ()
    metering_period_ns: int = 0  # 0 if no meter reports the use of quotas
    largest_request_units: float = 1.0
    max_accounts: int = 1 << 20  # tenants that are known at the same time
    units_settled_later: bool = False  # whether a request's units are an estimate until its answer

    polls_discovery: bool = False
    poll_within_ns: int = 0  # no rule uses it yet
    # Time after a drain becomes known in which attempts decided earlier may still be sent (used by the host).
    drain_grace_ns: int = 1_000_000_000

    slow_start_capacity: float = 0.2  # part of its capacity that a backend certainly has when it starts
    slow_start_ns: int = 20_000_000_000
    # A backend that is warming up fails when it gets this multiple of its present capacity for
    # `overload_window_ns`.
    overload_multiple: float = 3.0
    overload_window_ns: int = 1_000_000_000

    cross_zone_cost: float = 0.0  # cost of an attempt in another zone, in usual latencies
