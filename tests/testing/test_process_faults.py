"""Tests that schedules of faults are saved and loaded unchanged, and that the player executes them."""

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


def test_drawn_schedule_depends_on_seed_and_loads_unchanged(tmp_path: Path) -> None:
    made = [draw(seed, 6) for seed in range(60)]
    assert made == [draw(seed, 6) for seed in range(60)] and len({str(m.faults) for m in made}) == 60
    for each in made:
        each.save(tmp_path / "schedule.json")
        assert load(tmp_path / "schedule.json") == each
    kinds = {type(fault) for each in made for fault in each.faults}
    assert kinds == {Cut, DegradedNetwork, Pause, PauseCycle, Restart, CrashLoop}


def test_process_faults_are_disjoint_and_end_before_the_tail() -> None:
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
def test_player_executes_a_schedule_and_records_fault_times() -> None:
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
    blackholes: list[tuple[bool, bool]] = []

    async def play() -> list[Entry]:
        async with Fleet(Scenario(gateways=3, nodes=3, load=0.2, seed=1)) as fleet:

            async def poll_paths() -> None:
                while True:
                    forward, backward = (
                        fleet.network.path(*direction, "udp") for direction in (("n0", "n2"), ("n2", "n0"))
                    )
                    if not blackholes or blackholes[-1] != (forward.blackhole, backward.blackhole):
                        blackholes.append((forward.blackhole, backward.blackhole))
                    await asyncio.sleep(0.005)

            poll_task = asyncio.get_running_loop().create_task(poll_paths())
            await FaultPlayer(fleet, schedule).play()
            await asyncio.sleep(0.05)
            poll_task.cancel()
            return list(fleet.ledger.entries)

    entries = uvloop.run(asyncio.wait_for(play(), 60.0))
    paused, resumed = (
        next(e for e in entries if isinstance(e, kind)) for kind in (GatewayPaused, GatewayResumed)
    )
    assert paused.gateway == resumed.gateway == "n0" and resumed.at - paused.at > 0.49e9
    killed = next(e for e in entries if isinstance(e, GatewayKilled))
    back = [e for e in entries if isinstance(e, GatewayStarted) and e.gateway == "n1" and e.at > killed.at]
    assert killed.gateway == "n1" and len(back) == 1
    faulted = [(e.fault_index, e.active) for e in entries if isinstance(e, FaultChanged)]
    assert sorted(faulted) == [(n, on) for n in range(4) for on in (False, True)]
    # A direction that two faults cut is restored only after both have ended.
    assert blackholes == [(False, False), (True, True), (True, False), (False, False)]
