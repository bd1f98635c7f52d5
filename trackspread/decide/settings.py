"""What a decision module is given at its start: request classes, plans, limits of the platform.

Times are integer nanoseconds, rates are per second. Everything is immutable; nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a class allows once an attempt may have executed: any repetition, one with its idempotency key, or
    none."""

    IDEMPOTENT = "free"
    WITH_KEY = "guarded"
    NOT_IDEMPOTENT = "single_shot"


class DeduplicationScope(Enum):
    """Which backends recognize a request's idempotency key: all, those of a zone, or of a cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request.

    `latency_objective_ns`: from arrival to answer; a later answer, until `deadline_ns`, counts
    `late_priority_weight` in place of `priority_weight`. `deduplication_window_ns`: how long the backends of
    `deduplication_scope` remember an idempotency key."""

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
    """Limits of one plan, for each of its tenants over all gateways together; 0 means no such limit.

    `rate_per_s`, `burst_units`: the quota's token bucket. `concurrency_limit`: attempts in flight.
    `priority_factor`: on the priority weight of its requests. `overage_weight`, `overage_cost`: what a unit
    beyond the quota earns and costs, as a part of its weight. `hard_limit_per_s`, `hard_limit_burst_units`:
    the token bucket that is never overdrawn by more than `hard_limit_slack_units`."""

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
    """What a decision module is given at its start; what is left out is off, or describes a lone gateway."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]

    # The place of this gateway.
    zone: int = 0
    gateway_index: int = 0  # in the settings' list of gateways
    gateway_count: int = 1

    # What the platform lets a gateway do.
    max_attempts: int = 3  # of one request
    may_hedge: bool = False  # no rule uses it yet
    may_cancel: bool = False  # no rule uses it yet
    may_check_health: bool = False
    may_gossip: bool = False
    peer_messages_per_s: float = 0.0  # that one gateway takes in
    may_send_retry_after: bool = True
    max_retry_after_ns: int = 1_000_000_000
    has_shared_counter: bool = False
    has_leased_quotas: bool = False  # the host says how much of each quota this gateway has; then no gossip

    # What is reported of use and load.
    load_report_names: tuple[str, ...] = ()
    metering_period_ns: int = 0  # 0: no meter reports the use of quotas
    largest_request_units: float = 1.0
    units_settled_later: bool = False  # a request's units are an estimate until its answer

    # Service discovery and draining.
    polls_discovery: bool = False
    poll_within_ns: int = 0  # no rule uses it yet
    # After a drain is known, for writing attempts decided before (for the host).
    drain_grace_ns: int = 1_000_000_000

    # Backends that are warming up.
    slow_start_capacity: float = 0.2  # part of its capacity that a backend surely has at its start
    slow_start_ns: int = 20_000_000_000
    overload_multiple: float = 3.0  # of its present capacity, sent over ...
    overload_window_ns: int = 1_000_000_000  # ... this long, that takes such a backend down

    cross_zone_cost: float = 0.0  # of an attempt in another zone, in usual latencies
