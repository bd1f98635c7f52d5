"""Measures the shared counter: the effect of its faults on tenants, and its CPU cost in a gateway.

Shares, excess and recovery are measured on four gateway processes and the stand-in counter. CPU and calls are
measured on one gateway in closed loop with 20 busy tenants, compared with a gateway that exchanges messages
with peers. Schedules run in virtual time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from trackspread.commands.quota import ask
from trackspread.config.addresses import ConfigError
from trackspread.testing.harness import counter_faults, quota_use
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.standins.counter import Shard
from trackspread.testing.standins.counter_server import CounterServer
from trackspread.testing.standins.scenario import Scenario
from trackspread.testing.virtual.counter.mutants import MUTANTS, first_detection
from trackspread.testing.virtual.counter.schedules import (
    play_without_faults,
    play_without_counter,
    make,
    play,
    play_moved_traffic,
)

from .cost import Work, gateway, spawn

# Demand is below the nodes' capacity, so that only limits reject. A third of the tenants exceed their quotas.
SCENARIO = Scenario(gateways=4, nodes=9, max_tenants=60, load=0.5, greedy_share=0.3, seed=11)
# Seconds: buckets fill before the fault, the fault outlasts every burst, and the fleet recovers after it.
WARM, FAULT, AFTER = 8.0, 9.0, 4.0
FAULTS = ("none", "cut", "cut_half", "split", "replace", "slow", "silent", "kill")
RECOVERED_MOST = 20.0  # Seconds for which the recovery after the counter's return is observed.
SCHEDULES_QUICK, SCHEDULES, CHUNK, MUTANT_SEEDS = 120, 10_000, 10, 120
BUSY, QUOTA = 20, 2000.0  # Tenants, and units per second of each, more than a gateway can serve.


async def _fault(name: str, folder: Path) -> dict[str, float]:
    """Runs a fleet through one fault of the counter and returns its figures."""
    async with counter_faults.fleet_with_counter(
        SCENARIO, counter_settings=lambda n: f'status = "{folder / n}"'
    ) as (fleet, server):
        fleet.start_clients()
        await asyncio.sleep(WARM)
        mark = len(fleet.ledger.entries)
        await counter_faults.FAULTS[name](fleet, server, FAULT)
        recovery = await _recovery(fleet, folder) if name == "cut" else 0.0
        await asyncio.sleep(max(0.0, AFTER - recovery))
        await fleet.settle()
        verdict = fleet.verdict()
        ceiling, quota = quota_use.excess(fleet)
        inside = quota_use.share_of_allowed_use(fleet, mark)
    return {
        "ceiling": ceiling,
        "quota": quota,
        "inside": inside,
        "recovery": recovery,
        "violations": len(verdict.violations) if verdict.state == "broken" else 0,
        "void": verdict.state == "void",
    }


async def _recovery(fleet: Fleet, folder: Path) -> float:
    """Returns the seconds from the counter's return until every gateway applies full quotas again."""
    began, members = time.monotonic(), [c.number for c in fleet.clients.population.tenants[:12]]
    while time.monotonic() - began < RECOVERED_MOST:
        statuses = []
        for name in (g.name for g in fleet.gateways):
            for member in members:
                try:
                    statuses.append(json.loads(await asyncio.to_thread(ask, str(folder / name), member)))
                except ConfigError:
                    statuses.append({"held": True, "soft": 0.0})
        if all(each["soft"] > 0.999 for each in statuses if each["held"]):
            return time.monotonic() - began
        await asyncio.sleep(0.02)
    return RECOVERED_MOST


def _run(name: str) -> tuple[str, dict[str, float]]:
    """Runs one fault in a new event loop."""
    with tempfile.TemporaryDirectory() as folder:
        return name, uvloop.run(_fault(name, Path(folder)))


