"""Tests membership on fleets of processes under faults; each run is judged by its event logs."""

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

GATEWAYS = 12
# The folder receives the ledger, logs and event logs of a run that failed.
FAILED_RUN_FOLDER = Path(tempfile.gettempdir()) / "trackspread-kept"
TIMEOUT_S = 110.0  # only a hang reaches it
ATTEMPTS = 4  # a run in which the harness lagged has no verdict and is repeated
START, JOIN, CRASH, HEAL = 5.0, 2.0, 4.0, 5.0  # s until all hold one view of exactly those that run
NAMES = [f"n{n}" for n in range(GATEWAYS)]

Work = Callable[[Fleet], Awaitable[None]]


def play(
    work: Work,
    gateways: int = GATEWAYS,
    fleet_settings: str = "",
    upgradable: bool = False,
    seeds: tuple[int, ...] = (0, 1, 2),
) -> None:
    """Runs `work` on a fleet and checks its ledger and event logs; repeats it if the harness lagged."""

    async def once() -> bool:
        # A dozen processes that start at once occupy the cores, so that times are less exact than elsewhere.
        scenario = Scenario(gateways=gateways, nodes=6, load=0.15, seed=5, tolerance_ns=200 * MS)
        async with Fleet(scenario, view_settings=fleet_settings, upgradable=upgradable, seeds=seeds) as fleet:
            settled_after_s = await membership_fleet.until_settled(fleet, 2 * START)
            fleet.start_clients()
            await work(fleet)
            await fleet.settle()
            verdict = fleet.verdict()
            if verdict.state == "void":
                return False
            if verdict.state == "broken" or membership_fleet.check_records(fleet).inconsistencies:
                membership_fleet.save_run(fleet, FAILED_RUN_FOLDER)
            assert verdict.state == "kept", verdict.violations
            assert membership_fleet.check_records(fleet).inconsistencies == []
            assert settled_after_s is not None and settled_after_s <= START
            return True

    for _ in range(ATTEMPTS):
        if uvloop.run(asyncio.wait_for(once(), TIMEOUT_S)):
            return
    raise AssertionError(f"the harness lagged in each of {ATTEMPTS} runs")


async def settled(fleet: Fleet, timeout_s: float) -> None:
    """Waits until the fleet is settled, and checks that this took at most `timeout_s`."""
    took_s = await membership_fleet.until_settled(fleet, 2 * timeout_s)
    assert took_s is not None and took_s <= timeout_s, (
        f"settling took {took_s} s, which is more than {timeout_s} s; {fleet.gateways[0].log_tail(3)}"
    )


async def play_faults(fleet: Fleet, seconds: float, *faults: Fault) -> None:
    """Plays a schedule of these faults on the fleet."""
    await FaultPlayer(fleet, Schedule("test", 1, len(fleet.gateways), seconds, faults)).play()


def test_fleet_settles_after_crashes_joins_shutdown_and_power_loss() -> None:
    """The operator's command shows all gateways settled, and only a graceful shutdown is seen as LEFT."""

    async def work(fleet: Fleet) -> None:
        admin_addresses = ["{}:{}".format(*fleet.control_addresses[name]) for name in NAMES]
        status, out = await command("fleet", "view", *admin_addresses, "--wait", "5")
        assert status == 0 and out.count("settled, view") == GATEWAYS and "problem" not in out
        status, out = await command("fleet", "view", admin_addresses[3], "--json")
        report = json.loads(out)
        assert (status, report["name"], report["standing"], report["differ"]) == (0, "n3", "settled", [])
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
        await fleet.restart(range(GATEWAYS), 0.1)
        await settled(fleet, START)
        left = [
            record
            for record in fleet.records()
            if record.kind == "member" and record.about["state"] == "LEFT"
        ]
        assert {record.about["who"][0] for record in left} == {"n9"}  # type: ignore[index]

    play(work)


