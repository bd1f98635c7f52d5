"""Fleets of processes that keep a view of themselves: started, waited for, and judged by their records.

May know: fleets, their records. May not know: how members agree.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from pathlib import Path

from ..judge.membership_records import (
    Inconsistency,
    MembershipRecord,
    ProcessId,
    convergence_time_ns,
    find_grant_overlaps,
    find_view_conflicts,
)
from ..judge.ledger import GatewayExited, GatewayKilled
from .fleet import Fleet

LOOK = 0.1  # s between looks at the records


def running(fleet: Fleet, found: Iterable[MembershipRecord]) -> list[ProcessId]:
    """The processes that run now, by their records: the last that began under each name."""
    born = {each.name: each.born for each in found if each.kind == "started"}
    return [
        (gateway.name, born[gateway.name])
        for gateway in fleet.gateways
        if gateway.running and gateway.name in born
    ]


async def until_settled(fleet: Fleet, most: float, since: int | None = None) -> float | None:
    """s after `since` (now, where it is left out) until all that run held one view of just them; None where
    they did not within `most` s."""
    since = time.monotonic_ns() if since is None else since
    loop = asyncio.get_running_loop()
    end = loop.time() + most
    while True:
        found = fleet.beliefs()
        took = convergence_time_ns(found, running(fleet, found), since)
        if took is not None:
            return took / 1e9
        if loop.time() >= end:
            return None
        await asyncio.sleep(LOOK)


def started(fleet: Fleet, numbers: Iterable[int]) -> int:
    """When the last of these began, as it recorded itself."""
    names = {fleet.gateways[number].name for number in numbers}
    return max(b.at for b in fleet.beliefs() if b.kind == "started" and b.name in names)


def amiss(fleet: Fleet) -> tuple[list[Inconsistency], float]:
    """What does not fit together in all the records, and the most that was held at once."""
    found = fleet.beliefs()
    gone = [
        (entry.at, entry.gateway)
        for entry in fleet.ledger.entries
        if isinstance(entry, GatewayKilled | GatewayExited)
    ]
    over, most = find_grant_overlaps(found, gone)
    return sorted(find_view_conflicts(found) + over), most


def keep(fleet: Fleet, folder: Path) -> None:
    """What a failing run leaves: its ledger, each gateway's log and record."""
    folder.mkdir(parents=True, exist_ok=True)
    fleet.ledger.save(folder / "ledger.jsonl", fleet.scenario.world())
    for gateway in fleet.gateways:
        for path in (fleet.record(gateway.name), gateway.log):
            if path.exists():
                (folder / path.name).write_bytes(path.read_bytes())
