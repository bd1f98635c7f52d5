"""Simulates replicas and gateways in virtual time, with network faults and invariants checked at each step.

Messages are delayed, lost, duplicated or cut off; processes are paused, killed and restarted. The test
appoints the leaders, also two at once. Only the cores decide; the world knows the state of every process and
the true time.
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
from .invariants import InvariantViolated, InvariantChecker

WALL_START_MS = 1_790_000_000_000  # wall clock at the start of every world
REGION_DELAY_NS = (100_000, 2 * MILLISECOND)  # one way, within a region
REMOTE_DELAY_NS = (20 * MILLISECOND, 60 * MILLISECOND)  # one way, between regions
MAX_TICK_DELAY_NS = 5 * MILLISECOND  # largest delay of a tick on a busy machine
OVERHEAD_BYTES = 47  # largest size of a datagram's mark, digest and envelope
OPERATOR: Address = ("10.9.0.0", 1)  # sender of commands


@dataclass(slots=True)
class Process:
    """Holds a process name and the core that runs under it, if any.

    `number` is a replica's number, or -1 for a gateway.
    """

    name: str
    address: Address
    region: int
    number: int = -1
    services: frozenset[str] | None = None
    core: Replica | Subscriber | None = None
    created_at_ms: int = 0
    epoch: Epoch | None = None  # epoch in which it assumes that it is the leader
    paused_until: int = 0
    deferred_calls: list[Callable[[], None]] = field(
        default_factory=list
    )  # calls that arrived during a pause


class World:
    """Runs replicas and gateways; times are in ns since the start."""

    def __init__(
        self,
        seed: int,
        replicas: int = 5,
        gateways: int = 8,
        regions: int = 2,
        services: int = 6,
        services_per_gateway: int = 2,
        recent_entries: int = 30,
        pieces_per_s: int = 2000,
    ) -> None:
        """Creates a world with this number of services; each gateway uses `services_per_gateway` of them."""
        self.rng = random.Random(f"distribution:{seed}")
        self.clock = Clock()
        self.conditions = NetworkConditions()
        self.checker = InvariantChecker()
        self.services = tuple(f"service-{n}" for n in range(services))
        self.processes: dict[str, Process] = {}
        self._by_address: dict[Address, Process] = {}
        self.severed_links: Counter[tuple[str, str]] = Counter()  # number of faults that sever each link
        self.sent: Counter[str] = Counter()  # datagrams by process name
        self.received: Counter[str] = Counter()  # datagrams by process name
        self.bytes: Counter[str] = Counter()  # sent and received bytes by process name
        self.done: dict[int, Version] = {}  # changes that were reported as committed, by number
        self.put_at: dict[int, int] = {}  # times of changes, by number
        self._recent_entries = recent_entries
        self._pieces_per_s = pieces_per_s
        self._start = self.clock.now
        self._round = 0
        self._encode = msgspec.msgpack.Encoder().encode
        for number in range(replicas):
            self._add(Process(f"r{number}", (f"10.0.0.{number}", 7000), number % regions, number))
        for number in range(gateways):
            used = frozenset(self.rng.sample(self.services, min(services_per_gateway, services)))
            address = f"10.1.{number >> 8}.{number & 255}", 7000
            self._add(Process(f"g{number}", address, number % regions, services=used))

    def _add(self, process: Process) -> None:
        self.processes[process.name] = self._by_address[process.address] = process

    @property
    def replicas(self) -> list[Process]:
        """Returns all replicas."""
        return [p for p in self.processes.values() if p.number >= 0]

    @property
    def gateways(self) -> list[Process]:
        """Returns all gateways."""
        return [p for p in self.processes.values() if p.number < 0]

    @property
    def now(self) -> int:
        """Returns the time since the start, in ns."""
        return self.clock.now - self._start

    def run(self, span: int) -> None:
        """Runs for a time."""
        self.clock.run(self.clock.now + span)

    def after(self, span: int, call: Callable[[], object]) -> None:
        """Schedules a call for a time from now."""
        self.clock.after(span, call)

    def start(self, process: Process) -> None:
        """Starts a new process under the name, without any state."""
        now, seed = self.clock.now, self.rng.getrandbits(60)
        process.created_at_ms = WALL_START_MS + self.now // MILLISECOND
        process.paused_until = 0
        process.epoch = None
        process.deferred_calls.clear()
        addresses = tuple(p.address for p in self.replicas)
        if process.number >= 0:
            settings = ReplicaSettings(
                process.number,
                process.created_at_ms,
                addresses,
                self._recent_entries,
                pieces_per_s=self._pieces_per_s,
            )
            process.core = Replica(settings, now, seed)
        else:
            regional = tuple(p.address for p in self.replicas if p.region == process.region)
            others = tuple(each for each in addresses if each not in regional)
            process.core = Subscriber(SubscriberSettings(regional, process.services, others), now, seed)
            self.checker.record_start(process.name)
        self.clock.after(self.rng.randint(0, TICK_NS), partial(self._tick, process, process.core))

    def start_all(self) -> None:
        """Starts all processes; the first replica leads, and an operator begins the history."""
        for process in list(self.processes.values()):
            self.start(process)
        self.appoint(0)
        self.command(0, BeginHistory(0))
        self.run(5 * SECOND)
        if self.leader() is None:
            raise InvariantViolated("no leader within 5 s of an operator's command")

    def kill(self, process: Process) -> None:
        """Kills a process at once."""
        process.core = None
        process.epoch = None
        process.deferred_calls.clear()

    def pause(self, process: Process, span: int) -> None:
        """Pauses a process for a time; calls that arrive meanwhile are deferred."""
        process.paused_until = max(process.paused_until, self.clock.now + span)
        self.clock.after(span, partial(self._resume, process))

    def _resume(self, process: Process) -> None:
        if self.clock.now >= process.paused_until:
            deferred = process.deferred_calls
            process.deferred_calls = []
            for call in deferred:
                call()

    def appoint(self, number: int, former: bool = True) -> None:
        """Makes a replica the elected leader; former leaders are notified only if `former`."""
        self._round += 1
        for process in self.replicas:
            if former:
                process.epoch = None
        self.replicas[number].epoch = self._round, number

    def leader(self) -> Process | None:
        """Returns the established leader of the newest epoch, if any."""
        found = [p for p in self.replicas if isinstance(p.core, Replica) and p.core.role == "leader"]
        return max(found, key=lambda p: p.epoch or (0, -1), default=None)

    def command(self, number: int, body: MessageBody) -> None:
        """Sends an operator's command to a replica."""
        process = self.replicas[number]
        if (core := process.core) is not None:
            self._run_when_awake(process, core, lambda: self._receive(process, -1, 0, body, OPERATOR))

    def put(self, service: str, key: str, value: bytes | None) -> int:
        """Sends a change and returns its number, which is in `done` once it is reported as committed."""
        number = len(self.put_at) + 1
        self.put_at[number] = self.now
        leaders = [p for p in self.replicas if p.epoch is not None and p.core is not None]
        if leaders:
            self.command(self.rng.choice(leaders).number, Put(number, service, key, value))
        return number

    def _run_when_awake(
        self, process: Process, core: Replica | Subscriber, call: Callable[[], Iterable[Action]]
    ) -> None:
        """Makes a call now, or once a pause is over, or never if the core no longer runs."""
        if process.core is not core:
            return
        if self.clock.now < process.paused_until:
            process.deferred_calls.append(partial(self._run_when_awake, process, core, call))
            return
        if isinstance(core, Replica):
            self._perform(process, core.set_leadership(self.clock.now, process.epoch))
        self._perform(process, call())

    def _tick(self, process: Process, core: Replica | Subscriber) -> None:
        if process.core is not core:
            return
        if self.clock.now < process.paused_until:
            process.deferred_calls.append(partial(self._tick, process, core))
            return
        self._run_when_awake(process, core, lambda: core.tick(self.clock.now))
        self.clock.after(TICK_NS + self.rng.randint(0, MAX_TICK_DELAY_NS), partial(self._tick, process, core))

    def partition(
        self, some: Iterable[str], others: Iterable[str], both: bool = True
    ) -> list[tuple[str, str]]:
        """Severs the links from some processes to others, and back if `both`; returns them for `heal`."""
        others = list(others)
        links = [link for a in some for b in others if a != b for link in ((a, b), (b, a))[: 1 + both]]
        self.severed_links.update(links)
        return links

    def heal(self, links: Iterable[tuple[str, str]]) -> None:
        """Removes one fault from each of these links."""
        self.severed_links.subtract(links)

    def _perform(self, process: Process, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, body):
                    self._send(process, to, body)
                case StatusEvent():
                    self._record(process, action)

    def _send(self, process: Process, to: Address, body: MessageBody) -> None:
        if to == OPERATOR:
            if isinstance(body, Committed) and body.number:
                self.done[body.number] = body.version
            return
        target = self._by_address[to]
        size = len(self._encode(body)) + OVERHEAD_BYTES
        self.sent[process.name] += 1
        self.bytes[process.name] += size
        for _ in range(1 + (self.rng.random() < self.conditions.duplication)):
            if self.rng.random() >= self.conditions.loss:
                is_local = process.region == target.region
                delay_ns = self.rng.randint(*(REGION_DELAY_NS if is_local else REMOTE_DELAY_NS))
                delay_ns += self.rng.randint(0, self.conditions.jitter_ns)
                deliver = partial(self._deliver, process, process.created_at_ms, target, body, size)
                self.clock.after(delay_ns, deliver)

    def _deliver(
        self, source: Process, created_at_ms: int, target: Process, body: MessageBody, size: int
    ) -> None:
        core = target.core
        if core is None or self.severed_links[source.name, target.name] > 0:
            return
        self.received[target.name] += 1
        self.bytes[target.name] += size
        self._run_when_awake(
            target, core, lambda: self._receive(target, source.number, created_at_ms, body, source.address)
        )

    def _receive(
        self,
        process: Process,
        number: int,
        created_at_ms: int,
        body: MessageBody,
        source: Address,
    ) -> Iterable[Action]:
        core, now = process.core, self.clock.now
        if isinstance(core, Replica):
            return core.on_message(now, number, created_at_ms, body, source)
        return core.on_message(now, body, source) if core is not None else []

    def _record(self, process: Process, event: StatusEvent) -> None:
        details = event.details
        match event.kind, process.core:
            case "committed", Replica():
                for entry in details["entries"]:  # type: ignore[attr-defined]
                    self.checker.record_committed(self.now, process.name, entry)
            case "numbered", Replica():
                version = cast(Version, details["version"])
                self.checker.record_numbered(f"{process.name} {process.created_at_ms}", version)
            case "acts", Subscriber() as core:
                self.checker.record_use(process.name, core.version, core.snapshot, core.settings.services)

    def check(self) -> None:
        """Checks that no reported change is lost and that all running processes have the newest version."""
        for number, version in self.done.items():
            if version not in self.checker.committed:
                raise InvariantViolated(
                    f"change {number} was reported as committed with version {version} and is lost"
                )
        newest = self.checker.newest
        for process in self.replicas:
            core = process.core
            if isinstance(core, Replica) and core.log.committed != newest:
                raise InvariantViolated(
                    f"{process.name}, {core.role}, has version {core.log.committed}, must have {newest}"
                )
        gateways = [p.name for p in self.gateways if p.core is not None]
        if reason := self.checker.overdue_reason(self.now, gateways):
            raise InvariantViolated(reason)

    def end_faults(self, span: int = 20 * SECOND) -> None:
        """Ends all faults and starts all processes; after `span`, all must have the same configuration."""
        self.conditions = NetworkConditions()
        self.severed_links = Counter()
        for process in self.processes.values():
            if process.core is None:
                self.start(process)
        self.run(span)
        self.check()


def version_in_use(process: Process) -> Version:
    """Returns the version that a gateway uses."""
    return process.core.version if isinstance(process.core, Subscriber) else NO_VERSION
