"""Tests that a tenant is refunded units of requests that never reached a backend."""

from __future__ import annotations

from typing import Any

import pytest

from trackspread.decide.broker import Broker
from trackspread.decide.quota_admission import ANSWER_TIMEOUT_NS
from trackspread.decide.actions import Reject, SendToPeers, StartAttempt
from trackspread.decide.events import ClientDisconnected, Outcome, PeerMessage
from trackspread.decide.peer_messages import (
    QuotaMessage,
    QuotaMessageKind,
    pack_quota_message,
    unpack_quota_message,
)
from trackspread.testing.standins.settings import plan_settings

from ..fakes import call, host, listing, run, served, until, world
from ..helpers import MS, SECOND, UNSAFE, arrival, backend, ended, full_list, plan, settings

# A bucket for one request that takes long to refill.
ONE_REQUEST = plan(rate_per_s=0.001, burst_units=1.0, overage_cost=8.0)
NOT_REACHED = [Outcome.CONNECT_FAILED, Outcome.NOT_SENT]


def new_broker(**changes: Any) -> Broker:
    broker = Broker(settings(plans=(ONE_REQUEST,), max_attempts=1, **changes), 7, 0)
    broker.handle(0, full_list(*[backend(number) for number in range(1, 100)]))
    return broker


def sent(broker: Broker, number: int, now: int, **changes: Any) -> int:
    """Returns the backend that the request was sent to, or 0 if it was not sent."""
    actions = broker.handle(now, arrival(number, now, cls=UNSAFE, **changes))
    return next((action.backend for action in actions if isinstance(action, StartAttempt)), 0)


# Settings, the tenant's gateways, and the number of requests that a bucket of one request allows. A gateway
# without any information about others has a static share, which is initially drawn at random, and may
# overdraw it by one request.
SHARING_CASES = [
    ({"gateway_count": 2}, 1, 1),
    ({"gateway_count": 1}, 1, 1),
    ({"gateway_count": 3, "may_gossip": False}, 3, 2),
]


@pytest.mark.parametrize("outcome", NOT_REACHED)
@pytest.mark.parametrize(("sharing", "gateway_span", "max_admitted"), SHARING_CASES)
def test_request_that_reached_no_backend_uses_no_units(
    sharing: dict[str, Any], gateway_span: int, max_admitted: int, outcome: Outcome
) -> None:
    broker = new_broker(**sharing)
    attempts = 0
    for n in range(60):
        if backend_id := sent(broker, n, n * MS, gateway_span=gateway_span):
            attempts += 1
            broker.handle(n * MS, ended(n, backend_id, outcome))
    assert attempts >= 10
    # Requests that reached a backend use their units, whatever it answers.
    reached = 0
    for n in range(100, 300):
        if backend_id := sent(broker, n, n * MS, gateway_span=gateway_span):
            reached += 1
            broker.handle(n * MS, ended(n, backend_id, Outcome.REJECTED))
    assert 1 <= reached <= max_admitted


def test_disconnect_before_sending_uses_no_units() -> None:
    broker = new_broker()
    assert sent(broker, 1, 0, gateway_span=1)
    broker.handle(MS, ClientDisconnected(1))
    broker.handle(MS, ended(1, 1, Outcome.NOT_SENT, finished=True))
    assert sent(broker, 2, 2 * MS, gateway_span=1)


def test_request_without_backend_uses_no_units() -> None:
    broker = Broker(settings(plans=(ONE_REQUEST,)), 7, 0)
    assert not sent(broker, 1, 0, gateway_span=1)
    broker.handle(0, full_list(backend(1)))
    assert sent(broker, 2, MS, gateway_span=1)


def test_reported_totals_count_only_units_at_backends() -> None:
    """Guards against a total that decreases, which peers would take for a restart of the gateway."""
    broker = new_broker()
    totals = []
    for n, outcome in enumerate(
        [Outcome.OK, Outcome.CONNECT_FAILED, Outcome.OK, Outcome.NOT_SENT, Outcome.OK]
    ):
        now = n * 2_000 * SECOND
        assert sent(broker, n, now, gateway_span=1)
        broker.handle(now, ended(n, 1, outcome))
        totals.append(broker.quota.accounts[1].forwarded_quarter_units)
    assert totals == sorted(totals) and totals[-1] == 4 * 3


def test_grant_that_reached_no_backend_is_not_reported() -> None:
    """The owner returns a grant that was not used, and the gateway sets the units against later use."""
    many_gateways = settings(plans=(ONE_REQUEST,), gateway_count=40, peer_messages_per_s=1.0, max_attempts=1)
    broker = Broker(many_gateways, 7, 0)
    broker.handle(0, full_list(backend(1)))
    tenant = next(c for c in range(1, 99) if c % 40 != 0)
    for n, outcome in enumerate([Outcome.CONNECT_FAILED, Outcome.OK]):
        now = n * SECOND
        queries = [
            a
            for a in broker.handle(now, arrival(n, now, UNSAFE, tenant, gateway_span=40))
            if isinstance(a, SendToPeers)
        ]
        if not queries:
            assert (
                broker.handle(
                    now + ANSWER_TIMEOUT_NS,
                    arrival(100 + n, now + ANSWER_TIMEOUT_NS, UNSAFE, tenant, gateway_span=40),
                )
                is not None
            )
        query = unpack_quota_message(queries[0].data)
        assert query is not None
        grant = QuotaMessage(QuotaMessageKind.GRANT, tenant, 0, 1.0, query.query, 0)
        actions = broker.handle(now + MS, PeerMessage(queries[0].recipient or 0, pack_quota_message(grant)))
        assert any(isinstance(action, StartAttempt) for action in actions)
        broker.handle(now + 2 * MS, ended(n, 1, outcome))
    assert broker.quota.accounts[tenant].forwarded_quarter_units == 4


def test_refused_connection_uses_no_units_over_sockets() -> None:
    async def test() -> None:
        async with world(packages=[plan_settings("team", 0.001, 1.0)]) as w:
            (first,) = w.node.backends.known_backends()
            w.agent.tell(listing(2, host("s-1", 1)))  # nothing listens at this port
            await until(lambda: w.node.backends._pools[first].address[1] == 1)
            client = await w.client()
            client.send(through_one_gateway(call(number=1)))
            assert str(await client.next()).startswith("BUSY")
            w.agent.tell(listing(3, host("s-2", w.backend.port)))
            await until(
                lambda: (
                    w.node.backends.has_available_backend() and w.node.backends.known_backends() != [first]
                )
            )
            client.send(through_one_gateway(call(number=2)))
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            assert await client.next() == b"v"
            client.send(through_one_gateway(call(number=3)))
            assert str(await client.next()).startswith("BUSY") and w.backend.commands.empty()

    run(test)


def through_one_gateway(command: bytes) -> bytes:
    """Changes the command to name one gateway only, so that the whole bucket is here."""
    return command.replace(b"spread=2", b"spread=1")


def test_request_that_reached_no_backend_is_rejected() -> None:
    broker = new_broker()
    assert sent(broker, 1, 0, gateway_span=1)
    assert any(isinstance(a, Reject) for a in broker.handle(MS, ended(1, 1, Outcome.CONNECT_FAILED)))
