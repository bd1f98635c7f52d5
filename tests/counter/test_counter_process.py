"""The counter on sockets: routes, connections, a cluster that moves, and gateways as processes."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
import trustme
import uvloop

from trackspread.cli import main
from trackspread.clock import Clock
from trackspread.commands.quota import ask
from trackspread.config.addresses import ConfigError
from trackspread.config.operator import parse
from trackspread.counter.commands import ErrorReply
from trackspread.counter.host import CounterHost
from trackspread.counter.connection import CounterConnection, Credentials
from trackspread.counter.quota_client import QuotaClient
from trackspread.counter.routing import Router
from trackspread.decide.events import AllocationChanged
from trackspread.decide.settings import Plan
from trackspread.testing.harness import counter_faults, quota_use
from trackspread.testing.judge.verdict import Verdict
from trackspread.node.quota_counter_part import _remove_stale_socket, counter_access
from trackspread.testing.standins.counter import SLOTS, Cluster, Shard
from trackspread.testing.standins.counter_server import CounterServer
from trackspread.testing.standins.loopback import own_address
from trackspread.testing.standins.scenario import Scenario
from trackspread.testing.virtual.plain_settings import plain_settings

pytestmark = pytest.mark.processes

CLOCK = Clock()
MOST = 30.0  # s: only a hang reaches it
PLAN = Plan("team", 10.0, 10.0, 0, 1.0, 0.0, 1.0, 20.0, 20.0, 0.0)


def run(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(MOST):
            await work

    uvloop.run(bounded())


class Side:
    """One gateway's quota client on sockets; `until` waits for a right that fits."""

    def __init__(self, server: CounterServer, number: int, gateways: int, partitions: int = 4) -> None:
        settings = plain_settings(PLAN, gateway_index=number, gateway_count=gateways, has_leased_quotas=True)
        now = CLOCK()
        self.client = QuotaClient(settings, partitions, number + 1, number, now, lambda member: (0.0, 10.0))
        self.routes = Router(
            [server.addresses[shard.number, number] for shard in server.shards],
            server.shards[0].cluster is not None,
            "ts",
            partitions,
        )
        self.events: list[AllocationChanged] = []
        self.host = CounterHost(self.client, self.routes, Credentials(), "ts", number, CLOCK, self._told)

    def _told(self, event: AllocationChanged) -> None:
        self.events.append(event)

    def ask(self, member: int) -> None:
        self.host.carry_out(self.client.before_request(CLOCK(), member, 0, 1.0, 0, 0))

    async def until(self, fits: Callable[[], bool], members: range = range(0)) -> None:
        """Asks for the members meanwhile, as their clients would."""
        while not fits():
            await self.ask_all(members)

    async def ask_all(self, members: range) -> None:
        for member in members:
            self.ask(member)
        await asyncio.sleep(0.02)

    def known(self) -> set[int]:
        return {member for member, held in self.client.manager.leases.items() if held.is_established}


def test_partitions_lie_where_rendezvous_puts_them_and_few_move_with_a_server() -> None:
    servers = [("127.0.0.1", 7000 + n) for n in range(4)]
    before = [Router(servers, False, "ts", 64).server(p) for p in range(64)]
    after = [Router(servers[:3], False, "ts", 64).server(p) for p in range(64)]
    assert len(set(before)) == 4
    assert all(old == new for old, new in zip(before, after, strict=True) if old != servers[3])


def test_redirections_are_followed_to_literal_addresses_alone() -> None:
    routes = Router([("127.0.0.1", 7000)], True, "ts", 2)
    by = ("127.0.0.1", 7000)
    assert routes.redirect_target(0, ErrorReply("ASK 5 127.0.0.2:7001"), by) == (("127.0.0.2", 7001), True)
    assert routes.server(0) == by
    assert routes.redirect_target(0, ErrorReply("MOVED 5 :7002"), by) == (("127.0.0.1", 7002), False)
    assert routes.server(0) == ("127.0.0.1", 7002) and routes.is_stale
    for wrong in ("MOVED 5 elsewhere.example:7000", "MOVED 5", "MOVED 5 x", "ERR no", "MOVED 5 127.0.0.1:x"):
        assert routes.redirect_target(0, ErrorReply(wrong), by) is None
    assert not Router([by], True, "ts", 2).update_cluster_map([[0, "x", []]])


