"""Tests turns and static parts of planning, and each margin and time constant by itself."""

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
from .test_planning import (
    TENANT_LIMIT,
    SETTLED,
    START,
    make_grant,
    lease_request,
    new_table,
    grant_for,
    spend,
)


def test_part_below_one_request_is_increased_or_all_planned() -> None:
    small = TenantLimit(Limit(10.0, 3.0), 0.2, False)
    assert small.fitted(1.0, 2).planned_part == pytest.approx(
        1 / 3
    )  # One request is planned, one is in each static share.
    assert (
        TenantLimit(Limit(10.0, 1.5), 0.2, False).fitted(1.0, 2).planned_part == 1.0
    )  # The rest would hold no request.
    assert TenantLimit(Limit(10.0, 40.0), 0.2, True).fitted(1.0, 4) == TenantLimit(
        Limit(10.0, 40.0), 0.2, True
    )
    assert TenantLimit(Limit(10.0, 2.0), 0.0, False).fitted(1.0, 2).planned_part == 0.0
    with pytest.raises(ValueError, match=r"0\.9 units holds no request of 1"):
        TenantLimit(Limit(10.0, 0.9), 0.2, False).fitted(1.0, 2)
    assert max_parts(3.0, 1.0, 5) == 3 and max_parts(0.6, 0.2, 9) == 3 and max_parts(9.0, 1.0, 5) == 5


def test_static_shares_hold_a_request_each() -> None:
    """Only as many forwarders have a static share as can each hold a request.

    Together the shares are the part that is not planned.
    """
    forwarders = [3, 4, 5, 6]
    for planned, served in ((0.2, 4), (0.7, 2), (0.9, 0)):
        limit = TenantLimit(Limit(10.0, 8.0), planned, False)
        parts = [static_part(7, each, forwarders, limit, 1.2) for each in forwarders]
        assert sum(part > 0.0 for part in parts) == served
        assert sum(parts) == pytest.approx((1.0 - planned) if served else 0.0)
        assert all(part * 8.0 >= 1.2 for part in parts if part)
    assert static_part(7, 9, forwarders, TenantLimit(Limit(10.0, 8.0), 0.2, False), 1.0) == 0.0
    chosen = {
        tuple(
            static_part(tenant, each, forwarders, TenantLimit(Limit(10.0, 8.0), 0.7, False), 1.2) > 0
            for each in forwarders
        )
        for tenant in range(40)
    }
    assert len(chosen) > 3  # Other forwarders have a share for another tenant.


def test_turns_are_limited_and_end_by_time_or_disuse() -> None:
    """As many turns run at once as the smallest burst holds requests."""
    turns, first, second, third = Rotation(), (1, 1), (2, 1), (3, 1)
    turns.add_limit(1, True)
    turns.add_limit(3, False)
    assert turns.concurrent_turns == 1
    assert turns.has_turn(START, first, True, False) and not turns.has_turn(START, second, True, False)
    assert turns.has_turn(START + 1, first, False, True)  # It uses all it gets, though nothing waits.
    assert not turns.has_turn(START + 2, first, False, False)  # Its turn ended; the second is next.
    assert turns.has_turn(START + 3, second, True, False) and not turns.has_turn(
        START + 4, first, True, False
    )
    assert turns.has_turn(START + 2 + TURN_NS, second, True, False) and not turns.has_turn(
        START + 2 + TURN_NS, first, True, False
    )
    # The second turn has lasted `TURN_NS`, and the first forwarder has waited longer.
    assert not turns.has_turn(START + 3 + TURN_NS, second, True, False)
    assert turns.has_turn(START + 3 + TURN_NS, first, True, False)
    assert not turns.has_turn(START + 4 + TURN_NS, third, False, True)  # Nothing waits there.


def test_longest_waiting_forwarder_has_the_next_turn() -> None:
    """A forwarder that sends no requests is not waited for."""
    turns, now = Rotation(), START
    turns.add_limit(1, True)
    order = [(n, 1) for n in range(4)]
    for forwarder in order:  # Each has a turn, one after the other.
        assert turns.has_turn(now, forwarder, True, False)
        now += TURN_NS
    assert turns.has_turn(now, order[0], True, False)
    end = now + TURN_NS
    # The other three wait.
    assert not any([turns.has_turn(end - 1, forwarder, True, False) for forwarder in order[1:]])
    assert not turns.has_turn(end, order[3], True, False) and not turns.has_turn(end, order[2], True, False)
    assert turns.has_turn(end, order[1], True, False)
    turns = Rotation()
    turns.add_limit(2, False)
    assert turns.concurrent_turns == 2
    assert turns.has_turn(now, (1, 1), True, False) and turns.has_turn(now, (2, 1), True, False)
    assert not turns.has_turn(now, (3, 1), True, False)
    later = now + TURN_NS  # Both turns ended; (3, 1) has sent no request since.
    assert turns.has_turn(later + 1, (1, 1), True, False)


