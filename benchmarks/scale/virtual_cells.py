"""Simulates cells at the required size in virtual time: the loss of a zone, and a partition of a region.

Each fault has a simulation of its own, so that simulations run in parallel in processes of their own. The
module knows the state of every process and the true time; it does not use sockets.
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
STEP_NS = SECOND // 4  # Between two checks whether all have settled.
Fault = Literal["zone", "region"]


class Job(msgspec.Struct, frozen=True):
    """Describes one simulation, with times in seconds.

    `most` is the most time to settle, after the start and after the fault.
    """

    fault: Fault
    gateways: int
    cut: float
    most: float
    seed: int = 1


class Played(msgspec.Struct, frozen=True):
    """Holds the results of a simulation.

    Bytes per second are by virtual time: the greater of sent and received.
    """

    job: Job
    start_s: float | None  # Until all had settled after a simultaneous start.
    settle_s: float | None  # After the fault, or after the partition ended.
    struck: int
    false_dead: int  # Live members that a member in reach declared dead by its own probes.
    peak_control_bytes_s: int
    peak_gateway_bytes_s: int
    rest_control_bytes_s: int  # Of the busiest, before the fault.
    rest_gateway_bytes_s: int
    took_s: float  # Wall clock time.


class RecordedWorld:
    """Runs a simulation, and records the traffic of each second and the live members declared dead."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.world = CellsWorld(job.seed, regions=REGIONS, machines=MACHINES, zones=ZONES_EACH)
        self.world.populate(job.gateways // (REGIONS * ZONES_EACH))
        self._before: dict[str, tuple[int, int]] = {}
        self._second = 0
        self.peaks = {"c": 0, "g": 0}
        self.false_dead: set[tuple[str, object]] = set()
        self._suspects: dict[tuple[str, object], bool] = {}  # Whether the two were cut off at the suspicion.

    def start(self) -> None:
        for process in list(self.world.processes.values()):
            self.world.start(process)

    def settled(self) -> bool:
        return not self.world.unsettled_reason()

    def run(self, span: float, until: Callable[[], bool] = lambda: False) -> float | None:
        """Returns the seconds of virtual time until `until` holds, or None if it does not within `span` s."""
        world, started = self.world, self.world.elapsed_ns
        end = started + int(span * SECOND)
        while world.elapsed_ns < end:
            world.run_until(min(end, world.elapsed_ns + STEP_NS))
            self._judge()
            self._count()
            if until():
                return (world.elapsed_ns - started) / SECOND
        return None

    def _judge(self) -> None:
        """Records verdicts by own probes on running members that were in reach since the suspicion."""
        for _, reporter, what in self.world.events:
            told = what.action if isinstance(what, MemberAction) else None
            if not isinstance(told, StatusEvent) or told.kind != "member" or told.details["by"] != reporter:
                continue
            about = told.details
            key = reporter, about["who"]
            if about["state"] == "SUSPECT":
                self._suspects.setdefault(key, self._is_cut_off(reporter, about["who"]))
                continue
            cut_off = self._suspects.pop(key, False) or self._is_cut_off(reporter, about["who"])
            if about["state"] == "DEAD" and not cut_off and self._is_running(about["who"]):
                self.false_dead.add(key)
        self.world.events.clear()

    def _is_cut_off(self, reporter: str, who: object) -> bool:
        processes = self.world.processes
        return self.world.severed(processes[reporter], processes[str(who[0])])  # type: ignore[index]

    def _is_running(self, who: object) -> bool:
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
            busier_bytes = max(now[0] - before[0], now[1] - before[1])
            self.peaks[name[0]] = max(self.peaks[name[0]], busier_bytes)

    def take_peaks(self) -> tuple[int, int]:
        """Returns the peaks of control machines and of gateways since the last call."""
        taken, self.peaks = (self.peaks["c"], self.peaks["g"]), {"c": 0, "g": 0}
        return taken


def play(job: Job) -> Played:
    """Starts all members at once, lets them settle and rest, causes the fault, and lets them settle."""
    began = time.monotonic()
    recorded = RecordedWorld(job)
    recorded.start()
    start = recorded.run(job.most, recorded.settled)
    recorded.run(2.0)
    recorded.take_peaks()
    recorded.run(3.0)
    rest = recorded.take_peaks()
    struck = _cause_fault(recorded)
    settle = recorded.run(job.most, recorded.settled)
    recorded.run(1.0)
    peak = recorded.take_peaks()
    return Played(
        job,
        start,
        settle,
        struck,
        len(recorded.false_dead),
        peak[0],
        peak[1],
        rest[0],
        rest[1],
        round(time.monotonic() - began, 1),
    )


def _cause_fault(recorded: RecordedWorld) -> int:
    """Runs the fault to its end; returns the number of gateways that it struck."""
    world = recorded.world
    if recorded.job.fault == "zone":
        zone = world.zones[-1]
        struck: list[Process] = world.processes_of("g", zone) + world.processes_of("c", zone)
        for process in struck:
            world.kill(process)
        return sum(process.name.startswith("g") for process in struck)
    region = world.zones[-1].region
    world.cut_off(region, {zone.region for zone in world.zones} - {region})
    recorded.run(recorded.job.cut)
    world.heal_regions()
    return len(world.processes_of("g", region=region))


async def play_in_process(job: Job, guard: Guard) -> Played:
    """Runs the simulation in a process of its own. Raises `WorldFailed`."""
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
        raise WorldFailed(
            f"simulation of {job.gateways} gateways: exit status must be 0, got {process.returncode}"
        )
    return msgspec.json.decode(out, type=Played)


class WorldFailed(Exception):
    """Reports a simulation that did not finish: an invariant failed, or its process ended."""


def main() -> None:
    """Runs one job, given as JSON, and prints its results as one line of JSON."""
    gc.disable()  # A simulation is large and creates few reference cycles.
    job = msgspec.json.decode(sys.argv[1], type=Job)
    print(msgspec.json.encode(play(job)).decode())


if __name__ == "__main__":
    main()
