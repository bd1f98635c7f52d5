"""Tests that limits follow the fleet as the host sees it: slots, owners, and buckets that change owners."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from trackspread.decide.broker import Broker
from trackspread.decide.actions import Reject, SendToPeers
from trackspread.decide.events import FleetChanged, PeerMessage, RequestArrived
from trackspread.decide.settings import Plan
from trackspread.decide.peer_messages import (
    QuotaMessage,
    QuotaMessageKind,
    pack_quota_message,
    pack_usage_totals,
    unpack_quota_message,
)
from trackspread.decide.quota import RETURN_WINDOW_NS, UNRESPONSIVE_NS, Quota
from trackspread.decide.rendezvous_hashing import owner_among
from trackspread.decide.time_units import SECOND
from trackspread.membership.slot_allocation import ALL_SLOTS, slots_of
from trackspread.testing.virtual.plain_settings import plain_settings

PLAN = Plan("team", 2.0, 12.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
HARD_LIMITED = replace(PLAN, hard_limit_per_s=6.0, hard_limit_burst_units=24.0, hard_limit_slack_units=6.0)
START = 100 * SECOND
NEVER_NS = 10**15  # ns, longer than any test


def new_quota(gateways: int, messages: float, plan: Plan = PLAN) -> Quota:
    settings = plain_settings(plan, gateway_count=gateways, may_gossip=True, peer_messages_per_s=messages)
    return Quota(settings, 1, START, random.Random(1))


def view(count: int, gateway_index: int = 0, gone: tuple[int, ...] = (), **changes: object) -> FleetChanged:
    """Returns a view of `count` gateways except those in `gone`; gateway n has the number 10 + n."""
    present = [n for n in range(count) if n not in gone]
    others = tuple(10 + n for n in present if n != gateway_index)
    complete = FleetChanged(
        10 + gateway_index,
        others,
        tuple(10 + n for n in present),
        tuple(slots_of((n, count)) for n in range(count)),
        slots_of((gateway_index, count)),
        tuple(slots_of((n - 10, count)) for n in others),
        NEVER_NS,
        NEVER_NS,
    )
    return replace(complete, **changes)  # type: ignore[arg-type]


def receive_empty_totals(quota: Quota, now: int, *senders: int) -> None:
    for sender in senders:
        quota.receive_usage_totals(
            now, PeerMessage(sender, pack_usage_totals(1, (now - START) * 10 // SECOND, []))
        )


def test_tenants_gateways_share_its_full_limits() -> None:
    quota = new_quota(6, 1000.0)
    quota.change_fleet(START, view(6))
    receive_empty_totals(quota, START, *range(11, 16))
    tenant_of_two, tenant_of_all = quota.account(START, 1, 0, 2, 0), quota.account(START, 2, 0, 6, 0)
    assert (
        quota.static_shares.share(START, tenant_of_two),
        quota.static_shares.share(START, tenant_of_all),
    ) == pytest.approx((0.5, 1 / 6), abs=0.01)
    assert quota.local_share(START, tenant_of_two) == quota.local_share(START, tenant_of_all) == 1.0
    # Half of the fleet becomes unresponsive. The other gateway of `tenant_of_two` still responds, so its full
    # limit stays here; of `tenant_of_all` only half stays.
    later = START + UNRESPONSIVE_NS
    receive_empty_totals(quota, later, 11, 12)
    assert quota.local_share(later, tenant_of_two) == 1.0 and quota.local_share(
        later, tenant_of_all
    ) == pytest.approx(0.5, abs=0.01)


def test_gateway_without_valid_slots_rejects_limited_requests() -> None:
    broker = Broker(
        plain_settings(PLAN, gateway_count=3, may_gossip=True, peer_messages_per_s=1000.0), 1, START
    )
    broker.handle(START, view(3, own_slots=0, valid_until_ns=0, reassigned_at_ns=0))

    def rejections(now: int, number: int) -> list[object]:
        arrival = RequestArrived(number, 0, 0, 7, now + SECOND, 1.0, 3, 0, 0)
        return [a for a in broker.handle(now, arrival) if isinstance(a, Reject)]

    assert rejections(START, 1) and broker.quota.accounts[7].rejection_reason == "fleet"
    broker.handle(START, view(3, valid_until_ns=START + 2 * SECOND, reassigned_at_ns=START + 30 * SECOND))
    assert broker.quota.has_capacity(START, broker.quota.accounts[7], 1.0)
    assert not broker.quota.has_capacity(START + 2 * SECOND, broker.quota.accounts[7], 1.0)
    assert rejections(START + 2 * SECOND, 2) and broker.quota.accounts[7].rejection_reason == "fleet"


def test_reassigned_slots_return_with_empty_hard_limit() -> None:
    quota = new_quota(3, 1000.0, HARD_LIMITED)
    quota.change_fleet(START, view(3, valid_until_ns=START + SECOND, reassigned_at_ns=START + 30 * SECOND))
    account = quota.account(START, 7, 0, 3, 0)
    quota.refill(START + SECOND - 1, account)
    tokens_before = account.hard_limit_tokens
    assert tokens_before > 0.0
    quota.change_fleet(
        START + 29 * SECOND, view(3, valid_until_ns=START + 40 * SECOND, reassigned_at_ns=START + 60 * SECOND)
    )
    assert account.hard_limit_tokens >= tokens_before, "returned in time: the tokens are kept"
    quota.change_fleet(START + 70 * SECOND, view(3))
    assert account.hard_limit_tokens == 0.0


def test_leaving_gateway_moves_only_its_own_tenants() -> None:
    quota = new_quota(12, 10.0)
    quota.change_fleet(START, view(12))
    assert quota.has_owners and not quota.uses_gossip
    accounts = [quota.account(START, n, 0, 12, 0) for n in range(600)]
    before = [quota.owner_of(a) for a in accounts]
    assert set(before) == set(range(10, 22))
    quota.change_fleet(START, view(12, gone=(5,)))
    moved = [
        (old_owner, quota.owner_of(a))
        for old_owner, a in zip(before, accounts, strict=True)
        if quota.owner_of(a) != old_owner
    ]
    assert {old_owner for old_owner, _ in moved} == {15} and len({owner for _, owner in moved}) > 5
    slow = view(12, quota_owners=tuple(n for n in range(10, 22) if n != 13))
    quota.change_fleet(START, slow)
    assert 13 not in {quota.owner_of(a) for a in accounts}
    assert all(owner_among(slow.quota_owners, a.tenant) == quota.owner_of(a) for a in accounts)


def test_halves_of_partitioned_fleet_keep_owners() -> None:
    quota = new_quota(12, 80.0)
    quota.change_fleet(START, view(12))
    assert quota.has_owners
    quota.change_fleet(START, view(12, gone=tuple(range(6, 12))))
    assert quota.has_owners, "halves keep owners, so that they agree once the partition has healed"
    quota.change_fleet(START, view(12, gone=tuple(range(3, 12))))
    assert quota.uses_gossip
    quota.change_fleet(START, view(12))
    assert quota.has_owners


def unit_request(now: int, quota: Quota, **changes: object) -> PeerMessage:
    """Returns a request for a unit of tenant 7 from another gateway."""
    message = QuotaMessage(QuotaMessageKind.REQUEST, 7, 0, 1.0, 1, (now - START) * 10 // SECOND, 0, 0, 2)
    sender = changes.pop("sender", 11)
    return PeerMessage(sender, pack_quota_message(message._replace(**changes)))  # type: ignore[arg-type]


def quota_of_tenant_7(is_owner: bool = True) -> tuple[Quota, int]:
    """Returns the quota of one of twelve gateways that owns, or does not own, tenant 7, and its index."""
    for gateway_index in range(12):
        quota = new_quota(12, 10.0)
        quota.change_fleet(START, view(12, gateway_index))
        if (owner_among(tuple(range(10, 22)), 7) == 10 + gateway_index) is is_owner:
            return quota, gateway_index
    raise AssertionError


def test_new_owner_takes_over_former_bucket_once() -> None:
    quota, gateway_index = quota_of_tenant_7()
    quota.change_fleet(
        START,
        view(12, gateway_index, quota_owners=tuple(n for n in range(10, 22) if n != 10 + gateway_index)),
    )
    account = quota.account(START, 7, 0)
    assert not quota.is_local(account)
    quota.change_fleet(START, view(12, gateway_index))
    for sender, tokens in ((11, 5.0), (12, 5.0)):
        request = unit_request(START, quota, sender=sender, tokens=tokens, tokens_reported_by=99)
        _, _, (answer,) = quota.receive_quota_message(START, request)
        assert isinstance(answer, SendToPeers)
    assert account.tokens == pytest.approx(5.0 - 2.0), (
        "less two grants; the bucket of the former owner is added once"
    )
    assert isinstance(answer, SendToPeers)
    message = unpack_quota_message(answer.data)
    assert message is not None and message.kind == QuotaMessageKind.GRANT
    # The bucket of another former owner, in another part of a partitioned fleet, is added as well.
    quota.receive_quota_message(
        START, unit_request(START, quota, sender=13, tokens=4.0, tokens_reported_by=98)
    )
    assert account.tokens == pytest.approx(3.0 + 4.0 - 1.0)


def test_query_reports_owners_balance_only_while_fresh() -> None:
    quota = quota_of_tenant_7(False)[0]
    account = quota.account(START, 7, 0, 2, 3)
    owner = quota.owner_of(account)
    grant = QuotaMessage(QuotaMessageKind.GRANT, 7, 0, 6.5, 1, 0)
    quota.receive_quota_message(START, PeerMessage(owner, pack_quota_message(grant)))
    for age, tokens_reported_by in ((SECOND, owner), (10 * SECOND, 0)):
        _, action = quota.query(START + age, account, 1.0, QuotaMessageKind.REQUEST)
        assert isinstance(action, SendToPeers)
        message = unpack_quota_message(action.data)
        assert message is not None and (
            message.first_gateway,
            message.gateway_span,
            message.tokens_reported_by,
        ) == (
            3,
            2,
            tokens_reported_by,
        )


def test_unused_units_of_unresponsive_peers_return() -> None:
    quota = new_quota(2, 1000.0)
    quota.change_fleet(START, view(2))
    account = quota.account(START, 7, 0, 2, 0)
    now = START
    receive_empty_totals(quota, now, 11)
    quota.refill(now, account)
    assert quota.spend(account, account.tokens, False)
    now += 10 * SECOND
    for at in range(START + SECOND, now, SECOND // 4):
        quota.refill(at, account)
        if account.tokens >= 1.0:
            quota.spend(account, 1.0, False)
    assert account.unresponsive_units > 6.0
    receive_empty_totals(quota, now, 11)  # the peer has returned and has used nothing
    for at in range(now, now + RETURN_WINDOW_NS + 1, SECOND // 2):
        receive_empty_totals(quota, at, 11)
        quota.refill(at, account)
    assert account.unresponsive_units == 0.0 and account.tokens > 9.0


def test_malformed_messages_and_many_peers_are_bounded() -> None:
    assert (
        unpack_quota_message(
            pack_quota_message(
                QuotaMessage(QuotaMessageKind.REQUEST, 7, 0, 1.0, 1, 0, 0, 70_000, 99_999, 1e9, 5)
            )
        )
        is not None
    )
    assert unpack_quota_message(b"\1" * 21) is None
    quota = new_quota(3, 1000.0)
    quota.change_fleet(START, view(3, peer_slots=(0, 0), peers=(11, 12)))
    assert ALL_SLOTS.bit_count() == sum(slots_of((n, 3)).bit_count() for n in range(3))
    for sender in range(2000):
        receive_empty_totals(quota, START, 10_000 + sender)
    assert len(quota.peers) <= 512
