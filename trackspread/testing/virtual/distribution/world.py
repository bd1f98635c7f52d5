"""Replicas and gateways in virtual time: their cores, a network that fails, and invariants at each step.

What is said takes time, gets lost, doubled or cut; a process may stand still, die, and start anew. Who leads
is said by the test: also two at once. Nothing here decides: the cores do. May know: what every process holds,
true time.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import cast

import msgspec

from ....distribution.replica import Replica
from ....distribution.subscriber import Subscriber
from ....decide.time_units import MILLISECOND, SECOND
from ....distribution.actions import Action, Send
from ....distribution.messages import BeginHistory, Committed, MessageBody, Put
from ....distribution.settings import TICK_NS, ReplicaSettings, SubscriberSettings
from ....distribution.versions import NO_VERSION, Version
from ....membership.actions import StatusEvent
from ....membership.identifiers import Address, Epoch
from ..clock import Clock
from ..processes import NetworkConditions
from .invariants import InvariantViolated, Judged

WALL = 1_790_000_000_000  # ms of wall clock at the beginning of every world
NEAR, FAR = (
    (100_000, 2 * MILLISECOND),
    (20 * MILLISECOND, 60 * MILLISECOND),
)  # ns that a way takes, within a region and beyond
LATE_MOST = 5 * MILLISECOND  # ns by which a tick comes late on a busy machine
OVERHEAD = 47  # bytes of a datagram beside its body, at most: mark, digest, envelope
COMMAND: Address = ("10.9.0.0", 1)


@dataclass(slots=True)
class Process:
    """One name, and the process under it, if any. `number`: a replica's, -1 for a gateway."""

    name: str
    address: Address
    region: int
    number: int = -1
    services: frozenset[str] | None = None
    core: Replica | Subscriber | None = None
    born: int = 0
    epoch: Epoch | None = None  # under which it believes that it leads
    halted_until: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)


