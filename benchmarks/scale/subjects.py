"""Measures the costs of one gateway's decision module at one size of one factor, in a fresh process.

`python -m benchmarks.scale.subjects NAME SIZE` prints a JSON object of figures: seconds by the CPU clock of
this process, and bytes by the growth of its resident size. `module.py` starts these processes and takes
medians.
"""

from __future__ import annotations

import gc
import json
import os
import sys
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from functools import partial
from pathlib import Path
from statistics import median

from trackspread.decide.broker import TICK_TIMER, Broker
from trackspread.decide.actions import Action, StartAttempt
from trackspread.decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from trackspread.decide.events import (
    AttemptEnded,
    Event,
    FleetChanged,
    Outcome,
    PlansChanged,
    RequestArrived,
    TimerFired,
)
from trackspread.decide.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from trackspread.decide.time_units import TICK
from trackspread.decide.report import brokers
from trackspread.decide.services import ServiceBrokers
from trackspread.lists.agent import parse_update
from trackspread.membership.slot_allocation import slots_of
from trackspread.testing.virtual.plain_settings import plain_settings

SECOND = 1_000_000_000
START = 1000 * SECOND
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
REPEATS = 9  # The least number of repeats of each timed step within one process.
MAX_REPEATS, REPEATED_UNITS = 300, 60_000  # Short steps are repeated for so many units of size in total.
VIEWS = 41  # Changes of the view, each of which takes well under 1 ms.
SERVICE = 28  # Backends of one service: 59,000 in 2,100.
MEMBERS = 40  # Gateways, for subjects with another factor.
# At least so many requests are timed, and more until they have examined so many backends in total.
MIN_ARRIVALS, ARRIVAL_BACKENDS = 60, 400_000
ASKING = 300  # Customers whose requests wait for an answer of their quota owner.
KNOWN = 200  # Customers that the gateway already knows.

Figures = dict[str, float]

CLASSES = (
    RequestClass(
        "read", SECOND, 3 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5 * SECOND
    ),
    RequestClass(
        "submit", SECOND, 3 * SECOND, 2.0, 0.0, Idempotency.WITH_KEY, DeduplicationScope.CELL, 2 * SECOND
    ),
)
PLAN = Plan("plan", 50.0, 100.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)


def settings(gateways: int = MEMBERS, plans: tuple[Plan, ...] = (PLAN,)) -> Settings:
    """Returns the settings of the module; customers have quota owners, as in every fleet of over some six."""
    return plain_settings(
        plans[0],
        plans=plans,
        classes=CLASSES,
        gateway_count=gateways,
        load_report_names=("util",),
        max_attempts=4,
        may_hedge=True,
        may_gossip=True,
        peer_messages_per_s=40.0,
        poll_within_ns=10 * SECOND,
        overload_window_ns=2 * SECOND,
        cross_zone_cost=0.01,
    )