def test_reduced_lease_is_acknowledged_at_once_per_heartbeat() -> None:
    forwarder = Forwarder(0, 7, 3, lambda tenant: (TENANT_LIMIT,), lambda tenant: (0.05,))
    forwarder.admit(START, 1, 1.0)
    ((planner, first),) = forwarder.heartbeat(START)
    assert (
        forwarder.on_grant(START, make_grant(first)) == []
    )  # The lease grew, so there is nothing to acknowledge.
    ((_, second),) = forwarder.heartbeat(START + HEARTBEAT_NS)
    ((recipient, request),) = forwarder.on_grant(
        START + HEARTBEAT_NS, make_grant(second, (1, 2), Limit(1.0, 2.0), 0.0)
    )
    assert recipient == planner and request.base_lease == (1, 2) and request.held_limit == Limit(1.0, 2.0)
    assert (request.demand_per_s, request.waiting_units) == (
        second.demand_per_s,
        second.waiting_units,
    ) and request.sequence > second.sequence
    assert forwarder.on_grant(START + HEARTBEAT_NS, make_grant(request, (1, 3), Limit(0.5, 1.0), 0.0)) == []
    ((_, third),) = forwarder.heartbeat(START + 2 * HEARTBEAT_NS)
    assert (
        len(forwarder.on_grant(START + 2 * HEARTBEAT_NS, make_grant(third, (1, 4), Limit(0.5, 0.5), 0.0)))
        == 1
    )


def test_margins_cover_the_clock_drift_and_little_more() -> None:
    """A lease must end on the holder's slowest clock before it ends on the grantor's fastest."""
    for held, outstanding, span in ((HELD_NS, OUTSTANDING_NS, LEASE_NS), (OWNED_NS, ACCEPTED_NS, TERM_NS)):
        assert held / (1.0 - CLOCK_DRIFT) * (1.0 + CLOCK_DRIFT) <= outstanding <= 1.05 * span
        assert 0.95 * span <= held


def test_leases_by_turns_share_the_rate_among_all() -> None:
    """No more forwarders hold a lease at once than the burst holds requests, and each has a turn."""
    table, grants, now = new_table(Limit(10.0, 2.5)), dict[int, Grant](), SETTLED
    served, used = set[int](), 0.0
    for heartbeat in range(1, 30):
        now += HEARTBEAT_NS
        for forwarder in range(5):
            before = grants.get(forwarder)
            request = lease_request(forwarder, heartbeat, demand_per_s=20.0, waiting_units=1.0)
            if before is not None:
                request = request._replace(base_lease=before.lease, held_limit=before.limit)
            grants[forwarder] = grant_for(table, now, request)
            assert grants[forwarder].epoch == table.epoch
        holding = {forwarder for forwarder, grant in grants.items() if grant.limit.burst_units}
        served |= holding
        assert len(holding) <= 2
        if heartbeat > 8:  # At first a forwarder that requests alone gets all.
            assert all(grants[forwarder].limit.burst_units == 1.0 for forwarder in holding)
            assert all(
                grants[forwarder].limit.rate_per_s <= table.limit.rate_per_s / 2 + 1e-9
                for forwarder in holding
            )
        used += sum(grants[forwarder].limit.rate_per_s for forwarder in holding)
    assert (
        used >= 0.4 * 29 * table.limit.rate_per_s
    )  # Without acknowledgements each change costs two heartbeats of five.
    assert served == set(range(5))


def test_extended_lease_of_an_older_epoch_counts_as_outstanding() -> None:
    table = new_table()
    kept = lease_request(
        1, base_lease=(2, 1), held_limit=Limit(6.0, 12.0), demand_per_s=0.0
    )  # It has no demand.
    grant_for(table, SETTLED, kept)  # It was cut off until long after the learning phase.
    assert (
        grant_for(table, SETTLED, lease_request(2, demand_per_s=100.0)).limit.rate_per_s
        <= table.limit.rate_per_s - 6.0 + 1e-9
    )
    free = grant_for(
        table, SETTLED + OUTSTANDING_NS + 1, lease_request(2, 2, demand_per_s=100.0)
    ).limit.rate_per_s
    assert free == pytest.approx(table.limit.rate_per_s)


def test_demand_outlasts_rare_requests_and_then_decays() -> None:
    """A tenant with a request every 4 s must not lose its lease between two; one without requests must."""
    holder, now, demands = LeaseHolder(TENANT_LIMIT, 0.05, START), START, list[float]()
    for heartbeat in range(40):
        now += HEARTBEAT_NS
        if heartbeat % 10 == 0:  # One request arrives every 4 s.
            spend(holder, now)
        demands.append(holder.next_request(now, 1, 7, 1, 0).demand_per_s)
    assert min(demands[10:]) > 0.02  # A smaller demand counts as idle.
    for _ in range(200):
        now += HEARTBEAT_NS
        last = holder.next_request(now, 1, 7, 1, 0).demand_per_s
    assert last < 0.001


