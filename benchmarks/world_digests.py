"""Computes digests of the seeded virtual worlds, which show whether two versions behave identically.

Every world is played with a few seeds. One digest covers all that happens in it: the times of all scheduled
calls, each event of the decision module with its actions, the bytes between processes, the entries of the
ledger, the records that billing accepted, and the final state of the random generator. Values enter by
position and enums by value, so that names of modules, classes and fields make no difference. Texts of log
lines are left out.

`--write FILE` stores the digests, and `--compare FILE` prints those that differ from stored ones. Digests of
an older version come from a copy of this file with that version's import paths.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import multiprocessing
import os
import random
import sys
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from collections.abc import Set as AbstractSet
from contextlib import ExitStack, contextmanager
from enum import Enum
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec

from trackspread.decide.broker import Broker
from trackspread.testing.standins.counter import Shard
from trackspread.testing.virtual import reservations, quota_accuracy, slow_start, schedules, large_fleets
from trackspread.testing.virtual.cells import schedules as cells_schedules
from trackspread.testing.virtual.cells import worlds as cells_worlds
from trackspread.testing.virtual.cells.world import CellsWorld
from trackspread.testing.virtual.clock import Clock
from trackspread.testing.virtual.counter import schedules as counter_schedules
from trackspread.testing.virtual.distribution import schedules as distribution_schedules
from trackspread.testing.virtual.distribution.world import World as DistributionWorld
from trackspread.testing.virtual.fleet import VirtualFleet
from trackspread.testing.virtual.handover.world import World as HandoverWorld
from trackspread.testing.virtual.membership import schedules as membership_schedules
from trackspread.testing.virtual.membership.world import World as MembershipWorld
from trackspread.testing.virtual.planning import saturated
from trackspread.testing.virtual.planning import schedules as planning_schedules
from trackspread.testing.virtual.planning.world import World as PlanningWorld
from trackspread.testing.virtual.usage import schedules as usage_schedules
from trackspread.testing.virtual.usage.world import World as UsageWorld

DIGEST_BYTES = 16
WORKERS = 2
HASH_SEED = "0"  # Hash seed of the worker processes.
Played = tuple[str, str, float]  # Name, digest and seconds.


class Recorder:
    """Computes one digest over plain values, in the order in which they are added."""

    def __init__(self) -> None:
        self._digest = blake2b(digest_size=DIGEST_BYTES)

    def add(self, *values: object) -> None:
        """Adds values of any depth, and skips objects that are not plain values (processes, callables)."""
        for value in values:
            for part in flattened(value):
                self._digest.update(part)

    def hexdigest(self) -> str:
        """Returns the digest in hexadecimal."""
        return self._digest.hexdigest()


def flattened(value: object) -> Iterator[bytes]:
    """Yields a value's parts by position, without names of types or fields."""
    if isinstance(value, Enum):
        yield from flattened(value.value)
    elif value is None:
        yield b"n;"
    elif isinstance(value, bool | int):
        yield b"i%d;" % int(value)
    elif isinstance(value, float):
        yield b"f%s;" % repr(value).encode()
    elif isinstance(value, str | bytes | bytearray):
        raw = value.encode() if isinstance(value, str) else bytes(value)
        yield b"b%d:%s;" % (len(raw), raw)
    else:
        yield from _flattened_collection(value)


def _flattened_collection(value: object) -> Iterator[bytes]:
    """Yields the parts of a collection, struct or dataclass; nothing for other objects."""
    match value:
        case msgspec.Struct():
            parts: Iterable[object] = [getattr(value, name) for name in value.__struct_fields__]
        case Mapping():
            yield b"m%d;" % len(value)
            parts = [part for item in value.items() for part in item]
        case AbstractSet():
            yield b"s%d;" % len(value)
            yield from sorted(b"".join(flattened(part)) for part in value)
            return
        case tuple() | list():
            if not hasattr(value, "_fields"):
                yield b"l%d;" % len(value)
            parts = value
        case _:
            if not dataclasses.is_dataclass(value):
                return
            parts = [getattr(value, field.name) for field in dataclasses.fields(value)]
    for part in parts:
        yield from flattened(part)


def _is_log_line(action: object) -> bool:
    """Returns whether an action has only texts."""
    if not dataclasses.is_dataclass(action):
        return False
    values = [getattr(action, field.name) for field in dataclasses.fields(action)]
    return bool(values) and all(isinstance(value, str) for value in values)


def _before(owner: type, name: str, note: Callable[..., None]) -> Any:
    """Returns a patch that passes the arguments of a method to `note` before each call."""
    real = getattr(owner, name)

    def noted(self: Any, *words: Any, **named: Any) -> Any:
        note(self, *words, **named)
        return real(self, *words, **named)

    return patch.object(owner, name, noted)


