"""Checks rule 1: every request gets one final reply in time, made by a backend, and nothing follows it."""

from __future__ import annotations

import math
from collections.abc import Iterator

from .ledger import MalformedRequest, ReplyReceived, RequestSent, UnexpectedBytes
from .run_history import RunHistory
from .verdict import Violation

NS_PER_MS = 1e6


def check_replies(history: RunHistory) -> Iterator[Violation]:
    """Yields every violation of rule 1."""
    for request, sent in history.requests.items():
        if replies := history.replies.get(request, []):
            yield from _check_reply(history, sent, replies)
        elif request in history.lost_connections:
            yield from _check_lost_connection(history, sent)
        elif request in history.disconnects:
            yield from _check_disconnect(history, sent)
        else:
            yield from _check_unanswered(history, sent)
    for request, attempts in history.attempts.items():
        if request not in history.requests:
            yield Violation(attempts[0].at, "answers", f"{request}: forwarded, though no client sent it")
    yield from _check_stray_messages(history)


def _check_reply(history: RunHistory, sent: RequestSent, replies: list[ReplyReceived]) -> Iterator[Violation]:
    request, reply = sent.request, replies[0]
    deadline = history.reply_deadline(sent)
    if len(replies) > 1:
        yield Violation(replies[1].at, "answers", f"{request}: {len(replies)} final replies, only 1 is valid")
    if reply.at > deadline:
        late_ms = (reply.at - deadline) / NS_PER_MS
        yield Violation(reply.at, "answers", f"{request}: replied to {late_ms:.0f} ms too late", True)
    attempts = history.attempts.get(request, [])
    produced = {attempt.value for attempt in attempts if attempt.value}
    if reply.kind == "served" and reply.value not in produced:
        yield Violation(reply.at, "answers", f"{request}: served a value that no backend produced for it")
    for attempt in attempts:
        if attempt.at > reply.at + history.rules.time_tolerance_ns:
            yield Violation(attempt.at, "answers", f"{request}: forwarded after its final reply", True)


def _check_lost_connection(history: RunHistory, sent: RequestSent) -> Iterator[Violation]:
    lost = history.lost_connections[sent.request]
    # A gateway may close an idle connection. A request that it did not forward counts as not read.
    if lost.gateway_unreachable and sent.request not in history.attempts:
        return
    if not history.gateway_was_killed(sent, lost.at + history.rules.time_tolerance_ns):
        yield Violation(lost.at, "answers", f"{sent.request}: {sent.gateway} ended the connection")


def _check_disconnect(history: RunHistory, sent: RequestSent) -> Iterator[Violation]:
    deadline = history.reply_deadline(sent)
    disconnected_at = history.disconnects[sent.request].at
    if disconnected_at > deadline and not history.gateway_was_killed(sent, int(deadline)):
        text = f"{sent.request}: no reply from {sent.gateway} in time"
        yield Violation(int(deadline), "answers", text, True)


def _check_unanswered(history: RunHistory, sent: RequestSent) -> Iterator[Violation]:
    deadline = history.reply_deadline(sent)
    if math.isfinite(deadline) and not history.gateway_was_killed(sent, int(deadline)):
        yield Violation(int(deadline), "answers", f"{sent.request}: no reply from {sent.gateway}")


def _check_stray_messages(history: RunHistory) -> Iterator[Violation]:
    for entry in history.entries:
        if isinstance(entry, UnexpectedBytes):
            yield Violation(entry.at, "answers", f"{entry.gateway} sent a reply without a request")
        elif isinstance(entry, MalformedRequest):
            text = f"{entry.gateway} sent a malformed request to {entry.backend}: {entry.text!r:.60}"
            yield Violation(entry.at, "answers", text)