def test_proposals_are_spread_and_exceed_seen_rounds() -> None:
    waits = [
        Election(0, 3, START, random.Random(n))._next_attempt_ns - START - ACCEPTED_NS for n in range(200)
    ]
    assert min(waits) < 0.4 * MEAN_BACKOFF_NS and max(waits) > 1.6 * MEAN_BACKOFF_NS
    assert all(0.2 * MEAN_BACKOFF_NS <= wait <= 1.8 * MEAN_BACKOFF_NS for wait in waits)
    election, now = Election(0, 3, START, random.Random(1)), START + 9 * TERM_NS
    election.on_message(now, 1, ElectionMessage("prepare", (9, 1)))
    ((_, prepare),) = election.tick(now)
    assert prepare.ballot == (10, 0)
    assert election.tick(now + MEAN_BACKOFF_NS) == []  # The backoff lets others propose first.
    election.on_newer_epoch(20)
    ((_, prepare),) = election.tick(now + 3 * MEAN_BACKOFF_NS)
    assert prepare.ballot == (21, 0)
    election.on_message(now, 1, ElectionMessage("nack", (40, 1)))
    ((_, prepare),) = election.tick(now + 6 * MEAN_BACKOFF_NS)
    assert prepare.ballot == (41, 0)


def test_unknown_grants_and_late_declines_have_no_effect() -> None:
    forwarder = Forwarder(0, 7, 3, lambda tenant: (TENANT_LIMIT,), lambda tenant: (0.05,))
    forwarder.admit(START, 1, 1.0)
    ((planner, request),) = forwarder.heartbeat(START)
    assert forwarder.on_grant(START, make_grant(request)._replace(tenant=2)) == []
    assert forwarder.on_grant(START, make_grant(request)._replace(limit_index=1)) == []
    assert forwarder.on_grant(START, make_grant(request)._replace(limit_index=-1)) == []
    assert forwarder.tenants[1].holders[0].limit == Limit(0.0, 0.0)
    forwarder.on_grant(START, make_grant(request))
    assert forwarder.on_decline(START, planner, 1) == []  # The planner granted before it declined.
    assert forwarder.on_decline(START, planner, 9) == []
    ((recipient, _),) = forwarder.heartbeat(START + HEARTBEAT_NS)
    assert recipient == planner
    with pytest.raises(ValueError):  # The number of static shares differs from that of limits.
        Forwarder(0, 7, 3, lambda tenant: (TENANT_LIMIT,), lambda tenant: (0.05, 0.05)).admit(START, 1, 1.0)


def test_dropping_a_tenant_keeps_the_others() -> None:
    forwarder = Forwarder(0, 7, 3, lambda tenant: (TENANT_LIMIT,), lambda tenant: (0.05,))
    forwarder.admit(START, 1, 1.0)
    forwarder.admit(START + SECOND, 2, 1.0)
    assert [request.tenant for _, request in forwarder.heartbeat(START + FORGET_NS + SECOND // 2)] == [
        2
    ] and set(forwarder.tenants) == {2}


def test_demand_is_smoothed_and_followed_within_two_heartbeats() -> None:
    holder, now = LeaseHolder(TENANT_LIMIT, 1.0, START), START
    for _ in range(10):
        for _ in range(4):
            now += HEARTBEAT_NS // 4
            holder.may_spend(now, 1.0)  # Ten units a second arrive, and nothing waits.
        rate = holder.next_request(now, 1, 7, 1, 0).demand_per_s
    assert rate == pytest.approx(10.0, rel=0.05)
    falling = [
        holder.next_request(now + heartbeat * HEARTBEAT_NS, 1, 7, 1, 0).demand_per_s
        for heartbeat in (1, 2, 3)
    ]
    assert 4.0 < falling[0] < 6.0 and falling[1] < 3.0 and falling[2] < 2.0


def test_new_turns_are_limited_to_the_free_ones() -> None:
    turns, now = Rotation(), START
    turns.add_limit(2, False)
    order = [(n, 1) for n in range(4)]
    for forwarder in order:  # They have turns, two at a time, which gives them an order.
        turns.has_turn(now, forwarder, True, False)
    assert turns.has_turn(now + TURN_NS, order[2], True, False) and turns.has_turn(
        now + TURN_NS, order[3], True, False
    )
    now += 2 * TURN_NS
    turns.has_turn(now, (9, 1), True, False)  # It never had a turn.
    assert [turns.has_turn(now, forwarder, True, False) for forwarder in order] == [True, False, False, False]
