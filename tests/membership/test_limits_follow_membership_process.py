"""Limits that follow the view on fleets of processes, under load and faults; decided from records and
ledgers."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from trackspread.testing.harness import fault_run, membership_fleet
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.judge.membership_records import SLOTS, MembershipRecord, parse_slots
from trackspread.testing.judge.ledger import GatewayKilled
from trackspread.membership.identifiers import SECOND
from trackspread.testing.standins import fault_schedule
from trackspread.testing.standins.fault_schedule import Cut, Pause, Schedule

from ..fakes import command
from .test_membership_process import HEAL, MANY, MOST, TRIES, Work, faulty
from .test_membership_process import play as play_viewed

pytestmark = pytest.mark.processes

KEEP = 4  # s that a silent gateway keeps its slots for, where a test waits for that


def play(work: Work, keys: str) -> None:
    """On six gateways, with seeds on either side of the cuts played here."""
    play_viewed(work, 6, keys, seeds=(0, 2, 4))


def slots(belief: MembershipRecord) -> int:
    """How many a record says are held."""
    return parse_slots(str(belief.about["part"])).bit_count()


def held(fleet: Fleet, at: int) -> dict[str, int]:
    """Slots by gateway, as last recorded before `at`, for as long as they last."""
    made: dict[str, int] = {}
    for each in fleet.records():
        if each.kind == "part" and each.at <= at:
            made[each.name] = slots(each) if each.at + int(str(each.about["lasts"])) > at else 0
        elif each.kind in ("left", "fenced") and each.at <= at:
            made[each.name] = 0
    return made


async def whole(fleet: Fleet) -> None:
    """Until all six hold their own slots again, and together all, within the bound on a heal."""
    loop = asyncio.get_running_loop()
    end = loop.time() + HEAL
    while True:
        now = held(fleet, fleet.records()[-1].at)
        if sum(now.values()) == SLOTS and min(now.values()) >= SLOTS // 6:
            return
        assert loop.time() < end, f"of {SLOTS} slots these are held: {now}"
        await asyncio.sleep(0.1)


def first(fleet: Fleet, name: str, since: int) -> int:
    """ns after `since` until this gateway recorded that it holds something."""
    return (
        min(
            b.at for b in fleet.records() if b.kind == "part" and b.name == name and b.at > since and slots(b)
        )
        - since
    )


def test_a_killed_gateways_slots_are_back_in_use_when_its_grant_has_ended_and_its_own_at_its_return() -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.stop_gateways([5])
        killed = next(e.at for e in reversed(fleet.ledger.entries) if isinstance(e, GatewayKilled))
        await asyncio.sleep(KEEP + 2.0)
        early = held(fleet, killed + (KEEP - 1) * SECOND)
        late = held(fleet, killed + int((KEEP + 1.5) * SECOND))
        others = [f"n{n}" for n in range(5)]
        assert sum(early[name] for name in others) == SLOTS - SLOTS // 6 - 1, "its part is kept for it"
        assert sum(late[name] for name in others) == SLOTS and max(late[n] for n in others) <= 206
        await fleet.start_gateways([5])
        since = membership_fleet.started_at(fleet, [5])
        await asyncio.sleep(1.5)
        assert first(fleet, "n5", since) <= SECOND
        after = held(fleet, since + 2 * SECOND)
        assert sum(after.values()) == SLOTS and after["n5"] >= SLOTS // 6

    play(work, f"keep_s = {KEEP}")


def test_one_that_starts_anew_at_its_address_has_its_slots_at_once_one_that_ends_gives_them_back() -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.restart([3], 0.3)
        since = membership_fleet.started_at(fleet, [3])
        await asyncio.sleep(1.0)
        assert first(fleet, "n3", since) <= SECOND
        assert held(fleet, since + 2 * SECOND)["n3"] >= SLOTS // 6, "though its former self is not yet out"
        await fleet.restart([1], 4.0, kill=False)
        left = max(b.at for b in fleet.records() if b.kind == "left" and b.name == "n1")
        while_gone = held(fleet, left + 3 * SECOND)
        assert while_gone["n1"] == 0 and sum(while_gone.values()) == SLOTS

    play(work, "keep_s = 60")


def test_an_operators_word_frees_the_slots_of_one_that_is_gone_and_of_none_that_runs() -> None:
    async def forget(fleet: Fleet, name: str) -> tuple[int | None, str]:
        own = fleet.folder / "operators.toml"
        text = fleet.fleet_table("n0")
        for (
            each,
            at,
        ) in fleet.member_addresses.items():  # operators are beside the wire, which knows gateways alone
            text = text.replace("{}:{}".format(*fleet.advertised_addresses[each]), "{}:{}".format(*at))
        own.write_text(text)
        return await command("fleet", "forget", name, "--file", str(own))

    async def work(fleet: Fleet) -> None:
        await fleet.stop_gateways([5])
        assert await membership_fleet.until_settled(fleet, 6.0) is not None
        status, out = await forget(fleet, "n1")
        assert status == 1 and "n1 is in the fleet" in out
        now = held(fleet, fleet.records()[-1].at)
        before = sum(count for name, count in now.items() if name != "n5")
        status, out = await forget(fleet, "n5")
        assert status == 0 and "171 of 1024 slots are free" in out, out
        await asyncio.sleep(1.5)
        assert (before, sum(held(fleet, fleet.records()[-1].at).values())) == (SLOTS - 171, SLOTS)

    play(work, "keep_s = 600")


def test_a_stopped_gateway_that_wakes_acts_on_nothing_that_is_others_by_then() -> None:
    async def work(fleet: Fleet) -> None:
        await faulty(fleet, 8.0, Pause(0.5, 6.0, (2, 5)))
        await whole(fleet)

    play(work, "keep_s = 2")


def test_a_side_with_a_seed_goes_on_with_its_slots_and_one_without_lets_go_of_them() -> None:
    async def work(fleet: Fleet) -> None:
        sides = [["n0", "n1", "n2"], ["n4", "n5"], ["n3"]]
        cuts = [
            Cut(0.0, 6.0, fault_schedule.partition(sides[a], sides[b])) for a in range(3) for b in range(a)
        ]
        await faulty(fleet, 6.0, *cuts)
        parted = fleet.records()[-1].at
        before = held(fleet, parted - SECOND // 2)
        assert before["n3"] == 0 and all(before[name] >= SLOTS // 6 for name in sides[0] + sides[1])
        await whole(fleet)

    play(work, "keep_s = 30")


def test_halves_of_a_fleet_serve_what_there_is_room_for_and_stay_inside_the_quotas() -> None:
    names = [f"n{n}" for n in range(MANY)]
    cut = Cut(5.0, 8.0, fault_schedule.partition(names[:6], names[6:]))
    schedule = Schedule("halves", 1, MANY, 19.0, (cut,))
    run = fault_run.play_until_judged(schedule, TRIES, view_settings="")
    played = uvloop.run(asyncio.wait_for(run, TRIES * MOST))
    assert played.state == "kept", played.violations
    # Before limits followed the view: 14 to 28% and 43%, and 2.3 to 2.7% beyond quotas.
    assert played.refused_with_quota.during < 0.12 and played.refused_with_quota.after < 0.2
    assert played.excess_share < 0.04 and played.hard_limit_excess <= 1.0
