"""Measures the cores of a control machine and of a gateway that follows it, at one size.

The cores run without sockets and without encoding. `python -m benchmarks.scale.control_state NAME SIZE`
prints figures as `subjects.py` does.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from functools import partial
from itertools import count
from statistics import median

from trackspread.cells.directory import REBUILD_NS, Directory
from trackspread.cells.directory_leader import TICK_INTERVAL_NS
from trackspread.cells.messages import PlacementRequest
from trackspread.cells.topology import CellPolicy, ControlMachine, Zone
from trackspread.distribution.log import Log
from trackspread.distribution.poll_server import PollServer, subscription_digest
from trackspread.distribution.subscriber import Subscriber
from trackspread.distribution.actions import Send
from trackspread.distribution.messages import Delta, Poll, Subscribe
from trackspread.distribution.settings import ReplicaSettings, SubscriberSettings
from trackspread.distribution.versions import Entry, Version
from trackspread.membership.identifiers import MemberId

from .demand import ASKED, SERVICES_PER_GATEWAY
from .subjects import REPEATS, SECOND, START, Figures, print_figures, resident, duration_of

VALUE_BYTES = 200  # Of one route, as the page of capacity assumes; the bound of an entry is 640.
ROUTES = int(ASKED["routes"] / ASKED["services"])  # Of one service.
REPEATED = 20 * REPEATS  # Repeats of steps of about 10 us.
DELTA_ENTRIES = 4
COPIES = 8  # Equal directories: the memory of one for a few hundred gateways is less than some pages.
REPLICA, GATEWAY = ("10.0.0.1", 7500), ("10.1.0.1", 7500)
EPOCH = (1, 0)
REGIONS, ZONES, MACHINES = int(ASKED["regions"]), int(ASKED["zones"]), int(ASKED["control"])


def entry(sequence: int, route: int) -> Entry:
    """Returns a change of one route with this sequence number."""
    value = (b"%d:" % sequence).ljust(VALUE_BYTES, b"v")
    return Entry(Version(1, EPOCH, sequence), service(route // ROUTES), f"route-{route:06}", value)


def service(number: int) -> str:
    """Returns the name of a service."""
    return f"service-{number:04}"


def logged(routes: int) -> Log:
    """Returns a replica's log in which each of `routes` routes was set once."""
    log = Log(ReplicaSettings(0, 1, (REPLICA,)).max_recent_entries)
    for route in range(routes):
        change(log, entry(route + 1, route))
    return log


def change(log: Log, made: Entry) -> None:
    """Appends and commits one change."""
    log.append(made)
    log.commit(made.version)


def routes(size: int) -> Figures:
    """Measures a replica with `size` routes: a further change, and polls that find no change and one."""
    empty = resident()
    log = logged(size)
    held = resident() - empty
    changes = [entry(size + number, number % size) for number in range(1, 1 + REPEATED)]
    change_times = [duration_of(partial(change, log, made)) for made in changes]
    serving = PollServer(log, 10**6)
    carried = tuple(service(number) for number in range(SERVICES_PER_GATEWAY))
    subscription = subscription_digest(carried)
    serving.subscriptions.add_part(GATEWAY, Subscribe(subscription, 0, 1, carried))
    now, numbers = count(START, SECOND), count(1)
    newest, before = log.committed, changes[-2].version

    def poll(version: Version) -> float:
        request = Poll(next(numbers), version, subscription)
        answers = list[object]()
        now_ns = next(now)
        used = duration_of(lambda: answers.extend(serving.answer(now_ns, request, now_ns)))
        if not isinstance(answers[0], Delta):
            raise RuntimeError(f"answer to a poll: must be a delta, got {answers}")
        return used

    return {
        "memory": held,
        "change": median(change_times),
        "poll": median(poll(newest) for _ in range(REPEATED)),
        "delta": median(poll(before) for _ in range(REPEATED)),
    }


