"""Planning: turns, parts that can serve, and each margin and memory by itself."""

from __future__ import annotations

import random

import pytest

from trackspread.planning.lease_table import OUTSTANDING_NS
from trackspread.planning.election import Election, ElectionMessage
from trackspread.planning.election import ACCEPTED_NS, MEAN_BACKOFF_NS, OWNED_NS, TERM_NS
from trackspread.planning.forwarder import Forwarder
from trackspread.planning.forwarder import FORGET_NS
from trackspread.planning.lease_holder import HELD_NS, LeaseHolder
from trackspread.planning.placement import static_part
from trackspread.decide.time_units import SECOND
from trackspread.planning.limits import Limit, TenantLimit, max_parts
from trackspread.planning.messages import Grant
from trackspread.planning.timing import CLOCK_DRIFT, HEARTBEAT_NS, LEASE_NS
from trackspread.planning.rotation import TURN_NS, Rotation
from .test_planning import CAP, SETTLED, START, answer, ask, table, granted, take


def test_a_part_that_holds_no_request_is_widened_or_all_is_planned() -> None:
    small = TenantLimit(Limit(10.0, 3.0), 0.2, False)
    assert small.fitted(1.0, 2).planned_part == pytest.approx(1 / 3)  # one request planned, one in each slice
    assert (
        TenantLimit(Limit(10.0, 1.5), 0.2, False).fitted(1.0, 2).planned_part == 1.0
    )  # what is left would hold none
    assert TenantLimit(Limit(10.0, 40.0), 0.2, True).fitted(1.0, 4) == TenantLimit(
        Limit(10.0, 40.0), 0.2, True
    )
    assert TenantLimit(Limit(10.0, 2.0), 0.0, False).fitted(1.0, 2).planned_part == 0.0
    with pytest.raises(ValueError, match=r"0\.9 units holds no request of 1"):
        TenantLimit(Limit(10.0, 0.9), 0.2, False).fitted(1.0, 2)
    assert max_parts(3.0, 1.0, 5) == 3 and max_parts(0.6, 0.2, 9) == 3 and max_parts(9.0, 1.0, 5) == 5


def test_even_parts_go_to_as_many_as_they_serve_and_sum_to_what_is_not_planned() -> None:
    ways = [3, 4, 5, 6]
    for planned, served in ((0.2, 4), (0.7, 2), (0.9, 0)):
        cap = TenantLimit(Limit(10.0, 8.0), planned, False)
        parts = [static_part(7, me, ways, cap, 1.2) for me in ways]
        assert sum(part > 0.0 for part in parts) == served
        assert sum(parts) == pytest.approx((1.0 - planned) if served else 0.0)
        assert all(part * 8.0 >= 1.2 for part in parts if part)
    assert static_part(7, 9, ways, TenantLimit(Limit(10.0, 8.0), 0.2, False), 1.0) == 0.0
    chosen = {
        tuple(static_part(m, me, ways, TenantLimit(Limit(10.0, 8.0), 0.7, False), 1.2) > 0 for me in ways)
        for m in range(40)
    }
    assert len(chosen) > 3  # not the same ones for every member


def test_turns_run_as_many_at_once_as_there_are_places_and_end_by_time_or_disuse() -> None:
    turns, a, b, c = Rotation(), (1, 1), (2, 1), (3, 1)
    turns.add_limit(1, True)
    turns.add_limit(3, False)
    assert turns.concurrent_turns == 1
    assert turns.has_turn(START, a, True, False) and not turns.has_turn(START, b, True, False)
    assert turns.has_turn(START + 1, a, False, True)  # it uses all it gets, though nothing waits just now
    assert not turns.has_turn(START + 2, a, False, False)  # over: and it is b's
    assert turns.has_turn(START + 3, b, True, False) and not turns.has_turn(START + 4, a, True, False)
    assert turns.has_turn(START + 2 + TURN_NS, b, True, False) and not turns.has_turn(
        START + 2 + TURN_NS, a, True, False
    )
    assert not turns.has_turn(START + 3 + TURN_NS, b, True, False)  # its time is over, and a waited longer
    assert turns.has_turn(START + 3 + TURN_NS, a, True, False)
    assert not turns.has_turn(START + 4 + TURN_NS, c, False, True)  # nothing waits there


