"""The pure core of planning: tables, holders, elections, planners and forwarders, each by itself."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from trackspread.planning.lease_table import LeaseTable
from trackspread.planning.lease_table import OUTSTANDING_NS
from trackspread.planning.election import Election, ElectionMessage
from trackspread.planning.election import ACCEPTED_NS, OWNED_NS, TERM_NS, Outbox
from trackspread.planning.forwarder import Forwarder
from trackspread.planning.forwarder import FORGET_NS
from trackspread.planning.lease_holder import HELD_NS, LeaseHolder
from trackspread.planning.placement import SLOTS
from trackspread.planning.placement import ranked_planners, slot_of
from trackspread.planning.planner import Planner
from trackspread.decide.time_units import SECOND
from trackspread.planning.limits import Limit, TenantLimit
from trackspread.planning.messages import NO_LEASE, Grant, LeaseRequest
from trackspread.planning.timing import HEARTBEAT_NS, LEASE_NS, SOFT_EXTENSION_NS

LIMIT = Limit(10.0, 20.0)
PLANNED = 0.8
CAP = TenantLimit(LIMIT, PLANNED, False)
START = 1000 * SECOND
SETTLED = START + 60 * SECOND  # a table made at START has a full stock by then


def table(limit: Limit = LIMIT, learns: int = 0) -> LeaseTable:
    return LeaseTable(TenantLimit(limit, PLANNED, False), 1.0, 3, START, START + learns)


def ask(forwarder: int, sequence: int = 1, **changes: object) -> LeaseRequest:
    made = LeaseRequest(forwarder, 7, sequence, 1, 0, NO_LEASE, Limit(0.0, 0.0), 0.0, 0.0, 5.0, 0.0)
    return made._replace(**changes)  # type: ignore[arg-type]


def granted(b: LeaseTable, now: int, word: LeaseRequest) -> Grant:
    grant = b.on_request(now, word)
    assert grant is not None
    return grant


# The table.


def test_a_lone_holder_gets_all_that_is_planned_and_no_more() -> None:
    b = table()
    grant = granted(b, SETTLED, ask(1, demand_per_s=100.0))
    assert (
        grant.limit.rate_per_s == pytest.approx(b.limit.rate_per_s)
        and grant.limit.burst_units <= LIMIT.burst_units * PLANNED
    )
    assert grant.tokens == pytest.approx(grant.limit.burst_units) and b.tokens == pytest.approx(0.0)
    other = granted(b, SETTLED, ask(2, demand_per_s=100.0))
    assert other.limit == Limit(0.0, 0.0) and other.tokens == 0.0


def test_rights_move_once_their_holder_is_known_to_have_less() -> None:
    b = table()
    first = granted(b, SETTLED, ask(1, demand_per_s=100.0))
    granted(b, SETTLED, ask(2, demand_per_s=100.0))
    fewer = granted(
        b,
        SETTLED + HEARTBEAT_NS,
        ask(1, 2, demand_per_s=100.0, base_lease=first.lease, held_limit=first.limit),
    )
    assert fewer.limit.rate_per_s < first.limit.rate_per_s
    assert (
        granted(b, SETTLED + HEARTBEAT_NS, ask(2, 2, demand_per_s=100.0)).limit.rate_per_s == 0.0
    )  # the first may hold all yet
    granted(
        b,
        SETTLED + 2 * HEARTBEAT_NS,
        ask(1, 3, demand_per_s=100.0, base_lease=fewer.lease, held_limit=fewer.limit),
    )
    now = granted(b, SETTLED + 2 * HEARTBEAT_NS, ask(2, 3, demand_per_s=100.0)).limit
    assert now.rate_per_s == pytest.approx(fewer.limit.rate_per_s, rel=0.2)


def test_rights_of_one_that_fell_silent_come_back_after_the_lease_without_their_tokens() -> None:
    b = table()
    granted(b, SETTLED, ask(1, demand_per_s=100.0))
    assert granted(b, SETTLED + OUTSTANDING_NS - 1, ask(2, demand_per_s=100.0)).limit.rate_per_s == 0.0
    late = granted(b, SETTLED + OUTSTANDING_NS + 1, ask(2, 2, demand_per_s=100.0))
    assert (
        late.limit.rate_per_s == pytest.approx(b.limit.rate_per_s) and late.tokens < 0.1 * LIMIT.burst_units
    )


def test_tokens_given_up_come_back_once() -> None:
    b = table()
    first = granted(b, SETTLED, ask(1, demand_per_s=100.0))
    less = granted(
        b, SETTLED + 1, ask(1, 2, demand_per_s=0.0, base_lease=first.lease, held_limit=first.limit)
    )
    word = ask(
        1, 3, demand_per_s=0.0, base_lease=less.lease, held_limit=less.limit, returned_tokens=first.tokens
    )
    granted(b, SETTLED + 2, word)
    assert b.tokens == pytest.approx(first.tokens, abs=0.01)
    assert b.on_request(SETTLED + 3, word) is None and b.tokens == pytest.approx(first.tokens, abs=0.01)


def test_a_learning_book_renews_what_is_held_and_hands_out_nothing_else() -> None:
    b = table(learns=OUTSTANDING_NS)
    held = Limit(3.0, 6.0)
    known = granted(b, START + 1, ask(1, base_lease=(2, 9), held_limit=held, demand_per_s=100.0))
    assert known.limit == held and known.tokens == 0.0 and known.lease > (2, 9)
    assert granted(b, START + 2, ask(2, demand_per_s=100.0)).limit == Limit(0.0, 0.0)
    # What it learnt counts as out when it no longer learns.
    assert (
        granted(b, START + OUTSTANDING_NS, ask(2, 2, demand_per_s=100.0)).limit.rate_per_s
        <= b.limit.rate_per_s - held.rate_per_s + 1e-9
    )


def test_an_ask_that_comes_twice_or_late_is_not_answered_again() -> None:
    b = table()
    granted(b, SETTLED, ask(1, 5))
    assert b.on_request(SETTLED, ask(1, 5)) is None and b.on_request(SETTLED, ask(1, 4)) is None
    assert b.on_request(SETTLED, ask(1, 1, incarnation=8)) is not None  # a new start counts anew


def test_rights_smaller_than_one_request_go_round_whole() -> None:
    """300 forwarders, five a second: nobody starves, and nobody holds a right that serves no request."""
    b, fed, now, level = table(Limit(5.0, 5.0)), set[int](), SETTLED, dict[int, Grant]()
    for beat in range(200):
        now += HEARTBEAT_NS // 10
        for f in range(beat % 10, 300, 10):
            before = level.get(f)
            word = ask(f, beat + 1, demand_per_s=0.02, waiting_units=1.0)
            if before is not None:
                word = word._replace(base_lease=before.lease, held_limit=before.limit)
            grant = level[f] = granted(b, now, word)
            assert grant.limit.burst_units == 0.0 or grant.limit.burst_units >= 1.0
            if grant.limit.burst_units:
                fed.add(f)
        assert (
            b.outstanding_limit().burst_units <= 5.0 * PLANNED + 1e-9
            and b.outstanding_limit().rate_per_s <= b.limit.rate_per_s + 1e-9
        )
    assert len(fed) > 10


@hypothesis_settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3), st.integers(0, 2 * SECOND), st.floats(0.0, 50.0), st.booleans(), st.booleans()
        ),
        max_size=40,
    )
)
def test_whatever_is_asked_no_more_than_the_limit_is_out(
    words: list[tuple[int, int, float, bool, bool]],
) -> None:
    b, now, had = table(), SETTLED, dict[int, Grant]()
    for number, (f, wait, rate, lost, waits) in enumerate(words):
        now += wait
        last = had.get(f)
        base, held = (last.lease, last.limit) if last else (NO_LEASE, Limit(0.0, 0.0))
        grant = granted(
            b,
            now,
            ask(
                f, number + 1, base_lease=base, held_limit=held, demand_per_s=rate, waiting_units=float(waits)
            ),
        )
        if not lost:
            had[f] = grant
        out = b.outstanding_limit()
        assert (
            out.rate_per_s <= b.limit.rate_per_s + 1e-9
            and out.burst_units + b.tokens <= b.limit.burst_units + 1e-9
        )


# The holder.


def take(h: LeaseHolder, now: int, units: float = 1.0) -> bool:
    may = h.may_spend(now, units)
    if may:
        h.spend(units)
    return may


SMALL = Limit(4.0, 8.0)


def answer(
    word: LeaseRequest, number: tuple[int, int] = (1, 1), right: Limit = SMALL, tokens: float = 2.0
) -> Grant:
    return Grant(number[0], 1, 0, word.sequence, word.base_lease, number, right, tokens)


def test_a_lease_counts_from_the_ask_and_takes_its_tokens_along() -> None:
    h = LeaseHolder(CAP, 0.0001, START)  # an even slice too small to serve
    word = h.next_request(START, 1, 7, 1, 0)
    assert h.accept(START + HEARTBEAT_NS // 2, answer(word))
    assert take(h, START + HEARTBEAT_NS // 2) and take(h, START + HEARTBEAT_NS // 2)
    assert not take(h, START + HEARTBEAT_NS // 2)
    assert take(h, START + HEARTBEAT_NS // 2 + SECOND // 4)  # 4 a second
    h.refill(START + HELD_NS)
    assert h.limit == Limit(0.0, 0.0) and not take(h, START + HELD_NS)


def test_late_doubled_reordered_and_stale_grants_do_nothing() -> None:
    h = LeaseHolder(CAP, 0.2 / 4, START)
    first = h.next_request(START, 1, 7, 1, 0)
    second = h.next_request(START + HEARTBEAT_NS, 1, 7, 1, 0)
    assert not h.accept(START + HEARTBEAT_NS, answer(first))  # answers an ask that is closed
    assert h.accept(START + HEARTBEAT_NS, answer(second, (4, 2)))
    assert not h.accept(START + HEARTBEAT_NS, answer(second, (4, 2)))  # twice
    third = h.next_request(START + 2 * HEARTBEAT_NS, 1, 7, 1, 0)
    assert not h.accept(START + 2 * HEARTBEAT_NS, answer(third, (3, 9)))  # an older epoch
    assert not h.accept(START + 2 * HEARTBEAT_NS, answer(third, (4, 1)))  # an older number
    assert not h.accept(
        START + 2 * HEARTBEAT_NS, answer(third, (5, 1))._replace(base_lease=(2, 2))
    )  # in place of another
    assert not h.accept(START + 2 * HEARTBEAT_NS + HELD_NS, answer(third, (5, 1)))  # run out on its way
    assert h.lease == (4, 2)


def test_the_even_slice_serves_without_any_planner_and_starts_empty() -> None:
    h = LeaseHolder(CAP, 0.2 / 2, START)
    assert not take(h, START)
    sent = sum(take(h, START + i * SECOND // 10) for i in range(1, 601))
    assert sent == pytest.approx(60 * LIMIT.rate_per_s * (1.0 - PLANNED) / 2, rel=0.05)


def test_a_smaller_right_gives_tokens_up_and_tells_of_them_once() -> None:
    h = LeaseHolder(CAP, 0.2 / 4, START)
    assert h.accept(START, answer(h.next_request(START, 1, 7, 1, 0), tokens=6.0))
    assert h.accept(START, answer(h.next_request(START, 1, 7, 1, 0), (1, 2), Limit(1.0, 2.0), 0.0))
    word = h.next_request(START, 1, 7, 1, 0)
    assert word.returned_tokens == pytest.approx(4.0) and word.tokens == pytest.approx(2.0)
    assert h.next_request(START, 1, 7, 1, 0).returned_tokens == 0.0


# The election.


class Room:
    """Elections that hear one another at once, unless they are apart."""

    def __init__(self, planners: int = 3) -> None:
        self.all = [Election(n, planners, START, random.Random(n)) for n in range(planners)]
        self.deaf: set[int] = set()

    def say(self, now: int, source: int, out: Outbox) -> None:
        for to, word in out:
            for target in range(len(self.all)) if to is None else [to]:
                if target == source or not {target, source} & self.deaf:
                    self.say(now, target, self.all[target].on_message(now, source, word))

    def run(self, now: int, span: int) -> int:
        end = now + span
        while now < end:
            now += TERM_NS // 20
            for number, each in enumerate(self.all):
                self.say(now, number, each.tick(now))
            assert sum(each.owns(now) for each in self.all) <= 1
        return now

    def owner(self, now: int) -> int | None:
        return next((n for n, each in enumerate(self.all) if each.owns(now)), None)


def test_one_owns_and_renews_and_another_follows_with_a_newer_epoch() -> None:
    room = Room()
    now = room.run(START, 5 * TERM_NS)
    first = room.owner(now)
    assert first is not None
    epoch = room.all[first].epoch
    now = room.run(now, 10 * TERM_NS)
    assert room.owner(now) == first and room.all[first].epoch == epoch  # renewed without a break
    room.deaf = {first}
    now = room.run(now, 4 * TERM_NS)
    second = room.owner(now)
    assert second not in (None, first) and room.all[second or 0].epoch > epoch


def test_without_a_majority_nobody_owns() -> None:
    room = Room(5)
    room.deaf = {0, 1, 2}
    assert room.owner(room.run(START, 8 * TERM_NS)) is None


def test_a_planner_that_starts_says_nothing_for_the_longest_term() -> None:
    fresh = Election(0, 3, START, random.Random(1))
    assert fresh.on_message(START + ACCEPTED_NS - 1, 1, ElectionMessage("prepare", (9, 1))) == []
    assert fresh.on_message(START + ACCEPTED_NS, 1, ElectionMessage("prepare", (9, 1))) == [
        (1, ElectionMessage("promise", (9, 1), -1))
    ]


def test_an_acceptor_keeps_to_what_it_promised_and_tells_of_the_owner() -> None:
    e, now = Election(0, 3, START, random.Random(1)), START + ACCEPTED_NS
    assert e.on_message(now, 1, ElectionMessage("propose", (5, 1))) == [
        (1, ElectionMessage("accepted", (5, 1)))
    ]
    assert e.on_message(now, 2, ElectionMessage("prepare", (4, 2))) == [(2, ElectionMessage("nack", (5, 1)))]
    assert e.on_message(now, 2, ElectionMessage("prepare", (6, 2))) == [
        (2, ElectionMessage("promise", (6, 2), 1))
    ]
    assert e.on_message(now, 1, ElectionMessage("propose", (5, 1))) == [(1, ElectionMessage("nack", (6, 2)))]
    assert e.on_message(now + ACCEPTED_NS, 2, ElectionMessage("prepare", (7, 2))) == [
        (2, ElectionMessage("promise", (7, 2), -1))
    ]


def test_a_lease_won_too_late_or_outdone_is_none() -> None:
    e, now = Election(0, 3, START, random.Random(1)), START + 9 * TERM_NS
    ((_, prepare),) = e.tick(now)
    assert e.on_message(now, 1, ElectionMessage("promise", prepare.ballot)) == []
    ((_, propose),) = e.on_message(now, 2, ElectionMessage("promise", prepare.ballot))
    late = ElectionMessage("accepted", propose.ballot)
    e.on_message(now + OWNED_NS, 1, late)
    e.on_message(now + OWNED_NS, 2, late)
    assert not e.owns(now + OWNED_NS)
    e.on_message(now + 1, 1, late)
    e.on_message(now + 1, 2, late)
    assert e.owns(now + 1)
    e.on_newer_epoch(e.epoch + 1)
    assert not e.owns(now + 1)


# Planner, placement, forwarder.


def test_members_spread_over_slots_and_slots_over_planners() -> None:
    slots = [slot_of(member) for member in range(4000)]
    assert set(slots) == set(range(SLOTS)) and max(map(slots.count, range(SLOTS))) < 2 * 4000 / SLOTS
    assert sorted(ranked_planners(3, 5)) == list(range(5))
    assert len({ranked_planners(n, 5)[0] for n in range(SLOTS)}) >= 4
    for n in range(SLOTS):  # one planner more takes slots over, and none moves between the others
        assert [p for p in ranked_planners(n, 6) if p != 5] == ranked_planners(n, 5)


def alone() -> tuple[Planner, int]:
    """A planner that is its own majority."""
    planner, now = Planner(0, 1, lambda member: (CAP,), 1.0, START, 1), START
    while not all(each.owns(now) for each in planner.elections):
        now += TERM_NS // 10
        work = [(n, word) for n, out in planner.tick(now) for _, word in out]
        while work:
            n, word = work.pop()
            work += [(n, more) for _, more in planner.on_message(now, 0, n, word)]
    return planner, now


def test_a_planner_answers_for_what_it_owns_and_learns_first() -> None:
    planner, now = alone()
    assert Planner(0, 3, lambda member: (CAP,), 1.0, START, 1).on_request(START, ask(1)) is None
    grant = planner.on_request(now, ask(1, base_lease=NO_LEASE, demand_per_s=50.0))
    assert grant is not None and grant.limit == Limit(0.0, 0.0)  # it learns
    member = planner.tables[1, 0]
    assert member.learns_until_ns == now + OUTSTANDING_NS


def test_a_planner_that_hears_of_a_newer_epoch_does_not_answer() -> None:
    planner, now = alone()
    epoch = planner.elections[slot_of(1)].epoch
    assert planner.on_request(now, ask(1, base_lease=(epoch + 1, 1))) is None
    assert not planner.elections[slot_of(1)].owns(now)


def test_a_forwarder_goes_on_to_the_next_planner_and_stays_with_whoever_answers() -> None:
    f = Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05,))
    assert not f.admit(START, 1, 1.0)
    order = ranked_planners(slot_of(1), 3)
    ((to, word),) = f.heartbeat(START)
    assert to == order[0]
    ((then, again),) = f.on_decline(START, order[0], 1)
    assert then == order[1] and again.sequence > word.sequence
    assert f.on_grant(START, answer(again)) == [] and f.tenants[1].holders[0].limit == SMALL
    assert f.on_decline(START, order[0], 1) == []  # the slow no of the first changes nothing
    assert [to for to, _ in f.heartbeat(START + HEARTBEAT_NS)] == [order[1]]
    assert [to for to, _ in f.heartbeat(START + 2 * HEARTBEAT_NS)] == [order[2]]  # it did not answer
    assert [to for to, _ in f.on_decline(START + 2 * HEARTBEAT_NS, order[2], 1)] == [order[0]]
    assert [to for to, _ in f.on_decline(START + 2 * HEARTBEAT_NS, order[0], 1)] == [order[1]]
    assert f.on_decline(START + 2 * HEARTBEAT_NS, order[1], 1) == []  # each once a beat


def test_a_request_needs_all_caps_and_is_taken_from_each_or_from_none() -> None:
    wide = TenantLimit(Limit(1000.0, 1000.0), 0.0, False)  # all of it in even slices
    f = Forwarder(0, 7, 3, lambda member: (wide, CAP), lambda member: (1.0, 0.2))
    assert not f.admit(START, 1, 1.0)
    now = START + SECOND // 2  # the narrow one's slice has one unit by now, the wide one's hundreds
    before = f.tenants[1].holders[0]
    assert f.admit(now, 1, 0.5)
    level = before.static_tokens
    assert not f.admit(now, 1, 0.9) and before.static_tokens == level
    assert [word.limit_index for _, word in f.heartbeat(now)] == [0, 1]


def test_a_member_that_comes_again_is_not_taken_for_its_former_words() -> None:
    b, f = table(), Forwarder(0, 7, 1, lambda member: (CAP,), lambda member: (0.05,))
    for at in range(SETTLED, SETTLED + 5 * HEARTBEAT_NS, HEARTBEAT_NS):
        f.admit(at, 1, 1.0)
        assert all(b.on_request(at, word) is not None for _, word in f.heartbeat(at))
    again = SETTLED + 5 * HEARTBEAT_NS + FORGET_NS
    assert f.heartbeat(again) == [] and not f.tenants
    f.admit(again, 1, 1.0)
    assert all(b.on_request(again, word) is not None for _, word in f.heartbeat(again))


def test_a_soft_right_is_carried_on_for_a_while_and_a_hard_one_is_not() -> None:
    soft, hard = LeaseHolder(CAP._replace(is_soft=True), 0.0001, START), LeaseHolder(CAP, 0.0001, START)
    for h in (soft, hard):
        assert h.accept(START, answer(h.next_request(START, 1, 7, 1, 0)))
    later = START + HELD_NS + SECOND
    assert take(soft, later) and not take(hard, later)
    assert soft.next_request(later, 1, 7, 1, 0).held_limit == SMALL and hard.next_request(
        later, 1, 7, 1, 0
    ).held_limit == Limit(0.0, 0.0)
    assert take(soft, START + HELD_NS + int(59.9 * SECOND))  # a minute, as the operators' page has it
    assert not take(soft, START + HELD_NS + SOFT_EXTENSION_NS)


def test_a_forwarder_forgets_members_that_ask_no_more() -> None:
    f = Forwarder(0, 7, 3, lambda member: (CAP,), lambda member: (0.05,))
    f.admit(START, 1, 1.0)
    assert len(f.heartbeat(START + FORGET_NS)) == 1 and f.tenants
    assert f.heartbeat(START + FORGET_NS + 1) == [] and not f.tenants
    assert FORGET_NS > LEASE_NS


# Turns, and parts that can serve.


# Margins and memories, each by itself.
