"""Several services behind one gateway: each has its own backends and pressure, and all share the quotas."""

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
SERVICE_OF = {"read": "lookups", "charge": "charges"}  # "submit" is of the default service
WIDE = plan(rate_per_s=1000.0, burst_units=1000.0)


def service_of(cls: RequestClass) -> str:
    return SERVICE_OF.get(cls.name, "")


def module(carried: tuple[str, ...] = CARRIED, **changes: Any) -> ServiceBrokers:
    made = settings(**{"gateway_count": 1, "may_gossip": False, "plans": (WIDE,), **changes})
    return ServiceBrokers(made, 7, 0, carried, service_of)


def of(service: int, *numbers: int, health: Health = Health.READY) -> list[Any]:
    return [replace(backend(number, health), service=service) for number in numbers]


def listed(made: ServiceBrokers, now: int = 0) -> ServiceBrokers:
    """Backends 1 and 2 are of the default service, 11 and 12 look up, 21 and 22 charge."""
    made.handle(now, full_list(*of(DEFAULT, 1, 2), *of(LOOKUPS, 11, 12), *of(CHARGES, 21, 22)))
    return made


def sends(actions: list[Action]) -> list[int]:
    return [action.backend for action in actions if isinstance(action, StartAttempt)]


def test_each_request_goes_to_a_backend_of_its_service() -> None:
    made = listed(module())
    wanted = {SAFE: {11, 12}, KEYED: {1, 2}, UNSAFE: {21, 22}}
    for request in range(60):
        cls = request % 3
        (chosen,) = sends(made.handle(request * MS, arrival(request, request * MS, cls)))
        assert chosen in wanted[cls]


def test_a_service_without_backends_refuses_its_own_requests_alone() -> None:
    made = listed(module())
    made.handle(
        MS, EndpointUpdate(EndpointUpdateKind.DELTA, 2, tuple(of(CHARGES, 21, 22, health=Health.DRAINING)))
    )
    assert [type(each) for each in made.handle(2 * MS, arrival(1, 2 * MS, UNSAFE))] == [Reject]
    assert sends(made.handle(2 * MS, arrival(2, 2 * MS, SAFE)))
    assert unavailable_backends(made, 2 * MS) == 2
    assert [(each.service, each.backends, each.excluded) for each in service_reports(made, 2 * MS)] == [
        ("", 2, 0),
        ("lookups", 2, 0),
        ("charges", 2, 2),
    ]


def test_a_request_whose_service_is_not_carried_is_refused() -> None:
    made = module(("", "charges"))
    made.handle(0, full_list(*of(DEFAULT, 1), *of(1, 21)))
    assert [type(each) for each in made.handle(0, arrival(1, 0, SAFE))] == [Reject]
    assert sends(made.handle(0, arrival(2, 0, UNSAFE))) == [21]
    assert sends(made.handle(0, arrival(3, 0, KEYED))) == [1]


def test_a_further_attempt_stays_in_the_service_and_every_end_finds_its_broker() -> None:
    made = listed(module())
    (first,) = sends(made.handle(0, arrival(1, 0, SAFE)))
    (second,) = sends(made.handle(MS, ended(1, first, Outcome.RESET)))
    assert {first, second} == {11, 12}
    made.handle(2 * MS, ended(1, second, attempt=1))
    made.handle(2 * MS, arrival(2, 2 * MS, UNSAFE))
    made.handle(3 * MS, ClientDisconnected(2))
    assert not any(broker.requests.open_requests for broker in made.brokers)
    made.handle(4 * MS, ended(2, 21, Outcome.CANCELLED))
    made.handle(4 * MS, ended(2, 22, Outcome.CANCELLED))
    assert not any(broker.requests.attempts or broker.requests.in_flight for broker in made.brokers)


def test_a_quota_is_one_over_all_services() -> None:
    made = listed(module(plans=(plan(rate_per_s=0.001, burst_units=6.0),)))
    sent = sum(len(sends(made.handle(MS, arrival(n, MS, n % 3, gateway_span=1)))) for n in range(30))
    assert sent == 6


