"""Processes in virtual time: clocks that run fast or slow, a network that fails, cores that stop or die.

What a process says takes time, gets lost, doubled or cut. Nothing here decides, and nothing here knows what
the cores are: a world built on it starts them and passes on what they say. May know: true time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Generic, Protocol, TypeVar

from ...membership.timing import TICK_NS
from ...membership.identifiers import MS, Address
from .clock import Clock

WALL = 1_790_000_000_000  # ms of wall clock at the beginning of every world
RTT = (200_000, 2 * MS)  # ns that a way takes, from and to
LATE_MOST = 5 * MS  # ns by which a tick comes late on a machine that is busy with others


class InvariantViolated(Exception):
    """An invariant does not hold; the text says which, and when."""


class Ticking(Protocol):
    """What any core has."""

    def tick(self, now: int) -> Iterable[object]: ...


Core = TypeVar("Core", bound=Ticking)


@dataclass(slots=True)
class NetworkConditions:
    """Of all ways between processes."""

    loss: float = 0.0
    twice: float = 0.0
    jitter: int = 0  # ns


@dataclass(slots=True)
class Process(Generic[Core]):
    """One name, and the process under it, if any."""

    name: str
    address: Address
    rate: float  # of its clock over true time
    core: Core | None = None
    starts: int = 0
    halted_until: int = 0  # true time
    waiting: list[Callable[[], None]] = field(default_factory=list)  # what came while it stood still
    begun: int = 0  # true time of its start

    def now(self, true: int) -> int:
        return int(true * self.rate)


class ProcessGroup(Generic[Core]):
    """`processes` by name; `step` runs on to a true time, relative to the beginning."""

    def __init__(self, chances: str, drift: float) -> None:
        self.rng = random.Random(chances)
        self.clock = Clock()
        self.conditions = NetworkConditions()
        self.processes: dict[str, Process[Core]] = {}
        self._by_address: dict[Address, Process[Core]] = {}
        self.cut: dict[tuple[str, str], int] = {}  # directions, by how many faults cut them
        self._start = self.clock.now
        self._drift = drift

    def _added(self, name: str, address: Address) -> Process[Core]:
        rate = 1.0 + self._drift * self.rng.uniform(-1.0, 1.0)
        made = self.processes[name] = self._by_address[address] = Process(name, address, rate)
        return made

    @property
    def true(self) -> int:
        """ns since the beginning."""
        return self.clock.now - self._start

    def step(self, until: int) -> None:
        self.clock.run(self._start + until)

    def at(self, when: int, call: Callable[[], object]) -> None:
        self.clock.at(self._start + when, call)

    # What a world adds.

    def _do(self, process: Process[Core], actions: Iterable[object]) -> None:
        raise NotImplementedError

    def severed(self, source: Process[Core], target: Process[Core]) -> bool:
        """Whether nothing gets from the one to the other."""
        return (source.name, target.name) in self.cut

    # Processes.

    def _begun(self, process: Process[Core]) -> int:
        """A new process under the name, from nothing; when it was born, ms of wall clock."""
        process.starts += 1
        process.begun = self.clock.now
        process.halted_until = 0
        process.waiting.clear()
        return WALL + self.true // MS

    def _ticking(self, process: Process[Core], core: Core) -> None:
        """From within a tick on."""
        self.clock.after(self.rng.randint(0, TICK_NS), partial(self._tick, process, core))

    def kill(self, process: Process[Core]) -> None:
        process.core = None
        process.waiting.clear()

    def halt(self, process: Process[Core], span: int) -> None:
        process.halted_until = max(process.halted_until, self.clock.now + span)
        self.clock.after(span, partial(self._wake, process))

    def _wake(self, process: Process[Core]) -> None:
        if self.clock.now >= process.halted_until:
            came = process.waiting
            process.waiting = []
            for call in came:
                call()

    def _on(self, process: Process[Core], core: Core, call: Callable[[], Iterable[object]]) -> None:
        """Now, or once the process goes on; never for a process that is gone."""
        if process.core is not core:
            return
        if self.clock.now < process.halted_until:
            process.waiting.append(partial(self._on, process, core, call))
            return
        self._do(process, call())

    def _tick(self, process: Process[Core], core: Core) -> None:
        if process.core is not core:
            return
        if self.clock.now < process.halted_until:
            process.waiting.append(partial(self._tick, process, core))
            return
        self._do(process, core.tick(process.now(self.clock.now)))
        self.clock.after(TICK_NS + self.rng.randint(0, LATE_MOST), partial(self._tick, process, core))

    # The network.

    def part(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> list[tuple[str, str]]:
        """Cuts what goes from the ones to the others, and back; to be handed to `heal`."""
        others = list(others)
        ways = [way for a in some for b in others if a != b for way in ((a, b), (b, a))[: 1 + both]]
        for way in ways:
            self.cut[way] = self.cut.get(way, 0) + 1
        return ways

    def heal(self, ways: Iterable[tuple[str, str]]) -> None:
        for way in ways:
            self.cut[way] -= 1
            if not self.cut[way]:
                del self.cut[way]

    def _late(self) -> int:
        jitter = self.conditions.jitter
        return self.rng.randint(*RTT) + (self.rng.randint(0, jitter) if jitter else 0)
