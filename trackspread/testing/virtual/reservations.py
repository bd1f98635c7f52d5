"""Plans and reservations that change under load, held against a store worked out apart, in virtual time.

May know: the module's events, the rule by which stores are carried over. May not know: how the module keeps
its stores. One gateway, one member that asks for several times its quota: at every request sent on, a
reference store, in exact fractions, must hold its units; and of what it would have let pass nearly all must
be sent on.
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
from .patches import held
from .plain_settings import plain_settings

MILLISECOND, SECOND = 1_000_000, 1_000_000_000
SPAN = 30 * SECOND  # some changes, each with many times a burst of demand round it
OWED = 0.99  # of what the reference lets pass: nothing else binds in these worlds
SLACK = Fraction(1, 10**6)  # units: rounding of the module's floats


class Reference:
    """One store, exactly."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate = Fraction(rate)
        self.burst = Fraction(burst)
        self.at = now
        self.level = self.burst

    def advance(self, now: int) -> None:
        self.level = min(self.burst, self.level + self.rate * Fraction(now - self.at, SECOND))
        self.at = now

    def change(self, now: int, rate: float, burst: float) -> None:
        self.advance(now)
        fresh = Fraction(burst)
        self.level = min(self.level, self.level * fresh / self.burst)
        self.rate = Fraction(rate)
        self.burst = fresh


def play(seed: int) -> list[str]:
    """What is wrong; nothing, if every change was carried over as promised."""
    return run(seed)[0]


def run(seed: int) -> tuple[list[str], int, int]:
    """As `play`, with the requests that were sent on, and those that the reference would have let pass."""
    rng, clock = random.Random(f"booked:{seed}"), Clock()
    base = Plan("team", rng.uniform(2, 20), rng.uniform(4, 40), 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    module = Broker(plain_settings(base), seed, clock.now)
    entries = tuple(Backend(n, 0, 0, 0, Health.READY, 1.0, 0) for n in (1, 2, 3))
    store, owed = (
        Reference(base.rate_per_s, base.burst_units, clock.now),
        Reference(base.rate_per_s, base.burst_units, clock.now),
    )
    wrong, counts = list[str](), [0, 0]  # sent on, owed
    current, extra = base, (0.0, 0.0)

    def handle(event: Event) -> None:
        for action in module.handle(clock.now, event):
            if isinstance(action, SetTimer):
                clock.after(action.after_ns, partial(handle, TimerFired(action.token)))
            elif isinstance(action, StartAttempt):
                store.advance(clock.now)
                store.level -= 1
                counts[0] += 1
                if store.level < -SLACK:
                    wrong.append(f"at {clock.now}: {float(-store.level):.3f} units too many were sent")
                end = AttemptEnded(action.request, True, 0, action.backend, 0, Outcome.OK, MILLISECOND, 0, ())
                clock.after(MILLISECOND, partial(handle, end))

    def ask(number: int) -> None:
        owed.advance(clock.now)
        if owed.level >= 1:
            owed.level -= 1
            counts[1] += 1
        handle(RequestArrived(number, 0, 0, 77, clock.now + 3 * SECOND, 1.0, 1, 0, 0))
        pause = rng.expovariate(3 * (current.rate_per_s + extra[0]))
        clock.after(int(pause * SECOND) + 1, partial(ask, number + 1))

    def change() -> None:
        nonlocal current, extra
        if rng.random() < 0.5:
            factor = rng.choice((0.25, 0.5, 2.0, 4.0))
            rate = min(40.0, max(1.0, current.rate_per_s * factor))
            current = replace(current, rate_per_s=rate, burst_units=max(2.0, rate * rng.uniform(1.0, 3.0)))
        else:
            rate = rng.uniform(1, 20)
            extra = (0.0, 0.0) if extra[0] else (rate, 2 * rate)
        for each in (store, owed):
            each.change(clock.now, current.rate_per_s + extra[0], current.burst_units + extra[1])
        handle(PlansChanged((current,), ((77, *extra),) if extra[0] else ()))
        clock.after(rng.randint(SECOND, 6 * SECOND), change)

    handle(EndpointUpdate(EndpointUpdateKind.FULL, 1, entries))
    clock.after(0, partial(ask, 1))
    clock.after(3 * SECOND, change)
    clock.run(clock.now + SPAN)
    if counts[0] < OWED * counts[1]:
        wrong.append(f"{counts[0]} requests were sent on, of {counts[1]} that the store would have let pass")
    return wrong, counts[0], counts[1]


def _formula(mutant: Callable[[float, float, float], float]) -> list[Any]:
    """Where there was a store before; without one nothing is carried in any mutant."""
    return [
        patch.object(
            accounts, "rescaled_tokens", lambda level, old, new: mutant(level, old, new) if old else 0.0
        )
    ]


def _not_refilled_before() -> list[Any]:
    """What came in until the change is filled by the new rate."""

    def mutant(sharing: QuotaSharing, now: int, account: Any, index: int) -> None:
        old, new = account.plan, accounts.plan_of(sharing.state, account.tenant, index)
        account.plan = new
        account.plan_index = index
        account.tokens = rescaled_tokens(account.tokens, old.burst_units, new.burst_units)

    return [patch.object(accounts, "change_plan", mutant)]


def _never_ends() -> list[Any]:
    """A reservation stays when its time is over."""
    real = Quota.change_plans

    def mutant(self: Quota, now: int, event: PlansChanged) -> None:
        kept = tuple((customer, *extra) for customer, extra in self.reservations.items())
        real(self, now, PlansChanged(event.plans, event.reserved or kept))

    return [patch.object(Quota, "change_plans", mutant)]


def _reserved_only() -> list[Any]:
    """A reservation takes the plan's place."""
    real = accounts.plan_of

    def mutant(state: QuotaState, customer: int, index: int) -> Plan:
        plan, (rate, burst) = real(state, customer, index), state.reservations.get(customer, (0.0, 0.0))
        return replace(plan, rate_per_s=rate, burst_units=burst) if rate else plan

    return [patch.object(accounts, "plan_of", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "given-anew": lambda: _formula(lambda level, old, new: new),
    "share-both-ways": lambda: _formula(lambda level, old, new: level * new / old),
    "units-both-ways": lambda: _formula(lambda level, old, new: level),
    "emptied": lambda: _formula(lambda level, old, new: 0.0),
    "not-refilled-before": _not_refilled_before,
    "never-ends": _never_ends,
    "reserved-only": _reserved_only,
    "not-taken-up": lambda: [patch.object(Quota, "change_plans", lambda self, now, event: None)],
}


def convict(name: str, seeds: Iterator[int]) -> int | None:
    """The first of the seeds that shows the mutant; None if none does."""
    with held(MUTANTS[name]()):
        return next((seed for seed in seeds if play(seed)), None)
