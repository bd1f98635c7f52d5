"""Schedules of faults: data that can be kept and played again, and a player that does what they say."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import uvloop

from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.harness.fault_player import FaultPlayer
from trackspread.testing.judge.ledger import (
    Entry,
    FaultChanged,
    GatewayPaused,
    GatewayKilled,
    GatewayResumed,
    GatewayStarted,
)
from trackspread.testing.standins import fault_schedule
from trackspread.testing.standins.fault_schedule import (
    Cut,
    PauseCycle,
    Pause,
    CrashLoop,
    Restart,
    DegradedNetwork,
    Schedule,
    draw,
    load,
)
from trackspread.testing.standins.scenario import Scenario

NAMES = ["n0", "n1", "n2", "n3"]


def test_a_drawn_schedule_hangs_on_its_seed_alone_and_reads_back_as_it_was(tmp_path: Path) -> None:
    made = [draw(seed, 6) for seed in range(60)]
    assert made == [draw(seed, 6) for seed in range(60)] and len({str(m.faults) for m in made}) == 60
    for each in made:
        each.save(tmp_path / "schedule.json")
        assert load(tmp_path / "schedule.json") == each
    kinds = {type(fault) for each in made for fault in each.faults}
    assert kinds == {Cut, DegradedNetwork, Pause, PauseCycle, Restart, CrashLoop}


def test_nobody_is_killed_or_stopped_by_two_faults_and_all_end_before_the_tail() -> None:
    for seed in range(200):
        chosen: list[int] = []
        for fault in (schedule := draw(seed, 6)).faults:
            assert fault.start_s >= 2.0 and fault.start_s + fault.duration_s <= schedule.duration_s - 4.0
            match fault:
                case Pause() | PauseCycle() | Restart():
                    chosen += fault.gateways
                case CrashLoop():
                    chosen.append(fault.gateway)
        assert len(chosen) == len(set(chosen))


def test_shapes_of_cuts() -> None:
    assert set(fault_schedule.partition(["n0"], ["n1"])) == {("n0", "n1"), ("n1", "n0")}
    assert fault_schedule.one_way(["n0"], ["n0", "n1"]) == (("n0", "n1"),)
    cut = fault_schedule.ring(NAMES)
    reached = {a: {b for b in NAMES if b != a and (a, b) not in cut} for a in NAMES}
    assert reached == {"n0": {"n2"}, "n1": {"n3"}, "n2": {"n0"}, "n3": {"n1"}}


@pytest.mark.processes
def test_the_player_does_what_a_schedule_says_and_the_ledger_has_when() -> None:
    schedule = Schedule(
        "test",
        1,
        3,
        1.5,
        (
            Pause(0.1, 0.5, (0,)),
            Restart(0.2, 0.1, (1,)),
            Cut(0.1, 0.6, fault_schedule.partition(["n0"], ["n2"])),
            Cut(0.3, 1.0, fault_schedule.one_way(["n0"], ["n2"])),
        ),
    )
    holes: list[tuple[bool, bool]] = []

    async def play() -> list[Entry]:
        async with Fleet(Scenario(gateways=3, nodes=3, load=0.2, seed=1)) as fleet:

            async def look() -> None:
                while True:
                    there, back = (fleet.network.path(*way, "udp") for way in (("n0", "n2"), ("n2", "n0")))
                    if not holes or holes[-1] != (there.blackhole, back.blackhole):
                        holes.append((there.blackhole, back.blackhole))
                    await asyncio.sleep(0.005)

            looking = asyncio.get_running_loop().create_task(look())
            await FaultPlayer(fleet, schedule).play()
            await asyncio.sleep(0.05)
            looking.cancel()
            return list(fleet.ledger.entries)

    entries = uvloop.run(asyncio.wait_for(play(), 60.0))
    halted, resumed = (
        next(e for e in entries if isinstance(e, kind)) for kind in (GatewayPaused, GatewayResumed)
    )
    assert halted.gateway == resumed.gateway == "n0" and resumed.at - halted.at > 0.49e9
    killed = next(e for e in entries if isinstance(e, GatewayKilled))
    back = [e for e in entries if isinstance(e, GatewayStarted) and e.gateway == "n1" and e.at > killed.at]
    assert killed.gateway == "n1" and len(back) == 1
    faulted = [(e.fault_index, e.active) for e in entries if isinstance(e, FaultChanged)]
    assert sorted(faulted) == [(n, on) for n in range(4) for on in (False, True)]
    # A direction that two faults cut is whole again only after both.
    assert holes == [(False, False), (True, True), (True, False), (False, False)]
