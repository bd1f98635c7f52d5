"""Runs a fleet beside many clients that occupy memory, and measures memory and the usual requests.

Usage: `python -m trackspread.testing.harness.memory_run KIND CLIENTS MEMORY_MB [WAVES [SEED]]` prints one
line of JSON. These clients connect to the first of two gateways. `soak FIRST_SEED RUNS` plays runs of
`soak_plan`.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

import uvloop

from ..judge.ledger import AttemptAnswered, AttemptReceived, Entry, ReplyReceived, RequestSent
from ..judge.verdict import Verdict
from ..standins.memory_load import LoadKind
from ..standins.loopback import Address
from ..standins.scenario import Scenario
from .fleet import Fleet
from .flood_process import memory_load
from .gateway_process import RUN_COMMAND, GatewayProcess
from .upgradable_gateway import UpgradableGateway, gateway_stats

MAX_DESCRIPTORS = 1024
LEAD_S = 3.0  # without the load, whose delays are compared
LOAD_S = 6.0
WAVE_PAUSE_S = 1.0
UPGRADE_AT_S = 2.0  # after the load has begun
RELEASE_S = 5.0  # after its clients have left, in which its memory is given back
SAMPLE_S = 0.02
STATS_S = 0.25
USUAL_SCENARIO = Scenario(gateways=2, nodes=6, load=0.25, greedy_share=0.0)
BYTES_PER_MB = 1 << 20
MIN_UPGRADE_MEMORY_MB = 96


@dataclass(frozen=True, slots=True)
class MemoryRunPlan:
    """Describes one run; `kills` lists when the gateway gets SIGKILL, in s after the first wave's begin."""

    kind: LoadKind
    clients: int
    memory_mb: int
    waves: int = 1
    seed: int = 1
    load_s: float = LOAD_S
    kills_s: tuple[float, ...] = ()
    upgrade: bool = False


@dataclass(slots=True)
class MemorySamples:
    """Holds resident sizes of one gateway, of all its processes together, in bytes."""

    base: int = 0
    peak: int = 0
    released: int = 0


@dataclass(frozen=True, slots=True)
class MemoryRunOutcome:
    """Holds the result of one run; delays are those of usual requests at the gateway with the load."""

    plan: MemoryRunPlan
    verdict: Verdict
    memory: MemorySamples
    usual_p99_s: float
    loaded_p99_s: float
    cpu_ms: float
    stats: dict[str, int] = field(default_factory=dict)

    def figures(self) -> dict[str, object]:
        """Returns the figures as JSON values, sizes in MB."""
        memory = {name: round(size / BYTES_PER_MB, 1) for name, size in asdict(self.memory).items()}
        return {
            "kind": self.plan.kind,
            "clients": self.plan.clients,
            "limit": self.plan.memory_mb,
            **memory,
            "p99_ms": [round(1000 * self.usual_p99_s), round(1000 * self.loaded_p99_s)],
            "verdict": self.verdict.state,
            "violations": [str(violation) for violation in self.verdict.violations[:5]],
            "served": [self.verdict.summary.served, self.verdict.summary.requests],
            "cpu_ms": round(self.cpu_ms, 2),
            "waves": self.plan.waves,
            "kills": len(self.plan.kills_s),
            "upgrade": self.plan.upgrade,
            "kb": {
                name.removeprefix("memory.").removesuffix("_bytes"): size >> 10
                for name, size in self.stats.items()
            },
        }


def resident_bytes(pids: Sequence[int], name: str = "VmRSS") -> int:
    """Returns the resident size of processes together; one that has ended counts as 0."""
    total = 0
    for pid in pids:
        try:
            lines = Path(f"/proc/{pid}/status").read_text().splitlines()
        except OSError:
            continue
        line = next((line for line in lines if line.startswith(f"{name}:")), f"{name}: 0 kB")
        total += int(line.split()[1]) << 10
    return total


def delays_s(entries: Sequence[Entry], gateway: str, since_ns: int, until_ns: int) -> list[float]:
    """Returns the sorted delays of the requests that were sent to a gateway within a time.

    A delay lasts from the request to the reply, less the time that its attempts were at nodes: their work is
    drawn for each request. It is at least the time until the first attempt. A request without a reply has the
    latter alone, as it is a violation of its own.
    """
    sent = {
        entry.request: entry.at
        for entry in entries
        if isinstance(entry, RequestSent) and entry.gateway == gateway and since_ns <= entry.at < until_ns
    }
    first_attempt: dict[str, int] = {}
    received: dict[tuple[str, str], int] = {}
    at_nodes: Counter[str] = Counter()
    delays: dict[str, int] = {}
    for entry in entries:
        if isinstance(entry, AttemptReceived) and entry.request in sent:
            delay = first_attempt.setdefault(entry.request, entry.at) - sent[entry.request]
            delays.setdefault(entry.request, delay)
            received[entry.request, entry.backend] = entry.at
        elif isinstance(entry, AttemptAnswered) and (entry.request, entry.backend) in received:
            at_nodes[entry.request] += entry.at - received.pop((entry.request, entry.backend))
        elif isinstance(entry, ReplyReceived) and entry.request in sent:
            delay = entry.at - sent[entry.request] - at_nodes[entry.request]
            delays[entry.request] = max(delays.get(entry.request, 0), delay)
    return sorted(delay / 1e9 for delay in delays.values())


def p99(delays: Sequence[float]) -> float:
    """Returns the 99th percentile, or 0 if there is none."""
    return delays[int(0.99 * (len(delays) - 1))] if delays else 0.0


