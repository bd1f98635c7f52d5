"""Measures usage records and their export: crashes, CPU cost, and the time until records are committed.

Seeded schedules of restarts on failing disks run in virtual time. On processes, gateways under load are
killed at random while billing loses answers, and totals are compared to the billionth of a unit. Further
figures are the CPU of a gateway that records relative to one that does not, in the same fleet, the lag of
commits, and the recovery time of a folder with many records. `--seed N` replays one schedule in virtual time.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import multiprocessing
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop
from hdrh.histogram import HdrHistogram

from trackspread.testing.harness.billing_check import BillingComparison, compare
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.judge.ledger import ReplyReceived, RequestSent
from trackspread.plans.registry import SCHEMA, PlanLimits, PlanRegistry, Version
from trackspread.testing.standins.billing_server import BillingServer
from trackspread.testing.standins.scenario import Scenario
from trackspread.storage.calls import InspectFolder, perform
from trackspread.storage.directory import Directory, write_atomically
from trackspread.storage.slots import SLOT_BYTES
from trackspread.usage.control import AREA_SIZE, AREAS, Names
from trackspread.usage.host import UsageHost, export_all
from trackspread.usage.ledger import Bounds, State
from trackspread.usage.record import Ending
from trackspread.usage.senders import Target, make_sender
from trackspread.testing.virtual import reservations
from trackspread.testing.virtual.usage.mutants import MUTANTS, first_detecting_seed
from trackspread.testing.virtual.usage.schedules import make, play

SCHEDULES_QUICK, SCHEDULES = 1_400, 10_000  # About four crashes each.
KILLS_QUICK, KILLS = 12, 100
CHUNK, MUTANT_SEEDS = 20, 600
FROM = 10**6  # First of the seeds that no test uses.
PAIR_S_QUICK, PAIR_S = 8.0, 60.0  # Seconds of two gateways in one fleet.
LAG_RATE, LAG_S = 2_000, 3.0  # Records per second, and seconds.
RECOVERED = 500_000  # Records in the folder that is recovered.
AHEAD_MS = 2_500  # Milliseconds before a written version is due, over twice the polling interval.
RESERVED_QUICK, RESERVED = 20, 500  # Schedules of changes and reservations.
DRAIN_MOST = 60.0  # Seconds for the last export.


def _schedules(seeds: range) -> tuple[list[str], int, int]:
    """Plays schedules; returns what broke and the numbers of crashes and records."""
    broken, crashes, records = [], 0, 0
    for seed in seeds:
        schedule = make(seed)
        wrong, world = play(schedule)
        broken += [f"{schedule}: {text}" for text in wrong[:1]]
        crashes, records = crashes + world.crashes, records + len(world.memory.rows)
    return broken, crashes, records


def _convict(name: str) -> tuple[str, int | None]:
    """Returns a mutant and the seed that detects it, or None."""
    return name, first_detecting_seed(name, iter(range(MUTANT_SEEDS)))


def virtual(schedules: int) -> dict[str, int]:
    """Returns the figures of schedules and mutants in virtual time."""
    violations, crashes, records, caught = 0, 0, 0, 0
    with multiprocessing.get_context("spawn").Pool() as pool:
        mutants = pool.imap_unordered(_convict, MUTANTS)
        chunks = [range(s, s + CHUNK) for s in range(FROM, FROM + schedules, CHUNK)]
        for done, (broken, more, rows) in enumerate(pool.imap_unordered(_schedules, chunks), 1):
            violations, crashes, records = violations + len(broken), crashes + more, records + rows
            for text in broken:
                print(f"BROKEN: {text}", file=sys.stderr)
            if done % 20 == 0:
                print(f"{done * CHUNK} of {schedules} schedules", file=sys.stderr, flush=True)
        for name, by in mutants:
            caught += by is not None
            if by is None:
                print(f"mutant {name}: NOT DETECTED", file=sys.stderr)
    return {
        "schedules": schedules,
        "crashes": crashes,
        "records": records,
        "violations": violations,
        "mutants": len(MUTANTS),
        "mutants_caught": caught,
    }


def _operator_file(folder: Path, url: str, name: str) -> str:
    """Returns the operator's file of a gateway that records and exports in short intervals."""
    return (
        f'[use]\nfolder = "{folder / name}"\nbilling = "{url}"\nbatch_s = 0.1\n'
        "commit_ms = 5\nsegment_mb = 0.1\ndisk_mb = 8\n"
    )