def test_two_gateways_share_members_over_a_cluster_whose_slots_move() -> None:
    async def work() -> None:
        cluster = Cluster(3)
        server = CounterServer(cluster.shards, 2, cluster)
        await server.start()
        sides = [Side(server, number, 2) for number in range(2)]
        try:
            for side in sides:
                side.host.start()
            members = range(1, 9)
            for side in sides:
                while not side.known() >= set(members):
                    await side.ask_all(members)
            calls = [shard.calls for shard in cluster.shards]
            cluster.migrate(range(SLOTS), 1)
            side = sides[0]
            await side.until(
                lambda: all(
                    shard.calls > calls[shard.number] + 40 for shard in cluster.shards if shard.number == 1
                ),
                members,
            )
            assert set(side.client.manager.states(CLOCK())) <= {"sound", "rebuilding"}
            failed = side.client.manager.call_counts["failed"]
            assert failed == 0, "a slot that moved must not fail a call"
        finally:
            for side in sides:
                await side.host.close()
            server.close()

    run(work())


def test_a_gateway_whose_counter_is_cut_falls_to_its_even_slice_and_comes_back() -> None:
    async def work() -> None:
        server = CounterServer([Shard(0)], 2)
        await server.start()
        sides = [Side(server, number, 2) for number in range(2)]
        try:
            for side in sides:
                side.host.start()
            first = sides[0]
            await first.until(
                lambda: bool(first.events) and first.events[-1].hard_limit_share > 0.7, range(7, 8)
            )
            server.disconnect({0})
            await first.until(lambda: first.events[-1].hard_limit_share == 0.5, range(7, 8))
            assert 0.25 <= first.events[-1].quota_share < 1.0
            server.end_faults()
            await first.until(lambda: first.events[-1].quota_share == 1.0, range(7, 8))
            await first.until(lambda: first.events[-1].hard_limit_share > 0.7, range(7, 8))
        finally:
            for side in sides:
                await side.host.close()
            server.close()

    run(work())


def test_a_password_is_read_anew_and_a_wrong_one_is_no_connection(tmp_path: Path) -> None:
    async def work() -> None:
        shard = Shard(0)
        shard.password = b"right"
        server = CounterServer([shard], 1)
        await server.start()
        secret = tmp_path / "secret"
        secret.write_text("wrong\n")
        link = CounterConnection(server.addresses[0, 0], Credentials("", str(secret)), lambda: None)
        try:
            link.start()
            await asyncio.sleep(0.1)
            assert not link.is_ready
            secret.write_text("right\n")
            while not link.is_ready:
                await asyncio.sleep(0.01)
            done: asyncio.Future[list[Any] | None] = asyncio.get_running_loop().create_future()
            link.send([(b"PING",)], done.set_result)
            assert await done == [b"PONG"]
        finally:
            await link.close()
            server.close()

    run(work())


def test_a_counter_over_tls_is_checked_and_so_is_who_speaks_to_it(tmp_path: Path) -> None:
    own, stranger = trustme.CA(), trustme.CA()
    own.cert_pem.write_to_path(tmp_path / "ca.pem")
    stranger.cert_pem.write_to_path(tmp_path / "other.pem")
    own.issue_cert("gateway").private_key_and_cert_chain_pem.write_to_path(tmp_path / "own.pem")

    async def reached(server: CounterServer, told: Credentials) -> bool:
        failed = asyncio.Event()
        link = CounterConnection(server.addresses[0, 0], told, failed.set)
        link.start()
        while not link.is_ready and not failed.is_set():
            await asyncio.sleep(0.01)
        found = link.is_ready
        await link.close()
        return found

    async def work() -> None:
        server = CounterServer([Shard(0)], 1)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.verify_mode = ssl.CERT_REQUIRED
        own.configure_trust(context)
        server.tls = context
        own.issue_cert(own_address()).configure_cert(context)
        await server.start()
        try:

            def table(**keys: str) -> Credentials:
                made = "".join(f'{key} = "{tmp_path / name}"\n' for key, name in keys.items())
                return counter_access(parse(f"[counter]\ntls = true\n{made}", "f").counter)

            assert await reached(server, table(ca="ca.pem", certificate="own.pem"))
            assert not await reached(server, table(ca="other.pem", certificate="own.pem"))
        finally:
            server.close()

    run(work())


