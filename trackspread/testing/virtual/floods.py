"""Simulates one gateway's decisions beside clients that send at full speed under ever new tenants.

Usual clients send single requests of a fixed set of tenants. Flooding clients fill the window that the broker
gives them at every step of the clock, each request under a new tenant. The backends are one queue with a
fixed number of workers. The checks use the broker's actions, the sizes of its tables and the clock alone.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from unittest.mock import patch

from ...decide.actions import Action, Fail, Reject, StartAttempt
from ...decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from ...decide.backlog_limit import BacklogLimit
from ...decide.broker import TICK_TIMER, Broker
from ...decide.events import AttemptEnded, Outcome, RequestArrived, TimerFired
from ...decide.quota import Quota
from ...decide.quota.state import QuotaState
from ...decide.settings import Plan
from ...decide.time_units import TICK
from .plain_settings import plain_settings

MILLISECOND, SECOND = 1_000_000, 1_000_000_000
STEP_NS = 5 * MILLISECOND
CALM_STEPS = 200
FLOOD_STEPS = (200, 600)  # a short flood, which its first moments decide, or one that fills the tables
END_STEPS = 400  # let all requests end
WAIT_NS = 3 * SECOND
USUAL_TENANTS = 20
FIRST_NEW_TENANT = 1 << 32
MAX_ACCOUNTS = 100
CONNECTIONS = 400  # to backends
PLAN = Plan("p", 50.0, 100.0)
MIN_SERVED_SHARE = 0.5  # of the usual requests beside a flood; half of what the quotas allow


class AttemptEnd(NamedTuple):
    """Holds when a backend answers an attempt; times in ns."""

    at: int
    request: int
    backend: int
    started_at: int


@dataclass(slots=True)
class World:
    """Holds one play; the same seed gives the same play."""

    seed: int
    rng: random.Random = field(init=False)
    broker: Broker = field(init=False)
    now: int = 0
    answers: Counter[int] = field(default_factory=Counter)  # final answers by request
    served: set[int] = field(default_factory=set)
    usual: list[int] = field(default_factory=list)  # usual requests beside the flood
    flooding: dict[int, set[int]] = field(default_factory=dict)  # open requests by flooding client
    violations: list[str] = field(default_factory=list)
    _flood_steps: int = 0
    _requests: int = 0
    _free_at: list[int] = field(default_factory=list)  # when each worker of the backends is free
    _ends: list[AttemptEnd] = field(default_factory=list)  # a heap

    def __post_init__(self) -> None:
        self.rng = random.Random(f"flood:{self.seed}")
        self.broker = Broker(plain_settings(PLAN, max_accounts=MAX_ACCOUNTS), self.seed, 0)
        backends = tuple(Backend(number, 0, 0, 0, Health.READY, 1.0, 0) for number in range(1, 5))
        self._do(self.broker.handle(0, EndpointUpdate(EndpointUpdateKind.FULL, 1, backends)))
        self._free_at = [0] * self.rng.choice([4, 8, 16])
        self._flood_steps = self.rng.choice(FLOOD_STEPS)
        self.flooding = {client: set() for client in range(self.rng.choice([1, 6, 100]))}

    def play(self) -> None:
        """Plays a calm time, a flood, and the end of all requests."""
        flood_end = CALM_STEPS + self._flood_steps
        for step in range(flood_end + END_STEPS):
            self.now += STEP_NS
            self._end_attempts()
            if self.now % TICK == 0:
                self._do(self.broker.handle(self.now, TimerFired(TICK_TIMER)))
            if step < flood_end and self.rng.random() < 0.3:
                request = self._send(self.rng.randrange(USUAL_TENANTS), False)
                if step >= CALM_STEPS:
                    self.usual.append(request)
            if CALM_STEPS <= step < flood_end:
                self._flood()
            self._check_tables()
        self._check_answers()

    def _flood(self) -> None:
        for requests in self.flooding.values():
            busy = 1 + sum(bool(each) for each in self.flooding.values())
            window = self.broker.client_window(busy, CONNECTIONS, is_backlogged=True)
            for _ in range(max(0, window - len(requests))):
                requests.add(self._send(FIRST_NEW_TENANT + self._requests, True))

    def _send(self, tenant: int, is_backlogged: bool) -> int:
        self._requests += 1
        number = self._requests
        event = RequestArrived(
            number, 0, 0, tenant, self.now + WAIT_NS, 1.0, 1, 0, 0, is_client_backlogged=is_backlogged
        )
        self._do(self.broker.handle(self.now, event))
        return number

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt(request, backend):
                    worker = heapq.heappop(self._free_at)
                    done_at = max(worker, self.now) + int(self.rng.uniform(0.5, 1.5) * 50 * MILLISECOND)
                    heapq.heappush(self._free_at, done_at)
                    heapq.heappush(self._ends, AttemptEnd(done_at, request, backend, self.now))
                case Reject(request) | Fail(request):
                    self._answered(request)

    def _answered(self, request: int) -> None:
        self.answers[request] += 1
        for requests in self.flooding.values():
            requests.discard(request)

    def _end_attempts(self) -> None:
        while self._ends and self._ends[0].at <= self.now:
            end = heapq.heappop(self._ends)
            self.served.add(end.request)
            self._answered(end.request)
            elapsed_ns = self.now - end.started_at
            ended = AttemptEnded(end.request, True, 0, end.backend, 0, Outcome.OK, elapsed_ns, 0, ())
            self._do(self.broker.handle(self.now, ended))

    def _check_tables(self) -> None:
        commitments = self.broker.commitments
        sizes = {
            "accounts": len(self.broker.quota.accounts),
            "commitments": len(commitments.by_tenant),
            "active commitments": len(commitments.active),
        }
        self.violations += [
            f"{size} {name}, more than {MAX_ACCOUNTS}" for name, size in sizes.items() if size > MAX_ACCOUNTS
        ]

    def _check_answers(self) -> None:
        wrong = [number for number in range(1, self._requests + 1) if self.answers[number] != 1]
        self.violations += [f"request {number} has {self.answers[number]} answers" for number in wrong]
        served = sum(request in self.served for request in self.usual)
        if served < MIN_SERVED_SHARE * len(self.usual):
            self.violations.append(f"{served} of {len(self.usual)} usual requests served beside the flood")


def violations(seed: int) -> list[str]:
    """Plays a seed and returns its violations."""
    world = World(seed)
    world.play()
    return world.violations


def _limit_ignored() -> list[Any]:
    """Gives clients at full speed all connections, and rejects none of their requests first."""
    return [
        patch.object(BacklogLimit, "is_reached", lambda self: False),
        patch.object(BacklogLimit, "window", lambda self, clients, connections, is_backlogged: connections),
    ]


def _table_unbounded() -> list[Any]:
    """Gives every new tenant an account."""
    return [patch.object(Quota, "has_room_for", lambda self, now, tenant: True)]


def _commitments_stay() -> list[Any]:
    """Removes accounts without their commitments."""

    def mutant(self: QuotaState, tenant: int) -> None:
        del self.accounts[tenant]

    return [patch.object(QuotaState, "forget_account", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "backlog-limit-ignored": _limit_ignored,
    "tenants-unbounded": _table_unbounded,
    "commitments-stay": _commitments_stay,
}