def _decisions(recorder: Recorder) -> Any:
    """Returns a patch that records each event of the decision module with its actions."""
    real = Broker.handle

    def handle(self: Broker, now: int, event: Any) -> Any:
        actions = real(self, now, event)
        recorder.add(now, event, [action for action in actions if not _is_log_line(action)])
        return actions

    return patch.object(Broker, "handle", handle)


def _ledgers(recorder: Recorder) -> Any:
    """Returns a patch that records the ledger and the random state at the end of a fleet's run."""
    real = VirtualFleet.run

    def run(self: VirtualFleet, span: int) -> None:
        real(self, span)
        recorder.add(list(self.ledger.entries), self.rng.getstate())

    return patch.object(VirtualFleet, "run", run)


@contextmanager
def recorded(recorder: Recorder) -> Iterator[None]:
    """Records in the digest whatever any world does within the context."""
    encode = msgspec.msgpack.encode

    def sent(world: Any, process: Any, to: Any, message: Any) -> None:
        recorder.add(process.name, to, encode(message))

    def planned(world: Any, source: Any, target: Any, call: Any) -> None:
        recorder.add(source.name, target.name, call.args)

    def handed_over(world: Any, actions: Any) -> None:
        recorder.add(
            world.now, [tuple(action) for action in actions]
        )  # Converted to plain pairs, as older versions had no type for them.

    def swapped(world: Any, process: Any, core: Any, target: Any, table: Any) -> None:
        recorder.add(process.name, target.name, encode(table))

    with ExitStack() as stack:
        for each in (
            _before(Clock, "at", lambda clock, at, call: recorder.add(clock.now, at)),
            _before(Shard, "execute", lambda shard, *words: recorder.add(*words)),
            _before(MembershipWorld, "_send", sent),
            _before(MembershipWorld, "_swap", swapped),
            _before(CellsWorld, "_send", sent),
            _before(CellsWorld, "_swap", swapped),
            _before(DistributionWorld, "_send", sent),
            _before(PlanningWorld, "send", planned),
            _before(UsageWorld, "record_sent", lambda world, post: recorder.add(post.key, post.body)),
            _before(HandoverWorld, "_perform_old", handed_over),
            _before(HandoverWorld, "_perform_new", handed_over),
            _decisions(recorder),
            _ledgers(recorder),
        ):
            stack.enter_context(each)
        yield


# Each function plays one seed of a world and returns its result, which is added to what was recorded.


def _gateways(seed: int) -> object:
    verdict, fleet = schedules.play(schedules.make(seed))
    return verdict.state, len(verdict.violations), fleet.rng.getstate()


def _membership(seed: int) -> object:
    world, took_ns = membership_schedules.play(membership_schedules.make(seed))
    return took_ns, world.used_slots(), world.rng.getstate()


def _cells(seed: int) -> object:
    world, took_ns = cells_schedules.play(seed)
    return took_ns, dict(world.bytes_sent), dict(world.bytes_received), world.rng.getstate()


def _distribution(play: Callable[[int], Any], seed: int) -> object:
    world = play(seed)
    return dict(world.done), dict(world.bytes), dict(world.received), world.rng.getstate()


def _counter(seed: int) -> object:
    world = counter_schedules.play(counter_schedules.make(seed))
    return list(world.counts.values()), world.violations, world.calls, world.requests, world.rng.getstate()


def _planning(seed: int) -> object:
    world = planning_schedules.play(planning_schedules.make(seed))
    counts = [(count.requested, count.forwarded, count.beyond, count.admissible) for count in world.counts]
    return counts, world.violations, world.forwarded_by, world.rng.getstate()


def _saturated(seed: int) -> object:
    world = saturated.play(saturated.make(seed))
    counts = [(count.requested, count.forwarded, count.beyond, count.admissible) for count in world.counts]
    return counts, len(world.violations), world.forwarded_by, world.rng.getstate()


def _usage(seed: int) -> object:
    player = usage_schedules.Player(usage_schedules.make(seed))
    wrong, world = player.play(), player.world
    files = [{name: bytes(file.cached) for name, file in disk.files.items()} for disk in player.disks]
    return len(wrong), world.memory.rows, files, world.crashes, world.rng.getstate()