def test_a_limit_on_open_attempts_is_one_over_all_services() -> None:
    made = listed(module(plans=(plan(rate_per_s=0.0, burst_units=0.0, concurrency_limit=4),)))
    chosen = [sends(made.handle(MS, arrival(n, MS, n % 3, gateway_span=1))) for n in range(12)]
    assert sum(map(len, chosen)) == 4
    number = next(n for n, each in enumerate(chosen) if each)
    made.handle(2 * MS, ended(number, chosen[number][0]))
    assert sends(made.handle(3 * MS, arrival(100, 3 * MS, UNSAFE, gateway_span=1)))


def pressed(made: Broker | ServiceBrokers, charge_takes: int) -> list[int]:
    """Lookups that are sent on in the last two of eight seconds, while a charge takes so long from the third
    second on, and many customers ask for both."""
    now, due = 0, list[tuple[int, int, int, int]]()
    chosen: list[int] = []
    rng = random.Random(3)
    for step in range(800):
        now += 10 * MS
        if step % 10 == 0:
            made.handle(now, TimerFired(TICK_TIMER))
        for _, request, server, took in [each for each in due if each[0] <= now]:
            made.handle(now, ended(request, server, elapsed=took))
        due = [each for each in due if each[0] > now]
        for number, cls in ((2 * step, SAFE), (2 * step + 1, UNSAFE)):
            event = arrival(number, now, cls, customer=rng.randrange(40), gateway_span=1)
            for server in sends(made.handle(now, event)):
                took = charge_takes if cls == UNSAFE and now > 2 * SECOND else 20 * MS
                due.append((now + took, number, server, took))
                if cls == SAFE and now > 6 * SECOND:
                    chosen.append(server)
    return chosen


def test_pressure_in_one_service_refuses_none_of_another() -> None:
    calm, slow = (len(pressed(listed(module()), takes)) for takes in (20 * MS, 2_900 * MS))
    assert slow == calm > 190
    together = Broker(settings(gateway_count=1, may_gossip=False, plans=(WIDE,)), 7, 0)
    together.handle(0, full_list(*(backend(number) for number in (1, 2, 11, 12, 21, 22))))
    assert len(pressed(together, 2_900 * MS)) < 0.2 * calm, "what it would be with all of them in one"


def test_a_cap_is_each_services_own() -> None:
    made = listed(module())
    made.handle(MS, arrival(1, MS, SAFE, gateway_span=1))
    alone = concurrency_cap(made, 1)
    made.handle(MS, arrival(2, MS, UNSAFE, gateway_span=1))
    assert alone > 0 and concurrency_cap(made, 1) > alone
    lookups, charges = made.brokers[LOOKUPS], made.brokers[CHARGES]
    assert lookups.commitments.by_tenant[1].in_flight == charges.commitments.by_tenant[1].in_flight == 1
    assert made.quota.accounts[1].in_flight == 2 and not made.brokers[DEFAULT].commitments.by_tenant


def test_one_beat_serves_all_and_peers_are_told_once() -> None:
    made = listed(module(gateway_count=2, may_gossip=True))
    timers, words = 0, 0
    for beat in range(1, 101):
        now = beat * 100 * MS
        actions = made.handle(now, TimerFired(TICK_TIMER))
        timers += sum(isinstance(each, SetTimer) for each in actions)
        words += sum(isinstance(each, SendToPeers) for each in actions)
    plain = Broker(settings(gateway_count=2, plans=(WIDE,)), 7, 0)
    told = sum(
        isinstance(each, SendToPeers)
        for beat in range(1, 101)
        for each in plain.handle(beat * 100 * MS, TimerFired(TICK_TIMER))
    )
    assert timers == 100 and words == told > 0


def test_the_list_is_watched_once_and_asked_again_once() -> None:
    made = module(polls_discovery=True)
    first = made.handle(0, full_list(*of(DEFAULT, 1)))
    assert [type(each) for each in first] == [SetTimer, WatchEndpoints]
    again = made.handle(MS, EndpointUpdate(EndpointUpdateKind.FAILED, 0, ()))
    assert [type(each) for each in again] == [SetTimer]