async def _killed(kills: int) -> tuple[BillingComparison, Counter[str]]:
    """Kills gateways under load; returns the comparison with billing and the counts of its replies."""
    rng = random.Random(kills)
    with tempfile.TemporaryDirectory(prefix="trackspread-use-") as place:
        folder = Path(place)
        server = BillingServer(folder / "billing.db")
        server.answer_loss = server.unavailable_share = 0.1
        await server.start()
        scenario = Scenario(gateways=2, nodes=4, load=0.6, seed=11)
        async with Fleet(
            scenario, operator_file=lambda name: _operator_file(folder, server.url, name)
        ) as fleet:
            fleet.start_clients()
            for number in range(kills):
                await asyncio.sleep(rng.uniform(0.05, 0.6))
                if number % 5 == 4:
                    server.stop()
                    asyncio.get_running_loop().call_later(0.5, lambda: asyncio.ensure_future(server.start()))
                await fleet.restart([rng.randrange(2)], 0.02)
                if number % 10 == 9:
                    print(f"{number + 1} of {kills} kills", file=sys.stderr, flush=True)
            await asyncio.sleep(1.0)
            await fleet.settle()
            server.answer_loss = server.unavailable_share = 0.0
            for name in ("n0", "n1"):
                ledger = await export_all(folder / name, make_sender(Target(server.url)), DRAIN_MOST)
                if not ledger.is_all_exported:
                    raise RuntimeError(f"{name} is not exported: {ledger.exporter.last_error}")
            comparison = compare(fleet.ledger.entries, server.database.totals())
        server.close()
        return comparison, server.billing.reply_counts


async def _side_by_side(seconds: float, recording: str) -> dict[str, tuple[float, int]]:
    """Returns CPU seconds and answered requests of two gateways in one fleet, one of which records."""
    with tempfile.TemporaryDirectory(prefix="trackspread-use-") as place:
        folder = Path(place)
        server = BillingServer(folder / "billing.db")
        await server.start()

        def own(name: str) -> str:
            text = f'[use]\nfolder = "{folder / name}"\nbilling = "{server.url}"\n'
            return text if name == recording else ""

        async with Fleet(Scenario(gateways=2, nodes=9, load=0.9, seed=12), operator_file=own) as fleet:
            fleet.start_clients()
            await asyncio.sleep(2.0)  # Both gateways have their endpoint lists, connections and caps by now.
            fleet.ledger.entries.clear()
            before = {gateway.name: gateway.cpu_used_s() for gateway in fleet.gateways}
            await asyncio.sleep(seconds)
            used = {gateway.name: gateway.cpu_used_s() - before[gateway.name] for gateway in fleet.gateways}
            asked = {e.request: e.gateway for e in fleet.ledger.entries if isinstance(e, RequestSent)}
            requests = Counter(
                asked[e.request]
                for e in fleet.ledger.entries
                if isinstance(e, ReplyReceived) and e.request in asked
            )
            await fleet.settle()
        server.close()
        return {name: (used[name], requests[name]) for name in used}


async def _cpu_ratio(seconds: float) -> float:
    """Returns CPU per request with records over that without.

    Each gateway takes both parts in turn, as their traffic differs.
    """
    first = await _side_by_side(seconds, "n0")
    second = await _side_by_side(seconds, "n1")
    print(f"CPU and requests, n0 recording: {first}; n1 recording: {second}", file=sys.stderr, flush=True)

    def cost(*parts: tuple[float, int]) -> float:
        return sum(cpu / max(1, requests) for cpu, requests in parts)

    return cost(first["n0"], second["n1"]) / cost(first["n1"], second["n0"])


