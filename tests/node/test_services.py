"""Tests several services behind one gateway: each has its own backends and load, and all share the quotas."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import hiredis
import msgspec
import pytest

from trackspread.config.addresses import ConfigError
from trackspread.config.operator import parse
from trackspread.decide.broker import TICK_TIMER, Broker
from trackspread.decide.actions import (
    Action,
    LogMessage,
    Reject,
    SendToPeers,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from trackspread.decide.backends import EndpointUpdate, EndpointUpdateKind, Health
from trackspread.decide.events import (
    ClassesChanged,
    ClientDisconnected,
    Outcome,
    PeerMessage,
    PlansChanged,
    TimerFired,
)
from trackspread.decide.settings import RequestClass
from trackspread.decide.report import ServiceReport, concurrency_cap, unavailable_backends, service_reports
from trackspread.decide.services import ServiceBrokers
from trackspread.lists.agent import parse_update
from trackspread.lists.source import ListError, backend_id
from trackspread.lists.services import CarriedServices

from ..fakes import World, call, host, listing, run, served, until, world
from ..helpers import (
    CLASSES,
    KEYED,
    MS,
    SAFE,
    SECOND,
    UNSAFE,
    arrival,
    backend,
    ended,
    full_list,
    plan,
    settings,
)

CARRIED = ("", "lookups", "charges")
DEFAULT, LOOKUPS, CHARGES = range(3)
SERVICE_OF = {"read": "lookups", "charge": "charges"}  # "submit" belongs to the default service
WIDE = plan(rate_per_s=1000.0, burst_units=1000.0)


def service_of(cls: RequestClass) -> str:
    return SERVICE_OF.get(cls.name, "")


def service_brokers(carried: tuple[str, ...] = CARRIED, **changes: Any) -> ServiceBrokers:
    all_settings = settings(**{"gateway_count": 1, "may_gossip": False, "plans": (WIDE,), **changes})
    return ServiceBrokers(all_settings, 7, 0, carried, service_of)


def of(service: int, *numbers: int, health: Health = Health.READY) -> list[Any]:
    return [replace(backend(number, health), service=service) for number in numbers]


def listed(module: ServiceBrokers, now: int = 0) -> ServiceBrokers:
    """Lists backends 1 and 2 for the default service, 11 and 12 for lookups, 21 and 22 for charges."""
    module.handle(now, full_list(*of(DEFAULT, 1, 2), *of(LOOKUPS, 11, 12), *of(CHARGES, 21, 22)))
    return module


def sends(actions: list[Action]) -> list[int]:
    return [action.backend for action in actions if isinstance(action, StartAttempt)]


def test_request_goes_to_a_backend_of_its_service() -> None:
    module = listed(service_brokers())
    wanted = {SAFE: {11, 12}, KEYED: {1, 2}, UNSAFE: {21, 22}}
    for request in range(60):
        cls = request % 3
        (chosen,) = sends(module.handle(request * MS, arrival(request, request * MS, cls)))
        assert chosen in wanted[cls]


def test_service_without_backends_rejects_only_its_own_requests() -> None:
    module = listed(service_brokers())
    module.handle(
        MS, EndpointUpdate(EndpointUpdateKind.DELTA, 2, tuple(of(CHARGES, 21, 22, health=Health.DRAINING)))
    )
    assert [type(each) for each in module.handle(2 * MS, arrival(1, 2 * MS, UNSAFE))] == [Reject]
    assert sends(module.handle(2 * MS, arrival(2, 2 * MS, SAFE)))
    assert unavailable_backends(module, 2 * MS) == 2
    assert [(each.service, each.backends, each.excluded) for each in service_reports(module, 2 * MS)] == [
        ("", 2, 0),
        ("lookups", 2, 0),
        ("charges", 2, 2),
    ]


def test_request_of_a_service_not_carried_is_rejected() -> None:
    module = service_brokers(("", "charges"))
    module.handle(0, full_list(*of(DEFAULT, 1), *of(1, 21)))
    assert [type(each) for each in module.handle(0, arrival(1, 0, SAFE))] == [Reject]
    assert sends(module.handle(0, arrival(2, 0, UNSAFE))) == [21]
    assert sends(module.handle(0, arrival(3, 0, KEYED))) == [1]


def test_retries_and_their_ends_stay_in_the_service() -> None:
    """Guards against an attempt whose end does not reach the broker that counts it."""
    module = listed(service_brokers())
    (first,) = sends(module.handle(0, arrival(1, 0, SAFE)))
    (second,) = sends(module.handle(MS, ended(1, first, Outcome.RESET)))
    assert {first, second} == {11, 12}
    module.handle(2 * MS, ended(1, second, attempt=1))
    module.handle(2 * MS, arrival(2, 2 * MS, UNSAFE))
    module.handle(3 * MS, ClientDisconnected(2))
    assert not any(broker.requests.open_requests for broker in module.brokers)
    module.handle(4 * MS, ended(2, 21, Outcome.CANCELLED))
    module.handle(4 * MS, ended(2, 22, Outcome.CANCELLED))
    assert not any(broker.requests.attempts or broker.requests.in_flight for broker in module.brokers)


def test_quota_is_shared_by_all_services() -> None:
    """Guards against a quota that is granted once for each service."""
    module = listed(service_brokers(plans=(plan(rate_per_s=0.001, burst_units=6.0),)))
    sent = sum(len(sends(module.handle(MS, arrival(n, MS, n % 3, gateway_span=1)))) for n in range(30))
    assert sent == 6


def test_concurrency_limit_is_shared_by_all_services() -> None:
    module = listed(service_brokers(plans=(plan(rate_per_s=0.0, burst_units=0.0, concurrency_limit=4),)))
    chosen = [sends(module.handle(MS, arrival(n, MS, n % 3, gateway_span=1))) for n in range(12)]
    assert sum(map(len, chosen)) == 4
    number = next(n for n, each in enumerate(chosen) if each)
    module.handle(2 * MS, ended(number, chosen[number][0]))
    assert sends(module.handle(3 * MS, arrival(100, 3 * MS, UNSAFE, gateway_span=1)))


def lookups_under_load(module: Broker | ServiceBrokers, charge_takes: int) -> list[int]:
    """Returns the backends of the lookups that are forwarded in the last two of eight seconds.

    From the third second on a charge takes `charge_takes` ns. Many customers send requests of both classes.
    """
    now, due = 0, list[tuple[int, int, int, int]]()
    chosen: list[int] = []
    rng = random.Random(3)
    for step in range(800):
        now += 10 * MS
        if step % 10 == 0:
            module.handle(now, TimerFired(TICK_TIMER))
        for _, request, server, took in [each for each in due if each[0] <= now]:
            module.handle(now, ended(request, server, elapsed=took))
        due = [each for each in due if each[0] > now]
        for number, cls in ((2 * step, SAFE), (2 * step + 1, UNSAFE)):
            event = arrival(number, now, cls, customer=rng.randrange(40), gateway_span=1)
            for server in sends(module.handle(now, event)):
                took = charge_takes if cls == UNSAFE and now > 2 * SECOND else 20 * MS
                due.append((now + took, number, server, took))
                if cls == SAFE and now > 6 * SECOND:
                    chosen.append(server)
    return chosen


def test_pressure_in_one_service_rejects_nothing_in_another() -> None:
    calm, slow = (
        len(lookups_under_load(listed(service_brokers()), takes)) for takes in (20 * MS, 2_900 * MS)
    )
    assert slow == calm > 190
    together = Broker(settings(gateway_count=1, may_gossip=False, plans=(WIDE,)), 7, 0)
    together.handle(0, full_list(*(backend(number) for number in (1, 2, 11, 12, 21, 22))))
    # The same load affects lookups if a single broker decides on all requests.
    assert len(lookups_under_load(together, 2_900 * MS)) < 0.2 * calm


def test_each_service_has_its_own_cap() -> None:
    module = listed(service_brokers())
    module.handle(MS, arrival(1, MS, SAFE, gateway_span=1))
    alone = concurrency_cap(module, 1)
    module.handle(MS, arrival(2, MS, UNSAFE, gateway_span=1))
    assert alone > 0 and concurrency_cap(module, 1) > alone
    lookups, charges = module.brokers[LOOKUPS], module.brokers[CHARGES]
    assert lookups.commitments.by_tenant[1].in_flight == charges.commitments.by_tenant[1].in_flight == 1
    assert module.quota.accounts[1].in_flight == 2 and not module.brokers[DEFAULT].commitments.by_tenant


def test_services_share_one_tick_and_one_peer_message() -> None:
    """Guards against timers and messages to peers that increase with the number of services."""
    module = listed(service_brokers(gateway_count=2, may_gossip=True))
    timers, messages = 0, 0
    for tick in range(1, 101):
        now = tick * 100 * MS
        actions = module.handle(now, TimerFired(TICK_TIMER))
        timers += sum(isinstance(each, SetTimer) for each in actions)
        messages += sum(isinstance(each, SendToPeers) for each in actions)
    single = Broker(settings(gateway_count=2, plans=(WIDE,)), 7, 0)
    expected = sum(
        isinstance(each, SendToPeers)
        for tick in range(1, 101)
        for each in single.handle(tick * 100 * MS, TimerFired(TICK_TIMER))
    )
    assert timers == 100 and messages == expected > 0


def test_services_share_one_watch_and_one_poll() -> None:
    """Guards against a watch, or a poll after a failure, for each service."""
    module = service_brokers(polls_discovery=True)
    first = module.handle(0, full_list(*of(DEFAULT, 1)))
    assert [type(each) for each in first] == [SetTimer, WatchEndpoints]
    again = module.handle(MS, EndpointUpdate(EndpointUpdateKind.FAILED, 0, ()))
    assert [type(each) for each in again] == [SetTimer]


@pytest.mark.parametrize("complete", [False, True])
def test_backend_that_changes_its_service_leaves_the_first(complete: bool) -> None:
    module = listed(service_brokers())
    moved = of(CHARGES, 11)
    event = (
        full_list(*moved, *of(LOOKUPS, 12))
        if complete
        else EndpointUpdate(EndpointUpdateKind.DELTA, 2, tuple(moved))
    )
    module.handle(MS, event)
    chosen = {number for n in range(40) for number in sends(module.handle(MS, arrival(n, MS, SAFE)))}
    assert chosen == {12}
    taken = {number for n in range(40, 99) for number in sends(module.handle(MS, arrival(n, MS, UNSAFE)))}
    assert 11 in taken
    removal = EndpointUpdate(EndpointUpdateKind.DELTA, 3, tuple(of(DEFAULT, 11, health=Health.REMOVED)))
    module.handle(2 * MS, removal)  # the removal may name any service
    assert 11 not in {
        n for at in range(100, 160) for n in sends(module.handle(2 * MS, arrival(at, 2 * MS, UNSAFE)))
    }


def test_changed_classes_keep_statistics_only_within_their_service() -> None:
    """Guards against statistics that follow a class into another service, or get lost within one."""
    module = listed(service_brokers())
    for request in range(20):
        (chosen,) = sends(module.handle(request * MS, arrival(request, request * MS, UNSAFE)))
        module.handle(request * MS + 1, ended(request, chosen, elapsed=77 * MS))
    open_before = sends(module.handle(30 * MS, arrival(50, 30 * MS, UNSAFE)))
    # This class is also named charge, and has a number of its own.
    fast = replace(CLASSES[UNSAFE], latency_objective_ns=SECOND // 2)
    other = replace(CLASSES[UNSAFE], name="other")  # belongs to the default service
    event = ClassesChanged((*CLASSES, fast, other), frozenset({SAFE, KEYED, 3, 4}), (0, 1, 2, 2, 2), 4)
    module.handle(31 * MS, event)
    charges, default = module.brokers[CHARGES], module.brokers[DEFAULT]
    assert [each.name for each in charges.settings.classes] == ["charge", "charge"]
    assert charges.model.active_classes == {1} and charges.model.latency[1].value == pytest.approx(77 * MS)
    assert default.model.latency[1].weight == 0.0, "statistics of another service do not apply here"
    assert sends(module.handle(32 * MS, arrival(60, 32 * MS, 3)))[0] in {21, 22}
    assert sends(module.handle(32 * MS, arrival(61, 32 * MS, 4)))[0] in {1, 2}
    module.handle(33 * MS, ended(50, open_before[0]))
    assert all((50, 0) not in broker.requests.attempts for broker in module.brokers)


def test_open_request_keeps_its_class_when_numbers_move() -> None:
    """Guards against an open request that gets another class when a number moves to another service."""
    first, second, charge = CLASSES[SAFE], replace(CLASSES[SAFE], name="read2"), CLASSES[UNSAFE]
    services_of = {"read": "lookups", "read2": "lookups", "charge": "charges", "charge2": "charges"}
    module = ServiceBrokers(
        settings(gateway_count=1, may_gossip=False, plans=(WIDE,), classes=(first, second, charge)),
        7,
        0,
        CARRIED,
        lambda cls: services_of[cls.name],
    )
    listed(module)
    (sent,) = sends(module.handle(MS, arrival(1, MS, 1)))
    lookups, charges = module.brokers[LOOKUPS], module.brokers[CHARGES]
    held = lookups.requests.open_requests[1].arrival.request_class
    again = replace(charge, name="charge2")
    # No request has the first class any more: its number is now a charge's, and a lookup has a new number.
    event = ClassesChanged((again, second, charge, first), frozenset({0, 1, 2, 3}), (-1, 1, 2, 0), 4)
    module.handle(2 * MS, event)
    assert (
        lookups.settings.classes[held] == second
        and lookups.requests.open_requests[1].arrival.request_class == held
    )
    assert lookups.settings.classes == (first, second) and charges.settings.classes == (charge, again)
    assert sends(module.handle(3 * MS, arrival(2, 3 * MS, 0)))[0] in {21, 22}
    assert sends(module.handle(3 * MS, arrival(3, 3 * MS, 3)))[0] in {11, 12}
    module.handle(4 * MS, ended(1, sent, elapsed=55 * MS))
    assert lookups.model.latency[held].value == pytest.approx(55 * MS)
    assert lookups.model.latency[1 - held].weight == 0.0


def test_changed_plans_apply_in_each_service() -> None:
    """Guards against a plan that changes in the shared quota but not in each broker, or more than once."""
    module = listed(service_brokers(plans=(plan(rate_per_s=1.0, burst_units=4.0),)))
    for request in range(2):
        module.handle(MS, arrival(request, MS, request * 2, gateway_span=1))
    actions = module.handle(2 * MS, PlansChanged((plan(rate_per_s=1.0, burst_units=40.0),)))
    lines = [each.text for each in actions if isinstance(each, LogMessage)]
    assert [line.split(":")[0] for line in lines] == ["default", "lookups", "charges"]
    assert module.quota.accounts[1].plan.burst_units == 40.0


def test_quota_owners_grant_reaches_the_waiting_request() -> None:
    """Guards against a request that waits forever for the grant of the gateway that owns its quota.

    With many gateways the owner of a tenant's quota is often another gateway.
    """
    module = listed(service_brokers(gateway_count=40, may_gossip=True, peer_messages_per_s=1.0))
    actions: list[Action] = []
    customer = next(c for c in range(2, 99) if c % 40 not in (0,))
    actions = module.handle(MS, arrival(1, MS, UNSAFE, customer=customer, gateway_span=3, first_gateway=0))
    queries = [each for each in actions if isinstance(each, SendToPeers)]
    assert queries and not sends(actions)
    owner = listed(
        service_brokers(
            gateway_count=40, gateway_index=customer % 40, may_gossip=True, peer_messages_per_s=1.0
        )
    )
    replies = owner.handle(2 * MS, PeerMessage(0, queries[0].data))
    answers = [each for each in replies if isinstance(each, SendToPeers)]
    (chosen,) = sends(module.handle(3 * MS, PeerMessage(customer % 40, answers[0].data)))
    assert chosen in {21, 22}


def test_retired_brokers_reject_everything_until_resumed() -> None:
    module = listed(service_brokers())
    module.retire(MS)
    assert [type(each) for each in module.handle(MS, arrival(1, MS, UNSAFE))] == [Reject]
    module.resume()
    assert sends(module.handle(2 * MS, arrival(2, 2 * MS, UNSAFE)))


@pytest.mark.parametrize("seed", range(8))
def test_one_service_behaves_like_a_single_broker(seed: int) -> None:
    rng = random.Random(f"services:{seed}")
    limits = plan(rate_per_s=5.0, burst_units=9.0, concurrency_limit=rng.choice((0, 3)))
    shared_settings = settings(gateway_count=rng.choice((1, 3, 40)), plans=(limits,))
    one = Broker(shared_settings, seed, 0)
    several = ServiceBrokers(shared_settings, seed, 0, ("",), lambda cls: "")
    in_flight: list[tuple[int, int, int]] = []
    now = 0
    for request in range(600):
        now += rng.randrange(30 * MS)
        events: list[Any] = [arrival(request, now, rng.randrange(3), rng.randrange(6), gateway_span=2)]
        if request % 7 == 0:
            events.append(TimerFired(TICK_TIMER))
        if request % 50 == 0:
            events.insert(0, full_list(*(backend(n, booted=rng.choice((0, now))) for n in range(1, 6))))
        if in_flight and rng.random() < 0.8:
            number, attempt, server = in_flight.pop(rng.randrange(len(in_flight)))
            events.append(ended(number, server, rng.choice(list(Outcome)), attempt))
        for event in events:
            actions = one.handle(now, event)
            assert several.handle(now, event) == actions
            in_flight += [
                (each.request, one.requests.open_requests[each.request].attempts_started - 1, each.backend)
                for each in actions
                if isinstance(each, StartAttempt)
            ]


# A gateway on sockets.


def test_gateway_routes_by_service_and_reports_its_services() -> None:
    operator = parse('[services.classes]\nlookups = ["look_up"]', "f")

    async def test() -> None:
        async with world(operator) as w:
            client = await w.client()
            client.send(call("look up", 1))
            assert isinstance(await client.next(), hiredis.ReplyError), "no backend of its service is listed"
            w.agent.tell(listing(2, {**host("s-2", w.backend.port), "service": "lookups"}, whole=False))
            await until(lambda: any(each.backends for each in reported(w)[1:]))
            client.send(call("look up", 2))
            connection, _ = await w.backend.command()
            connection.send(served(b"found"))
            await until(lambda: reported(w)[1].commitments == 1 and reported(w)[1].in_flight == 0)
            assert [(each.service, each.backends, each.warm) for each in reported(w)] == [
                ("", 1, 1),
                ("lookups", 1, 1),
            ]

    run(test)


def reported(w: World) -> list[ServiceReport]:
    status, text = w.node.reports.routes()[b"/services"]()
    assert status == 200
    return msgspec.json.decode(text, type=list[ServiceReport])


# The endpoint list and the operator's file.


def entry(name: str, service: str | None = None, health: str = "in_service") -> dict[str, Any]:
    row = {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": "a",
        "class": "m1",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }
    return row if service is None else {**row, "service": service}


def parsed(carried: CarriedServices, complete: bool, *hosts: dict[str, Any]) -> list[tuple[int, int, Health]]:
    listed_hosts = {"seq": 1, "whole": complete, "hosts": list(hosts)}
    update = parse_update(listed_hosts, ("a",), ("m1",), services=carried)
    return [(each.id, each.service, each.health) for each in update.topology.backends]


def test_endpoint_list_is_limited_to_the_carried_services() -> None:
    carried = CarriedServices(("", "charges"), lambda number: number == backend_id("was-here"))
    hosts = entry("plain"), entry("mine", "charges"), entry("other", "lookups"), entry("was-here", "lookups")
    plain, mine, was = (backend_id(name) for name in ("plain", "mine", "was-here"))
    assert parsed(carried, False, *hosts) == [
        (plain, 0, Health.READY),
        (mine, 1, Health.READY),
        (was, 0, Health.REMOVED),
    ]
    single = CarriedServices()
    assert [service for _, service, _ in parsed(single, True, *hosts)] == [0, 0, 0, 0]
    with pytest.raises(ListError):
        parsed(carried, False, {**entry("odd"), "service": ["charges"]})


SERVICES = '[services]\ncarries = ["a"]\n[services.classes]\na = ["x", "y"]\nb = ["z"]\n'


def test_operators_file_names_the_carried_services() -> None:
    services = parse(SERVICES, "f").services
    assert services.carried() == ("", "a")
    assert services.service_of("y") == "a" and services.service_of("other") == ""
    assert parse(SERVICES.replace('"a"', ""), "f").services.carried() == ("", "a", "b")
    assert parse("", "f").services.carried() == ()


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (
            '[services]\nclasses = {a = ["x"], b = ["x"]}',
            "services.classes.b: must not contain a class of another service, got 'x', which belongs to 'a'",
        ),
        ("[services]\nclasses = {a = []}", "services.classes.a: must list request classes, got nothing"),
        ('[services]\nclasses = {"" = ["x"]}', "services.classes: must name each service, got an empty name"),
        ('[services]\ncarries = ["a"]', "services.carries[0]: must be one of services.classes, got 'a'"),
        (
            '[services]\ncarries = ["a", "a"]\nclasses = {a = ["x"]}',
            "services.carries: must not contain a value twice",
        ),
        (
            "[services]\nclasses = {" + ", ".join(f'a{n} = ["x{n}"]' for n in range(256)) + "}",
            "services.carries: must be at most 255 services, got 256",
        ),
    ],
)
def test_mistake_in_services_is_a_one_line_error(text: str, line: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(text, "f")
    assert str(caught.value) == f"f: {line}"
