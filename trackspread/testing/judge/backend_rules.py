"""Checks rules 3 and 4: drains are honoured, and backends that are warming up are not overloaded."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from .ledger import (
    AttemptReceived,
    BackendCrashed,
    BackendStarted,
    EndpointAnnounced,
    GatewayExited,
    GatewayKilled,
)
from .run_history import RunHistory
from .verdict import Violation

NS_PER_MS = 1_000_000


def check_drains(history: RunHistory) -> Iterator[Violation]:
    """Yields the violations of rule 3.

    A gateway starts no attempt at a backend later than the grace after it learned of the backend's drain.
    """
    drained_at: dict[tuple[str, str], int] = {}  # by gateway and backend
    limit = history.rules.drain_grace_ns + history.rules.time_tolerance_ns
    for entry in history.entries:
        match entry:
            case EndpointAnnounced(gateway=gateway, backend=backend, ready=ready):
                if ready:
                    drained_at.pop((gateway, backend), None)
                else:
                    drained_at.setdefault((gateway, backend), entry.at)
            case GatewayKilled(gateway=gateway) | GatewayExited(gateway=gateway):
                for pair in [pair for pair in drained_at if pair[0] == gateway]:
                    del drained_at[pair]  # the next process of this name knows of no drain yet
            case AttemptReceived(gateway=gateway, backend=backend, began_at=began_at):
                since = drained_at.get((gateway, backend))
                if since is not None and began_at - since > limit:
                    late_ms = (began_at - since) // NS_PER_MS
                    text = f"{entry.request}: {gateway} sent it to {backend} {late_ms} ms after the drain"
                    yield Violation(began_at, "drains", text, True)


def check_slow_start(history: RunHistory) -> Iterator[Violation]:
    """Yields the violations of rule 4.

    The work that all gateways send to a backend that is warming up stays, within any window, under the
    overload multiple of the backend's capacity in that window.
    """
    attempts_by_backend: defaultdict[str, list[AttemptReceived]] = defaultdict(list)
    for attempts in history.attempts.values():
        for attempt in attempts:
            attempts_by_backend[attempt.backend].append(attempt)
    for backend, starts in history.backend_starts.items():
        for index, start in enumerate(starts):
            if start.start_capacity >= 1.0:
                continue
            end = start.at + start.warmup_ns
            if index + 1 < len(starts):
                end = min(end, starts[index + 1].at)
            received = [a for a in attempts_by_backend.get(backend, []) if start.at <= a.at < end]
            received.sort(key=lambda attempt: attempt.at)
            yield from _first_overload(history, start, received)
    for entry in history.entries:
        if isinstance(entry, BackendCrashed):
            yield Violation(entry.at, "cold", f"{entry.backend} crashed under overload")


def _first_overload(
    history: RunHistory, start: BackendStarted, received: Sequence[AttemptReceived]
) -> Iterator[Violation]:
    """Yields a violation for the first window in which the backend was overloaded, if there is one."""
    window_ns = history.rules.overload_window_ns
    for last, attempt in enumerate(received):
        window_start = attempt.at - window_ns
        work_ns = sum(each.work_ns for each in received[: last + 1] if each.at > window_start)
        capacity_ns = _capacity_ns(start, attempt.at, window_ns)
        if work_ns > history.rules.overload_multiple * capacity_ns:
            text = f"{start.backend}: warming up, received {work_ns / capacity_ns:.1f} times its capacity"
            yield Violation(attempt.at, "cold", text, True)
            return


def _capacity_ns(start: BackendStarted, window_end: int, window_ns: int) -> float:
    """Returns a backend's capacity in a window in core-nanoseconds, from its capacity at the window's end."""
    progress = min(1.0, (window_end - start.at) / start.warmup_ns)
    capacity = start.start_capacity + (1.0 - start.start_capacity) * progress
    return start.cores * capacity * window_ns
