"""Tests that quotas, hard limits and slow start hold over many gateways at once, by simulated events."""

from __future__ import annotations

import random
import sys
from collections.abc import Iterator
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings

from trackspread.decide.broker import TICK_TIMER, Broker
from trackspread.decide.quota_admission import ANSWER_TIMEOUT_NS
from trackspread.decide.actions import Action, AddToCounter, Fail, Reject, SendToPeers, SetTimer, StartAttempt
from trackspread.decide.backends import EndpointUpdateKind
from trackspread.decide.events import CounterAnswered, Event, Outcome, PeerMessage, TimerFired
from trackspread.decide.peer_messages import (
    QuotaMessage,
    QuotaMessageKind,
    pack_quota_message,
    unpack_quota_message,
)
from trackspread.decide.quota import UNITS_PER_ATTEMPT, hard_limit
from trackspread.decide.time_units import TICK

from ..helpers import MS, SECOND, UNSAFE, arrival, backend, ended, full_list, plan, settings
from .test_broker import EVENT_STEPS, EventOrderCheck

# Hypothesis would derive the seed from the text of the test, so that any rewording changed the examples.
SEED = 0x37CC7197BBBEC7AF91993FAA29A8091CEB4F64E2722EE1CBB0A2D194E77CBFBFFE426FD007A9E83C8C8775714360F660
MANY_GATEWAYS = 200


class SimulatedFleet:
    """Simulates many gateways with messages and a counter between them.

    Messages and counter calls may be lost, and gateways may be restarted.
    """

    def __init__(self, seed: int = 1, **changes: Any) -> None:
        self.changes = {"gateway_count": MANY_GATEWAYS, "peer_messages_per_s": 40.0, **changes}
        self.rng = random.Random(seed)
        self.counter_values: dict[int, float] = {}
        self.sent: list[tuple[int, StartAttempt]] = []
        self.rejected = 0
        self.loss = 0.0
        self.counter_responds = True
        self.backends = [backend(i) for i in range(1, 9)]
        self.gateways = [self.start(p, 0) for p in range(self.changes["gateway_count"])]

    def start(self, gateway_index: int, now: int) -> Broker:
        broker = Broker(settings(gateway_index=gateway_index, **self.changes), gateway_index + 7, now)
        self.apply(
            now, gateway_index, broker.handle(now, full_list(*self.backends, kind=EndpointUpdateKind.CACHED))
        )
        return broker

    def deliver(self, now: int, gateway_index: int, event: Event) -> None:
        self.apply(now, gateway_index, self.gateways[gateway_index].handle(now, event))

    def apply(self, now: int, gateway_index: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartAttempt):
                self.sent.append((now, action))
            elif isinstance(action, Reject | Fail):
                self.rejected += 1
            elif (
                isinstance(action, SendToPeers)
                and action.recipient is not None
                and self.rng.random() >= self.loss
            ):
                self.deliver(now, action.recipient, PeerMessage(gateway_index, action.data))
            elif isinstance(action, AddToCounter):
                self.count(now, gateway_index, action)

    def count(self, now: int, gateway_index: int, call: AddToCounter) -> None:
        if not self.counter_responds:
            self.deliver(now, gateway_index, CounterAnswered(0, Outcome.TIMEOUT, call.key, 0.0))
            return
        self.counter_values[call.key] = self.counter_values.get(call.key, 0.0) + call.amount
        self.deliver(
            now, gateway_index, CounterAnswered(0, Outcome.OK, call.key, self.counter_values[call.key])
        )

    def flood(self, seconds: float, per_s: int, start: int = 0, **changes: Any) -> None:
        """Sends one tenant's requests through random gateways; each attempt is answered at once."""
        for i in range(int(seconds * per_s)):
            now = start + i * SECOND // per_s
            gateway_index = self.rng.randrange(len(self.gateways))
            request, before = start + i, len(self.sent)
            span_arguments = {"gateway_span": len(self.gateways), **changes}
            self.deliver(now, gateway_index, arrival(request, now, **span_arguments))
            answered_at = now + 2 * ANSWER_TIMEOUT_NS
            if request in self.gateways[gateway_index].requests.open_requests and len(self.sent) == before:
                self.deliver(answered_at, gateway_index, TimerFired(TICK_TIMER))
            for _, attempt in self.sent[before:]:
                self.deliver(answered_at, gateway_index, ended(attempt.request, attempt.backend))


