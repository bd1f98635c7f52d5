"""Tests each core of planning by itself: lease tables, lease holders, elections, planners and forwarders."""

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
TENANT_LIMIT = TenantLimit(LIMIT, PLANNED, False)
START = 1000 * SECOND
SETTLED = START + 60 * SECOND  # when a table created at START has all its tokens


def new_table(limit: Limit = LIMIT, learning_ns: int = 0) -> LeaseTable:
    return LeaseTable(TenantLimit(limit, PLANNED, False), 1.0, 3, START, START + learning_ns)


def lease_request(forwarder: int, sequence: int = 1, **changes: object) -> LeaseRequest:
    default = LeaseRequest(forwarder, 7, sequence, 1, 0, NO_LEASE, Limit(0.0, 0.0), 0.0, 0.0, 5.0, 0.0)
    return default._replace(**changes)  # type: ignore[arg-type]


def grant_for(table: LeaseTable, now: int, request: LeaseRequest) -> Grant:
    grant = table.on_request(now, request)
    assert grant is not None
    return grant


def test_single_holder_gets_all_of_the_planned_limit() -> None:
    table = new_table()
    grant = grant_for(table, SETTLED, lease_request(1, demand_per_s=100.0))
    assert (
        grant.limit.rate_per_s == pytest.approx(table.limit.rate_per_s)
        and grant.limit.burst_units <= LIMIT.burst_units * PLANNED
    )
    assert grant.tokens == pytest.approx(grant.limit.burst_units) and table.tokens == pytest.approx(0.0)
    other = grant_for(table, SETTLED, lease_request(2, demand_per_s=100.0))
    assert other.limit == Limit(0.0, 0.0) and other.tokens == 0.0


def test_share_moves_once_its_holder_acknowledges_less() -> None:
    """A share is granted to another holder only after its holder has acknowledged a smaller lease."""
    table = new_table()
    first = grant_for(table, SETTLED, lease_request(1, demand_per_s=100.0))
    grant_for(table, SETTLED, lease_request(2, demand_per_s=100.0))
    reduced = grant_for(
        table,
        SETTLED + HEARTBEAT_NS,
        lease_request(1, 2, demand_per_s=100.0, base_lease=first.lease, held_limit=first.limit),
    )
    assert reduced.limit.rate_per_s < first.limit.rate_per_s
    assert (
        grant_for(table, SETTLED + HEARTBEAT_NS, lease_request(2, 2, demand_per_s=100.0)).limit.rate_per_s
        == 0.0
    )  # The first may still use all of its lease.
    grant_for(
        table,
        SETTLED + 2 * HEARTBEAT_NS,
        lease_request(1, 3, demand_per_s=100.0, base_lease=reduced.lease, held_limit=reduced.limit),
    )
    moved = grant_for(table, SETTLED + 2 * HEARTBEAT_NS, lease_request(2, 3, demand_per_s=100.0)).limit
    assert moved.rate_per_s == pytest.approx(reduced.limit.rate_per_s, rel=0.2)


def test_expired_share_is_free_again_without_its_tokens() -> None:
    """A holder that sends no requests keeps its share until its lease has expired; its tokens are lost."""
    table = new_table()
    grant_for(table, SETTLED, lease_request(1, demand_per_s=100.0))
    assert (
        grant_for(table, SETTLED + OUTSTANDING_NS - 1, lease_request(2, demand_per_s=100.0)).limit.rate_per_s
        == 0.0
    )
    late = grant_for(table, SETTLED + OUTSTANDING_NS + 1, lease_request(2, 2, demand_per_s=100.0))
    assert (
        late.limit.rate_per_s == pytest.approx(table.limit.rate_per_s)
        and late.tokens < 0.1 * LIMIT.burst_units
    )


