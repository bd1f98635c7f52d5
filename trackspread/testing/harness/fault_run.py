"""One play: a fleet under load while a schedule of faults is played on it, and what its ledger says of it.

What broke a rule is kept whole where a folder is named: the schedule, to be played again, the ledger and each
gateway's log. May know: fleets, schedules, ledgers. May not know: what gateways decide, or why.
"""

from __future__ import annotations

import shutil
from collections.abc import Sequence
from pathlib import Path

import msgspec

from ..judge.ledger import RequestSent, Entry, FaultChanged
from ..judge.limit_rules import QuotaUsage, max_hard_limit_excess
from ..judge.run_history import RunHistory
from ..standins.fault_schedule import Schedule
from ..standins.rating_node import SECOND
from ..standins.scenario import Scenario
from .fleet import Fleet
from .fault_player import Player
from .membership_fleet import until_settled

NODES = 3  # to a gateway
LOAD = 0.35  # of what the nodes can do
MEMBER_LEAST = 10.0  # units sent on from which a member's own share beyond its quota says something
SPAN = 1  # s of the windows by which it is told when all is right again
AGAIN_TIMES, AGAIN_MORE = 1.5, 0.03  # of the calm share of refusals with room, and more, that still are right
AGAIN = 1000  # between the seeds of plays of one schedule
START = 10.0  # s in which a view is waited for before anybody asks
SETTLED = 2  # windows in a row that have to be


class FaultRun(msgspec.Struct, frozen=True):
    """Figures of one play. Of three: before, during and after the trouble. Shares are of all tries."""

    name: str
    seed: int
    gateways: int
    state: str  # the judge's
    broken: tuple[str, ...]
    tries: int
    late_by_halt: int  # answers that came, or would have come, too late but for a halt of their gateway
    with_room: tuple[float, float, float]
    beyond: float  # of the units sent on
    beyond_worst: float  # of the member whose share is largest
    over_ceiling: float  # of a ceiling's slack, by whoever went furthest
    lag_ms: float  # the rig's worst
    windows: tuple[float, ...]  # shares of refusals with room from the trouble's end on, each over `SPAN`

    def right_again(self, calm: float) -> float:
        """s from the trouble's end until that share stays where it is when all is calm; as long as was
        looked at where it never does."""
        right = [share <= calm * AGAIN_TIMES + AGAIN_MORE for share in self.windows]
        for at in range(len(right)):
            if all(right[at : at + SETTLED]):
                return float(at * SPAN)
        return float(len(right) * SPAN)


async def play(
    schedule: Schedule,
    keep: Path | None = None,
    command: tuple[str, ...] = ("-m", "trackspread", "run"),
    view: str | None = None,
) -> FaultRun:
    """Once, from a fleet that has just started to its end in good order. `view`: further keys of the table
    [fleet], where the gateways keep a view of their fleet."""
    scenario = Scenario(
        gateways=schedule.gateways,
        nodes=NODES * schedule.gateways,
        load=LOAD,
        greedy=0.2,
        warm=6 * SECOND,
        seed=schedule.seed,
    )
    count = schedule.gateways
    seats = 0, count // 3, 2 * count // 3  # as the pages say: not all on one side of a likely cut
    async with Fleet(scenario, command, viewed=view, seats=seats) as fleet:
        if view is not None:
            await until_settled(fleet, START)
        fleet.ask()
        await Player(fleet, schedule).play()
        await fleet.settle()
        verdict = fleet.verdict()
        if keep is not None and verdict.state == "broken":
            _keep(fleet, schedule, keep / f"{schedule.name.replace(' ', '-')}-{schedule.seed}")
        entries = fleet.ledger.entries
        history = RunHistory(scenario.world(), entries)
        usage = QuotaUsage(history)
        shares = [
            usage.over_quota_by_tenant[tenant] / units
            for tenant, units in usage.forwarded_by_tenant.items()
            if units >= MEMBER_LEAST
        ]
        return FaultRun(
            schedule.name,
            schedule.seed,
            schedule.gateways,
            verdict.state,
            tuple(f"{v.rule}: {v.text}" for v in verdict.violations),
            verdict.summary.requests,
            _late_by_halt(history),
            _rooms(entries, usage),
            verdict.summary.over_quota_share,
            max(shares, default=0.0),
            max_hard_limit_excess(history),
            verdict.summary.max_lag_ns / 1e6,
            _windows(entries, usage),
        )


async def play_clear(
    schedule: Schedule,
    tries: int,
    keep: Path | None = None,
    view: str | None = None,
) -> FaultRun:
    """Played again under other seeds while the rig lagged; the last play, if it lagged in all."""
    for number in range(tries):
        played = await play(
            msgspec.structs.replace(schedule, seed=schedule.seed + AGAIN * number), keep, view=view
        )
        if played.state != "void":
            break
    return played


def _keep(fleet: Fleet, schedule: Schedule, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    schedule.save(folder / "schedule.json")
    fleet.ledger.save(folder / "ledger.jsonl", fleet.scenario.world())
    for gateway in fleet.gateways:
        shutil.copy(gateway.log, folder)


def _trouble(entries: Sequence[Entry]) -> tuple[int, int]:
    """When it in fact began and ended."""
    on = [entry.at for entry in entries if isinstance(entry, FaultChanged)]
    return min(on), max(on)


def _rooms(entries: Sequence[Entry], usage: QuotaUsage) -> tuple[float, float, float]:
    """Refusals with room, as a share of the tries of the same time."""
    begun, ended = _trouble(entries)
    asked, refused = [0, 0, 0], [0, 0, 0]
    for entry in entries:
        if isinstance(entry, RequestSent) and not entry.is_repeat:
            asked[(entry.at >= begun) + (entry.at > ended)] += 1
    for at, room in usage.rejections:
        refused[(at >= begun) + (at > ended)] += room
    before, during, after = (r / a if a else 0.0 for r, a in zip(refused, asked, strict=True))
    return before, during, after


def _windows(entries: Sequence[Entry], usage: QuotaUsage) -> tuple[float, ...]:
    """From the trouble's end to the last request."""
    _, ended = _trouble(entries)
    asked: dict[int, int] = {}
    refused: dict[int, int] = {}
    for entry in entries:
        if isinstance(entry, RequestSent) and entry.at > ended:
            window = (entry.at - ended) // (SPAN * SECOND)
            asked[window] = asked.get(window, 0) + 1
    for at, room in usage.rejections:
        if at > ended and room:
            window = (at - ended) // (SPAN * SECOND)
            refused[window] = refused.get(window, 0) + 1
    whole = max(asked, default=0)  # the last one is none
    return tuple(refused.get(n, 0) / asked[n] if asked.get(n) else 0.0 for n in range(whole))


def _late_by_halt(history: RunHistory) -> int:
    """Requests that a halt alone excuses."""
    late = 0
    for request, asked in history.requests.items():
        plain = asked.at + asked.wait_ns + history.rules.time_tolerance_ns
        got = history.replies.get(request, [])
        ended = (
            got[0].at if got else history.disconnects[request].at if request in history.disconnects else None
        )
        late += ended is not None and ended > plain and history.reply_deadline(asked) > plain
    return late