def test_quota_holds_over_all_gateways() -> None:
    fleet = SimulatedFleet()
    fleet.flood(20.0, 100)
    assert 0.85 * 220 <= len(fleet.sent) <= 1.1 * 220


def test_quota_roughly_holds_with_message_loss() -> None:
    fleet = SimulatedFleet()
    fleet.loss = 0.3
    fleet.flood(20.0, 100)
    assert 0.7 * 220 <= len(fleet.sent) <= 4 * 220


def test_quota_holds_without_any_messages() -> None:
    fleet = SimulatedFleet()
    fleet.loss = 1.0
    fleet.flood(20.0, 100)
    assert 0 < len(fleet.sent) <= 1.5 * 220


def test_counter_holds_quota_over_all_gateways() -> None:
    fleet = SimulatedFleet(may_gossip=False, has_shared_counter=True)
    fleet.flood(20.0, 100, start=5 * SECOND)
    assert 0.85 * 220 <= len(fleet.sent) <= 1.1 * 220


def test_idle_counter_grants_at_most_a_burst() -> None:
    fleet = SimulatedFleet(may_gossip=False, has_shared_counter=True)
    fleet.flood(0.05, 20, start=5 * SECOND)
    fleet.sent.clear()
    fleet.flood(1.0, 500, start=35 * SECOND)
    assert len(fleet.sent) <= 1.15 * 30


def test_unresponsive_counter_is_called_less_often() -> None:
    fleet = SimulatedFleet(may_gossip=False, has_shared_counter=True)
    fleet.counter_responds = False
    fleet.flood(20.0, 100)
    assert 0 < len(fleet.sent) <= 1.5 * 220
    assert max(broker.quota.counter_call_rate for broker in fleet.gateways) < 1.0


def test_counter_holds_concurrency_limit_over_all_gateways() -> None:
    fleet = SimulatedFleet(may_gossip=False, has_shared_counter=True, plans=(plan(concurrency_limit=3),))
    for i in range(10):
        fleet.deliver(MS * i, i, arrival(i, MS * i, gateway_span=MANY_GATEWAYS))
    assert len(fleet.sent) == 3
    for _, attempt in list(fleet.sent):
        fleet.deliver(SECOND, attempt.request, ended(attempt.request, attempt.backend))
    assert all(abs(number) < UNITS_PER_ATTEMPT / 2 for number in fleet.counter_values.values())


def test_attempt_counted_for_disconnected_client_is_released() -> None:
    broker = Broker(
        settings(
            gateway_count=MANY_GATEWAYS,
            may_gossip=False,
            has_shared_counter=True,
            plans=(plan(concurrency_limit=3),),
        ),
        7,
        0,
    )
    broker.handle(0, full_list(backend(1)))
    (call,) = [
        a
        for a in broker.handle(MS, arrival(1, MS, gateway_span=MANY_GATEWAYS))
        if isinstance(a, AddToCounter)
    ]
    broker.requests.open_requests.pop(1)
    actions = broker.handle(2 * MS, CounterAnswered(MS, Outcome.OK, call.key, call.amount))
    assert [a.amount for a in actions if isinstance(a, AddToCounter) and a.amount == -UNITS_PER_ATTEMPT] == [
        -UNITS_PER_ATTEMPT
    ]


def test_lost_release_is_repeated() -> None:
    broker = Broker(
        settings(
            gateway_count=MANY_GATEWAYS,
            may_gossip=False,
            has_shared_counter=True,
            plans=(plan(concurrency_limit=3),),
        ),
        7,
        0,
    )
    broker.handle(0, full_list(backend(1)))
    (call,) = [
        a
        for a in broker.handle(MS, arrival(1, MS, gateway_span=MANY_GATEWAYS))
        if isinstance(a, AddToCounter)
    ]
    broker.handle(2 * MS, CounterAnswered(MS, Outcome.OK, call.key, call.amount))
    (release,) = [a for a in broker.handle(3 * MS, ended(1, 1)) if isinstance(a, AddToCounter)]
    broker.handle(4 * MS, CounterAnswered(MS, Outcome.REJECTED, release.key, 0.0))
    later_actions = [a for i in range(20) for a in broker.handle(i * TICK, TimerFired(TICK_TIMER))]
    assert [a.amount for a in later_actions if isinstance(a, AddToCounter)] == [-UNITS_PER_ATTEMPT]


HARD_LIMITED = plan(
    rate_per_s=30.0,
    burst_units=60.0,
    hard_limit_per_s=20.0,
    hard_limit_burst_units=40.0,
    hard_limit_slack_units=4.0,
)