def test_fleet_settles_after_partitions_and_paused_processes() -> None:
    """Partitions are by halves, one-way and in a ring; the half without a majority of seeds uses no slots."""

    async def work(fleet: Fleet) -> None:
        half, other = NAMES[:6], NAMES[6:]
        await play_faults(fleet, 7.0, Cut(0.0, 7.0, fault_schedule.partition(half, other)))
        records = list(fleet.records())
        await settled(fleet, HEAL)
        # The half without a majority of seeds issued no view, and its leases have expired.
        last = {record.name: record for record in records if record.kind == "part"}
        assert all(last[name].about["part"] for name in half)
        assert all(
            last[name].at + int(last[name].about["lasts"]) < records[-1].at  # type: ignore[call-overload]
            for name in other
        )
        await play_faults(fleet, 4.0, Cut(0.0, 4.0, fault_schedule.one_way(half[:3], NAMES)))
        await settled(fleet, HEAL)
        await play_faults(fleet, 4.0, Cut(0.0, 4.0, fault_schedule.ring(NAMES)))
        await settled(fleet, HEAL)
        await play_faults(fleet, 5.0, Pause(0.0, 5.0, (0,)), Pause(0.0, 5.0, (7,)))
        await settled(fleet, HEAL)

    play(work)


def test_slow_members_stay_alive_and_a_crash_loop_settles() -> None:
    """The fleet also settles after a partition into three parts during which a gateway restarts."""

    async def work(fleet: Fleet) -> None:
        since = fleet.records()[-1].at
        slow = (3, 7)
        await play_faults(fleet, 6.0, PauseCycle(0.0, 6.0, slow, 0.3, 0.3))
        dead = [
            record
            for record in fleet.records()
            if record.at > since and record.kind == "member" and record.about["state"] == "DEAD"
        ]
        assert dead == []
        await play_faults(fleet, 4.0, CrashLoop(0.0, 4.0, 2, 0.3))
        await settled(fleet, JOIN)
        thirds = [NAMES[n::3] for n in range(3)]
        cuts = [
            Cut(0.0, 5.0, fault_schedule.partition(thirds[a], thirds[b])) for a in range(3) for b in range(a)
        ]
        await play_faults(fleet, 5.0, *cuts, Restart(2.0, 0.3, (4,)))
        await settled(fleet, HEAL)

    play(work)


def test_fleet_settles_after_a_mixed_schedule(seed: int = 3) -> None:
    async def work(fleet: Fleet) -> None:
        await FaultPlayer(fleet, draw(seed, GATEWAYS, 9.0, 0.5, 1.0)).play()
        await settled(fleet, 8.0)

    play(work)


def test_handover_to_new_version_is_not_seen_as_crash() -> None:
    """Other members see the upgraded gateway as alive or suspected throughout, under the same name."""

    async def work(fleet: Fleet) -> None:
        upgraded = fleet.gateways[2]
        assert isinstance(upgraded, UpgradableGateway)
        await upgraded.upgrade()
        await settled(fleet, JOIN)
        updates = [record.about for record in fleet.records() if record.kind == "member"]
        states = {str(about["state"]) for about in updates if about["who"][0] == "n2"}  # type: ignore[index]
        assert states and states <= {"ALIVE", "SUSPECT"}

    play(work, 4, upgradable=True)


def test_second_process_with_a_name_fences_the_first() -> None:
    """The first process logs why it is fenced."""

    async def work(fleet: Fleet) -> None:
        first = fleet.gateways[3]
        listen = fleet.member_addresses["n3"]
        file = fleet.folder / "second.toml"
        # The second process is at another port of the same host, without a simulated network between them.
        file.write_text(
            fleet.fleet_table("n3")
            .replace(f'listen = "{listen[0]}:{listen[1]}"', f'listen = "{listen[0]}:{listen[1] + 1}"')
            .replace(
                'advertise = "{}:{}"'.format(*fleet.advertised_addresses["n3"]),
                f'advertise = "{listen[0]}:{listen[1] + 1}"',
            )
        )
        config = fleet.folder / "second.json"
        address = fleet.clients.addresses[3]
        config.write_text(
            json.dumps(
                {
                    **first.config,
                    "listen": f"{address[0]}:0",
                    "control": "",
                    "peers": [],
                    "peer_listen": None,
                }
            )
        )
        second = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "trackspread",
            "run",
            "--file",
            str(file),
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "ROUTER_CONFIG": str(config)},
        )
        try:
            for _ in range(100):
                fenced = [record for record in fleet.records() if record.kind == "fenced"]
                if fenced:
                    break
                await asyncio.sleep(0.1)
            assert [record.name for record in fenced] == ["n3"]
            while b"a newer process with this name" not in first.log.read_bytes():
                await asyncio.sleep(0.05)
        finally:
            second.kill()
            await second.wait()

    play(work, 4)


