"""Settings with one class and one plan, for worlds in which only the limits matter."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ...decide.interface import Group, Plan, Repeat, RequestClass, Settings

SECOND = 1_000_000_000


def plain_settings(plan: Plan, **changes: Any) -> Settings:
    """One class, one plan, one gateway, where nothing else is said."""
    made = Settings(
        classes=(RequestClass("read", SECOND, 3 * SECOND, 1.0, 0.0, Repeat.SAFE, Group.ALL, 0),),
        plans=(plan,),
        zone=0,
        position=0,
        gateways=1,
        report_names=(),
        max_attempts=3,
        second_copies=False,
        may_cancel=True,
        may_probe=False,
        may_message=False,
        retry_advice=True,
        max_retry_after=SECOND,
        counter=False,
        meter_period=0,
        largest=1.0,
        messages_per_s=0.0,
        settled_after=False,
        ask_discovery=False,
        ask_within=0,
        drain_grace=SECOND,
        fall_window=SECOND,
        fall_multiple=3.0,
        start_capacity=0.2,
        warm_up=20 * SECOND,
        cross_zone_price=0.0,
    )
    return replace(made, **changes)