@pytest.mark.parametrize("loss", [0.0, 0.3, 1.0])
def test_hard_limit_holds_with_message_loss_and_restarts(loss: float) -> None:
    fleet = SimulatedFleet(plans=(HARD_LIMITED,))
    fleet.loss = loss
    for second in range(10):
        fleet.flood(1.0, 200, start=second * SECOND, gateway_span=20)
        for gateway_index in fleet.rng.sample(range(MANY_GATEWAYS), MANY_GATEWAYS // 4):
            fleet.gateways[gateway_index] = fleet.start(gateway_index, second * SECOND + SECOND)
    balance, at = HARD_LIMITED.hard_limit_burst_units, 0
    for now, _ in fleet.sent:
        balance, at = (
            min(HARD_LIMITED.hard_limit_burst_units, balance + 20.0 * (now - at) / SECOND) - 1.0,
            now,
        )
        assert balance >= -HARD_LIMITED.hard_limit_slack_units
    assert fleet.sent


def test_owner_grants_more_than_static_shares() -> None:
    fleet = SimulatedFleet(plans=(HARD_LIMITED,))
    for i in range(100):
        before = len(fleet.sent)
        fleet.deliver(i * 50 * MS, 3, arrival(i, i * 50 * MS, gateway_span=20))
        for _, attempt in fleet.sent[before:]:
            fleet.deliver(i * 50 * MS, 3, ended(attempt.request, attempt.backend))
    assert len(fleet.sent) >= 0.6 * 100


def test_unresponsive_owner_delays_requests_only_shortly() -> None:
    broker = Broker(settings(gateway_count=MANY_GATEWAYS, peer_messages_per_s=40.0), 7, 0)
    broker.handle(0, full_list(backend(1)))
    first_actions = [
        a for i in range(5) for a in broker.handle(MS, arrival(i, MS, customer=i, gateway_span=MANY_GATEWAYS))
    ]
    queued = len(broker.admission.queued)
    assert queued == sum(isinstance(a, SendToPeers) for a in first_actions) > 0
    after = broker.handle(MS + ANSWER_TIMEOUT_NS, TimerFired(TICK_TIMER))
    assert sum(isinstance(a, StartAttempt | Reject) for a in after) == queued
    assert not broker.admission.queued


def test_slow_start_holds_over_all_gateways() -> None:
    fleet = SimulatedFleet(
        plans=(plan(rate_per_s=10000.0, burst_units=10000.0),),
        has_shared_counter=False,
        may_gossip=False,
        gateway_count=MANY_GATEWAYS,
    )
    with_new_backend = [backend(i) for i in range(1, 9)] + [backend(99, booted=1)]
    for broker in fleet.gateways:
        broker.handle(MS, full_list(*with_new_backend))
    for i in range(4000):
        now = MS + i * 2 * MS
        gateway_index = i % MANY_GATEWAYS
        before = len(fleet.sent)
        fleet.deliver(
            now,
            gateway_index,
            arrival(i, now, customer=gateway_index, gateway_span=1, first_gateway=gateway_index),
        )
        for _, attempt in fleet.sent[before:]:
            fleet.deliver(now + MS, gateway_index, ended(attempt.request, attempt.backend))
    relative_load = sum(attempt.backend == 99 for _, attempt in fleet.sent) / (len(fleet.sent) / 9)
    assert 0.1 <= relative_load <= 0.9  # its certain capacity rises from 0.2 to 0.5 in this time


def test_cost_of_events_is_independent_of_gateways() -> None:
    def calls(gateways: int) -> int:
        broker = Broker(settings(gateway_count=gateways, peer_messages_per_s=1.0), 7, 0)
        broker.handle(0, full_list(*(backend(i) for i in range(1, 9))))
        call_count = 0

        def count_call(frame: object, what: str, arg: object) -> None:
            nonlocal call_count
            call_count += what in ("call", "c_call")

        sys.setprofile(count_call)
        try:
            for i in range(300):
                broker.handle(i * 10 * MS, arrival(i, i * 10 * MS, customer=i % 40, gateway_span=gateways))
                if i % 10 == 0:
                    broker.handle(i * 10 * MS, TimerFired(TICK_TIMER))
        finally:
            sys.setprofile(None)
        return call_count

    assert calls(1000) <= 1.1 * calls(100)


def test_attempts_get_timeouts_only_after_lost_responses() -> None:
    broker = Broker(settings(plans=(plan(rate_per_s=1000.0, burst_units=1000.0),)), 7, 0)
    broker.handle(0, full_list(*(backend(i) for i in range(1, 5))))
    (first,) = [a for a in broker.handle(MS, arrival(1, MS)) if isinstance(a, StartAttempt)]
    assert first.timeout_ns == 0
    again = broker.handle(SECOND, ended(1, first.backend, Outcome.TIMEOUT))
    (second,) = [a for a in again if isinstance(a, StartAttempt)]
    assert 0 < second.timeout_ns < SECOND
    assert second.backend != first.backend
    (non_idempotent,) = [
        a for a in broker.handle(SECOND, arrival(2, SECOND, UNSAFE)) if isinstance(a, StartAttempt)
    ]
    assert non_idempotent.timeout_ns == 0


def test_unanswered_requests_of_active_tenants_are_limited() -> None:
    """Guards against admitting active tenants without limit while no answers arrive.

    Without any answer, requests of a tenant with many requests here are admitted less often.
    """
    admitted_counts = []
    for requests in (1, 20):
        broker = Broker(
            settings(gateway_count=MANY_GATEWAYS, may_gossip=False, has_shared_counter=True), 7, 0
        )
        admitted = 0
        for tenant in range(200):
            account = broker.quota.account(0, tenant, 0, MANY_GATEWAYS, 0)
            broker.quota.grant_ratio_by_plan[0].add(0, 1.0)
            account.static_tokens = 0.0
            for _ in range(requests):
                account.long_term_demand.add(0, 1.0)
            admitted += broker.quota.spend_without_answer(0, account, 1.0)
        admitted_counts.append(admitted)
    assert admitted_counts[1] < 0.5 * admitted_counts[0]


def test_counted_requests_stand_for_uncounted_ones() -> None:
    broker = Broker(settings(gateway_count=MANY_GATEWAYS, may_gossip=False, has_shared_counter=True), 7, 0)
    broker.handle(0, full_list(backend(1)))
    broker.quota.counter_call_rate = 0.5
    calls = [
        a
        for i in range(20)
        for a in broker.handle(MS, arrival(i, MS, customer=i, gateway_span=MANY_GATEWAYS))
    ]
    amounts = {a.amount for a in calls if isinstance(a, AddToCounter)}
    assert amounts == {2.0}


def malformed_messages() -> Iterator[bytes]:
    yield from (b"", b"x", b"\xff" * 18, b"\x00" * 18, b"\x01" * 64)
    yield pack_quota_message(QuotaMessage(QuotaMessageKind.REQUEST, 1, 99, 1.0, 1, 0))
    yield pack_quota_message(QuotaMessage(QuotaMessageKind.GRANT, 77, 0, 1.0, 12345, 0))
    yield pack_quota_message(QuotaMessage(QuotaMessageKind.DENY, 1, 0, -5.0, 1, 10**9))


def test_malformed_messages_to_owner_are_ignored() -> None:
    for gateway_index in range(3):
        broker = Broker(
            settings(gateway_count=MANY_GATEWAYS, peer_messages_per_s=1.0, gateway_index=gateway_index), 7, 0
        )
        for data in malformed_messages():
            assert not any(isinstance(a, StartAttempt) for a in broker.handle(MS, PeerMessage(5000, data)))


def test_quota_message_survives_encoding() -> None:
    request = QuotaMessage(QuotaMessageKind.REQUEST, 2**33 - 1, 3, 2.5, 2**32 - 1, 17)
    assert unpack_quota_message(pack_quota_message(request)) == request


@pytest.mark.parametrize(
    ("gateway_span", "first"), [(0, 0), (MANY_GATEWAYS + 50, 3), (1, 17), (3, MANY_GATEWAYS - 1), (-4, -9)]
)
def test_invalid_gateway_spans_do_not_lift_quota(gateway_span: int, first: int) -> None:
    broker = Broker(settings(gateway_count=MANY_GATEWAYS, may_gossip=False), 7, 0)
    broker.handle(0, full_list(backend(1)))
    admitted = 0
    for i in range(200):
        actions = broker.handle(MS + i, arrival(i, MS, gateway_span=gateway_span, first_gateway=first))
        admitted += any(isinstance(a, StartAttempt) for a in actions)
        broker.handle(MS + i, ended(i, 1))
    assert admitted <= 30


class EventOrderCheckWithQueries(EventOrderCheck):
    """Checks the same event orders where owners or the counter are queried."""

    def __init__(self, **changes: Any) -> None:
        super().__init__()
        self.gateway = Broker(settings(gateway_count=MANY_GATEWAYS, peer_messages_per_s=1.0, **changes), 3, 0)

    def handle(self, now: int, event: Event) -> None:
        super().handle(now, event)
        for queued in list(self.gateway.admission.queued):
            answer = self.actions and queued % 3
            if answer:
                answer_data = pack_quota_message(
                    QuotaMessage(
                        QuotaMessageKind.GRANT if answer == 1 else QuotaMessageKind.DENY, 1, 0, 5.0, queued, 0
                    )
                )
                super().handle(now, PeerMessage(1, answer_data))
        if not self.gateway.quota.has_owners:
            for name, calls in list(self.gateway.quota.counter_calls.items()):
                if calls:
                    super().handle(now, CounterAnswered(MS, Outcome(1 + len(self.actions) % 3), name, 2.0))

    def end_attempt(self, now: int, attempt: tuple[int, int], outcome: Outcome) -> None:
        super().end_attempt(now, attempt, outcome)
        if outcome is Outcome.TIMEOUT:
            self.handle(now + SECOND, TimerFired(TICK_TIMER))

    def run(self, steps: list[tuple[str, int, Outcome, int, int]]) -> None:
        super().run([*steps, ("tick", 0, Outcome.OK, 400, 0)])


@seed(SEED)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=100)
@given(EVENT_STEPS)
def test_one_final_answer_with_owners_or_counter(
    steps: list[tuple[str, int, Outcome, int, int]],
) -> None:
    EventOrderCheckWithQueries().run(steps)
    EventOrderCheckWithQueries(may_gossip=False, has_shared_counter=True).run(steps)