class World:
    """`replicas` and `gateways` by name; times are ns since the beginning."""

    def __init__(
        self,
        seed: int,
        replicas: int = 5,
        gateways: int = 8,
        regions: int = 2,
        services: int = 6,
        each: int = 2,
        recent: int = 30,
        pieces: int = 2000,
    ) -> None:
        """`services`: that there are, of which each gateway wants `each`."""
        self.rng = random.Random(f"distribution:{seed}")
        self.clock = Clock()
        self.conditions = NetworkConditions()
        self.judged = Judged()
        self.services = tuple(f"service-{n}" for n in range(services))
        self.processes: dict[str, Process] = {}
        self._by_address: dict[Address, Process] = {}
        self.cut: Counter[tuple[str, str]] = Counter()  # directions, by how many faults cut them
        self.sent: Counter[str] = Counter()  # datagrams, by name
        self.received: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()  # sent and received
        self.done: dict[int, Version] = {}  # commands' changes that were told to be committed
        self.put_at: dict[int, int] = {}
        self._recent = recent
        self._pieces = pieces
        self._start = self.clock.now
        self._round = 0
        self._encode = msgspec.msgpack.Encoder().encode
        for number in range(replicas):
            self._add(Process(f"r{number}", (f"10.0.0.{number}", 7000), number % regions, number))
        for number in range(gateways):
            wanted = frozenset(self.rng.sample(self.services, min(each, services)))
            address = f"10.1.{number >> 8}.{number & 255}", 7000
            self._add(Process(f"g{number}", address, number % regions, services=wanted))

    def _add(self, process: Process) -> None:
        self.processes[process.name] = self._by_address[process.address] = process

    @property
    def replicas(self) -> list[Process]:
        return [p for p in self.processes.values() if p.number >= 0]

    @property
    def gateways(self) -> list[Process]:
        return [p for p in self.processes.values() if p.number < 0]

    @property
    def now(self) -> int:
        return self.clock.now - self._start

    def run(self, span: int) -> None:
        self.clock.run(self.clock.now + span)

    def after(self, span: int, call: Callable[[], object]) -> None:
        self.clock.after(span, call)

    # Processes.

    def start(self, process: Process) -> None:
        """A new process under the name, from nothing."""
        now, seed = self.clock.now, self.rng.getrandbits(60)
        process.born = WALL + self.now // MILLISECOND
        process.halted_until = 0
        process.epoch = None
        process.waiting.clear()
        addresses = tuple(p.address for p in self.replicas)
        if process.number >= 0:
            settings = ReplicaSettings(
                process.number, process.born, addresses, self._recent, pieces_per_s=self._pieces
            )
            process.core = Replica(settings, now, seed)
        else:
            near = tuple(p.address for p in self.replicas if p.region == process.region)
            others = tuple(each for each in addresses if each not in near)
            process.core = Subscriber(SubscriberSettings(near, process.services, others), now, seed)
            self.judged.starts(process.name)
        self.clock.after(self.rng.randint(0, TICK_NS), partial(self._tick, process, process.core))

    def begin(self) -> None:
        """All start; the first replica leads, and an operator begins the history."""
        for process in list(self.processes.values()):
            self.start(process)
        self.appoint(0)
        self.command(0, BeginHistory(0))
        self.run(5 * SECOND)
        if self.leader() is None:
            raise InvariantViolated("no leader within 5 s of an operator's word")

    def kill(self, process: Process) -> None:
        process.core = None
        process.epoch = None
        process.waiting.clear()

    def halt(self, process: Process, span: int) -> None:
        process.halted_until = max(process.halted_until, self.clock.now + span)
        self.clock.after(span, partial(self._wake, process))

    def _wake(self, process: Process) -> None:
        if self.clock.now >= process.halted_until:
            came = process.waiting
            process.waiting = []
            for call in came:
                call()

    def appoint(self, number: int, former: bool = True) -> None:
        """The election's word: this replica leads. `former` False: nobody tells those that led before."""
        self._round += 1
        for process in self.replicas:
            if former:
                process.epoch = None
        self.replicas[number].epoch = self._round, number

    def leader(self) -> Process | None:
        """The established one of the newest epoch."""
        found = [p for p in self.replicas if isinstance(p.core, Replica) and p.core.role == "leader"]
        return max(found, key=lambda p: p.epoch or (0, -1), default=None)

    def command(self, number: int, body: MessageBody) -> None:
        """An operator's word to this replica."""
        process = self.replicas[number]
        if (core := process.core) is not None:
            self._on(process, core, lambda: self._received(process, -1, 0, body, COMMAND))

    def put(self, service: str, key: str, value: bytes | None) -> int:
        """A change; its number in `done` once it is told to be committed."""
        number = len(self.put_at) + 1
        self.put_at[number] = self.now
        leading = [p for p in self.replicas if p.epoch is not None and p.core is not None]
        if leading:
            self.command(self.rng.choice(leading).number, Put(number, service, key, value))
        return number

    def _on(self, process: Process, core: Replica | Subscriber, call: Callable[[], Iterable[Action]]) -> None:
        """Now, or once the process goes on; never for a process that is gone."""
        if process.core is not core:
            return
        if self.clock.now < process.halted_until:
            process.waiting.append(partial(self._on, process, core, call))
            return
        if isinstance(core, Replica):
            self._do(process, core.set_leadership(self.clock.now, process.epoch))
        self._do(process, call())

    def _tick(self, process: Process, core: Replica | Subscriber) -> None:
        if process.core is not core:
            return
        if self.clock.now < process.halted_until:
            process.waiting.append(partial(self._tick, process, core))
            return
        self._on(process, core, lambda: core.tick(self.clock.now))
        self.clock.after(TICK_NS + self.rng.randint(0, LATE_MOST), partial(self._tick, process, core))

    # The network.

    def part(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> list[tuple[str, str]]:
        """Cuts what goes from the ones to the others, and back; to be handed to `heal`."""
        others = list(others)
        ways = [way for a in some for b in others if a != b for way in ((a, b), (b, a))[: 1 + both]]
        self.cut.update(ways)
        return ways

    def heal(self, ways: Iterable[tuple[str, str]]) -> None:
        self.cut.subtract(ways)

    def _do(self, process: Process, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, body):
                    self._send(process, to, body)
                case StatusEvent():
                    self._told(process, action)

    def _send(self, process: Process, to: Address, body: MessageBody) -> None:
        if to == COMMAND:
            if isinstance(body, Committed) and body.number:
                self.done[body.number] = body.version
            return
        target = self._by_address[to]
        size = len(self._encode(body)) + OVERHEAD
        self.sent[process.name] += 1
        self.bytes[process.name] += size
        for _ in range(1 + (self.rng.random() < self.conditions.duplication)):
            if self.rng.random() >= self.conditions.loss:
                late = self.rng.randint(*(NEAR if process.region == target.region else FAR))
                late += self.rng.randint(0, self.conditions.jitter_ns)
                self.clock.after(late, partial(self._arrive, process, process.born, target, body, size))

    def _arrive(self, source: Process, born: int, target: Process, body: MessageBody, size: int) -> None:
        core = target.core
        if core is None or self.cut[source.name, target.name] > 0:
            return
        self.received[target.name] += 1
        self.bytes[target.name] += size
        self._on(target, core, lambda: self._received(target, source.number, born, body, source.address))

    def _received(
        self,
        process: Process,
        number: int,
        born: int,
        body: MessageBody,
        source: Address,
    ) -> Iterable[Action]:
        core, now = process.core, self.clock.now
        if isinstance(core, Replica):
            return core.on_message(now, number, born, body, source)
        return core.on_message(now, body, source) if core is not None else []

    # What came to be, and whether it may.

    def _told(self, process: Process, told: StatusEvent) -> None:
        about = told.details
        match told.kind, process.core:
            case "committed", Replica():
                for entry in about["entries"]:  # type: ignore[attr-defined]
                    self.judged.commits(self.now, process.name, entry)
            case "numbered", Replica():
                version = cast(Version, about["version"])
                self.judged.numbered(f"{process.name} {process.born}", version)
            case "acts", Subscriber() as core:
                self.judged.acts(process.name, core.version, core.snapshot, core.settings.services)

    def check(self) -> None:
        """All that were told to be committed are so, and all that run hold what is in force."""
        for number, version in self.done.items():
            if version not in self.judged.committed:
                raise InvariantViolated(f"change {number} was told to be committed as {version}, and is lost")
        newest = self.judged.newest
        for process in self.replicas:
            core = process.core
            if isinstance(core, Replica) and core.log.committed != newest:
                raise InvariantViolated(
                    f"{process.name}, {core.role}, has {core.log.committed}, not {newest}"
                )
        gateways = [p.name for p in self.gateways if p.core is not None]
        if amiss := self.judged.missing(self.now, gateways):
            raise InvariantViolated(amiss)

    def calm(self, span: int = 20 * SECOND) -> None:
        """All is well again, everybody runs; after `span` all hold the same."""
        self.conditions = NetworkConditions()
        self.cut = Counter()
        for process in self.processes.values():
            if process.core is None:
                self.start(process)
        self.run(span)
        self.check()


def held(process: Process) -> Version:
    """What a gateway acts on."""
    return process.core.version if isinstance(process.core, Subscriber) else NO_VERSION
