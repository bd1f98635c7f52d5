"""Use records in virtual time: lives of gateways on disks that fail, and billing behind a bad network.

May know: the ledger's events and calls, the disk, billing's rules. Decides nothing. The account is its own:
each request has units of its own (a serial number), so what billing has names the requests it stands for.

What is held to, at the end, once all faults are over and the last life has exported:
- no request is in billing twice, and none that was not counted;
- a batch that was sent and not answered goes again with the same bytes, until it is answered;
- a request that is not there was, when its life ended, in memory alone (a sum that found no room), or
  written and not committed when power was lost, or on a disk replaced by an older copy, or in a segment
  that the operator chose to give up, or on a bit that flipped. Each of these is told by whoever caused it,
  and to the unit: nothing else may be missing.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ...standins.billing import Billing, MemoryStore
from ....storage.calls import Result, perform
from ....storage.slots import MARK
from ....usage.batch import Reply, decode
from ....usage.control import Names
from ....usage.exporter import Post, Stage
from ....usage.ledger import OPENED, Bounds, State, UsageLedger
from ....usage.record import Ending, Kind, unpack
from ..clock import START, Clock
from .disk import Crash, Disk, VirtualFiles

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
PUMP = 2 * MILLISECOND  # between looks at what the ledger wants, as a host's timer has it
PATIENCE = SECOND // 2  # until a post without an answer counts as failed
NAMES = Names("n0", ("rate-lookup", "charge-post"), ("basic", "full"))
MEMBERS = 5
NOVEMBER_MS = 1_793_491_200_000  # 2026-11-01T00:00:00Z
START_MS = NOVEMBER_MS - 20_000 - START // MILLISECOND  # on the virtual clock: 20 s before a month's end


@dataclass(slots=True)
class Truth:
    """What was counted, and what may be missing; by serial number where a request has a record of its own."""

    counted: dict[int, int] = field(default_factory=dict)  # serial number: member
    refused: int = 0
    memory: Counter[int] = field(default_factory=Counter)  # by ending: requests lost in memory
    memory_units: int = 0
    unsure: list[tuple[int, int, int]] = field(default_factory=list)  # kind, requests, units
    excused: set[int] = field(default_factory=set)  # on a disk that was replaced
    dropped: int = 0


@dataclass(slots=True)
class Net:
    """The way to billing."""

    loss: float = 0.0
    late: int = 5 * MILLISECOND
    down: bool = False


class Life:
    """One process: a ledger on a disk, until it is over."""

    def __init__(self, world: World, disk: Disk) -> None:
        self.world = world
        self.disk = disk
        self.alive = True
        self.files = VirtualFiles(disk)
        self.ledger = UsageLedger(world.bounds, NAMES, random.Random(world.rng.getrandbits(64)))
        self.alarms: list[str] = []
        self._posts = 0
        world.clock.after(0, self._pump)

    def count(self, ending: Ending) -> None:
        """One answer; its units are its serial number."""
        world = self.world
        serial = world.serial = world.serial + 1
        member = serial % MEMBERS
        world.truth.counted[serial] = member
        try:
            self.ledger.count(
                world.clock.now, world.wall_ms(), ending, serial % 2, member % 2, 1, member, serial, 1
            )
        except Crash:
            # In the middle of one write: counted by nobody, as its answer was never sent.
            del world.truth.counted[serial]
            world.half.add(serial)
            world.crashed(self)

    def _pump(self) -> None:
        if not self.alive:
            return
        now, clock = self.world.clock.now, self.world.clock
        result: Result | OSError
        try:
            call = self.ledger.call(now)
            try:
                result = perform(self.files, call) if call is not None else None
            except OSError as error:
                result = error
        except Crash:
            self.world.crashed(self)
            return
        if call is not None:
            clock.after(self.world.rng.randint(0, 8 * MILLISECOND), partial(self._done, result))
        if (post := self.ledger.post(now)) is not None:
            self._post(post)
        self.ledger.spent.clear()
        self.alarms += self.ledger.alarms
        self.ledger.alarms.clear()
        clock.after(PUMP, self._pump)

    def _done(self, result: Result | OSError) -> None:
        if self.alive:
            try:
                self.ledger.done(self.world.clock.now, result)
            except Crash:  # records that are written anew, into a new stream
                self.world.crashed(self)

    def _post(self, post: Post) -> None:
        world, net = self.world, self.world.net
        self._posts += 1
        number = self._posts
        if not (net.down or world.rng.random() < net.loss):
            reply = partial(self._reply, number, post.body)
            world.clock.after(world.rng.randint(0, net.late), partial(world.deliver, post.body, reply))
        world.sent(post)
        world.clock.after(PATIENCE, partial(self._patience, number))

    def _reply(self, number: int, body: bytes, reply: Reply) -> None:
        if self.alive and number == self._posts and self.ledger.exporter.stage is Stage.SENT:
            self.world.answered(body)
            self.ledger.exporter.answered(self.ledger.control, reply)

    def _patience(self, number: int) -> None:
        if self.alive and number == self._posts and self.ledger.exporter.stage is Stage.SENT:
            self.ledger.exporter.failed(self.world.clock.now, "no answer")

    @property
    def pending(self) -> list[tuple[int, int, int]]:
        """Kind, requests and units of what was written and is not committed."""
        journal = self.ledger.journal
        held = [unpack(payload) for payload in journal.pending if payload[0] != MARK] if journal else []
        return [(use.kind, use.requests, use.units) for use in held if use is not None]

    @property
    def drained(self) -> bool:
        """All that was counted is with billing."""
        ledger, journal = self.ledger, self.ledger.journal
        if ledger.state is not State.LIVE or journal is None or journal.pending or ledger.meter.sums:
            return False
        return (
            all(
                stream.over() if epoch != journal.epoch else stream.acked >= journal.committed
                for epoch, stream in ledger.control.streams.items()
            )
            and ledger.exporter.stage is Stage.IDLE
        )


class World:
    """Disks, lives on them one after the other (or two at once), and billing."""

    def __init__(self, bounds: Bounds, seed: int) -> None:
        self.rng = random.Random(f"used:{seed}")
        self.clock = Clock()
        self.bounds = bounds
        self.truth = Truth()
        self.net = Net()
        self.serial = 0
        self.half: set[int] = set()
        self.memory = MemoryStore()
        self.billing = Billing(self.memory)
        self.wall = START_MS
        self.lives: list[Life] = []
        self.limbo: dict[int, list[tuple[int, int, int]]] = {}  # by disk: written by a life that was killed
        self.crashes = 0
        self.power = False  # whether the next crash takes the machine along
        self.alarms: list[str] = []
        self.open_batches: dict[tuple[str, int], bytes] = {}  # by stream and first place, not answered yet
        self.reworded: list[str] = []  # of those, what came back with other bytes

    def wall_ms(self) -> int:
        return self.wall + self.clock.now // MILLISECOND

    def sent(self, post: Post) -> None:
        stream, _, places = post.key.rpartition(":")
        batch = stream, int(places.partition("-")[0])
        if self.open_batches.setdefault(batch, post.body) != post.body:
            self.reworded.append(post.key)

    def answered(self, body: bytes) -> None:
        """All that was sent of the stream from this batch's first place on may be cut up anew."""
        batch = decode(body)
        self.open_batches.pop((batch.stream, batch.first), None)

    def deliver(self, body: bytes, reply: Callable[[Reply], None]) -> None:
        told = self.billing.post(body)
        if not self.net.down and self.rng.random() >= self.net.loss:
            self.clock.after(self.rng.randint(0, self.net.late), partial(reply, told))

    def begin(self, disk: Disk) -> Life:
        life = Life(self, disk)
        self.lives.append(life)
        return life

    def copied(self, disk: Disk) -> Disk:
        """A copy of a disk while a life may be writing to it: what is not committed there is not here."""
        copy = disk.copy()
        pending = [entry for life in self.lives if life.disk is disk for entry in life.pending]
        self.limbo[id(copy)] = [*self.limbo.get(id(disk), []), *pending]
        return copy

    def crashed(self, life: Life) -> None:
        """What a life takes with it: sums in memory; with the machine's power, what is not committed too."""
        if not life.alive:
            return
        life.alive = False
        self.crashes += 1
        self.lives.remove(life)
        self.alarms += life.alarms + life.ledger.alarms
        truth, ledger, disk = self.truth, life.ledger, life.disk
        for row, (requests, units, _, _) in ledger.meter.sums.items():
            truth.memory[row[0]] += requests
            truth.memory_units += units
        truth.dropped += ledger.control.lost.get("dropped", 0)
        limbo = self.limbo.setdefault(id(disk), [])
        if ledger.state in OPENED | {State.CLOSED}:
            limbo.clear()
        limbo += life.pending
        disk.crash_at = 0
        if self.power:
            disk.lose_power()
            truth.unsure += limbo
            limbo.clear()

    def run(self, span: int) -> None:
        self.clock.run(self.clock.now + span)

    def settle(self, disks: list[Disk], most: int = 300 * SECOND) -> bool:
        """The faults are over: a last life on each disk exports everything. False if that never comes."""
        self.run(4 * SECOND)  # what was to go wrong has by then
        self.net.loss = 0.0
        self.net.late = 5 * MILLISECOND
        self.net.down = False
        for disk in disks:
            disk.failing = 0.0
            disk.read_only = False
            disk.capacity = 1 << 40
        lives = [self.begin(disk) for disk in disks]
        for _ in range(most // (SECOND // 2)):
            self.run(SECOND // 2)
            if all(life.drained for life in lives):
                return True
        return False

    def verdict(self) -> list[str]:
        """What is wrong, in plain lines; nothing, if all is as promised."""
        truth, wrong = self.truth, list[str]()
        singles: Counter[int] = Counter()
        sums = [0, 0]  # requests, units
        for row in self.memory.rows:
            if row.kind == Kind.USE:
                singles[int(row.units)] += 1
                serial = int(row.units)
                if serial not in self.half and truth.counted.get(serial, -1) != int(row.customer, 16):
                    wrong.append(f"request {row.units} is billed to {row.customer} and was never counted so")
            else:
                sums[0] += row.requests
                sums[1] += int(row.units)
        if self.reworded and not self.memory.holes:
            wrong.append(f"batch {self.reworded[0]} was sent again with other bytes")
        twice = sorted(serial for serial, times in singles.items() if times > 1)
        if twice:
            wrong.append(f"{len(twice)} requests are billed twice, the first is {twice[0]}")
        unsure_singles = {units for kind, _, units in truth.unsure if kind == Kind.USE}
        unsure_sums = [(requests, units) for kind, requests, units in truth.unsure if kind != Kind.USE]
        billed = {serial for serial in singles if serial in truth.counted}
        missing = set(truth.counted) - billed - truth.excused
        lost_requests, lost_units = sum(truth.memory.values()), truth.memory_units
        # What went through sums has no number of its own: it is the rest, and must fit to the unit.
        gone = missing & unsure_singles
        rest = missing - gone
        summed_requests, summed_units = len(rest), sum(rest)
        want_requests, want_units = summed_requests - lost_requests, summed_units - lost_units
        choices = {(want_requests - r, want_units - u) for r, u in _subsets(unsure_sums)}
        # A bit flips in a record of one request; what is given up to make room may hold sums of any size.
        allowed = summed_requests if truth.dropped else self.memory.holes
        if not any((r, u) == (sums[0], sums[1]) or 0 < r - sums[0] <= allowed for r, u in choices):
            wrong.append(
                f"sums are of {sums[0]} requests and {sums[1]} units, wanted {want_requests} and "
                f"{want_units}; {len(unsure_sums)} sums may be lost"
            )
        return wrong

    def unsealed(self) -> list[str]:
        """Streams of former lives whose end billing was never told: whoever has a copy could add to them."""
        written = {
            part.id
            for life in self.lives
            for stream in life.ledger.control.streams.values()
            if stream.length is None
            for part in stream.parts
        }
        return [
            f"stream {name} was exported up to {known.taken} and is sealed at {known.sealed}"
            for name, known in self.memory.streams.items()
            if name not in written and known.sealed != known.taken
        ]


def _subsets(items: list[tuple[int, int]]) -> set[tuple[int, int]]:
    """Every total that some of the items have."""
    totals = {(0, 0)}
    for requests, units in items:
        totals |= {(r + requests, u + units) for r, u in totals}
    return totals