@pytest.mark.parametrize("whole", [False, True])
def test_a_backend_that_goes_over_to_another_service_leaves_the_first(whole: bool) -> None:
    made = listed(module())
    moved = of(CHARGES, 11)
    event = (
        full_list(*moved, *of(LOOKUPS, 12))
        if whole
        else EndpointUpdate(EndpointUpdateKind.DELTA, 2, tuple(moved))
    )
    made.handle(MS, event)
    chosen = {number for n in range(40) for number in sends(made.handle(MS, arrival(n, MS, SAFE)))}
    assert chosen == {12}
    taken = {number for n in range(40, 99) for number in sends(made.handle(MS, arrival(n, MS, UNSAFE)))}
    assert 11 in taken
    gone = EndpointUpdate(EndpointUpdateKind.DELTA, 3, tuple(of(DEFAULT, 11, health=Health.REMOVED)))
    made.handle(2 * MS, gone)  # whatever service its end is told under
    assert 11 not in {
        n for at in range(100, 160) for n in sends(made.handle(2 * MS, arrival(at, 2 * MS, UNSAFE)))
    }


def test_classes_that_change_keep_their_service_and_past_or_begin_anew() -> None:
    made = listed(module())
    for request in range(20):
        (chosen,) = sends(made.handle(request * MS, arrival(request, request * MS, UNSAFE)))
        made.handle(request * MS + 1, ended(request, chosen, elapsed=77 * MS))
    open_before = sends(made.handle(30 * MS, arrival(50, 30 * MS, UNSAFE)))
    fast = replace(
        CLASSES[UNSAFE], latency_objective_ns=SECOND // 2
    )  # named charge too, under a number of its own
    other = replace(CLASSES[UNSAFE], name="other")  # of the default service
    event = ClassesChanged((*CLASSES, fast, other), frozenset({SAFE, KEYED, 3, 4}), (0, 1, 2, 2, 2), 4)
    made.handle(31 * MS, event)
    charges, default = made.brokers[CHARGES], made.brokers[DEFAULT]
    assert [each.name for each in charges.settings.classes] == ["charge", "charge"]
    assert charges.model.active_classes == {1} and charges.model.latency[1].value == pytest.approx(77 * MS)
    assert default.model.latency[1].weight == 0.0, "what it met as another service's says nothing here"
    assert sends(made.handle(32 * MS, arrival(60, 32 * MS, 3)))[0] in {21, 22}
    assert sends(made.handle(32 * MS, arrival(61, 32 * MS, 4)))[0] in {1, 2}
    made.handle(33 * MS, ended(50, open_before[0]))
    assert all((50, 0) not in broker.requests.attempts for broker in made.brokers)


def test_an_open_request_keeps_its_class_when_another_number_goes_to_another_service() -> None:
    first, second, charge = CLASSES[SAFE], replace(CLASSES[SAFE], name="read2"), CLASSES[UNSAFE]
    services_of = {"read": "lookups", "read2": "lookups", "charge": "charges", "charge2": "charges"}
    made = ServiceBrokers(
        settings(gateway_count=1, may_gossip=False, plans=(WIDE,), classes=(first, second, charge)),
        7,
        0,
        CARRIED,
        lambda cls: services_of[cls.name],
    )
    listed(made)
    (sent,) = sends(made.handle(MS, arrival(1, MS, 1)))
    lookups, charges = made.brokers[LOOKUPS], made.brokers[CHARGES]
    held = lookups.requests.open_requests[1].arrival.request_class
    again = replace(charge, name="charge2")
    # Nobody holds the first class any more: its number is a charge's now, and a lookup comes under a new one.
    event = ClassesChanged((again, second, charge, first), frozenset({0, 1, 2, 3}), (-1, 1, 2, 0), 4)
    made.handle(2 * MS, event)
    assert (
        lookups.settings.classes[held] == second
        and lookups.requests.open_requests[1].arrival.request_class == held
    )
    assert lookups.settings.classes == (first, second) and charges.settings.classes == (charge, again)
    assert sends(made.handle(3 * MS, arrival(2, 3 * MS, 0)))[0] in {21, 22}
    assert sends(made.handle(3 * MS, arrival(3, 3 * MS, 3)))[0] in {11, 12}
    made.handle(4 * MS, ended(1, sent, elapsed=55 * MS))
    assert lookups.model.latency[held].value == pytest.approx(55 * MS)
    assert lookups.model.latency[1 - held].weight == 0.0


