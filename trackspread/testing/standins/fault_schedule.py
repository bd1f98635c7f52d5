"""Faults between processes as data: a schedule drawn from a seed, written down, and played.

A schedule says what happens, to whom and when, in seconds from its beginning. What is drawn does not depend
on the machine, so a file that was kept beside a failing run is played again as it was, on processes or in
virtual time. Names are those of gateways (n0, n1, ...) and, where relays lie between, nodes. May not know:
who plays it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path

import msgspec

from .faulty_network import BOTH, Over

Pair = tuple[str, str]  # from whom, to whom
AWAY = 0.3  # s between a loop's kill and its start


class _Fault(msgspec.Struct, frozen=True, tag=True):
    """`at`: when it begins; `span`: for how long."""

    at: float
    span: float


class Cut(_Fault, frozen=True):
    """Nothing gets through, in each direction named."""

    pairs: tuple[Pair, ...]
    over: tuple[Over, ...] = BOTH


class Rough(_Fault, frozen=True):
    """Ways that delay, lose, double and throttle (`rate`, bytes a second; 0 for none)."""

    pairs: tuple[Pair, ...]
    over: tuple[Over, ...] = BOTH
    delay: float = 0.0
    jitter: float = 0.0
    loss: float = 0.0
    twice: float = 0.0
    rate: float = 0.0


class Halt(_Fault, frozen=True):
    """Processes that stand still (SIGSTOP, then SIGCONT)."""

    gateways: tuple[int, ...]


class Duty(_Fault, frozen=True):
    """Slow peers: of each `period` they stand still for `part`."""

    gateways: tuple[int, ...]
    part: float = 0.3
    period: float = 0.2


class Restart(_Fault, frozen=True):
    """Gateways that go together and are back, from nothing but the last list, after `span`; `outright`:
    killed, else by SIGTERM."""

    gateways: tuple[int, ...]
    outright: bool = True


class Loop(_Fault, frozen=True):
    """A gateway that is killed and started over and over, each `every` seconds."""

    gateway: int
    every: float = 0.3


class Calm(_Fault, frozen=True):
    """Nothing, for as long: what a trouble is held against."""


Fault = Calm | Cut | Rough | Halt | Duty | Restart | Loop


class Schedule(msgspec.Struct, frozen=True):
    """What happens in one run; `seconds`: how long it lasts, calm ends included."""

    name: str
    seed: int
    gateways: int
    seconds: float
    faults: tuple[Fault, ...] = ()

    def save(self, path: Path) -> None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self)) + b"\n")


def load(path: Path) -> Schedule:
    """What `Schedule.save` wrote; raises `msgspec.DecodeError` on anything else."""
    return msgspec.json.decode(path.read_bytes(), type=Schedule)


# Shapes of cuts.


def parted(some: Sequence[str], others: Sequence[str]) -> tuple[Pair, ...]:
    """Neither side hears the other."""
    return tuple(pair for a in some for b in others for pair in ((a, b), (b, a)))


def one_way(sources: Sequence[str], targets: Sequence[str]) -> tuple[Pair, ...]:
    """The targets do not hear the sources; the sources hear them."""
    return tuple((a, b) for a in sources for b in targets if a != b)


def ring(names: Sequence[str]) -> tuple[Pair, ...]:
    """Each is cut off from the next: everybody reaches a majority, and no two the same one."""
    nexts = [*names[1:], names[0]]
    return tuple(pair for a, b in zip(names, nexts, strict=True) for pair in ((a, b), (b, a)))


def among(names: Sequence[str]) -> tuple[Pair, ...]:
    return tuple((a, b) for a in names for b in names if a != b)


def draw(seed: int, gateways: int, seconds: float = 12.0, lead: float = 2.0, tail: float = 5.0) -> Schedule:
    """Two to four faults of mixed kinds between calm ends; whoever is killed or halted is so by one fault at
    a time, as nobody can be killed twice."""
    rng = random.Random(f"faults:{seed}:{gateways}")
    names = [f"n{number}" for number in range(gateways)]
    free = rng.sample(range(gateways), gateways)
    faults: list[Fault] = []
    for _ in range(rng.randint(2, 4)):
        at = rng.uniform(lead, max(lead, seconds - tail - 2.0))
        span = rng.uniform(0.5, max(0.5, seconds - tail - at))
        kind = rng.choice(("halves", "one_way", "ring", "rough", "halt", "duty", "kill", "end", "loop"))
        some = rng.sample(names, rng.randint(1, gateways // 2))
        others = [name for name in names if name not in some]
        taken = tuple(free.pop() for _ in range(min(len(free), rng.randint(1, max(1, gateways // 4)))))
        if not taken and kind in ("halt", "duty", "kill", "end", "loop"):
            kind = "halves"
        match kind:
            case "halves":
                faults.append(Cut(at, span, parted(some, others)))
            case "one_way":
                faults.append(Cut(at, span, one_way(some, others)))
            case "ring":
                faults.append(Cut(at, span, ring(names)))
            case "rough":
                faults.append(
                    Rough(
                        at,
                        span,
                        among(names),
                        delay=rng.uniform(0, 0.05),
                        jitter=rng.uniform(0, 0.1),
                        loss=rng.uniform(0, 0.4),
                        twice=rng.uniform(0, 0.2),
                    )
                )
            case "halt":
                faults.append(Halt(at, span, taken))
            case "duty":
                faults.append(Duty(at, span, taken, rng.uniform(0.2, 0.6), rng.uniform(0.1, 0.5)))
            case "loop":
                faults.append(Loop(at, span, taken[0], rng.uniform(0.2, 0.8)))
            case _:
                faults.append(Restart(at, span, taken, kind == "kill"))
    return Schedule(f"mixed-{seed}", seed, gateways, seconds, tuple(sorted(faults, key=lambda f: f.at)))
