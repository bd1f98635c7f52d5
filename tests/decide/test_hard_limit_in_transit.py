"""Plays gateways in virtual time whose requests take seconds to arrive at backends.

A backend may read slowly, so that what a gateway has written lies in a buffer. The hard limit holds for what
arrives: the playback counts a bucket of its own, at arrival.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from itertools import count

import pytest

from trackspread.decide.actions import SendToPeers, StartAttempt
from trackspread.decide.broker import TICK_TIMER, Broker
from trackspread.decide.events import ClientDisconnected, Event, Outcome, PeerMessage, TimerFired
from trackspread.decide.quota import hard_limit
from trackspread.decide.settings import Plan
from trackspread.decide.time_units import TICK

from ..helpers import SECOND, arrival, backend, ended, full_list, plan, settings

GATEWAYS = 2
OWNED_GATEWAYS = 200  # too many to gossip, so that one of the two grants the requests of both
MESSAGE_NS = SECOND // 1000
PER_S, BURST, SLACK = 9.5, 11.4, 1.14
LEAD_S, SLOW_S, END_S = 3.0, 6.0, 9.0  # nodes read slowly between the first two
REQUESTS_PER_S = 25.0
ANSWER_NS = SECOND // 10
SEEDS = 300
CALM_SEEDS = 30
MIN_CALM_SHARE = 0.99  # of what is let through without a limit on what is in transit


def limited_plan() -> Plan:
    """Returns a plan with a hard limit, and a quota that does not limit."""
    return plan(
        rate_per_s=PER_S * 2,
        burst_units=BURST * 2,
        hard_limit_per_s=PER_S,
        hard_limit_burst_units=BURST,
        hard_limit_slack_units=SLACK,
    )


@dataclass(order=True, slots=True)
class Step:
    """Holds what happens at a time: `what` is request, arrived, ended, message or tick."""

    at: int
    order: int
    what: str = field(compare=False)
    gateway: int = field(compare=False)
    attempt: StartAttempt | None = field(compare=False, default=None)
    index: int = field(compare=False, default=0)
    message: PeerMessage | None = field(compare=False, default=None)


class World:
    """Plays one seed; `lowest` is the least that the bucket had at an arrival.

    The tenant's requests come through the first two of `gateways`, one of which is the tenant's owner where
    there are too many to gossip.
    """

    def __init__(self, seed: int, is_slow: bool = True, gateways: int = GATEWAYS) -> None:
        self.rng = random.Random(f"transit:{seed}")
        self.is_slow = is_slow
        self.orders, self.requests = count(), count(1)
        self.steps: list[Step] = []
        self.attempts: dict[tuple[int, int], int] = {}  # number of attempts by gateway and request
        self.arrived: set[tuple[int, int]] = set()
        self.store = self.lowest = BURST
        self.store_at = 0
        self.brokers = [
            Broker(settings(plans=(limited_plan(),), gateway_count=gateways, gateway_index=number), seed, 0)
            for number in range(GATEWAYS)
        ]
        for number, broker in enumerate(self.brokers):
            broker.handle(0, full_list(*(backend(each) for each in range(1, 7))))
            self.add(TICK, "tick", number)
        self.add(0, "request", 0)

    def add(
        self,
        at: int,
        what: str,
        gateway: int,
        attempt: StartAttempt | None = None,
        index: int = 0,
        message: PeerMessage | None = None,
    ) -> None:
        heapq.heappush(self.steps, Step(at, next(self.orders), what, gateway, attempt, index, message))

    def play(self) -> None:
        while self.steps and self.steps[0].at < int(END_S * SECOND):
            step = heapq.heappop(self.steps)
            match step.what:
                case "tick":
                    self.handle(step, TimerFired(TICK_TIMER))
                    self.add(step.at + TICK, "tick", step.gateway)
                case "message":
                    assert step.message is not None
                    self.handle(step, step.message)
                case "request":
                    self.request(step)
                case "arrived":
                    self.arrive(step)
                case _:
                    self.end(step)

    def request(self, step: Step) -> None:
        per_s = REQUESTS_PER_S if step.at >= LEAD_S * SECOND else 3.0
        self.add(step.at + int(self.rng.expovariate(per_s) * SECOND), "request", self.rng.randrange(GATEWAYS))
        number = next(self.requests)
        self.handle(step, arrival(number, step.at))

    def handle(self, step: Step, event: Event) -> None:
        """Lets the step's gateway handle the event, and sends its attempts and messages."""
        for action in self.brokers[step.gateway].handle(step.at, event):
            if isinstance(action, StartAttempt):
                self.start(step.at, step.gateway, action)
            elif isinstance(action, SendToPeers):
                message = PeerMessage(step.gateway, action.data)
                for recipient in range(GATEWAYS):
                    if recipient != step.gateway and action.recipient in (recipient, None):
                        self.add(step.at + MESSAGE_NS, "message", recipient, message=message)

    def start(self, now: int, gateway: int, attempt: StartAttempt) -> None:
        """Sends an attempt; slow nodes have read all of them when they have time again, or are reset."""
        key = gateway, attempt.request
        index = self.attempts[key] = self.attempts.get(key, -1) + 1
        slow_until = int((SLOW_S + self.rng.uniform(0.0, 0.05)) * SECOND)
        is_held = self.is_slow and LEAD_S * SECOND <= now < SLOW_S * SECOND and self.rng.random() < 0.8
        at = slow_until if is_held else now + SECOND // 1000
        self.add(at, "arrived", gateway, attempt, index)
        self.add(at + ANSWER_NS, "ended", gateway, attempt, index)

    def arrive(self, step: Step) -> None:
        assert step.attempt is not None
        key = step.gateway, step.attempt.request
        if key in self.arrived:
            return
        self.arrived.add(key)
        refilled = self.store + PER_S * (step.at - self.store_at) / SECOND
        self.store, self.store_at = min(BURST, refilled) - 1.0, step.at
        self.lowest = min(self.lowest, self.store)

    def end(self, step: Step) -> None:
        assert step.attempt is not None
        outcome = self.rng.choices([Outcome.OK, Outcome.ERROR, Outcome.RESET], [0.9, 0.05, 0.05])[0]
        self.handle(step, ended(step.attempt.request, step.attempt.backend, outcome, step.index, ANSWER_NS))


