"""Tests usage that a peer reports after it was unresponsive.

Such use was covered by the refill reserved for the peer, so it leaves no debt.
"""

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

PLAN = Plan("team", 1.0, 6.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)  # 1 unit a second with a burst of 6
REPORT_INTERVAL_NS = SECOND // 4


class GatewayWithPeer:
    """Holds this gateway's quota and simulates the usage reports of its only peer."""

    def __init__(self) -> None:
        self.now = 100 * SECOND
        settings = plain_settings(PLAN, gateway_count=2, may_gossip=True, peer_messages_per_s=40.0)
        self.quota = Quota(settings, 1, self.now, random.Random(1))
        assert self.quota.uses_gossip
        self.account: TenantAccount = self.quota.account(self.now, 7, 0, 2, 0)
        self.used_by_peer = 0.0

    def advance(self, seconds: float, reports: bool, used: float = 0.0) -> None:
        """Advances the clock, with or without reports of the peer, which uses the units evenly."""
        intervals = int(seconds * 4)
        for _ in range(intervals):
            self.now += REPORT_INTERVAL_NS
            self.used_by_peer += used / intervals
            if reports:
                self.receive_report()
            self.quota.refill(self.now, self.account)

    def receive_report(self) -> None:
        totals = [(7, round(4 * self.used_by_peer), 0)]
        age = (self.now - 100 * SECOND) * 10 // SECOND
        self.quota.receive_usage_totals(self.now, PeerMessage(1, pack_usage_totals(9, age, totals)))

    def spend(self, units: float) -> None:
        assert self.quota.spend(self.account, units, False)


@pytest.fixture
def gateway() -> GatewayWithPeer:
    gateway = GatewayWithPeer()
    gateway.advance(1.0, True)
    gateway.spend(6.0)
    return gateway


def test_use_while_unresponsive_is_covered_by_reserved_refill(gateway: GatewayWithPeer) -> None:
    gateway.advance(10.0, False, 6.0)
    before = gateway.account.tokens
    assert before == pytest.approx(3.0, abs=0.1), "an even share of the refill"
    gateway.receive_report()
    assert gateway.account.tokens == before


def test_excess_use_empties_bucket_without_debt(gateway: GatewayWithPeer) -> None:
    gateway.advance(10.0, False, 20.0)
    gateway.receive_report()
    assert gateway.account.tokens == 0.0
    gateway.advance(2.0, True)
    assert gateway.account.tokens == pytest.approx(2.0, abs=0.3)


def test_fresh_reports_are_deducted_even_below_zero(gateway: GatewayWithPeer) -> None:
    gateway.advance(4.0, True, 4.0)
    assert gateway.account.tokens == pytest.approx(0.0, abs=0.3), "the peer used all of the refill"
    gateway.advance(1.0, True, 4.0)
    assert gateway.account.tokens == pytest.approx(-3.0, abs=0.3)


def test_reserved_refill_expires_after_the_peers_return(gateway: GatewayWithPeer) -> None:
    gateway.advance(10.0, False)
    gateway.advance(3.0, True)
    before = gateway.account.tokens
    gateway.used_by_peer += 3.0
    gateway.receive_report()
    assert gateway.account.tokens == pytest.approx(before - 3.0, abs=0.01)


def test_reserved_refill_covers_no_later_outage(gateway: GatewayWithPeer) -> None:
    gateway.advance(20.0, False)
    gateway.advance(6.0, True)
    gateway.advance(2.0, False, 6.0)
    before = gateway.account.tokens
    gateway.receive_report()
    assert gateway.account.tokens <= before - 3.5, "two seconds' refill is two units"


class OwnerWithGateway:
    """Simulates the owner of a tenant's quota among many gateways, and one gateway that queries it."""

    def __init__(self) -> None:
        self.now = 100 * SECOND
        settings = plain_settings(PLAN, gateway_count=12, may_gossip=True, peer_messages_per_s=40.0)
        self.quota = Quota(settings, 1, self.now, random.Random(1))
        assert self.quota.has_owners
        self.account: TenantAccount = self.quota.account(self.now, 12, 0, 2, 0)
        self.forwarded = 0.0  # units that the other gateway forwarded, without an answer or with a grant

    def request_unit(self, after: float, forwarded: float = 0.0) -> float:
        """Makes the other gateway request a unit after `after` s; returns the tokens before the grant."""
        self.now += int(after * SECOND)
        self.forwarded += forwarded
        age = (self.now - 100 * SECOND) * 10 // SECOND
        request = QuotaMessage(QuotaMessageKind.REQUEST, 12, 0, 1.0, 5, age, round(4 * self.forwarded))
        _, _, answers = self.quota.receive_quota_message(
            self.now, PeerMessage(1, pack_quota_message(request))
        )
        assert len(answers) == 1
        granted = self.account.owner_record.unsettled_grants[1][1] == self.now
        self.forwarded += granted
        return self.account.tokens + granted


def test_owner_covers_late_use_by_refill_of_outage() -> None:
    owner = OwnerWithGateway()
    assert owner.request_unit(1.0) == 6.0
    assert owner.request_unit(10.0, forwarded=9.0) == 6.0, "the bucket was full for most of the ten seconds"
    assert owner.request_unit(5.0, forwarded=20.0) == pytest.approx(0.0, abs=0.01), (
        "both gateways spent it, without debt"
    )


def test_owner_deducts_ungranted_use_of_responsive_gateway() -> None:
    owner = OwnerWithGateway()
    owner.request_unit(1.0)
    assert owner.request_unit(0.5, forwarded=8.0) < -2.0
