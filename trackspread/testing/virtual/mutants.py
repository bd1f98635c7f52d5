"""Gateways with one fault each, for the judge to convict: a judge that cannot fail proves nothing.

Each mutant changes one decision (or one deed of the host) by a patch that is taken back; it names the rule
that it breaks. Only tests and benchmarks plant them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest.mock import patch

from ...decide import attempt_results
from ...decide.broker import Broker
from ...decide.actions import Fail, Reject, StartAttempt
from ...decide.backends import Health
from ...decide.events import Outcome
from ...decide.quota import Quota, accounts, token_bucket
from ...decide.quota.sharing import QuotaSharing
from ...decide.load_balancer import LoadBalancer
from ...decide.quota_admission import QuotaAdmission
from ...decide.retry_policy import RetryPolicy
from ..judge.verdict import Rule
from .host import Host, Kind
from .patches import held, in_all_sharings
from .schedules import make, play

EVERY = 23  # a deed that goes wrong does so once in so many times
SEEDS_MOST = 400  # schedules after which a mutant counts as not convicted


@dataclass(frozen=True, slots=True)
class Mutant:
    """One fault: the rule that it breaks, and the patches that plant it."""

    rule: Rule
    patches: Callable[[], list[Any]]


def _effects_forgotten() -> list[Any]:
    """What broke after it was written counts as never run: unsafe requests are sent again."""
    return [patch.object(attempt_results, "NOT_EXECUTED", frozenset(Outcome))]


def _refuses_after_run() -> list[Any]:
    real = Broker._retry_or_finish

    def mutant(self: Broker, now: int, request: Any) -> list[Any]:
        return [Reject(a.request, 0) if isinstance(a, Fail) else a for a in real(self, now, request)]

    return [patch.object(Broker, "_retry_or_finish", mutant)]


def _group_forgotten() -> list[Any]:
    return [patch.object(RetryPolicy, "allowed_backends", lambda self, now, request: lambda backend: True)]


def _window_forgotten() -> list[Any]:
    real = RetryPolicy.allowed_backends

    def mutant(self: RetryPolicy, now: int, request: Any) -> Any:
        return real(self, min(now, request.deduplicated_from_ns), request)

    return [patch.object(RetryPolicy, "allowed_backends", mutant)]


def _window_outlasted() -> list[Any]:
    """What was decided within the window is written whenever its connection comes up."""
    return [patch.object(Host, "writes", lambda self, attempt: not attempt.over)]


def _two_copies() -> list[Any]:
    """A second copy at once, whatever the class."""
    real = QuotaAdmission.admit

    def mutant(self: QuotaAdmission, now: int, request: Any, announces: bool) -> list[Any]:
        made = real(self, now, request, announces)
        again = (
            self._requests.start_attempt(now, request) if made and isinstance(made[0], StartAttempt) else None
        )
        return [*made, again] if again else made

    return [patch.object(QuotaAdmission, "admit", mutant)]


def _drains_ignored() -> list[Any]:
    real = LoadBalancer.update_endpoints

    def mutant(self: LoadBalancer, now: int, event: Any) -> None:
        kept = tuple(
            replace(e, health=Health.READY) if e.health is Health.DRAINING else e for e in event.backends
        )
        real(self, now, replace(event, backends=kept))

    return [patch.object(LoadBalancer, "update_endpoints", mutant)]


def _cold_flooded() -> list[Any]:
    """A new backend stands idle, so it gets all."""
    real = LoadBalancer.expected_wait

    def mutant(self: LoadBalancer, now: int, server: Any) -> float:
        return real(self, now, server) * (1.0 if self.slow_start.warmth(now, server) >= 1.0 else 0.001)

    def ready(self: LoadBalancer, now: int, server: Any) -> bool:
        return bool(server.is_usable)

    return [
        patch.object(LoadBalancer, "expected_wait", mutant),
        patch.object(LoadBalancer, "is_available", ready),
    ]


def _ceilings_ignored() -> list[Any]:
    real = Broker.__init__

    def mutant(self: Broker, settings: Any, seed: int, now: int) -> None:
        plans = tuple(replace(p, hard_limit_per_s=0.0, overage_weight=9.0) for p in settings.plans)
        real(self, replace(settings, plans=plans), seed, now)

    return [patch.object(Broker, "__init__", mutant)]


def _whole_ceiling_each() -> list[Any]:
    """Each gateway grants the whole of ceiling and quota."""
    real = accounts.assign_static_share

    def mutant(sharing: QuotaSharing, now: int, account: Any, n: int, first: int) -> None:
        real(sharing, now, account, 1, sharing.state.settings.gateway_index)
        account.hard_limit_tokens = account.plan.hard_limit_burst_units

    return [patch.object(accounts, "assign_static_share", mutant)]


def _peers_unheard() -> list[Any]:
    """Others' use is believed to be nothing, and the whole quota to be here."""
    return [
        patch.object(Quota, "receive_usage_totals", lambda self, now, event: None),
        *in_all_sharings("local_share", lambda self, now, account: 1.0),
    ]


def _quota_unbooked() -> list[Any]:
    return [patch.object(token_bucket, "spend", lambda account, units, pays: True)]


