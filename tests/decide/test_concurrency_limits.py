"""Limits on open attempts hold over all gateways together: one home grants the places, and hears when they
are free again. Messages lie in a queue until a test delivers or loses them."""

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

OPEN_ONLY = plan(rate_per_s=0.0, burst_units=0.0, concurrency_limit=3)
FEW, MANY = 4, 200  # word of all to all, and homes
CUSTOMER = 2  # of which gateway 2 is the home


class Net:
    """Gateways, and the messages between them."""

    def __init__(self, gateways: int, **changes: Any) -> None:
        self.wire: list[tuple[int, int, bytes]] = []
        self.sent: dict[int, tuple[int, StartAttempt]] = {}  # by request: the gateway, the attempt
        self.refused: list[int] = []
        self.gateways: list[Broker] = []
        for number in range(gateways):
            made = Broker(
                settings(gateway_count=gateways, gateway_index=number, **{"plans": (OPEN_ONLY,), **changes}),
                number + 7,
                0,
            )
            self.gateways.append(made)
            self.give(0, number, full_list(*[backend(i) for i in range(1, 9)]))
        assert made.quota.uses_gossip is (gateways == FEW) and made.quota.has_owners is (gateways == MANY)

    def give(self, now: int, gateway: int, event: Event) -> None:
        self.play(gateway, self.gateways[gateway].handle(now, event))

    def play(self, gateway: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartAttempt):
                self.sent[action.request] = gateway, action
            elif isinstance(action, Reject):
                self.refused.append(action.request)
            elif isinstance(action, SendToPeers):
                to = range(len(self.gateways)) if action.recipient is None else [action.recipient]
                self.wire += [(gateway, each, action.data) for each in to if each != gateway]

    def deliver(self, now: int) -> None:
        while self.wire:
            sender, to, data = self.wire.pop(0)
            self.give(now, to, PeerMessage(sender, data))

    def come(self, now: int, gateway: int, request: int) -> None:
        spread = len(self.gateways)
        self.give(
            now, gateway, arrival(request, now, customer=CUSTOMER, gateway_span=spread, first_gateway=0)
        )

    def end(self, now: int, request: int) -> None:
        gateway, send = self.sent.pop(request)
        self.give(now, gateway, ended(request, send.backend))


def taken(gateways: int) -> Net:
    """Requests 1 to 3 of the customer have all its places, through gateway 1."""
    net = Net(gateways)
    for request in (1, 2, 3):
        net.come(0, 1, request)
    net.deliver(MS)
    assert len(net.sent) == 3
    return net


def flood(gateways: int) -> None:
    """More than the places come, by four gateways in turn; raises `AssertionError` where one too many is out,
    or where a place that is free again does not go to whoever asks first."""
    net, request = Net(gateways), 0
    for turn in range(40):
        now = turn * 10 * MS
        for step in range(FEW):
            request += 1
            net.come(now, (turn + step) % FEW, request)
            net.deliver(now + MS)
            assert len(net.sent) == 3 if turn else len(net.sent) <= 3
        assert len(net.sent) == 3
        net.end(now + 5 * MS, min(net.sent))
        net.deliver(now + 6 * MS)
    assert len(net.refused) + 40 + 2 == request


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_no_more_attempts_are_out_than_the_plan_allows_however_many_gateways_they_come_by(
    gateways: int,
) -> None:
    """Seen on the bench's calm days: each gateway let the rounded-up slice of the limit through, 6 of 2."""
    flood(gateways)


def _home_forgets() -> Any:
    """The home keeps no word of what is out elsewhere."""
    real = Quota.receive_quota_message

    def mutant(self: Quota, now: int, event: PeerMessage) -> Any:
        word = real(self, now, event)
        for account in self.accounts.values():
            account.peers_in_flight.clear()
        return word

    return patch.object(Quota, "receive_quota_message", mutant)


PLANTED: dict[str, Callable[[], Any]] = {
    "home-forgets": _home_forgets,
    "home-unasked": lambda: applied(in_all_sharings("is_local", lambda self, account: True)),
    "end-untold": lambda: patch.object(Quota, "release", lambda self, now, account: []),
    "none-told-as-out": lambda: patch.object(
        state, "QuotaMessage", lambda *told, in_flight: QuotaMessage(*told)
    ),
}


