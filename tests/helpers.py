"""Hand-made settings and events; nothing here comes from a deployment's files."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from trackspread.decide.interface import (
    Arrival,
    AttemptEnded,
    Backend,
    Group,
    Health,
    ListKind,
    Outcome,
    Plan,
    Repeat,
    RequestClass,
    Settings,
    Topology,
)

MS = 1_000_000
SECOND = 1_000_000_000
SAFE, KEYED, UNSAFE = 0, 1, 2

CLASSES = (
    RequestClass("read", SECOND, 3 * SECOND, 1.0, 0.0, Repeat.SAFE, Group.ALL, 5 * SECOND),
    RequestClass("submit", SECOND, 3 * SECOND, 2.0, 0.0, Repeat.KEYED, Group.CELL, 2 * SECOND),
    RequestClass("charge", SECOND, 3 * SECOND, 4.0, 0.0, Repeat.UNSAFE, Group.ALL, 5 * SECOND),
)
PLAN = Plan("p", 10.0, 20.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
SETTINGS = Settings(
    classes=CLASSES,
    plans=(PLAN,),
    zone=0,
    position=0,
    gateways=2,
    report_names=("concurrent",),
    max_attempts=4,
    second_copies=True,
    may_cancel=True,
    may_probe=False,
    may_message=True,
    retry_advice=True,
    max_retry_after=SECOND,
    counter=False,
    meter_period=0,
    largest=1.0,
    messages_per_s=60.0,
    settled_after=False,
    ask_discovery=False,
    ask_within=10 * SECOND,
    drain_grace=SECOND,
    fall_window=2 * SECOND,
    fall_multiple=3.0,
    start_capacity=0.2,
    warm_up=20 * SECOND,
    cross_zone_price=0.01,
)


def settings(**changes: Any) -> Settings:
    return replace(SETTINGS, **changes)


def plan(**changes: Any) -> Plan:
    return replace(PLAN, **changes)


def backend(number: int, health: Health = Health.READY, booted: int = 0, cell: int = 0) -> Backend:
    return Backend(number, 0, 0, cell, health, 1.0, booted)


def full_list(*entries: Backend, kind: ListKind = ListKind.FULL) -> Topology:
    return Topology(kind, 1, entries)


def arrival(request: int, now: int, cls: int = SAFE, customer: int = 1, **changes: Any) -> Arrival:
    made = Arrival(request, cls, 0, customer, now + 3 * SECOND, 1.0, 2, 0, 0)
    return replace(made, **changes)


def ended(
    request: int,
    server: int,
    outcome: Outcome = Outcome.OK,
    attempt: int = 0,
    elapsed: int = 100 * MS,
    finished: bool | None = None,
) -> AttemptEnded:
    over = outcome is Outcome.OK if finished is None else finished
    return AttemptEnded(request, over, 0, server, 0, outcome, elapsed, attempt, ())
