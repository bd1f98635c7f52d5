"""Simulates processes in virtual time: clocks that drift, a faulty network, cores that pause or crash.

Messages are delayed, lost, duplicated or cut off. This module decides nothing and does not know what the
cores are; a world built on it starts them and performs their actions. True time is that of the virtual clock.
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

WALL_START_MS = 1_790_000_000_000  # wall clock at the start of every world
DELAY_RANGE_NS = (200_000, 2 * MS)  # one way
MAX_TICK_DELAY_NS = 5 * MS  # largest delay of a tick on a busy machine


class InvariantViolated(Exception):
    """Signals that an invariant does not hold; the text says which, and when."""


class Ticking(Protocol):
    """Defines what every core provides."""

    def tick(self, now: int) -> Iterable[object]:
        """Does what is due at `now`, in ns of the process's clock, and returns actions."""


Core = TypeVar("Core", bound=Ticking)


@dataclass(slots=True)
class NetworkConditions:
    """Holds the faults on all links between processes; chances are from 0 to 1."""

    loss: float = 0.0
    duplication: float = 0.0
    jitter_ns: int = 0


@dataclass(slots=True)
class Process(Generic[Core]):
    """Holds a process name and the core that runs under it, if any."""

    name: str
    address: Address
    clock_rate: float  # rate of its clock, relative to true time
    core: Core | None = None
    starts: int = 0
    paused_until: int = 0  # ns of true time
    deferred_calls: list[Callable[[], None]] = field(
        default_factory=list
    )  # calls that arrived during a pause
    started_at: int = 0  # ns of true time

    def now(self, true_time: int) -> int:
        """Returns the time of the process's clock at a true time, both in ns."""
        return int(true_time * self.clock_rate)


class ProcessGroup(Generic[Core]):
    """Runs processes on one virtual clock, with the network between them.

    `seed` seeds all random draws; clocks drift by up to the share `max_drift`. `severed_links` are pairs of
    names (from, to) with the number of faults that sever each.
    """

    def __init__(self, seed: str, max_drift: float) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.conditions = NetworkConditions()
        self.processes: dict[str, Process[Core]] = {}
        self._by_address: dict[Address, Process[Core]] = {}
        self.severed_links: dict[tuple[str, str], int] = {}
        self._start = self.clock.now
        self._max_drift = max_drift

    def _add_process(self, name: str, address: Address) -> Process[Core]:
        clock_rate = 1.0 + self._max_drift * self.rng.uniform(-1.0, 1.0)
        process: Process[Core] = Process(name, address, clock_rate)
        self.processes[name] = self._by_address[address] = process
        return process

    @property
    def elapsed_ns(self) -> int:
        """Returns the true time since the start of the world, in ns."""
        return self.clock.now - self._start

    def run_until(self, elapsed_ns: int) -> None:
        """Runs on to a time since the start of the world."""
        self.clock.run(self._start + elapsed_ns)

    def at(self, elapsed_ns: int, call: Callable[[], object]) -> None:
        """Schedules a call for a time since the start of the world."""
        self.clock.at(self._start + elapsed_ns, call)

    def _perform(self, process: Process[Core], actions: Iterable[object]) -> None:
        """Performs the actions of a core; each world implements it."""
        raise NotImplementedError

    def severed(self, source: Process[Core], target: Process[Core]) -> bool:
        """Returns whether no message from one process reaches the other."""
        return (source.name, target.name) in self.severed_links

    def _register_start(self, process: Process[Core]) -> int:
        """Resets the state of a process name for a new process; returns its start in ms of the wall clock."""
        process.starts += 1
        process.started_at = self.clock.now
        process.paused_until = 0
        process.deferred_calls.clear()
        return WALL_START_MS + self.elapsed_ns // MS

    def _schedule_ticks(self, process: Process[Core], core: Core) -> None:
        """Schedules the ticks, of which the first is at a random time within one interval."""
        self.clock.after(self.rng.randint(0, TICK_NS), partial(self._tick, process, core))

    def kill(self, process: Process[Core]) -> None:
        """Ends a process at once."""
        process.core = None
        process.deferred_calls.clear()

    def pause(self, process: Process[Core], span_ns: int) -> None:
        """Pauses a process for some time; calls that arrive meanwhile are deferred."""
        process.paused_until = max(process.paused_until, self.clock.now + span_ns)
        self.clock.after(span_ns, partial(self._resume, process))

    def _resume(self, process: Process[Core]) -> None:
        if self.clock.now >= process.paused_until:
            deferred = process.deferred_calls
            process.deferred_calls = []
            for call in deferred:
                call()

    def _run_when_awake(
        self, process: Process[Core], core: Core, call: Callable[[], Iterable[object]]
    ) -> None:
        """Makes a call of the core now, or once a pause is over, or never if the core no longer runs."""
        if process.core is not core:
            return
        if self.clock.now < process.paused_until:
            process.deferred_calls.append(partial(self._run_when_awake, process, core, call))
            return
        self._perform(process, call())

    def _tick(self, process: Process[Core], core: Core) -> None:
        if process.core is not core:
            return
        if self.clock.now < process.paused_until:
            process.deferred_calls.append(partial(self._tick, process, core))
            return
        self._perform(process, core.tick(process.now(self.clock.now)))
        wait_ns = TICK_NS + self.rng.randint(0, MAX_TICK_DELAY_NS)
        self.clock.after(wait_ns, partial(self._tick, process, core))

    def partition(
        self, some: Iterable[str], others: Iterable[str], both: bool = True
    ) -> list[tuple[str, str]]:
        """Severs the links from some processes to others, and back if `both`; returns them for `heal`."""
        others = list(others)
        links: list[tuple[str, str]] = []
        for source in some:
            for target in others:
                if source != target:
                    links += [(source, target), (target, source)][: 1 + both]
        for link in links:
            self.severed_links[link] = self.severed_links.get(link, 0) + 1
        return links

    def heal(self, links: Iterable[tuple[str, str]]) -> None:
        """Removes one fault from each of these links."""
        for link in links:
            self.severed_links[link] -= 1
            if not self.severed_links[link]:
                del self.severed_links[link]

    def _draw_delay_ns(self) -> int:
        jitter_ns = self.conditions.jitter_ns
        return self.rng.randint(*DELAY_RANGE_NS) + (self.rng.randint(0, jitter_ns) if jitter_ns else 0)