def answer_to_request(
    owner: Broker, now: int, units: float, forwarded: int, kind: QuotaMessageKind = QuotaMessageKind.REQUEST
) -> QuotaMessageKind:
    """Returns the owner's answer to gateway 5, which has `forwarded` quarter units in all."""
    request = QuotaMessage(kind, OWNED_TENANT, 0, units, 9, 0, forwarded)
    messages = [
        a
        for a in owner.handle(now, PeerMessage(5, pack_quota_message(request)))
        if isinstance(a, SendToPeers)
    ]
    if kind is QuotaMessageKind.SPENT:
        return kind
    answer = unpack_quota_message(messages[0].data)
    assert answer is not None
    return QuotaMessageKind(answer.kind)


OWNED_TENANT = 1  # a tenant whose quota is owned by the gateway with index 1


def new_owner() -> Broker:
    """Returns the owner of a tenant with a bucket of 20 units that is hardly refilled."""
    return Broker(
        settings(
            gateway_count=MANY_GATEWAYS,
            peer_messages_per_s=1.0,
            gateway_index=1,
            plans=(plan(rate_per_s=0.001),),
        ),
        7,
        0,
    )


def test_owner_deducts_units_forwarded_without_answer() -> None:
    owner = new_owner()
    assert answer_to_request(owner, 0, 1.0, 0) is QuotaMessageKind.GRANT
    # 16 more units were forwarded without an answer while answers were lost. Of the 20 units, 1 + 16 are
    # used, so 3 are left.
    assert [answer_to_request(owner, i, 1.0, 4 * (17 + i)) for i in range(4)] == [
        QuotaMessageKind.GRANT
    ] * 3 + [QuotaMessageKind.DENY]


