"""Several services behind gateways that are processes: requests stay in their service, and so do troubles."""

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

MOST = 90.0  # s: only a hang reaches it
TRIES = 4  # of a run whose rig lagged: such a run has no verdict
CHARGE = "charge-post"
TABLE = f'[services.classes]\ncharging = ["{CHARGE}"]\n'
LOOKUPS = 250  # asked while all is calm, and again while no backend charges
CHANCE = 0.1  # by which the parts served of so many may differ: some customers are at their quota by chance


class ServiceScene(Scenario):
    """The last pod of three nodes charges, the other two do all else."""

    def service(self, spec: NodeSpec) -> str:
        return "charging" if spec.cell == 2 else ""


def elsewhere(fleet: Fleet) -> Counter[str]:
    """Requests that came to a backend of another service than their own, by class."""
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
    """How requests ended that were asked in this span, by class."""
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


Work = Callable[[Fleet], Awaitable[None]]


def play(work: Work, table: str = TABLE) -> Fleet:
    """A run in which the rig lagged is played again; the rules are decided on after it."""

    async def once() -> tuple[Fleet, Verdict]:
        scenario = ServiceScene(
            gateways=3, load=0.2, greedy_share=0.0, seed=11, tolerance_ns=200 * MILLISECOND
        )
        async with Fleet(scenario, operator_file=lambda name: table) as fleet:
            fleet.start_clients()
            await work(fleet)
            await fleet.settle()
            return fleet, fleet.verdict()

    for _ in range(TRIES):
        fleet, verdict = uvloop.run(asyncio.wait_for(once(), MOST))
        if verdict.state != "void":
            assert verdict.state == "kept", verdict.violations
            return fleet
    raise AssertionError(f"the rig lagged in each of {TRIES} runs")


async def asked(fleet: Fleet, cls: str, more: int) -> None:
    """Until so many more requests of a class were asked."""

    def count() -> int:
        return sum(
            isinstance(each, RequestSent) and each.request_class == cls for each in fleet.ledger.entries
        )

    goal = count() + more
    while count() < goal:
        await asyncio.sleep(0.05)


async def replaced(fleet: Fleet) -> None:
    """Nodes of both services are replaced, and a gateway starts anew."""
    await asked(fleet, CHARGE, 20)
    chosen = [
        next(n for n in fleet.nodes_in_service() if (fleet.scenario.service(n.spec) != "") is charging)
        for charging in (True, False)
    ]
    await asyncio.gather(fleet.restart([0], 0.1), *(fleet.replace(node, 1.5) for node in chosen))
    await asked(fleet, CHARGE, 40)


def test_requests_stay_in_their_service_while_nodes_are_replaced_and_a_gateway_starts_anew() -> None:
    assert not elsewhere(play(replaced))


def test_without_the_table_they_go_anywhere() -> None:
    """The same run finds it where it is so."""
    assert elsewhere(play(replaced, "")).keys() >= {CHARGE, "rate-lookup"}


def test_a_service_all_of_whose_nodes_vanish_takes_none_of_the_others_along() -> None:
    spans: list[tuple[int, int]] = []

    async def work(fleet: Fleet) -> None:
        await asked(fleet, CHARGE, 20)  # the start is over
        calm = fleet.ledger.entries[-1].at
        await asked(fleet, "rate-lookup", LOOKUPS)
        charging = [node for node in fleet.nodes.values() if fleet.scenario.service(node.spec)]
        for node in charging:
            node.down()
        begun = fleet.ledger.entries[-1].at
        await asked(fleet, "rate-lookup", LOOKUPS)
        spans.extend([(calm, begun), (begun, fleet.ledger.entries[-1].at)])
        for node in charging:
            await node.start()
        await asked(fleet, CHARGE, 40)

    fleet = play(work)
    assert not elsewhere(fleet)
    before, ends = (answers(fleet.ledger.entries, *span) for span in spans[-2:])
    calm, parted = (each["rate-lookup"] for each in (before, ends))
    assert parted["served"] / parted.total() >= calm["served"] / calm.total() - CHANCE
    assert ends[CHARGE]["served"] < 0.1 * ends[CHARGE].total()
    back = answers(fleet.ledger.entries, spans[-1][1] + 5_000 * MILLISECOND, fleet.ledger.entries[-1].at)
    assert back.get(CHARGE, Counter(served=1))["served"] > 0
