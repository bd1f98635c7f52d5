"""Planning: turns, parts that can serve, and each margin and memory by itself."""

from __future__ import annotations

import random

import pytest

from trackspread.planning.lease_table import OUT
from trackspread.planning.election import ACCEPTED, OWNED, TERM, TRY, Election, ElectionMessage
from trackspread.planning.forwarder import FORGET, Forwarder
from trackspread.planning.holder import KEPT, Holder
from trackspread.planning.placement import even_part
from trackspread.planning.terms import (
    BEAT,
    DRIFT,
    LEASE,
    SECOND,
    Cap,
    Grant,
    Limit,
    places,
)
from trackspread.planning.turns import TURN, Turns
from .test_planning import CAP, SETTLED, START, answer, ask, table, granted, take


def test_a_part_that_holds_no_request_is_widened_or_all_is_planned() -> None:
    small = Cap(Limit(10.0, 3.0), 0.2, False)
    assert small.fitted(1.0, 2).planned == pytest.approx(1 / 3)  # one request planned, one in each slice
    assert Cap(Limit(10.0, 1.5), 0.2, False).fitted(1.0, 2).planned == 1.0  # what is left would hold none
    assert Cap(Limit(10.0, 40.0), 0.2, True).fitted(1.0, 4) == Cap(Limit(10.0, 40.0), 0.2, True)
    assert Cap(Limit(10.0, 2.0), 0.0, False).fitted(1.0, 2).planned == 0.0
    with pytest.raises(ValueError, match=r"0\.9 units holds no request of 1"):
        Cap(Limit(10.0, 0.9), 0.2, False).fitted(1.0, 2)
    assert places(3.0, 1.0, 5) == 3 and places(0.6, 0.2, 9) == 3 and places(9.0, 1.0, 5) == 5


def test_even_parts_go_to_as_many_as_they_serve_and_sum_to_what_is_not_planned() -> None:
    ways = [3, 4, 5, 6]
    for planned, served in ((0.2, 4), (0.7, 2), (0.9, 0)):
        cap = Cap(Limit(10.0, 8.0), planned, False)
        parts = [even_part(7, me, ways, cap, 1.2) for me in ways]
        assert sum(part > 0.0 for part in parts) == served
        assert sum(parts) == pytest.approx((1.0 - planned) if served else 0.0)
        assert all(part * 8.0 >= 1.2 for part in parts if part)
    assert even_part(7, 9, ways, Cap(Limit(10.0, 8.0), 0.2, False), 1.0) == 0.0
    chosen = {
        tuple(even_part(m, me, ways, Cap(Limit(10.0, 8.0), 0.7, False), 1.2) > 0 for me in ways)
        for m in range(40)
    }
    assert len(chosen) > 3  # not the same ones for every member


def test_turns_run_as_many_at_once_as_there_are_places_and_end_by_time_or_disuse() -> None:
    turns, a, b, c = Turns(), (1, 1), (2, 1), (3, 1)
    turns.among(1, True)
    turns.among(3, False)
    assert turns.places == 1
    assert turns.wants(START, a, True, False) and not turns.wants(START, b, True, False)
    assert turns.wants(START + 1, a, False, True)  # it uses all it gets, though nothing waits just now
    assert not turns.wants(START + 2, a, False, False)  # over: and it is b's
    assert turns.wants(START + 3, b, True, False) and not turns.wants(START + 4, a, True, False)
    assert turns.wants(START + 2 + TURN, b, True, False) and not turns.wants(START + 2 + TURN, a, True, False)
    assert not turns.wants(START + 3 + TURN, b, True, False)  # its time is over, and a waited longer
    assert turns.wants(START + 3 + TURN, a, True, False)
    assert not turns.wants(START + 4 + TURN, c, False, True)  # nothing waits there