def _handover(seed: int) -> object:
    world = HandoverWorld(seed)
    if kind := seed % 5:
        who, what = ("old", "new")[kind % 2], ("killed", "silent")[kind // 2 % 2]
        world.inject_fault(random.Random(seed).uniform(0.0, 1.0 if seed % 2 else 0.02), who, what)
    world.run()
    return world.old_serves, world.new_serves, world.both_serve_s, world.none_serves_s, world.rng.getstate()


WORLDS: dict[str, Callable[[int], object]] = {
    "gateways": _gateways,
    "booked": reservations.run,
    "ramp": slow_start.play,
    "ramp, none warm": slow_start.play_none_warm,
    "membership": _membership,
    "cells": _cells,
    "counter": _counter,
    "counter, calm": counter_schedules.play_without_faults,
    "counter, deaf": counter_schedules.play_without_counter,
    "counter, tight": counter_schedules.play_moved_traffic,
    "planning": _planning,
    "planning, saturated": _saturated,
    "usage": _usage,
    "handover": _handover,
    **{
        f"quiet, {scenario}, {trouble}": partial(quota_accuracy.play, scenario, trouble)
        for scenario in quota_accuracy.SCENARIOS
        for trouble in quota_accuracy.FAULTS
    },
    **{f"vast, {shape}": partial(large_fleets.play, shape) for shape in large_fleets.FAULTS},
    **{f"cells, {play.__name__}": play for play in cells_worlds.WORLDS[1:]},
    **{
        f"distribution, {play.__name__}": partial(_distribution, play)
        for play in distribution_schedules.SHORT + distribution_schedules.LONG
    },
}
# Seeds of each world in a full run and with --quick. A world not listed has one, and none with --quick.
SEEDS: dict[str, tuple[Iterable[int], Iterable[int]]] = {
    "gateways": (range(1, 41), range(1, 13)),
    "booked": (range(1, 9), range(1, 4)),
    "membership": (range(1, 7), range(1, 3)),
    "cells": (range(1, 3), range(1, 2)),
    "counter": (range(1, 9), range(1, 4)),
    "counter, calm": (range(1, 3), ()),
    "counter, deaf": (range(1, 3), range(1, 2)),
    "counter, tight": (range(1, 5), range(1, 2)),
    "planning": (range(1, 7), range(1, 3)),
    "planning, saturated": (range(1, 4), ()),
    "usage": (range(1, 25), range(1, 9)),
    "handover": (range(1, 201), range(1, 51)),
    "ramp": (range(1, 2), ()),
    "distribution, drawn": (range(1, 4), range(1, 2)),
    "distribution, two_lead": (range(1, 3), range(1, 2)),
}
ONE: tuple[Iterable[int], Iterable[int]] = (range(1, 2), ())


def jobs(quick: bool) -> list[tuple[str, int]]:
    """Returns every pair of world and seed."""
    return [(name, seed) for name in WORLDS for seed in SEEDS.get(name, ONE)[quick]]


def digest(job: tuple[str, int]) -> Played:
    """Plays one world and returns its digest; a broken invariant is part of the digest."""
    name, seed = job
    began, recorder = time.monotonic(), Recorder()
    with recorded(recorder):
        try:
            recorder.add(WORLDS[name](seed))
        except Exception as error:
            print(f"{name}, seed {seed}: {type(error).__name__}: {error}", file=sys.stderr, flush=True)
            recorder.add("broken")
    return f"{name}: {seed}", recorder.hexdigest(), time.monotonic() - began


def measure(quick: bool) -> tuple[dict[str, str], dict[str, float]]:
    """Returns the digests by world and seed, and the seconds that each took."""
    # The digests do not depend on the hash seed, but one world does: its control machines iterate over a set
    # of names.
    os.environ["PYTHONHASHSEED"] = HASH_SEED
    digests, seconds = {}, {}
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for name, made, took_s in pool.imap_unordered(digest, jobs(quick)):
            digests[name], seconds[name] = made, took_s
    return dict(sorted(digests.items())), seconds


def main() -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="fewer seeds, in less than 50 s")
    parser.add_argument("--write", type=Path, metavar="FILE", help="store the digests in a file")
    parser.add_argument(
        "--compare", type=Path, metavar="FILE", help="print the digests that differ from a stored file"
    )
    parser.add_argument("--times", action="store_true", help="print the seconds of each world")
    given = parser.parse_args()
    began = time.monotonic()
    digests, seconds = measure(given.quick)
    for name, made in digests.items():
        print(f"{made}  {name}" + (f"  {seconds[name]:.2f} s" if given.times else ""))
    if given.write:
        given.write.write_text(json.dumps(digests, indent=0) + "\n")
    figures: dict[str, float] = {"worlds": len(WORLDS), "digests": len(digests)}
    if given.compare:
        kept = json.loads(given.compare.read_text())
        differing = [name for name, made in digests.items() if kept.get(name) != made]
        for name in differing:
            print(f"DIFFERS: {name}: {kept.get(name, 'not stored')} before, {digests[name]} now")
        figures |= {"differing": len(differing)}
    print(json.dumps({**figures, "seconds": round(time.monotonic() - began, 1)}))
    return 1 if figures.get("differing") else 0


if __name__ == "__main__":
    sys.exit(main())
