"""Measures how long restarted gateways and replicas take to get the configuration, and the bytes of it.

The simulation runs in virtual time with the program's own cores and sizes of datagrams. Seconds follow from
the network and the rate limits; only figures named so are CPU time. `configuration.py` measures on sockets.
`python -m benchmarks.scale.distribution [--quick]` prints the measurements as a JSON array.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Callable

import msgspec

from benchmarks.common import say
from trackspread.distribution.log import Snapshot
from trackspread.distribution.replica import Replica
from trackspread.distribution.subscriber import Subscriber
from trackspread.decide.time_units import MILLISECOND, SECOND
from trackspread.distribution.versions import Entry, Version
from trackspread.membership.actions import StatusEvent
from trackspread.testing.virtual.distribution.world import Process, World

from .fit import Point
from .module import this_run
from .slopes import Measurement, Run, measurement

ROUTES_SERVICE = 30  # There are 62,000 in 2,100 services.
VALUE_BYTES = 64  # Of a route.
REPLICAS = 5
TIMEOUT_NS = 120 * SECOND  # Of virtual time: no step takes as long.
STEP_NS = 20 * MILLISECOND
MAX_DATAGRAMS = 2000  # With entries that a replica may send to gateways per second, by default.
MAX_CHANGE_S = 9.0  # Until a change is in force.

Figures = dict[str, float]


class FilledWorld(World):
    """Is a simulation whose replicas hold all services from the start, without checks of invariants."""

    def __init__(self, services: int, gateways: int = 0, each: int = 0, pieces: int = MAX_DATAGRAMS) -> None:
        super().__init__(
            1,
            REPLICAS,
            gateways,
            regions=1,
            services=max(1, services),
            services_per_gateway=each,
            recent_entries=8192,
            pieces_per_s=pieces,
        )
        for process in self.replicas:
            self.start(process)
        self.begin_history()
        version = Version(1, (1, 0), 1 << 20)
        for process in self.replicas:
            if isinstance(process.core, Replica):
                process.core.log.install(self._snapshot(version), version)
        self.appoint(0)
        self.run(2 * SECOND)

    def begin_history(self) -> None:
        """Begins the first history as an operator does, before any gateway starts."""
        for process in self.gateways:
            process.core = None
        gateways, self.start = self.start, lambda process: None  # type: ignore[method-assign]
        try:
            self.start_all()
        finally:
            self.start = gateways  # type: ignore[method-assign]

    def _snapshot(self, version: Version) -> Snapshot:
        made: Snapshot = {}
        for service in self.services:
            keys = (f"route-{number:05}" for number in range(ROUTES_SERVICE))
            made[service] = {key: Entry(version, service, key, b"v" * VALUE_BYTES) for key in keys}
        return made

    def _record(self, process: Process, event: StatusEvent) -> None:
        """Ignores events, which simulations for tests check."""

    def until(self, holds: Callable[[], bool]) -> float:
        """Returns the seconds of virtual time until `holds` is true. Raises `TimeoutError`."""
        started = self.now
        while not holds():
            if self.now - started > TIMEOUT_NS:
                raise TimeoutError(f"condition not reached within {TIMEOUT_NS / SECOND:.0f} s")
            self.run(STEP_NS)
        return (self.now - started) / SECOND


def is_complete_gateway(process: Process) -> bool:
    """Returns whether a gateway holds all entries of its services."""
    return (
        isinstance(process.core, Subscriber)
        and process.core.fresh_at_ns is not None
        and process.core.version.sequence > 1 << 20
    )


def carried(size: int) -> Figures:
    """Measures the start of one gateway with `size` of 2,100 services."""
    world = FilledWorld(2_100, 1, size)
    gateway = world.gateways[0]
    world.bytes.clear()
    started = time.process_time_ns()
    world.start(gateway)
    seconds = world.until(lambda: is_complete_gateway(gateway))
    cpu = (time.process_time_ns() - started) / SECOND
    caught = world.bytes[gateway.name]
    world.bytes.clear()
    world.run(30 * SECOND)
    return {
        "start_s": seconds,
        "start_bytes": caught,
        "start_cpu": cpu,
        "rest_bytes": world.bytes[gateway.name] / 30,
    }


def recovered(size: int) -> Figures:
    """Measures the restart of a replica if there are `size` services."""
    world = FilledWorld(size)
    process = world.replicas[3]
    world.kill(process)
    world.bytes.clear()
    world.start(process)
    seconds = world.until(lambda: isinstance(process.core, Replica) and process.core.is_complete)
    return {"s": seconds, "bytes": world.bytes[process.name]}


def restarted(size: int) -> Figures:
    """Measures the simultaneous start of `size` gateways for each replica, with 16 services each."""
    world = FilledWorld(2_100, size * REPLICAS, 16)
    for process in world.gateways:
        world.start(process)
    return {"s": world.until(lambda: all(map(is_complete_gateway, world.gateways)))}


class Subject(msgspec.Struct, frozen=True):
    """Describes one measured factor; the last of `sizes` is held out."""

    name: str
    factor: str
    run: Callable[[int], Figures]
    sizes: tuple[int, ...]
    units: dict[str, str]
    note: str


SUBJECTS = (
    Subject(
        "carried",
        "services carried",
        carried,
        (4, 8, 16, 32, 64),
        {"start_s": "s", "start_bytes": "bytes", "start_cpu": "s", "rest_bytes": "bytes/s"},
        "of 30 routes each; the processor time is of the gateway, its replica and the rig together",
    ),
    Subject(
        "recovered",
        "services held",
        recovered,
        (131, 262, 525, 1_050, 2_100),
        {"s": "s", "bytes": "bytes"},
        "of 30 routes each, one region; sent and received",
    ),
    Subject(
        "restarted",
        "gateways a replica",
        restarted,
        (12, 24, 48, 96, 192),
        {"s": "s"},
        "all restarted at once, 16 services of 30 routes each",
    ),
)


def measure(subject: Subject, run: Run, quick: bool) -> list[Measurement]:
    """Measures all figures of one subject."""
    sizes = tuple(max(1, size // 4) for size in subject.sizes) if quick else subject.sizes
    found: dict[str, list[Point]] = {}
    for size in sizes:
        figures = subject.run(size)
        say(f"{subject.name} {size}: " + ", ".join(f"{name} {value:.4g}" for name, value in figures.items()))
        for name, value in figures.items():
            found.setdefault(name, []).append((size, value))
    return [
        measurement(
            f"distribution.{subject.name}.{name}",
            subject.factor,
            subject.units[name],
            points[:-1],
            points[-1],
            run,
            note=subject.note,
            limit=MAX_CHANGE_S if name == "s" else None,
        )
        for name, points in found.items()
    ]


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="measures at a quarter of the sizes")
    quick = parser.parse_args().quick
    run = this_run("python -m benchmarks.scale.distribution" + (" --quick" if quick else ""))
    made = [each for subject in SUBJECTS for each in measure(subject, run, quick)]
    print(json.dumps(msgspec.to_builtins(made)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
