"""The real program with settings of other customers' kind, over the branches that settings open.

Each example is a deployment of its own: the program starts with it, serves, is told to end and started again
while requests are open, has nodes replaced by cold ones, and ends. The judge decides from the record."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
import uvloop
from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.judge.ledger import DeduplicationScope, Idempotency, PlanRule
from trackspread.testing.judge.verdict import Verdict
from trackspread.testing.standins.rating_node import SECOND
from trackspread.testing.standins.scenario import MILLISECOND, Scenario, ScenarioClass

pytestmark = pytest.mark.processes

REPEATS: tuple[Idempotency, ...] = ("safe", "keyed", "unsafe")
GROUPS: tuple[DeduplicationScope, ...] = ("all", "zone", "cell")
EXAMPLES = 5  # each some 8 s
SERVED_LEAST = 0.1  # part of the tries: it serves, whatever the settings
VOID_MOST = 3  # plays of one example while the rig lagged


@st.composite
def classes(draw: st.DrawFn) -> tuple[ScenarioClass, ...]:
    made = []
    for number in range(draw(st.integers(1, 4))):
        repeat: Idempotency = draw(st.sampled_from(REPEATS))
        group: DeduplicationScope = draw(st.sampled_from(GROUPS)) if repeat == "keyed" else "all"
        work = draw(st.sampled_from([20, 60, 100])) * MILLISECOND
        deadline = draw(st.sampled_from([300, 1000, 2000, 10_000])) * MILLISECOND
        aim = max(deadline // 3, min(2 * work, deadline))
        points = draw(st.sampled_from([1.0, 3.0, 8.0]))
        # Names as other customers write them: with blanks and signs that the command's own list uses.
        name = draw(st.sampled_from(["look up", "gate-release", "x", "Buchung.7"])) + f" {number}"
        made.append(ScenarioClass(name, repeat, group, 1.0, work, aim, deadline, points))
    return tuple(made)


@st.composite
def plans(draw: st.DrawFn) -> dict[str, PlanRule]:
    made = {}
    for number in range(draw(st.integers(1, 3))):
        rate, seconds = draw(st.sampled_from([0.5, 2.0, 8.0])), draw(st.sampled_from([1.0, 5.0]))
        times = draw(st.sampled_from([0.0, 1.5, 3.0]))
        ceiling = (rate * times, rate * times * seconds, rate * times * seconds * 0.2) if times else (0, 0, 0)
        made[f"plan {number}"] = PlanRule(rate, max(2.0, rate * seconds), *map(float, ceiling))
    return made


@st.composite
def deployments(draw: st.DrawFn) -> Scenario:
    flags = {
        key: draw(st.booleans()) for key in ("secondCopies", "cancel", "probes", "peerMessages", "retryAfter")
    }
    allow: list[tuple[str, str, Any]] = [("limits", key, value) for key, value in flags.items()]
    allow += [
        ("limits", "maxAttempts", draw(st.sampled_from([1, 2, 4]))),
        ("limits", "connIdle", draw(st.sampled_from([1, 8, 30])) * SECOND),
        ("familyInfo", "counter", draw(st.booleans())),
        ("familyInfo", "mailPerS", draw(st.sampled_from([1.0, 40.0]))),
        ("report", "how", draw(st.sampled_from(["answers", "none"]))),
    ]
    return Scenario(
        gateways=draw(st.integers(2, 4)),
        nodes=6,
        load=0.25,
        greedy_share=0.3,
        seed=draw(st.integers(1, 10_000)),
        deduplication_window_ns=draw(st.sampled_from([2, 5])) * SECOND,
        drain_grace_ns=draw(st.sampled_from([600, 1000])) * MILLISECOND,
        classes=draw(classes()),
        plans=draw(plans()),
        setting_overrides=tuple(allow),
        zones=draw(st.sampled_from([(), ("only",), ("a", "b", "c", "d", "e")])),
    )


async def played(scenario: Scenario) -> Verdict:
    async with Fleet(scenario) as fleet:
        fleet.start_clients()
        await asyncio.sleep(1.0)
        async with asyncio.TaskGroup() as group:
            for node in fleet.nodes_in_service()[:2]:
                group.create_task(fleet.replace(node, 1.5))
            group.create_task(fleet.restart([0], 0.3, kill=False))
        await asyncio.sleep(1.0)
        await fleet.settle()
        return fleet.verdict()


@hypothesis_settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)
@given(deployments())
def test_the_rules_hold_under_settings_of_other_customers_kind(scenario: Scenario) -> None:
    for _ in range(VOID_MOST):
        verdict = uvloop.run(asyncio.wait_for(played(scenario), 120.0))
        if verdict.state != "void":
            break
    assert verdict.state == "kept", [str(each) for each in verdict.violations[:5]]
    # Where gateways hear of nobody, ceilings in even slices turn most of a short run's tries away.
    assert verdict.summary.served >= SERVED_LEAST * verdict.summary.requests > 0.0
