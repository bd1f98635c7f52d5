"""What one gateway's decision module costs at one size of one factor: each subject runs in a fresh process.

`python -m benchmarks.scale.subjects NAME SIZE` prints a JSON object of figures: seconds of this process's own
CPU clock, bytes by the growth of its resident size. `module.py` starts these and takes medians.
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
PAGE = os.sysconf("SC_PAGE_SIZE")
REPEATS = 9  # of each timed step within one process, at least
REPEATS_MOST, REPEATS_WORK = 300, 60_000  # and where the step is short, by its size
VIEWS = 41  # changes of the view, each of well under 1 ms
SERVICE = 28  # backends of one service: 59,000 in 2,100
MEMBERS = 40  # gateways of a subject whose factor is another one
ARRIVALS_LEAST, ARRIVALS_WORK = 60, 400_000  # requests timed: so many backends looked at in all, or more
ASKING = 300  # customers whose requests end in an ask to their homes
KNOWN = 200  # customers that have come before, of those that arrive

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
    """What the module is told at its start; customers have homes, as in every fleet of over some six."""
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
    """Bytes that this process holds resident, after a collection."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def duration_of(step: Callable[[], object]) -> float:
    """Seconds of CPU that `step` used."""
    began = time.process_time_ns()
    step()
    return (time.process_time_ns() - began) / SECOND