class MemoryWatch:
    """Samples the resident size of one gateway's processes, and its own figures, until it is stopped."""

    def __init__(
        self, gateway: GatewayProcess, samples: MemorySamples, control_address: Callable[[], Address]
    ) -> None:
        self._gateway = gateway
        self._samples = samples
        self._control_address = control_address
        self.most: dict[str, int] = {}  # highest value of each figure on memory
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._watch()), loop.create_task(self._watch_stats())]

    async def _watch_stats(self) -> None:
        while True:
            await asyncio.sleep(STATS_S)
            try:
                stats = await gateway_stats(self._control_address())
            except (OSError, ValueError, IndexError):
                continue  # the process is being killed or started
            for name, value in stats.items():
                if name.startswith("memory."):
                    self.most[name] = max(value, self.most.get(name, 0))

    async def _watch(self) -> None:
        while True:
            self._samples.peak = max(self._samples.peak, resident_bytes(self._gateway.pids()))
            await asyncio.sleep(SAMPLE_S)

    def stop(self) -> None:
        """Ends the samples; a process that still runs adds its own highest value."""
        for task in self._tasks:
            task.cancel()
        pids = self._gateway.pids()
        if len(pids) == 1:
            self._samples.peak = max(self._samples.peak, resident_bytes(pids, "VmHWM"))


async def play(plan: MemoryRunPlan, command: tuple[str, ...] = RUN_COMMAND) -> MemoryRunOutcome:
    """Plays one run and returns what was measured."""
    scenario = USUAL_SCENARIO.changed(seed=plan.seed)
    memory = MemorySamples()
    async with Fleet(
        scenario,
        command,
        max_descriptors=MAX_DESCRIPTORS,
        memory_mb=plan.memory_mb,
        upgradable=plan.upgrade,
        has_control=not plan.upgrade,
    ) as fleet:
        gateway = fleet.gateways[0]
        fleet.start_clients()
        began = time.monotonic_ns()
        await asyncio.sleep(LEAD_S)
        memory.base = resident_bytes(gateway.pids())
        watch = MemoryWatch(gateway, memory, lambda: _control_address(fleet))
        load_began = time.monotonic_ns()
        await _memory_load(fleet, plan)
        load_ended = time.monotonic_ns()
        await asyncio.sleep(RELEASE_S)
        memory.released = resident_bytes(gateway.pids())
        watch.stop()
        await fleet.settle()
        entries = fleet.ledger.entries
        return MemoryRunOutcome(
            plan,
            fleet.verdict(),
            memory,
            p99(delays_s(entries, gateway.name, began, load_began)),
            p99(delays_s(entries, gateway.name, load_began, load_ended)),
            fleet.resource_usage().cpu_ms,
            watch.most,
        )


def _control_address(fleet: Fleet) -> Address:
    gateway = fleet.gateways[0]
    if isinstance(gateway, UpgradableGateway):
        return gateway.control_address
    return fleet.control_addresses[gateway.name]


async def _memory_load(fleet: Fleet, plan: MemoryRunPlan) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(_waves(fleet, plan))
        group.create_task(_kills(fleet, plan))
        if plan.upgrade:
            group.create_task(_upgrade(fleet))


async def _waves(fleet: Fleet, plan: MemoryRunPlan) -> None:
    for wave in range(plan.waves):
        if wave:
            await asyncio.sleep(WAVE_PAUSE_S)
        await memory_load(fleet.gateways[0].address, plan.kind, plan.clients, plan.load_s)


async def _upgrade(fleet: Fleet) -> None:
    await asyncio.sleep(UPGRADE_AT_S)
    gateway = fleet.gateways[0]
    assert isinstance(gateway, UpgradableGateway)
    await gateway.upgrade()


async def _kills(fleet: Fleet, plan: MemoryRunPlan) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    for kill_s in plan.kills_s:
        await asyncio.sleep(max(0.0, began + kill_s - loop.time()))
        await fleet.restart([0], 0.0)


def soak_plan(seed: int) -> MemoryRunPlan:
    """Draws one run of a soak: waves of clients, in some runs with SIGKILLs in series or an upgrade."""
    rng = random.Random(f"soak:{seed}")
    memory_mb = rng.choice((48, 64, 96, 192))
    trouble = rng.choice(("none", "kills", "upgrade"))
    begin_s = rng.uniform(0.5, 2.0)
    return MemoryRunPlan(
        rng.choice(list(LoadKind)),
        rng.choice((150, 400)),
        memory_mb,
        waves=rng.randint(1, 3),
        seed=seed,
        load_s=3.0,
        kills_s=tuple(begin_s + 0.6 * number for number in range(3)) if trouble == "kills" else (),
        # Two processes of the program alone take more than the smaller limits.
        upgrade=trouble == "upgrade" and memory_mb >= MIN_UPGRADE_MEMORY_MB,
    )


async def soak(first_seed: int, runs: int) -> None:
    """Plays runs one after the other, and prints a line of JSON for each."""
    for seed in range(first_seed, first_seed + runs):
        outcome = await play(soak_plan(seed))
        print(json.dumps({"seed": seed, **outcome.figures()}), flush=True)


def main() -> None:
    """Runs the command."""
    if sys.argv[1] == "soak":
        return uvloop.run(soak(int(sys.argv[2]), int(sys.argv[3])))
    kind, clients, memory_mb, *rest = sys.argv[1:]
    waves, seed = [*map(int, rest), 1, 1][:2]
    plan = MemoryRunPlan(LoadKind(kind), int(clients), int(memory_mb), waves, seed)
    print(json.dumps(uvloop.run(play(plan)).figures()))


if __name__ == "__main__":
    main()
