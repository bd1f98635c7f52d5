"""Checks rule 2: a request that may have been executed is retried or rejected only as its class permits."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from .ledger import AttemptReceived, ClassRule
from .run_history import RunHistory
from .verdict import Violation


def check_effects(history: RunHistory) -> Iterator[Violation]:
    """Yields every violation of rule 2."""
    for request, attempts in history.attempts.items():
        if request in history.requests:
            executed = [attempt for attempt in attempts if not attempt.rejected]
            yield from _check_repeated_execution(history, request, executed)
            yield from _check_rejection(history, request, executed)
    yield from _check_client_retries(history)


def _check_repeated_execution(
    history: RunHistory, request: str, executed: list[AttemptReceived]
) -> Iterator[Violation]:
    """Yields the executed retries of a request that its class does not permit."""
    rule = history.class_rule(request)
    for attempt in executed[1:]:
        if rule.idempotency == "unsafe":
            text = f"{request}: unsafe, executed at {executed[0].backend} and once more"
            yield Violation(attempt.at, "effects", text)
        elif rule.idempotency == "keyed":
            yield from _check_deduplication(history, rule, executed[0], attempt)


def _check_deduplication(
    history: RunHistory, rule: ClassRule, first: AttemptReceived, retry: AttemptReceived
) -> Iterator[Violation]:
    """Yields a violation if a retry with an idempotency key left its window or its deduplication scope."""
    window_ns = rule.deduplication_window_ns + history.rules.time_tolerance_ns
    if retry.at - first.at > window_ns:
        yield Violation(retry.at, "effects", f"{retry.request}: keyed, retried after its window", True)
    if not _in_same_scope(history, rule, first, retry):
        text = f"{retry.request}: keyed, executed at {first.backend} and outside its scope at {retry.backend}"
        yield Violation(retry.at, "effects", text)


def _in_same_scope(
    history: RunHistory, rule: ClassRule, first: AttemptReceived, retry: AttemptReceived
) -> bool:
    """Returns whether both backends recognize the same idempotency keys; False if one had not started."""
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
    """Yields a violation if a request was rejected after its execution and is not idempotent.

    The reason is that a client may retry a rejected request.
    """
    rule = history.class_rule(request)
    may_retry = rule.idempotency == "safe" or (
        rule.idempotency == "keyed" and rule.deduplication_scope == "all"
    )
    rejections = [reply for reply in history.replies.get(request, []) if reply.kind == "refused"]
    if executed and rejections and not may_retry and rejections[0].at > executed[0].at:
        yield Violation(rejections[0].at, "effects", f"{request}: rejected, though it may have been executed")


def _check_client_retries(history: RunHistory) -> Iterator[Violation]:
    """Yields the requests that are not idempotent and were executed in more than one retry of the client."""
    executed_by_origin: defaultdict[str, list[AttemptReceived]] = defaultdict(list)
    for request, attempts in history.attempts.items():
        if request in history.requests and history.class_rule(request).idempotency == "unsafe":
            executed = [attempt for attempt in attempts if not attempt.rejected]
            executed_by_origin[history.requests[request].origin] += executed
    for origin, executed in executed_by_origin.items():
        if len({attempt.request for attempt in executed}) > 1:
            last = max(attempt.at for attempt in executed)
            text = f"{origin}: unsafe, executed {len(executed)} times over its client's retries"
            yield Violation(last, "effects", text)