async def _cost(span: float) -> tuple[float, float]:
    """Returns the CPU of a gateway with the counter over one with peers, and calls per request."""
    work = Work("busy", 9, BUSY)
    server = CounterServer([Shard(0)], 2)
    await server.start()
    process, nodes = await spawn("nodes", "9")
    with tempfile.TemporaryDirectory() as folder:
        try:
            costs: dict[bool, list[float]] = {True: [], False: []}
            calls = requests = 0.0
            for on in (False, True, True, False):
                own = f'[counter]\nservers = ["{server.server_texts(0)[0]}"]\n' if on else ""
                calls_before, began = server.shards[0].time_commands, time.monotonic()
                cost, rate = await gateway(work, nodes, Path(folder), span, own, QUOTA, 2)
                if on:
                    calls += (server.shards[0].time_commands - calls_before) / (time.monotonic() - began)
                    requests += rate
                costs[on].append(cost)
        finally:
            process.kill()
            await process.wait()
            server.close()
    print(f"CPU ms per request: with the counter {costs[True]}, with peers {costs[False]}", file=sys.stderr)
    return sum(costs[True]) / sum(costs[False]), calls / requests


def _schedules(seeds: range) -> list[str]:
    """Plays a schedule and three special worlds per seed, and returns what broke."""
    broken = []
    for seed in seeds:
        schedule = make(seed)
        broken += [f"--seed {seed}: {schedule}: {text}" for text in play(schedule).violations[:1]]
        broken += [f"calm, --seed {seed}: {text}" for text in play_without_faults(seed)[:1]]
        broken += [
            f"--seed {seed}: {text}"
            for text in [*play_moved_traffic(seed)[:1], *play_without_counter(seed)[:1]]
        ]
    return broken


def _convict(name: str) -> tuple[str, tuple[str, int] | None]:
    """Returns a mutant and the world and seed that detect it, or None."""
    return name, first_detection(name, MUTANT_SEEDS)


def measure(quick: bool) -> dict[str, float]:
    """Returns all figures; prints progress to standard error."""
    count, violations = SCHEDULES_QUICK if quick else SCHEDULES, 0
    with multiprocessing.get_context("spawn").Pool(len(FAULTS)) as pool:
        runs = dict(pool.imap_unordered(_run, FAULTS))
        for name, run in sorted(runs.items()):
            print(f"{name}: {run}", file=sys.stderr, flush=True)
            violations += int(run["violations"])
        ratio, calls = uvloop.run(_cost(2.0 if quick else 8.0))
        chunks = [range(s, s + CHUNK) for s in range(10**6, 10**6 + count, CHUNK)]
        for done, broken in enumerate(pool.imap_unordered(_schedules, chunks), 1):
            violations += len(broken)
            for text in broken:
                print(f"BROKEN, {text}", file=sys.stderr)
            if done % 25 == 0:
                print(f"{done * CHUNK} of {count} schedules", file=sys.stderr, flush=True)
        caught = 0
        for name, by in [] if quick else pool.imap_unordered(_convict, MUTANTS):
            caught += by is not None
            result = "NOT DETECTED" if by is None else f"detected by {by[0]} world {by[1]}"
            print(f"mutant {name}: {result}", file=sys.stderr)
    faulty = [run for name, run in runs.items() if name not in ("none", "kill")]
    figures = {
        "ceiling_excess_share": max(run["ceiling"] for run in runs.values()),
        "quota_excess_share": max(run["quota"] for run in runs.values()),
        "served_share": min(run["inside"] for run in faulty) / runs["none"]["inside"],
        "served_share_kill": runs["kill"]["inside"] / runs["none"]["inside"],
        "calls_per_request": calls,
        "cpu_ratio": ratio,
        "recovery_s": runs["cut"]["recovery"],
        "schedules": count,
        "violations": violations,
        "void_runs": sum(run["void"] for run in runs.values()),
    }
    return {name: round(value, 3) for name, value in figures.items()} | (
        {} if quick else {"mutants": len(MUTANTS), "mutants_caught": caught}
    )


def main() -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="take less than 50 s")
    parser.add_argument("--seed", type=int, help="replay one schedule in virtual time and its calm world")
    given = parser.parse_args()
    if given.seed is not None:
        found = _schedules(range(given.seed, given.seed + 1))
        print("\n".join(found) or f"{make(given.seed)}: held")
        return bool(found)
    print(json.dumps(measure(given.quick)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
