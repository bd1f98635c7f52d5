"""Simulates plan changes and reservations under load, and checks them against an exact token bucket.

There is one gateway, and one tenant that requests several times its quota. At every forwarded request a
reference bucket in exact fractions must hold the units, and nearly all of the requests that it would have
admitted must be forwarded. The check uses the events of the decision module and the rule by which tokens are
carried over when a plan changes, and does not depend on how the module stores its tokens.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import replace
from fractions import Fraction
from functools import partial
from typing import Any
from unittest.mock import patch

from ...decide.broker import Broker
from ...decide.actions import SetTimer, StartAttempt
from ...decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from ...decide.events import AttemptEnded, Event, Outcome, PlansChanged, RequestArrived, TimerFired
from ...decide.settings import Plan
from ...decide.quota import Quota, accounts
from ...decide.quota.sharing import QuotaSharing
from ...decide.quota.state import QuotaState
from ...decide.tenant_account import rescaled_tokens
from .clock import Clock
from .patches import applied
from .plain_settings import plain_settings

MILLISECOND, SECOND = 1_000_000, 1_000_000_000
SPAN = 30 * SECOND  # several changes, each among many bursts of requests
FIRST_CHANGE_NS = 3 * SECOND
REQUEST_WAIT_NS = 3 * SECOND
MIN_FORWARDED_SHARE = 0.99  # of the requests that the reference admits, as no other limit applies
SLACK_UNITS = Fraction(1, 10**6)  # tolerance for the rounding of the module's floats
LOAD_FACTOR = 3  # ratio of the requested rate to the quota
TENANT = 77
BACKENDS = (1, 2, 3)


class ReferenceBucket:
    """Holds a token bucket in exact fractions, which starts full."""

    def __init__(self, rate_per_s: float, burst_units: float, now: int) -> None:
        self.rate_per_s = Fraction(rate_per_s)
        self.burst_units = Fraction(burst_units)
        self.updated_at = now
        self.tokens = self.burst_units

    def refill(self, now: int) -> None:
        """Adds the tokens that the rate yields until a time in ns."""
        refilled = self.tokens + self.rate_per_s * Fraction(now - self.updated_at, SECOND)
        self.tokens = min(self.burst_units, refilled)
        self.updated_at = now

    def change(self, now: int, rate_per_s: float, burst_units: float) -> None:
        """Changes the limits; a smaller burst scales the tokens down, and a larger one leaves them."""
        self.refill(now)
        burst = Fraction(burst_units)
        self.tokens = min(self.tokens, self.tokens * burst / self.burst_units)
        self.rate_per_s = Fraction(rate_per_s)
        self.burst_units = burst


class _Run:
    """Runs one gateway on its clock, with two reference buckets."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"booked:{seed}")
        self.clock = Clock()
        rng, now = self.rng, self.clock.now
        self.plan = Plan("team", rng.uniform(2, 20), rng.uniform(4, 40), 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
        self.reservation = (0.0, 0.0)  # rate per second and burst units, in addition to the plan's
        self.broker = Broker(plain_settings(self.plan), seed, now)
        rate_per_s, burst_units = self.plan.rate_per_s, self.plan.burst_units
        self.of_forwarded = ReferenceBucket(rate_per_s, burst_units, now)  # charged with forwarded requests
        self.of_requested = ReferenceBucket(rate_per_s, burst_units, now)  # charged with those it admits
        self.violations: list[str] = []
        self.forwarded = 0
        self.admissible = 0  # requests that the reference admits

    def play(self) -> None:
        """Runs all requests and changes."""
        backends = tuple(Backend(number, 0, 0, 0, Health.READY, 1.0, 0) for number in BACKENDS)
        self._handle(EndpointUpdate(EndpointUpdateKind.FULL, 1, backends))
        self.clock.after(0, partial(self._send_request, 1))
        self.clock.after(FIRST_CHANGE_NS, self._change_plan)
        self.clock.run(self.clock.now + SPAN)
        if self.forwarded < MIN_FORWARDED_SHARE * self.admissible:
            counts = f"{self.forwarded} requests were forwarded, of {self.admissible}"
            self.violations.append(f"{counts} that the reference bucket admits")

    def _handle(self, event: Event) -> None:
        for action in self.broker.handle(self.clock.now, event):
            if isinstance(action, SetTimer):
                self.clock.after(action.after_ns, partial(self._handle, TimerFired(action.token)))
            elif isinstance(action, StartAttempt):
                self._forward(action)

    def _forward(self, action: StartAttempt) -> None:
        now, bucket = self.clock.now, self.of_forwarded
        bucket.refill(now)
        bucket.tokens -= 1
        self.forwarded += 1
        if bucket.tokens < -SLACK_UNITS:
            self.violations.append(
                f"at {now}: {float(-bucket.tokens):.3f} units were forwarded beyond the limit"
            )
        ended = AttemptEnded(action.request, True, 0, action.backend, 0, Outcome.OK, MILLISECOND, 0, ())
        self.clock.after(MILLISECOND, partial(self._handle, ended))

    def _send_request(self, number: int) -> None:
        now = self.clock.now
        self.of_requested.refill(now)
        if self.of_requested.tokens >= 1:
            self.of_requested.tokens -= 1
            self.admissible += 1
        self._handle(RequestArrived(number, 0, 0, TENANT, now + REQUEST_WAIT_NS, 1.0, 1, 0, 0))
        wait_s = self.rng.expovariate(LOAD_FACTOR * (self.plan.rate_per_s + self.reservation[0]))
        self.clock.after(int(wait_s * SECOND) + 1, partial(self._send_request, number + 1))

    def _change_plan(self) -> None:
        """Changes the plan's limits, or begins or ends a reservation, and schedules the next change."""
        rng = self.rng
        if rng.random() < 0.5:
            factor = rng.choice((0.25, 0.5, 2.0, 4.0))
            rate_per_s = min(40.0, max(1.0, self.plan.rate_per_s * factor))
            burst_units = max(2.0, rate_per_s * rng.uniform(1.0, 3.0))
            self.plan = replace(self.plan, rate_per_s=rate_per_s, burst_units=burst_units)
        else:
            rate_per_s = rng.uniform(1, 20)
            self.reservation = (0.0, 0.0) if self.reservation[0] else (rate_per_s, 2 * rate_per_s)
        reserved_per_s, reserved_units = self.reservation
        for bucket in (self.of_forwarded, self.of_requested):
            limits = self.plan.rate_per_s + reserved_per_s, self.plan.burst_units + reserved_units
            bucket.change(self.clock.now, *limits)
        reserved = ((TENANT, *self.reservation),) if reserved_per_s else ()
        self._handle(PlansChanged((self.plan,), reserved))
        self.clock.after(rng.randint(SECOND, 6 * SECOND), self._change_plan)


def play(seed: int) -> list[str]:
    """Returns the violations of one run, none if tokens were carried over correctly at every change."""
    return run(seed)[0]


def run(seed: int) -> tuple[list[str], int, int]:
    """Returns the violations, the number of forwarded requests, and the number that the reference admits."""
    simulated = _Run(seed)
    simulated.play()
    return simulated.violations, simulated.forwarded, simulated.admissible


def _carried_tokens(mutant: Callable[[float, float, float], float]) -> list[Any]:
    """Computes the tokens after a change by another rule, from the tokens, the old and the new burst."""

    def rescaled(tokens: float, old: float, new: float) -> float:
        return mutant(tokens, old, new) if old else 0.0

    return [patch.object(accounts, "rescaled_tokens", rescaled)]


def _refilled_at_new_rate() -> list[Any]:
    """Refills the time before a change at the new rate."""

    def mutant(sharing: QuotaSharing, now: int, account: Any, index: int) -> None:
        old, new = account.plan, accounts.plan_of(sharing.state, account.tenant, index)
        account.plan = new
        account.plan_index = index
        account.tokens = rescaled_tokens(account.tokens, old.burst_units, new.burst_units)

    return [patch.object(accounts, "change_plan", mutant)]


def _reservation_never_ends() -> list[Any]:
    """Keeps a reservation after its end."""
    real = Quota.change_plans

    def mutant(self: Quota, now: int, event: PlansChanged) -> None:
        earlier = tuple((tenant, *limits) for tenant, limits in self.reservations.items())
        real(self, now, PlansChanged(event.plans, event.reserved or earlier))

    return [patch.object(Quota, "change_plans", mutant)]


def _reservation_replaces_plan() -> list[Any]:
    """Replaces the plan's limits with the reservation."""
    real = accounts.plan_of

    def mutant(state: QuotaState, tenant: int, index: int) -> Plan:
        plan = real(state, tenant, index)
        rate_per_s, burst_units = state.reservations.get(tenant, (0.0, 0.0))
        return replace(plan, rate_per_s=rate_per_s, burst_units=burst_units) if rate_per_s else plan

    return [patch.object(accounts, "plan_of", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "full-after-change": lambda: _carried_tokens(lambda tokens, old, new: new),
    "scaled-up-too": lambda: _carried_tokens(lambda tokens, old, new: tokens * new / old),
    "never-scaled": lambda: _carried_tokens(lambda tokens, old, new: tokens),
    "empty-after-change": lambda: _carried_tokens(lambda tokens, old, new: 0.0),
    "refilled-at-new-rate": _refilled_at_new_rate,
    "reservation-never-ends": _reservation_never_ends,
    "reservation-replaces-plan": _reservation_replaces_plan,
    "changes-ignored": lambda: [patch.object(Quota, "change_plans", lambda self, now, event: None)],
}


def first_detecting_seed(name: str, seeds: Iterator[int]) -> int | None:
    """Returns the first seed whose run detects the mutant, or None if none does."""
    with applied(MUTANTS[name]()):
        return next((seed for seed in seeds if play(seed)), None)
