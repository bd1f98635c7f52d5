"""Describes faults between processes as schedules, which are drawn from a seed, saved and played.

A schedule lists faults with their targets and times. It does not depend on the machine, so the schedule file
of a failing run can be played again, on processes or in virtual time. Names are those of gateways (n0, n1,
...) and, where relays connect them, of rating nodes. In files, fields and types have the names that `rename`
and `tag` give.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path

import msgspec

from .network_path import ALL_PROTOCOLS, NetworkProtocol

Direction = tuple[str, str]  # names of the sender and the receiver
CRASH_LOOP_DOWNTIME_S = 0.3  # time between a kill and the next start
MIN_FAULT_S = 0.5
MIN_START_RANGE_S = 2.0  # shortest range from which the start of a fault is drawn

_TIMES = {"start_s": "at", "duration_s": "span"}


class _Fault(msgspec.Struct, frozen=True, tag=True, rename=_TIMES):
    """Holds when a fault begins, counted from the schedule's start, and how long it lasts."""

    start_s: float
    duration_s: float

    @property
    def kind(self) -> str:
        """Returns the fault's name in files and ledgers."""
        return str(self.__struct_config__.tag)


class Cut(_Fault, frozen=True, rename={**_TIMES, "directions": "pairs", "protocols": "over"}):
    """Blocks all traffic in the given directions."""

    directions: tuple[Direction, ...]
    protocols: tuple[NetworkProtocol, ...] = ALL_PROTOCOLS


class DegradedNetwork(
    _Fault,
    frozen=True,
    tag="Rough",
    rename={
        **_TIMES,
        "directions": "pairs",
        "protocols": "over",
        "delay_s": "delay",
        "jitter_s": "jitter",
        "duplication": "twice",
        "bytes_per_s": "rate",
    },
):
    """Delays, loses, duplicates and throttles messages.

    `loss` and `duplication` are probabilities. `bytes_per_s` is 0 for no limit.
    """

    directions: tuple[Direction, ...]
    protocols: tuple[NetworkProtocol, ...] = ALL_PROTOCOLS
    delay_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    bytes_per_s: float = 0.0


class Pause(_Fault, frozen=True, tag="Halt"):
    """Stops processes (SIGSTOP) and continues them afterwards (SIGCONT)."""

    gateways: tuple[int, ...]


class PauseCycle(
    _Fault, frozen=True, tag="Duty", rename={**_TIMES, "paused_share": "part", "period_s": "period"}
):
    """Slows processes down by stopping each for a share of every period."""

    gateways: tuple[int, ...]
    paused_share: float = 0.3
    period_s: float = 0.2


class Restart(_Fault, frozen=True, rename={**_TIMES, "kill": "outright"}):
    """Ends gateways together, by SIGKILL or else by SIGTERM, and starts them after `duration_s`."""

    gateways: tuple[int, ...]
    kill: bool = True


class CrashLoop(_Fault, frozen=True, tag="Loop", rename={**_TIMES, "interval_s": "every"}):
    """Kills a gateway repeatedly, each time `interval_s` after its start."""

    gateway: int
    interval_s: float = 0.3


class NoFault(_Fault, frozen=True, tag="Calm"):
    """Causes no fault, for comparison."""


Fault = NoFault | Cut | DegradedNetwork | Pause | PauseCycle | Restart | CrashLoop


