"""Measures a fleet of processes under partitions, pauses and crashes, and how long it takes to recover.

Each run plays one schedule of faults on a fleet under load and is judged by its ledger. A run in which the
test process itself lagged is void and is repeated. The table has the broken rules, the rejections with quota
left before, during and after the fault, the units beyond quotas (of all tenants, and of the worst one), and
the time until the share of such rejections is back at its level in the calm run of the same size. `--keep
FOLDER` stores schedule and ledger of each run that broke a rule; `--replay FILE` plays a stored schedule.
"""

from __future__ import annotations

import argparse
import gc
import json
import multiprocessing
import sys
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.common import say
from trackspread.testing.harness.fault_run import SEED_STEP, FaultRun, play_until_judged
from trackspread.testing.standins import fault_schedule
from trackspread.testing.standins.fault_schedule import Schedule

LEAD, SPAN, TAIL = (
    8.0,
    10.0,
    10.0,
)  # Seconds before, of and after the fault; a fleet that just started rejects much.
QUICK = 5.0  # Seconds of the fault in a quick run.
SIDE_BY_SIDE = 3  # Parallel runs. With more, fleets of twelve take the CPU that the test process needs.
TRIES = 4  # Attempts at a run that is void.


def _names(count: int) -> list[str]:
    return [f"n{number}" for number in range(count)]


def shapes(count: int, span: float) -> dict[str, tuple[fault_schedule.Fault, ...]]:
    """Returns the faults of the table for `count` gateways."""
    names, half = _names(count), count // 2
    return {
        "calm": (fault_schedule.NoFault(LEAD, span),),
        "halves": (fault_schedule.Cut(LEAD, span, fault_schedule.partition(names[:half], names[half:])),),
        "one way": (fault_schedule.Cut(LEAD, span, fault_schedule.one_way(names[:half], names[half:])),),
        "ring": (fault_schedule.Cut(LEAD, span, fault_schedule.ring(names)),),
        "one stopped 5 s": (fault_schedule.Pause(LEAD, 5.0, (1,)),),
        "one in a duty cycle": (fault_schedule.PauseCycle(LEAD, span, (1,), 0.3, 0.3),),
        "one killed in a loop": (fault_schedule.CrashLoop(LEAD, span, 1, 0.3),),
        "all by SIGTERM": (fault_schedule.Restart(LEAD, 0.5, tuple(range(count)), False),),
    }


def _play(job: tuple[Schedule, str, str | None]) -> FaultRun:
    """Plays one schedule in this process."""
    schedule, keep, view = job
    gc.disable()  # A garbage collection over the ledger would cause a lag.
    return uvloop.run(play_until_judged(schedule, TRIES, Path(keep) if keep else None, view))


def _line(f: FaultRun, calm: float) -> str:
    """Returns a run's line of the table; `calm` is the share of rejections in the calm run."""
    refused = f.refused_with_quota
    return (
        f"| {f.gateways} | {f.name} | {f.seed} | {f.state} | {f.requests} | {f.late_by_pause} | "
        f"{refused.before:.1%}, {refused.during:.1%}, {refused.after:.1%} | {f.excess_share:.2%} | "
        f"{f.worst_excess_share:.0%} | {f.recovery_s(calm):.0f} |"
    )


def table(
    sizes: tuple[int, ...],
    span: float,
    seeds: tuple[int, ...],
    keep: str,
    side: int,
    only: list[str],
    view: str | None,
) -> dict[str, Any]:
    """Plays all faults, or the calm run and the named ones, and prints a line for each to standard error."""
    chosen = [name for name in shapes(2, span) if name in ("calm", *only) or not only]
    jobs = [
        (Schedule(name, seed, count, LEAD + span + TAIL, shapes(count, span)[name]), keep, view)
        for count in sizes
        for seed in seeds
        for name in chosen
    ]
    say(
        "| gateways | fault | seed | rules | requests | late by a pause | rejected with quota before, "
        "during, after | beyond quotas | worst tenant | recovered after, s |"
    )
    say("| --- " * 10 + "|")
    calm: dict[tuple[int, int], float] = {}
    found: list[FaultRun] = []
    with multiprocessing.get_context("spawn").Pool(side, maxtasksperchild=1) as pool:
        for played in pool.imap(_play, jobs):
            if played.name == "calm":
                calm[played.gateways, played.seed % SEED_STEP] = played.refused_with_quota.during
            found.append(played)
            if played.state == "void":
                say(f"  the test process lagged by {played.lag_ms:.0f} ms")
            say(_line(played, calm[played.gateways, played.seed % SEED_STEP]))
            for text in played.violations[:3]:
                say(f"  {text}")
    last: dict[str, Any] = {
        "plays": len(found),
        "void": sum(p.state == "void" for p in found),
        "violations": sum(len(p.violations) for p in found),
    }
    for count in sizes:
        for name in chosen:
            same = [p for p in found if (p.gateways, p.name) == (count, name)]
            key = f"{name.replace(' ', '_')}_{count}"
            last[f"with_room_{key}"] = round(sum(p.refused_with_quota.during for p in same) / len(same), 4)
            last[f"beyond_{key}"] = round(sum(p.excess_share for p in same) / len(same), 4)
            last[f"over_ceiling_{key}"] = round(max(p.hard_limit_excess for p in same), 4)
            last[f"after_{key}"] = round(sum(p.refused_with_quota.after for p in same) / len(same), 4)
            last[f"right_again_s_{key}"] = max(p.recovery_s(calm[count, p.seed % SEED_STEP]) for p in same)
    return last


def replay(path: Path, view: str | None) -> int:
    """Plays one stored schedule, prints its violations line by line, and returns the exit status."""
    played = _play((fault_schedule.load(path), "", view))
    for text in played.violations:
        print(text)
    print(json.dumps({"state": played.state, "violations": len(played.violations)}))
    return 1 if played.violations else 0


def main() -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="take less than 110 s: six gateways, one seed")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=2, help="number of seeds (2)")
    parser.add_argument("--keep", default="", metavar="FOLDER")
    parser.add_argument("--replay", type=Path, metavar="FILE")
    parser.add_argument("--side", type=int, default=SIDE_BY_SIDE, help="parallel runs (3)")
    parser.add_argument("--gateways", type=int, action="append", help="gateways in a fleet (6 and 12)")
    parser.add_argument(
        "--trouble", action="append", default=[], help="a fault of the table, in addition to calm"
    )
    parser.add_argument(
        "--view",
        nargs="?",
        const="",
        metavar="KEYS",
        help="gateways have a view of their fleet; more keys of [fleet]",
    )
    given = parser.parse_args()
    if given.replay is not None:
        return replay(given.replay, given.view)
    began = time.monotonic()
    seeds = tuple(range(given.seed, given.seed + (1 if given.quick else given.seeds)))
    sizes, span = ((6,), QUICK) if given.quick else ((6, 12), SPAN)
    sizes = tuple(given.gateways) if given.gateways else sizes
    figures = table(sizes, span, seeds, given.keep, given.side, given.trouble, given.view)
    figures["seconds"] = round(time.monotonic() - began, 1)
    print(json.dumps(figures))
    return 0 if not figures["violations"] and not figures["void"] else 1


if __name__ == "__main__":
    sys.exit(main())
