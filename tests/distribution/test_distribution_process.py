"""Replicas and gateways as processes, with SIGKILL, SIGSTOP and cuts, decided from their records."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from trackspread.distribution.client import LeaderUnavailable
from trackspread.distribution.versions import Version
from trackspread.testing.harness.configuration_fleet import ConfigurationFleet
from trackspread.testing.virtual.distribution.invariants import InvariantViolated

pytestmark = pytest.mark.processes

IN_FORCE = 9.0  # s
MOST = 110.0  # s: only a hang reaches it

Work = Callable[[ConfigurationFleet], Awaitable[None]]


def play(work: Work, folder: Path, gateways: int = 30, mutant: str = "", recent: int = 8192) -> None:
    """The records are decided on after it."""

    async def once() -> None:
        async with ConfigurationFleet(
            folder, gateways=gateways, mutant=mutant, recent_entries=recent
        ) as fleet:
            await work(fleet)
            fleet.judge()

    uvloop.run(asyncio.wait_for(once(), MOST))


async def burst(
    fleet: ConfigurationFleet,
    count: int,
    name: str = "key",
    patience: float = 5.0,
    first: tuple[int, ...] | None = None,
) -> list[Version]:
    """So many changes at once; those that were committed. `first`: whom they ask first, by turns."""
    made = await asyncio.gather(
        *(
            fleet.put(
                fleet.services[n % len(fleet.services)],
                f"{name}-{n % 37}",
                f"{name} {n} ".encode() * 12,
                patience,
                first[n % len(first)] if first else None,
            )
            for n in range(count)
        )
    )
    return [each for each in made if each is not None]


async def settled(fleet: ConfigurationFleet, version: Version | None) -> None:
    """All gateways act on it in time."""
    if version is None:
        raise InvariantViolated("not committed")
    if await fleet.in_force(version, IN_FORCE) is None:
        raise InvariantViolated(f"{version} is not in force everywhere after {IN_FORCE} s")


async def put(fleet: ConfigurationFleet, value: bytes) -> Version | None:
    return await fleet.put(fleet.services[0], "one", value)


async def a_leader_is_killed(fleet: ConfigurationFleet) -> None:
    """In the middle of a burst."""
    under_way = asyncio.create_task(burst(fleet, 100, patience=9.0))
    await asyncio.sleep(0.05)
    await fleet.replicas[0].kill()
    await asyncio.sleep(0.5)
    fleet.elect(1)
    made = await under_way
    if len(made) < 100:
        raise InvariantViolated(f"{len(made)} of 100 changes are committed")
    await settled(fleet, max(made))
    await fleet.replicas[0].start()
    await settled(fleet, await put(fleet, b"after"))
    await becomes(fleet, 0, "follower")


async def becomes(fleet: ConfigurationFleet, number: int, role: str) -> None:
    """Within `IN_FORCE`."""
    end = time.monotonic() + IN_FORCE
    while (shown := await fleet.show(number)) is None or shown.role != role:
        if time.monotonic() > end:
            raise InvariantViolated(f"replica {number} is {shown and shown.role}, not {role}")
        await asyncio.sleep(0.1)


async def two_lead(fleet: ConfigurationFleet) -> None:
    """The older one does not hear the newer one; both are asked."""
    fleet.cut([2], [0], both=False)
    fleet.elect(2, notify_former=False)
    for turn in range(4):
        await burst(fleet, 10, f"turn-{turn}", patience=2.0, first=(0, 2))
    fleet.heal()
    await settled(fleet, await put(fleet, b"one leader"))


async def an_old_leader_wakes(fleet: ConfigurationFleet) -> None:
    """It stood still for 3 s, and goes on by the lease that it had."""
    under_way = asyncio.create_task(burst(fleet, 60, patience=9.0))
    await asyncio.sleep(0.05)
    fleet.replicas[0].signal(signal.SIGSTOP)
    fleet.elect(3, notify_former=False)
    await asyncio.sleep(3.0)
    fleet.replicas[0].signal(signal.SIGCONT)
    await under_way
    await settled(fleet, await put(fleet, b"woken"))


async def a_minority_goes_on(fleet: ConfigurationFleet) -> None:
    """The leader and one follower, cut off from the other three, one of which is elected."""
    fleet.cut([0, 1], [2, 3, 4])
    assert await burst(fleet, 10, "lost", patience=1.0, first=(0,)) == []
    fleet.elect(2, notify_former=False)
    await settled(fleet, await fleet.put(fleet.services[0], "one", b"kept", first=2))
    fleet.heal()
    await settled(fleet, await fleet.put(fleet.services[0], "one", b"healed", first=2))


async def a_follower_behind_leads(fleet: ConfigurationFleet) -> None:
    """It has missed what the others committed, and the leader dies."""
    fleet.cut([1], [0, 2, 3, 4])
    made = await burst(fleet, 40)
    await settled(fleet, max(made))
    fleet.heal()
    fleet.elect(1)
    await fleet.replicas[0].kill()
    await settled(fleet, await put(fleet, b"after"))


async def gateways_are_cut_off(fleet: ConfigurationFleet) -> None:
    """They go on by what they have, and take up what they missed."""
    await settled(fleet, await put(fleet, b"before"))
    before = fleet.versions_in_use()
    fleet.cut_gateways(True)
    missed = await burst(fleet, 60)
    await asyncio.sleep(12.0)
    assert fleet.versions_in_use() == before
    fleet.cut_gateways(False)
    await settled(fleet, max(missed))


async def followers_are_cut_off(fleet: ConfigurationFleet) -> None:
    """Those of one region from the other replicas, not from the gateways, which go elsewhere."""
    fleet.cut([1, 3], [0, 2, 4])
    await settled(fleet, max(await burst(fleet, 30)))
    fleet.heal()
    await settled(fleet, await put(fleet, b"healed"))


async def gateways_are_restarted(fleet: ConfigurationFleet) -> None:
    made = await burst(fleet, 60)
    await fleet.gateways.kill()
    await fleet.gateways.start()
    await settled(fleet, max(made))


async def a_majority_is_lost(fleet: ConfigurationFleet) -> None:
    """Nothing is committed until an operator begins a new history, and nothing is forgotten meanwhile."""
    before = await put(fleet, b"kept")
    await settled(fleet, before)
    for number in (1, 2, 3):
        await fleet.replicas[number].kill()
    for number in (1, 2, 3):
        await fleet.replicas[number].start()
    fleet.elect(1)
    assert await fleet.put(fleet.services[0], "two", b"lost", timeout_s=3.0) is None
    version = await asyncio.to_thread(fleet.client().begin)
    after = await put(fleet, b"anew")
    assert before is not None and after is not None and after.history == version.history > before.history
    await settled(fleet, after)


async def a_tenth_is_lost(fleet: ConfigurationFleet) -> None:
    fleet.set_loss(0.1)
    await settled(fleet, max(await burst(fleet, 100, patience=9.0)))


@pytest.mark.parametrize(
    "work",
    [
        a_leader_is_killed,
        a_minority_goes_on,
        a_follower_behind_leads,
        two_lead,
        an_old_leader_wakes,
        gateways_are_cut_off,
        followers_are_cut_off,
        gateways_are_restarted,
        a_majority_is_lost,
        a_tenth_is_lost,
    ],
    ids=lambda work: work.__name__,
)
@pytest.mark.parametrize("recent", [8192, 20], ids=["deltas", "snapshots"])
def test_all_hold_the_same_and_nothing_committed_is_lost(work: Work, recent: int, tmp_path: Path) -> None:
    play(work, tmp_path, recent=recent)


PLANTED: dict[str, tuple[Work, int]] = {
    "minority_commits": (a_majority_is_lost, 20),
    "old_epochs_accepted": (two_lead, 20),
    "one_promise_is_enough": (a_follower_behind_leads, 8192),
    "accepted_counts_as_committed": (a_minority_goes_on, 20),
    "other_logs_not_requested": (a_follower_behind_leads, 8192),
    "tail_out_of_order": (a_follower_behind_leads, 8192),
    "history_number_reused": (a_majority_is_lost, 20),
    "truncated_delta_names_newest": (gateways_are_cut_off, 8192),
    "never_changes_replica": (followers_are_cut_off, 20),
    "replica_always_current": (followers_are_cut_off, 20),
}
TRIES = 3  # a fault that hangs on which of two comes first is not told by each run


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_told(name: str, tmp_path: Path) -> None:
    """By a case that passes without it."""
    work, recent = PLANTED[name]
    for turn in range(TRIES):
        folder = tmp_path / str(turn)
        folder.mkdir()
        try:
            play(work, folder, mutant=name, recent=recent)
        except (InvariantViolated, AssertionError, LeaderUnavailable):
            return
    raise AssertionError(f"{name} is not told by {TRIES} runs of {work.__name__}")