class Schedule(msgspec.Struct, frozen=True, rename={"duration_s": "seconds"}):
    """Holds the faults of one run; `duration_s` includes the times without faults before and after them."""

    name: str
    seed: int
    gateways: int
    duration_s: float
    faults: tuple[Fault, ...] = ()

    def save(self, path: Path) -> None:
        """Writes the schedule as JSON."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self)) + b"\n")


def load(path: Path) -> Schedule:
    """Reads a file of `Schedule.save`; raises `msgspec.DecodeError` on any other content."""
    return msgspec.json.decode(path.read_bytes(), type=Schedule)


def partition(side: Sequence[str], other_side: Sequence[str]) -> tuple[Direction, ...]:
    """Returns both directions between the two sides, which so receive nothing from each other."""
    return tuple(pair for a in side for b in other_side for pair in ((a, b), (b, a)))


def one_way(sources: Sequence[str], targets: Sequence[str]) -> tuple[Direction, ...]:
    """Returns the directions from sources to targets; sources still receive from targets."""
    return tuple((source, target) for source in sources for target in targets if source != target)


def ring(names: Sequence[str]) -> tuple[Direction, ...]:
    """Returns both directions between neighbours on a ring.

    With these cut, each name reaches a majority, and no two names the same one.
    """
    successors = [*names[1:], names[0]]
    return tuple(pair for a, b in zip(names, successors, strict=True) for pair in ((a, b), (b, a)))


def all_directions(names: Sequence[str]) -> tuple[Direction, ...]:
    """Returns both directions between any two names."""
    return tuple((source, target) for source in names for target in names if source != target)


_PROCESS_FAULTS = ("halt", "duty", "kill", "end", "loop")
_KINDS = ("halves", "one_way", "ring", "rough", *_PROCESS_FAULTS)


def draw(
    seed: int, gateways: int, duration_s: float = 12.0, lead_s: float = 2.0, tail_s: float = 5.0
) -> Schedule:
    """Draws two to four faults of mixed kinds, with `lead_s` and `tail_s` without faults around them.

    At most one fault kills or stops each gateway.
    """
    rng = random.Random(f"faults:{seed}:{gateways}")
    names = [f"n{number}" for number in range(gateways)]
    free = rng.sample(range(gateways), gateways)
    faults: list[Fault] = []
    for _ in range(rng.randint(2, 4)):
        start_s = rng.uniform(lead_s, max(lead_s, duration_s - tail_s - MIN_START_RANGE_S))
        fault_s = rng.uniform(MIN_FAULT_S, max(MIN_FAULT_S, duration_s - tail_s - start_s))
        faults.append(_draw_fault(rng, start_s, fault_s, names, free))
    faults.sort(key=lambda fault: fault.start_s)
    return Schedule(f"mixed-{seed}", seed, gateways, duration_s, tuple(faults))


def _draw_fault(
    rng: random.Random, start_s: float, duration_s: float, names: Sequence[str], free: list[int]
) -> Fault:
    """Draws one fault; the gateways of a process fault are removed from `free`."""
    kind = rng.choice(_KINDS)
    side = rng.sample(names, rng.randint(1, len(names) // 2))
    other_side = [name for name in names if name not in side]
    most_taken = max(1, len(names) // 4)
    taken = tuple(free.pop() for _ in range(min(len(free), rng.randint(1, most_taken))))
    if not taken and kind in _PROCESS_FAULTS:
        kind = "halves"
    match kind:
        case "halves":
            return Cut(start_s, duration_s, partition(side, other_side))
        case "one_way":
            return Cut(start_s, duration_s, one_way(side, other_side))
        case "ring":
            return Cut(start_s, duration_s, ring(names))
        case "rough":
            return _draw_degraded_network(rng, start_s, duration_s, names)
        case "halt":
            return Pause(start_s, duration_s, taken)
        case "duty":
            return PauseCycle(start_s, duration_s, taken, rng.uniform(0.2, 0.6), rng.uniform(0.1, 0.5))
        case "loop":
            return CrashLoop(start_s, duration_s, taken[0], rng.uniform(0.2, 0.8))
        case _:
            return Restart(start_s, duration_s, taken, kind == "kill")


def _draw_degraded_network(
    rng: random.Random, start_s: float, duration_s: float, names: Sequence[str]
) -> DegradedNetwork:
    return DegradedNetwork(
        start_s,
        duration_s,
        all_directions(names),
        delay_s=rng.uniform(0, 0.05),
        jitter_s=rng.uniform(0, 0.1),
        loss=rng.uniform(0, 0.4),
        duplication=rng.uniform(0, 0.2),
    )