def test_who_waited_longest_is_next_and_the_silent_are_not_waited_for() -> None:
    turns, now = Rotation(), START
    turns.add_limit(1, True)
    order = [(n, 1) for n in range(4)]
    for who in order:  # each has had a turn, one after the other
        assert turns.has_turn(now, who, True, False)
        now += TURN_NS
    assert turns.has_turn(now, order[0], True, False)
    over = now + TURN_NS
    assert not any([turns.has_turn(over - 1, who, True, False) for who in order[1:]])  # all of them wait
    assert not turns.has_turn(over, order[3], True, False) and not turns.has_turn(over, order[2], True, False)
    assert turns.has_turn(over, order[1], True, False)
    turns = Rotation()
    turns.add_limit(2, False)
    assert turns.concurrent_turns == 2
    assert turns.has_turn(now, (1, 1), True, False) and turns.has_turn(now, (2, 1), True, False)
    assert not turns.has_turn(now, (3, 1), True, False)
    later = now + TURN_NS  # both are over; (3, 1) has not asked for a lease and more
    assert turns.has_turn(later + 1, (1, 1), True, False)


def test_a_cut_is_acknowledged_at_once_and_once_a_beat() -> None:
    f = Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05,))
    f.admit(START, 1, 1.0)
    ((to, first),) = f.heartbeat(START)
    assert f.on_grant(START, answer(first)) == []  # more than before: nothing to free
    ((_, second),) = f.heartbeat(START + HEARTBEAT_NS)
    ((again, word),) = f.on_grant(START + HEARTBEAT_NS, answer(second, (1, 2), Limit(1.0, 2.0), 0.0))
    assert again == to and word.base_lease == (1, 2) and word.held_limit == Limit(1.0, 2.0)
    assert (word.demand_per_s, word.waiting_units) == (
        second.demand_per_s,
        second.waiting_units,
    ) and word.sequence > second.sequence
    assert f.on_grant(START + HEARTBEAT_NS, answer(word, (1, 3), Limit(0.5, 1.0), 0.0)) == []
    ((_, third),) = f.heartbeat(START + 2 * HEARTBEAT_NS)
    assert len(f.on_grant(START + 2 * HEARTBEAT_NS, answer(third, (1, 4), Limit(0.5, 0.5), 0.0))) == 1


def test_margins_cover_the_stated_drift_and_hardly_more() -> None:
    """A lease ends for its holder, on the slowest clock, before it ends for whoever granted it, on the
    fastest."""
    for held, counted, span in ((HELD_NS, OUTSTANDING_NS, LEASE_NS), (OWNED_NS, ACCEPTED_NS, TERM_NS)):
        assert held / (1.0 - CLOCK_DRIFT) * (1.0 + CLOCK_DRIFT) <= counted <= 1.05 * span
        assert 0.95 * span <= held


def test_rights_in_turn_go_to_as_many_as_the_burst_holds_and_share_the_whole_rate() -> None:
    b, words, now = table(Limit(10.0, 2.5)), dict[int, Grant](), SETTLED
    had, used = set[int](), 0.0
    for beat in range(1, 30):
        now += HEARTBEAT_NS
        for f in range(5):
            before = words.get(f)
            word = ask(f, beat, demand_per_s=20.0, waiting_units=1.0)
            if before is not None:
                word = word._replace(base_lease=before.lease, held_limit=before.limit)
            words[f] = granted(b, now, word)
            assert words[f].epoch == b.epoch
        holding = {f for f, grant in words.items() if grant.limit.burst_units}
        had |= holding
        assert len(holding) <= 2
        if beat > 8:  # at first whoever asks alone has it all
            assert all(words[f].limit.burst_units == 1.0 for f in holding)
            assert all(words[f].limit.rate_per_s <= b.limit.rate_per_s / 2 + 1e-9 for f in holding)
        used += sum(words[f].limit.rate_per_s for f in holding)
    assert (
        used >= 0.4 * 29 * b.limit.rate_per_s
    )  # nobody acknowledges here: each change costs two beats of five
    assert had == set(range(5))


def test_a_soft_right_carried_on_from_an_older_epoch_counts_as_out() -> None:
    b = table()
    kept = ask(1, base_lease=(2, 1), held_limit=Limit(6.0, 12.0), demand_per_s=0.0)  # it wants no more
    granted(b, SETTLED, kept)  # long after learning: it was cut off all the while
    assert granted(b, SETTLED, ask(2, demand_per_s=100.0)).limit.rate_per_s <= b.limit.rate_per_s - 6.0 + 1e-9
    free = granted(b, SETTLED + OUTSTANDING_NS + 1, ask(2, 2, demand_per_s=100.0)).limit.rate_per_s
    assert free == pytest.approx(b.limit.rate_per_s)


