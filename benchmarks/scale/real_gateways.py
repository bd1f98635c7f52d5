"""Real gateways beside the hollow ones: members of the same view, under load, decided on by the judge.

May know: the harness's fleets, where the view's seeds are. May not know: hollow processes.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from pathlib import Path
from types import TracebackType

import msgspec

from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.judge.ledger import PlanRule
from trackspread.testing.judge.membership_records import RecordReader
from trackspread.testing.judge.verdict import Verdict
from trackspread.testing.standins.client_population import ClientPopulation
from trackspread.testing.standins.loopback import Address, Ports
from trackspread.testing.standins.scenario import Scenario

from .bounds import Guard
from .messages import MemberId
from .view import Number, View, digest

MEMBER_PORT = 7400
LOAD = 0.15  # of what the rating nodes can do


def shared_scenario(scenario: Scenario, members: int) -> Scenario:
    """With quotas and ceilings that are shared by so many members, so that these few real gateways have of
    each what they would have among themselves; customers ask for as much as without."""
    times = members / scenario.gateways
    plans = {
        name: PlanRule(
            plan.rate_per_s * times,
            plan.burst_units * times,
            plan.hard_limit_per_s * times,
            plan.hard_limit_burst_units * times,
            plan.hard_limit_slack_units * times,
        )
        for name, plan in scenario.plans.items()
    }
    usual = {each.name: getattr(scenario, each.name) for each in fields(scenario)}
    return SharedScenario(**{**usual, "plans": plans}, asked=scenario)


@dataclass(frozen=True, slots=True)
class SharedScenario(Scenario):
    """Customers are those of `asked`."""

    asked: Scenario = field(default_factory=Scenario)

    def population(self) -> ClientPopulation:
        return self.asked.population()


class Record:
    """What one gateway has recorded of itself and its view; what was read once is not read again."""

    def __init__(self, path: Path) -> None:
        self._reader, self._read = RecordReader([path]), 0
        self.who: MemberId = ("", 0)
        self.view = View(0, (0, -1, 0))

    def look(self) -> bool:
        """Whether it has begun."""
        found = self._reader.all()
        for each in found[self._read :]:
            if each.kind == "started":
                self.who = each.process_id
            elif each.kind == "view":
                members = msgspec.convert(each.about["members"], tuple[MemberId, ...])
                self.view = View(digest(members), msgspec.convert(each.about["number"], Number))
        self._read = len(found)
        return bool(self.who[0])


class RealGateways:
    """Use as `async with`: they serve from its beginning to `verdict`."""

    def __init__(
        self,
        count: int,
        seeds: Sequence[str],
        members: int,
        most: int,
        guard: Guard,
        fleet: str,
        nodes: int = 6,
    ) -> None:
        """`seeds`: `host:port` of the view's; `members`: how many are to be in it, these included; `most`:
        members at most; `fleet`: the view's name."""
        guard.admit(count)
        self._ports = Ports()
        self._at: dict[str, Address] = {f"n{n}": (self._ports.host(), MEMBER_PORT) for n in range(count)}
        self._seeds, self._most, self._name = seeds, most, fleet
        scenario = shared_scenario(
            Scenario(gateways=count, nodes=nodes, load=LOAD, greedy_share=0.0, seed=49), members
        )
        self._fleet = Fleet(scenario, operator_file=self._table)
        self._records = [Record(self._record(name)) for name in self._at]

    async def __aenter__(self) -> RealGateways:
        await self._fleet.__aenter__()
        self._fleet.start_clients()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._fleet.__aexit__(kind, error, trace)
        self._ports.close()

    def _record(self, name: str) -> Path:
        return self._fleet.folder / f"{name}.view"

    def _table(self, name: str) -> str:
        """The operator's table of one."""
        seeds = ", ".join(f'"{seed}"' for seed in self._seeds)
        host, port = self._at[name]
        return (
            f'\n[fleet]\nname = "{self._name}"\nlisten = "{host}:{port}"\nseeds = [{seeds}]\n'
            f'most = {self._most}\nrecord = "{self._record(name)}"\n'
        )

    def running(self) -> list[MemberId]:
        """The members that they are, by their records."""
        return [record.who for record in self._records if record.look()]

    def views(self) -> set[View]:
        """What each of them holds now, by its record: the digest of the view's members, and its number."""
        return {record.view for record in self._records if record.look()}

    def memory(self) -> int:
        """Bytes that the largest of them held at most."""
        for gateway in self._fleet.gateways:
            gateway.record_usage()
        return max(gateway.peak_memory_bytes for gateway in self._fleet.gateways)

    async def verdict(self) -> Verdict:
        """No more is asked; all that was is seen to its end, and the judge decides."""
        await self._fleet.settle()
        return self._fleet.verdict()
