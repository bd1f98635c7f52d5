"""The decision module under settings at the ends of what may be given.

No fault, one final answer for each request, and no event that takes long, whatever a customer's figures are.
"""

from __future__ import annotations

import random
import time
from dataclasses import replace
from typing import Any

import pytest

from trackspread.decide.broker import EVERY_TICK, Broker
from trackspread.decide.interface import (
    ClientLeft,
    Event,
    Fail,
    Group,
    Health,
    Outcome,
    PeerMessage,
    Refuse,
    Repeat,
    RequestClass,
    Send,
    Settings,
    Tell,
    TimerFired,
)
from trackspread.decide.mail import Draw, Kind, pack_draw

from .helpers import MS, PLAN, SECOND, arrival, backend, ended, full_list, settings

SLOWEST = 0.5  # s of one event, on a machine that is loaded: the search that this found took seconds
FIGURES = (0.0, 1e-6, 0.3, 1.0, 40.0, 1e6, 1e12)


def drawn(rng: random.Random) -> Settings:
    """Any of the figures beside any other."""

    def plan(name: str) -> Any:
        return replace(
            PLAN,
            name=name,
            rate=rng.choice(FIGURES),
            burst=rng.choice(FIGURES),
            open_limit=rng.choice((0, 0, 1, 3, 10**6)),
            price=rng.choice((0.0, 1.0, 50.0)),
            over_worth=rng.choice((0.0, 0.0, 0.5, 2.0)),
            over_cost=rng.choice((0.0, 0.5, 1.0, 100.0)),
            ceiling_rate=rng.choice((0.0, 0.0, 0.5, 1e9)),
            ceiling_burst=rng.choice(FIGURES),
            ceiling_slack=rng.choice((0.0, 0.1, 5.0)),
        )

    def request_class(name: str) -> RequestClass:
        return RequestClass(
            name,
            rng.choice((1, 50 * MS, 10 * SECOND)),
            rng.choice((MS, 300 * MS, 60 * SECOND)),
            rng.choice((0.0, 1.0, 1e6)),
            0.0,
            rng.choice(list(Repeat)),
            rng.choice(list(Group)),
            rng.choice((0, 5 * SECOND)),
        )

    gateways = rng.choice((1, 2, 7, 200))
    return settings(
        plans=tuple(plan(f"p{n}") for n in range(rng.randint(1, 3))),
        classes=tuple(request_class(f"c{n}") for n in range(rng.randint(1, 3))),
        gateways=gateways,
        position=rng.randrange(gateways),
        max_attempts=rng.choice((1, 4)),
        may_message=rng.random() < 0.6,
        messages_per_s=rng.choice((0.0, 1.0, 40.0, 1e9)),
        counter=rng.random() < 0.3,
        meter_period=rng.choice((0, 0, SECOND)),
        largest=rng.choice((0.0, 0.5, 1.0, 8.0)),
        warm_up=rng.choice((0, 20 * SECOND)),
        start_capacity=rng.choice((0.0, 0.2, 1.0)),
        fall_window=rng.choice((0, 3 * SECOND)),
        drain_grace=rng.choice((0, SECOND)),
        max_retry_after=rng.choice((0, SECOND)),
        retry_advice=rng.random() < 0.5,
        cross_zone_price=rng.choice((0.0, 0.01, 10.0)),
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
            if isinstance(action, Send):
                index = self.sends.get(action.request, 0)
                self.sends[action.request] = index + 1
                self.out.append((action.request, index, action.backend))
            elif isinstance(action, Refuse | Fail):
                assert action.request in self.open, "a second final answer"
                self.open.discard(action.request)
            elif isinstance(action, Tell) and action.to is not None and self.rng.random() < 0.5:
                word = Draw(self.rng.choice((Kind.GRANT, Kind.DENY)), 1, 0, 1.0, self.gateway.quota.tag, 0)
                self.give(PeerMessage(action.to, pack_draw(word)))

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
                spread = self.rng.choice((1, self.s.gateways))
                self.give(
                    arrival(
                        number,
                        self.now,
                        cls,
                        self.rng.randrange(4),
                        plan=plan,
                        spread=spread,
                        units=self.rng.choice((0.25, 1.0, max(1.0, self.s.largest))),
                    )
                )
            elif step < 0.8 and self.out:
                self.end_one()
            elif step < 0.85 and self.open:
                left = self.rng.choice(sorted(self.open))
                self.open.discard(left)
                self.give(ClientLeft(left))
            else:
                self.give(TimerFired(EVERY_TICK))
            if self.rng.random() < 0.02:
                # As under pressure, with a range of its own.
                model = self.gateway.model
                model.risen, model.limit = True, self.rng.choice((2, 50))
                model.delay, model.times = 1.0 * MS, [n * 20.0 * MS for n in range(self.rng.choice((1, 60)))]


@pytest.mark.parametrize("seed", range(120))
def test_no_settings_bring_about_a_fault_a_second_answer_or_a_long_event(seed: int) -> None:
    played = Played(seed)
    played.play(300)
    assert played.slowest < SLOWEST
