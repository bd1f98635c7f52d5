"""The five rules: scenarios on processes, schedules in virtual time, mutants that the judge must convict.

Scenarios run side by side, each in a process of its own; one whose stand-ins lagged has no verdict and is
played again. A schedule that breaks a rule is named: `python -m benchmarks.rules --seed N` replays it.
"""

from __future__ import annotations

import argparse
import gc
import json
import multiprocessing
import os
import sys
import time

import uvloop

from benchmarks.common import CHUNK, chunks, say
from trackspread.testing.harness import mutant_gateway
from trackspread.testing.harness.fault_scenarios import SCENARIOS, run
from trackspread.testing.judge.verdict import Verdict
from trackspread.testing.virtual.mutants import MUTANTS, first_detecting_seed
from trackspread.testing.virtual.schedules import CALM, make, play

SCHEDULES_QUICK, SCHEDULES = 2000, 12000
TRIES = 3  # of a scenario whose stand-ins lagged
ON_SOCKETS_QUICK = ("execution-forgotten", "socket-answers-lost", "socket-written-late")
WHERE = {  # the scenario that brings a mutant to its fault, where that is not the calm one
    "socket-written-late": "rolling-deploy",
    "execution-forgotten": "rude-nodes",
    "scope-ignored": "rude-nodes",
    "rejects-after-execution": "rude-nodes",
}
Played = tuple[str, str, Verdict, float, float]


def _scenario(job: tuple[str, str, int]) -> Played:
    """Name, mutant or none, verdict, CPU a try in ms, memory in MB."""
    name, planted, seed = job
    gc.disable()  # a collection over the ledger would be a lag
    command = mutant_gateway.command(planted) if planted else ("-m", "trackspread", "run")
    for number in range(TRIES):
        outcome = uvloop.run(run(SCENARIOS[name], seed + 1000 * number, command))
        if outcome.verdict.state != "void":
            break
    return name, planted, outcome.verdict, outcome.cpu_ms, outcome.memory_mb


def _schedules(seeds: range) -> list[tuple[int, str]]:
    """The broken ones, with what broke."""
    broken = []
    for seed in seeds:
        schedule = make(seed)
        verdict, _ = play(schedule)
        if verdict.violations:
            broken.append((seed, f"{schedule}: {verdict.violations[0].rule}: {verdict.violations[0].text}"))
    return broken


def _convict(name: str) -> tuple[str, int | None]:
    """Quotas are held to in calm schedules alone."""
    return name, first_detecting_seed(
        name, iter(range(0, 10**6, CALM if MUTANTS[name].rule == "quotas" else 1))
    )


def measure(quick: bool, seed: int) -> dict[str, float]:
    """All of it; progress goes to standard error."""
    began = time.monotonic()
    sockets = ON_SOCKETS_QUICK if quick else mutant_gateway.PROCESSES
    jobs = [(name, "", seed) for name in SCENARIOS]
    jobs += [(WHERE.get(name, "calm"), name, seed) for name in sockets]
    violations = void = caught = 0
    side_by_side = len(jobs) if quick else max(2, (os.cpu_count() or 2))
    figures: dict[str, float] = {}
    with multiprocessing.get_context("spawn").Pool(side_by_side, maxtasksperchild=1) as pool:
        for name, planted, verdict, cpu_ms, memory in pool.imap_unordered(_scenario, jobs):
            told = ", ".join(f"{v.rule}: {v.text}" for v in verdict.violations[:2])
            if planted:
                caught += (convicted := mutant_gateway.rule(planted) in verdict.broken_rules())
                say(f"mutant {planted} in {name}: {'convicted' if convicted else 'NOT CONVICTED'} ({told})")
                continue
            violations += len(verdict.violations) if verdict.state != "void" else 0
            void += verdict.state == "void"
            counts = verdict.summary
            figures[f"beyond_{name}"] = round(counts.over_quota_share, 4)
            say(
                f"{name}: {verdict.state}; {counts.requests} tries, {counts.served} served, "
                f"{counts.rejected} refused ({counts.rejected_with_quota_left} with room), "
                f"{counts.failed} failed; {counts.over_quota_share:.1%} beyond quotas; "
                f"{cpu_ms:.2f} ms CPU a try, {memory:.0f} MB; lag {counts.max_lag_ns / 1e6:.0f} ms {told}"
            )
    say(f"scenarios done after {time.monotonic() - began:.0f} s")
    count = SCHEDULES_QUICK if quick else SCHEDULES
    with multiprocessing.get_context("spawn").Pool() as pool:
        mutants = pool.imap_unordered(_convict, MUTANTS)
        first = 1_000_000 + seed * count
        for done, broken in enumerate(pool.imap_unordered(_schedules, chunks(first, count)), 1):
            for each, text in broken:
                violations += 1
                say(f"BROKEN, replay with --seed {each}: {text}")
            if done % 25 == 0:
                say(f"{done * CHUNK} of {count} schedules after {time.monotonic() - began:.0f} s")
        for name, convicted_by in mutants:
            caught += convicted_by is not None
            say(
                f"mutant {name} in virtual time: "
                + ("NOT CONVICTED" if convicted_by is None else f"convicted by seed {convicted_by}")
            )
    return {
        "scenarios": len(SCENARIOS),
        "void": void,
        "schedules": count,
        "violations": violations,
        "mutants": len(sockets) + len(MUTANTS),
        "mutants_caught": caught,
        **figures,
        "seconds": round(time.monotonic() - began, 1),
    }


def replay(seed: int) -> int:
    """One schedule, alone; its violations line by line."""
    schedule = make(seed)
    verdict, _ = play(schedule)
    print(schedule)
    for violation in verdict.violations:
        print(f"{violation.rule}: {violation.text}")
    print(json.dumps({"state": verdict.state, "violations": len(verdict.violations)}))
    return 1 if verdict.violations else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="under 50 s on eight cores")
    parser.add_argument("--seed", type=int, help="replay one schedule")
    parser.add_argument("--first", type=int, default=1, help="begins the seeds of scenarios and schedules")
    given = parser.parse_args()
    if given.seed is not None:
        return replay(given.seed)
    figures = measure(given.quick, given.first)
    print(json.dumps(figures))
    kept = not figures["violations"] and not figures["void"]
    return 0 if kept and figures["mutants_caught"] == figures["mutants"] else 1


if __name__ == "__main__":
    sys.exit(main())