def resident() -> int:
    """Returns the resident bytes of this process after a garbage collection."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def duration_of(step: Callable[[], object]) -> float:
    """Returns the CPU seconds that `step` used."""
    began = time.process_time_ns()
    step()
    return (time.process_time_ns() - began) / SECOND


def full_list(size: int, version: int) -> EndpointUpdate:
    """Returns a list of `size` ready backends in services of 28, with new entries as of a parsed line."""
    entries = tuple(
        Backend(number, number % 12, 0, number // SERVICE, Health.READY, 1.0, 0)
        for number in range(1, size + 1)
    )
    return EndpointUpdate(EndpointUpdateKind.FULL, version, entries)


def drain(number: int) -> EndpointUpdate:
    """Returns an update in which one backend is draining."""
    return EndpointUpdate(
        EndpointUpdateKind.DELTA, 100, (Backend(number, number % 12, 0, 0, Health.DRAINING, 1.0, 0),)
    )


class Driver:
    """Drives one module with time and requests that are answered at once.

    `broker` is the module, or the first broker of its services.
    """

    def __init__(self, made: Settings, carried: int = 1) -> None:
        self.now = START
        self.module: Broker | ServiceBrokers = Broker(made, 7, self.now)
        if carried > 1:
            names = [f"service-{number}" for number in range(carried)]
            self.module = ServiceBrokers(made, 7, self.now, names, lambda cls: cls.name.split("/")[0])
        self.broker = brokers(self.module)[0]
        self._request = 0

    def handle(self, event: Event) -> list[Action]:
        return self.module.handle(self.now, event)

    def tick(self) -> None:
        """Advances the time by one tick of the module."""
        self.now += TICK
        self.handle(TimerFired(TICK_TIMER))

    def ask(self, customer: int, spread: int = 1, first: int = 0, cls: int = 0) -> list[Action]:
        """Sends one request of a customer now."""
        self._request += 1
        valid_until = self.now + 3 * SECOND
        return self.handle(
            RequestArrived(self._request, cls, 0, customer, valid_until, 1.0, spread, first, 0)
        )

    def serve(self, customer: int, cls: int = 0) -> float:
        """Returns the CPU seconds of one request from its arrival to its end; it must be forwarded."""
        self.now += SECOND // 67
        began = time.process_time_ns()
        actions = self.ask(customer, cls=cls)
        sent = [action for action in actions if isinstance(action, StartAttempt)]
        for action in sent:
            ended = AttemptEnded(action.request, True, 0, action.backend, 0, Outcome.OK, SECOND // 100, 0, ())
            self.handle(ended)
        used = time.process_time_ns() - began
        if not sent:
            raise RuntimeError(f"customer {customer}: request must be forwarded, got {actions}")
        return used / SECOND


def local_customers(count: int, driver: Driver) -> list[int]:
    """Returns customers whose requests are forwarded at once, as this gateway is their quota owner."""
    quota, found = driver.broker.quota, list[int]()
    customer = 1
    while len(found) < count:
        account = quota.account(driver.now, customer, 0, 1, 0)
        if quota.is_local(account):
            found.append(customer)
        else:
            del quota.accounts[customer]
        customer += 1
    return found


def served(driver: Driver, customers: list[int], count: int) -> list[float]:
    """Returns the CPU seconds of each of `count` requests, from the customers in turn."""
    return [driver.serve(customers[number % len(customers)]) for number in range(count)]


def arrivals(size: int) -> int:
    """Returns the number of timed requests if each examines `size` backends."""
    return max(MIN_ARRIVALS, ARRIVAL_BACKENDS // max(1, size))


def repeats(size: int) -> int:
    """Returns the repeats of a step whose cost grows with `size`.

    Small steps are short and need more repeats for a stable median.
    """
    return max(REPEATS, min(MAX_REPEATS, REPEATED_UNITS // max(1, size)))


def backends(size: int) -> Figures:
    """Measures a list of all backends of the fleet in one module."""
    driver = Driver(settings(gateways=1))
    costs = _measure_list(driver, partial(full_list, size), repeats(size), repeats(size))
    beats = [duration_of(driver.tick) for _ in range(repeats(size))]
    requests = served(driver, local_customers(KNOWN, driver), arrivals(size))
    return {**costs, "beat": median(beats) * SECOND / TICK, "arrival": median(requests)}


def _measure_list(driver: Driver, made: Callable[[int], EndpointUpdate], lists: int, changes: int) -> Figures:
    """Measures a first list, later full lists and changes of one backend.

    `made` returns the list of a version.
    """
    empty = resident()
    listed = [made(1)]
    first = duration_of(lambda: driver.handle(listed.pop()))
    held = resident() - empty
    again = []
    for version in range(2, 2 + lists):
        full = made(version)
        again.append(duration_of(partial(driver.handle, full)))
    drained = [duration_of(partial(driver.handle, drain(1))) for _ in range(changes)]
    return {"memory": held, "list_first": first, "list": median(again), "change": median(drained)}


def candidates(size: int) -> Figures:
    """Measures a request if only the backends of its own service are known."""
    driver = Driver(settings(gateways=1))
    driver.handle(full_list(size, 1))
    customers = local_customers(KNOWN, driver)
    served(driver, customers, KNOWN)
    return {"arrival": median(served(driver, customers, 4000))}


def services(size: int) -> Figures:
    """Measures `size` services of `SERVICE` backends, each with its broker, and with shared quotas."""
    classes = tuple(
        replace(each, name=f"service-{number}/{each.name}") for number in range(size) for each in CLASSES
    )
    driver = Driver(replace(settings(gateways=1), classes=classes), size)
    costs = _measure_list(driver, partial(_by_service, size), REPEATS, MAX_REPEATS)
    customers = local_customers(KNOWN, driver)
    requests = [driver.serve(customers[number % KNOWN], number % len(classes)) for number in range(6000)]
    beats = [duration_of(driver.tick) for _ in range(MAX_REPEATS)]
    return {**costs, "beat": median(beats) * SECOND / TICK, "arrival": median(requests[3000:])}


def _by_service(size: int, version: int) -> EndpointUpdate:
    """Returns the list of the backends of `size` services."""
    entries = full_list(size * SERVICE, version).backends
    by_service = tuple(replace(entry, service=number // SERVICE) for number, entry in enumerate(entries))
    return EndpointUpdate(EndpointUpdateKind.FULL, version, by_service)


def line(size: int) -> Figures:
    """Measures the size and the parsing of a full endpoint list."""
    hosts = [
        {
            "host": f"s-{number:08x}",
            "dial": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379",
            "site": f"zone-{number % 12}",
            "class": "m1",
            "block": number // SERVICE,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 1_764_000_000_000 + number,
        }
        for number in range(1, size + 1)
    ]
    text = json.dumps({"seq": 1, "whole": True, "hosts": hosts}, separators=(",", ":")).encode()
    change = json.dumps({"seq": 2, "whole": False, "hosts": hosts[:1]}, separators=(",", ":")).encode()
    del hosts
    parse = partial(_parse, text, tuple(f"zone-{number}" for number in range(12)))
    steps = [duration_of(parse) for _ in range(repeats(size))]
    return {"bytes": len(text), "parse": median(steps), "change_bytes": len(change)}


def _parse(text: bytes, zones: tuple[str, ...]) -> None:
    parse_update(json.loads(text), zones, ("m1",))


def plans(size: int) -> Figures:
    """Measures `size` plans, as if each tenant had its own, and a change of all of them at once."""
    empty = resident()
    driver = Driver(settings(plans=tuple(replace(PLAN, name=f"plan-{n}") for n in range(size))))
    held = resident() - empty
    changes = []
    for number in range(REPEATS):
        made = tuple(replace(PLAN, name=f"plan-{n}", rate_per_s=51.0 + number) for n in range(size))
        changed = PlansChanged(made)
        changes.append(duration_of(partial(driver.handle, changed)))
    return {"memory": held, "change": median(changes)}


def reservations(size: int) -> Figures:
    """Measures `size` tenants with a reservation each and a common plan, and a change of all at once."""
    driver = Driver(settings())
    empty = resident()
    made = [PlansChanged((PLAN,), tuple((customer, 5.0, 10.0) for customer in range(size)))]
    driver.handle(made.pop())
    held = resident() - empty
    changes = []
    for number in range(REPEATS):
        reserved = tuple((customer, 6.0 + number, 10.0) for customer in range(size))
        changed = PlansChanged((PLAN,), reserved)
        changes.append(duration_of(partial(driver.handle, changed)))
    return {"memory": held, "change": median(changes)}


def customers(size: int) -> Figures:
    """Measures `size` customers with a request in flight.

    The ticks of two seconds evaluate each of them once.
    """
    driver = Driver(settings(gateways=1))
    driver.handle(full_list(SERVICE, 1))
    empty = resident()
    for customer in range(size):
        driver.ask(customer)
    held = resident() - empty
    open_now = len(driver.broker.requests.open_requests)
    if open_now < size:
        raise RuntimeError(f"requests in flight: must be at least {size}, got {open_now}")
    calm = [duration_of(lambda: _run_ticks(driver, 20)) / 2.0 for _ in range(REPEATS)]
    return {"memory": held, "beat": median(calm)}


def pressed(size: int) -> Figures:
    """Measures the evaluation of `size` commitments, each solved together with all others.

    All have a request in flight while answers are late. The pressure of the model is set directly, and all
    commitments are due at once.
    """
    driver = Driver(settings(gateways=1))
    driver.handle(full_list(SERVICE, 1))
    for customer in range(size):
        driver.ask(customer)
    broker = driver.broker
    for commitment in broker.commitments.active.values():
        commitment.mean_in_flight.add(driver.now, 1.0)
    broker.model.is_congested = True
    broker.model.response_times_ns = [0.01 * SECOND * n for n in range(64)]
    driver.now += 3 * SECOND
    return {"evaluation": duration_of(partial(broker.commitments.evaluate_due, driver.now))}


def members(size: int) -> Figures:
    """Measures a change of the view, and requests after it.

    Nearly all customers have other gateways as quota owners, so that a request ends in a message to one. Its
    cost is that of the arrival only.
    """
    driver = Driver(settings(gateways=size))
    driver.handle(full_list(SERVICE, 1))
    made = [view(size, gone) for gone in range(1, 1 + VIEWS)]
    changes = [duration_of(partial(driver.handle, each)) for each in made]
    asking = range(1, 1 + ASKING)
    first = [duration_of(partial(driver.ask, customer, size)) for customer in asking]
    driver.now += SECOND
    later = [duration_of(partial(driver.ask, customer, size)) for customer in asking]
    return {"change": median(changes), "first": median(first), "arrival": median(later)}


def view(size: int, gone: int) -> FleetChanged:
    """Returns a view of `size` members without `gone`; each member has one part in `size` of the slots."""
    others = tuple(number for number in range(1, size) if number != gone)
    slots_by_gateway = tuple(slots_of((number, size)) for number in range(size))
    slots = slots_by_gateway[0] or 1
    return FleetChanged(
        own_number=0,
        peers=others,
        quota_owners=(0, *others),
        gateway_slots=slots_by_gateway,
        own_slots=slots,
        peer_slots=tuple(slots_by_gateway[number] for number in others),
        valid_until_ns=2 * START,
        reassigned_at_ns=2 * START,
    )


def _run_ticks(driver: Driver, count: int) -> None:
    for _ in range(count):
        driver.tick()


SUBJECTS: dict[str, Callable[[int], Figures]] = {
    subject.__name__: subject
    for subject in (
        backends,
        candidates,
        services,
        line,
        plans,
        reservations,
        customers,
        pressed,
        members,
    )
}


def print_figures(named: Mapping[str, Callable[[int], Figures]], words: Iterable[str]) -> int:
    """Runs the command with the name of a subject and a size; returns the exit status."""
    name, size = words
    print(json.dumps(named[name](int(size))))
    return 0


def main(words: Iterable[str]) -> int:
    return print_figures(SUBJECTS, words)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
