"""Tests the counter on sockets: routing, connections, a cluster that moves slots, and gateway processes."""

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
from trackspread.counter.lease_manager import Output
from trackspread.counter.quota_client import QuotaClient
from trackspread.counter.routing import Router
from trackspread.decide.events import AllocationChanged
from trackspread.decide.settings import Plan
from trackspread.decide.time_units import MILLISECOND
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
TIMEOUT_S = 30.0  # reached only if a test hangs
PLAN = Plan("team", 10.0, 10.0, 0, 1.0, 0.0, 1.0, 20.0, 20.0, 0.0)


def run(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await work

    uvloop.run(bounded())


class GatewayClient:
    """Runs one gateway's quota client on sockets."""

    def __init__(self, server: CounterServer, number: int, gateways: int, partitions: int = 4) -> None:
        settings = plain_settings(PLAN, gateway_index=number, gateway_count=gateways, has_leased_quotas=True)
        now = CLOCK()
        self.client = QuotaClient(settings, partitions, number + 1, number, now, lambda tenant: (0.0, 10.0))
        self.router = Router(
            [server.addresses[shard.number, number] for shard in server.shards],
            server.shards[0].cluster is not None,
            "ts",
            partitions,
        )
        self.events: list[AllocationChanged] = []
        self.host = CounterHost(self.client, self.router, Credentials(), "ts", number, CLOCK, self._on_event)
        self.failures: list[str] = []  # what failed, and how long after it was sent
        self._fail = self.client.manager.on_failure
        self.client.manager.on_failure = self._on_failure  # type: ignore[method-assign]

    def _on_failure(self, now: int, call_id: int) -> list[Output]:
        pending = self.client.manager._pending_calls.get(call_id)
        if pending is not None:
            self.failures.append(f"{pending.call} after {(now - pending.sent_at_ns) // MILLISECOND} ms")
        return self._fail(now, call_id)

    def _on_event(self, event: AllocationChanged) -> None:
        self.events.append(event)

    def request(self, tenant: int) -> None:
        self.host.carry_out(self.client.before_request(CLOCK(), tenant, 0, 1.0, 0, 0))

    async def until(self, is_reached: Callable[[], bool], tenants: range = range(0)) -> None:
        """Waits for a condition while the tenants send requests."""
        while not is_reached():
            await self.request_all(tenants)

    async def request_all(self, tenants: range) -> None:
        for tenant in tenants:
            self.request(tenant)
        await asyncio.sleep(0.02)

    def established_tenants(self) -> set[int]:
        return {tenant for tenant, lease in self.client.manager.leases.items() if lease.is_established}


def test_removed_server_moves_only_its_own_partitions() -> None:
    """Guards against partitions that change servers although their own server is still there."""
    servers = [("127.0.0.1", 7000 + n) for n in range(4)]
    before = [Router(servers, False, "ts", 64).server(p) for p in range(64)]
    after = [Router(servers[:3], False, "ts", 64).server(p) for p in range(64)]
    assert len(set(before)) == 4
    assert all(old == new for old, new in zip(before, after, strict=True) if old != servers[3])


def test_redirections_are_followed_to_literal_addresses_only() -> None:
    """Guards against redirections to host names, to invalid addresses, or from malformed errors."""
    router = Router([("127.0.0.1", 7000)], True, "ts", 2)
    by = ("127.0.0.1", 7000)
    assert router.redirect_target(0, ErrorReply("ASK 5 127.0.0.2:7001"), by) == (("127.0.0.2", 7001), True)
    assert router.server(0) == by
    assert router.redirect_target(0, ErrorReply("MOVED 5 :7002"), by) == (("127.0.0.1", 7002), False)
    assert router.server(0) == ("127.0.0.1", 7002) and router.is_stale
    for text in ("MOVED 5 elsewhere.example:7000", "MOVED 5", "MOVED 5 x", "ERR no", "MOVED 5 127.0.0.1:x"):
        assert router.redirect_target(0, ErrorReply(text), by) is None
    assert not Router([by], True, "ts", 2).update_cluster_map([[0, "x", []]])


def test_slot_migration_in_a_cluster_fails_no_call() -> None:
    """Guards against calls that fail, or gateways that lose the counter, while hash slots migrate."""

    async def work() -> None:
        cluster = Cluster(3)
        server = CounterServer(cluster.shards, 2, cluster)
        await server.start()
        gateways = [GatewayClient(server, number, 2) for number in range(2)]
        try:
            for gateway in gateways:
                gateway.host.start()
            tenants = range(1, 9)
            for gateway in gateways:
                while not gateway.established_tenants() >= set(tenants):
                    await gateway.request_all(tenants)
            calls = [shard.calls for shard in cluster.shards]
            cluster.migrate(range(SLOTS), 1)
            gateway = gateways[0]
            await gateway.until(
                lambda: all(
                    shard.calls > calls[shard.number] + 40 for shard in cluster.shards if shard.number == 1
                ),
                tenants,
            )
            assert set(gateway.client.manager.states(CLOCK())) <= {"sound", "rebuilding"}
            failed = gateway.client.manager.call_counts["failed"]
            assert failed == 0, f"a slot that moved must not fail a call: {gateway.failures}"
        finally:
            for gateway in gateways:
                await gateway.host.close()
            server.close()

    run(work())


def test_disconnected_gateway_uses_its_static_share_and_recovers() -> None:
    """Guards against a gateway that uses more than its static share without the counter.

    Once the counter is reachable again the gateway must get its former shares back.
    """

    async def work() -> None:
        server = CounterServer([Shard(0)], 2)
        await server.start()
        gateways = [GatewayClient(server, number, 2) for number in range(2)]
        try:
            for gateway in gateways:
                gateway.host.start()
            first = gateways[0]
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
            for gateway in gateways:
                await gateway.host.close()
            server.close()

    run(work())


def test_password_is_read_anew_for_each_connection(tmp_path: Path) -> None:
    """Guards against a connection with a wrong password, and against a changed password that is not read."""

    async def work() -> None:
        shard = Shard(0)
        shard.password = b"right"
        server = CounterServer([shard], 1)
        await server.start()
        secret = tmp_path / "secret"
        secret.write_text("wrong\n")
        connection = CounterConnection(server.addresses[0, 0], Credentials("", str(secret)), lambda: None)
        try:
            connection.start()
            await asyncio.sleep(0.1)
            assert not connection.is_ready
            secret.write_text("right\n")
            while not connection.is_ready:
                await asyncio.sleep(0.01)
            done: asyncio.Future[list[Any] | None] = asyncio.get_running_loop().create_future()
            connection.send([(b"PING",)], done.set_result)
            assert await done == [b"PONG"]
        finally:
            await connection.close()
            server.close()

    run(work())


def test_tls_verifies_both_counter_and_gateway(tmp_path: Path) -> None:
    """Guards against TLS connections without a check of the server's and the client's certificates."""
    own_ca, unknown_ca = trustme.CA(), trustme.CA()
    own_ca.cert_pem.write_to_path(tmp_path / "ca.pem")
    unknown_ca.cert_pem.write_to_path(tmp_path / "other.pem")
    own_ca.issue_cert("gateway").private_key_and_cert_chain_pem.write_to_path(tmp_path / "own.pem")

    async def connects(server: CounterServer, credentials: Credentials) -> bool:
        failed = asyncio.Event()
        connection = CounterConnection(server.addresses[0, 0], credentials, failed.set)
        connection.start()
        while not connection.is_ready and not failed.is_set():
            await asyncio.sleep(0.01)
        is_connected = connection.is_ready
        await connection.close()
        return is_connected

    async def work() -> None:
        server = CounterServer([Shard(0)], 1)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.verify_mode = ssl.CERT_REQUIRED
        own_ca.configure_trust(context)
        server.tls = context
        own_ca.issue_cert(own_address()).configure_cert(context)
        await server.start()
        try:

            def credentials(**keys: str) -> Credentials:
                lines = "".join(f'{key} = "{tmp_path / name}"\n' for key, name in keys.items())
                return counter_access(parse(f"[counter]\ntls = true\n{lines}", "f").counter)

            assert await connects(server, credentials(ca="ca.pem", certificate="own.pem"))
            assert not await connects(server, credentials(ca="other.pem", certificate="own.pem"))
        finally:
            server.close()

    run(work())


@pytest.mark.parametrize(
    "text, wanted",
    [
        (
            'servers = ["counter.example:6379"]',
            "counter.servers[0]: must be an IP address and a port, such as 127.0.0.1:6379, because names are "
            "not resolved, got 'counter.example:6379'",
        ),
        ('servers = ["127.0.0.1:0"]', "counter.servers[0]: must have a port from 1 to 65535, got port 0"),
        ('servers = ["127.0.0.1:1", "127.0.0.1:1"]', "counter.servers: must not contain a value twice"),
        ('ca = "x"', "counter.ca: must be empty if counter.tls is false, got a file"),
        ('user = "x"', "counter.password: must be a file if counter.user is set, got nothing"),
        ("partitions = 0", "counter.partitions: must be int >= 1, got 0"),
        ('prefix = "a b"', "counter.prefix: must be str matching regex '^[A-Za-z0-9_.-]{1,32}$', got 'a b'"),
    ],
)
def test_invalid_counter_settings_are_reported_in_one_line(text: str, wanted: str) -> None:
    """Guards against errors that do not name the file, the setting and the valid value."""
    with pytest.raises(ConfigError, match=r"^f: ") as caught:
        parse(f"[counter]\n{text}\n", "f")
    assert wanted in str(caught.value) and "\n" not in str(caught.value)


def test_missing_password_file_is_reported() -> None:
    """Guards against an error that does not name the setting of the missing file."""
    with pytest.raises(ConfigError, match=r"counter\.password"):
        counter_access(parse('[counter]\npassword = "/nowhere/x"\n', "f").counter)


async def _run_faults(folder: Path, verdicts: list[Verdict], capsys: pytest.CaptureFixture[str]) -> None:
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
        for inject_fault in (
            counter_faults.split,
            counter_faults.disconnect_all,
            counter_faults.replace,
            counter_faults.kill_gateway,
        ):
            await inject_fault(fleet, server, 2.0)
        tenant = fleet.clients.population.tenants[0].number
        report = json.loads(await asyncio.to_thread(ask, str(folder / "n1"), tenant))
        assert (
            report["state"] in ("sound", "doubted", "split", "lost", "rebuilding") and report["replaced"] >= 1
        )
        status = await asyncio.to_thread(main, ["quota", f"{tenant:x}", "--socket", str(folder / "n1")])
        assert status == 0 and "source of truth" in capsys.readouterr().out
        await fleet.settle()
        verdicts.append(fleet.verdict())
        hard_limit_excess, _ = quota_use.excess(fleet)
        assert hard_limit_excess <= 0.02
        assert sum(shard.calls for shard in server.shards) > 0


def test_hard_limits_hold_on_gateway_processes_under_faults(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against exceeded hard limits on real processes.

    The faults are a split, a lost and a replaced counter, and a killed gateway.
    """
    verdicts: list[Verdict] = []
    run(_run_faults(tmp_path, verdicts, capsys))
    assert verdicts[0].state != "broken", verdicts[0].violations


def test_status_socket_does_not_replace_a_file(tmp_path: Path) -> None:
    """Guards against a regular file that is removed because counter.status names its path."""
    path = tmp_path / "kept"
    path.write_text("of somebody")
    with pytest.raises(ConfigError, match=r"counter.status: must be a socket or an unused path"):
        _remove_stale_socket(str(path))
    assert path.read_text() == "of somebody"
    _remove_stale_socket(str(tmp_path / "none"))


def test_quota_command_reports_errors_in_one_line(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a traceback where no gateway listens or the tenant is invalid."""
    assert main(["quota", "7", "--socket", str(tmp_path / "none")]) == 2
    assert main(["quota", "x y", "--socket", str(tmp_path / "none")]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2 and "counter.status" in lines[0] and "must be 16 hexadecimal digits" in lines[1]
