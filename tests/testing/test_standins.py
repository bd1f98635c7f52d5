"""Tests the stand-ins' models: rating nodes, client populations and the backend list."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest
import uvloop

from trackspread.config.addresses import Address
from trackspread.testing.judge.judge import judge
from trackspread.testing.judge.ledger import ReplyReceived, ConnectionLost, Ledger
from trackspread.simulator.wire import parse_settings
from trackspread.config.platform import flatten
from trackspread.testing.standins.backend_list import BackendList, ListedBackend
from trackspread.testing.standins.discovery_agent import DiscoveryAgent
from trackspread.testing.standins.clients import Clients
from trackspread.testing.standins.loopback import RESERVED_PORTS, Ports, own_address
from trackspread.testing.standins.rating_node import (
    SECOND,
    NodeSpec,
    IdempotencyCache,
    RatingNode,
    request_work_ns,
)
from trackspread.testing.standins.scenario import MILLISECOND, Scenario


def node(slow_start: bool = False, **changes: object) -> RatingNode:
    spec = NodeSpec("s", **changes)  # type: ignore[arg-type]
    return RatingNode(spec, IdempotencyCache(), 0, slow_start, 3 * SECOND, 3.0)


def test_two_cores_run_in_parallel_and_third_request_waits() -> None:
    n = node()
    done = [taken.done_at for i in range(3) if (taken := n.accept(0, f"r{i}", 100)) is not None]
    assert done == [100, 100, 200]
    assert n.accept(150, "r3", 100).done_at == 250  # type: ignore[union-attr]


def test_full_node_rejects_and_accepts_again_later() -> None:
    n = node(max_in_flight=2)
    assert [n.accept(0, f"r{i}", 100) is None for i in range(3)] == [False, False, True]
    assert n.accept(101, "r3", 100) is not None
    n.draining = True
    assert n.accept(300, "r4", 100) is None


def test_node_that_warms_up_is_slow_and_crashes_overloaded() -> None:
    n = node(slow_start=True, initial_capacity=0.25, warm_up_ns=10 * SECOND)
    assert n.accept(0, "r", 100).done_at == 400  # type: ignore[union-attr]
    assert n.capacity_share(5 * SECOND) == pytest.approx(0.625) and n.capacity_share(10 * SECOND) == 1.0
    overload_work_ns = 2 * 0.25 * 3 * SECOND * 3  # cores, capacity, window, multiple
    calm, flooded = (
        node(slow_start=True, initial_capacity=0.25, warm_up_ns=10**6 * SECOND) for _ in range(2)
    )
    for i in range(10):
        calm.accept(i * SECOND, f"r{i}", int(overload_work_ns / 3.5))
        flooded.accept(i, f"r{i}", int(overload_work_ns / 3.5))
    assert not calm.crashed and flooded.crashed
    assert flooded.accept(20, "more", 1) is None


def test_cell_deduplicates_while_it_caches_the_key() -> None:
    cache = IdempotencyCache()
    a, b = (RatingNode(NodeSpec(name), cache, 0, False, SECOND, 3.0) for name in "ab")
    first = a.accept(0, "r1", 100, "key", 1000)
    again = b.accept(50, "r1", 100, "key", 1000)
    later = b.accept(2000, "r1", 100, "key", 1000)
    assert first and again and later
    assert (again.is_repeat, again.value) == (True, first.value) and again.done_at >= first.done_at
    assert not later.is_repeat and later.value != first.value


def test_work_is_reproducible_and_has_the_given_mean() -> None:
    assert request_work_ns(1, "r", 1000) == request_work_ns(1, "r", 1000) != request_work_ns(2, "r", 1000)
    drawn = [request_work_ns(1, str(i), 10**6) for i in range(4000)]
    assert sum(drawn) / len(drawn) == pytest.approx(10**6, rel=0.03)


def test_population_is_reproducible_and_has_the_scenarios_load() -> None:
    scenario = Scenario(load=0.5)
    one, two = scenario.population(), scenario.population()
    assert [(one.next_pause_ns(), one.next_request()) for _ in range(200)] == [
        (two.next_pause_ns(), two.next_request()) for _ in range(200)
    ]
    mean = sum(c.share * c.work_ns for c in scenario.classes) / SECOND
    asked = sum(c.requests_per_s for c in one.tenants) * mean / (scenario.nodes * 2)
    assert 0.5 <= asked < 0.7
    assert one.move(1.0) == len(one.tenants)


def test_clients_retry_only_if_that_is_safe() -> None:
    population = Scenario(behavior=Scenario().behavior).population()
    seen: dict[tuple[str, str], set[bool]] = {}
    for _ in range(600):
        want = population.next_request()
        for kind in ("refused", "failed", "cut"):
            again = population.retry(want, kind, 200)
            seen.setdefault((want.cls, kind), set()).add(again is not None)
            if again is not None:
                assert again[1].origin == want.origin and again[1].key == want.key
                assert population.request_id(again[1]) != population.request_id(want)
    assert all(True in seen[cls, "refused"] for cls in ("rate-lookup", "usage-submit", "charge-post"))
    assert seen["charge-post", "failed"] == seen["usage-submit", "cut"] == {False}
    assert seen["rate-lookup", "failed"] == {True}


def test_most_clients_wait_as_retry_after_says() -> None:
    population = Scenario().population()
    waits = [
        again[0]
        for _ in range(400)
        if (again := population.retry(population.next_request(), "refused", 900)) is not None
    ]
    complied = sum(wait >= 900 * MILLISECOND for wait in waits)
    assert 0.7 < complied / len(waits) < 0.9


def test_gateway_reads_the_settings_of_a_scenario() -> None:
    settings = parse_settings("\n".join(flatten(Scenario().settings(1))))
    assert settings.gateway_index == 1 and settings.gateway_count == 3 and settings.may_gossip
    assert [c.name for c in settings.classes] == [c.name for c in Scenario().classes]


def entry(host: str, health: str = "in_service", port: int = 1) -> ListedBackend:
    dial: Address = ("127.0.0.1", port)
    return ListedBackend(host, (dial,), "a", "m1", 0, health, 0)


def test_backend_list_returns_changes_or_complete_list() -> None:
    listed = BackendList()
    DiscoveryAgent(listed, 0, Ledger())
    listed.subscribers.clear()  # no watch is open
    listed.put(entry("x"))
    listed.put(entry("y"))
    at = listed.version
    listed.put(entry("x", "terminating"))
    listed.put(entry("y", "terminated"))
    changes = listed.changes_since(0, at)
    assert not changes["whole"] and changes["seq"] == listed.version
    assert {h["host"]: h["health"] for h in changes["hosts"]} == {"x": "terminating", "y": "terminated"}
    assert listed.changes_since(0, listed.version)["hosts"] == []
    assert listed.changes_since(0, 99)["whole"] and [h["host"] for h in listed.snapshot(0)["hosts"]] == ["x"]


def test_ports_are_reserved_once_at_a_separate_address() -> None:
    ports = Ports()
    given = [ports.tcp() for _ in range(50)] + [ports.udp() for _ in range(50)]
    reserved = own_address(RESERVED_PORTS)
    assert {host for host, _ in given} == {reserved} and reserved != own_address()
    assert len(set(given[:50])) == 50 == len(set(given[50:]))


def test_request_on_closing_idle_connection_is_recorded_as_unreachable() -> None:
    """Guards against a false violation when all gateways get SIGTERM at once.

    A request meets the end of an idle connection: no gateway has read it, and none is left to accept it.
    """
    scenario, ledger, ports = Scenario(gateways=1, nodes=3, seed=2), Ledger(), Ports()
    address = ports.tcp()

    class Gateway(asyncio.Protocol):
        """Serves one request and reads no further data before it closes the connection."""

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = cast(asyncio.Transport, transport)

        def data_received(self, data: bytes) -> None:
            self.transport.write(b"$1\r\nv\r\n")
            self.transport.pause_reading()

    async def test() -> None:
        loop, made = asyncio.get_running_loop(), list[Gateway]()

        def accept() -> Gateway:
            made.append(Gateway())
            return made[-1]

        server = await loop.create_server(accept, *address)
        clients = Clients(scenario, scenario.population(), ledger, [address])

        async def ended(count: int) -> None:
            while sum(isinstance(e, ReplyReceived | ConnectionLost) for e in ledger.entries) < count:
                await asyncio.sleep(0.005)

        clients.send(clients.population.next_request(), 3)
        await ended(1)
        server.close()
        clients.send(clients.population.next_request(), 3)
        await asyncio.sleep(0)
        made[0].transport.abort()
        await ended(2)

    uvloop.run(asyncio.wait_for(test(), 20.0))
    cut = ledger.entries[-1]
    assert isinstance(cut, ConnectionLost) and cut.gateway_unreachable
    rules = scenario.rule_parameters()
    # No backend produced the first reply, so rule "answers" may be violated.
    assert judge(rules, ledger.entries).broken_rules() <= {"answers"}
    assert not any("ended the connection" in v.text for v in judge(rules, ledger.entries).violations)
