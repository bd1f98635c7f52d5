"""Tests the decision module under extreme but valid settings.

There must be no fault, one final answer for each request, and no event that takes long, whatever the limits
of a tenant are.
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

MAX_EVENT_S = 0.5  # on a loaded machine; the search that this test revealed took seconds for one event
FIGURES = (0.0, 1e-6, 0.3, 1.0, 40.0, 1e6, 1e12)


def random_settings(rng: random.Random) -> Settings:
    """Returns settings in which any of the figures is combined with any other."""

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


class SimulatedGateway:
    """Simulates one gateway whose messages and attempts are answered in time, late or never."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.settings = random_settings(self.rng)
        self.gateway, self.now = Broker(self.settings, seed, 0), 0
        self.open_requests: set[int] = set()
        self.in_flight: list[tuple[int, int, int]] = []
        self.attempts_started: dict[int, int] = {}
        self.longest_event_s = 0.0
        listed_backends = [backend(n, booted=self.rng.choice((0, 1))) for n in range(1, 5)]
        self.handle_event(full_list(*listed_backends, backend(9, Health.DRAINING)))

    def handle_event(self, event: Event) -> None:
        started_at = time.perf_counter()
        actions = self.gateway.handle(self.now, event)
        self.longest_event_s = max(self.longest_event_s, time.perf_counter() - started_at)
        for action in actions:
            if isinstance(action, StartAttempt):
                index = self.attempts_started.get(action.request, 0)
                self.attempts_started[action.request] = index + 1
                self.in_flight.append((action.request, index, action.backend))
            elif isinstance(action, Reject | Fail):
                assert action.request in self.open_requests, "a second final answer"
                self.open_requests.discard(action.request)
            elif isinstance(action, SendToPeers) and action.recipient is not None and self.rng.random() < 0.5:
                message = QuotaMessage(
                    self.rng.choice((QuotaMessageKind.GRANT, QuotaMessageKind.DENY)),
                    1,
                    0,
                    1.0,
                    self.gateway.quota.last_query,
                    0,
                )
                self.handle_event(PeerMessage(action.recipient, pack_quota_message(message)))

    def end_random_attempt(self) -> None:
        request, index, backend_id = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
        outcome = self.rng.choice(list(Outcome))
        finished = outcome is Outcome.OK or request not in self.open_requests
        if outcome is Outcome.OK:
            self.open_requests.discard(request)
        self.handle_event(
            ended(request, backend_id, outcome, index, self.rng.choice((1, 100 * MS, 5 * SECOND)), finished)
        )

    def run(self, steps: int) -> None:
        for number in range(steps):
            self.now += self.rng.choice((0, MS, 100 * MS, 3 * SECOND))
            step = self.rng.random()
            if step < 0.5:
                self.open_requests.add(number)
                cls, plan = (
                    self.rng.randrange(len(self.settings.classes)),
                    self.rng.randrange(len(self.settings.plans)),
                )
                gateway_span = self.rng.choice((1, self.settings.gateway_count))
                self.handle_event(
                    arrival(
                        number,
                        self.now,
                        cls,
                        self.rng.randrange(4),
                        plan=plan,
                        gateway_span=gateway_span,
                        units=self.rng.choice((0.25, 1.0, max(1.0, self.settings.largest_request_units))),
                    )
                )
            elif step < 0.8 and self.in_flight:
                self.end_random_attempt()
            elif step < 0.85 and self.open_requests:
                disconnected = self.rng.choice(sorted(self.open_requests))
                self.open_requests.discard(disconnected)
                self.handle_event(ClientDisconnected(disconnected))
            else:
                self.handle_event(TimerFired(TICK_TIMER))
            if self.rng.random() < 0.02:
                # Simulates congestion, with a random number of levels in the model.
                model = self.gateway.model
                model.is_congested, model.concurrency_limit = True, self.rng.choice((2, 50))
                model.delay_ns, model.response_times_ns = (
                    1.0 * MS,
                    [n * 20.0 * MS for n in range(self.rng.choice((1, 60)))],
                )


@pytest.mark.parametrize("seed", range(120))
def test_extreme_settings_keep_single_answers_and_fast_events(seed: int) -> None:
    simulated = SimulatedGateway(seed)
    simulated.run(300)
    assert simulated.longest_event_s < MAX_EVENT_S
