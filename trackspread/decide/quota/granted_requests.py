"""Tracks requests that a tenant's owner granted, to report those that take long to arrive at a backend.

The owner's bucket of a hard limit is filled up to its burst less the units in transit, and the owner learns
of those that other gateways send by these reports. A request that arrives promptly causes no message. The
sum of all others is reported at the next tick, every `REPORT_INTERVAL_NS`, and whenever it has changed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from ..open_request import GrantedTransit, OpenRequest
from ..tenant_account import TenantAccount
from ..time_units import SECOND, TICK
from .freshness import FRESH_NS
from .hard_limit import PROMPT_ARRIVAL_S

PROMPT_ARRIVAL_NS = int(PROMPT_ARRIVAL_S * SECOND)
REPORT_INTERVAL_NS = FRESH_NS // 2
# Reports may take this part of the messages that a gateway accepts.
REPORT_PART_OF_MESSAGES = 0.25


class StartedRequest(NamedTuple):
    """Holds a granted request and when its first attempt started."""

    request: OpenRequest
    started_at_ns: int


@dataclass(slots=True)
class LateUnits:
    """Holds the number and the units of a tenant's granted requests that have been in transit for long."""

    account: TenantAccount
    requests: int = 0
    units: float = 0.0
    is_changed: bool = True  # since the last report
    reported_at_ns: int = 0

    def add(self, units: float) -> None:
        """Adds a request."""
        self.requests += 1
        self.units += units
        self.is_changed = True

    def remove(self, units: float) -> None:
        """Removes a request; no units remain without one, also where their sum is not exact."""
        self.requests -= 1
        self.units = max(0.0, self.units - units) if self.requests else 0.0
        self.is_changed = True

    def is_due(self, now: int) -> bool:
        """Returns whether a report is due."""
        return self.is_changed or now - self.reported_at_ns >= REPORT_INTERVAL_NS


class GrantedRequests:
    """Tracks the requests of all tenants that have other gateways as owners."""

    def __init__(self, peer_messages_per_s: float) -> None:
        self._recent: deque[StartedRequest] = deque()  # in the order of their starts
        self._late: dict[int, LateUnits] = {}  # by tenant; those reported longest ago come first
        messages_per_tick = REPORT_PART_OF_MESSAGES * peer_messages_per_s * TICK / SECOND
        self._most_reports = max(1, int(messages_per_tick))

    def start(self, now: int, request: OpenRequest) -> None:
        """Tracks a request whose units the owner has taken out of its bucket."""
        request.granted_transit = GrantedTransit.RECENT
        self._recent.append(StartedRequest(request, now))

    def arrive(self, request: OpenRequest) -> None:
        """Notes that a request has arrived at a backend, or will not any more."""
        if request.granted_transit is GrantedTransit.LATE:
            self._late[request.account.tenant].remove(request.arrival.units)
        request.granted_transit = GrantedTransit.NONE

    def due_reports(self, now: int) -> list[LateUnits]:
        """Returns the reports that are due, and counts them as sent."""
        self._find_late(now)
        due = [late for late in self._late.values() if late.is_due(now)][: self._most_reports]
        for late in due:
            late.is_changed = False
            late.reported_at_ns = now
            del self._late[late.account.tenant]
            if late.requests:
                self._late[late.account.tenant] = late
        return due

    def _find_late(self, now: int) -> None:
        while self._recent and now - self._recent[0].started_at_ns >= PROMPT_ARRIVAL_NS:
            request = self._recent.popleft().request
            if request.granted_transit is not GrantedTransit.RECENT:
                continue
            account = request.account
            late = self._late.setdefault(account.tenant, LateUnits(account))
            late.add(request.arrival.units)
            request.granted_transit = GrantedTransit.LATE
