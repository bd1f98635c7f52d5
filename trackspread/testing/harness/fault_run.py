"""Runs a schedule of faults on a fleet under load and computes figures of the run from its ledger.

If a folder is given, the schedule, the ledger and each gateway's log of a run that broke a rule are saved
there.
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
MIN_TENANT_UNITS = 10.0  # fewest forwarded units for which a tenant's excess share is meaningful
WINDOW_S = 1  # length of the windows by which recovery is judged
RECOVERED_FACTOR, RECOVERED_MARGIN = (
    1.5,
    0.03,
)  # limit on recovered refusals, relative to those without faults
RECOVERED_WINDOWS = 2  # consecutive windows below the limit that count as recovery
SEED_STEP = 1000  # difference between the seeds of repeated runs of one schedule
SETTLE_TIMEOUT_S = 10.0  # wait for the first view before clients start


class Phases(NamedTuple):
    """Holds a figure before, during and after the faults."""

    before: float
    during: float
    after: float


class FaultRun(msgspec.Struct, frozen=True):
    """Holds figures of one run.

    A refusal counts as one with quota left if its tenant had at least half of its burst available.
    """

    name: str
    seed: int
    gateways: int
    state: str  # the judge's verdict
    violations: tuple[str, ...]
    requests: int
    late_by_pause: int  # requests whose answer is excused by a pause of their gateway alone
    refused_with_quota: Phases  # shares of all requests
    excess_share: float  # share of the forwarded units that was beyond quotas
    worst_excess_share: float  # the largest share of one tenant
    hard_limit_excess: float  # largest excess of one tenant, as a share of its slack
    lag_ms: float  # the longest lag of the harness
    refusal_windows: tuple[float, ...]  # shares refused with quota left after the faults

    def recovery_s(self, share_without_faults: float) -> float:
        """Returns the s from the faults' end until refusals with quota left are as rare as without faults.

        If they never are, the result is the observed time.
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

    Runs that break a rule are saved in `save_folder`. `Fleet` explains `view_settings`.
    """
    count = schedule.gateways
    scenario = USUAL_SCENARIO.changed(gateways=count, nodes=NODES_PER_GATEWAY * count, seed=schedule.seed)
    seeds = 0, count // 3, 2 * count // 3  # spread so that a cut is unlikely to have all on one side
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
    """Repeats a run with other seeds until the harness did not lag; returns the last run if it always did."""
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
    """Returns when the first fault actually began and the last one ended."""
    times = [entry.at for entry in entries if isinstance(entry, FaultChanged)]
    return min(times), max(times)


def _refusals_by_phase(entries: Sequence[Entry], usage: QuotaUsage) -> Phases:
    """Returns refusals with quota left as a share of the requests of the same phase."""
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
    """Returns the share of refusals with quota left in each complete window after the faults."""
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
    """Returns the number of requests whose late end only a pause of their gateway excuses."""
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
