"""Use that is told after a silence: it was spent out of what was left for it, and no debt is saved up."""

from __future__ import annotations

import random

import pytest

from trackspread.decide.events import PeerMessage
from trackspread.decide.settings import Plan
from trackspread.decide.peer_messages import (
    QuotaMessage,
    QuotaMessageKind,
    pack_quota_message,
    pack_usage_totals,
)
from trackspread.decide.quota import Quota
from trackspread.decide.tenant_account import TenantAccount
from trackspread.decide.time_units import SECOND
from trackspread.testing.virtual.plain_settings import plain_settings

PLAN = Plan("team", 1.0, 6.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)  # a unit a second, six at once
BEAT = SECOND // 4


class Pair:
    """This gateway's quota, and word of the one other."""

    def __init__(self) -> None:
        self.now = 100 * SECOND
        settings = plain_settings(PLAN, gateway_count=2, may_gossip=True, peer_messages_per_s=40.0)
        self.quota = Quota(settings, 1, self.now, random.Random(1))
        assert self.quota.uses_gossip
        self.account: TenantAccount = self.quota.account(self.now, 7, 0, 2, 0)
        self.told = 0.0

    def pass_by(self, seconds: float, heard: bool, used: float = 0.0) -> None:
        """So long, with the other's words or without; it uses so many units evenly."""
        beats = int(seconds * 4)
        for _ in range(beats):
            self.now += BEAT
            self.told += used / beats
            if heard:
                self.word()
            self.quota.refill(self.now, self.account)

    def word(self) -> None:
        totals = [(7, round(4 * self.told), 0)]
        age = (self.now - 100 * SECOND) * 10 // SECOND
        self.quota.receive_usage_totals(self.now, PeerMessage(1, pack_usage_totals(9, age, totals)))

    def spend(self, units: float) -> None:
        assert self.quota.spend(self.account, units, False)


@pytest.fixture
def pair() -> Pair:
    made = Pair()
    made.pass_by(1.0, True)
    made.spend(6.0)
    return made


def test_use_of_a_silence_comes_off_the_refill_that_was_left_for_it(pair: Pair) -> None:
    pair.pass_by(10.0, False, 6.0)
    before = pair.account.tokens
    assert before == pytest.approx(3.0, abs=0.1), "an even slice of what came in"
    pair.word()
    assert pair.account.tokens == before


def test_beyond_that_it_empties_the_store_and_saves_up_no_debt(pair: Pair) -> None:
    pair.pass_by(10.0, False, 20.0)
    pair.word()
    assert pair.account.tokens == 0.0
    pair.pass_by(2.0, True)
    assert pair.account.tokens == pytest.approx(2.0, abs=0.3)


def test_word_that_is_fresh_is_taken_off_in_full_also_below_nothing(pair: Pair) -> None:
    pair.pass_by(4.0, True, 4.0)
    assert pair.account.tokens == pytest.approx(0.0, abs=0.3), "all that came in was used there"
    pair.pass_by(1.0, True, 4.0)
    assert pair.account.tokens == pytest.approx(-3.0, abs=0.3)


def test_what_was_left_for_a_silence_is_gone_some_seconds_after_it(pair: Pair) -> None:
    pair.pass_by(10.0, False)
    pair.pass_by(3.0, True)
    before = pair.account.tokens
    pair.told += 3.0
    pair.word()
    assert pair.account.tokens == pytest.approx(before - 3.0, abs=0.01)


def test_refill_left_over_from_one_silence_pays_for_no_use_in_another(pair: Pair) -> None:
    pair.pass_by(20.0, False)
    pair.pass_by(6.0, True)
    pair.pass_by(2.0, False, 6.0)
    before = pair.account.tokens
    pair.word()
    assert pair.account.tokens <= before - 3.5, "two seconds' refill is two units"


class Home:
    """A home of a customer where gateways are many, and one that asks it."""

    def __init__(self) -> None:
        self.now = 100 * SECOND
        settings = plain_settings(PLAN, gateway_count=12, may_gossip=True, peer_messages_per_s=40.0)
        self.quota = Quota(settings, 1, self.now, random.Random(1))
        assert self.quota.has_owners
        self.account: TenantAccount = self.quota.account(self.now, 12, 0, 2, 0)
        self.alone = 0.0  # units that the other sent on, its asks unanswered, or by grant

    def ask(self, after: float, alone: float = 0.0) -> float:
        """The other asks for one unit so long after it did last; the level before that unit is taken."""
        self.now += int(after * SECOND)
        self.alone += alone
        age = (self.now - 100 * SECOND) * 10 // SECOND
        draw = QuotaMessage(QuotaMessageKind.REQUEST, 12, 0, 1.0, 5, age, round(4 * self.alone))
        _, _, word = self.quota.receive_quota_message(self.now, PeerMessage(1, pack_quota_message(draw)))
        assert len(word) == 1
        granted = self.account.owner_record.unsettled_grants[1][1] == self.now
        self.alone += granted
        return self.account.tokens + granted


def test_a_home_takes_what_was_used_in_a_silence_off_the_refill_of_that_time() -> None:
    home = Home()
    assert home.ask(1.0) == 6.0
    assert home.ask(10.0, alone=9.0) == 6.0, "it was full for most of the ten seconds"
    assert home.ask(5.0, alone=20.0) == pytest.approx(0.0, abs=0.01), "spent on both sides, and no debt"


def test_a_home_takes_off_in_full_what_one_used_beyond_its_grants_that_it_hears_all_along() -> None:
    home = Home()
    home.ask(1.0)
    assert home.ask(0.5, alone=8.0) < -2.0