def test_returned_tokens_are_added_once() -> None:
    """A duplicate of a request must not return its tokens a second time."""
    table = new_table()
    first = grant_for(table, SETTLED, lease_request(1, demand_per_s=100.0))
    reduced = grant_for(
        table,
        SETTLED + 1,
        lease_request(1, 2, demand_per_s=0.0, base_lease=first.lease, held_limit=first.limit),
    )
    request = lease_request(
        1,
        3,
        demand_per_s=0.0,
        base_lease=reduced.lease,
        held_limit=reduced.limit,
        returned_tokens=first.tokens,
    )
    grant_for(table, SETTLED + 2, request)
    assert table.tokens == pytest.approx(first.tokens, abs=0.01)
    assert table.on_request(SETTLED + 3, request) is None and table.tokens == pytest.approx(
        first.tokens, abs=0.01
    )


def test_learning_table_renews_held_leases_and_grants_nothing_else() -> None:
    """Leases of the planner before may still be in use, so a new table must not grant them to others."""
    table = new_table(learning_ns=OUTSTANDING_NS)
    held = Limit(3.0, 6.0)
    known = grant_for(
        table, START + 1, lease_request(1, base_lease=(2, 9), held_limit=held, demand_per_s=100.0)
    )
    assert known.limit == held and known.tokens == 0.0 and known.lease > (2, 9)
    assert grant_for(table, START + 2, lease_request(2, demand_per_s=100.0)).limit == Limit(0.0, 0.0)
    # The lease that it learnt counts as outstanding after the learning phase.
    assert (
        grant_for(table, START + OUTSTANDING_NS, lease_request(2, 2, demand_per_s=100.0)).limit.rate_per_s
        <= table.limit.rate_per_s - held.rate_per_s + 1e-9
    )


def test_duplicate_or_late_request_gets_no_grant() -> None:
    table = new_table()
    grant_for(table, SETTLED, lease_request(1, 5))
    assert (
        table.on_request(SETTLED, lease_request(1, 5)) is None
        and table.on_request(SETTLED, lease_request(1, 4)) is None
    )
    assert (
        table.on_request(SETTLED, lease_request(1, 1, incarnation=8)) is not None
    )  # A new incarnation counts from the beginning.


def test_shares_below_one_request_are_granted_in_turns() -> None:
    """300 forwarders share 5 units a second: many get a lease, and none gets one below a complete request."""
    table, served, now, grants = new_table(Limit(5.0, 5.0)), set[int](), SETTLED, dict[int, Grant]()
    for heartbeat in range(200):
        now += HEARTBEAT_NS // 10
        for forwarder in range(heartbeat % 10, 300, 10):
            before = grants.get(forwarder)
            request = lease_request(forwarder, heartbeat + 1, demand_per_s=0.02, waiting_units=1.0)
            if before is not None:
                request = request._replace(base_lease=before.lease, held_limit=before.limit)
            grant = grants[forwarder] = grant_for(table, now, request)
            assert grant.limit.burst_units == 0.0 or grant.limit.burst_units >= 1.0
            if grant.limit.burst_units:
                served.add(forwarder)
        assert (
            table.outstanding_limit().burst_units <= 5.0 * PLANNED + 1e-9
            and table.outstanding_limit().rate_per_s <= table.limit.rate_per_s + 1e-9
        )
    assert len(served) > 10


@hypothesis_settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3), st.integers(0, 2 * SECOND), st.floats(0.0, 50.0), st.booleans(), st.booleans()
        ),
        max_size=40,
    )
)
def test_outstanding_leases_never_exceed_the_limit(
    requests: list[tuple[int, int, float, bool, bool]],
) -> None:
    """The sum holds for any demand, for lost grants and for forwarders with waiting requests."""
    table, now, last_grants = new_table(), SETTLED, dict[int, Grant]()
    for number, (forwarder, delay_ns, rate, is_lost, is_waiting) in enumerate(requests):
        now += delay_ns
        last = last_grants.get(forwarder)
        base, held = (last.lease, last.limit) if last else (NO_LEASE, Limit(0.0, 0.0))
        grant = grant_for(
            table,
            now,
            lease_request(
                forwarder,
                number + 1,
                base_lease=base,
                held_limit=held,
                demand_per_s=rate,
                waiting_units=float(is_waiting),
            ),
        )
        if not is_lost:
            last_grants[forwarder] = grant
        outstanding = table.outstanding_limit()
        assert (
            outstanding.rate_per_s <= table.limit.rate_per_s + 1e-9
            and outstanding.burst_units + table.tokens <= table.limit.burst_units + 1e-9
        )


