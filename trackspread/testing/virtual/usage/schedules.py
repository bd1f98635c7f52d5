"""Seeded schedules for use records: lives that end anywhere, disks and networks that fail while they last.

May know: the world's handles. May not know: what the ledger decides. The same seed plays the same schedule.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ....storage.slots import HEAD_BYTES, SLOT_BYTES
from ....usage.ledger import Bounds, State
from ....usage.record import Ending, Kind
from .disk import Disk
from .world import MILLISECOND, SECOND, Life, World

LIVES_MOST = 6
SPAN_MOST = 3 * SECOND  # of one life; its segments hold a fraction of a second
START_CRASHES, START_CALLS = 0.3, 14  # part of the lives that end while they begin, and within which calls
Trouble = Callable[[World, Disk, random.Random], None]


@dataclass(frozen=True, slots=True)
class Schedule:
    """`ends`: how each life ends. `troubles`: by life, what goes wrong in it."""

    seed: int
    bounds: Bounds
    ends: tuple[str, ...]
    troubles: tuple[tuple[str, ...], ...]

    def __str__(self) -> str:
        bounds, pairs = self.bounds, zip(self.ends, self.troubles, strict=True)
        lives = ", ".join(" ".join((*troubles, end)) for end, troubles in pairs)
        return f"seed {self.seed}: {bounds.full}, {bounds.segments} segments of {bounds.slots}: {lives}"


def _for_a_while(world: World, rng: random.Random, on: Callable[[], None], off: Callable[[], None]) -> None:
    world.clock.after(rng.randint(0, SECOND), on)
    world.clock.after(rng.randint(SECOND, 3 * SECOND), off)


def _set(world: World, rng: random.Random, holder: object, name: str, on: object, off: object) -> None:
    _for_a_while(world, rng, partial(setattr, holder, name, on), partial(setattr, holder, name, off))


def bad_syncs(world: World, disk: Disk, rng: random.Random) -> None:
    _set(world, rng, disk, "failing", rng.uniform(0.1, 0.9), 0.0)


def read_only(world: World, disk: Disk, rng: random.Random) -> None:
    _set(world, rng, disk, "read_only", True, False)


def full_disk(world: World, disk: Disk, rng: random.Random) -> None:
    """Others have taken the room; some of it comes back."""

    def fill() -> None:
        disk.capacity = disk.used()

    _for_a_while(world, rng, fill, partial(setattr, disk, "capacity", 1 << 40))


def lossy(world: World, disk: Disk, rng: random.Random) -> None:
    world.net.loss, world.net.late = rng.uniform(0.1, 0.6), rng.randint(MILLISECOND, SECOND)


def billing_down(world: World, disk: Disk, rng: random.Random) -> None:
    _set(world, rng, world.net, "down", True, False)


def billing_set_back(world: World, disk: Disk, rng: random.Random) -> None:
    """Billing loses what it took lately: an old copy is brought back."""
    at = rng.randint(0, SECOND)

    def copy() -> None:
        backup = world.memory.copy()

        def back() -> None:
            world.memory = world.billing.memory = backup.copy()

        world.clock.after(rng.randint(SECOND // 4, SECOND), back)

    world.clock.after(at, copy)


def clock_set_back(world: World, disk: Disk, rng: random.Random) -> None:
    world.wall -= rng.randint(0, 60_000)


TROUBLES: dict[str, Trouble] = {
    each.__name__: each
    for each in (bad_syncs, read_only, full_disk, lossy, billing_down, billing_set_back, clock_set_back)
}
ENDS = ("kill", "kill", "power", "power", "close", "old_copy", "clone")


def make(seed: int) -> Schedule:
    rng = random.Random(f"used schedule:{seed}")
    lives = rng.randint(1, LIVES_MOST)
    ends = tuple(rng.choice(ENDS) for _ in range(lives))
    drawn = [rng.sample(list(TROUBLES), rng.choice((0, 0, 1, 1, 2))) for _ in range(lives)]
    troubles = tuple(tuple(sorted(each)) for each in drawn)
    names = {name for each in troubles for name in each}
    # Where it is checked what went missing on a disk or at billing, nothing may be given up besides.
    single = {"old_copy", "clone"} & set(ends)
    exact = "billing_set_back" in names or single
    if single:  # these worlds tell single requests apart: nothing is summed there
        disks = {"bad_syncs", "read_only", "full_disk"}
        troubles = tuple(tuple(t for t in each if t not in disks) for each in troubles)
    bounds = Bounds(
        slots=300 if single else rng.choice((8, 16, 64, 300)),
        segments=1000 if exact else rng.choice((4, 6, 12, 200)),
        commit=rng.choice((2, 10, 40)) * MILLISECOND,
        every=rng.choice((10, 100, 400)) * MILLISECOND,
        full="drop" if not exact and rng.random() < 0.2 else "fold",
    )
    return Schedule(seed, bounds, ends, troubles)


class Player:
    """Plays one schedule; `world.verdict()` says what came of it."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.rng = random.Random(f"used play:{schedule.seed}")
        self.world = World(schedule.bounds, schedule.seed)
        self.disks = [Disk(self.world.rng)]
        self.flipped = False
        self.clean = {"old_copy", "clone"} & set(schedule.ends)
        self.forgets = any("billing_set_back" in each for each in schedule.troubles)

    def play(self) -> list[str]:
        for end, troubles in zip(self.schedule.ends, self.schedule.troubles, strict=True):
            self._life(end, troubles)
        if not self.world.settle(self.disks):
            stage = [life.ledger.exporter.stage for life in self.world.lives]
            states = [life.ledger.state for life in self.world.lives]
            return [f"not everything is exported in the end: {states}, {stage}"]
        if self.clean or self.flipped:
            # Copies of one folder cut their batches each for itself; what a flip destroyed is a hole.
            self.world.reworded.clear()
        verdict = self.world.verdict()
        # A copy of a folder, or a billing that was set back, may not know of every stream any more.
        if not self.clean and not self.forgets:
            verdict += self.world.unsealed()
        return verdict

    def _life(self, end: str, troubles: tuple[str, ...]) -> None:
        world, rng, disk = self.world, self.rng, self.disks[0]
        life = world.begin(disk)
        world.power = end == "power"
        if end in ("kill", "power") and rng.random() < START_CRASHES:
            disk.crash_at = disk.calls + rng.randint(1, START_CALLS)
        if self.clean:
            self._until_live(life)
        for name in troubles:
            TROUBLES[name](world, disk, rng)
        self._traffic(life, rng.uniform(20, 600), rng.uniform(0.0, 0.5) if not self.clean else 0.0)
        if end in ("kill", "power") and rng.random() < 0.8:
            world.clock.after(rng.randint(0, SECOND), partial(self._crash_soon, life))
        copy = None
        if end in ("old_copy", "clone"):
            world.run(rng.randint(0, SECOND))
            copy, serial = world.copied(disk), world.serial
        if end == "clone" and copy is not None:
            self.disks.append(copy)
            other = world.begin(copy)
            self._until_live(other)
            self._traffic(other, rng.uniform(20, 300), 0.0)
        world.run(rng.randint(SECOND // 5, SPAN_MOST))
        for each in list(world.lives):
            if end == "close":
                each.ledger.close()
                world.run(3 * SECOND)
            world.crashed(each)  # a clean end first, if the disk allowed one
        if end == "old_copy" and copy is not None:
            # Billing may have some of these, and lose them yet where it is set back in this schedule.
            sure = set() if self.forgets else {int(row.units) for row in world.memory.rows}
            world.truth.excused |= set(range(serial + 1, world.serial + 1)) - sure
            self.disks[0] = copy
        if rng.random() < 0.1:
            self._flip(disk)
        world.run(rng.randint(0, SECOND))

    def _until_live(self, life: Life) -> None:
        for _ in range(1000):  # one that is stuck never is
            if life.alive and life.ledger.state is not State.LIVE:
                self.world.run(10 * MILLISECOND)

    def _crash_soon(self, life: Life) -> None:
        if life.alive:
            life.disk.crash_at = life.disk.calls + self.rng.randint(1, 200)

    def _traffic(self, life: Life, rate: float, refused: float) -> None:
        """Answers at random times, for as long as the life lasts and is not told to end."""
        rng, clock = self.rng, self.world.clock

        def one() -> None:
            if life.alive and not life.ledger._ending:
                served = rng.choice((Ending.SERVED, Ending.FAILED))
                life.count(Ending.REFUSED if rng.random() < refused else served)
                clock.after(int(rng.expovariate(rate) * SECOND), one)

        one()

    def _flip(self, disk: Disk) -> None:
        """A bit in a slot that nobody has read yet, or has."""
        names = [name for name in disk.files if name.startswith("use-")]
        if names and self.schedule.bounds.full == "fold" and not self.clean:
            name = self.rng.choice(names)
            data = disk.files[name].cached
            at = HEAD_BYTES + self.rng.randrange((len(data) - HEAD_BYTES) // SLOT_BYTES) * SLOT_BYTES
            if data[at] == Kind.USE:
                self.flipped = True
                disk.flip(name, at + self.rng.randrange(1, SLOT_BYTES))


def play(schedule: Schedule) -> tuple[list[str], World]:
    """What is wrong, and the world as it ended."""
    player = Player(schedule)
    return player.play(), player.world
