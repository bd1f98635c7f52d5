"""Tests what a gateway reports to a tenant's owner of granted requests that take long to arrive."""

from __future__ import annotations

from collections.abc import Sequence

from trackspread.decide.actions import Action, SendToPeers, StartAttempt
from trackspread.decide.broker import TICK_TIMER, Broker
from trackspread.decide.events import PeerMessage, TimerFired
from trackspread.decide.peer_messages import (
    QuotaMessage,
    QuotaMessageKind,
    pack_quota_message,
    unpack_quota_message,
)
from trackspread.decide.quota.granted_requests import REPORT_INTERVAL_NS
from trackspread.decide.quota.hard_limit import OWNER_PART
from trackspread.decide.snapshot import AttemptElsewhere
from trackspread.decide.snapshot_restore import count_attempt_elsewhere
from trackspread.decide.time_units import TICK

from ..helpers import SECOND, arrival, backend, ended, full_list, plan, settings

GATEWAYS = 200  # too many to gossip
OWNER = 1  # of tenant 1, and of tenants 201, 401, ...
START_NS = SECOND
BURST = 20.0
LIMITED = plan(hard_limit_per_s=10.0, hard_limit_burst_units=BURST, hard_limit_slack_units=2.0)


def gateway() -> Broker:
    """Returns a gateway that asks another one for the units of the tenants below."""
    broker = Broker(settings(plans=(LIMITED,), gateway_count=GATEWAYS), 1, 0)
    broker.handle(0, full_list(*(backend(number) for number in range(1, 5))))
    return broker


def messages(actions: Sequence[Action], kind: QuotaMessageKind) -> list[QuotaMessage]:
    """Returns the messages of this kind to the owner."""
    sent = [unpack_quota_message(each.data) for each in actions if isinstance(each, SendToPeers)]
    return [message for message in sent if message is not None and message.kind == kind]


def start_granted(broker: Broker, request: int, tenant: int = 1) -> StartAttempt:
    """Starts a request that the owner grants."""
    asked = broker.handle(START_NS, arrival(request, START_NS, customer=tenant))
    (query,) = messages(asked, QuotaMessageKind.REQUEST)
    answer = query._replace(kind=QuotaMessageKind.GRANT, units=5.0)
    (started,) = broker.handle(START_NS, PeerMessage(OWNER, pack_quota_message(answer)))
    assert isinstance(started, StartAttempt)
    return started


def reported(broker: Broker, now: int) -> list[tuple[int, float]]:
    """Returns tenants and units that the gateway reports at a tick."""
    sent = messages(broker.handle(now, TimerFired(TICK_TIMER)), QuotaMessageKind.IN_TRANSIT)
    return [(message.tenant, message.units) for message in sent]


def test_request_that_arrives_promptly_causes_no_report() -> None:
    """Guards against messages to owners for each request of a calm day."""
    broker = gateway()
    attempt = start_granted(broker, 1)
    broker.handle(START_NS + TICK // 2, ended(1, attempt.backend))
    assert reported(broker, START_NS + TICK) == []


def test_late_units_are_reported_until_they_have_arrived() -> None:
    """Guards against an owner that refills units in transit, or that withholds them afterwards."""
    broker = gateway()
    attempts = [start_granted(broker, number) for number in (1, 2)]
    now = START_NS + TICK
    assert reported(broker, now) == [(1, 2.0)]
    assert reported(broker, now + TICK) == [], "nothing has changed"
    now += REPORT_INTERVAL_NS
    assert reported(broker, now) == [(1, 2.0)], "a report may be lost"
    broker.handle(now, ended(1, attempts[0].backend))
    assert reported(broker, now + TICK) == [(1, 1.0)]
    broker.handle(now + TICK, ended(2, attempts[1].backend))
    assert reported(broker, now + 2 * TICK) == [(1, 0.0)]
    assert reported(broker, now + 2 * REPORT_INTERVAL_NS) == []


def test_attempts_of_the_process_before_are_reported() -> None:
    """Guards against an upgrade after which the owner no longer knows what is in transit."""
    broker = gateway()
    count_attempt_elsewhere(broker, ("read",), AttemptElsewhere(9, 0, 1, "read", "p", 1, 1.0))
    assert reported(broker, START_NS) == [(1, 1.0)]
    broker.handle(START_NS, ended(9, 1))
    assert reported(broker, START_NS + TICK) == [(1, 0.0)]


def test_reports_of_many_tenants_take_turns() -> None:
    """Guards against reports that use up what other gateways accept, or that starve a tenant."""
    broker = gateway()
    tenants = [1 + GATEWAYS * number for number in range(4)]
    for number, tenant in enumerate(tenants, start=1):
        start_granted(broker, number, tenant)
    reports = [reported(broker, START_NS + ticks * TICK) for ticks in range(1, 5)]
    assert [len(each) for each in reports] == [1, 1, 1, 1]
    assert sorted(tenant for each in reports for tenant, _ in each) == tenants


def test_owner_has_no_room_for_reported_units_until_they_arrive() -> None:
    """Guards against a hard limit whose owner refills units of requests that other gateways have sent."""
    owner = Broker(settings(plans=(LIMITED,), gateway_count=GATEWAYS, gateway_index=OWNER), 1, 0)
    owner.handle(0, full_list(backend(1)))

    def report(now: int, units: float) -> float:
        message = QuotaMessage(QuotaMessageKind.IN_TRANSIT, 1, 0, units, 0, 10)
        owner.handle(now, PeerMessage(0, pack_quota_message(message)))
        return owner.quota.accounts[1].hard_limit_tokens

    report(0, 6.0)
    full_units = BURST * OWNER_PART
    assert report(5 * SECOND // 2, 6.0) == full_units - 6.0
    assert report(5 * SECOND, 0.0) == full_units - 6.0
    assert report(10 * SECOND, 0.0) == full_units
