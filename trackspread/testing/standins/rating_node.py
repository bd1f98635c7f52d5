"""A rating node as a model: cores, a queue, a cold start that falls over, keyed memory, load reports.

May know: times handed in, work, keys. May not know: sockets, gateways, the protocol. Work is in nanoseconds
of one core of usual speed; the same request costs the same at every node.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import exp, log, sqrt

SECOND = 1_000_000_000
REPEAT_COST = SECOND // 1000  # ns that looking up a key takes
REPORT_EVERY = SECOND // 4  # the load report is as old as this at most
SPREAD = 0.5  # coefficient of variation of the work of one class's requests
LOOK_UP = 64  # arrivals after which forgotten keys are dropped


def work_of(seed: int, request: str, mean: int) -> int:
    """The request's work, lognormal, the same wherever and whenever it is asked for."""
    sigma2 = log(1.0 + SPREAD * SPREAD)
    draw = random.Random(f"{seed}:{request}").gauss(0.0, 1.0)
    return max(1, int(mean * exp(sqrt(sigma2) * draw - sigma2 / 2)))


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """One node. `start`: part of its capacity just after a cold start, which is whole after `warm` ns."""

    name: str
    zone: str = "a"
    kind: str = "m1"
    cell: int = 0
    cores: int = 2
    speed: float = 1.0
    held: int = 64  # requests it holds at most, in work and waiting
    start: float = 0.25
    warm: int = 15 * SECOND


class Pod:
    """The keyed memory that the nodes of one cell share: a repeat gets the first one's value."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[int, str, int]] = {}  # key: forgotten at, value, first one done at
        self._arrivals = 0

    def find(self, now: int, key: str) -> tuple[str, int] | None:
        at, value, done = self._known.get(key, (0, "", 0))
        return (value, done) if at > now else None

    def keep(self, now: int, key: str, value: str, done: int, window: int) -> None:
        self._known[key] = now + window, value, done
        self._arrivals += 1
        if self._arrivals % LOOK_UP == 0:
            self._known = {k: known for k, known in self._known.items() if known[0] > now}


@dataclass(frozen=True, slots=True)
class Taken:
    """A request that is worked on: when it is done, what it gets, whether its key was known."""

    done: int
    value: str
    repeat: bool


@dataclass(slots=True)
class RatingNode:
    """`arrive` for each request that has come whole; None: turned away, it never ran."""

    spec: NodeSpec
    pod: Pod
    born: int
    cold: bool
    fall_window: int
    fall_multiple: float
    draining: bool = False
    fallen: bool = False
    slow: float = 1.0  # times that everything takes
    _free: list[int] = field(default_factory=list)
    _held: list[int] = field(default_factory=list)  # heap of when each that is held is done
    _sent: deque[tuple[int, int]] = field(default_factory=deque)
    _sent_sum: int = 0
    _count: int = 0
    _recent: float = 0.0  # ns, mean service time of late
    _report_at: int = 0
    _report: tuple[float, float, float] = (0.0, 0.0, 0.0)

    def __post_init__(self) -> None:
        self._free = [self.born] * self.spec.cores
        self._report_at = self.born - REPORT_EVERY

    def part(self, now: int) -> float:
        """Part of its capacity that it has now."""
        if not self.cold or now - self.born >= self.spec.warm:
            return 1.0
        return self.spec.start + (1.0 - self.spec.start) * max(0, now - self.born) / self.spec.warm

    def arrive(self, now: int, request: str, work: int, key: str = "", window: int = 0) -> Taken | None:
        """`window`, ns: how long a key is remembered. Sets `fallen` where a cold one was sent too much."""
        self._push(now, work)
        self._settle(now)
        if self.draining or self.fallen or len(self._held) >= self.spec.held:
            return None
        if key and (known := self.pod.find(now, key)) is not None:
            value, done = known
            taken = Taken(max(done, now + REPEAT_COST), value, True)
        else:
            self._count += 1
            core = min(range(len(self._free)), key=self._free.__getitem__)
            span = int(work * self.slow / (self.spec.speed * self.part(now)))
            done = max(now, self._free[core]) + span
            self._free[core] = done
            self._recent += 0.2 * (span - self._recent)
            taken = Taken(done, f"{self.spec.name}/{request}/{self._count}", False)
            if key:
                self.pod.keep(now, key, taken.value, done, window)
        heappush(self._held, taken.done)
        return taken

    def _push(self, now: int, work: int) -> None:
        """A cold one falls over when sent more than a multiple of what it can do in a window."""
        part = self.part(now)
        if part >= 1.0:
            return
        self._sent.append((now, work))
        self._sent_sum += work
        while self._sent[0][0] <= now - self.fall_window:
            self._sent_sum -= self._sent.popleft()[1]
        able = self.spec.cores * self.spec.speed * part * self.fall_window
        self.fallen = self.fallen or self._sent_sum > self.fall_multiple * able

    def _settle(self, now: int) -> None:
        while self._held and self._held[0] <= now:
            heappop(self._held)

    def report(self, now: int) -> tuple[float, float, float]:
        """Part of the cores that is busy, recent service time in ms, requests held."""
        if now - self._report_at >= REPORT_EVERY:
            self._settle(now)
            busy = sum(free > now for free in self._free) / len(self._free)
            self._report = (busy, self._recent / 1e6, float(len(self._held)))
            self._report_at = now
        return self._report
