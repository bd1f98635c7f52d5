"""Runs real gateways under load as members of the same view as the hollow ones, and judges their service.

The module knows the fleets of the test harness and the addresses of the view's seeds; it does not know hollow
processes.
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
LOAD = 0.15  # Of the capacity of the rating nodes.


def shared_scenario(scenario: Scenario, members: int) -> Scenario:
    """Returns a scenario with quotas and hard limits scaled up to `members` sharing them.

    So these few real gateways have the same part of each as they would have among themselves. The customers'
    demand is that of `scenario`.
    """
    factor = members / scenario.gateways
    plans = {
        name: PlanRule(
            plan.rate_per_s * factor,
            plan.burst_units * factor,
            plan.hard_limit_per_s * factor,
            plan.hard_limit_burst_units * factor,
            plan.hard_limit_slack_units * factor,
        )
        for name, plan in scenario.plans.items()
    }
    values = {each.name: getattr(scenario, each.name) for each in fields(scenario)}
    return SharedScenario(**{**values, "plans": plans}, asked=scenario)


@dataclass(frozen=True, slots=True)
class SharedScenario(Scenario):
    """Takes its clients from the scenario `asked`."""

    asked: Scenario = field(default_factory=Scenario)

    def population(self) -> ClientPopulation:
        return self.asked.population()


class Record:
    """Reads what one gateway recorded of itself and its view; each entry is read once."""

    def __init__(self, path: Path) -> None:
        self._reader, self._read = RecordReader([path]), 0
        self.who: MemberId = ("", 0)
        self.view = View(0, (0, -1, 0))

    def update(self) -> bool:
        """Reads new entries; returns whether the gateway has started."""
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
    """Holds the real gateways; use it as `async with`. They serve from entry to `verdict`."""

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
        """Takes the view's `seeds` as `host:port`, its `members` including these, and its name `fleet`.

        `most` is the largest number of members.
        """
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
        """Returns the `fleet` table of one gateway's operator's file."""
        seeds = ", ".join(f'"{seed}"' for seed in self._seeds)
        host, port = self._at[name]
        return (
            f'\n[fleet]\nname = "{self._name}"\nlisten = "{host}:{port}"\nseeds = [{seeds}]\n'
            f'most = {self._most}\nrecord = "{self._record(name)}"\n'
        )

    def running(self) -> list[MemberId]:
        """Returns the identities of the gateways that have started, from their records."""
        return [record.who for record in self._records if record.update()]

    def views(self) -> set[View]:
        """Returns the views that the gateways hold now, from their records."""
        return {record.view for record in self._records if record.update()}

    def memory(self) -> int:
        """Returns the peak memory in bytes of the largest gateway."""
        for gateway in self._fleet.gateways:
            gateway.record_usage()
        return max(gateway.peak_memory_bytes for gateway in self._fleet.gateways)

    async def verdict(self) -> Verdict:
        """Stops new requests, waits until all others have ended, and returns the judge's verdict."""
        await self._fleet.settle()
        return self._fleet.verdict()
