"""Compares clients' answers with billing's records, for runs on real processes.

A usage record does not name its request, so totals of tenants are compared. A request that a client read as
served must be billed; one that was open when a gateway was killed or a client left may be billed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ...usage.record import Ending, to_nano_units
from ..judge.ledger import ClientDisconnected, ConnectionLost, Entry, ReplyReceived, RequestSent
from ..standins.billing_database import UsageTotals


@dataclass(frozen=True, slots=True)
class BillingComparison:
    """Holds sums over all tenants in billionths of units.

    `served` was read as served by clients, and `lost` is the part of it that was not billed. `doubled` was
    billed beyond all that may have been served.
    """

    served: int
    billed: int
    lost: int
    doubled: int


def compare(entries: Iterable[Entry], totals: UsageTotals) -> BillingComparison:
    """Compares a run's ledger with billing's totals."""
    requests: dict[str, RequestSent] = {}
    endings: dict[str, str] = {}
    for entry in entries:
        match entry:
            case RequestSent():
                requests[entry.request] = entry
            case ReplyReceived():
                endings[entry.request] = entry.kind
            case ConnectionLost() | ClientDisconnected():
                endings.setdefault(entry.request, "unknown")
    served = Counter[str]()
    uncertain = Counter[str]()
    for request, sent in requests.items():
        ending = endings.get(request, "unknown")
        if ending in ("served", "unknown"):
            counts = served if ending == "served" else uncertain
            counts[f"{sent.tenant:016x}"] += to_nano_units(sent.units)
    billed = Counter[str]()
    for (tenant, _, record_ending), (_, units) in totals.items():
        billed[tenant] += units * (record_ending == Ending.SERVED)
    tenants = served.keys() | uncertain.keys() | billed.keys()
    return BillingComparison(
        sum(served.values()),
        sum(billed.values()),
        sum(max(0, served[tenant] - billed[tenant]) for tenant in tenants),
        sum(max(0, billed[tenant] - served[tenant] - uncertain[tenant]) for tenant in tenants),
    )
