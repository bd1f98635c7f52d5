"""The view on fleets of processes, with faults between them; each run is decided from its records."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from trackspread.membership.identifiers import MS
from trackspread.membership.messages import Ping
from trackspread.membership.wire import Keys, Wire
from trackspread.testing.harness import membership_fleet
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.harness.fault_player import FaultPlayer
from trackspread.testing.harness.upgradable_gateway import UpgradableGateway
from trackspread.testing.judge.membership_records import (
    MembershipRecord,
    RecordReader,
    find_grant_overlaps,
    find_view_conflicts,
)
from trackspread.testing.standins import fault_schedule
from trackspread.testing.standins.fault_schedule import (
    Cut,
    PauseCycle,
    Fault,
    Pause,
    CrashLoop,
    Restart,
    Schedule,
    draw,
)
from trackspread.testing.standins.scenario import Scenario

from ..fakes import LOCAL, command, raw_config
from .test_membership import message

pytestmark = pytest.mark.processes

MANY = 12
KEPT = Path(tempfile.gettempdir()) / "trackspread-kept"  # ledger, logs and records of a run that failed
MOST = 110.0  # s: only a hang reaches it
TRIES = 4  # of a run whose rig lagged: such a run has no verdict
START, JOIN, CRASH, HEAL = 5.0, 2.0, 4.0, 5.0  # s until all hold one view of just those that run
NAMES = [f"n{n}" for n in range(MANY)]

Work = Callable[[Fleet], Awaitable[None]]


def play(
    work: Work,
    gateways: int = MANY,
    keys: str = "",
    upgradable: bool = False,
    seeds: tuple[int, ...] = (0, 1, 2),
) -> None:
    """The rules and the records are decided on after it; one in which the rig lagged is played again."""

    async def once() -> bool:
        # A dozen that start at once take the cores for a moment: time is told less finely than elsewhere.
        scenario = Scenario(gateways=gateways, nodes=6, load=0.15, seed=5, tolerance_ns=200 * MS)
        async with Fleet(scenario, view_settings=keys, upgradable=upgradable, seeds=seeds) as fleet:
            took = await membership_fleet.until_settled(fleet, 2 * START)
            fleet.start_clients()
            await work(fleet)
            await fleet.settle()
            verdict = fleet.verdict()
            if verdict.state == "void":
                return False
            if verdict.state == "broken" or membership_fleet.check_records(fleet).inconsistencies:
                membership_fleet.save_run(fleet, KEPT)
            assert verdict.state == "kept", verdict.violations
            assert membership_fleet.check_records(fleet).inconsistencies == []
            assert took is not None and took <= START
            return True

    for _ in range(TRIES):
        if uvloop.run(asyncio.wait_for(once(), MOST)):
            return
    raise AssertionError(f"the rig lagged in each of {TRIES} runs")


async def settled(fleet: Fleet, most: float) -> None:
    took = await membership_fleet.until_settled(fleet, 2 * most)
    assert took is not None and took <= most, (
        f"took {took} s, {most} at most; {fleet.gateways[0].log_tail(3)}"
    )


async def faulty(fleet: Fleet, seconds: float, *made: Fault) -> None:
    await FaultPlayer(fleet, Schedule("test", 1, len(fleet.gateways), seconds, made)).play()


def test_crashes_joins_an_orderly_end_and_power_loss() -> None:
    async def work(fleet: Fleet) -> None:
        doors = ["{}:{}".format(*fleet.control_addresses[name]) for name in NAMES]
        status, out = await command("fleet", "view", *doors, "--wait", "5")
        assert status == 0 and out.count("settled, view") == MANY and "amiss" not in out
        status, out = await command("fleet", "view", doors[3], "--json")
        told = json.loads(out)
        assert (status, told["name"], told["standing"], told["differ"]) == (0, "n3", "settled", [])
        assert await command("fleet", "view", "127.0.0.1:9") == (2, "")
        await fleet.stop_gateways([11])
        await settled(fleet, CRASH)
        await fleet.start_gateways([11])
        await settled(fleet, JOIN)
        await fleet.stop_gateways([1, 5, 6, 7, 8])
        await settled(fleet, CRASH)
        await fleet.start_gateways([1, 5, 6, 7, 8])
        await settled(fleet, JOIN)
        await fleet.restart([9], 0.1, kill=False)
        await settled(fleet, JOIN)
        await fleet.restart(range(MANY), 0.1)
        await settled(fleet, START)
        said = [b for b in fleet.records() if b.kind == "member" and b.about["state"] == "LEFT"]
        assert {b.about["who"][0] for b in said} == {"n9"}  # type: ignore[index]

    play(work)


def test_partitions_of_all_shapes_and_processes_that_stand_still() -> None:
    async def work(fleet: Fleet) -> None:
        half, other = NAMES[:6], NAMES[6:]
        await faulty(fleet, 7.0, Cut(0.0, 7.0, fault_schedule.partition(half, other)))
        held = list(fleet.records())
        await settled(fleet, HEAL)
        # The half without a majority of seeds made no view, and knew that it holds nothing.
        last = {b.name: b for b in held if b.kind == "part"}
        assert all(last[name].about["part"] for name in half)
        assert all(
            last[name].at + int(last[name].about["lasts"]) < held[-1].at  # type: ignore[call-overload]
            for name in other
        )
        await faulty(fleet, 4.0, Cut(0.0, 4.0, fault_schedule.one_way(half[:3], NAMES)))
        await settled(fleet, HEAL)
        await faulty(fleet, 4.0, Cut(0.0, 4.0, fault_schedule.ring(NAMES)))
        await settled(fleet, HEAL)
        await faulty(fleet, 5.0, Pause(0.0, 5.0, (0,)), Pause(0.0, 5.0, (7,)))
        await settled(fleet, HEAL)

    play(work)


def test_slow_peers_are_not_taken_for_dead_and_a_crash_loop_settles() -> None:
    async def work(fleet: Fleet) -> None:
        since = fleet.records()[-1].at
        slow = (3, 7)
        await faulty(fleet, 6.0, PauseCycle(0.0, 6.0, slow, 0.3, 0.3))
        dead = [
            b for b in fleet.records() if b.at > since and b.kind == "member" and b.about["state"] == "DEAD"
        ]
        assert dead == []
        await faulty(fleet, 4.0, CrashLoop(0.0, 4.0, 2, 0.3))
        await settled(fleet, JOIN)
        three = [NAMES[n::3] for n in range(3)]
        cuts = [
            Cut(0.0, 5.0, fault_schedule.partition(three[a], three[b])) for a in range(3) for b in range(a)
        ]
        await faulty(fleet, 5.0, *cuts, Restart(2.0, 0.3, (4,)))
        await settled(fleet, HEAL)

    play(work)


def test_a_mixed_schedule(seed: int = 3) -> None:
    async def work(fleet: Fleet) -> None:
        await FaultPlayer(fleet, draw(seed, MANY, 9.0, 0.5, 1.0)).play()
        await settled(fleet, 8.0)

    play(work)


def test_a_new_version_that_takes_over_is_neither_a_crash_nor_another_gateway() -> None:
    async def work(fleet: Fleet) -> None:
        upgraded = fleet.gateways[2]
        assert isinstance(upgraded, UpgradableGateway)
        await upgraded.upgrade()
        await settled(fleet, JOIN)
        said = [b.about for b in fleet.records() if b.kind == "member"]
        states = {str(about["state"]) for about in said if about["who"][0] == "n2"}  # type: ignore[index]
        assert states and states <= {"ALIVE", "SUSPECT"}

    play(work, 4, upgradable=True)


def test_a_second_process_under_a_name_has_it_and_the_first_is_fenced_off_and_says_why() -> None:
    async def work(fleet: Fleet) -> None:
        first = fleet.gateways[3]
        listen = fleet.member_addresses["n3"]
        own = fleet.folder / "twin.toml"
        # At another port of the same host: it has no wire in between.
        own.write_text(
            fleet.fleet_table("n3")
            .replace(f'listen = "{listen[0]}:{listen[1]}"', f'listen = "{listen[0]}:{listen[1] + 1}"')
            .replace(
                'advertise = "{}:{}"'.format(*fleet.advertised_addresses["n3"]),
                f'advertise = "{listen[0]}:{listen[1] + 1}"',
            )
        )
        config = fleet.folder / "twin.json"
        at = fleet.clients.addresses[3]
        config.write_text(
            json.dumps(
                {**first.config, "listen": f"{at[0]}:0", "control": "", "peers": [], "peer_listen": None}
            )
        )
        twin = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "trackspread",
            "run",
            "--file",
            str(own),
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "ROUTER_CONFIG": str(config)},
        )
        try:
            for _ in range(100):
                fenced = [b for b in fleet.records() if b.kind == "fenced"]
                if fenced:
                    break
                await asyncio.sleep(0.1)
            assert [b.name for b in fenced] == ["n3"]
            while b"a newer process with this name" not in first.log.read_bytes():
                await asyncio.sleep(0.05)
        finally:
            twin.kill()
            await twin.wait()

    play(work, 4)


def test_junk_strangers_and_wrong_keys_are_counted_and_keys_change_in_service() -> None:
    async def work(fleet: Fleet) -> None:
        at = fleet.member_addresses["n1"]
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        wrong = Wire("test", Keys(b"another key of some length"), 8)
        ping = message(fleet="test", name="n2", created_at_ms=1 << 50, body=Ping(1, ("n1", 1)))
        for n in range(2000):
            stranger.sendto(os.urandom(n % 64), at)
            stranger.sendto(wrong.pack(ping), at)
            if n % 100 == 0:
                await asyncio.sleep(0.005)
        stranger.close()
        door = "{}:{}".format(*fleet.control_addresses["n1"])
        status, out = await command("fleet", "view", door, "--json", "--wait", "3")
        dropped = json.loads(out)["dropped"]
        assert status == 0 and dropped["digest"] > 100 and dropped["foreign"] > 100
        for stage in (
            (b"the newer key, 16 or more", b"the older key, 16 or more"),
            (b"the newer key, 16 or more", b""),
        ):
            for gateway in fleet.gateways:
                (fleet.folder / "key").write_bytes(stage[0])
                (fleet.folder / "previous").write_bytes(stage[1] or stage[0])
                gateway.signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
        await fleet.stop_gateways([0])
        await settled(fleet, CRASH)

    async def once() -> None:
        scenario = Scenario(gateways=4, nodes=3, load=0.1, seed=5)
        fleet = Fleet(scenario, view_settings="")
        fleet.view_settings = f'key = "{fleet.folder / "key"}"\nprevious = "{fleet.folder / "previous"}"'
        (fleet.folder / "key").write_bytes(b"the older key, 16 or more")
        (fleet.folder / "previous").write_bytes(b"the older key, 16 or more")
        async with fleet:
            await settled(fleet, START)
            await work(fleet)
            assert membership_fleet.check_records(fleet).inconsistencies == []

    uvloop.run(asyncio.wait_for(once(), MOST))


def test_an_address_in_use_ends_with_one_plain_line_and_exit_2(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind((LOCAL, 0))
        at = f"{LOCAL}:{taken.getsockname()[1]}"
        own, config = tmp_path / "own.toml", tmp_path / "config.json"
        own.write_text(f'[fleet]\nname = "f"\nlisten = "{at}"\nseeds = ["{at}"]\n')
        config.write_text(json.dumps(raw_config(1)))

        async def run() -> tuple[int | None, bytes]:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "trackspread",
                "run",
                "--file",
                str(own),
                stderr=asyncio.subprocess.PIPE,
                env={**os.environ, "ROUTER_CONFIG": str(config)},
            )
            _, err = await process.communicate()
            return process.returncode, err

        status, err = uvloop.run(asyncio.wait_for(run(), 20.0))
    assert status == 2 and err.decode().splitlines()[-1].startswith("trackspread: cannot listen: ")


# The checker itself: what it is there to find, it finds.


def belief(at: int, name: str, kind: str, **about: object) -> MembershipRecord:
    return MembershipRecord(at, name, 1, kind, about)


def test_records_that_do_not_fit_together_are_told(tmp_path: Path) -> None:
    one, two = (("a", 1),), (("a", 1), ("b", 1))
    view = {"number": (1, 0, 1), "parent": (0, -1, 0), "members": two}
    assert find_view_conflicts([belief(1, "a", "issued", **view), belief(2, "b", "view", **view)]) == []
    assert find_view_conflicts(
        [belief(1, "a", "view", **view), belief(2, "b", "view", **{**view, "members": one})]
    )
    assert find_view_conflicts([belief(1, "a", "issued", **view), belief(2, "b", "issued", **view)])
    assert find_view_conflicts([belief(1, "a", "issued", **{**view, "number": (1, 0, 3)})])
    half, rest = {"part": "0-511", "lasts": 10}, {"part": "512-1023", "lasts": 10}
    assert find_grant_overlaps([belief(0, "a", "part", **half), belief(5, "b", "part", **rest)], []) == (
        [],
        1.0,
    )
    over = [belief(0, "a", "part", **half), belief(5, "b", "part", part="511-1023", lasts=10)]
    assert find_grant_overlaps(over, [])[0] and find_grant_overlaps(over, [(4, "a")])[0] == []
    (tmp_path / "x").write_bytes(b'{"at":1,"name":"a","born":1,"kind":"left"}\n{"at":2,"na')
    assert [each.kind for each in RecordReader([tmp_path / "x", tmp_path / "none"]).all()] == ["left"]
