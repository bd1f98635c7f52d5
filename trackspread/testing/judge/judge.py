"""Decides from a ledger alone whether a run kept the rules.

The judge neither uses nor copies any code of the gateway. Each rule is a function that takes the history of
the run and yields its violations. Token buckets are replayed exactly, unit by unit, as the platform's pages
define them. Each time limit is extended by `RuleParameters.time_tolerance_ns`. A client has to retry the
requests that a killed gateway held. A gateway that was paused may reply later by the length of the pause.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from .backend_rules import check_drains, check_slow_start
from .idempotency_rules import check_effects
from .ledger import (
    Entry,
    GatewayExited,
    GatewayKilled,
    GatewayMemoryUsed,
    GatewayStarted,
    GatewayStopping,
    HarnessLagged,
    RuleParameters,
)
from .limit_rules import QuotaUsage, check_hard_limits
from .reply_rules import check_replies
from .run_history import RunHistory
from .verdict import RunSummary, State, Verdict, Violation

EXPECTED_STATUSES = (0, -9)  # clean shutdown, and SIGKILL
# These need only the history. `judge` also checks gateway exits, memory and quotas.
RULE_CHECKS = (check_replies, check_effects, check_drains, check_slow_start, check_hard_limits)


def check_gateway_exits(history: RunHistory) -> Iterator[Violation]:
    """Yields a violation for each gateway that exited unasked, or with a status that is not expected."""
    asked_to_exit: set[str] = set()
    for entry in history.entries:
        match entry:
            case GatewayStopping(gateway=gateway) | GatewayKilled(gateway=gateway):
                asked_to_exit.add(gateway)
            case GatewayStarted(gateway=gateway):
                asked_to_exit.discard(gateway)
            case GatewayExited(gateway=gateway, status=status):
                if gateway not in asked_to_exit:
                    yield Violation(entry.at, "crash", f"{gateway} exited unasked with status {status}")
                elif status not in EXPECTED_STATUSES:
                    yield Violation(entry.at, "crash", f"{gateway} exited with status {status}")


def check_memory(history: RunHistory) -> Iterator[Violation]:
    """Yields a violation for each process that used more memory than it may, for which it would be killed."""
    for entry in history.entries:
        if isinstance(entry, GatewayMemoryUsed) and entry.peak_bytes > entry.limit_bytes:
            text = f"{entry.gateway} used {entry.peak_bytes >> 20} MB of {entry.limit_bytes >> 20} MB"
            yield Violation(entry.at, "memory", text)


def check_quotas(history: RunHistory, summary: RunSummary) -> Iterator[Violation]:
    """Yields a violation if the share of units forwarded beyond quotas exceeds the limit for the run."""
    if summary.over_quota_share > history.rules.max_over_quota_share:
        text = f"{summary.over_quota_share:.1%} of the forwarded units are beyond quotas"
        yield Violation(history.entries[-1].at, "quotas", text, True)


def summarize(history: RunHistory) -> RunSummary:
    """Returns the counts of a run."""
    usage = QuotaUsage(history)
    lags = (entry.lag_ns for entry in history.entries if isinstance(entry, HarnessLagged))
    reply_kinds = [replies[0].kind for replies in history.replies.values() if replies]
    return RunSummary(
        requests=len(history.requests),
        served=reply_kinds.count("served"),
        rejected=reply_kinds.count("refused"),
        failed=reply_kinds.count("failed"),
        unanswered=len(history.requests) - len(reply_kinds),
        attempts=sum(len(attempts) for attempts in history.attempts.values()),
        forwarded_units=usage.forwarded_units,
        over_quota_units=usage.over_quota_units,
        rejected_with_quota_left=usage.rejected_with_quota_left,
        max_lag_ns=max(lags, default=0),
    )


def judge(rules: RuleParameters, entries: Sequence[Entry]) -> Verdict:
    """Returns the verdict on one run; the entries may be in any order."""
    history = RunHistory(rules, entries)
    summary = summarize(history)
    violations = [violation for check in RULE_CHECKS for violation in check(history)]
    violations += check_gateway_exits(history)
    violations += check_memory(history)
    violations += check_quotas(history, summary)
    is_certain = any(not violation.time_dependent for violation in violations)
    state: State = "broken" if violations else "kept"
    if summary.max_lag_ns > rules.time_tolerance_ns and not is_certain:
        state = "void"
    return Verdict(state, tuple(sorted(violations)), summary)