def test_invalid_datagrams_are_counted_and_keys_change_in_service() -> None:
    """A sender without the key floods a gateway; then the fleet changes its key through the previous key."""

    async def work(fleet: Fleet) -> None:
        address = fleet.member_addresses["n1"]
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        wrong_key_wire = Wire("test", Keys(b"another key of some length"), 8)
        ping = message(fleet="test", name="n2", created_at_ms=1 << 50, body=Ping(1, ("n1", 1)))
        for n in range(2000):
            sender.sendto(os.urandom(n % 64), address)
            sender.sendto(wrong_key_wire.pack(ping), address)
            if n % 100 == 0:
                await asyncio.sleep(0.005)
        sender.close()
        admin_address = "{}:{}".format(*fleet.control_addresses["n1"])
        status, out = await command("fleet", "view", admin_address, "--json", "--wait", "3")
        dropped = json.loads(out)["dropped"]
        assert status == 0 and dropped["digest"] > 100 and dropped["foreign"] > 100
        for current, previous in (
            (b"the newer key, 16 or more", b"the older key, 16 or more"),
            (b"the newer key, 16 or more", b""),
        ):
            for gateway in fleet.gateways:
                (fleet.folder / "key").write_bytes(current)
                (fleet.folder / "previous").write_bytes(previous or current)
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

    uvloop.run(asyncio.wait_for(once(), TIMEOUT_S))


def test_address_in_use_gives_error_line_and_status_2(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used:
        used.bind((LOCAL, 0))
        address = f"{LOCAL}:{used.getsockname()[1]}"
        file, config = tmp_path / "own.toml", tmp_path / "config.json"
        file.write_text(f'[fleet]\nname = "f"\nlisten = "{address}"\nseeds = ["{address}"]\n')
        config.write_text(json.dumps(raw_config(1)))

        async def run() -> tuple[int | None, bytes]:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "trackspread",
                "run",
                "--file",
                str(file),
                stderr=asyncio.subprocess.PIPE,
                env={**os.environ, "ROUTER_CONFIG": str(config)},
            )
            _, err = await process.communicate()
            return process.returncode, err

        status, err = uvloop.run(asyncio.wait_for(run(), 20.0))
    assert status == 2 and err.decode().splitlines()[-1].startswith("trackspread: cannot listen: ")


def make_record(at: int, name: str, kind: str, **about: object) -> MembershipRecord:
    """Returns a record of a process that was created at 1 ms."""
    return MembershipRecord(at, name, 1, kind, about)


def test_checker_finds_contradictory_records(tmp_path: Path) -> None:
    """The checker finds conflicting views and overlapping grants, and reads files with an incomplete line."""
    one, two = (("a", 1),), (("a", 1), ("b", 1))
    view = {"number": (1, 0, 1), "parent": (0, -1, 0), "members": two}
    issued = make_record(1, "a", "issued", **view)
    assert find_view_conflicts([issued, make_record(2, "b", "view", **view)]) == []
    assert find_view_conflicts(
        [make_record(1, "a", "view", **view), make_record(2, "b", "view", **{**view, "members": one})]
    )
    assert find_view_conflicts([make_record(1, "a", "issued", **view), make_record(2, "b", "issued", **view)])
    assert find_view_conflicts([make_record(1, "a", "issued", **{**view, "number": (1, 0, 3)})])
    half, rest = {"part": "0-511", "lasts": 10}, {"part": "512-1023", "lasts": 10}
    grants = [make_record(0, "a", "part", **half), make_record(5, "b", "part", **rest)]
    assert find_grant_overlaps(grants, []) == (
        [],
        1.0,
    )
    over = [make_record(0, "a", "part", **half), make_record(5, "b", "part", part="511-1023", lasts=10)]
    assert find_grant_overlaps(over, [])[0] and find_grant_overlaps(over, [(4, "a")])[0] == []
    (tmp_path / "x").write_bytes(b'{"at":1,"name":"a","born":1,"kind":"left"}\n{"at":2,"na')
    assert [each.kind for each in RecordReader([tmp_path / "x", tmp_path / "none"]).all()] == ["left"]