def _host(folder: Path) -> UsageHost:
    """Returns a host of usage records in a folder, without export."""
    bounds = Bounds((4 << 20) // SLOT_BYTES, 1024, 200_000_000, 10**9, "fold")
    return UsageHost(folder, bounds, Names("n0", ("a",), ("p",)), time.monotonic_ns, None)


async def _live(host: UsageHost) -> None:
    """Starts a host and waits until it records."""
    host.start()
    while host.ledger.state is not State.LIVE:
        await asyncio.sleep(0.001)


async def _lag() -> float:
    """Returns the 99th percentile of the milliseconds from a record to its commit at a steady rate."""
    histogram = HdrHistogram(1, 60_000_000, 3)  # Microseconds.
    with tempfile.TemporaryDirectory(prefix="trackspread-use-") as place:
        host = _host(Path(place))
        await _live(host)
        journal = host.ledger.journal
        assert journal is not None
        waiting: list[tuple[int, int]] = []  # Place in the journal, and time in nanoseconds.
        end, due = time.monotonic() + LAG_S, time.monotonic()
        while time.monotonic() < end or waiting:
            if time.monotonic() < end:
                while due < time.monotonic():
                    host.count(Ending.SERVED, 0, 0, 0, 7, 1.0, 1)
                    waiting.append((journal.next - 1, time.monotonic_ns()))
                    due += 1 / LAG_RATE
            while waiting and waiting[0][0] <= journal.committed:
                histogram.record_value(max(1, (time.monotonic_ns() - waiting.pop(0)[1]) // 1000))
            await asyncio.sleep(0.001)
        await host.stop()
    return float(histogram.get_value_at_percentile(99.0)) / 1000


async def _recovery() -> tuple[float, float]:
    """Returns the recovery seconds per million records after a kill, and the bytes on disk per record."""
    with tempfile.TemporaryDirectory(prefix="trackspread-use-") as place:
        folder = Path(place)
        host = _host(folder)
        await _live(host)
        journal = host.ledger.journal
        assert journal is not None
        written = 0
        while written < RECOVERED:
            recorded = host.ledger.recorded
            for _ in range(2_000):
                host.count(Ending.SERVED, 0, 0, 0, 7, 1.0, 1)
            written += host.ledger.recorded - recorded
            await asyncio.sleep(0)
            while journal.free_slots() < 4_000:
                await asyncio.sleep(0.001)
        places = journal.next - 1
        await host.abandon()  # Leaves the folder as a kill does.
        files = Directory(folder)
        began = time.monotonic()
        perform(files, InspectFolder(AREAS, AREA_SIZE))
        read_s = time.monotonic() - began
        files.close()
        again = _host(folder)
        began = time.monotonic()
        await _live(again)
        took = time.monotonic() - began
        await again.abandon()
        print(f"{places} places: read in {read_s:.2f} s, recovered in {took:.2f} s", file=sys.stderr)
    return took * 1_000_000 / written, places * SLOT_BYTES / written


def _reservations(seeds: int) -> float:
    """Returns the lowest share forwarded of what a tenant's plan and reservation allow, in virtual time."""
    return min(
        sent / max(1, allowed) for _, sent, allowed in map(reservations.run, range(FROM, FROM + seeds))
    )


async def _skew() -> float:
    """Returns the milliseconds between the first and the last of four gateways' logs of a new version."""
    with tempfile.TemporaryDirectory(prefix="trackspread-plans-") as place:
        path = Path(place) / "plans.json"
        scenario = Scenario(gateways=4, nodes=4, load=0.5, seed=13)
        plan = scenario.settings(0)["packages"][0]["name"]
        async with Fleet(scenario, operator_file=lambda name: f'[plans]\nbook = "{path}"\n') as fleet:
            fleet.start_clients()
            now = time.time_ns() // 1_000_000
            version = Version(1, now + AHEAD_MS, now, "", {plan: PlanLimits(10.0, 20.0)})
            write_atomically(path.parent, path.name, SCHEMA.pack(PlanRegistry((version,))))
            await asyncio.sleep(AHEAD_MS / 1000 + 0.5)
            applied_ms = []
            for gateway in fleet.gateways:
                lines = gateway.log.read_text().splitlines()
                line = next(line for line in lines if "version 1 is in" in line)
                clock, _, ms = line.split()[1].partition(",")
                hours, minutes, seconds = map(int, clock.split(":"))
                applied_ms.append(((hours * 60 + minutes) * 60 + seconds) * 1000 + int(ms))
            await fleet.settle()
        return float(max(applied_ms) - min(applied_ms))


def measure(quick: bool) -> dict[str, float]:
    """Returns all figures; prints progress to standard error."""
    began = time.monotonic()
    figures: dict[str, float] = {**virtual(SCHEDULES_QUICK if quick else SCHEDULES)}
    gc.disable()  # A garbage collection over the ledger would delay the stand-ins.
    pair = PAIR_S_QUICK if quick else PAIR_S
    kills = KILLS_QUICK if quick else KILLS
    billed, replies = uvloop.run(_killed(kills))
    recover, size = uvloop.run(_recovery())
    return {
        **figures,
        "kills": kills,
        "units_lost": billed.lost / 1e9,
        "units_doubled": billed.doubled / 1e9,
        "units_read": round(billed.served / 1e9, 3),
        "batches_again": replies["again"],
        "conflicts": replies["conflict"],
        "cpu_ratio": round(uvloop.run(_cpu_ratio(pair)), 3),
        "commit_lag_ms_p99": round(uvloop.run(_lag()), 1),
        "recover_s_per_million": round(recover, 2),
        "bytes_per_record": round(size, 1),
        "change_skew_ms": uvloop.run(_skew()),
        "reservation_served_share": round(_reservations(RESERVED_QUICK if quick else RESERVED), 3),
        "seconds": round(time.monotonic() - began, 1),
    }


def main() -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="take about 50 s on eight cores")
    parser.add_argument("--seed", type=int, help="replay one schedule in virtual time")
    given = parser.parse_args()
    if given.seed is not None:
        wrong, world = play(make(given.seed))
        print(make(given.seed), *world.alarms, *wrong, sep="\n")
        return 1 if wrong else 0
    figures = measure(given.quick)
    print(json.dumps(figures))
    broken = figures["violations"] or figures["units_lost"] or figures["units_doubled"]
    return 0 if not broken and figures["mutants"] == figures["mutants_caught"] else 1


if __name__ == "__main__":
    sys.exit(main())