def test_who_waited_longest_is_next_and_the_silent_are_not_waited_for() -> None:
    turns, now = Turns(), START
    turns.among(1, True)
    order = [(n, 1) for n in range(4)]
    for who in order:  # each has had a turn, one after the other
        assert turns.wants(now, who, True, False)
        now += TURN
    assert turns.wants(now, order[0], True, False)
    over = now + TURN
    assert not any([turns.wants(over - 1, who, True, False) for who in order[1:]])  # all of them wait
    assert not turns.wants(over, order[3], True, False) and not turns.wants(over, order[2], True, False)
    assert turns.wants(over, order[1], True, False)
    turns = Turns()
    turns.among(2, False)
    assert turns.places == 2
    assert turns.wants(now, (1, 1), True, False) and turns.wants(now, (2, 1), True, False)
    assert not turns.wants(now, (3, 1), True, False)
    later = now + TURN  # both are over; (3, 1) has not asked for a lease and more
    assert turns.wants(later + 1, (1, 1), True, False)


def test_a_cut_is_acknowledged_at_once_and_once_a_beat() -> None:
    f = Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05,))
    f.take(START, 1, 1.0)
    ((to, first),) = f.beat(START)
    assert f.granted(START, answer(first)) == []  # more than before: nothing to free
    ((_, second),) = f.beat(START + BEAT)
    ((again, word),) = f.granted(START + BEAT, answer(second, (1, 2), Limit(1.0, 2.0), 0.0))
    assert again == to and word.base == (1, 2) and word.held == Limit(1.0, 2.0)
    assert (word.rate, word.least) == (second.rate, second.least) and word.sequence > second.sequence
    assert f.granted(START + BEAT, answer(word, (1, 3), Limit(0.5, 1.0), 0.0)) == []
    ((_, third),) = f.beat(START + 2 * BEAT)
    assert len(f.granted(START + 2 * BEAT, answer(third, (1, 4), Limit(0.5, 0.5), 0.0))) == 1


def test_margins_cover_the_stated_drift_and_hardly_more() -> None:
    """A lease ends for its holder, on the slowest clock, before it ends for whoever granted it, on the
    fastest."""
    for held, counted, span in ((KEPT, OUT, LEASE), (OWNED, ACCEPTED, TERM)):
        assert held / (1.0 - DRIFT) * (1.0 + DRIFT) <= counted <= 1.05 * span
        assert 0.95 * span <= held


def test_rights_in_turn_go_to_as_many_as_the_burst_holds_and_share_the_whole_rate() -> None:
    b, words, now = table(Limit(10.0, 2.5)), dict[int, Grant](), SETTLED
    had, used = set[int](), 0.0
    for beat in range(1, 30):
        now += BEAT
        for f in range(5):
            before = words.get(f)
            word = ask(f, beat, rate=20.0, least=1.0)
            if before is not None:
                word = word._replace(base=before.number, held=before.right)
            words[f] = granted(b, now, word)
            assert words[f].epoch == b.epoch
        holding = {f for f, grant in words.items() if grant.right.burst}
        had |= holding
        assert len(holding) <= 2
        if beat > 8:  # at first whoever asks alone has it all
            assert all(words[f].right.burst == 1.0 for f in holding)
            assert all(words[f].right.rate <= b.limit.rate / 2 + 1e-9 for f in holding)
        used += sum(words[f].right.rate for f in holding)
    assert used >= 0.4 * 29 * b.limit.rate  # nobody acknowledges here: each change costs two beats of five
    assert had == set(range(5))


def test_a_soft_right_carried_on_from_an_older_epoch_counts_as_out() -> None:
    b = table()
    kept = ask(1, base=(2, 1), held=Limit(6.0, 12.0), rate=0.0)  # it wants no more
    granted(b, SETTLED, kept)  # long after learning: it was cut off all the while
    assert granted(b, SETTLED, ask(2, rate=100.0)).right.rate <= b.limit.rate - 6.0 + 1e-9
    free = granted(b, SETTLED + OUT + 1, ask(2, 2, rate=100.0)).right.rate
    assert free == pytest.approx(b.limit.rate)


