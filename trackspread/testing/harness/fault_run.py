"""Runs a schedule of faults on a fleet under load, and sums up what its ledger says of it.

Of a run that broke a rule the schedule, the ledger and each gateway's log are saved where a folder is named.
"""

from __future__ import annotations

import shutil
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec

from ..judge.ledger import Entry, FaultChanged, RequestSent
from ..judge.limit_rules import QuotaUsage, max_hard_limit_excess
from ..judge.run_history import RunHistory
from ..standins.fault_schedule import Schedule
from ..standins.rating_node import SECOND
from .fault_player import FaultPlayer
from .fault_scenarios import USUAL_SCENARIO
from .fleet import Fleet
from .gateway_process import RUN_COMMAND
from .membership_fleet import until_settled

NODES_PER_GATEWAY = 3
MIN_TENANT_UNITS = 10.0  # forwarded, from which a tenant's own excess share is meaningful
WINDOW_S = 1  # of the windows by which recovery is judged
RECOVERED_FACTOR, RECOVERED_MARGIN = 1.5, 0.03  # of the refusals without faults that still count as recovered
RECOVERED_WINDOWS = 2  # in a row that have to be
SEED_STEP = 1000  # between the seeds of repeated runs of one schedule
SETTLE_TIMEOUT_S = 10.0  # for the first view, before clients start


class Phases(NamedTuple):
    """A figure before, during and after the faults."""

    before: float
    during: float
    after: float


class FaultRun(msgspec.Struct, frozen=True):
    """Figures of one run.

    A refusal with quota left is one while its tenant still had at least half of its burst.
    """

    name: str
    seed: int
    gateways: int
    state: str  # the judge's
    violations: tuple[str, ...]
    requests: int
    late_by_pause: int  # requests whose answer is excused by a pause of their gateway alone
    refused_with_quota: Phases  # shares of all requests
    excess_share: float  # of the units forwarded, beyond quotas
    worst_excess_share: float  # of the tenant whose share is largest
    hard_limit_excess: float  # of a hard limit's slack, of the tenant that went furthest
    lag_ms: float  # the longest lag of the harness
    refusal_windows: tuple[float, ...]  # refused with quota left after the faults, each over `WINDOW_S`

    def recovery_s(self, share_without_faults: float) -> float:
        """The s from the faults' end until refusals with quota left are as rare as without faults.

        Where they never are, the time that was observed.
        """
        limit = share_without_faults * RECOVERED_FACTOR + RECOVERED_MARGIN
        recovered = [share <= limit for share in self.refusal_windows]
        for window in range(len(recovered)):
            if all(recovered[window : window + RECOVERED_WINDOWS]):
                return float(window * WINDOW_S)
        return float(len(recovered) * WINDOW_S)


async def play(
    schedule: Schedule,
    save_folder: Path | None = None,
    command: tuple[str, ...] = RUN_COMMAND,
    view_settings: str | None = None,
) -> FaultRun:
    """Runs a schedule once, from a fresh fleet to its shutdown.

    `save_folder`: for runs that break a rule. `view_settings`: see `Fleet`.
    """
    count = schedule.gateways
    scenario = USUAL_SCENARIO.changed(gateways=count, nodes=NODES_PER_GATEWAY * count, seed=schedule.seed)
    seeds = 0, count // 3, 2 * count // 3  # spread, so that no likely cut has all on one side
    async with Fleet(scenario, command, view_settings=view_settings, seeds=seeds) as fleet:
        if view_settings is not None:
            await until_settled(fleet, SETTLE_TIMEOUT_S)
        fleet.start_clients()
        await FaultPlayer(fleet, schedule).play()
        await fleet.settle()
        return _summary(fleet, schedule, save_folder)


async def play_until_judged(
    schedule: Schedule,
    attempts: int,
    save_folder: Path | None = None,
    view_settings: str | None = None,
) -> FaultRun:
    """Repeats a run with other seeds until the harness did not lag; the last one if it always did."""
    for number in range(attempts):
        repeated = msgspec.structs.replace(schedule, seed=schedule.seed + SEED_STEP * number)
        run = await play(repeated, save_folder, view_settings=view_settings)
        if run.state != "void":
            break
    return run