def test_plans_that_change_are_taken_in_once_and_solved_in_each_service() -> None:
    made = listed(module(plans=(plan(rate_per_s=1.0, burst_units=4.0),)))
    for request in range(2):
        made.handle(MS, arrival(request, MS, request * 2, gateway_span=1))
    told = made.handle(2 * MS, PlansChanged((plan(rate_per_s=1.0, burst_units=40.0),)))
    lines = [each.text for each in told if isinstance(each, LogMessage)]
    assert [line.split(":")[0] for line in lines] == ["default", "lookups", "charges"]
    assert made.quota.accounts[1].plan.burst_units == 40.0


def test_an_answer_of_a_home_finds_the_request_that_waits_for_it() -> None:
    """Many gateways: a customer's home is another one, which is asked and grants."""
    made = listed(module(gateway_count=40, may_gossip=True, peer_messages_per_s=1.0))
    actions: list[Action] = []
    customer = next(c for c in range(2, 99) if c % 40 not in (0,))
    actions = made.handle(MS, arrival(1, MS, UNSAFE, customer=customer, gateway_span=3, first_gateway=0))
    asked = [each for each in actions if isinstance(each, SendToPeers)]
    assert asked and not sends(actions)
    home = listed(
        module(gateway_count=40, gateway_index=customer % 40, may_gossip=True, peer_messages_per_s=1.0)
    )
    replies = home.handle(2 * MS, PeerMessage(0, asked[0].data))
    answers = [each for each in replies if isinstance(each, SendToPeers)]
    (chosen,) = sends(made.handle(3 * MS, PeerMessage(customer % 40, answers[0].data)))
    assert chosen in {21, 22}


def test_retired_brokers_refuse_all_and_resume() -> None:
    made = listed(module())
    made.retire(MS)
    assert [type(each) for each in made.handle(MS, arrival(1, MS, UNSAFE))] == [Reject]
    made.resume()
    assert sends(made.handle(2 * MS, arrival(2, 2 * MS, UNSAFE)))


@pytest.mark.parametrize("seed", range(8))
def test_with_one_service_all_is_as_with_one_broker(seed: int) -> None:
    rng = random.Random(f"services:{seed}")
    figures = plan(rate_per_s=5.0, burst_units=9.0, concurrency_limit=rng.choice((0, 3)))
    made = settings(gateway_count=rng.choice((1, 3, 40)), plans=(figures,))
    one, several = Broker(made, seed, 0), ServiceBrokers(made, seed, 0, ("",), lambda cls: "")
    out: list[tuple[int, int, int]] = []
    now = 0
    for request in range(600):
        now += rng.randrange(30 * MS)
        events: list[Any] = [arrival(request, now, rng.randrange(3), rng.randrange(6), gateway_span=2)]
        if request % 7 == 0:
            events.append(TimerFired(TICK_TIMER))
        if request % 50 == 0:
            events.insert(0, full_list(*(backend(n, booted=rng.choice((0, now))) for n in range(1, 6))))
        if out and rng.random() < 0.8:
            number, attempt, server = out.pop(rng.randrange(len(out)))
            events.append(ended(number, server, rng.choice(list(Outcome)), attempt))
        for event in events:
            told = one.handle(now, event)
            assert several.handle(now, event) == told
            out += [
                (each.request, one.requests.open_requests[each.request].attempts_started - 1, each.backend)
                for each in told
                if isinstance(each, StartAttempt)
            ]


