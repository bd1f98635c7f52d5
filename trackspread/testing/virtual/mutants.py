"""Defines gateways with one fault each that the judge must detect: a judge that cannot fail proves nothing.

Each mutant changes one decision, or one action of the host, by patches that are reverted, and names the rule
that it breaks. Only tests and benchmarks plant mutants.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from itertools import count, islice
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
from .host import Host, ReplyKind
from .patches import applied, in_all_sharings
from .schedules import make, play

FAULT_INTERVAL = 23  # calls from one occurrence of an intermittent fault to the next
MAX_SEEDS = 400  # number of schedules after which a mutant counts as not detected
REPLY_DELAY_NS = 100_000_000


@dataclass(frozen=True, slots=True)
class Mutant:
    """Holds one fault: the rule that it breaks, and the patches that plant it."""

    rule: Rule
    patches: Callable[[], list[Any]]


def _execution_forgotten() -> list[Any]:
    """Counts attempts that failed after they were written as not executed, so unsafe requests are retried."""
    return [patch.object(attempt_results, "NOT_EXECUTED", frozenset(Outcome))]


def _rejects_after_execution() -> list[Any]:
    """Rejects requests that may have been executed, instead of failing them."""
    real = Broker._retry_or_finish

    def mutant(self: Broker, now: int, request: Any) -> list[Any]:
        actions = real(self, now, request)
        return [Reject(each.request, 0) if isinstance(each, Fail) else each for each in actions]

    return [patch.object(Broker, "_retry_or_finish", mutant)]


def _scope_ignored() -> list[Any]:
    """Retries requests with an idempotency key at any backend."""
    return [patch.object(RetryPolicy, "allowed_backends", lambda self, now, request: lambda backend: True)]


def _window_ignored() -> list[Any]:
    """Retries requests with an idempotency key after the deduplication window."""
    real = RetryPolicy.allowed_backends

    def mutant(self: RetryPolicy, now: int, request: Any) -> Any:
        return real(self, min(now, request.deduplicated_from_ns), request)

    return [patch.object(RetryPolicy, "allowed_backends", mutant)]


def _written_after_window() -> list[Any]:
    """Writes a retry after the deduplication window if its connection was started within the window."""
    return [patch.object(Host, "may_write", lambda self, attempt: not attempt.ended)]


def _two_attempts() -> list[Any]:
    """Starts a second attempt at once, also for classes that are not idempotent."""
    real = QuotaAdmission.admit

    def mutant(self: QuotaAdmission, now: int, request: Any, announces: bool) -> list[Any]:
        actions = real(self, now, request, announces)
        if not actions or not isinstance(actions[0], StartAttempt):
            return actions
        second = self._requests.start_attempt(now, request)
        return [*actions, second] if second else actions

    return [patch.object(QuotaAdmission, "admit", mutant)]


def _drains_ignored() -> list[Any]:
    """Counts draining backends as ready."""
    real = LoadBalancer.update_endpoints

    def mutant(self: LoadBalancer, now: int, event: Any) -> None:
        backends = tuple(
            replace(each, health=Health.READY) if each.health is Health.DRAINING else each
            for each in event.backends
        )
        real(self, now, replace(event, backends=backends))

    return [patch.object(LoadBalancer, "update_endpoints", mutant)]


def _warming_up_overloaded() -> list[Any]:
    """Sends nearly all requests to a backend that is warming up."""
    real = LoadBalancer.expected_wait

    def mutant(self: LoadBalancer, now: int, server: Any) -> float:
        return real(self, now, server) * (1.0 if self.slow_start.warmth(now, server) >= 1.0 else 0.001)

    def ready(self: LoadBalancer, now: int, server: Any) -> bool:
        return bool(server.is_usable)

    return [
        patch.object(LoadBalancer, "expected_wait", mutant),
        patch.object(LoadBalancer, "is_available", ready),
    ]


def _hard_limits_ignored() -> list[Any]:
    """Removes the hard limits."""
    real = Broker.__init__

    def mutant(self: Broker, settings: Any, seed: int, now: int) -> None:
        plans = tuple(replace(plan, hard_limit_per_s=0.0, overage_weight=9.0) for plan in settings.plans)
        real(self, replace(settings, plans=plans), seed, now)

    return [patch.object(Broker, "__init__", mutant)]


def _hard_limit_granted_by_each() -> list[Any]:
    """Grants all of the hard limit and the quota at each gateway."""
    real = accounts.assign_static_share

    def mutant(sharing: QuotaSharing, now: int, account: Any, gateways: int, first: int) -> None:
        real(sharing, now, account, 1, sharing.state.settings.gateway_index)
        account.hard_limit_tokens = account.plan.hard_limit_burst_units

    return [patch.object(accounts, "assign_static_share", mutant)]


def _peers_ignored() -> list[Any]:
    """Assumes at each gateway that the others use nothing and that it owns all of the quota."""
    return [
        patch.object(Quota, "receive_usage_totals", lambda self, now, event: None),
        *in_all_sharings("local_share", lambda self, now, account: 1.0),
    ]


def _quota_not_charged() -> list[Any]:
    """Takes no tokens of the quota for any request."""
    return [patch.object(token_bucket, "spend", lambda state, account, units, pays: True)]


def _used_units_refunded() -> list[Any]:
    """Refunds the units of a request that has ended, even if a backend received an attempt."""
    real = Broker._on_attempt_ended

    def mutant(self: Broker, now: int, event: Any) -> list[Any]:
        request = self.requests.attempts.get((event.request, event.attempt))
        actions = real(self, now, event)
        if request is not None and not request.attempts_in_flight:
            request.account.refund(request.balances_taken)
        return actions

    return [patch.object(Broker, "_on_attempt_ended", mutant)]


def _intermittent() -> Callable[[], bool]:
    """Returns a function that returns True once in `FAULT_INTERVAL` calls."""
    calls = count(1)
    return lambda: next(calls) % FAULT_INTERVAL == 0


def _replies_lost() -> list[Any]:
    """Never sends some replies."""
    real, is_faulty = Host.reply, _intermittent()

    def mutant(self: Host, number: int, kind: ReplyKind, retry_after_ms: int) -> None:
        pending = self.pending.get(number)
        if pending is not None and is_faulty():
            self._close(number, pending)
        else:
            real(self, number, kind, retry_after_ms)

    return [patch.object(Host, "reply", mutant)]


def _replies_duplicated() -> list[Any]:
    """Sends some replies twice."""
    real, is_faulty = Host.reply, _intermittent()

    def mutant(self: Host, number: int, kind: ReplyKind, retry_after_ms: int) -> None:
        pending = self.pending.get(number)
        real(self, number, kind, retry_after_ms)
        if pending is not None and is_faulty():
            pending.on_reply(kind, "", retry_after_ms)

    return [patch.object(Host, "reply", mutant)]


def _replies_late() -> list[Any]:
    """Sends some replies after the client's deadline."""
    real_reply, real_expire, is_faulty = Host.reply, Host._expire_request, _intermittent()

    def reply(self: Host, number: int, kind: ReplyKind, retry_after_ms: int) -> None:
        pending = self.pending.get(number)
        if pending is not None and is_faulty():
            late = pending.expires_at + REPLY_DELAY_NS
            self.clock.at(late, lambda: real_reply(self, number, kind, retry_after_ms))
            pending.expires_at = late + REPLY_DELAY_NS
        else:
            real_reply(self, number, kind, retry_after_ms)

    def expire(self: Host, number: int) -> None:
        pending = self.pending.get(number)
        if pending is not None and pending.expires_at <= self.clock.now:
            real_expire(self, number)

    return [patch.object(Host, "reply", reply), patch.object(Host, "_expire_request", expire)]


