"""Tests several services behind gateway processes: requests and failures stay in their service."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.judge.ledger import ReplyReceived, RequestSent, AttemptReceived, Entry
from trackspread.testing.judge.verdict import Verdict
from trackspread.testing.standins.rating_node import NodeSpec
from trackspread.testing.standins.scenario import MILLISECOND, Scenario

pytestmark = pytest.mark.processes

TIMEOUT_S = 90.0  # only a run that hangs reaches it
MAX_RUNS = 4  # a run on a machine that lagged has no verdict and is repeated
CHARGE = "charge-post"
TABLE = f'[services.classes]\ncharging = ["{CHARGE}"]\n'
LOOKUPS = 250  # requests while all backends serve, and again while no backend charges
TOLERANCE = 0.1  # between the served parts, as some customers reach their quota by chance


class ServiceScene(Scenario):
    """Lets the last pod of three nodes charge, and the other two serve everything else."""

    def service(self, spec: NodeSpec) -> str:
        return "charging" if spec.cell == 2 else ""


def misrouted(fleet: Fleet) -> Counter[str]:
    """Counts by class the requests that reached a backend of another service than their own."""
    classes = {
        each.request: each.request_class for each in fleet.ledger.entries if isinstance(each, RequestSent)
    }
    found: Counter[str] = Counter()
    for each in fleet.ledger.entries:
        if isinstance(each, AttemptReceived):
            service = fleet.scenario.service(fleet.nodes[each.backend].spec)
            found[classes[each.request]] += service != ("charging" if classes[each.request] == CHARGE else "")
    return +found


def answers(entries: list[Entry], since: int, until: int) -> dict[str, Counter[str]]:
    """Counts by class how the requests ended that were sent in this span."""
    classes = {
        each.request: each.request_class
        for each in entries
        if isinstance(each, RequestSent) and since <= each.at < until
    }
    found: dict[str, Counter[str]] = {}
    for each in entries:
        if isinstance(each, ReplyReceived) and each.request in classes:
            found.setdefault(classes[each.request], Counter())[each.kind] += 1
    return found


Scene = Callable[[Fleet], Awaitable[None]]


def run_fleet(scene: Scene, table: str = TABLE) -> Fleet:
    """Runs a fleet and judges it; a run on a machine that lagged is repeated."""

    async def once() -> tuple[Fleet, Verdict]:
        scenario = ServiceScene(
            gateways=3, load=0.2, greedy_share=0.0, seed=11, tolerance_ns=200 * MILLISECOND
        )
        async with Fleet(scenario, operator_file=lambda name: table) as fleet:
            fleet.start_clients()
            await scene(fleet)
            await fleet.settle()
            return fleet, fleet.verdict()

    for _ in range(MAX_RUNS):
        fleet, verdict = uvloop.run(asyncio.wait_for(once(), TIMEOUT_S))
        if verdict.state != "void":
            assert verdict.state == "kept", verdict.violations
            return fleet
    raise AssertionError(f"the machine lagged in each of {MAX_RUNS} runs")


async def wait_for_requests(fleet: Fleet, cls: str, more: int) -> None:
    """Returns once clients have sent `more` further requests of a class."""

    def count() -> int:
        return sum(
            isinstance(each, RequestSent) and each.request_class == cls for each in fleet.ledger.entries
        )

    goal = count() + more
    while count() < goal:
        await asyncio.sleep(0.05)


async def replace_nodes(fleet: Fleet) -> None:
    """Replaces nodes of both services, and restarts a gateway."""
    await wait_for_requests(fleet, CHARGE, 20)
    chosen = [
        next(n for n in fleet.nodes_in_service() if (fleet.scenario.service(n.spec) != "") is charging)
        for charging in (True, False)
    ]
    await asyncio.gather(fleet.restart([0], 0.1), *(fleet.replace(node, 1.5) for node in chosen))
    await wait_for_requests(fleet, CHARGE, 40)


def test_requests_stay_in_their_service_during_replacements() -> None:
    """Guards against misrouted requests while nodes are replaced and a gateway restarts."""
    assert not misrouted(run_fleet(replace_nodes))


def test_without_the_table_requests_reach_other_services() -> None:
    """Proves that the same run detects misrouted requests."""
    assert misrouted(run_fleet(replace_nodes, "")).keys() >= {CHARGE, "rate-lookup"}


def test_service_without_nodes_does_not_affect_the_others() -> None:
    """Guards against lookups that fail while all nodes of another service are down."""
    spans: list[tuple[int, int]] = []

    async def scene(fleet: Fleet) -> None:
        await wait_for_requests(fleet, CHARGE, 20)  # the fleet has started
        calm = fleet.ledger.entries[-1].at
        await wait_for_requests(fleet, "rate-lookup", LOOKUPS)
        charging = [node for node in fleet.nodes.values() if fleet.scenario.service(node.spec)]
        for node in charging:
            node.crash()
        begun = fleet.ledger.entries[-1].at
        await wait_for_requests(fleet, "rate-lookup", LOOKUPS)
        spans.extend([(calm, begun), (begun, fleet.ledger.entries[-1].at)])
        for node in charging:
            await node.start()
        await wait_for_requests(fleet, CHARGE, 40)

    fleet = run_fleet(scene)
    assert not misrouted(fleet)
    before, ends = (answers(fleet.ledger.entries, *span) for span in spans[-2:])
    calm, down = (each["rate-lookup"] for each in (before, ends))
    assert down["served"] / down.total() >= calm["served"] / calm.total() - TOLERANCE
    assert ends[CHARGE]["served"] < 0.1 * ends[CHARGE].total()
    back = answers(fleet.ledger.entries, spans[-1][1] + 5_000 * MILLISECOND, fleet.ledger.entries[-1].at)
    assert back.get(CHARGE, Counter(served=1))["served"] > 0
