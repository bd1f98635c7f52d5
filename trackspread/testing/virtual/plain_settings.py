"""Provides settings with one class and one plan, for tests in which only the limits matter."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ...decide.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

SECOND = 1_000_000_000


def plain_settings(plan: Plan, **changes: Any) -> Settings:
    """Returns settings of one gateway with one class and this plan; `changes` replace fields of them."""
    settings = Settings(
        classes=(
            RequestClass(
                "read", SECOND, 3 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0
            ),
        ),
        plans=(plan,),
        zone=0,
        gateway_index=0,
        gateway_count=1,
        load_report_names=(),
        max_attempts=3,
        may_hedge=False,
        may_cancel=True,
        may_check_health=False,
        may_gossip=False,
        may_send_retry_after=True,
        max_retry_after_ns=SECOND,
        has_shared_counter=False,
        metering_period_ns=0,
        largest_request_units=1.0,
        peer_messages_per_s=0.0,
        units_settled_later=False,
        polls_discovery=False,
        poll_within_ns=0,
        drain_grace_ns=SECOND,
        overload_window_ns=SECOND,
        overload_multiple=3.0,
        slow_start_capacity=0.2,
        slow_start_ns=20 * SECOND,
        cross_zone_cost=0.0,
    )
    return replace(settings, **changes)
