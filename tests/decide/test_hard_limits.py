"""Parts of a ceiling that follow demand between equals: asked for, given, never made."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from trackspread.decide.broker import Broker
from trackspread.decide.actions import Action, SendToPeers, StartAttempt
from trackspread.decide.events import AttemptEnded, Event, Outcome, PeerMessage, TimerFired
from trackspread.decide.settings import Plan
from trackspread.decide.peer_messages import QuotaMessageKind, is_quota_message, unpack_quota_message

from ..helpers import MS, SECOND, arrival, backend, full_list, plan, settings

CEILING = plan(
    rate_per_s=8.0,
    burst_units=40.0,
    hard_limit_per_s=10.0,
    hard_limit_burst_units=12.0,
    hard_limit_slack_units=1.2,
)
STEP, N = 20 * MS, 3


class Tier:
    """Three gateways, their mail, and the ceiling's own store beside them. `minted` plants a donor that
    keeps what it gives; `lend` off drops all word on ceilings."""

    def __init__(
        self, seed: int, figures: Plan, lend: bool = True, minted: bool = False, lost: float = 0.0
    ) -> None:
        self.rng, self.figures = random.Random(seed), figures
        self.lend, self.minted, self.lost = lend, minted, lost
        self.made = [
            Broker(
                settings(plans=(figures,), gateway_count=N, gateway_index=p, peer_messages_per_s=120.0), p, 0
            )
            for p in range(N)
        ]
        for module in self.made:
            module.handle(0, full_list(*(backend(b) for b in range(6))))
        self.mail: list[tuple[int, int, PeerMessage]] = []
        self.now = self.number = self.sent = 0
        self.store, self.over = figures.hard_limit_burst_units, 0.0

    def step(self) -> None:
        self.now += STEP
        figures = self.figures
        self.store = min(
            figures.hard_limit_burst_units, self.store + figures.hard_limit_per_s * STEP / SECOND
        )
        due = [each for each in self.mail if each[0] <= self.now]
        self.mail = [each for each in self.mail if each[0] > self.now]
        for _, to, message in due:
            self.handle(to, message)
        if self.now % (100 * MS) == 0:
            for me in range(N):
                self.handle(me, TimerFired(1))

    def ask(self, me: int) -> None:
        self.number += 1
        self.handle(me, arrival(self.number, self.now, gateway_span=N))

    def handle(self, me: int, event: Event) -> None:
        for action in self.made[me].handle(self.now, event):
            self._act(me, action)

    def _act(self, me: int, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self.sent, self.store = self.sent + 1, self.store - 1.0
            self.over = max(self.over, -self.store)
            self.handle(me, AttemptEnded(action.request, True, 0, action.backend, 0, Outcome.OK, MS, 0, ()))
        elif isinstance(action, SendToPeers) and (self.lend or not is_quota_message(action.data)):
            draw = unpack_quota_message(action.data)
            if self.minted and draw is not None and draw.kind == QuotaMessageKind.TRANSFER:
                self.made[me].quota.accounts[1].hard_limit_tokens += draw.units
            for to in range(N) if action.recipient is None else [action.recipient]:
                if to != me and self.rng.random() >= self.lost:
                    late = self.now + self.rng.randrange(1, 3) * STEP
                    self.mail.append((late, to, PeerMessage(me, action.data)))


def through_one(seed: int, lend: bool = True, lost: float = 0.0) -> Tier:
    """A customer that asks 8 a second for half a minute, through one gateway but for two requests."""
    tier, due = Tier(seed, CEILING, lend, lost=lost), SECOND
    while tier.now < 30 * SECOND:
        tier.step()
        if tier.now == SECOND:  # the others know it, and have parts for it
            tier.ask(1)
            tier.ask(2)
        while due <= tier.now:
            due += SECOND // 8
            tier.ask(0)
    return tier


def flooded(seed: int, minted: bool) -> Tier:
    """Far more is asked than the ceiling allows, most of it at one gateway after the other."""
    tier = Tier(seed, replace(CEILING, rate_per_s=60.0, burst_units=200.0), minted=minted)
    while tier.now < 30 * SECOND:
        tier.step()
        for me in range(N):
            if me == tier.now // (3 * SECOND) % N or tier.rng.random() < 0.05:
                tier.ask(me)
    return tier


def test_a_customer_that_comes_through_one_gateway_gets_what_its_ceiling_allows() -> None:
    assert through_one(1, lend=False).sent < 0.55 * 8 * 30  # a third of the ceiling, and what was there
    together = through_one(1)
    assert together.sent > 0.9 * 8 * 29 and together.over <= CEILING.hard_limit_slack_units


@pytest.mark.parametrize("lost", [0.07, 0.5])
@pytest.mark.parametrize("seed", range(3))
def test_what_is_lent_is_never_more_than_there_is(seed: int, lost: float) -> None:
    assert through_one(seed, lost=lost).over <= CEILING.hard_limit_slack_units


def test_planted_a_donor_that_keeps_what_it_gives_is_convicted() -> None:
    assert max(flooded(seed, minted=False).over for seed in range(3)) <= CEILING.hard_limit_slack_units
    assert flooded(0, minted=True).over > CEILING.hard_limit_slack_units


def test_a_second_copy_of_what_was_given_and_word_of_strangers_are_nothing() -> None:
    tier = Tier(1, CEILING)
    for me in range(N):
        tier.ask(me)
    while not any(
        (draw := unpack_quota_message(m.data)) and draw.kind == QuotaMessageKind.TRANSFER
        for _, _, m in tier.mail
    ):
        tier.step()
        tier.ask(0)
    given = next(
        m for m in tier.mail if (d := unpack_quota_message(m[2].data)) and d.kind == QuotaMessageKind.TRANSFER
    )
    account = tier.made[0].quota.accounts[1]
    account.hard_limit_tokens = 0.0
    tier.handle(0, PeerMessage(7, given[2].data))
    assert account.hard_limit_tokens == 0.0
    tier.handle(0, given[2])
    once = account.hard_limit_tokens
    assert once > 0.0
    tier.handle(0, given[2])
    assert account.hard_limit_tokens == once