def test_who_asks_seldom_keeps_its_demand_between_two_requests_and_who_asks_no_more_loses_it() -> None:
    h, now, told = LeaseHolder(CAP, 0.05, START), START, list[float]()
    for beat in range(40):
        now += HEARTBEAT_NS
        if beat % 10 == 0:  # one every 4 s
            take(h, now)
        told.append(h.next_request(now, 1, 7, 1, 0).demand_per_s)
    assert min(told[10:]) > 0.02  # over what counts as idle
    for _ in range(200):
        now += HEARTBEAT_NS
        last = h.next_request(now, 1, 7, 1, 0).demand_per_s
    assert last < 0.001


def test_tries_for_a_slot_are_spread_and_go_beyond_what_was_heard() -> None:
    waits = [
        Election(0, 3, START, random.Random(n))._next_attempt_ns - START - ACCEPTED_NS for n in range(200)
    ]
    assert min(waits) < 0.4 * MEAN_BACKOFF_NS and max(waits) > 1.6 * MEAN_BACKOFF_NS
    assert all(0.2 * MEAN_BACKOFF_NS <= wait <= 1.8 * MEAN_BACKOFF_NS for wait in waits)
    e, now = Election(0, 3, START, random.Random(1)), START + 9 * TERM_NS
    e.on_message(now, 1, ElectionMessage("prepare", (9, 1)))
    ((_, word),) = e.tick(now)
    assert word.ballot == (10, 0)
    assert e.tick(now + MEAN_BACKOFF_NS) == []  # others get their chance first
    e.on_newer_epoch(20)
    ((_, word),) = e.tick(now + 3 * MEAN_BACKOFF_NS)
    assert word.ballot == (21, 0)
    e.on_message(now, 1, ElectionMessage("nack", (40, 1)))
    ((_, word),) = e.tick(now + 6 * MEAN_BACKOFF_NS)
    assert word.ballot == (41, 0)


def test_grants_for_nobody_known_and_a_late_no_do_nothing() -> None:
    f = Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05,))
    f.admit(START, 1, 1.0)
    ((to, word),) = f.heartbeat(START)
    assert f.on_grant(START, answer(word)._replace(tenant=2)) == []
    assert f.on_grant(START, answer(word)._replace(limit_index=1)) == []
    assert f.on_grant(START, answer(word)._replace(limit_index=-1)) == []
    assert f.tenants[1].holders[0].limit == Limit(0.0, 0.0)
    f.on_grant(START, answer(word))
    assert f.on_decline(START, to, 1) == []  # it answered before it said no
    assert f.on_decline(START, to, 9) == []
    ((again, _),) = f.heartbeat(START + HEARTBEAT_NS)
    assert again == to
    with pytest.raises(ValueError):  # parts that do not fit the caps
        Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05, 0.05)).admit(START, 1, 1.0)


def test_one_forgotten_member_takes_no_other_along() -> None:
    f = Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05,))
    f.admit(START, 1, 1.0)
    f.admit(START + SECOND, 2, 1.0)
    assert [word.tenant for _, word in f.heartbeat(START + FORGET_NS + SECOND // 2)] == [2] and set(
        f.tenants
    ) == {2}


def test_demand_is_told_smoothly_and_followed_within_two_beats() -> None:
    h, now = LeaseHolder(CAP, 1.0, START), START
    for _ in range(10):
        for _ in range(4):
            now += HEARTBEAT_NS // 4
            h.may_spend(now, 1.0)  # ten a second, and nothing waits
        rate = h.next_request(now, 1, 7, 1, 0).demand_per_s
    assert rate == pytest.approx(10.0, rel=0.05)
    fallen = [h.next_request(now + beat * HEARTBEAT_NS, 1, 7, 1, 0).demand_per_s for beat in (1, 2, 3)]
    assert 4.0 < fallen[0] < 6.0 and fallen[1] < 3.0 and fallen[2] < 2.0


def test_only_as_many_begin_a_turn_as_there_are_places_left() -> None:
    turns, now = Rotation(), START
    turns.add_limit(2, False)
    first = [(n, 1) for n in range(4)]
    for who in first:  # they take turns, two by two, and so have an order
        turns.has_turn(now, who, True, False)
    assert turns.has_turn(now + TURN_NS, first[2], True, False) and turns.has_turn(
        now + TURN_NS, first[3], True, False
    )
    now += 2 * TURN_NS
    turns.has_turn(now, (9, 1), True, False)  # never had one
    assert [turns.has_turn(now, who, True, False) for who in first] == [True, False, False, False]
