"""Simulates usage records in virtual time, with gateways on faulty disks and billing behind a faulty network.

The units of every request are its serial number, so that billing's rows identify the requests. Once all
faults have ended and the last incarnation has exported, these rules are checked:

- no request is in billing twice, and none is in it that was not counted;
- a batch that was sent and not acknowledged is sent again with the same bytes until it is;
- a request that is missing was, when its process ended, in memory only (a sum that found no room), or written
  and not committed when power was lost, or on a disk that an older copy replaced, or in a segment that was
  dropped by the operator's choice, or hit by a flipped bit. Each of these is recorded, to the unit, where it
  is caused; nothing else may be missing.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from ...standins.billing import Billing, MemoryStore
from ....storage.calls import Call, Result, perform
from ....storage.slots import MARK
from ....usage.batch import Reply, decode
from ....usage.control import Names
from ....usage.exporter import Post, Stage
from ....usage.ledger import OPEN_STATES, Bounds, State, UsageLedger
from ....usage.record import Ending, Kind, unpack
from ..clock import START, Clock
from .disk import Crash, Disk, VirtualFiles

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
POLL_NS = 2 * MILLISECOND  # interval between polls of the ledger
MAX_CALL_NS = 8 * MILLISECOND  # longest duration of a call to the disk
REPLY_TIMEOUT_NS = SECOND // 2
NETWORK_DELAY_NS = 5 * MILLISECOND
SETTLE_NS = 4 * SECOND  # time until all scheduled faults have occurred
SETTLE_POLL_NS = SECOND // 2
UNLIMITED_BYTES = 1 << 40
LEDGER_SEED_BITS = 64
NAMES = Names("n0", ("rate-lookup", "charge-post"), ("basic", "full"))
TENANTS = 5
NOVEMBER_MS = 1_793_491_200_000  # 2026-11-01T00:00:00Z
BEFORE_NOVEMBER_MS = 20_000
START_MS = NOVEMBER_MS - BEFORE_NOVEMBER_MS - START // MILLISECOND


class UncommittedRecord(NamedTuple):
    """Holds a record that was written and not committed; `units` are billionths."""

    kind: int
    requests: int
    units: int


class SummedRequests(NamedTuple):
    """Holds a number of requests and their billionths of units."""

    requests: int
    units: int


@dataclass(slots=True)
class ExpectedRecords:
    """Holds the requests that were counted and those that may be missing.

    `counted` has the tenant of each request by its serial number. `in_memory` counts the requests in sums
    that were lost with a process, by ending; `in_memory_units` are their units. `uncommitted` records may be
    lost with the power. `excused` are serial numbers on a disk that an older copy replaced, `dropped` counts
    records that were dropped for room.
    """

    counted: dict[int, int] = field(default_factory=dict)
    in_memory: Counter[int] = field(default_factory=Counter)
    in_memory_units: int = 0
    uncommitted: list[UncommittedRecord] = field(default_factory=list)
    excused: set[int] = field(default_factory=set)
    dropped: int = 0


@dataclass(slots=True)
class Network:
    """Holds the state of the network to billing: message loss, the longest delay, and whether it is down."""

    loss: float = 0.0
    max_delay_ns: int = NETWORK_DELAY_NS
    down: bool = False


class GatewayProcess:
    """Runs one incarnation of a gateway, with a ledger on a disk, until it ends."""

    def __init__(self, world: World, disk: Disk) -> None:
        self.world = world
        self.disk = disk
        self.alive = True
        self.files = VirtualFiles(disk)
        seed = world.rng.getrandbits(LEDGER_SEED_BITS)
        self.ledger = UsageLedger(world.bounds, NAMES, random.Random(seed))
        self.alarms: list[str] = []
        self._posts = 0
        world.clock.after(0, self._poll)

    def count(self, ending: Ending) -> None:
        """Counts one request, whose units are its serial number."""
        world = self.world
        world.serial += 1
        serial = world.serial
        tenant = serial % TENANTS
        request_class, plan = serial % len(NAMES.classes), tenant % len(NAMES.plans)
        now, time_ms = world.clock.now, world.wall_ms()
        world.expected.counted[serial] = tenant
        try:
            self.ledger.count(now, time_ms, ending, request_class, plan, 1, tenant, serial, 1)
        except Crash:
            # The crash is in the middle of a write. The request got no reply, so it may be billed or not.
            del world.expected.counted[serial]
            world.interrupted.add(serial)
            world.end_process(self)

    def _poll(self) -> None:
        if not self.alive:
            return
        clock = self.world.clock
        now = clock.now
        try:
            if (call := self.ledger.next_call(now)) is not None:
                self._perform(call)
        except Crash:
            self.world.end_process(self)
            return
        if (post := self.ledger.next_post(now)) is not None:
            self._send(post)
        self.ledger.take_released_areas()
        self.alarms += self.ledger.alarms
        self.ledger.alarms.clear()
        clock.after(POLL_NS, self._poll)

    def _perform(self, call: Call) -> None:
        result: Result | OSError
        try:
            result = perform(self.files, call)
        except OSError as error:
            result = error
        delay_ns = self.world.rng.randint(0, MAX_CALL_NS)
        self.world.clock.after(delay_ns, partial(self._call_done, result))

    def _call_done(self, result: Result | OSError) -> None:
        if self.alive:
            try:
                self.ledger.call_done(self.world.clock.now, result)
            except Crash:  # while records are copied to a new stream
                self.world.end_process(self)

    def _send(self, post: Post) -> None:
        world, network = self.world, self.world.network
        self._posts += 1
        number = self._posts
        if not (network.down or world.rng.random() < network.loss):
            on_reply = partial(self._reply, number, post.body)
            delay_ns = world.rng.randint(0, network.max_delay_ns)
            world.clock.after(delay_ns, partial(world.deliver, post.body, on_reply))
        world.record_sent(post)
        world.clock.after(REPLY_TIMEOUT_NS, partial(self._reply_timeout, number))

    def _awaits_reply(self, number: int) -> bool:
        return self.alive and number == self._posts and self.ledger.exporter.stage is Stage.SENT

    def _reply(self, number: int, body: bytes, reply: Reply) -> None:
        if self._awaits_reply(number):
            self.world.record_acknowledged(body)
            self.ledger.exporter.reply_received(self.ledger.checkpoint, reply)

    def _reply_timeout(self, number: int) -> None:
        if self._awaits_reply(number):
            self.ledger.exporter.send_failed(self.world.clock.now, "no answer")

    @property
    def uncommitted(self) -> list[UncommittedRecord]:
        """Returns the records that were written and are not committed."""
        journal = self.ledger.journal
        if journal is None:
            return []
        records = [unpack(payload) for payload in journal.pending if payload[0] != MARK]
        return [
            UncommittedRecord(record.kind, record.requests, record.nano_units)
            for record in records
            if record is not None
        ]

    @property
    def drained(self) -> bool:
        """Returns whether billing has all counted requests."""
        ledger, journal = self.ledger, self.ledger.journal
        if ledger.state is not State.LIVE or journal is None or journal.pending or ledger.meter.sums:
            return False
        return ledger.exporter.stage is Stage.IDLE and all(
            stream.is_exported() if epoch != journal.epoch else stream.acked >= journal.committed
            for epoch, stream in ledger.checkpoint.streams.items()
        )


class World:
    """Runs processes on disks, one after the other or two at once, and billing.

    `memory` is billing's store. `wall_offset_ms` is added to the virtual clock. `power_fails` says that the
    next crash is a loss of power. `interrupted` are serial numbers of requests that a crash interrupted.
    """

    def __init__(self, bounds: Bounds, seed: int) -> None:
        self.rng = random.Random(f"used:{seed}")
        self.clock = Clock()
        self.bounds = bounds
        self.expected = ExpectedRecords()
        self.network = Network()
        self.serial = 0
        self.interrupted: set[int] = set()
        self.memory = MemoryStore()
        self.billing = Billing(self.memory)
        self.wall_offset_ms = START_MS
        self.processes: list[GatewayProcess] = []
        self.crashes = 0
        self.power_fails = False
        self.alarms: list[str] = []
        self.changed_batches: list[str] = []  # keys of batches that were sent again with other bytes
        self._unacknowledged: dict[tuple[str, int], bytes] = {}  # by stream and first slot
        self._uncommitted: dict[int, list[UncommittedRecord]] = {}  # of ended processes, by disk

    def wall_ms(self) -> int:
        """Returns the Unix time in ms."""
        return self.wall_offset_ms + self.clock.now // MILLISECOND

    def record_sent(self, post: Post) -> None:
        """Records a sent batch, whose bytes must stay the same until it is acknowledged."""
        stream, _, slots = post.key.rpartition(":")
        batch = stream, int(slots.partition("-")[0])
        if self._unacknowledged.setdefault(batch, post.body) != post.body:
            self.changed_batches.append(post.key)

    def record_acknowledged(self, body: bytes) -> None:
        """Records an acknowledged batch; from its first slot on, the stream may be divided differently."""
        batch = decode(body)
        self._unacknowledged.pop((batch.stream, batch.first), None)

    def deliver(self, body: bytes, on_reply: Callable[[Reply], None]) -> None:
        """Delivers a batch to billing, whose reply may be lost."""
        reply = self.billing.post(body)
        network = self.network
        if not network.down and self.rng.random() >= network.loss:
            self.clock.after(self.rng.randint(0, network.max_delay_ns), partial(on_reply, reply))

    def start_process(self, disk: Disk) -> GatewayProcess:
        """Starts a new incarnation on a disk."""
        process = GatewayProcess(self, disk)
        self.processes.append(process)
        return process

    def copy_disk(self, disk: Disk) -> Disk:
        """Returns a copy of a disk, which may be in use; uncommitted records may be missing on the copy."""
        copy = disk.copy()
        in_use = [record for each in self.processes if each.disk is disk for record in each.uncommitted]
        self._uncommitted[id(copy)] = [*self._uncommitted.get(id(disk), []), *in_use]
        return copy

    def end_process(self, process: GatewayProcess) -> None:
        """Ends a process, whose sums are lost; if power fails, uncommitted records may be lost too."""
        if not process.alive:
            return
        process.alive = False
        self.crashes += 1
        self.processes.remove(process)
        self.alarms += process.alarms + process.ledger.alarms
        expected, ledger, disk = self.expected, process.ledger, process.disk
        for key, total in ledger.meter.sums.items():
            expected.in_memory[key.ending] += total.requests
            expected.in_memory_units += total.nano_units
        expected.dropped += ledger.checkpoint.lost.get("dropped", 0)
        uncommitted = self._uncommitted.setdefault(id(disk), [])
        if ledger.state in OPEN_STATES | {State.CLOSED}:
            uncommitted.clear()  # this process has synced the records of earlier ones
        uncommitted += process.uncommitted
        disk.crash_at_call = 0
        if self.power_fails:
            disk.lose_power()
            expected.uncommitted += uncommitted
            uncommitted.clear()

    def run(self, span_ns: int) -> None:
        """Runs the world for a time."""
        self.clock.run(self.clock.now + span_ns)

    def settle(self, disks: list[Disk], timeout_ns: int = 300 * SECOND) -> bool:
        """Ends all faults and lets a last process on each disk export everything.

        Returns False if that takes longer than the timeout.
        """
        self.run(SETTLE_NS)
        self.network.loss = 0.0
        self.network.max_delay_ns = NETWORK_DELAY_NS
        self.network.down = False
        for disk in disks:
            disk.sync_failure_rate = 0.0
            disk.read_only = False
            disk.capacity = UNLIMITED_BYTES
        processes = [self.start_process(disk) for disk in disks]
        for _ in range(timeout_ns // SETTLE_POLL_NS):
            self.run(SETTLE_POLL_NS)
            if all(process.drained for process in processes):
                return True
        return False

    def violations(self) -> list[str]:
        """Returns the violations of the rules, a line each."""
        billed = Counter(int(row.units) for row in self.memory.rows if row.kind == Kind.USE)
        found = self._never_counted()
        if self.changed_batches and not self.memory.holes:
            found.append(f"batch {self.changed_batches[0]} was sent again with other bytes")
        twice = sorted(serial for serial, times in billed.items() if times > 1)
        if twice:
            found.append(f"{len(twice)} requests are billed twice, the first is {twice[0]}")
        return found + self._wrong_sums(billed)

    def _never_counted(self) -> list[str]:
        """Returns the rows of single requests that were not counted, or were counted for another tenant."""
        found = []
        for row in self.memory.rows:
            serial = int(row.units)
            if row.kind != Kind.USE or serial in self.interrupted:
                continue
            if self.expected.counted.get(serial, -1) != int(row.customer, 16):
                found.append(f"request {row.units} is billed to {row.customer} and was never counted so")
        return found

    def _wrong_sums(self, billed: Iterable[int]) -> list[str]:
        """Checks that billing's sums have, to the unit, the requests that are not billed singly.

        `billed` has the serial numbers of those that are billed singly.
        """
        expected = self.expected
        rows = [row for row in self.memory.rows if row.kind != Kind.USE]
        sums = SummedRequests(sum(row.requests for row in rows), sum(int(row.units) for row in rows))
        lost_singles = {record.units for record in expected.uncommitted if record.kind == Kind.USE}
        lost_sums = [
            SummedRequests(record.requests, record.units)
            for record in expected.uncommitted
            if record.kind != Kind.USE
        ]
        summed = set(expected.counted) - set(billed) - expected.excused - lost_singles
        wanted_requests = len(summed) - sum(expected.in_memory.values())
        wanted_units = sum(summed) - expected.in_memory_units
        # A flipped bit loses a record of one request; a dropped segment may hold sums of any size.
        max_missing = len(summed) if expected.dropped else self.memory.holes
        for lost in _subset_totals(lost_sums):
            requests, units = wanted_requests - lost.requests, wanted_units - lost.units
            if sums == (requests, units) or 0 < requests - sums.requests <= max_missing:
                return []
        return [
            f"sums must have {wanted_requests} requests and {wanted_units} units, got {sums.requests} and "
            f"{sums.units}; {len(lost_sums)} sums may be lost"
        ]

    def unsealed_streams(self) -> list[str]:
        """Returns the streams of ended processes whose length billing does not know.

        A copy of a disk could still add records to them.
        """
        open_parts = {
            part.id
            for process in self.processes
            for stream in process.ledger.checkpoint.streams.values()
            if stream.length is None
            for part in stream.parts
        }
        return [
            f"stream {name} was exported up to {known.taken} and is sealed at {known.sealed}"
            for name, known in self.memory.streams.items()
            if name not in open_parts and known.sealed != known.taken
        ]


def _subset_totals(sums: list[SummedRequests]) -> set[SummedRequests]:
    """Returns the totals of every subset."""
    totals = {SummedRequests(0, 0)}
    for each in sums:
        totals |= {
            SummedRequests(total.requests + each.requests, total.units + each.units) for total in totals
        }
    return totals