# A gateway on sockets.


def test_a_gateway_serves_its_services_and_tells_operators_of_them() -> None:
    operator = parse('[services.classes]\nlookups = ["look_up"]', "f")

    async def test() -> None:
        async with world(operator) as w:
            client = await w.client()
            client.send(call("look up", 1))
            assert isinstance(await client.next(), hiredis.ReplyError), "no backend of its service is listed"
            w.agent.tell(listing(2, {**host("s-2", w.backend.port), "service": "lookups"}, whole=False))
            await until(lambda: any(each.backends for each in told(w)[1:]))
            client.send(call("look up", 2))
            connection, _ = await w.backend.command()
            connection.send(served(b"found"))
            await until(lambda: told(w)[1].commitments == 1 and told(w)[1].in_flight == 0)
            assert [(each.service, each.backends, each.warm) for each in told(w)] == [
                ("", 1, 1),
                ("lookups", 1, 1),
            ]

    run(test)


def told(w: World) -> list[ServiceReport]:
    status, text = w.node.reports.answers()[b"/services"]()
    assert status == 200
    return msgspec.json.decode(text, type=list[ServiceReport])


# The list and the operator's file.


def entry(name: str, service: str | None = None, health: str = "in_service") -> dict[str, Any]:
    told = {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": "a",
        "class": "m1",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }
    return told if service is None else {**told, "service": service}


def parsed(carried: CarriedServices, whole: bool, *hosts: dict[str, Any]) -> list[tuple[int, int, Health]]:
    update = parse_update({"seq": 1, "whole": whole, "hosts": list(hosts)}, ("a",), ("m1",), services=carried)
    return [(each.id, each.service, each.health) for each in update.topology.backends]


def test_the_list_is_taken_as_far_as_its_services_are_carried() -> None:
    carried = CarriedServices(("", "charges"), lambda number: number == backend_id("was-here"))
    hosts = entry("plain"), entry("mine", "charges"), entry("other", "lookups"), entry("was-here", "lookups")
    plain, mine, was = (backend_id(name) for name in ("plain", "mine", "was-here"))
    assert parsed(carried, False, *hosts) == [
        (plain, 0, Health.READY),
        (mine, 1, Health.READY),
        (was, 0, Health.REMOVED),
    ]
    alike = CarriedServices()
    assert [service for _, service, _ in parsed(alike, True, *hosts)] == [0, 0, 0, 0]
    with pytest.raises(ListError):
        parsed(carried, False, {**entry("odd"), "service": ["charges"]})


SERVICES = '[services]\ncarries = ["a"]\n[services.classes]\na = ["x", "y"]\nb = ["z"]\n'


def test_the_operators_file_says_what_is_carried() -> None:
    told = parse(SERVICES, "f").services
    assert told.carried() == ("", "a") and told.service_of("y") == "a" and told.service_of("other") == ""
    assert parse(SERVICES.replace('"a"', ""), "f").services.carried() == ("", "a", "b")
    assert parse("", "f").services.carried() == ()


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (
            '[services]\nclasses = {a = ["x"], b = ["x"]}',
            "services.classes.b: found 'x', which is of 'a', wanted each class in one service",
        ),
        ("[services]\nclasses = {a = []}", "services.classes.a: found nothing, wanted classes of request"),
        ('[services]\nclasses = {"" = ["x"]}', "services.classes: found one without a name, wanted a name"),
        ('[services]\ncarries = ["a"]', "services.carries[0]: found 'a', wanted one of services.classes"),
        (
            '[services]\ncarries = ["a", "a"]\nclasses = {a = ["x"]}',
            "services.carries: found one twice, wanted once each",
        ),
        (
            "[services]\nclasses = {" + ", ".join(f'a{n} = ["x{n}"]' for n in range(256)) + "}",
            "services.carries: found 256 services, wanted 255 at most",
        ),
    ],
)
def test_a_mistake_is_one_plain_line(text: str, line: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(text, "f")
    assert str(caught.value) == f"f: {line}"