def _summary(fleet: Fleet, schedule: Schedule, save_folder: Path | None) -> FaultRun:
    verdict = fleet.verdict()
    if save_folder is not None and verdict.state == "broken":
        _save(fleet, schedule, save_folder / f"{schedule.name.replace(' ', '-')}-{schedule.seed}")
    entries = fleet.ledger.entries
    history = RunHistory(fleet.scenario.rule_parameters(), entries)
    usage = QuotaUsage(history)
    tenant_shares = [
        usage.over_quota_by_tenant[tenant] / units
        for tenant, units in usage.forwarded_by_tenant.items()
        if units >= MIN_TENANT_UNITS
    ]
    return FaultRun(
        schedule.name,
        schedule.seed,
        schedule.gateways,
        verdict.state,
        tuple(f"{violation.rule}: {violation.text}" for violation in verdict.violations),
        verdict.summary.requests,
        _late_by_pause(history),
        _refusals_by_phase(entries, usage),
        verdict.summary.over_quota_share,
        max(tenant_shares, default=0.0),
        max_hard_limit_excess(history),
        verdict.summary.max_lag_ns / 1e6,
        _refusals_by_window(entries, usage),
    )


def _save(fleet: Fleet, schedule: Schedule, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    schedule.save(folder / "schedule.json")
    fleet.ledger.save(folder / "ledger.jsonl", fleet.scenario.rule_parameters())
    for gateway in fleet.gateways:
        shutil.copy(gateway.log, folder)


def _fault_times(entries: Sequence[Entry]) -> tuple[int, int]:
    """When the first fault in fact began and the last one ended."""
    times = [entry.at for entry in entries if isinstance(entry, FaultChanged)]
    return min(times), max(times)


def _refusals_by_phase(entries: Sequence[Entry], usage: QuotaUsage) -> Phases:
    """Refusals with quota left, as a share of the requests of the same phase."""
    began, ended = _fault_times(entries)
    requests = [0, 0, 0]
    refused = [0, 0, 0]
    for entry in entries:
        if isinstance(entry, RequestSent) and not entry.is_repeat:
            requests[(entry.at >= began) + (entry.at > ended)] += 1
    for at, with_quota in usage.rejections:
        refused[(at >= began) + (at > ended)] += with_quota
    shares = [part / total if total else 0.0 for part, total in zip(refused, requests, strict=True)]
    return Phases(*shares)


def _refusals_by_window(entries: Sequence[Entry], usage: QuotaUsage) -> tuple[float, ...]:
    """Refusals with quota left in each window from the faults' end to the last complete window."""
    _, ended = _fault_times(entries)
    requests: dict[int, int] = {}
    refused: dict[int, int] = {}
    for entry in entries:
        if isinstance(entry, RequestSent) and entry.at > ended:
            window = (entry.at - ended) // (WINDOW_S * SECOND)
            requests[window] = requests.get(window, 0) + 1
    for at, with_quota in usage.rejections:
        if at > ended and with_quota:
            window = (at - ended) // (WINDOW_S * SECOND)
            refused[window] = refused.get(window, 0) + 1
    complete = max(requests, default=0)
    return tuple(
        refused.get(window, 0) / requests[window] if requests.get(window) else 0.0
        for window in range(complete)
    )


def _late_by_pause(history: RunHistory) -> int:
    late = 0
    for request, sent in history.requests.items():
        due_without_pauses = sent.at + sent.wait_ns + history.rules.time_tolerance_ns
        answers = history.replies.get(request, [])
        ended = (
            answers[0].at
            if answers
            else history.disconnects[request].at
            if request in history.disconnects
            else None
        )
        late += (
            ended is not None
            and ended > due_without_pauses
            and history.reply_deadline(sent) > due_without_pauses
        )
    return late
