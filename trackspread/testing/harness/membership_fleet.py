"""Waits for membership views of fleets of processes to converge, and checks their records."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from ..judge.membership_records import (
    Inconsistency,
    MembershipRecord,
    ProcessId,
    find_grant_overlaps,
    convergence_time_ns,
    find_view_conflicts,
)
from .fleet import Fleet

RECORD_POLL_S = 0.1


class RecordCheck(NamedTuple):
    """Holds the inconsistencies of the records, and the largest share of all slots in use at once."""

    inconsistencies: list[Inconsistency]
    peak_slot_share: float


def running_processes(fleet: Fleet, records: Iterable[MembershipRecord]) -> list[ProcessId]:
    """Returns the gateways' running processes, which are the last that recorded a start under each name."""
    incarnations = {record.name: record.born for record in records if record.kind == "started"}
    return [
        (gateway.name, incarnations[gateway.name])
        for gateway in fleet.gateways
        if gateway.running and gateway.name in incarnations
    ]


async def until_settled(fleet: Fleet, timeout_s: float, since: int | None = None) -> float | None:
    """Returns the s from `since` until all running gateways had one view of exactly themselves.

    The result is None after `timeout_s`. `since` is in ns of the monotonic clock; None means now.
    """
    since = time.monotonic_ns() if since is None else since
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while True:
        records = fleet.records()
        took_ns = convergence_time_ns(records, running_processes(fleet, records), since)
        if took_ns is not None:
            return took_ns / 1e9
        if loop.time() >= end:
            return None
        await asyncio.sleep(RECORD_POLL_S)


def started_at(fleet: Fleet, numbers: Iterable[int]) -> int:
    """Returns when the last of these gateways started, in ns, from its own record."""
    names = {fleet.gateways[number].name for number in numbers}
    return max(record.at for record in fleet.records() if record.kind == "started" and record.name in names)


def check_records(fleet: Fleet) -> RecordCheck:
    """Checks whether all records are consistent."""
    records = fleet.records()
    slot_inconsistencies, peak_slot_share = find_grant_overlaps(records, fleet.process_ends())
    return RecordCheck(sorted(find_view_conflicts(records) + slot_inconsistencies), peak_slot_share)


def save_run(fleet: Fleet, folder: Path) -> None:
    """Saves a failed run's ledger and each gateway's log and records."""
    folder.mkdir(parents=True, exist_ok=True)
    fleet.ledger.save(folder / "ledger.jsonl", fleet.scenario.rule_parameters())
    for gateway in fleet.gateways:
        for path in (fleet.record_path(gateway.name), gateway.log):
            if path.exists():
                (folder / path.name).write_bytes(path.read_bytes())
