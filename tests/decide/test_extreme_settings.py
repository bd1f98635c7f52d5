"""The decision module under settings at the ends of what may be given.

No fault, one final answer for each request, and no event that takes long, whatever a customer's figures are.
"""

from __future__ import annotations

import random
import time
from dataclasses import replace
from typing import Any

import pytest

from trackspread.decide.broker import TICK_TIMER, Broker
from trackspread.decide.actions import Fail, Reject, SendToPeers, StartAttempt
from trackspread.decide.backends import Health
from trackspread.decide.events import ClientDisconnected, Event, Outcome, PeerMessage, TimerFired
from trackspread.decide.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from trackspread.decide.peer_messages import QuotaMessage, QuotaMessageKind, pack_quota_message

from ..helpers import MS, PLAN, SECOND, arrival, backend, ended, full_list, settings

SLOWEST = 0.5  # s of one event, on a machine that is loaded: the search that this found took seconds
FIGURES = (0.0, 1e-6, 0.3, 1.0, 40.0, 1e6, 1e12)


def drawn(rng: random.Random) -> Settings:
    """Any of the figures beside any other."""

    def plan(name: str) -> Any:
        return replace(
            PLAN,
            name=name,
            rate_per_s=rng.choice(FIGURES),
            burst_units=rng.choice(FIGURES),
            concurrency_limit=rng.choice((0, 0, 1, 3, 10**6)),
            priority_factor=rng.choice((0.0, 1.0, 50.0)),
            overage_weight=rng.choice((0.0, 0.0, 0.5, 2.0)),
            overage_cost=rng.choice((0.0, 0.5, 1.0, 100.0)),
            hard_limit_per_s=rng.choice((0.0, 0.0, 0.5, 1e9)),
            hard_limit_burst_units=rng.choice(FIGURES),
            hard_limit_slack_units=rng.choice((0.0, 0.1, 5.0)),
        )

    def request_class(name: str) -> RequestClass:
        return RequestClass(
            name,
            rng.choice((1, 50 * MS, 10 * SECOND)),
            rng.choice((MS, 300 * MS, 60 * SECOND)),
            rng.choice((0.0, 1.0, 1e6)),
            0.0,
            rng.choice(list(Idempotency)),
            rng.choice(list(DeduplicationScope)),
            rng.choice((0, 5 * SECOND)),
        )

    gateways = rng.choice((1, 2, 7, 200))
    return settings(
        plans=tuple(plan(f"p{n}") for n in range(rng.randint(1, 3))),
        classes=tuple(request_class(f"c{n}") for n in range(rng.randint(1, 3))),
        gateway_count=gateways,
        gateway_index=rng.randrange(gateways),
        max_attempts=rng.choice((1, 4)),
        may_gossip=rng.random() < 0.6,
        peer_messages_per_s=rng.choice((0.0, 1.0, 40.0, 1e9)),
        has_shared_counter=rng.random() < 0.3,
        metering_period_ns=rng.choice((0, 0, SECOND)),
        largest_request_units=rng.choice((0.0, 0.5, 1.0, 8.0)),
        slow_start_ns=rng.choice((0, 20 * SECOND)),
        slow_start_capacity=rng.choice((0.0, 0.2, 1.0)),
        overload_window_ns=rng.choice((0, 3 * SECOND)),
        drain_grace_ns=rng.choice((0, SECOND)),
        max_retry_after_ns=rng.choice((0, SECOND)),
        may_send_retry_after=rng.random() < 0.5,
        cross_zone_cost=rng.choice((0.0, 0.01, 10.0)),
    )


class Played:
    """One gateway; whatever it sends is answered, late, or never."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.s = drawn(self.rng)
        self.gateway, self.now = Broker(self.s, seed, 0), 0
        self.open: set[int] = set()
        self.out: list[tuple[int, int, int]] = []
        self.sends: dict[int, int] = {}
        self.slowest = 0.0
        listed = [backend(n, booted=self.rng.choice((0, 1))) for n in range(1, 5)]
        self.give(full_list(*listed, backend(9, Health.DRAINING)))

    def give(self, event: Event) -> None:
        began = time.perf_counter()
        actions = self.gateway.handle(self.now, event)
        self.slowest = max(self.slowest, time.perf_counter() - began)
        for action in actions:
            if isinstance(action, StartAttempt):
                index = self.sends.get(action.request, 0)
                self.sends[action.request] = index + 1
                self.out.append((action.request, index, action.backend))
            elif isinstance(action, Reject | Fail):
                assert action.request in self.open, "a second final answer"
                self.open.discard(action.request)
            elif isinstance(action, SendToPeers) and action.recipient is not None and self.rng.random() < 0.5:
                word = QuotaMessage(
                    self.rng.choice((QuotaMessageKind.GRANT, QuotaMessageKind.DENY)),
                    1,
                    0,
                    1.0,
                    self.gateway.quota.last_query,
                    0,
                )
                self.give(PeerMessage(action.recipient, pack_quota_message(word)))

    def end_one(self) -> None:
        request, index, to = self.out.pop(self.rng.randrange(len(self.out)))
        outcome = self.rng.choice(list(Outcome))
        over = outcome is Outcome.OK or request not in self.open
        if outcome is Outcome.OK:
            self.open.discard(request)
        self.give(ended(request, to, outcome, index, self.rng.choice((1, 100 * MS, 5 * SECOND)), over))

    def play(self, steps: int) -> None:
        for number in range(steps):
            self.now += self.rng.choice((0, MS, 100 * MS, 3 * SECOND))
            step = self.rng.random()
            if step < 0.5:
                self.open.add(number)
                cls, plan = self.rng.randrange(len(self.s.classes)), self.rng.randrange(len(self.s.plans))
                spread = self.rng.choice((1, self.s.gateway_count))
                self.give(
                    arrival(
                        number,
                        self.now,
                        cls,
                        self.rng.randrange(4),
                        plan=plan,
                        gateway_span=spread,
                        units=self.rng.choice((0.25, 1.0, max(1.0, self.s.largest_request_units))),
                    )
                )
            elif step < 0.8 and self.out:
                self.end_one()
            elif step < 0.85 and self.open:
                left = self.rng.choice(sorted(self.open))
                self.open.discard(left)
                self.give(ClientDisconnected(left))
            else:
                self.give(TimerFired(TICK_TIMER))
            if self.rng.random() < 0.02:
                # As under pressure, with a range of its own.
                model = self.gateway.model
                model.is_congested, model.concurrency_limit = True, self.rng.choice((2, 50))
                model.delay_ns, model.response_times_ns = (
                    1.0 * MS,
                    [n * 20.0 * MS for n in range(self.rng.choice((1, 60)))],
                )


@pytest.mark.parametrize("seed", range(120))
def test_no_settings_bring_about_a_fault_a_second_answer_or_a_long_event(seed: int) -> None:
    played = Played(seed)
    played.play(300)
    assert played.slowest < SLOWEST
