"""The module's limits follow the fleet as its host sees it: slots, sets, homes, stores that change hands."""

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
CAPPED = replace(PLAN, hard_limit_per_s=6.0, hard_limit_burst_units=24.0, hard_limit_slack_units=6.0)
START = 100 * SECOND
MANY = 10**15  # ns: never


def quota(gateways: int, messages: float, plan: Plan = PLAN) -> Quota:
    settings = plain_settings(plan, gateway_count=gateways, may_gossip=True, peer_messages_per_s=messages)
    return Quota(settings, 1, START, random.Random(1))


def view(count: int, me: int = 0, gone: tuple[int, ...] = (), **changes: object) -> FleetChanged:
    """Gateways of places 0 to `count`, numbered by them from 10 on, but for those that are gone."""
    here = [n for n in range(count) if n not in gone]
    others = tuple(10 + n for n in here if n != me)
    made = FleetChanged(
        10 + me,
        others,
        tuple(10 + n for n in here),
        tuple(slots_of((n, count)) for n in range(count)),
        slots_of((me, count)),
        tuple(slots_of((n - 10, count)) for n in others),
        MANY,
        MANY,
    )
    return replace(made, **changes)  # type: ignore[arg-type]


def words(made: Quota, now: int, *senders: int) -> None:
    for sender in senders:
        made.receive_usage_totals(
            now, PeerMessage(sender, pack_usage_totals(1, (now - START) * 10 // SECOND, []))
        )


def test_a_members_set_has_its_whole_limits_where_its_traffic_comes() -> None:
    made = quota(6, 1000.0)
    made.change_fleet(START, view(6))
    words(made, START, *range(11, 16))
    one, all_ = made.account(START, 1, 0, 2, 0), made.account(START, 2, 0, 6, 0)
    assert (made.static_shares.share(START, one), made.static_shares.share(START, all_)) == pytest.approx(
        (0.5, 1 / 6), abs=0.01
    )
    assert made.local_share(START, one) == made.local_share(START, all_) == 1.0
    # Half of all fall silent, the set of one member among them: what is here is what is left for it.
    late = START + UNRESPONSIVE_NS
    words(made, late, 11, 12)
    assert made.local_share(late, one) == 1.0 and made.local_share(late, all_) == pytest.approx(0.5, abs=0.01)


def test_without_slots_nothing_that_all_share_is_acted_on_and_a_stopped_process_looks_at_its_clock() -> None:
    broker = Broker(
        plain_settings(PLAN, gateway_count=3, may_gossip=True, peer_messages_per_s=1000.0), 1, START
    )
    broker.handle(START, view(3, own_slots=0, valid_until_ns=0, reassigned_at_ns=0))

    def asks(now: int, number: int) -> list[object]:
        arrival = RequestArrived(number, 0, 0, 7, now + SECOND, 1.0, 3, 0, 0)
        return [a for a in broker.handle(now, arrival) if isinstance(a, Reject)]

    assert asks(START, 1) and broker.quota.accounts[7].rejection_reason == "fleet"
    broker.handle(START, view(3, valid_until_ns=START + 2 * SECOND, reassigned_at_ns=START + 30 * SECOND))
    assert broker.quota.has_capacity(START, broker.quota.accounts[7], 1.0)
    assert not broker.quota.has_capacity(START + 2 * SECOND, broker.quota.accounts[7], 1.0)
    assert asks(START + 2 * SECOND, 2) and broker.quota.accounts[7].rejection_reason == "fleet"


def test_slots_that_others_may_have_had_come_back_with_an_empty_ceiling() -> None:
    made = quota(3, 1000.0, CAPPED)
    made.change_fleet(START, view(3, valid_until_ns=START + SECOND, reassigned_at_ns=START + 30 * SECOND))
    account = made.account(START, 7, 0, 3, 0)
    made.refill(START + SECOND - 1, account)
    held = account.hard_limit_tokens
    assert held > 0.0
    made.change_fleet(
        START + 29 * SECOND, view(3, valid_until_ns=START + 40 * SECOND, reassigned_at_ns=START + 60 * SECOND)
    )
    assert account.hard_limit_tokens >= held, "in time: as it was"
    made.change_fleet(START + 70 * SECOND, view(3))
    assert account.hard_limit_tokens == 0.0


def test_a_gateway_that_joins_or_goes_moves_few_homes_and_a_slow_one_has_none() -> None:
    made = quota(12, 10.0)
    made.change_fleet(START, view(12))
    assert made.has_owners and not made.uses_gossip
    accounts = [made.account(START, n, 0, 12, 0) for n in range(600)]
    before = [made.owner_of(a) for a in accounts]
    assert set(before) == set(range(10, 22))
    made.change_fleet(START, view(12, gone=(5,)))
    moved = [
        (was, made.owner_of(a)) for was, a in zip(before, accounts, strict=True) if made.owner_of(a) != was
    ]
    assert {was for was, _ in moved} == {15} and len({home for _, home in moved}) > 5
    slow = view(12, quota_owners=tuple(n for n in range(10, 22) if n != 13))
    made.change_fleet(START, slow)
    assert 13 not in {made.owner_of(a) for a in accounts}
    assert all(owner_among(slow.quota_owners, a.tenant) == made.owner_of(a) for a in accounts)


def test_halves_of_a_fleet_with_homes_keep_them() -> None:
    made = quota(12, 80.0)
    made.change_fleet(START, view(12))
    assert made.has_owners
    made.change_fleet(START, view(12, gone=tuple(range(6, 12))))
    assert made.has_owners, "else both halves would tell otherwise than they hear, once healed"
    made.change_fleet(START, view(12, gone=tuple(range(3, 12))))
    assert made.uses_gossip
    made.change_fleet(START, view(12))
    assert made.has_owners


def draw(now: int, made: Quota, **changes: object) -> PeerMessage:
    plain = QuotaMessage(QuotaMessageKind.REQUEST, 7, 0, 1.0, 1, (now - START) * 10 // SECOND, 0, 0, 2)
    sender = changes.pop("sender", 11)
    return PeerMessage(sender, pack_quota_message(plain._replace(**changes)))  # type: ignore[arg-type]


def homed(me_is_home: bool = True) -> tuple[Quota, int]:
    """A quota of twelve that is, or is not, the home of customer 7, and its place."""
    for me in range(12):
        made = quota(12, 10.0)
        made.change_fleet(START, view(12, me))
        if (owner_among(tuple(range(10, 22)), 7) == 10 + me) is me_is_home:
            return made, me
    raise AssertionError


def test_a_new_home_takes_over_the_store_of_the_former_one_once() -> None:
    made, me = homed()
    made.change_fleet(START, view(12, me, quota_owners=tuple(n for n in range(10, 22) if n != 10 + me)))
    account = made.account(START, 7, 0)
    assert not made.is_local(account)
    made.change_fleet(START, view(12, me))
    for sender, level in ((11, 5.0), (12, 5.0)):
        asked = draw(START, made, sender=sender, tokens=level, tokens_reported_by=99)
        _, _, (answer,) = made.receive_quota_message(START, asked)
        assert isinstance(answer, SendToPeers)
    assert account.tokens == pytest.approx(5.0 - 2.0), (
        "what two were granted, and not twice what one home had"
    )
    assert isinstance(answer, SendToPeers)
    told = unpack_quota_message(answer.data)
    assert told is not None and told.kind == QuotaMessageKind.GRANT
    # Another home's store, of another side of a cut, is another one.
    made.receive_quota_message(START, draw(START, made, sender=13, tokens=4.0, tokens_reported_by=98))
    assert account.tokens == pytest.approx(3.0 + 4.0 - 1.0)


def test_an_asker_tells_its_set_and_what_the_home_told_it_only_while_that_is_fresh() -> None:
    made = homed(False)[0]
    account = made.account(START, 7, 0, 2, 3)
    home = made.owner_of(account)
    grant = QuotaMessage(QuotaMessageKind.GRANT, 7, 0, 6.5, 1, 0)
    made.receive_quota_message(START, PeerMessage(home, pack_quota_message(grant)))
    for age, teller in ((SECOND, home), (10 * SECOND, 0)):
        _, action = made.query(START + age, account, 1.0, QuotaMessageKind.REQUEST)
        assert isinstance(action, SendToPeers)
        told = unpack_quota_message(action.data)
        assert told is not None and (told.first_gateway, told.gateway_span, told.tokens_reported_by) == (
            3,
            2,
            teller,
        )


def test_what_the_silent_did_not_use_is_there_once_all_have_told() -> None:
    made = quota(2, 1000.0)
    made.change_fleet(START, view(2))
    account = made.account(START, 7, 0, 2, 0)
    now = START
    words(made, now, 11)
    made.refill(now, account)
    assert made.spend(account, account.tokens, False)
    now += 10 * SECOND
    for at in range(START + SECOND, now, SECOND // 4):
        made.refill(at, account)
        if account.tokens >= 1.0:
            made.spend(account, 1.0, False)
    assert account.unresponsive_units > 6.0
    words(made, now, 11)  # it is back, and has used nothing
    for at in range(now, now + RETURN_WINDOW_NS + 1, SECOND // 2):
        words(made, at, 11)
        made.refill(at, account)
    assert account.unresponsive_units == 0.0 and account.tokens > 9.0


def test_the_ways_to_say_nothing_are_bounded() -> None:
    assert (
        unpack_quota_message(
            pack_quota_message(
                QuotaMessage(QuotaMessageKind.REQUEST, 7, 0, 1.0, 1, 0, 0, 70_000, 99_999, 1e9, 5)
            )
        )
        is not None
    )
    assert unpack_quota_message(b"\1" * 21) is None
    made = quota(3, 1000.0)
    made.change_fleet(START, view(3, peer_slots=(0, 0), peers=(11, 12)))
    assert ALL_SLOTS.bit_count() == sum(slots_of((n, 3)).bit_count() for n in range(3))
    for sender in range(2000):
        words(made, START, 10_000 + sender)
    assert len(made.peers) <= 512