def test_grant_with_lost_answer_is_counted_once() -> None:
    owner = new_owner()
    assert all(
        answer_to_request(owner, i, 1.0, 0) is QuotaMessageKind.GRANT for i in range(10)
    )  # the answers are lost, and the gateway forwards the 10 units without them
    assert [answer_to_request(owner, 20 + i, 1.0, 4 * (10 + i)) for i in range(11)] == [
        QuotaMessageKind.GRANT
    ] * 10 + [QuotaMessageKind.DENY]


def test_unused_grant_returns_to_bucket() -> None:
    owner = new_owner()
    assert all(answer_to_request(owner, i, 1.0, 0) is QuotaMessageKind.GRANT for i in range(20))
    assert answer_to_request(owner, 30, 1.0, 0) is QuotaMessageKind.DENY
    assert answer_to_request(owner, 3 * SECOND, 1.0, 0) is QuotaMessageKind.GRANT


def test_decreased_total_means_restart() -> None:
    owner = new_owner()
    assert (
        answer_to_request(owner, 0, 1.0, 4000) is QuotaMessageKind.GRANT
    )  # the first report: earlier use does not concern this bucket
    assert (
        answer_to_request(owner, 1, 1.0, 4 * 2) is QuotaMessageKind.GRANT
    )  # after a restart 2 units were forwarded, of which one had been granted
    assert owner.quota.accounts[OWNED_TENANT].tokens == pytest.approx(20 - 1 - 1 - 1, abs=0.01)