def full_list(size: int, version: int) -> EndpointUpdate:
    """So many ready backends, in services of some 28; every call makes new entries, as a parsed line does."""
    entries = tuple(
        Backend(number, number % 12, 0, number // SERVICE, Health.READY, 1.0, 0)
        for number in range(1, size + 1)
    )
    return EndpointUpdate(EndpointUpdateKind.FULL, version, entries)


def drain(number: int) -> EndpointUpdate:
    """Discovery's word that one backend drains."""
    return EndpointUpdate(
        EndpointUpdateKind.DELTA, 100, (Backend(number, number % 12, 0, 0, Health.DRAINING, 1.0, 0),)
    )


class Driver:
    """Feeds one module: requests that are answered at once, and time. `broker`: the module, or the first of
    its services' brokers."""

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
        """The module's own beat."""
        self.now += TICK
        self.handle(TimerFired(TICK_TIMER))

    def ask(self, customer: int, spread: int = 1, first: int = 0, cls: int = 0) -> list[Action]:
        """One request of a customer, at this instant."""
        self._request += 1
        valid_until = self.now + 3 * SECOND
        return self.handle(
            RequestArrived(self._request, cls, 0, customer, valid_until, 1.0, spread, first, 0)
        )

    def serve(self, customer: int, cls: int = 0) -> float:
        """CPU seconds of one request from its arrival to its end; it must have been sent on."""
        self.now += SECOND // 67
        began = time.process_time_ns()
        actions = self.ask(customer, cls=cls)
        sent = [action for action in actions if isinstance(action, StartAttempt)]
        for action in sent:
            ended = AttemptEnded(action.request, True, 0, action.backend, 0, Outcome.OK, SECOND // 100, 0, ())
            self.handle(ended)
        used = time.process_time_ns() - began
        if not sent:
            raise RuntimeError(f"customer {customer}: not sent on, no fair work: {actions}")
        return used / SECOND


def local_customers(count: int, driver: Driver) -> list[int]:
    """Customers whose requests go on at once, as this gateway is their home."""
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
    """CPU seconds of each of so many requests, of customers in turn."""
    return [driver.serve(customers[number % len(customers)]) for number in range(count)]


def arrivals(size: int) -> int:
    """Requests to time where each looks at so many backends."""
    return max(ARRIVALS_LEAST, ARRIVALS_WORK // max(1, size))


def repeats(size: int) -> int:
    """Of a step whose cost grows with `size`: small ones are short, and need more for a sound median."""
    return max(REPEATS, min(REPEATS_MOST, REPEATS_WORK // max(1, size)))


def backends(size: int) -> Figures:
    """A list of all backends of the fleet, in one module."""
    driver = Driver(settings(gateways=1))
    costs = _listed(driver, partial(full_list, size), repeats(size), repeats(size))
    beats = [duration_of(driver.tick) for _ in range(repeats(size))]
    requests = served(driver, local_customers(KNOWN, driver), arrivals(size))
    return {**costs, "beat": median(beats) * SECOND / TICK, "arrival": median(requests)}


def _listed(driver: Driver, made: Callable[[int], EndpointUpdate], lists: int, changes: int) -> Figures:
    """What a first list, later whole ones and one backend's changes cost; `made`: the list by its version."""
    empty = resident()
    listed = [made(1)]
    first = duration_of(lambda: driver.handle(listed.pop()))
    held = resident() - empty
    again = []
    for version in range(2, 2 + lists):
        whole = made(version)
        again.append(duration_of(partial(driver.handle, whole)))
    drained = [duration_of(partial(driver.handle, drain(1))) for _ in range(changes)]
    return {"memory": held, "list_first": first, "list": median(again), "change": median(drained)}


def candidates(size: int) -> Figures:
    """A request that sees the backends of its own service alone."""
    driver = Driver(settings(gateways=1))
    driver.handle(full_list(size, 1))
    customers = local_customers(KNOWN, driver)
    served(driver, customers, KNOWN)
    return {"arrival": median(served(driver, customers, 4000))}


def services(size: int) -> Figures:
    """So many services of `SERVICE` backends each, with brokers of their own and shared quotas."""
    classes = tuple(
        replace(each, name=f"service-{number}/{each.name}") for number in range(size) for each in CLASSES
    )
    driver = Driver(replace(settings(gateways=1), classes=classes), size)
    costs = _listed(driver, partial(_by_service, size), REPEATS, REPEATS_MOST)
    customers = local_customers(KNOWN, driver)
    requests = [driver.serve(customers[number % KNOWN], number % len(classes)) for number in range(6000)]
    beats = [duration_of(driver.tick) for _ in range(REPEATS_MOST)]
    return {**costs, "beat": median(beats) * SECOND / TICK, "arrival": median(requests[3000:])}


def _by_service(size: int, version: int) -> EndpointUpdate:
    """The list of all their backends."""
    entries = full_list(size * SERVICE, version).backends
    told = tuple(replace(entry, service=number // SERVICE) for number, entry in enumerate(entries))
    return EndpointUpdate(EndpointUpdateKind.FULL, version, told)


def line(size: int) -> Figures:
    """Discovery's whole list on the wire, and what its parsing costs."""
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
    """Figures of so many plans, as where each tenant has its own; then all of them changed at once."""
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
    """So many tenants with a reservation of their own on top of a common plan; then all changed at once."""
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
    """So many customers with a request under way; beats of two seconds, in which each is evaluated once."""
    driver = Driver(settings(gateways=1))
    driver.handle(full_list(SERVICE, 1))
    empty = resident()
    for customer in range(size):
        driver.ask(customer)
    held = resident() - empty
    open_now = len(driver.broker.requests.open_requests)
    if open_now < size:
        raise RuntimeError(f"{open_now} of {size} requests under way: no fair work")
    calm = [duration_of(lambda: _beats(driver, 20)) / 2.0 for _ in range(REPEATS)]
    return {"memory": held, "beat": median(calm)}


def pressed(size: int) -> Figures:
    """So many customers under way while answers come late: each commitment is solved beside all others. The
    model's pressure is set by hand, and all are due at once."""
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
    """The view as the module has it: a change of it, and requests after one. Nearly all customers' homes are
    other gateways, so that a request ends in an ask; its cost is that of the arrival alone."""
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
    """A view of so many members, but for one; this gateway and every other has one part in `size`."""
    others = tuple(number for number in range(1, size) if number != gone)
    seats = tuple(slots_of((number, size)) for number in range(size))
    slots = seats[0] or 1
    return FleetChanged(
        own_number=0,
        peers=others,
        quota_owners=(0, *others),
        gateway_slots=seats,
        own_slots=slots,
        peer_slots=tuple(seats[number] for number in others),
        valid_until_ns=2 * START,
        reassigned_at_ns=2 * START,
    )


def _beats(driver: Driver, count: int) -> None:
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
    """The command: a subject's name and a size. Exit status."""
    name, size = words
    print(json.dumps(named[name](int(size))))
    return 0


def main(words: Iterable[str]) -> int:
    return print_figures(SUBJECTS, words)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
