"""Cells at the size asked for, in virtual time: a zone that is lost, and a region that is cut off and heals.

Each fault plays in a world of its own, so that worlds run side by side in processes of their own. May know:
what every process holds, true time. May not know: sockets.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from collections.abc import Callable
from typing import Literal

import msgspec

from trackspread.cells.actions import MemberAction
from trackspread.membership.actions import StatusEvent
from trackspread.membership.identifiers import SECOND
from trackspread.testing.virtual.cells.world import CellsWorld, Process

from .bounds import Guard

REGIONS, ZONES_EACH, MACHINES = 4, 3, 19
STEP = SECOND // 4  # ns between looks at whether all is settled
Fault = Literal["zone", "region"]


class Job(msgspec.Struct, frozen=True):
    """One world. Times in s; `most`: until it has to be settled, from its start and from the fault on."""

    fault: Fault
    gateways: int
    cut: float
    most: float
    seed: int = 1


class Played(msgspec.Struct, frozen=True):
    """What came of it. Bytes a second are of virtual time, the greater of sent and received."""

    job: Job
    start_s: float | None  # until all were settled after they had started at once
    settle_s: float | None  # after the fault, or its heal
    struck: int
    false_dead: int  # live members in reach that somebody's own probes called dead
    peak_control_bytes_s: int
    peak_gateway_bytes_s: int
    rest_control_bytes_s: int  # of the busiest, before the fault
    rest_gateway_bytes_s: int
    took_s: float  # of wall clock


class Watched:
    """A world, what its processes send within each second, and whom they call dead by mistake."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.world = CellsWorld(job.seed, regions=REGIONS, machines=MACHINES, zones=ZONES_EACH)
        self.world.populate(job.gateways // (REGIONS * ZONES_EACH))
        self._before: dict[str, tuple[int, int]] = {}
        self._second = 0
        self.peaks = {"c": 0, "g": 0}
        self.mistaken: set[tuple[str, object]] = set()
        self._suspects: dict[tuple[str, object], bool] = {}  # whether the way was cut when it was suspected

    def start(self) -> None:
        for process in list(self.world.processes.values()):
            self.world.start(process)

    def settled(self) -> bool:
        return not self.world.unsettled_reason()

    def run(self, span: float, until: Callable[[], bool] = lambda: False) -> float | None:
        """s of virtual time until `until` holds; None where it does not within `span` s."""
        world, begun = self.world, self.world.elapsed_ns
        end = begun + int(span * SECOND)
        while world.elapsed_ns < end:
            world.run_until(min(end, world.elapsed_ns + STEP))
            self._judge()
            self._count()
            if until():
                return (world.elapsed_ns - begun) / SECOND
        return None

    def _judge(self) -> None:
        """Verdicts by own probes on processes that run and were in reach all along."""
        for _, teller, what in self.world.events:
            told = what.action if isinstance(what, MemberAction) else None
            if not isinstance(told, StatusEvent) or told.kind != "member" or told.details["by"] != teller:
                continue
            about = told.details
            key = teller, about["who"]
            if about["state"] == "SUSPECT":
                self._suspects.setdefault(key, self._severed(teller, about["who"]))
                continue
            apart = self._suspects.pop(key, False) or self._severed(teller, about["who"])
            if about["state"] == "DEAD" and not apart and self._runs(about["who"]):
                self.mistaken.add(key)
        self.world.events.clear()

    def _severed(self, teller: str, who: object) -> bool:
        processes = self.world.processes
        return self.world.severed(processes[teller], processes[str(who[0])])  # type: ignore[index]

    def _runs(self, who: object) -> bool:
        core = self.world.processes[str(who[0])].core  # type: ignore[index]
        return core is not None and core.member_id == who

    def _count(self) -> None:
        if self.world.elapsed_ns < self._second + SECOND:
            return
        self._second = self.world.elapsed_ns
        sent, came = self.world.bytes_sent, self.world.bytes_received
        for name in self.world.processes:
            now, before = (sent[name], came[name]), self._before.get(name, (0, 0))
            self._before[name] = now
            busier = max(now[0] - before[0], now[1] - before[1])
            self.peaks[name[0]] = max(self.peaks[name[0]], busier)

    def take_peaks(self) -> tuple[int, int]:
        """Of control machines and of gateways, since the last call."""
        taken, self.peaks = (self.peaks["c"], self.peaks["g"]), {"c": 0, "g": 0}
        return taken


def play(job: Job) -> Played:
    """Start at once, settle, rest, the fault, settle."""
    began = time.monotonic()
    watched = Watched(job)
    watched.start()
    start = watched.run(job.most, watched.settled)
    watched.run(2.0)
    watched.take_peaks()
    watched.run(3.0)
    rest = watched.take_peaks()
    struck = _strike(watched)
    settle = watched.run(job.most, watched.settled)
    watched.run(1.0)
    peak = watched.take_peaks()
    return Played(
        job,
        start,
        settle,
        struck,
        len(watched.mistaken),
        peak[0],
        peak[1],
        rest[0],
        rest[1],
        round(time.monotonic() - began, 1),
    )


def _strike(watched: Watched) -> int:
    """The fault, to its end; how many gateways it struck."""
    world = watched.world
    if watched.job.fault == "zone":
        zone = world.zones[-1]
        struck: list[Process] = world.processes_of("g", zone) + world.processes_of("c", zone)
        for process in struck:
            world.kill(process)
        return sum(process.name.startswith("g") for process in struck)
    region = world.zones[-1].region
    world.cut_off(region, {zone.region for zone in world.zones} - {region})
    watched.run(watched.job.cut)
    world.heal_regions()
    return len(world.processes_of("g", region=region))


async def play_beside(job: Job, guard: Guard) -> Played:
    """In a process of its own, at the side of what else runs. Raises `WorldFailed`."""
    guard.admit(1)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.scale.virtual_cells",
        msgspec.json.encode(job).decode(),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        out, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        raise WorldFailed(f"a world of {job.gateways} gateways ended with status {process.returncode}")
    return msgspec.json.decode(out, type=Played)


class WorldFailed(Exception):
    """A world did not come to its end: an invariant does not hold, or its process ended."""


def main() -> None:
    """One job, as JSON, is played; what came of it is the one line of standard output."""
    gc.disable()  # a world makes no circles that matter, and is large
    job = msgspec.json.decode(sys.argv[1], type=Job)
    print(msgspec.json.encode(play(job)).decode())


if __name__ == "__main__":
    main()