@pytest.mark.parametrize(
    "text, wanted",
    [
        (
            'servers = ["counter.example:6379"]',
            "counter.servers[0]: found 'counter.example:6379', wanted an a",
        ),
        ('servers = ["127.0.0.1:0"]', "counter.servers[0]: found port 0"),
        ('servers = ["127.0.0.1:1", "127.0.0.1:1"]', "counter.servers: found one twice"),
        ('ca = "x"', "counter.ca: found a file, wanted none or counter.tls = true"),
        ('user = "x"', "counter.password: found nothing, wanted a file"),
        ("partitions = 0", "counter.partitions: found 0"),
        ('prefix = "a b"', "counter.prefix: found 'a b'"),
    ],
)
def test_mistakes_in_the_table_are_one_line(text: str, wanted: str) -> None:
    with pytest.raises(ConfigError, match=r"^f: ") as found:
        parse(f"[counter]\n{text}\n", "f")
    assert wanted in str(found.value) and "\n" not in str(found.value)


def test_a_file_that_is_not_there_is_told() -> None:
    with pytest.raises(ConfigError, match=r"counter\.password"):
        counter_access(parse('[counter]\npassword = "/nowhere/x"\n', "f").counter)


async def _troubled(folder: Path, found: list[Verdict], capsys: pytest.CaptureFixture[str]) -> None:
    scenario = Scenario(gateways=3, nodes=6, max_tenants=30, load=0.4, greedy_share=0.5, seed=4)
    async with counter_faults.fleet_with_counter(
        scenario, counter_settings=lambda name: f'status = "{folder / name}"'
    ) as (
        fleet,
        server,
    ):
        fleet.start_clients()
        while fleet.clients.outcome_counts["served"] < 20:
            await asyncio.sleep(0.02)
        for trouble in (
            counter_faults.split,
            counter_faults.disconnect_all,
            counter_faults.replace,
            counter_faults.kill_gateway,
        ):
            await trouble(fleet, server, 2.0)
        member = fleet.clients.population.tenants[0].number
        told = json.loads(await asyncio.to_thread(ask, str(folder / "n1"), member))
        assert told["state"] in ("sound", "doubted", "split", "lost", "rebuilding") and told["replaced"] >= 1
        status = await asyncio.to_thread(main, ["quota", f"{member:x}", "--socket", str(folder / "n1")])
        assert status == 0 and "source of truth" in capsys.readouterr().out
        await fleet.settle()
        found.append(fleet.verdict())
        ceiling, _ = quota_use.excess(fleet)
        assert ceiling <= 0.02
        assert sum(shard.calls for shard in server.shards) > 0


def test_ceilings_hold_on_real_gateways_through_split_cut_replacement_and_kill(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    found: list[Verdict] = []
    run(_troubled(tmp_path, found, capsys))
    assert found[0].state != "broken", found[0].violations


def test_the_status_path_must_not_hide_a_file(tmp_path: Path) -> None:
    path = tmp_path / "kept"
    path.write_text("of somebody")
    with pytest.raises(ConfigError, match=r"counter.status: must be a socket or an unused path"):
        _remove_stale_socket(str(path))
    assert path.read_text() == "of somebody"
    _remove_stale_socket(str(tmp_path / "none"))


def test_asking_where_no_gateway_listens_is_one_line(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["quota", "7", "--socket", str(tmp_path / "none")]) == 2
    assert main(["quota", "x y", "--socket", str(tmp_path / "none")]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2 and "counter.status" in lines[0] and "wanted 16 hexadecimal digits" in lines[1]