def spend(holder: LeaseHolder, now: int, units: float = 1.0) -> bool:
    is_admitted = holder.may_spend(now, units)
    if is_admitted:
        holder.spend(units)
    return is_admitted


SMALL = Limit(4.0, 8.0)


def make_grant(
    request: LeaseRequest, number: tuple[int, int] = (1, 1), limit: Limit = SMALL, tokens: float = 2.0
) -> Grant:
    return Grant(number[0], 1, 0, request.sequence, request.base_lease, number, limit, tokens)


def test_lease_and_tokens_expire_counted_from_the_request() -> None:
    holder = LeaseHolder(TENANT_LIMIT, 0.0001, START)  # The static share is too small for a request.
    request = holder.next_request(START, 1, 7, 1, 0)
    assert holder.accept(START + HEARTBEAT_NS // 2, make_grant(request))
    assert spend(holder, START + HEARTBEAT_NS // 2) and spend(holder, START + HEARTBEAT_NS // 2)
    assert not spend(holder, START + HEARTBEAT_NS // 2)
    assert spend(holder, START + HEARTBEAT_NS // 2 + SECOND // 4)  # The lease refills 4 units a second.
    holder.refill(START + HELD_NS)
    assert holder.limit == Limit(0.0, 0.0) and not spend(holder, START + HELD_NS)


def test_late_duplicate_reordered_and_stale_grants_have_no_effect() -> None:
    holder = LeaseHolder(TENANT_LIMIT, 0.2 / 4, START)
    first = holder.next_request(START, 1, 7, 1, 0)
    second = holder.next_request(START + HEARTBEAT_NS, 1, 7, 1, 0)
    assert not holder.accept(
        START + HEARTBEAT_NS, make_grant(first)
    )  # It answers a request that was replaced.
    assert holder.accept(START + HEARTBEAT_NS, make_grant(second, (4, 2)))
    assert not holder.accept(START + HEARTBEAT_NS, make_grant(second, (4, 2)))  # It is a duplicate.
    third = holder.next_request(START + 2 * HEARTBEAT_NS, 1, 7, 1, 0)
    assert not holder.accept(START + 2 * HEARTBEAT_NS, make_grant(third, (3, 9)))  # The epoch is older.
    assert not holder.accept(START + 2 * HEARTBEAT_NS, make_grant(third, (4, 1)))  # The lease is older.
    assert not holder.accept(
        START + 2 * HEARTBEAT_NS, make_grant(third, (5, 1))._replace(base_lease=(2, 2))
    )  # It replaces another lease.
    assert not holder.accept(
        START + 2 * HEARTBEAT_NS + HELD_NS, make_grant(third, (5, 1))
    )  # It expired before it arrived.
    assert holder.lease == (4, 2)


def test_static_share_starts_empty_and_needs_no_planner() -> None:
    holder = LeaseHolder(TENANT_LIMIT, 0.2 / 2, START)
    assert not spend(holder, START)
    sent = sum(spend(holder, START + i * SECOND // 10) for i in range(1, 601))
    assert sent == pytest.approx(60 * LIMIT.rate_per_s * (1.0 - PLANNED) / 2, rel=0.05)


def test_smaller_lease_returns_surplus_tokens_once() -> None:
    holder = LeaseHolder(TENANT_LIMIT, 0.2 / 4, START)
    assert holder.accept(START, make_grant(holder.next_request(START, 1, 7, 1, 0), tokens=6.0))
    assert holder.accept(
        START, make_grant(holder.next_request(START, 1, 7, 1, 0), (1, 2), Limit(1.0, 2.0), 0.0)
    )
    request = holder.next_request(START, 1, 7, 1, 0)
    assert request.returned_tokens == pytest.approx(4.0) and request.tokens == pytest.approx(2.0)
    assert holder.next_request(START, 1, 7, 1, 0).returned_tokens == 0.0


class ElectionCluster:
    """Delivers the messages of elections at once, except to and from `isolated` planners."""

    def __init__(self, planners: int = 3) -> None:
        self.all = [Election(n, planners, START, random.Random(n)) for n in range(planners)]
        self.isolated: set[int] = set()

    def deliver(self, now: int, source: int, out: Outbox) -> None:
        for recipient, message in out:
            for target in range(len(self.all)) if recipient is None else [recipient]:
                if target == source or not {target, source} & self.isolated:
                    self.deliver(now, target, self.all[target].on_message(now, source, message))

    def run(self, now: int, span: int) -> int:
        end = now + span
        while now < end:
            now += TERM_NS // 20
            for number, each in enumerate(self.all):
                self.deliver(now, number, each.tick(now))
            assert sum(each.owns(now) for each in self.all) <= 1
        return now

    def owner(self, now: int) -> int | None:
        return next((n for n, each in enumerate(self.all) if each.owns(now)), None)


def test_owner_renews_until_another_wins_a_newer_epoch() -> None:
    cluster = ElectionCluster()
    now = cluster.run(START, 5 * TERM_NS)
    first = cluster.owner(now)
    assert first is not None
    epoch = cluster.all[first].epoch
    now = cluster.run(now, 10 * TERM_NS)
    assert (
        cluster.owner(now) == first and cluster.all[first].epoch == epoch
    )  # It was renewed without a break.
    cluster.isolated = {first}
    now = cluster.run(now, 4 * TERM_NS)
    second = cluster.owner(now)
    assert second not in (None, first) and cluster.all[second or 0].epoch > epoch


def test_no_planner_owns_a_slot_without_a_majority() -> None:
    cluster = ElectionCluster(5)
    cluster.isolated = {0, 1, 2}
    assert cluster.owner(cluster.run(START, 8 * TERM_NS)) is None


def test_started_planner_does_not_answer_for_the_longest_lease() -> None:
    """It may have lost a promise that it gave before it restarted."""
    started = Election(0, 3, START, random.Random(1))
    assert started.on_message(START + ACCEPTED_NS - 1, 1, ElectionMessage("prepare", (9, 1))) == []
    assert started.on_message(START + ACCEPTED_NS, 1, ElectionMessage("prepare", (9, 1))) == [
        (1, ElectionMessage("promise", (9, 1), -1))
    ]


def test_acceptor_keeps_promises_and_reports_the_owner() -> None:
    election, now = Election(0, 3, START, random.Random(1)), START + ACCEPTED_NS
    assert election.on_message(now, 1, ElectionMessage("propose", (5, 1))) == [
        (1, ElectionMessage("accepted", (5, 1)))
    ]
    assert election.on_message(now, 2, ElectionMessage("prepare", (4, 2))) == [
        (2, ElectionMessage("nack", (5, 1)))
    ]
    assert election.on_message(now, 2, ElectionMessage("prepare", (6, 2))) == [
        (2, ElectionMessage("promise", (6, 2), 1))
    ]
    assert election.on_message(now, 1, ElectionMessage("propose", (5, 1))) == [
        (1, ElectionMessage("nack", (6, 2)))
    ]
    assert election.on_message(now + ACCEPTED_NS, 2, ElectionMessage("prepare", (7, 2))) == [
        (2, ElectionMessage("promise", (7, 2), -1))
    ]


def test_late_or_superseded_lease_gives_no_ownership() -> None:
    election, now = Election(0, 3, START, random.Random(1)), START + 9 * TERM_NS
    ((_, prepare),) = election.tick(now)
    assert election.on_message(now, 1, ElectionMessage("promise", prepare.ballot)) == []
    ((_, propose),) = election.on_message(now, 2, ElectionMessage("promise", prepare.ballot))
    late = ElectionMessage("accepted", propose.ballot)
    election.on_message(now + OWNED_NS, 1, late)
    election.on_message(now + OWNED_NS, 2, late)
    assert not election.owns(now + OWNED_NS)
    election.on_message(now + 1, 1, late)
    election.on_message(now + 1, 2, late)
    assert election.owns(now + 1)
    election.on_newer_epoch(election.epoch + 1)
    assert not election.owns(now + 1)


def test_tenants_spread_over_slots_and_slots_over_planners() -> None:
    slots = [slot_of(tenant) for tenant in range(4000)]
    assert set(slots) == set(range(SLOTS)) and max(map(slots.count, range(SLOTS))) < 2 * 4000 / SLOTS
    assert sorted(ranked_planners(3, 5)) == list(range(5))
    assert len({ranked_planners(n, 5)[0] for n in range(SLOTS)}) >= 4
    for n in range(SLOTS):  # A new planner takes slots over; no slot moves between the others.
        assert [p for p in ranked_planners(n, 6) if p != 5] == ranked_planners(n, 5)


def single_planner() -> tuple[Planner, int]:
    """Returns a planner that is its own majority and owns all slots, and the time at which it does."""
    planner, now = Planner(0, 1, lambda tenant: (TENANT_LIMIT,), 1.0, START, 1), START
    while not all(each.owns(now) for each in planner.elections):
        now += TERM_NS // 10
        pending = [(slot, message) for slot, out in planner.tick(now) for _, message in out]
        while pending:
            slot, message = pending.pop()
            pending += [(slot, reply) for _, reply in planner.on_message(now, 0, slot, message)]
    return planner, now


def test_planner_answers_for_owned_slots_and_learns_first() -> None:
    planner, now = single_planner()
    assert (
        Planner(0, 3, lambda tenant: (TENANT_LIMIT,), 1.0, START, 1).on_request(START, lease_request(1))
        is None
    )
    grant = planner.on_request(now, lease_request(1, base_lease=NO_LEASE, demand_per_s=50.0))
    assert grant is not None and grant.limit == Limit(0.0, 0.0)  # It is learning.
    created = planner.tables[1, 0]
    assert created.learns_until_ns == now + OUTSTANDING_NS


def test_planner_does_not_answer_after_a_newer_epoch() -> None:
    planner, now = single_planner()
    epoch = planner.elections[slot_of(1)].epoch
    assert planner.on_request(now, lease_request(1, base_lease=(epoch + 1, 1))) is None
    assert not planner.elections[slot_of(1)].owns(now)


def test_forwarder_tries_planners_in_rank_until_one_answers() -> None:
    forwarder = Forwarder(0, 7, 3, lambda tenant: (TENANT_LIMIT,), lambda tenant: (0.05,))
    assert not forwarder.admit(START, 1, 1.0)
    order = ranked_planners(slot_of(1), 3)
    ((planner, request),) = forwarder.heartbeat(START)
    assert planner == order[0]
    ((next_planner, repeated),) = forwarder.on_decline(START, order[0], 1)
    assert next_planner == order[1] and repeated.sequence > request.sequence
    assert (
        forwarder.on_grant(START, make_grant(repeated)) == []
        and forwarder.tenants[1].holders[0].limit == SMALL
    )
    assert forwarder.on_decline(START, order[0], 1) == []  # The first planner's late decline has no effect.
    assert [planner for planner, _ in forwarder.heartbeat(START + HEARTBEAT_NS)] == [order[1]]
    assert [planner for planner, _ in forwarder.heartbeat(START + 2 * HEARTBEAT_NS)] == [
        order[2]
    ]  # The planner before did not answer.
    assert [planner for planner, _ in forwarder.on_decline(START + 2 * HEARTBEAT_NS, order[2], 1)] == [
        order[0]
    ]
    assert [planner for planner, _ in forwarder.on_decline(START + 2 * HEARTBEAT_NS, order[0], 1)] == [
        order[1]
    ]
    assert (
        forwarder.on_decline(START + 2 * HEARTBEAT_NS, order[1], 1) == []
    )  # Each planner is tried once a heartbeat.


def test_request_spends_from_all_limits_or_from_none() -> None:
    wide = TenantLimit(Limit(1000.0, 1000.0), 0.0, False)  # All of it is static shares.
    forwarder = Forwarder(0, 7, 3, lambda tenant: (wide, TENANT_LIMIT), lambda tenant: (1.0, 0.2))
    assert not forwarder.admit(START, 1, 1.0)
    # By now the static share of the small limit has one unit, that of the wide one hundreds.
    now = START + SECOND // 2
    wide_holder = forwarder.tenants[1].holders[0]
    assert forwarder.admit(now, 1, 0.5)
    tokens = wide_holder.static_tokens
    assert not forwarder.admit(now, 1, 0.9) and wide_holder.static_tokens == tokens
    assert [request.limit_index for _, request in forwarder.heartbeat(now)] == [0, 1]


def test_requests_of_a_returning_tenant_are_answered() -> None:
    """The table still knows the sequence of the dropped state, so the new one must be greater."""
    table, forwarder = new_table(), Forwarder(0, 7, 1, lambda tenant: (TENANT_LIMIT,), lambda tenant: (0.05,))
    for at in range(SETTLED, SETTLED + 5 * HEARTBEAT_NS, HEARTBEAT_NS):
        forwarder.admit(at, 1, 1.0)
        assert all(table.on_request(at, request) is not None for _, request in forwarder.heartbeat(at))
    again = SETTLED + 5 * HEARTBEAT_NS + FORGET_NS
    assert forwarder.heartbeat(again) == [] and not forwarder.tenants
    forwarder.admit(again, 1, 1.0)
    assert all(table.on_request(again, request) is not None for _, request in forwarder.heartbeat(again))


def test_only_soft_leases_are_extended_after_expiry() -> None:
    soft, hard = (
        LeaseHolder(TENANT_LIMIT._replace(is_soft=True), 0.0001, START),
        LeaseHolder(TENANT_LIMIT, 0.0001, START),
    )
    for holder in (soft, hard):
        assert holder.accept(START, make_grant(holder.next_request(START, 1, 7, 1, 0)))
    later = START + HELD_NS + SECOND
    assert spend(soft, later) and not spend(hard, later)
    assert soft.next_request(later, 1, 7, 1, 0).held_limit == SMALL and hard.next_request(
        later, 1, 7, 1, 0
    ).held_limit == Limit(0.0, 0.0)
    assert spend(soft, START + HELD_NS + int(59.9 * SECOND))  # The operators' page says a minute.
    assert not spend(soft, START + HELD_NS + SOFT_EXTENSION_NS)


def test_forwarder_drops_tenants_without_requests() -> None:
    forwarder = Forwarder(0, 7, 3, lambda tenant: (TENANT_LIMIT,), lambda tenant: (0.05,))
    forwarder.admit(START, 1, 1.0)
    assert len(forwarder.heartbeat(START + FORGET_NS)) == 1 and forwarder.tenants
    assert forwarder.heartbeat(START + FORGET_NS + 1) == [] and not forwarder.tenants
    assert FORGET_NS > LEASE_NS


# Turns, and parts that can serve.


# Margins and memories, each by itself.