@pytest.mark.parametrize("breach", PLANTED)
@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_planted_breaches_of_the_places_are_convicted(gateways: int, breach: str) -> None:
    with PLANTED[breach](), pytest.raises(AssertionError):
        flood(gateways)


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_requests_that_come_together_at_many_gateways_share_the_places(gateways: int) -> None:
    net = Net(gateways)
    for gateway in range(FEW):
        net.come(0, gateway, 2 * gateway + 1)
        net.come(0, gateway, 2 * gateway + 2)
    net.deliver(MS)
    assert len(net.sent) == 3 and len(net.refused) == 5


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_a_place_granted_to_a_client_that_has_left_is_free_again(gateways: int) -> None:
    net = Net(gateways)
    for request in (1, 2, 3):
        net.come(0, 1, request)
        net.give(MS, 1, ClientDisconnected(request))
    net.deliver(2 * MS)
    assert not net.sent
    for request in (4, 5, 6):
        net.come(3 * MS, 3, request)
    net.deliver(4 * MS)
    assert sorted(net.sent) == [4, 5, 6] and not net.refused


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_the_next_word_puts_right_what_lost_messages_left_wrong(gateways: int) -> None:
    net = taken(gateways)
    for request in (1, 2, 3):
        net.end(2 * MS, request)
    net.wire.clear()  # that they are over is lost
    net.come(3 * MS, 3, 4)
    net.deliver(4 * MS)
    assert net.refused == [4]
    net.come(5 * MS, 1, 5)  # whoever had them asks again: nothing is out there
    net.deliver(6 * MS)
    net.come(7 * MS, 3, 6)
    net.deliver(8 * MS)
    assert sorted(net.sent) == [5, 6]


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_places_of_a_gateway_that_fell_silent_come_back(gateways: int) -> None:
    net = taken(gateways)
    net.come(UNRESPONSIVE_NS - MS, 3, 4)
    net.deliver(UNRESPONSIVE_NS - MS)
    assert net.refused == [4]
    net.come(UNRESPONSIVE_NS + 2 * MS, 3, 5)
    net.deliver(UNRESPONSIVE_NS + 2 * MS)
    assert 5 in net.sent


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_without_an_answer_a_gateway_decides_alone_and_soon(gateways: int) -> None:
    """All of a fleet that hears no home lets less through than one for each gateway, and not nothing."""
    net = Net(gateways)
    for gateway in range(gateways):
        net.come(0, gateway, gateway + 1)
    net.wire.clear()
    for gateway in range(gateways):
        net.give(2 * TICK, gateway, TimerFired(TICK_TIMER))
        assert not net.gateways[gateway].admission.queued
    answered = len(net.sent) + len(net.refused)
    assert answered == gateways and 0 < len(net.sent) <= gateways
    assert gateways == FEW or len(net.sent) <= gateways / 2


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_requests_with_no_time_for_an_answer_leave_no_place_taken_behind(gateways: int) -> None:
    net = Net(gateways)
    for request in range(1, 30):
        hurried = arrival(request, 0, customer=CUSTOMER, gateway_span=gateways, expires_at_ns=3 * TICK)
        net.give(0, 1, hurried)
        net.deliver(MS)
        if request in net.sent:
            net.end(2 * MS, request)
        net.deliver(3 * MS)
    for request in (31, 32, 33):
        net.come(4 * MS, 3, request)
        net.deliver(5 * MS)
        assert request in net.sent


@pytest.mark.parametrize("gateways", [FEW, MANY])
def test_a_customer_that_comes_by_one_gateway_has_all_its_places_there(gateways: int) -> None:
    """Without a rate its commitment was two, whatever the plan's limit."""
    net = Net(gateways, plans=(plan(rate_per_s=0.0, burst_units=0.0, concurrency_limit=7),))
    for request in range(1, 9):
        net.come(0, 1, request)
        net.deliver(MS)
    assert len(net.sent) == 7 and net.refused == [8]


def test_what_is_out_stands_beside_the_kind_and_old_word_reads_as_none_out() -> None:
    for out in (0, 1, MAX_IN_FLIGHT, MAX_IN_FLIGHT + 9):
        told = unpack_quota_message(
            pack_quota_message(QuotaMessage(QuotaMessageKind.RELEASED, 5, 0, 0.0, 1, 1, in_flight=out))
        )
        assert told is not None and (told.kind, told.in_flight) == (
            QuotaMessageKind.RELEASED,
            min(out, MAX_IN_FLIGHT),
        )
    plain = pack_quota_message(QuotaMessage(QuotaMessageKind.REQUEST, 5, 0, 1.0, 1, 1))
    assert plain[0] == QuotaMessageKind.REQUEST and is_quota_message(plain)


def test_a_plan_without_such_a_limit_asks_no_home_where_all_tell_all() -> None:
    net = Net(FEW, plans=(plan(),))
    net.come(SECOND, 1, 1)
    assert not net.wire and 1 in net.sent
