"""Rule 2: a request that may have been executed is retried or rejected only as its class permits."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from .ledger import AttemptReceived, ClassRule
from .run_history import RunHistory
from .verdict import Violation


def check_effects(history: RunHistory) -> Iterator[Violation]:
    """Every violation of rule 2."""
    for request, attempts in history.attempts.items():
        if request in history.requests:
            executed = [attempt for attempt in attempts if not attempt.rejected]
            yield from _check_repeated_execution(history, request, executed)
            yield from _check_rejection(history, request, executed)
    yield from _check_client_retries(history)


def _check_repeated_execution(
    history: RunHistory, request: str, executed: list[AttemptReceived]
) -> Iterator[Violation]:
    rule = history.class_rule(request)
    for attempt in executed[1:]:
        if rule.idempotency == "unsafe":
            text = f"{request}: unsafe, run at {executed[0].backend} and again"
            yield Violation(attempt.at, "effects", text)
        elif rule.idempotency == "keyed":
            yield from _check_deduplication(history, rule, executed[0], attempt)


def _check_deduplication(
    history: RunHistory, rule: ClassRule, first: AttemptReceived, retry: AttemptReceived
) -> Iterator[Violation]:
    """A retry with an idempotency key must stay within its window and its deduplication scope."""
    window_ns = rule.deduplication_window_ns + history.rules.time_tolerance_ns
    if retry.at - first.at > window_ns:
        yield Violation(retry.at, "effects", f"{retry.request}: keyed, sent after its window", True)
    if not _in_same_scope(history, rule, first, retry):
        text = f"{retry.request}: keyed, run at {first.backend} and, outside its group, at {retry.backend}"
        yield Violation(retry.at, "effects", text)


def _in_same_scope(
    history: RunHistory, rule: ClassRule, first: AttemptReceived, retry: AttemptReceived
) -> bool:
    one = history.backend_at(first.backend, first.at)
    other = history.backend_at(retry.backend, retry.at)
    if one is None or other is None:
        return False
    match rule.deduplication_scope:
        case "all":
            return True
        case "zone":
            return one.zone == other.zone
        case "cell":
            return one.cell == other.cell


def _check_rejection(
    history: RunHistory, request: str, executed: list[AttemptReceived]
) -> Iterator[Violation]:
    """A client may retry what was rejected, so that must not have been executed unless it is idempotent."""
    rule = history.class_rule(request)
    may_retry = rule.idempotency == "safe" or (
        rule.idempotency == "keyed" and rule.deduplication_scope == "all"
    )
    rejections = [reply for reply in history.replies.get(request, []) if reply.kind == "refused"]
    if executed and rejections and not may_retry and rejections[0].at > executed[0].at:
        yield Violation(rejections[0].at, "effects", f"{request}: refused, though it may have run")


def _check_client_retries(history: RunHistory) -> Iterator[Violation]:
    """Of all client retries of a request that is not idempotent at most one is executed."""
    executed_by_origin: defaultdict[str, list[AttemptReceived]] = defaultdict(list)
    for request, attempts in history.attempts.items():
        if request in history.requests and history.class_rule(request).idempotency == "unsafe":
            executed = [attempt for attempt in attempts if not attempt.rejected]
            executed_by_origin[history.requests[request].origin] += executed
    for origin, executed in executed_by_origin.items():
        if len({attempt.request for attempt in executed}) > 1:
            last = max(attempt.at for attempt in executed)
            yield Violation(last, "effects", f"{origin}: unsafe, run in {len(executed)} tries of its client")
