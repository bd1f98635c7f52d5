"""Real gateways that share the stand-in counter, while it is cut, split, replaced and slow.

May know: fleets, the stand-in. May not know: what gateways decide.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from collections.abc import AsyncIterator
import time

from ..judge.run_history import RunHistory
from ..judge.token_bucket import TokenBucket
from ..standins.counter import Cluster, Shard
from ..standins.counter_server import CounterServer
from ..standins.scenario import Scenario
from .fleet import Fleet


@asynccontextmanager
async def counted(
    scenario: Scenario,
    shards: int = 1,
    cluster: bool = False,
    more: Callable[[str], str] = lambda name: "",
) -> AsyncIterator[tuple[Fleet, CounterServer]]:
    """A fleet that runs, with its counter; `more`: further keys of the table [counter], by name."""
    made = Cluster(shards) if cluster else None
    server = CounterServer(
        made.shards if made else [Shard(n) for n in range(shards)], scenario.gateways, made
    )
    await server.start()

    def own(name: str) -> str:
        named = ", ".join(f'"{each}"' for each in server.named(int(name[1:])))
        return f"[counter]\nservers = [{named}]\ncluster = {str(cluster).lower()}\n{more(name)}\n"

    try:
        async with Fleet(scenario, own=own) as fleet:
            yield fleet, server
    finally:
        server.close()


def now_ms() -> int:
    return time.time_ns() // 1_000_000


Trouble = Callable[[Fleet, CounterServer, float], Awaitable[None]]


async def cut(fleet: Fleet, server: CounterServer, span: float) -> None:
    """All gateways lose it."""
    server.cut(set(range(server.gateways)))
    await asyncio.sleep(span)
    server.mend()


async def cut_half(fleet: Fleet, server: CounterServer, span: float) -> None:
    server.cut(set(range(0, server.gateways, 2)))
    await asyncio.sleep(span)
    server.mend()


async def split(fleet: Fleet, server: CounterServer, span: float) -> None:
    """Half of the gateways find a replica that lagged by a second and was promoted."""
    for shard in server.shards:
        shard.split(set(range(0, server.gateways, 2)), now_ms(), 1000)
    await asyncio.sleep(span)
    for shard in server.shards:
        shard.heal(0)


async def replace(fleet: Fleet, server: CounterServer, span: float) -> None:
    """An empty one in its place, halfway."""
    await asyncio.sleep(span / 2)
    for shard in server.shards:
        shard.replace()
    await asyncio.sleep(span / 2)


async def slow(fleet: Fleet, server: CounterServer, span: float) -> None:
    """Each answer comes later than a call waits."""
    server.delay = 0.6
    await asyncio.sleep(span)
    server.mend()


async def silent(fleet: Fleet, server: CounterServer, span: float) -> None:
    """Commands are carried out, and one gateway hears no answer."""
    server.silent = {0}
    await asyncio.sleep(span)
    server.mend()


async def kill(fleet: Fleet, server: CounterServer, span: float) -> None:
    """A gateway dies and comes back knowing nothing."""
    await fleet.restart([0], span / 2)
    await asyncio.sleep(span / 2)


async def none(fleet: Fleet, server: CounterServer, span: float) -> None:
    await asyncio.sleep(span)


def excess(fleet: Fleet) -> tuple[float, float]:
    """Of ceilings and of quotas: what the worst member sent on beyond the store, as a part of what the store
    allows in the run (its burst, and its rate over the span)."""
    rules = fleet.scenario.world()
    history = RunHistory(rules, fleet.ledger.entries)
    buckets: dict[tuple[int, bool], TokenBucket] = {}
    over: dict[tuple[int, bool], float] = {}
    firsts = history.first_attempts()
    if not firsts:
        return 0.0, 0.0
    start, end = firsts[0][0].at, firsts[-1][0].at
    for attempt, asked in firsts:
        plan = rules.plans[asked.plan]
        hard_limit = plan.hard_limit_per_s, plan.hard_limit_burst_units
        quota = plan.rate_per_s, plan.burst_units
        for hard, (rate, burst) in ((True, hard_limit), (False, quota)):
            if not rate:
                continue
            key = asked.tenant, hard
            bucket = buckets.setdefault(key, TokenBucket(rate, burst, start))
            if bucket.refill(attempt.at) >= asked.units:
                bucket.tokens -= asked.units
            else:
                over[key] = over.get(key, 0.0) + asked.units
    span = (end - start) / 1e9
    shares = {
        key: units / (buckets[key].burst_units + buckets[key].rate_per_s * span)
        for key, units in over.items()
    }
    return (
        max((s for (_, hard), s in shares.items() if hard), default=0.0),
        max((s for (_, hard), s in shares.items() if not hard), default=0.0),
    )


def inside(fleet: Fleet, since: int) -> float:
    """Units sent on from ledger entry `since` on, over those of the requests that one store for each quota
    would have let pass at their first try; at most 1."""
    rules, entries = fleet.scenario.world(), fleet.ledger.entries
    history = RunHistory(rules, entries)
    start = entries[since].at
    buckets: dict[int, TokenBucket] = {}
    due = 0.0
    origins: set[str] = set()
    for asked in sorted(history.requests.values(), key=lambda each: each.at):
        plan = rules.plans[asked.plan]
        full = TokenBucket(plan.rate_per_s, plan.burst_units, asked.at)
        bucket = buckets.setdefault(asked.tenant, full)
        if asked.origin in origins:
            continue
        origins.add(asked.origin)
        if bucket.refill(asked.at) >= asked.units:
            bucket.tokens -= asked.units
            due += asked.units * (asked.at >= start)
    sent = sum(asked.units for attempt, asked in history.first_attempts() if attempt.at >= start)
    return min(1.0, sent / max(due, 1e-9))
