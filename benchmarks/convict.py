"""Tests generated mutants of the deciding modules, and reports which checks detect them and which survive.

`--quick` takes a seeded sample; without it the sample is larger, and `--all` takes every mutant of the
packages. Results are stored in `build/mutants.jsonl`, so that an interrupted run continues where it stopped.
A tested mutant is not tested again until the code or the checks change.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import sys
import time
from collections import Counter
from hashlib import blake2b
from pathlib import Path

import msgspec

from benchmarks.common import say
from trackspread.testing.mutation.checks import SCHEDULES
from trackspread.testing.mutation.equivalent import load
from trackspread.testing.mutation.generate import Mutant, sample
from trackspread.testing.mutation.plant import Result, require_sound, run_all
from trackspread.testing.virtual.explorer import Exploration

PACKAGES = ("planning", "decide")
QUICK, LONG = 100, 400  # Mutants in a sample.
BUDGET_QUICK = 8.0  # Seconds until no new mutant is started. Running ones take up to half as long again.
STATES_QUICK, STATES = 10_000, 400_000  # States of the smallest planning world, from each of its two starts.
RESULTS_FILE = Path("build/mutants.jsonl")


def checks_digest() -> str:
    """Returns a digest of all source files that a result may depend on."""
    digest = blake2b(digest_size=8)
    for folder in ("trackspread", "tests"):
        for path in sorted(Path(folder).rglob("*.py")):
            digest.update(path.read_bytes())
    return digest.hexdigest()


def known(digest: str) -> dict[str, Result]:
    """Returns the results of earlier runs over the same source files, by mutant."""
    if not RESULTS_FILE.exists():
        return {}
    lines = [json.loads(line) for line in RESULTS_FILE.read_text().splitlines() if line.strip()]
    return {
        line["result"]["key"]: msgspec.convert(line["result"], Result)
        for line in lines
        if line["digest"] == digest
    }


def _explore(job: tuple[str, int]) -> Exploration:
    # The imports are here because children that apply mutants import this file first, and must not have
    # loaded these modules.
    from trackspread.testing.virtual.explorer import explore
    from trackspread.testing.virtual.planning.small import SmallWorld, elected, one_slot

    start = {"empty": SmallWorld, "elected": elected}[job[0]]
    with one_slot():
        return explore(start, 40, job[1])


def measure(packages: list[str], count: int, seed: int, quick: bool) -> dict[str, object]:
    """Runs the model checker and the mutants at the same time, and returns the figures of both."""
    states = STATES_QUICK if quick else STATES
    with multiprocessing.get_context("spawn").Pool(2) as pool:
        explored = pool.map_async(_explore, [("empty", states), ("elected", states)])
        figures = mutants(packages, count, seed, quick)
        found = explored.get()
    for each in found:
        result = (
            f"VIOLATION: {each.violation}: {' / '.join(each.trace)}" if each.violation else "no violation"
        )
        say(f"smallest planning world: {each.states} states, complete to depth {each.depth}; {result}")
    return {
        **figures,
        "model_states": sum(each.states for each in found),
        "model_depth": min(each.depth for each in found),
        "model_violations": sum(bool(each.violation) for each in found),
    }


def mutants(packages: list[str], count: int, seed: int, quick: bool) -> dict[str, object]:
    """Tests a sample of mutants and returns the figures."""
    began = time.monotonic()
    digest, equivalent = f"{checks_digest()}{'-quick' * quick}", load()
    before = known(digest)
    workers = os.cpu_count() or 2
    drawn = list(sample(packages, count, seed, workers))
    equivalents = [m for m in drawn if (m.module, m.before, m.after) in equivalent]
    tested = [m for m in drawn if m not in equivalents]
    results = [before[m.key] for m in tested if m.key in before]
    schedules = SCHEDULES // 6 if quick else SCHEDULES
    one_each = {module.split(".")[1]: module for module in sorted(m.module for m in tested)}
    require_sound(one_each.values(), schedules)
    todo: list[Mutant] = [m for m in tested if m.key not in before]
    say(
        f"{len(drawn)} mutants, {len(equivalents)} of them equivalent, {len(results)} known; generated after "
        f"{time.monotonic() - began:.0f} s"
    )
    RESULTS_FILE.parent.mkdir(exist_ok=True)
    with RESULTS_FILE.open("a") as file:
        end = time.monotonic() + BUDGET_QUICK if quick else float("inf")
        for result in run_all(todo, workers, end, schedules):
            results.append(result)
            file.write(json.dumps({"digest": digest, "result": msgspec.to_builtins(result)}) + "\n")
            file.flush()
            if len(results) % 50 == 0:
                say(f"{len(results)} of {len(tested)} after {time.monotonic() - began:.0f} s")
    for each in sorted(results, key=lambda r: (r.module, r.line)):
        if each.fate == "survived":
            say(f"SURVIVED {each.module}:{each.line} {each.operator}\n  - {each.before}\n  + {each.after}")
    by_module = Counter((r.module, r.fate) for r in results)
    for module in sorted({r.module for r in results}):
        killed, all_of = by_module[module, "killed"], sum(n for (m, _), n in by_module.items() if m == module)
        say(f"{module}: {killed} of {all_of} killed")
    killed = sum(r.fate == "killed" for r in results)
    return {
        "mutants_sampled": len(drawn),
        "put": len(results),
        "killed": killed,
        "killed_share": round(killed / max(1, len(results)), 3),
        "equivalent_share": round(len(equivalents) / max(1, len(drawn)), 3),
        "killed_by": dict(Counter(r.by for r in results if r.by)),
        "seconds": round(time.monotonic() - began, 1),
    }


def main() -> int:
    """Prints the figures as JSON; returns 1 if the model checker found a violation, otherwise 0."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="a sample in under 50 s on eight cores")
    parser.add_argument("--all", action="store_true", help="every mutant of the packages")
    parser.add_argument("--packages", default=",".join(PACKAGES), help="as planning,decide or backends.pools")
    parser.add_argument("--count", type=int, help="mutants in the sample")
    parser.add_argument("--seed", type=int, default=1, help="seed of the sample")
    given = parser.parse_args()
    count = 0 if given.all else given.count or (QUICK if given.quick else LONG)
    figures = measure(given.packages.split(","), count, given.seed, given.quick)
    print(json.dumps(figures))
    return 1 if figures["model_violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
