"""Measures the view of a fleet: settling time on processes, cost, and detection of its mutants.

One fleet of 24 gateways goes through a crash, a join, five crashes at once, a partition into halves for ten
seconds, and ten seconds in which a tenth of all datagrams is lost and a fifth of the gateways pause for 30%
of their time. Each is judged by the records. A fleet of twelve is partitioned and heals with a view and
without, and its rejections with quota left are compared. Mutants run on smaller fleets in parallel, and in
virtual time. `--seed N` replays one schedule in virtual time.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import multiprocessing
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop

from benchmarks.common import chunks, say
from trackspread.testing.harness import mutant_gateway, membership_fleet
from trackspread.testing.harness.fault_run import FaultRun, play_until_judged
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.harness.fault_player import FaultPlayer
from trackspread.membership.identifiers import SECOND
from trackspread.testing.standins import fault_schedule
from trackspread.testing.standins.fault_schedule import (
    Cut,
    PauseCycle,
    Fault,
    DegradedNetwork,
    Schedule,
    draw,
)
from trackspread.testing.standins.scenario import Scenario
from trackspread.testing.virtual.membership.world import InvariantViolated, World
from trackspread.testing.virtual.membership.mutants import MUTANTS, first_detecting_seed
from trackspread.testing.virtual.membership.schedules import make
from trackspread.testing.virtual.membership.schedules import play as play_virtual

PROCESSES, MORE = 24, 40  # Gateways of a quick run, and of a full one.
SMALL = 5  # Gateways of a fleet with a mutant.
SCHEDULES_QUICK, SCHEDULES = 360, 10_000
HALVED, HALVED_SEEDS = 12, (1, 2, 3)  # Gateways of the fleet that is partitioned into halves, and seeds.
MIXED = 30  # Schedules of mixed faults on processes in a full run.
TRIES = 3  # Attempts at a run whose test process lagged.
QUICK_ON_PROCESSES = ("view-granted-before-release", "view-incarnation-ignored", "view-granted-before-expiry")
ON_PROCESSES = (
    *QUICK_ON_PROCESSES,
    "view-number-reused",
    "view-suspicion-not-refuted",
    "view-parent-wrong",
    "view-coordinates-after-lease",
    "view-unknown-rest-granted",
)
CALM = 4.0  # Seconds over which CPU is measured.


async def _settled(fleet: Fleet, what: str, since: int | None = None) -> float:
    """Returns the seconds until a fleet is settled, at most 15."""
    took = await membership_fleet.until_settled(fleet, 15.0, since)
    say(f"{what}: {'not settled within 15 s' if took is None else f'{took:.2f} s'}")
    return 15.0 if took is None else took


async def _play_faults(fleet: Fleet, seconds: float, *faults: Fault) -> None:
    """Plays faults on a fleet."""
    await FaultPlayer(fleet, Schedule("bench", 1, len(fleet.gateways), seconds, faults)).play()


def _cut(span: float, some: list[str], others: list[str]) -> Cut:
    """Returns a partition between two groups of gateways that starts at once."""
    return Cut(0.0, span, fault_schedule.partition(some, others))


async def _idle(count: int) -> float:
    """Returns the CPU of a gateway without a view and without requests, as a share of a core."""
    async with Fleet(Scenario(gateways=count, nodes=3, load=0.1, seed=1)) as fleet:
        return await _used(fleet)


async def _used(fleet: Fleet) -> float:
    """Returns the mean CPU of a gateway over `CALM` seconds, as a share of a core."""
    await asyncio.sleep(1.0)
    before = sum(gateway.cpu_used_s() for gateway in fleet.gateways)
    await asyncio.sleep(CALM)
    return (sum(gateway.cpu_used_s() for gateway in fleet.gateways) - before) / len(fleet.gateways) / CALM


def _dead(fleet: Fleet, since: int) -> int:
    """Returns the number of running members that some gateway declared dead."""
    names = {
        b.about["who"][0]  # type: ignore[index]
        for b in fleet.records()
        if b.at > since and b.kind == "member" and b.about["state"] == "DEAD"
    }
    return len(names)


async def _joined(fleet: Fleet, numbers: list[int], what: str) -> float:
    """Starts gateways; returns the seconds from the last recorded start until all hold the correct view."""
    await fleet.start_gateways(numbers)
    return await _settled(fleet, what, membership_fleet.started_at(fleet, numbers))


async def _large(count: int, quick: bool) -> dict[str, float]:
    """Plays all faults on one large fleet under load and returns its figures."""
    names = [f"n{n}" for n in range(count)]
    async with Fleet(Scenario(gateways=count, nodes=6, load=0.2, seed=2), view_settings="") as fleet:
        since = membership_fleet.started_at(fleet, range(count))
        made = {"settle_s_start": await _settled(fleet, f"{count} started", since)}
        made["cpu_share"] = await _used(fleet)
        fleet.start_clients()
        await fleet.stop_gateways([count - 1])
        made["detect_s_worst"] = await _settled(fleet, "one killed")
        await fleet.stop_gateways([1])  # A seed, which in some runs is the coordinator.
        made["settle_s_seed"] = await _settled(fleet, "a seed killed")
        made["settle_s_join"] = await _joined(fleet, [1, count - 1], "two joined")
        five = list(range(count // 2, count // 2 + 5))
        await fleet.stop_gateways(five)
        made["settle_s_crash"] = await _settled(fleet, "five killed")
        await _joined(fleet, five, "five joined")
        await _play_faults(
            fleet, 10.0, Cut(0.0, 10.0, fault_schedule.partition(names[: count // 2], names[count // 2 :]))
        )
        made["settle_s_heal"] = await _settled(fleet, "halves healed")
        since = time.monotonic_ns()
        slow = tuple(range(3, count, 5))
        span = 6.0 if quick else 10.0
        await _play_faults(
            fleet,
            span,
            DegradedNetwork(0.0, span, fault_schedule.all_directions(names), ("udp",), loss=0.1),
            PauseCycle(0.0, span, slow, 0.3, 0.3),
        )
        made["false_dead"] = _dead(fleet, since)
        await fleet.settle()
        wrong, most = membership_fleet.check_records(fleet)
        verdict = fleet.verdict()
        for each in wrong[:3]:
            say(f"RECORDS: {each.rule}: {each.text}")
        for violation in verdict.violations[:3]:
            say(f"BROKEN: {violation.rule}: {violation.text}")
        made["views_in_conflict"] = sum(each.rule == "view" for each in wrong)
        made["rights_over_whole"] = round(max(0.0, most - 1.0), 6)
        made["violations"] = len(wrong) + (len(verdict.violations) if verdict.state == "broken" else 0)
        made["lag_ms"] = round(verdict.summary.max_lag_ns / 1e6, 1)
        return made


async def _small(planted: str, seed: int) -> str:
    """Returns what a fleet with a mutant does wrong, or an empty text.

    A fleet without a mutant must not do anything wrong.
    """
    command = mutant_gateway.command(planted) if planted else ("-m", "trackspread", "run")
    names = [f"n{n}" for n in range(SMALL)]
    async with Fleet(
        Scenario(gateways=SMALL, nodes=3, load=0.1, seed=seed), command, view_settings=""
    ) as fleet:
        steps: list[tuple[str, float, Callable[[], Awaitable[None]]]] = [
            ("start", 6.0, lambda: asyncio.sleep(0.0)),
            ("a join", 3.0, lambda: fleet.restart([4], 0.2)),
            ("a crash", 6.0, lambda: fleet.stop_gateways([4])),
            ("halves", 6.0, lambda: _play_faults(fleet, 5.0, _cut(5.0, names[:2], names[2:]))),
            ("other halves", 6.0, lambda: _play_faults(fleet, 3.0, _cut(3.0, names[:3], names[3:]))),
        ]
        found = ""
        for what, most, step in steps:
            await step()
            if await membership_fleet.until_settled(fleet, most) is None:
                found = f"not settled {most:.0f} s after {what}"
            wrong, _ = membership_fleet.check_records(fleet)
            if wrong:
                found = wrong[0].text
            if found:
                return found
        return ""


def _play_halves(job: tuple[int, str | None]) -> FaultRun:
    """Plays a partition into halves that heals, under load; the fleet has no view if `view` is None."""
    seed, view = job
    gc.disable()
    names = [f"n{n}" for n in range(HALVED)]
    cut = Cut(5.0, 7.0, fault_schedule.partition(names[: HALVED // 2], names[HALVED // 2 :]))
    schedule = Schedule("halves", seed, HALVED, 18.0, (cut,))
    return uvloop.run(play_until_judged(schedule, TRIES, view_settings=view))


def _compare_halves(seeds: tuple[int, ...]) -> dict[str, float]:
    """Returns rejections with quota left during and after a partition, with a view relative to without."""
    jobs = [(seed, view) for seed in seeds for view in ("", None)]
    with multiprocessing.get_context("spawn").Pool(2, maxtasksperchild=1) as pool:
        found = list(zip(jobs, pool.imap(_play_halves, jobs), strict=True))
    share = {
        kind: [sum(p.refused_with_quota[1:]) for (_, view), p in found if (view is None) is kind]
        for kind in (False, True)
    }
    for (seed, view), played in found:
        refused = played.refused_with_quota
        say(
            f"halves, seed {seed}, {'without' if view is None else 'with'} a view: {played.state}, rejected "
            f"with quota left {refused.during:.1%} and {refused.after:.1%} after, beyond quotas "
            f"{played.excess_share:.2%}, over a hard limit by {played.hard_limit_excess:.0%} of its slack"
        )
    with_view = [p for (_, view), p in found if view is not None]
    return {
        "refused_with_room_ratio": round(sum(share[False]) / max(1e-9, sum(share[True])), 3),
        "rights_excess": round(max(p.hard_limit_excess for p in with_view), 3),
        "beyond_quotas": round(max(p.excess_share for p in with_view), 4),
        "halves_broken": sum(len(p.violations) for p in with_view),
    }


def _mixed(seed: int) -> tuple[int, str]:
    """Plays one schedule on twelve processes; returns its seed and what broke."""
    gc.disable()

    async def once(played: int) -> str | None:
        async with Fleet(Scenario(gateways=12, nodes=6, load=0.15, seed=played), view_settings="") as fleet:
            await membership_fleet.until_settled(fleet, 15.0)
            fleet.start_clients()
            await FaultPlayer(fleet, draw(played, 12, 14.0, 1.0, 1.0)).play()
            took = await membership_fleet.until_settled(fleet, 8.0)
            await fleet.settle()
            verdict, (wrong, _) = fleet.verdict(), membership_fleet.check_records(fleet)
            if verdict.state == "void":
                return None
            broken = [f"{v.rule}: {v.text}" for v in verdict.violations] + [a.text for a in wrong]
            return "; ".join([*broken[:3], *(["not settled within 8 s"] if took is None else [])])

    for number in range(TRIES):
        found = uvloop.run(once(seed + 1000 * number))
        if found is not None:
            return seed, found
    return seed, "void"


def _on_processes(job: tuple[str, int]) -> tuple[str, str]:
    """Runs a small fleet with a mutant in a new event loop."""
    gc.disable()
    return job[0], uvloop.run(_small(*job))


def _schedules(seeds: range) -> list[tuple[int, str, int]]:
    """Returns each seed with what broke and the nanoseconds until it settled."""
    made: list[tuple[int, str, int]] = []
    for seed in seeds:
        try:
            made.append((seed, "", play_virtual(make(seed))[1]))
        except InvariantViolated as broken:
            made.append((seed, str(broken), 0))
    return made


def _convict(name: str) -> tuple[str, int | None]:
    """Returns a mutant and the seed that detects it, or None."""
    return name, first_detecting_seed(name, range(1, 60))


def bytes_a_second(count: int) -> float:
    """Returns the bytes per second of one member in a calm fleet of `count`, in virtual time."""
    world = World(1, count, settings={"max_members": 2 * count})
    world.start_all(60 * SECOND, interval_ns=SECOND)
    while any(p.core is not None and len(p.core.gossip) for p in world.processes.values()):
        world.run_until(world.elapsed_ns + SECOND)  # Runs until no update about the start is left.
    world.bytes_sent = dict.fromkeys(world.processes, 0)
    world.run_until(world.elapsed_ns + 10 * SECOND)
    return sum(world.bytes_sent.values()) / count / 10.0


def measure(quick: bool, first: int) -> dict[str, Any]:
    """Returns all figures; prints progress to standard error."""
    began = time.monotonic()
    figures: dict[str, Any] = {"processes": PROCESSES if quick else MORE}
    gc.disable()
    cpu_without_view = uvloop.run(_idle(6))
    figures |= uvloop.run(_large(int(figures["processes"]), quick))
    figures["cpu_share"] = round(max(0.0, figures["cpu_share"] - cpu_without_view), 4)
    gc.enable()
    figures |= _compare_halves(HALVED_SEEDS[:1] if quick else HALVED_SEEDS)
    say(f"the large fleet is done after {time.monotonic() - began:.0f} s")
    names = QUICK_ON_PROCESSES if quick else ON_PROCESSES
    context = multiprocessing.get_context("spawn")
    with context.Pool(4 if quick else 3, maxtasksperchild=1) as pool:
        jobs = [("", 1), *((name, 1) for name in names)]
        results = dict(pool.imap_unordered(_on_processes, jobs))
        for name, text in results.items():
            say(f"{name or 'no mutant'} on processes: {text or 'no violation'}")
        violations = int(bool(results.pop("")))
        caught = sum(bool(text) for text in results.values())
        if not quick:
            void = 0
            for seed, text in pool.imap_unordered(_mixed, range(1, MIXED + 1)):
                say(f"mixed {seed} on processes: {text or 'kept'}")
                violations += bool(text) and text != "void"
                void += text == "void"
            figures["mixed"], figures["mixed_void"] = MIXED, void
    say(f"processes are done after {time.monotonic() - began:.0f} s")
    count, settled = SCHEDULES_QUICK if quick else SCHEDULES, list[int]()
    with context.Pool() as pool:
        convicted = pool.imap_unordered(_convict, MUTANTS)
        sizes = pool.map_async(bytes_a_second, [24, 200 if quick else 1000])
        for made in pool.imap_unordered(_schedules, chunks(1_000_000 + first * count, count)):
            for seed, text, took in made:
                if text:
                    violations += 1
                    say(f"BROKEN, replay with --seed {seed}: {text}")
                else:
                    settled.append(took)
        for name, seed_or_none in convicted:
            caught += seed_or_none is not None
            say(
                f"{name} in virtual time: "
                + ("NOT DETECTED" if seed_or_none is None else f"detected by seed {seed_or_none}")
            )
        small, large = sizes.get()
    settled.sort()
    figures |= {
        "schedules": count,
        "settle_s_median": settled[len(settled) // 2] / 1e9,
        "settle_s_most": settled[-1] / 1e9,
        "bytes_per_s_member_24": round(small),
        f"bytes_per_s_member_{200 if quick else 1000}": round(large),
        "bytes_ratio": round(large / small, 3),
        "mutants": len(names) + len(MUTANTS),
        "mutants_caught": caught,
        "violations": figures["violations"] + figures.pop("halves_broken") + violations,
        "seconds": round(time.monotonic() - began, 1),
    }
    return figures


def replay(seed: int) -> int:
    """Plays one schedule in virtual time and returns the exit status."""
    schedule = make(seed)
    print(schedule)
    try:
        took = play_virtual(schedule)[1]
    except InvariantViolated as broken:
        print(broken)
        return 1
    print(json.dumps({"violations": 0, "settle_s": took / 1e9}))
    return 0


def main() -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="take less than 110 s on eight cores")
    parser.add_argument("--seed", type=int, help="replay one schedule in virtual time")
    parser.add_argument("--first", type=int, default=1, help="first seed of the schedules")
    given = parser.parse_args()
    if given.seed is not None:
        return replay(given.seed)
    figures = measure(given.quick, given.first)
    print(json.dumps(figures))
    kept = not figures["violations"] and figures["mutants_caught"] == figures["mutants"]
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