def test_who_asks_seldom_keeps_its_demand_between_two_requests_and_who_asks_no_more_loses_it() -> None:
    h, now, told = Holder(CAP, 0.05, START), START, list[float]()
    for beat in range(40):
        now += BEAT
        if beat % 10 == 0:  # one every 4 s
            take(h, now)
        told.append(h.ask(now, 1, 7, 1, 0).rate)
    assert min(told[10:]) > 0.02  # over what counts as idle
    for _ in range(200):
        now += BEAT
        last = h.ask(now, 1, 7, 1, 0).rate
    assert last < 0.001


def test_tries_for_a_slot_are_spread_and_go_beyond_what_was_heard() -> None:
    waits = [Election(0, 3, START, random.Random(n))._next - START - ACCEPTED for n in range(200)]
    assert min(waits) < 0.4 * TRY and max(waits) > 1.6 * TRY
    assert all(0.2 * TRY <= wait <= 1.8 * TRY for wait in waits)
    e, now = Election(0, 3, START, random.Random(1)), START + 9 * TERM
    e.heard(now, 1, ElectionMessage("prepare", (9, 1)))
    ((_, word),) = e.tick(now)
    assert word.ballot == (10, 0)
    assert e.tick(now + TRY) == []  # others get their chance first
    e.newer(20)
    ((_, word),) = e.tick(now + 3 * TRY)
    assert word.ballot == (21, 0)
    e.heard(now, 1, ElectionMessage("nack", (40, 1)))
    ((_, word),) = e.tick(now + 6 * TRY)
    assert word.ballot == (41, 0)


def test_grants_for_nobody_known_and_a_late_no_do_nothing() -> None:
    f = Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05,))
    f.take(START, 1, 1.0)
    ((to, word),) = f.beat(START)
    assert f.granted(START, answer(word)._replace(member=2)) == []
    assert f.granted(START, answer(word)._replace(which=1)) == []
    assert f.granted(START, answer(word)._replace(which=-1)) == []
    assert f.members[1].holders[0].right == Limit(0.0, 0.0)
    f.granted(START, answer(word))
    assert f.declined(START, to, 1) == []  # it answered before it said no
    assert f.declined(START, to, 9) == []
    ((again, _),) = f.beat(START + BEAT)
    assert again == to
    with pytest.raises(ValueError):  # parts that do not fit the caps
        Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05, 0.05)).take(START, 1, 1.0)


def test_one_forgotten_member_takes_no_other_along() -> None:
    f = Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05,))
    f.take(START, 1, 1.0)
    f.take(START + SECOND, 2, 1.0)
    assert [word.member for _, word in f.beat(START + FORGET + SECOND // 2)] == [2] and set(f.members) == {2}


def test_demand_is_told_smoothly_and_followed_within_two_beats() -> None:
    h, now = Holder(CAP, 1.0, START), START
    for _ in range(10):
        for _ in range(4):
            now += BEAT // 4
            h.may(now, 1.0)  # ten a second, and nothing waits
        rate = h.ask(now, 1, 7, 1, 0).rate
    assert rate == pytest.approx(10.0, rel=0.05)
    fallen = [h.ask(now + beat * BEAT, 1, 7, 1, 0).rate for beat in (1, 2, 3)]
    assert 4.0 < fallen[0] < 6.0 and fallen[1] < 3.0 and fallen[2] < 2.0


def test_only_as_many_begin_a_turn_as_there_are_places_left() -> None:
    turns, now = Turns(), START
    turns.among(2, False)
    first = [(n, 1) for n in range(4)]
    for who in first:  # they take turns, two by two, and so have an order
        turns.wants(now, who, True, False)
    assert turns.wants(now + TURN, first[2], True, False) and turns.wants(now + TURN, first[3], True, False)
    now += 2 * TURN
    turns.wants(now, (9, 1), True, False)  # never had one
    assert [turns.wants(now, who, True, False) for who in first] == [True, False, False, False]