def _used_units_back() -> list[Any]:
    """Units go back at a request's end though an attempt came to a backend."""
    real = Broker._on_attempt_ended

    def mutant(self: Broker, now: int, event: Any) -> list[Any]:
        request = self.requests.attempts.get((event.request, event.attempt))
        made = real(self, now, event)
        if request is not None and not request.attempts_in_flight:
            request.account.give_back(request.balances_taken)
        return made

    return [patch.object(Broker, "_on_attempt_ended", mutant)]


def _now_and_then() -> Callable[[], bool]:
    counted = [0]

    def due() -> bool:
        counted[0] += 1
        return counted[0] % EVERY == 0

    return due


def _answers_lost() -> list[Any]:
    real, due = Host.reply, _now_and_then()

    def mutant(self: Host, number: int, kind: Kind, advice_ms: int) -> None:
        held = self.held.get(number)
        if held is not None and due():
            self._close(number, held)
        else:
            real(self, number, kind, advice_ms)

    return [patch.object(Host, "reply", mutant)]


def _answers_twice() -> list[Any]:
    real, due = Host.reply, _now_and_then()

    def mutant(self: Host, number: int, kind: Kind, advice_ms: int) -> None:
        held = self.held.get(number)
        real(self, number, kind, advice_ms)
        if held is not None and due():
            held.answer(kind, "", advice_ms)

    return [patch.object(Host, "reply", mutant)]


def _answers_late() -> list[Any]:
    """A request given up is answered once its client's time is over."""
    real, due = Host.reply, _now_and_then()

    def mutant(self: Host, number: int, kind: Kind, advice_ms: int) -> None:
        held = self.held.get(number)
        if held is not None and due():
            late = held.valid_until + 100_000_000
            self.clock.at(late, lambda: real(self, number, kind, advice_ms))
            held.valid_until = late + 100_000_000
        else:
            real(self, number, kind, advice_ms)

    def waits(self: Host, number: int) -> None:
        held = self.held.get(number)
        if held is not None and held.valid_until <= self.clock.now:
            up(self, number)

    up = Host._time_is_up
    return [patch.object(Host, "reply", mutant), patch.object(Host, "_time_is_up", waits)]


def _answers_swapped() -> list[Any]:
    """Now and then a client is served what was made for the one before."""
    real, due, last = Host.ended, _now_and_then(), [""]

    def mutant(self: Host, attempt: Any, outcome: Outcome, value: str = "") -> None:
        if outcome is Outcome.OK:
            last[0], made = value, value
            value = last_made[0] if due() and last_made[0] else made
            last_made[0] = made
        real(self, attempt, outcome, value)

    last_made = [""]
    return [patch.object(Host, "ended", mutant)]


def _sent_after_answer() -> list[Any]:
    """A refused request is sent on all the same."""
    real, due = Host.reply, _now_and_then()

    def mutant(self: Host, number: int, kind: Kind, advice_ms: int) -> None:
        held = self.held.get(number)
        real(self, number, kind, advice_ms)
        server = next(iter(self.module.load_balancer.backends), None)
        if held is not None and server is not None and due():
            held.closed = False
            self.held[number] = held
            self.clock.after(100_000_000, lambda: self._send(StartAttempt(number, server, 0)))

    return [patch.object(Host, "reply", mutant)]


MUTANTS: dict[str, Mutant] = {
    "effects-forgotten": Mutant("effects", _effects_forgotten),
    "refuses-after-run": Mutant("effects", _refuses_after_run),
    "group-forgotten": Mutant("effects", _group_forgotten),
    "window-forgotten": Mutant("effects", _window_forgotten),
    "window-outlasted": Mutant("effects", _window_outlasted),
    "two-copies": Mutant("effects", _two_copies),
    "drains-ignored": Mutant("drains", _drains_ignored),
    "cold-flooded": Mutant("cold", _cold_flooded),
    "ceilings-ignored": Mutant("ceilings", _ceilings_ignored),
    "whole-ceiling-each": Mutant("ceilings", _whole_ceiling_each),
    "peers-unheard": Mutant("quotas", _peers_unheard),
    "quota-unbooked": Mutant("quotas", _quota_unbooked),
    "used-units-back": Mutant("quotas", _used_units_back),
    "answers-lost": Mutant("answers", _answers_lost),
    "answers-twice": Mutant("answers", _answers_twice),
    "answers-late": Mutant("answers", _answers_late),
    "answers-swapped": Mutant("answers", _answers_swapped),
    "sent-after-answer": Mutant("answers", _sent_after_answer),
}


@contextmanager
def planted(name: str) -> Iterator[Mutant]:
    """The mutant in place of the real thing, for as long as the block lasts, in this process."""
    mutant = MUTANTS[name]
    with held(mutant.patches()):
        yield mutant


def convict(name: str, seeds: Iterator[int]) -> int | None:
    """The first of the seeds whose schedule shows the mutant breaking its rule; None if none does."""
    with planted(name) as mutant:
        for number, seed in enumerate(seeds):
            if number >= SEEDS_MOST:
                break
            if mutant.rule in play(make(seed))[0].broken_rules():
                return seed
    return None
