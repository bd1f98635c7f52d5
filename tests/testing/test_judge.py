"""The judge by hand-made ledgers: each rule is broken alone, and what breaks none is let pass."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from trackspread.testing.judge.judge import judge
from trackspread.testing.judge.ledger import (
    ReplyReceived,
    RequestSent,
    AttemptReceived,
    BackendStarted,
    ClassRule,
    ConnectionLost,
    GatewayExited,
    Entry,
    BackendCrashed,
    MalformedRequest,
    GatewayPaused,
    GatewayKilled,
    HarnessLagged,
    Ledger,
    ClientDisconnected,
    PlanRule,
    GatewayResumed,
    GatewayStarted,
    GatewayStopping,
    UnexpectedBytes,
    EndpointAnnounced,
    RuleParameters,
    load,
)

MS, S = 1_000_000, 1_000_000_000
RULES = RuleParameters(
    {
        "look": ClassRule("safe", "all", S),
        "send": ClassRule("keyed", "cell", S),
        "pay": ClassRule("unsafe", "all", S),
    },
    {"free": PlanRule(0.0, 0.0), "team": PlanRule(1.0, 4.0), "hard": PlanRule(0.0, 0.0, 1.0, 2.0, 1.0)},
    S,
    3 * S,
    3.0,
    max_over_quota_share=0.4,
)
BOOTS = [BackendStarted(0, f"b{n}", "a", n // 2, 2.0, 1.0, S) for n in range(4)]


def asked(request: str = "r", at: int = 0, request_class: str = "look", **changes: Any) -> RequestSent:
    made: dict[str, Any] = {
        "origin": request,
        "gateway": "n0",
        "plan": "free",
        "tenant": 1,
        "units": 1.0,
        "wait_ns": 2 * S,
    }
    return RequestSent(at, request, request_class=request_class, **{**made, **changes})


def attempted(at: int, request: str = "r", backend: str = "b0", **changes: Any) -> AttemptReceived:
    made: dict[str, Any] = {
        "began_at": at,
        "gateway": "n0",
        "work_ns": 50 * MS,
        "value": f"{backend}/{request}",
    }
    return AttemptReceived(at, request=request, backend=backend, **{**made, **changes})


def answered(at: int, kind: Any = "served", request: str = "r", backend: str = "b0") -> ReplyReceived:
    return ReplyReceived(at, request, kind, f"{backend}/{request}" if kind == "served" else "")


def of(count: int, plan: str, gap: int, tenant: int = 7) -> list[Entry]:
    made: list[Entry] = []
    for n in range(count):
        made += [
            asked(f"r{n}", n * gap, plan=plan, tenant=tenant),
            attempted(n * gap, f"r{n}"),
            answered(n * gap, request=f"r{n}"),
        ]
    return made


KEPT: dict[str, list[Entry]] = {
    "served": [asked(), attempted(MS), answered(2 * MS)],
    "refused unsent": [asked(), answered(MS, "refused")],
    "safe one sent again": [asked(), attempted(MS), attempted(2 * MS, backend="b3"), answered(9 * MS)],
    "safe one refused after it ran": [asked(), attempted(MS), answered(2 * MS, "refused")],
    "unsafe one sent again, turned away first": [
        asked(request_class="pay"),
        attempted(MS, rejected=True, value=""),
        attempted(2 * MS),
        answered(9 * MS),
    ],
    "keyed one sent again in its pod": [
        asked(request_class="send"),
        attempted(MS),
        attempted(S, backend="b1"),
        answered(2 * S, backend="b1"),
    ],
    "crossed the end of a connection at rest, with no gateway left to take it": [
        asked(),
        ConnectionLost(MS, "r", gateway_unreachable=True),
    ],
    "late by as long as its gateway stood still": [
        asked(),
        GatewayPaused(S, "n0"),
        GatewayResumed(4 * S, "n0"),
        attempted(MS),
        answered(4 * S + S // 2),
    ],
    "held when its gateway was killed": [
        asked(),
        attempted(MS),
        GatewayKilled(2 * MS, "n0"),
        ConnectionLost(3 * MS, "r"),
    ],
    "written as its connection closed, and once more": [
        asked(),
        ConnectionLost(MS, "r"),
        asked(at=2 * MS, is_repeat=True),
        attempted(3 * MS),
        answered(9 * MS),
    ],
    "client hung up first": [asked(), attempted(MS), ClientDisconnected(S, "r")],
    "within the grace": [
        EndpointAnnounced(0, "n0", "b0", False),
        asked(at=S),
        attempted(S + 9 * MS),
        answered(S + 99 * MS),
    ],
    "told by the list that it is back": [
        EndpointAnnounced(0, "n0", "b0", False),
        EndpointAnnounced(S, "n0", "b0", True),
        asked(at=3 * S),
        attempted(3 * S),
        answered(3 * S),
    ],
    "told the one before it only": [
        EndpointAnnounced(0, "n0", "b0", False),
        GatewayKilled(S, "n0"),
        asked(at=3 * S),
        attempted(3 * S),
        answered(3 * S),
    ],
    "quota": of(8, "team", S),
    "ceiling with its slack": of(3, "hard", 0),
    "stopped in good order": [
        GatewayStarted(0, "n0"),
        GatewayStopping(S, "n0"),
        GatewayExited(2 * S, "n0", 0),
    ],
}
BROKEN: dict[str, tuple[str, list[Entry]]] = {
    "never answered": ("answers", [asked(), attempted(MS)]),
    "connection ended": ("answers", [asked(), ConnectionLost(MS, "r")]),
    "sent on, though it is said to have crossed an end": (
        "answers",
        [asked(), attempted(MS), ConnectionLost(2 * MS, "r", gateway_unreachable=True)],
    ),
    "answered twice": ("answers", [asked(), answered(MS, "refused"), answered(2 * MS, "failed")]),
    "answered late": ("answers", [asked(), answered(3 * S, "failed")]),
    "hung up on after its time": ("answers", [asked(), ClientDisconnected(3 * S, "r")]),
    "served what nobody made": ("answers", [asked(), attempted(MS), answered(2 * MS, backend="b2")]),
    "sent after its answer": ("answers", [asked(), answered(MS, "refused"), attempted(S)]),
    "sent unasked": ("answers", [attempted(MS)]),
    "answered unasked": ("answers", [UnexpectedBytes(MS, "n0")]),
    "worded anew": ("answers", [MalformedRequest(MS, "b0", "n0", "CALL.GET nonsense")]),
    "unsafe one run twice": (
        "effects",
        [asked(request_class="pay"), attempted(MS), attempted(2 * MS, backend="b1"), answered(9 * MS)],
    ),
    "unsafe one refused after it ran": (
        "effects",
        [asked(request_class="pay"), attempted(MS), answered(9 * MS, "refused")],
    ),
    "unsafe one run in two tries": (
        "effects",
        [
            asked(request_class="pay"),
            attempted(MS),
            answered(MS, "failed"),
            asked("q", 2 * MS, request_class="pay", origin="r"),
            attempted(3 * MS, "q"),
            answered(9 * MS, request="q"),
        ],
    ),
    "keyed one run outside its pod": (
        "effects",
        [asked(request_class="send"), attempted(MS), attempted(2 * MS, backend="b2"), answered(9 * MS)],
    ),
    "keyed one sent after its window": (
        "effects",
        [asked(request_class="send"), attempted(MS), attempted(3 * S // 2, backend="b1"), answered(2 * S)],
    ),
    "keyed one refused after it ran": (
        "effects",
        [asked(request_class="send"), attempted(MS), answered(2 * MS, "refused")],
    ),
    "drained": (
        "drains",
        [EndpointAnnounced(0, "n0", "b0", False), asked(at=S), attempted(S + 99 * MS), answered(S + 99 * MS)],
    ),
    "cold": (
        "cold",
        [
            BackendStarted(0, "b9", "a", 0, 1.0, 0.1, 9 * S),
            asked(),
            attempted(S, backend="b9", work_ns=2 * S),
            answered(S + MS, backend="b9"),
        ],
    ),
    "fallen": ("cold", [BackendCrashed(S, "b0")]),
    "ceiling": ("ceilings", of(4, "hard", 0)),
    "quotas": ("quotas", of(8, "team", MS)),
    "crash": ("crash", [GatewayStarted(0, "n0"), GatewayExited(S, "n0", 1)]),
    "crash while stopping": (
        "crash",
        [GatewayStarted(0, "n0"), GatewayStopping(S, "n0"), GatewayExited(2 * S, "n0", 3)],
    ),
}


@pytest.mark.parametrize("name", KEPT)
def test_what_keeps_the_rules_is_let_pass(name: str) -> None:
    verdict = judge(RULES, [*BOOTS, *KEPT[name]])
    assert verdict.state == "kept" and verdict.violations == ()


@pytest.mark.parametrize("name", BROKEN)
def test_a_ledger_that_breaks_one_rule_is_convicted_of_that_rule_alone(name: str) -> None:
    rule, entries = BROKEN[name]
    verdict = judge(RULES, [*BOOTS, *entries])
    assert verdict.state == "broken" and verdict.broken_rules() == {rule}


@pytest.mark.parametrize("name", BROKEN)
def test_where_a_stand_in_lagged_only_what_hangs_on_no_time_counts(name: str) -> None:
    """A run in which it lagged has no verdict, unless a breach needs no clock."""
    verdict = judge(RULES, [*BOOTS, *BROKEN[name][1], HarnessLagged(S, "nodes", 80 * MS)])
    assert verdict.state == ("void" if all(v.time_dependent for v in verdict.violations) else "broken")


def test_a_halt_excuses_no_more_than_it_lasted_and_no_other_gateway() -> None:
    halt: list[Entry] = [GatewayPaused(S, "n0"), GatewayResumed(2 * S, "n0")]
    late: list[Entry] = [asked(), *halt, attempted(MS), answered(3 * S + 100 * MS)]
    elsewhere: list[Entry] = [asked(gateway="n1"), *halt, attempted(MS), answered(2 * S + 100 * MS)]
    over: list[Entry] = [*halt, asked(at=2 * S), attempted(2 * S), answered(4 * S + 100 * MS)]
    assert all(
        judge(RULES, [*BOOTS, *each]).broken_rules() == {"answers"} for each in (late, elsewhere, over)
    )


def test_order_in_the_ledger_is_that_of_times_not_of_writing() -> None:
    entries = [*BOOTS, *KEPT["told by the list that it is back"]]
    assert judge(RULES, entries[::-1]) == judge(RULES, entries)


def test_use_is_counted_unit_by_unit() -> None:
    summary = judge(
        RULES,
        [
            *BOOTS,
            *of(6, "team", MS),
            asked("x", 9 * S, plan="team", tenant=7),
            answered(9 * S, "refused", "x"),
        ],
    ).summary
    assert (summary.forwarded_units, summary.over_quota_units) == (6.0, 2.0)
    assert summary.rejected_with_quota_left == 1
    assert (summary.requests, summary.served, summary.rejected, summary.attempts) == (7, 6, 1, 6)


def test_a_saved_ledger_reads_back_whole(tmp_path: Path) -> None:
    ledger = Ledger()
    for _, entries in BROKEN.values():
        for entry in entries:
            ledger.write(entry)
    path = tmp_path / "ledger.jsonl"
    ledger.save(path, RULES)
    with path.open("rb") as file:
        assert load(file) == (RULES, ledger.entries)
