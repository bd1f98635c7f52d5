"""What clients were answered, held against what billing has: the account of use on real processes.

May know: the ledger, billing's totals. A record bears no request's name, so members' totals are compared:
what a client read as served must be billed; what was under way when a gateway was killed or a client left
may be.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ..judge.ledger import ReplyReceived, RequestSent, ConnectionLost, Entry, ClientDisconnected
from ...usage.record import Ending, nano

Totals = dict[tuple[str, int, int], tuple[int, int]]


@dataclass(frozen=True, slots=True)
class Billed:
    """In billionths of units. `lost`: read as served and not billed. `doubled`: billed past all that was
    asked and may have been served. `read`: what clients read as served."""

    read: int
    billed: int
    lost: int
    doubled: int


def compare(entries: Iterable[Entry], totals: Totals) -> Billed:
    asked: dict[str, RequestSent] = {}
    ends: dict[str, str] = {}
    for entry in entries:
        match entry:
            case RequestSent():
                asked[entry.request] = entry
            case ReplyReceived():
                ends[entry.request] = entry.kind
            case ConnectionLost() | ClientDisconnected():
                ends.setdefault(entry.request, "unknown")
    sure, maybe = Counter[str](), Counter[str]()
    for request, entry in asked.items():
        end = ends.get(request, "unknown")
        if end in ("served", "unknown"):
            (sure if end == "served" else maybe)[f"{entry.tenant:016x}"] += nano(entry.units)
    billed = Counter[str]()
    for (customer, _, ending), (_, units) in totals.items():
        billed[customer] += units * (ending == Ending.SERVED)
    members = sure.keys() | maybe.keys() | billed.keys()
    return Billed(
        sum(sure.values()),
        sum(billed.values()),
        sum(max(0, sure[m] - billed[m]) for m in members),
        sum(max(0, billed[m] - sure[m] - maybe[m]) for m in members),
    )