def subscribed(size: int) -> Figures:
    """Measures a gateway that received `size` routes by deltas, and one change of one of them."""
    empty = resident()
    subscriber = Subscriber(SubscriberSettings((REPLICA,), None), START, 1)
    now = count(START + 2 * subscriber.settings.period_ns, 2 * subscriber.settings.period_ns)
    for first in range(0, size, DELTA_ENTRIES):
        some = tuple(entry(at + 1, at) for at in range(first, min(size, first + DELTA_ENTRIES)))
        _apply_delta(subscriber, next(now), some)
    held = resident() - empty
    changes = [
        _apply_delta(subscriber, next(now), (entry(size + number, number % size),))
        for number in range(1, 1 + REPEATED)
    ]
    return {"memory": held, "change": median(changes)}


def _apply_delta(subscriber: Subscriber, now: int, entries: tuple[Entry, ...]) -> float:
    """Returns the CPU seconds of a delta that answers the next poll."""
    sent = [each.body for each in subscriber.tick(now) if isinstance(each, Send)]
    if not sent or not isinstance(sent[0], Poll):
        raise RuntimeError(f"message of a subscriber: must be a poll, got {sent}")
    delta = Delta(sent[0].number, entries[-1].version, 0, entries, False)
    used = duration_of(partial(subscriber.on_message, now, delta, REPLICA))
    if subscriber.version != delta.version:
        raise RuntimeError(f"version of a subscriber: must be {delta.version}, got {subscriber.version}")
    return used


def machines() -> tuple[ControlMachine, ...]:
    """Returns the control machines, spread over all regions and zones."""
    return tuple(
        ControlMachine(
            f"control-{number:02}",
            f"region-{number % REGIONS}",
            f"zone-{number % ZONES}",
            (f"10.9.0.{number + 1}", 7400),
        )
        for number in range(MACHINES)
    )


def zone_of(gateway: int) -> Zone:
    """Returns the zone of a gateway."""
    zone = gateway % ZONES
    return Zone(f"region-{zone % REGIONS}", f"zone-{zone}")


def directory(size: int) -> Figures:
    """Measures the leader's directory of `size` gateways: placement requests, reports of seeds and ticks."""
    empty = resident()
    requests, reports, directories = list[float](), list[float](), list[Directory]()
    for _ in range(COPIES):
        directories.append(
            made := Directory(START, EPOCH, CellPolicy(max_fleet_gateways=2 * size), machines())
        )
        requests += [
            duration_of(partial(_locate, made, START + REBUILD_NS, gateway)) for gateway in range(size)
        ]
        reports += _report_cells(made)
    held = (resident() - empty) / COPIES
    live = frozenset(machine.name for machine in machines())
    moments = range(START + REBUILD_NS, START + REBUILD_NS + REPEATED * SECOND, SECOND)
    ticks = [duration_of(partial(made.tick, now, live)) for now in moments]
    return {
        "memory": held,
        "locate": median(requests),
        "report": median(reports),
        "looks": median(ticks) * SECOND / TICK_INTERVAL_NS,
    }


def _report_cells(made: Directory) -> list[float]:
    """Returns the CPU seconds of a seed's report of each cell, which confirms all pending gateways."""
    used = []
    for known in made.entries.values():
        inside: list[MemberId] = [(name, 1) for name in known.pending]
        used.append(
            duration_of(partial(made.record_report, START + REBUILD_NS, known.cell, (1, 0, 1), inside))
        )
    return used


def _locate(made: Directory, now: int, gateway: int) -> None:
    zone = zone_of(gateway)
    where = PlacementRequest(zone.region, zone.zone, (f"10.{gateway >> 8}.{gateway & 255}.1", 7400))
    if made.place(now, (f"gateway-{gateway:04}", 1), where) is None:
        raise RuntimeError(f"gateway {gateway}: must be placed, got no cell")


SUBJECTS = {subject.__name__: subject for subject in (routes, subscribed, directory)}


def main(words: Iterable[str]) -> int:
    return print_figures(SUBJECTS, words)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