@pytest.mark.parametrize("gateways", [GATEWAYS, OWNED_GATEWAYS])
def test_hard_limit_holds_for_requests_that_arrive_together_after_seconds(gateways: int) -> None:
    """Guards against units that are refilled while their requests are still on their way to slow backends."""
    for seed in range(SEEDS):
        world = World(seed, gateways=gateways)
        world.play()
        assert world.lowest >= -SLACK - 0.15 * PER_S, f"seed {seed}"


def test_no_less_is_let_through_while_requests_arrive_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a limit on what is in transit that calm days pay for."""

    def arrivals() -> int:
        worlds = [World(seed, is_slow=False) for seed in range(CALM_SEEDS)]
        for world in worlds:
            world.play()
        return sum(len(world.arrived) for world in worlds)

    limited = arrivals()
    monkeypatch.setattr(hard_limit, "request_started", lambda request, units: None)
    assert limited >= MIN_CALM_SHARE * arrivals()


@dataclass(slots=True)
class EagerBucket:
    """Holds a bucket that is refilled at each event, so that it needs no record of past arrivals."""

    units: float
    at: int
    in_transit: int = 0

    def refill(self, now: int) -> None:
        limit = BURST - max(0.0, self.in_transit - PER_S * hard_limit.PROMPT_ARRIVAL_S)
        self.units = min(limit, self.units + PER_S * (now - self.at) / SECOND)
        self.at = now

    def count_start(self) -> None:
        self.units -= 1.0
        self.in_transit += 1


@pytest.mark.parametrize("seed", range(20))
def test_early_arrivals_do_not_cost_the_refill_before_a_late_one(seed: int) -> None:
    """Guards against a refill that takes all units as in transit until the last of them has arrived."""
    rng = random.Random(f"refill:{seed}")
    broker = Broker(settings(plans=(limited_plan(),), gateway_count=1), seed, 0)
    broker.handle(0, full_list(*(backend(each) for each in range(1, 7))))
    attempts: list[StartAttempt] = []
    reference = EagerBucket(SLACK, 0)
    now = 0
    for number in range(1, 100):
        reference.refill(now)
        if attempts and rng.random() < 0.5:
            attempt = attempts.pop(rng.randrange(len(attempts)))
            broker.handle(now, ended(attempt.request, attempt.backend))
            reference.in_transit -= 1
        else:
            actions = broker.handle(now, arrival(number, now))
            for started in (action for action in actions if isinstance(action, StartAttempt)):
                attempts.append(started)
                reference.count_start()
            assert broker.quota.accounts[1].hard_limit_tokens == pytest.approx(reference.units)
        now += int(rng.expovariate(12.0) * SECOND)


@pytest.mark.parametrize("outcome", list(Outcome))
def test_no_units_stay_in_transit_after_the_last_attempt(outcome: Outcome) -> None:
    """Guards against a bucket whose limit falls for good with each request."""
    broker = Broker(settings(plans=(limited_plan(),)), 1, 0)
    broker.handle(0, full_list(backend(1)))
    broker.handle(0, arrival(1, 0))  # its account starts with a part of the slack only
    started_at = 2 * SECOND
    actions = broker.handle(started_at, arrival(2, started_at))
    (attempt,) = [action for action in actions if isinstance(action, StartAttempt)]
    account = broker.quota.accounts[1]
    assert account.units_in_transit == 1.0
    broker.handle(started_at, ClientDisconnected(2))
    event = ended(2, attempt.backend, outcome, 0, finished=True)
    broker.handle(3 * SECOND, event)
    assert account.units_in_transit == 0.0
