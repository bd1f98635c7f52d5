"""Plays faults of the shared counter on a fleet of real gateways that use the stand-in counter."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from ..standins.counter import Cluster, Shard
from ..standins.counter_server import CounterServer
from ..standins.scenario import Scenario
from .fleet import Fleet

REPLICA_LAG_MS = 1000
SLOW_ANSWER_S = 0.6  # longer than the time that a gateway waits for an answer

CounterFault = Callable[
    [Fleet, CounterServer, float], Awaitable[None]
]  # the last argument is the duration in s


def _no_settings(name: str) -> str:
    return ""


@asynccontextmanager
async def fleet_with_counter(
    scenario: Scenario,
    shards: int = 1,
    cluster: bool = False,
    counter_settings: Callable[[str], str] = _no_settings,
) -> AsyncIterator[tuple[Fleet, CounterServer]]:
    """Runs a fleet and its counter.

    With `cluster` the shards form a cluster. `counter_settings` returns further keys of the table [counter]
    for a gateway's name.
    """
    counter_cluster = Cluster(shards) if cluster else None
    counter_shards = counter_cluster.shards if counter_cluster else [Shard(n) for n in range(shards)]
    server = CounterServer(counter_shards, scenario.gateways, counter_cluster)
    await server.start()

    def operator_file(name: str) -> str:
        servers = ", ".join(f'"{text}"' for text in server.server_texts(int(name[1:])))
        flag = str(cluster).lower()
        return f"[counter]\nservers = [{servers}]\ncluster = {flag}\n{counter_settings(name)}\n"

    try:
        async with Fleet(scenario, operator_file=operator_file) as fleet:
            yield fleet, server
    finally:
        server.close()


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


def _every_other_gateway(server: CounterServer) -> set[int]:
    return set(range(0, server.gateways, 2))


async def disconnect_all(fleet: Fleet, server: CounterServer, duration_s: float) -> None:
    """Disconnects all gateways from the counter."""
    server.disconnect(set(range(server.gateways)))
    await asyncio.sleep(duration_s)
    server.end_faults()


async def disconnect_half(fleet: Fleet, server: CounterServer, duration_s: float) -> None:
    """Disconnects half of the gateways from the counter."""
    server.disconnect(_every_other_gateway(server))
    await asyncio.sleep(duration_s)
    server.end_faults()


async def split(fleet: Fleet, server: CounterServer, duration_s: float) -> None:
    """Lets half of the gateways reach a replica that lagged by a second and was promoted."""
    for shard in server.shards:
        shard.split(_every_other_gateway(server), _now_ms(), REPLICA_LAG_MS)
    await asyncio.sleep(duration_s)
    for shard in server.shards:
        shard.heal(0)


async def replace(fleet: Fleet, server: CounterServer, duration_s: float) -> None:
    """Replaces all shards by empty servers after half of the time."""
    await asyncio.sleep(duration_s / 2)
    for shard in server.shards:
        shard.replace()
    await asyncio.sleep(duration_s / 2)


async def delay_answers(fleet: Fleet, server: CounterServer, duration_s: float) -> None:
    """Delays each answer beyond the time that a gateway waits for it."""
    server.delay_s = SLOW_ANSWER_S
    await asyncio.sleep(duration_s)
    server.end_faults()


async def drop_answers(fleet: Fleet, server: CounterServer, duration_s: float) -> None:
    """Executes one gateway's commands and does not answer them."""
    server.unanswered_gateways = {0}
    await asyncio.sleep(duration_s)
    server.end_faults()


async def kill_gateway(fleet: Fleet, server: CounterServer, duration_s: float) -> None:
    """Kills one gateway and starts it again without any state."""
    await fleet.restart([0], duration_s / 2)
    await asyncio.sleep(duration_s / 2)


async def no_fault(fleet: Fleet, server: CounterServer, duration_s: float) -> None:
    """Causes no fault, for comparison."""
    await asyncio.sleep(duration_s)


FAULTS: dict[str, CounterFault] = {
    "none": no_fault,
    "cut": disconnect_all,
    "cut_half": disconnect_half,
    "split": split,
    "replace": replace,
    "slow": delay_answers,
    "silent": drop_answers,
    "kill": kill_gateway,
}
