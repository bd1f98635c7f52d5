"""Units of what never came to a backend are the customer's still: nothing was sent on, so nothing is used."""

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

# A store for one request, which takes long to fill.
ONE = plan(rate_per_s=0.001, burst_units=1.0, overage_cost=8.0)
NEVER = [Outcome.CONNECT_FAILED, Outcome.NOT_SENT]


def gateway(**changes: Any) -> Broker:
    made = Broker(settings(plans=(ONE,), max_attempts=1, **changes), 7, 0)
    made.handle(0, full_list(*[backend(number) for number in range(1, 100)]))
    return made


def sent(gateway: Broker, number: int, now: int, **changes: Any) -> int:
    """The backend it was sent to; 0 for none."""
    actions = gateway.handle(now, arrival(number, now, cls=UNSAFE, **changes))
    return next((action.backend for action in actions if isinstance(action, StartAttempt)), 0)


# What a gateway may let through of one request's store: the store, or where none is ever heard a slice, whose
# first part is drawn by lot, and one request by chance.
WAYS = [
    ({"gateway_count": 2}, 1, 1),
    ({"gateway_count": 1}, 1, 1),
    ({"gateway_count": 3, "may_gossip": False}, 3, 2),
]


@pytest.mark.parametrize("outcome", NEVER)
@pytest.mark.parametrize(("way", "spread", "most"), WAYS)
def test_a_request_whose_attempts_never_came_to_a_backend_uses_no_units(
    way: dict[str, Any], spread: int, most: int, outcome: Outcome
) -> None:
    g = gateway(**way)
    sends = 0
    for n in range(60):
        if to := sent(g, n, n * MS, gateway_span=spread):
            sends += 1
            g.handle(n * MS, ended(n, to, outcome))
    assert sends >= 10
    # Those that came to a backend use them, whatever it then says.
    came = 0
    for n in range(100, 300):
        if to := sent(g, n, n * MS, gateway_span=spread):
            came += 1
            g.handle(n * MS, ended(n, to, Outcome.REJECTED))
    assert 1 <= came <= most


def test_a_client_that_left_before_anything_was_written_uses_no_units() -> None:
    g = gateway()
    assert sent(g, 1, 0, gateway_span=1)
    g.handle(MS, ClientDisconnected(1))
    g.handle(MS, ended(1, 1, Outcome.NOT_SENT, finished=True))
    assert sent(g, 2, 2 * MS, gateway_span=1)


def test_a_request_for_which_there_is_no_backend_uses_no_units() -> None:
    g = Broker(settings(plans=(ONE,)), 7, 0)
    assert not sent(g, 1, 0, gateway_span=1)
    g.handle(0, full_list(backend(1)))
    assert sent(g, 2, MS, gateway_span=1)


def test_what_peers_are_told_counts_only_what_came_to_a_backend() -> None:
    """A total that went back would be taken for a gateway that has begun anew."""
    g = gateway()
    told = []
    for n, outcome in enumerate(
        [Outcome.OK, Outcome.CONNECT_FAILED, Outcome.OK, Outcome.NOT_SENT, Outcome.OK]
    ):
        now = n * 2_000 * SECOND
        assert sent(g, n, now, gateway_span=1)
        g.handle(now, ended(n, 1, outcome))
        told.append(g.quota.accounts[1].forwarded_quarter_units)
    assert told == sorted(told) and told[-1] == 4 * 3


def test_an_asker_whose_grant_never_came_to_a_backend_is_not_counted_by_the_home_for_it() -> None:
    """The home puts back what was granted and not taken; its asker tells of less with what it takes next."""
    many = settings(plans=(ONE,), gateway_count=40, peer_messages_per_s=1.0, max_attempts=1)
    g = Broker(many, 7, 0)
    g.handle(0, full_list(backend(1)))
    customer = next(c for c in range(1, 99) if c % 40 != 0)
    for n, outcome in enumerate([Outcome.CONNECT_FAILED, Outcome.OK]):
        now = n * SECOND
        asks = [
            a
            for a in g.handle(now, arrival(n, now, UNSAFE, customer, gateway_span=40))
            if isinstance(a, SendToPeers)
        ]
        if not asks:
            assert (
                g.handle(
                    now + ANSWER_TIMEOUT_NS,
                    arrival(100 + n, now + ANSWER_TIMEOUT_NS, UNSAFE, customer, gateway_span=40),
                )
                is not None
            )
        draw = unpack_quota_message(asks[0].data)
        assert draw is not None
        grant = QuotaMessage(QuotaMessageKind.GRANT, customer, 0, 1.0, draw.query, 0)
        actions = g.handle(now + MS, PeerMessage(asks[0].recipient or 0, pack_quota_message(grant)))
        assert any(isinstance(action, StartAttempt) for action in actions)
        g.handle(now + 2 * MS, ended(n, 1, outcome))
    assert g.quota.accounts[customer].forwarded_quarter_units == 4


def test_over_sockets_a_refused_connect_leaves_the_quota_as_it_was() -> None:
    async def test() -> None:
        async with world(packages=[plan_settings("team", 0.001, 1.0)]) as w:
            (first,) = w.node.backends.known_backends()
            w.agent.tell(listing(2, host("s-1", 1)))  # where nobody listens
            await until(lambda: w.node.backends._pools[first].address[1] == 1)
            client = await w.client()
            client.send(one_gateway(call(number=1)))
            assert str(await client.next()).startswith("BUSY")
            w.agent.tell(listing(3, host("s-2", w.backend.port)))
            await until(
                lambda: (
                    w.node.backends.has_available_backend() and w.node.backends.known_backends() != [first]
                )
            )
            client.send(one_gateway(call(number=2)))
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            assert await client.next() == b"v"
            client.send(one_gateway(call(number=3)))
            assert str(await client.next()).startswith("BUSY") and w.backend.commands.empty()

    run(test)


def one_gateway(command: bytes) -> bytes:
    """All of the customer's requests come here: the store is whole."""
    return command.replace(b"spread=2", b"spread=1")


def test_refusals_of_such_requests_are_refusals() -> None:
    g = gateway()
    assert sent(g, 1, 0, gateway_span=1)
    assert any(isinstance(a, Reject) for a in g.handle(MS, ended(1, 1, Outcome.CONNECT_FAILED)))
