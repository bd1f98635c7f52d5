"""What catching up costs where configuration is handed down: of gateways that restart, and of a replica.

In virtual time, with the program's own cores and sizes of datagrams: seconds are the network's and the
bounds' own, of processor time only what is told as such. `configuration.py` measures the same on sockets.
`python -m benchmarks.scale.distribution [--quick]` prints measurements, a JSON array.
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

ROUTES_SERVICE = 30  # 62,000 in 2,100 services
VALUE = 64  # bytes of a route's value
REPLICAS = 5
MOST = 120 * SECOND  # ns of virtual time: nothing here takes as long
STEP = 20 * MILLISECOND
DATAGRAMS = 2000  # with entries that a replica may send gateways in a second, the default
IN_FORCE = 9.0  # s

Figures = dict[str, float]


class Filled(World):
    """Holds so many services from the beginning; nothing is judged."""

    def __init__(self, services: int, gateways: int = 0, each: int = 0, pieces: int = DATAGRAMS) -> None:
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
        """As an operator does, with no gateway up yet."""
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
            made[service] = {key: Entry(version, service, key, b"v" * VALUE) for key in keys}
        return made

    def _record(self, process: Process, event: StatusEvent) -> None:
        """Worlds for tests judge."""

    def until(self, holds: Callable[[], bool]) -> float:
        """s of virtual time; raises `TimeoutError`."""
        began = self.now
        while not holds():
            if self.now - began > MOST:
                raise TimeoutError(f"not within {MOST / SECOND:.0f} s")
            self.run(STEP)
        return (self.now - began) / SECOND


def current(process: Process) -> bool:
    """Whether a gateway holds all that it wants."""
    return (
        isinstance(process.core, Subscriber)
        and process.core.fresh_at_ns is not None
        and process.core.version.sequence > 1 << 20
    )


def carried(size: int) -> Figures:
    """One gateway starts that carries so many services of 2,100."""
    world = Filled(2_100, 1, size)
    gateway = world.gateways[0]
    world.bytes.clear()
    began = time.process_time_ns()
    world.start(gateway)
    seconds = world.until(lambda: current(gateway))
    cpu = (time.process_time_ns() - began) / SECOND
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
    """A replica starts anew, where so many services are held."""
    world = Filled(size)
    process = world.replicas[3]
    world.kill(process)
    world.bytes.clear()
    world.start(process)
    seconds = world.until(lambda: isinstance(process.core, Replica) and process.core.is_complete)
    return {"s": seconds, "bytes": world.bytes[process.name]}


def restarted(size: int) -> Figures:
    """So many gateways of 16 services each start at once, for each replica."""
    world = Filled(2_100, size * REPLICAS, 16)
    for process in world.gateways:
        world.start(process)
    return {"s": world.until(lambda: all(map(current, world.gateways)))}


class Subject(msgspec.Struct, frozen=True):
    """`sizes`: the last is held out."""

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
    """All figures of one subject."""
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
            limit=IN_FORCE if name == "s" else None,
        )
        for name, points in found.items()
    ]


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="a quarter of the sizes")
    quick = parser.parse_args().quick
    run = this_run("python -m benchmarks.scale.distribution" + (" --quick" if quick else ""))
    made = [each for subject in SUBJECTS for each in measure(subject, run, quick)]
    print(json.dumps(msgspec.to_builtins(made)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
