"""Makes seeded schedules for usage records; the same seed gives the same run.

Processes end at any point, and disks, the network and billing have faults while they run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from ....storage.slots import HEADER_BYTES, SLOT_BYTES
from ....usage.ledger import Bounds, State
from ....usage.record import Ending, Kind
from .disk import Disk
from .world import MILLISECOND, SECOND, UNLIMITED_BYTES, GatewayProcess, World

MAX_PROCESSES = 6
MAX_FAULTS = (0, 0, 1, 1, 2)  # number of faults of one process, chosen at random
MAX_RUN_NS = 3 * SECOND  # longest run of one process; its segments hold a fraction of a second
START_CRASH_RATE = 0.3  # part of the killed processes that end while they start
START_CALLS = 14  # number of calls to the disk within which these end
CRASH_RATE = 0.8  # part of the killed processes that end in the middle of a call
CRASH_CALLS = 200
FLIP_RATE = 0.1
DROP_RATE = 0.2
LIVE_POLLS = 1000
CLOSE_NS = 3 * SECOND
MAX_CLOCK_STEP_MS = 60_000
MAX_REJECTED_RATE = 0.5
SEGMENT_SLOTS = (8, 16, 64, 300)
LARGE_SEGMENT_SLOTS = 300
SEGMENT_LIMITS = (4, 6, 12, 200)
NO_SEGMENT_LIMIT = 1000
COMMIT_DELAYS_MS = (2, 10, 40)
BATCH_DELAYS_MS = (10, 100, 400)
Fault = Callable[[World, Disk, random.Random], None]


@dataclass(frozen=True, slots=True)
class Schedule:
    """Holds how each process ends (`ends`), and the faults of each while it runs (`faults`)."""

    seed: int
    bounds: Bounds
    ends: tuple[str, ...]
    faults: tuple[tuple[str, ...], ...]

    def __str__(self) -> str:
        bounds, pairs = self.bounds, zip(self.ends, self.faults, strict=True)
        runs = ", ".join(" ".join((*faults, end)) for end, faults in pairs)
        sizes = f"{bounds.max_segments} segments of {bounds.segment_slots}"
        return f"seed {self.seed}: {bounds.when_full}, {sizes}: {runs}"


class Run(NamedTuple):
    """Holds the violations of the rules, a line each, and the world at its end."""

    violations: list[str]
    world: World


def _schedule_begin_and_end(
    world: World, rng: random.Random, begin: Callable[[], None], end: Callable[[], None]
) -> None:
    world.clock.after(rng.randint(0, SECOND), begin)
    world.clock.after(rng.randint(SECOND, 3 * SECOND), end)


def _set_temporarily(
    world: World, rng: random.Random, target: object, name: str, faulty: object, normal: object
) -> None:
    _schedule_begin_and_end(
        world, rng, partial(setattr, target, name, faulty), partial(setattr, target, name, normal)
    )


def bad_syncs(world: World, disk: Disk, rng: random.Random) -> None:
    """Makes a part of the syncs fail."""
    _set_temporarily(world, rng, disk, "sync_failure_rate", rng.uniform(0.1, 0.9), 0.0)


def read_only(world: World, disk: Disk, rng: random.Random) -> None:
    """Makes the disk read-only."""
    _set_temporarily(world, rng, disk, "read_only", True, False)


def full_disk(world: World, disk: Disk, rng: random.Random) -> None:
    """Fills the disk by other programs."""

    def fill() -> None:
        disk.capacity = disk.used_bytes()

    _schedule_begin_and_end(world, rng, fill, partial(setattr, disk, "capacity", UNLIMITED_BYTES))


def lossy(world: World, disk: Disk, rng: random.Random) -> None:
    """Makes the network lose and delay messages."""
    world.network.loss = rng.uniform(0.1, 0.6)
    world.network.max_delay_ns = rng.randint(MILLISECOND, SECOND)


def billing_down(world: World, disk: Disk, rng: random.Random) -> None:
    """Makes billing unreachable."""
    _set_temporarily(world, rng, world.network, "down", True, False)


def billing_set_back(world: World, disk: Disk, rng: random.Random) -> None:
    """Restores billing from a backup, so that it loses later records."""
    backup_after_ns = rng.randint(0, SECOND)

    def back_up() -> None:
        backup = world.memory.copy()

        def restore() -> None:
            world.memory = world.billing.store = backup.copy()

        world.clock.after(rng.randint(SECOND // 4, SECOND), restore)

    world.clock.after(backup_after_ns, back_up)


def clock_set_back(world: World, disk: Disk, rng: random.Random) -> None:
    """Sets the wall clock back."""
    world.wall_offset_ms -= rng.randint(0, MAX_CLOCK_STEP_MS)


# Seeds draw from this order, and a process's faults begin in the order of the names.
FAULTS: dict[str, Fault] = {
    each.__name__: each
    for each in (bad_syncs, read_only, full_disk, lossy, billing_down, billing_set_back, clock_set_back)
}
DISK_FAULTS = frozenset({"bad_syncs", "read_only", "full_disk"})
ENDS = ("kill", "kill", "power", "power", "close", "old_copy", "clone")
COPY_ENDS = frozenset({"old_copy", "clone"})  # the folder is copied: records may be in two places


def make(seed: int) -> Schedule:
    """Returns the schedule of a seed."""
    rng = random.Random(f"used schedule:{seed}")
    processes = rng.randint(1, MAX_PROCESSES)
    ends = tuple(rng.choice(ENDS) for _ in range(processes))
    chosen = [rng.sample(list(FAULTS), rng.choice(MAX_FAULTS)) for _ in range(processes)]
    faults = tuple(tuple(sorted(each)) for each in chosen)
    has_copies = bool(COPY_ENDS & set(ends))
    # Records lost with a disk or at billing are checked to the unit, so nothing else may be dropped.
    is_exact = has_copies or any("billing_set_back" in each for each in faults)
    if has_copies:  # requests are identified one by one, so none may be summed for lack of space
        faults = tuple(tuple(name for name in each if name not in DISK_FAULTS) for each in faults)
    bounds = Bounds(
        segment_slots=LARGE_SEGMENT_SLOTS if has_copies else rng.choice(SEGMENT_SLOTS),
        max_segments=NO_SEGMENT_LIMIT if is_exact else rng.choice(SEGMENT_LIMITS),
        commit_delay_ns=rng.choice(COMMIT_DELAYS_MS) * MILLISECOND,
        batch_delay_ns=rng.choice(BATCH_DELAYS_MS) * MILLISECOND,
        when_full="drop" if not is_exact and rng.random() < DROP_RATE else "fold",
    )
    return Schedule(seed, bounds, ends, faults)


class Player:
    """Runs one schedule. `disks` are all disks in use at the end, including copies."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.rng = random.Random(f"used play:{schedule.seed}")
        self.world = World(schedule.bounds, schedule.seed)
        self.disks = [Disk(self.world.rng)]
        self._flipped = False
        self._has_copies = bool(COPY_ENDS & set(schedule.ends))
        self._billing_restored = any("billing_set_back" in each for each in schedule.faults)

    def play(self) -> list[str]:
        """Runs the schedule and returns the violations of the rules."""
        for end, faults in zip(self.schedule.ends, self.schedule.faults, strict=True):
            self._run_process(end, faults)
        if not self.world.settle(self.disks):
            stages = [process.ledger.exporter.stage for process in self.world.processes]
            states = [process.ledger.state for process in self.world.processes]
            return [f"not everything is exported in the end: {states}, {stages}"]
        if self._has_copies or self._flipped:
            # Each copy of a folder makes its own batches, and a flipped bit makes a record a hole.
            self.world.changed_batches.clear()
        violations = self.world.violations()
        # A copy of a folder, or restored billing, may not know of every stream.
        if not self._has_copies and not self._billing_restored:
            violations += self.world.unsealed_streams()
        return violations

    def _run_process(self, end: str, faults: tuple[str, ...]) -> None:
        world, rng, disk = self.world, self.rng, self.disks[0]
        self._start_process(end, faults)
        copy, copied_serial = None, 0
        if end in COPY_ENDS:
            world.run(rng.randint(0, SECOND))
            copy, copied_serial = world.copy_disk(disk), world.serial
        if end == "clone" and copy is not None:
            self._start_clone(copy)
        world.run(rng.randint(SECOND // 5, MAX_RUN_NS))
        self._end_processes(end)
        if end == "old_copy" and copy is not None:
            self._replace_disk(copy, copied_serial)
        if rng.random() < FLIP_RATE:
            self._flip_bit(disk)
        world.run(rng.randint(0, SECOND))

    def _start_process(self, end: str, faults: tuple[str, ...]) -> None:
        """Starts a process with its faults, its traffic and, if it is to be killed, its crash."""
        world, rng, disk = self.world, self.rng, self.disks[0]
        is_killed = end in ("kill", "power")
        process = world.start_process(disk)
        world.power_fails = end == "power"
        if is_killed and rng.random() < START_CRASH_RATE:
            disk.crash_at_call = disk.calls + rng.randint(1, START_CALLS)
        if self._has_copies:
            self._run_until_live(process)
        for name in faults:
            FAULTS[name](world, disk, rng)
        rate_per_s = rng.uniform(20, 600)
        rejected_rate = 0.0 if self._has_copies else rng.uniform(0.0, MAX_REJECTED_RATE)
        self._start_traffic(process, rate_per_s, rejected_rate)
        if is_killed and rng.random() < CRASH_RATE:
            world.clock.after(rng.randint(0, SECOND), partial(self._crash_soon, process))

    def _start_clone(self, copy: Disk) -> None:
        """Starts a second gateway on a copy of the folder."""
        self.disks.append(copy)
        clone = self.world.start_process(copy)
        self._run_until_live(clone)
        self._start_traffic(clone, self.rng.uniform(20, 300), 0.0)

    def _end_processes(self, end: str) -> None:
        for process in list(self.world.processes):
            if end == "close":
                process.ledger.close()
                self.world.run(CLOSE_NS)
            self.world.end_process(process)

    def _replace_disk(self, copy: Disk, copied_serial: int) -> None:
        """Replaces the disk by an older copy; later requests may be missing unless billing has them."""
        world = self.world
        since = set(range(copied_serial + 1, world.serial + 1))
        # If billing is restored from a backup, it may still lose its records.
        billed: set[int] = set() if self._billing_restored else {int(row.units) for row in world.memory.rows}
        world.expected.excused |= since - billed
        self.disks[0] = copy

    def _run_until_live(self, process: GatewayProcess) -> None:
        for _ in range(LIVE_POLLS):  # the number is limited because a process may never become live
            if process.alive and process.ledger.state is not State.LIVE:
                self.world.run(10 * MILLISECOND)

    def _crash_soon(self, process: GatewayProcess) -> None:
        if process.alive:
            process.disk.crash_at_call = process.disk.calls + self.rng.randint(1, CRASH_CALLS)

    def _start_traffic(self, process: GatewayProcess, rate_per_s: float, rejected_rate: float) -> None:
        """Counts requests at random times until the process ends or closes."""
        rng, clock = self.rng, self.world.clock

        def count_one() -> None:
            if process.alive and not process.ledger.is_closing:
                served = rng.choice((Ending.SERVED, Ending.FAILED))
                process.count(Ending.REFUSED if rng.random() < rejected_rate else served)
                clock.after(int(rng.expovariate(rate_per_s) * SECOND), count_one)

        count_one()

    def _flip_bit(self, disk: Disk) -> None:
        """Flips a bit in the record of a request, whether or not it was exported."""
        names = [name for name in disk.files if name.startswith("use-")]
        if not names or self.schedule.bounds.when_full != "fold" or self._has_copies:
            return
        name = self.rng.choice(names)
        data = disk.files[name].cached
        slot = HEADER_BYTES + self.rng.randrange((len(data) - HEADER_BYTES) // SLOT_BYTES) * SLOT_BYTES
        if data[slot] == Kind.USE:
            self._flipped = True
            disk.flip_bit(name, slot + self.rng.randrange(1, SLOT_BYTES))


def play(schedule: Schedule) -> Run:
    """Runs a schedule."""
    player = Player(schedule)
    return Run(player.play(), player.world)
