"""Checks the five rules by scenarios on processes, schedules in virtual time, and mutants.

The oracle must detect every mutant. Scenarios run in parallel, each in its own process; one whose stand-ins
lagged has no verdict and runs again. `python -m benchmarks.rules --seed N` replays a schedule.
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
TRIES = 3  # Runs of a scenario whose stand-ins lagged.
ON_SOCKETS_QUICK = ("execution-forgotten", "socket-answers-lost", "socket-written-late")
# Scenarios that make a mutant show its fault, for mutants that do not show it in the calm scenario.
WHERE = {
    "socket-written-late": "rolling-deploy",
    "execution-forgotten": "rude-nodes",
    "scope-ignored": "rude-nodes",
    "rejects-after-execution": "rude-nodes",
    "socket-bodies-wait": "stopped-clients",
    "socket-turn-unbounded": "flooded-front-end",
    "socket-input-unbounded": "flooded-by-a-crowd",
}
Played = tuple[str, str, Verdict, float, float]


def _scenario(job: tuple[str, str, int]) -> Played:
    """Runs a scenario; returns its name, mutant if any, verdict, CPU ms per request and memory in MB."""
    name, planted, seed = job
    gc.disable()  # A garbage collection over the ledger would cause a lag.
    command = mutant_gateway.command(planted) if planted else ("-m", "trackspread", "run")
    for number in range(TRIES):
        outcome = uvloop.run(run(SCENARIOS[name], seed + 1000 * number, command))
        if outcome.verdict.state != "void":
            break
    return name, planted, outcome.verdict, outcome.cpu_ms, outcome.memory_mb


def _schedules(seeds: range) -> list[tuple[int, str]]:
    """Returns the seeds whose schedules break a rule, with the violation."""
    broken = []
    for seed in seeds:
        schedule = make(seed)
        verdict, _ = play(schedule)
        if verdict.violations:
            broken.append((seed, f"{schedule}: {verdict.violations[0].rule}: {verdict.violations[0].text}"))
    return broken


def _convict(name: str) -> tuple[str, int | None]:
    """Returns a mutant and the seed that detects it, or None.

    The rule on quotas is checked in calm schedules only.
    """
    return name, first_detecting_seed(
        name, iter(range(0, 10**6, CALM if MUTANTS[name].rule == "quotas" else 1))
    )


def measure(quick: bool, seed: int) -> dict[str, float]:
    """Returns all figures; prints progress to standard error."""
    began = time.monotonic()
    in_scenarios = [name for name in mutant_gateway.PROCESSES if name not in mutant_gateway.UPGRADES_ONLY]
    sockets = ON_SOCKETS_QUICK if quick else in_scenarios
    jobs = [(name, "", seed) for name in SCENARIOS]
    jobs += [(WHERE.get(name, "calm"), name, seed) for name in sockets]
    violations = void = caught = 0
    side_by_side = len(jobs) if quick else max(2, (os.cpu_count() or 2))
    figures: dict[str, float] = {}
    with multiprocessing.get_context("spawn").Pool(side_by_side, maxtasksperchild=1) as pool:
        for name, planted, verdict, cpu_ms, memory in pool.imap_unordered(_scenario, jobs):
            texts = ", ".join(f"{v.rule}: {v.text}" for v in verdict.violations[:2])
            if planted:
                caught += (detected := mutant_gateway.rule(planted) in verdict.broken_rules())
                say(f"mutant {planted} in {name}: {'detected' if detected else 'NOT DETECTED'} ({texts})")
                continue
            violations += len(verdict.violations) if verdict.state != "void" else 0
            void += verdict.state == "void"
            counts = verdict.summary
            figures[f"beyond_{name}"] = round(counts.over_quota_share, 4)
            say(
                f"{name}: {verdict.state}; {counts.requests} requests, {counts.served} served, "
                f"{counts.rejected} rejected ({counts.rejected_with_quota_left} with quota left), "
                f"{counts.failed} failed; {counts.over_quota_share:.1%} beyond quotas; "
                f"{cpu_ms:.2f} ms CPU per request, {memory:.0f} MB; "
                f"lag {counts.max_lag_ns / 1e6:.0f} ms {texts}"
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
        for name, detected_by in mutants:
            caught += detected_by is not None
            say(
                f"mutant {name} in virtual time: "
                + ("NOT DETECTED" if detected_by is None else f"detected by seed {detected_by}")
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
    """Plays one schedule, prints its violations line by line, and returns the exit status."""
    schedule = make(seed)
    verdict, _ = play(schedule)
    print(schedule)
    for violation in verdict.violations:
        print(f"{violation.rule}: {violation.text}")
    print(json.dumps({"state": verdict.state, "violations": len(verdict.violations)}))
    return 1 if verdict.violations else 0


def main() -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="take less than 50 s on eight cores")
    parser.add_argument("--seed", type=int, help="replay one schedule")
    parser.add_argument("--first", type=int, default=1, help="first seed of scenarios and schedules")
    given = parser.parse_args()
    if given.seed is not None:
        return replay(given.seed)
    figures = measure(given.quick, given.first)
    print(json.dumps(figures))
    kept = not figures["violations"] and not figures["void"]
    return 0 if kept and figures["mutants_caught"] == figures["mutants"] else 1


if __name__ == "__main__":
    sys.exit(main())