def test_totals_wrap_at_their_modulus() -> None:
    owner = new_owner()
    assert answer_to_request(owner, 0, 1.0, 0xFFFC) is QuotaMessageKind.GRANT
    assert answer_to_request(owner, 1, 1.0, 4) is QuotaMessageKind.GRANT  # 2 units more
    assert owner.quota.accounts[OWNED_TENANT].tokens == pytest.approx(20 - 1 - 1 - 1, abs=0.01)


def test_owner_is_not_queried_for_known_denials() -> None:
    """Guards against queries that the owner's last answer already decides.

    With 40 gateways, owners of tenants far over their quota got more queries than a gateway accepts. They
    left half of them unanswered, including those of other tenants.
    """
    broker = Broker(
        settings(
            gateway_count=MANY_GATEWAYS,
            peer_messages_per_s=1.0,
            plans=(plan(rate_per_s=2.0, burst_units=4.0),),
        ),
        3,
        0,
    )
    tenant = OWNED_TENANT

    def send_request(request: int, now: int) -> list[Any]:
        return broker.handle(now, arrival(request, now, customer=tenant, gateway_span=3, first_gateway=0))

    first = send_request(1, SECOND)
    assert [type(a) for a in first if not isinstance(a, SetTimer)] == [SendToPeers]
    query = unpack_quota_message(next(a for a in first if isinstance(a, SendToPeers)).data)
    assert query is not None
    answer = pack_quota_message(QuotaMessage(QuotaMessageKind.DENY, tenant, 0, 0.0, query.query, 0))
    assert [
        type(a) for a in broker.handle(SECOND + 20 * MS, PeerMessage(OWNED_TENANT % MANY_GATEWAYS, answer))
    ] == [Reject]
    assert [type(a) for a in send_request(2, SECOND + 200 * MS)] == [Reject]  # at most 0.36 units
    assert [type(a) for a in send_request(3, SECOND + 600 * MS)] == [
        SendToPeers
    ]  # a unit may be available again


def _lowest_hard_limit_balance(pays_overage: bool) -> float:
    """Returns the lowest balance of a hard limit whose owner grants all it can and restarts every second."""
    limits = plan(
        rate_per_s=2.0,
        burst_units=4.0,
        overage_weight=float(pays_overage),
        overage_cost=0.5,
        hard_limit_per_s=6.0,
        hard_limit_burst_units=16.0,
        hard_limit_slack_units=2.0,
    )
    balance, lowest, at = 16.0, 16.0, 0
    for start_number in range(6):
        owner = Broker(
            settings(
                gateway_count=MANY_GATEWAYS,
                peer_messages_per_s=1.0,
                plans=(limits,),
                gateway_index=OWNED_TENANT,
            ),
            start_number,
            at,
        )
        for _ in range(50):
            at += 20 * MS
            balance = min(16.0, balance + 6.0 * 0.02)
            request = pack_quota_message(
                QuotaMessage(QuotaMessageKind.REQUEST, OWNED_TENANT, 0, 1.0, at // MS, 0)
            )
            messages = [a for a in owner.handle(at, PeerMessage(5, request)) if isinstance(a, SendToPeers)]
            answer = unpack_quota_message(messages[0].data)
            balance -= answer is not None and answer.kind == QuotaMessageKind.GRANT
            lowest = min(lowest, balance)
    return lowest


def test_repeatedly_restarted_owner_keeps_hard_limit() -> None:
    assert _lowest_hard_limit_balance(pays_overage=False) >= -2.0
    assert _lowest_hard_limit_balance(pays_overage=True) >= -2.0
    # The mutant treats grants beyond the quota as if they were within it.
    with patch.object(
        hard_limit,
        "unspent_units",
        lambda limits: 0.75 * limits.hard_limit_burst_units - limits.burst_units,
    ):
        assert _lowest_hard_limit_balance(pays_overage=True) < -2.0
