"""Tests that limits on attempts in flight hold over all gateways together.

One owner grants the attempts and is notified when they end. Messages are queued until a test delivers or
drops them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest

from trackspread.decide.broker import TICK_TIMER, Broker
from trackspread.decide.actions import Action, Reject, SendToPeers, StartAttempt
from trackspread.decide.events import ClientDisconnected, Event, PeerMessage, TimerFired
from trackspread.decide.peer_messages import (
    MAX_IN_FLIGHT,
    QuotaMessage,
    QuotaMessageKind,
    is_quota_message,
    pack_quota_message,
    unpack_quota_message,
)
from trackspread.decide.quota import UNRESPONSIVE_NS, Quota, state
from trackspread.testing.virtual.patches import applied, in_all_sharings
from trackspread.decide.time_units import TICK

from ..helpers import MS, SECOND, arrival, backend, ended, full_list, plan, settings

CONCURRENCY_LIMITED = plan(rate_per_s=0.0, burst_units=0.0, concurrency_limit=3)
FEW, MANY = 4, 200  # numbers of gateways with gossip among all, and with quota owners
TENANT = 2  # a tenant whose quota gateway 2 owns


class SimulatedFleet:
    """Simulates gateways and the messages between them."""

    def __init__(self, gateways: int, **changes: Any) -> None:
        self.undelivered: list[tuple[int, int, bytes]] = []
        self.sent: dict[int, tuple[int, StartAttempt]] = {}  # by request: the gateway and the attempt
        self.rejected: list[int] = []
        self.gateways: list[Broker] = []
        for number in range(gateways):
            broker = Broker(
                settings(
                    gateway_count=gateways,
                    gateway_index=number,
                    **{"plans": (CONCURRENCY_LIMITED,), **changes},
                ),
                number + 7,
                0,
            )
            self.gateways.append(broker)
            self.handle_event(0, number, full_list(*[backend(i) for i in range(1, 9)]))
        assert broker.quota.uses_gossip is (gateways == FEW) and broker.quota.has_owners is (gateways == MANY)

    def handle_event(self, now: int, gateway: int, event: Event) -> None:
        self.apply(gateway, self.gateways[gateway].handle(now, event))

    def apply(self, gateway: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartAttempt):
                self.sent[action.request] = gateway, action
            elif isinstance(action, Reject):
                self.rejected.append(action.request)
            elif isinstance(action, SendToPeers):
                to = range(len(self.gateways)) if action.recipient is None else [action.recipient]
                self.undelivered += [(gateway, each, action.data) for each in to if each != gateway]

    def deliver(self, now: int) -> None:
        while self.undelivered:
            sender, to, data = self.undelivered.pop(0)
            self.handle_event(now, to, PeerMessage(sender, data))

    def send_request(self, now: int, gateway: int, request: int) -> None:
        gateway_span = len(self.gateways)
        self.handle_event(
            now, gateway, arrival(request, now, customer=TENANT, gateway_span=gateway_span, first_gateway=0)
        )

    def end_attempt(self, now: int, request: int) -> None:
        gateway, attempt = self.sent.pop(request)
        self.handle_event(now, gateway, ended(request, attempt.backend))


def fleet_at_limit(gateways: int) -> SimulatedFleet:
    """Returns a fleet in which requests 1 to 3, through gateway 1, use up the tenant's limit."""
    fleet = SimulatedFleet(gateways)
    for request in (1, 2, 3):
        fleet.send_request(0, 1, request)
    fleet.deliver(MS)
    assert len(fleet.sent) == 3
    return fleet


def flood(gateways: int) -> None:
    """Sends more requests than the limit allows, through four gateways in turn.

    Raises `AssertionError` if one attempt too many is in flight, or if an attempt that has ended is not
    granted to the next request.
    """
    fleet, request = SimulatedFleet(gateways), 0
    for turn in range(40):
        now = turn * 10 * MS
        for step in range(FEW):
            request += 1
            fleet.send_request(now, (turn + step) % FEW, request)
            fleet.deliver(now + MS)
            assert len(fleet.sent) == 3 if turn else len(fleet.sent) <= 3
        assert len(fleet.sent) == 3
        fleet.end_attempt(now + 5 * MS, min(fleet.sent))
        fleet.deliver(now + 6 * MS)
    assert len(fleet.rejected) + 40 + 2 == request


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_concurrency_limit_holds_over_all_gateways(
    gateways: int,
) -> None:
    """Guards against limits that are rounded up at each gateway.

    Each gateway applied its rounded-up share of the limit, which allowed 6 attempts in flight instead of 2.
    """
    flood(gateways)


def _owner_forgets_reports() -> Any:
    """Makes the owner drop the reports of attempts at other gateways."""
    real = Quota.receive_quota_message

    def mutant(self: Quota, now: int, event: PeerMessage) -> Any:
        answer = real(self, now, event)
        for account in self.accounts.values():
            account.peers_in_flight.clear()
        return answer

    return patch.object(Quota, "receive_quota_message", mutant)


MUTANTS: dict[str, Callable[[], Any]] = {
    "owner-forgets-reports": _owner_forgets_reports,
    "owner-not-asked": lambda: applied(in_all_sharings("is_local", lambda self, account: True)),
    "end-not-reported": lambda: patch.object(Quota, "release", lambda self, now, account: []),
    "in-flight-not-reported": lambda: patch.object(
        state, "QuotaMessage", lambda *fields, in_flight: QuotaMessage(*fields)
    ),
}