def _replies_swapped() -> list[Any]:
    """Serves some clients the value that a backend returned for the preceding request."""
    real, is_faulty, previous = Host.end_attempt, _intermittent(), [""]

    def mutant(self: Host, attempt: Any, outcome: Outcome, value: str = "") -> None:
        served = value
        if outcome is Outcome.OK:
            if is_faulty() and previous[0]:
                served = previous[0]
            previous[0] = value
        real(self, attempt, outcome, served)

    return [patch.object(Host, "end_attempt", mutant)]


def _forwarded_after_reply() -> list[Any]:
    """Forwards some requests although their final reply was sent."""
    real, is_faulty = Host.reply, _intermittent()

    def mutant(self: Host, number: int, kind: ReplyKind, retry_after_ms: int) -> None:
        pending = self.pending.get(number)
        real(self, number, kind, retry_after_ms)
        backend = next(iter(self.broker.load_balancer.backends), None)
        if pending is not None and backend is not None and is_faulty():
            pending.closed = False
            self.pending[number] = pending
            start = StartAttempt(number, backend, 0)
            self.clock.after(REPLY_DELAY_NS, lambda: self._start_attempt(start))

    return [patch.object(Host, "reply", mutant)]


MUTANTS: dict[str, Mutant] = {
    "execution-forgotten": Mutant("effects", _execution_forgotten),
    "rejects-after-execution": Mutant("effects", _rejects_after_execution),
    "scope-ignored": Mutant("effects", _scope_ignored),
    "window-ignored": Mutant("effects", _window_ignored),
    "written-after-window": Mutant("effects", _written_after_window),
    "two-attempts": Mutant("effects", _two_attempts),
    "drains-ignored": Mutant("drains", _drains_ignored),
    "warming-up-overloaded": Mutant("cold", _warming_up_overloaded),
    "hard-limits-ignored": Mutant("ceilings", _hard_limits_ignored),
    "hard-limit-granted-by-each": Mutant("ceilings", _hard_limit_granted_by_each),
    "peers-ignored": Mutant("quotas", _peers_ignored),
    "quota-not-charged": Mutant("quotas", _quota_not_charged),
    "used-units-refunded": Mutant("quotas", _used_units_refunded),
    "replies-lost": Mutant("answers", _replies_lost),
    "replies-duplicated": Mutant("answers", _replies_duplicated),
    "replies-late": Mutant("answers", _replies_late),
    "replies-swapped": Mutant("answers", _replies_swapped),
    "forwarded-after-reply": Mutant("answers", _forwarded_after_reply),
}


@contextmanager
def planted(name: str) -> Iterator[Mutant]:
    """Plants the mutant in this process until the block ends."""
    mutant = MUTANTS[name]
    with applied(mutant.patches()):
        yield mutant


def first_detecting_seed(name: str, seeds: Iterator[int]) -> int | None:
    """Returns the first seed whose schedule shows that the mutant breaks its rule, or None if none does."""
    with planted(name) as mutant:
        for seed in islice(seeds, MAX_SEEDS):
            if mutant.rule in play(make(seed))[0].broken_rules():
                return seed
    return None
