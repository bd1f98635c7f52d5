"""Provides invented settings and events; no value is taken from a deployment's files."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from trackspread.decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from trackspread.decide.events import AttemptEnded, Outcome, RequestArrived
from trackspread.decide.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from trackspread.testing.virtual.plain_settings import plain_settings

MS = 1_000_000
SECOND = 1_000_000_000
SAFE, KEYED, UNSAFE = 0, 1, 2

CLASSES = (
    RequestClass(
        "read", SECOND, 3 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5 * SECOND
    ),
    RequestClass(
        "submit", SECOND, 3 * SECOND, 2.0, 0.0, Idempotency.WITH_KEY, DeduplicationScope.CELL, 2 * SECOND
    ),
    RequestClass(
        "charge", SECOND, 3 * SECOND, 4.0, 0.0, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 5 * SECOND
    ),
)
PLAN = Plan("p", 10.0, 20.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
SETTINGS = plain_settings(
    PLAN,
    classes=CLASSES,
    gateway_count=2,
    load_report_names=("concurrent",),
    max_attempts=4,
    may_hedge=True,
    may_gossip=True,
    peer_messages_per_s=60.0,
    poll_within_ns=10 * SECOND,
    overload_window_ns=2 * SECOND,
    cross_zone_cost=0.01,
)


def settings(**changes: Any) -> Settings:
    """Returns `SETTINGS` with some fields replaced."""
    return replace(SETTINGS, **changes)


def plan(**changes: Any) -> Plan:
    """Returns `PLAN` with some fields replaced."""
    return replace(PLAN, **changes)


def backend(number: int, health: Health = Health.READY, booted: int = 0, cell: int = 0) -> Backend:
    """Returns a backend of weight 1 in the first zone."""
    return Backend(number, 0, 0, cell, health, 1.0, booted)


def full_list(*entries: Backend, kind: EndpointUpdateKind = EndpointUpdateKind.FULL) -> EndpointUpdate:
    """Returns an update of the endpoint list; it is the full list unless `kind` is another."""
    return EndpointUpdate(kind, 1, entries)


def arrival(request: int, now: int, cls: int = SAFE, customer: int = 1, **changes: Any) -> RequestArrived:
    """Returns the arrival of a request whose deadline is 3 s after `now`, in nanoseconds."""
    event = RequestArrived(request, cls, 0, customer, now + 3 * SECOND, 1.0, 2, 0, 0)
    return replace(event, **changes)


def ended(
    request: int,
    server: int,
    outcome: Outcome = Outcome.OK,
    attempt: int = 0,
    elapsed: int = 100 * MS,
    finished: bool | None = None,
) -> AttemptEnded:
    """Returns the end of an attempt.

    Unless `finished` is given, the request is finished when the outcome is OK.
    """
    is_finished = outcome is Outcome.OK if finished is None else finished
    return AttemptEnded(request, is_finished, 0, server, 0, outcome, elapsed, attempt, ())
