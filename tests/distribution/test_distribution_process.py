"""Tests replicas and gateways as processes with SIGKILL, SIGSTOP and partitions, by their event logs."""

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

IN_FORCE_TIMEOUT_S = 9.0
RUN_TIMEOUT_S = 110.0  # only a hang reaches it

Scenario = Callable[[ConfigurationFleet], Awaitable[None]]


def run_scenario(
    scenario: Scenario, folder: Path, gateways: int = 30, mutant: str = "", recent: int = 8192
) -> None:
    """Runs a scenario and then checks the event logs."""

    async def once() -> None:
        async with ConfigurationFleet(
            folder, gateways=gateways, mutant=mutant, recent_entries=recent
        ) as fleet:
            await scenario(fleet)
            fleet.judge()

    uvloop.run(asyncio.wait_for(once(), RUN_TIMEOUT_S))


async def put_burst(
    fleet: ConfigurationFleet,
    count: int,
    name: str = "key",
    timeout_s: float = 5.0,
    first: tuple[int, ...] | None = None,
) -> list[Version]:
    """Puts `count` changes at once; returns the versions of those that were committed.

    `first` are the replicas that are called first, in turns.
    """
    versions = await asyncio.gather(
        *(
            fleet.put(
                fleet.services[n % len(fleet.services)],
                f"{name}-{n % 37}",
                f"{name} {n} ".encode() * 12,
                timeout_s,
                first[n % len(first)] if first else None,
            )
            for n in range(count)
        )
    )
    return [each for each in versions if each is not None]


async def check_in_force(fleet: ConfigurationFleet, version: Version | None) -> None:
    """Checks that the version is in force at all gateways in time."""
    if version is None:
        raise InvariantViolated("not committed")
    if await fleet.time_until_used(version, IN_FORCE_TIMEOUT_S) is None:
        raise InvariantViolated(f"{version} is not in force everywhere after {IN_FORCE_TIMEOUT_S} s")


async def put(fleet: ConfigurationFleet, value: bytes) -> Version | None:
    return await fleet.put(fleet.services[0], "one", value)


async def kill_leader(fleet: ConfigurationFleet) -> None:
    """Kills the leader during a burst of changes."""
    pending = asyncio.create_task(put_burst(fleet, 100, timeout_s=9.0))
    await asyncio.sleep(0.05)
    await fleet.replicas[0].kill()
    await asyncio.sleep(0.5)
    fleet.elect(1)
    versions = await pending
    if len(versions) < 100:
        raise InvariantViolated(f"{len(versions)} of 100 changes are committed")
    await check_in_force(fleet, max(versions))
    await fleet.replicas[0].start()
    await check_in_force(fleet, await put(fleet, b"after"))
    await wait_for_role(fleet, 0, "follower")


async def wait_for_role(fleet: ConfigurationFleet, number: int, role: str) -> None:
    """Waits until a replica has this role, at most `IN_FORCE_TIMEOUT_S`."""
    end = time.monotonic() + IN_FORCE_TIMEOUT_S
    while (shown := await fleet.show(number)) is None or shown.role != role:
        if time.monotonic() > end:
            raise InvariantViolated(f"replica {number} is {shown and shown.role}, not {role}")
        await asyncio.sleep(0.1)


async def elect_second_leader(fleet: ConfigurationFleet) -> None:
    """Elects a leader whose messages do not reach the older leader; changes are put to both."""
    fleet.cut([2], [0], both=False)
    fleet.elect(2, notify_former=False)
    for turn in range(4):
        await put_burst(fleet, 10, f"turn-{turn}", timeout_s=2.0, first=(0, 2))
    fleet.heal()
    await check_in_force(fleet, await put(fleet, b"one leader"))


async def resume_old_leader(fleet: ConfigurationFleet) -> None:
    """Stops the leader for 3 s, after which it still acts on the lease that it had."""
    pending = asyncio.create_task(put_burst(fleet, 60, timeout_s=9.0))
    await asyncio.sleep(0.05)
    fleet.replicas[0].signal(signal.SIGSTOP)
    fleet.elect(3, notify_former=False)
    await asyncio.sleep(3.0)
    fleet.replicas[0].signal(signal.SIGCONT)
    await pending
    await check_in_force(fleet, await put(fleet, b"woken"))


async def isolate_leader_minority(fleet: ConfigurationFleet) -> None:
    """Cuts the leader and one follower off from the other three, one of which is elected."""
    fleet.cut([0, 1], [2, 3, 4])
    assert await put_burst(fleet, 10, "lost", timeout_s=1.0, first=(0,)) == []
    fleet.elect(2, notify_former=False)
    await check_in_force(fleet, await fleet.put(fleet.services[0], "one", b"kept", first=2))
    fleet.heal()
    await check_in_force(fleet, await fleet.put(fleet.services[0], "one", b"healed", first=2))


