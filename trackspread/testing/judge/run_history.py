"""Indexes a ledger by requests, replies, attempts and processes, as the rules need them."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Sequence

from .ledger import (
    AttemptReceived,
    BackendStarted,
    ClassRule,
    ClientDisconnected,
    ConnectionLost,
    Entry,
    GatewayKilled,
    GatewayPaused,
    GatewayResumed,
    ReplyReceived,
    RequestSent,
    RuleParameters,
)


class RunHistory:
    """Holds one ledger in the order of its times; `requests` has the last write of each request."""

    def __init__(self, rules: RuleParameters, entries: Sequence[Entry]) -> None:
        self.rules = rules
        self.requests: dict[str, RequestSent] = {}
        self.replies: defaultdict[str, list[ReplyReceived]] = defaultdict(list)
        self.lost_connections: dict[str, ConnectionLost] = {}
        self.disconnects: dict[str, ClientDisconnected] = {}
        self.attempts: defaultdict[str, list[AttemptReceived]] = defaultdict(list)
        self.backend_starts: defaultdict[str, list[BackendStarted]] = defaultdict(list)
        self._kills: defaultdict[str, list[int]] = defaultdict(list)  # by gateway
        self._pauses: defaultdict[str, list[tuple[int, float]]] = defaultdict(list)  # by gateway: from, until
        self.entries = sorted(entries, key=lambda entry: entry.at)
        for entry in self.entries:
            self._index_request_entry(entry)
            self._index_process_entry(entry)

    def _index_request_entry(self, entry: Entry) -> None:
        match entry:
            case RequestSent():
                self.requests[entry.request] = entry
                self.lost_connections.pop(entry.request, None)
            case ReplyReceived():
                self.replies[entry.request].append(entry)
            case ConnectionLost():
                self.lost_connections[entry.request] = entry
            case ClientDisconnected():
                self.disconnects.setdefault(entry.request, entry)
            case AttemptReceived():
                self.attempts[entry.request].append(entry)

    def _index_process_entry(self, entry: Entry) -> None:
        match entry:
            case BackendStarted():
                self.backend_starts[entry.backend].append(entry)
            case GatewayKilled():
                self._kills[entry.gateway].append(entry.at)
            case GatewayPaused():
                self._pauses[entry.gateway].append((entry.at, math.inf))
            case GatewayResumed() if self._pauses[entry.gateway]:
                paused_at, _ = self._pauses[entry.gateway].pop()
                self._pauses[entry.gateway].append((paused_at, entry.at))

    def class_rule(self, request: str) -> ClassRule:
        """Returns the rule of a request's class; raises `KeyError` if no client sent the request."""
        return self.rules.classes[self.requests[request].request_class]

    def backend_at(self, backend: str, time: int) -> BackendStarted | None:
        """Returns the backend's last start before or at a time, or None if it had not started."""
        starts = reversed(self.backend_starts.get(backend, []))
        return next((start for start in starts if start.at <= time), None)

    def gateway_was_killed(self, sent: RequestSent, until: int) -> bool:
        """Returns whether the request's gateway was killed by `until` (ns) while it may have held it."""
        earliest = sent.at - self.rules.time_tolerance_ns
        kills = self._kills.get(sent.gateway, [])
        index = bisect_left(kills, earliest)
        return index < len(kills) and kills[index] <= until

    def reply_deadline(self, sent: RequestSent) -> float:
        """Returns when the client must have its reply, in ns; each pause of the gateway extends this."""
        deadline = float(sent.at + sent.wait_ns + self.rules.time_tolerance_ns)
        for paused_at, resumed_at in self._pauses.get(sent.gateway, []):
            if resumed_at > sent.at and paused_at <= deadline:
                deadline += resumed_at - max(paused_at, sent.at)
        return deadline

    def first_attempts(self) -> list[tuple[AttemptReceived, RequestSent]]:
        """Returns the first attempt of each request that a client sent, in the order of their times."""
        pairs = [
            (min(attempts, key=lambda attempt: attempt.at), self.requests[request])
            for request, attempts in self.attempts.items()
            if request in self.requests
        ]
        return sorted(pairs, key=lambda pair: pair[0].at)