@pytest.mark.parametrize("mutant_name", MUTANTS)
@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_mutants_of_concurrency_limits_are_detected(gateways: int, mutant_name: str) -> None:
    with MUTANTS[mutant_name](), pytest.raises(AssertionError):
        flood(gateways)


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_simultaneous_requests_share_concurrency_limit(gateways: int) -> None:
    fleet = SimulatedFleet(gateways)
    for gateway in range(FEW):
        fleet.send_request(0, gateway, 2 * gateway + 1)
        fleet.send_request(0, gateway, 2 * gateway + 2)
    fleet.deliver(MS)
    assert len(fleet.sent) == 3 and len(fleet.rejected) == 5


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_attempt_granted_to_disconnected_client_is_released(gateways: int) -> None:
    fleet = SimulatedFleet(gateways)
    for request in (1, 2, 3):
        fleet.send_request(0, 1, request)
        fleet.handle_event(MS, 1, ClientDisconnected(request))
    fleet.deliver(2 * MS)
    assert not fleet.sent
    for request in (4, 5, 6):
        fleet.send_request(3 * MS, 3, request)
    fleet.deliver(4 * MS)
    assert sorted(fleet.sent) == [4, 5, 6] and not fleet.rejected


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_next_message_corrects_lost_releases(gateways: int) -> None:
    fleet = fleet_at_limit(gateways)
    for request in (1, 2, 3):
        fleet.end_attempt(2 * MS, request)
    fleet.undelivered.clear()  # the notifications of their end are lost
    fleet.send_request(3 * MS, 3, 4)
    fleet.deliver(4 * MS)
    assert fleet.rejected == [4]
    # The gateway of the ended attempts asks again, which reports that none is in flight there.
    fleet.send_request(5 * MS, 1, 5)
    fleet.deliver(6 * MS)
    fleet.send_request(7 * MS, 3, 6)
    fleet.deliver(8 * MS)
    assert sorted(fleet.sent) == [5, 6]


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_attempts_of_unresponsive_gateway_are_released(gateways: int) -> None:
    fleet = fleet_at_limit(gateways)
    fleet.send_request(UNRESPONSIVE_NS - MS, 3, 4)
    fleet.deliver(UNRESPONSIVE_NS - MS)
    assert fleet.rejected == [4]
    fleet.send_request(UNRESPONSIVE_NS + 2 * MS, 3, 5)
    fleet.deliver(UNRESPONSIVE_NS + 2 * MS)
    assert 5 in fleet.sent


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_gateway_decides_alone_after_answer_timeout(gateways: int) -> None:
    """Guards against waiting for an unreachable owner, and against deciding too freely without one.

    A fleet without contact to the owner admits some requests, but fewer than one for each gateway.
    """
    fleet = SimulatedFleet(gateways)
    for gateway in range(gateways):
        fleet.send_request(0, gateway, gateway + 1)
    fleet.undelivered.clear()
    for gateway in range(gateways):
        fleet.handle_event(2 * TICK, gateway, TimerFired(TICK_TIMER))
        assert not fleet.gateways[gateway].admission.queued
    answered = len(fleet.sent) + len(fleet.rejected)
    assert answered == gateways and 0 < len(fleet.sent) <= gateways
    assert gateways == FEW or len(fleet.sent) <= gateways / 2


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_requests_without_time_for_query_leak_no_attempts(gateways: int) -> None:
    fleet = SimulatedFleet(gateways)
    for request in range(1, 30):
        arrival_near_deadline = arrival(
            request, 0, customer=TENANT, gateway_span=gateways, expires_at_ns=3 * TICK
        )
        fleet.handle_event(0, 1, arrival_near_deadline)
        fleet.deliver(MS)
        if request in fleet.sent:
            fleet.end_attempt(2 * MS, request)
        fleet.deliver(3 * MS)
    for request in (31, 32, 33):
        fleet.send_request(4 * MS, 3, request)
        fleet.deliver(5 * MS)
        assert request in fleet.sent


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_tenant_at_one_gateway_gets_its_full_limit(gateways: int) -> None:
    """Guards against a cap of two for plans that have no rate, whatever their concurrency limit."""
    fleet = SimulatedFleet(gateways, plans=(plan(rate_per_s=0.0, burst_units=0.0, concurrency_limit=7),))
    for request in range(1, 9):
        fleet.send_request(0, 1, request)
        fleet.deliver(MS)
    assert len(fleet.sent) == 7 and fleet.rejected == [8]


def test_quota_message_encodes_attempts_beside_kind() -> None:
    for in_flight in (0, 1, MAX_IN_FLIGHT, MAX_IN_FLIGHT + 9):
        message = unpack_quota_message(
            pack_quota_message(QuotaMessage(QuotaMessageKind.RELEASED, 5, 0, 0.0, 1, 1, in_flight=in_flight))
        )
        assert message is not None and (message.kind, message.in_flight) == (
            QuotaMessageKind.RELEASED,
            min(in_flight, MAX_IN_FLIGHT),
        )
    packed = pack_quota_message(QuotaMessage(QuotaMessageKind.REQUEST, 5, 0, 1.0, 1, 1))
    assert packed[0] == QuotaMessageKind.REQUEST and is_quota_message(packed)


def test_gossip_needs_no_owner_without_concurrency_limit() -> None:
    fleet = SimulatedFleet(FEW, plans=(plan(),))
    fleet.send_request(SECOND, 1, 1)
    assert not fleet.undelivered and 1 in fleet.sent