async def elect_stale_follower(fleet: ConfigurationFleet) -> None:
    """Elects a follower that has missed committed changes, and kills the leader."""
    fleet.cut([1], [0, 2, 3, 4])
    versions = await put_burst(fleet, 40)
    await check_in_force(fleet, max(versions))
    fleet.heal()
    fleet.elect(1)
    await fleet.replicas[0].kill()
    await check_in_force(fleet, await put(fleet, b"after"))


async def isolate_gateways(fleet: ConfigurationFleet) -> None:
    """Cuts gateways off, which keep their version and catch up afterwards."""
    await check_in_force(fleet, await put(fleet, b"before"))
    before = fleet.versions_in_use()
    fleet.cut_gateways(True)
    versions = await put_burst(fleet, 60)
    await asyncio.sleep(12.0)
    assert fleet.versions_in_use() == before
    fleet.cut_gateways(False)
    await check_in_force(fleet, max(versions))


async def isolate_followers(fleet: ConfigurationFleet) -> None:
    """Cuts the followers of a region off from other replicas, not from gateways, which poll elsewhere."""
    fleet.cut([1, 3], [0, 2, 4])
    await check_in_force(fleet, max(await put_burst(fleet, 30)))
    fleet.heal()
    await check_in_force(fleet, await put(fleet, b"healed"))


async def restart_gateways(fleet: ConfigurationFleet) -> None:
    """Restarts all gateways after a burst of changes."""
    versions = await put_burst(fleet, 60)
    await fleet.gateways.kill()
    await fleet.gateways.start()
    await check_in_force(fleet, max(versions))


async def lose_majority(fleet: ConfigurationFleet) -> None:
    """Restarts a majority: nothing is committed until an operator begins a new history.

    What was committed before stays.
    """
    before = await put(fleet, b"kept")
    await check_in_force(fleet, before)
    for number in (1, 2, 3):
        await fleet.replicas[number].kill()
    for number in (1, 2, 3):
        await fleet.replicas[number].start()
    fleet.elect(1)
    assert await fleet.put(fleet.services[0], "two", b"lost", timeout_s=3.0) is None
    version = await asyncio.to_thread(fleet.client().begin)
    after = await put(fleet, b"anew")
    assert before is not None and after is not None and after.history == version.history > before.history
    await check_in_force(fleet, after)


async def lose_datagrams(fleet: ConfigurationFleet) -> None:
    """Drops a tenth of all datagrams."""
    fleet.set_loss(0.1)
    await check_in_force(fleet, max(await put_burst(fleet, 100, timeout_s=9.0)))


@pytest.mark.parametrize(
    "scenario",
    [
        kill_leader,
        isolate_leader_minority,
        elect_stale_follower,
        elect_second_leader,
        resume_old_leader,
        isolate_gateways,
        isolate_followers,
        restart_gateways,
        lose_majority,
        lose_datagrams,
    ],
    ids=lambda scenario: scenario.__name__,
)
@pytest.mark.parametrize("recent", [8192, 20], ids=["deltas", "snapshots"])
def test_gateways_agree_and_committed_changes_survive(
    scenario: Scenario, recent: int, tmp_path: Path
) -> None:
    run_scenario(scenario, tmp_path, recent=recent)


MUTANTS: dict[str, tuple[Scenario, int]] = {
    "minority_commits": (lose_majority, 20),
    "old_epochs_accepted": (elect_second_leader, 20),
    "one_promise_is_enough": (elect_stale_follower, 8192),
    "accepted_counts_as_committed": (isolate_leader_minority, 20),
    "other_logs_not_requested": (elect_stale_follower, 8192),
    "tail_out_of_order": (elect_stale_follower, 8192),
    "history_number_reused": (lose_majority, 20),
    "truncated_delta_names_newest": (isolate_gateways, 8192),
    "never_changes_replica": (isolate_followers, 20),
    "replica_always_current": (isolate_followers, 20),
}
MAX_RUNS = 3  # a mutant whose fault depends on the order of two messages is not detected by each run


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_detected(name: str, tmp_path: Path) -> None:
    """Each mutant runs a scenario that passes without it."""
    scenario, recent = MUTANTS[name]
    for number in range(MAX_RUNS):
        folder = tmp_path / str(number)
        folder.mkdir()
        try:
            run_scenario(scenario, folder, mutant=name, recent=recent)
        except (InvariantViolated, AssertionError, LeaderUnavailable):
            return
    raise AssertionError(f"{name} is not detected by {MAX_RUNS} runs of {scenario.__name__}")
