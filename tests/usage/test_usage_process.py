"""Tests usage records on gateway processes that are killed, with a billing that loses replies."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import msgspec
import pytest
import uvloop

from trackspread.cli import main
from trackspread.testing.harness.billing_check import compare
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.standins.billing import Billing, MemoryStore
from trackspread.testing.standins.billing_server import BillingServer, take_dropped_files
from trackspread.testing.standins.scenario import Scenario
from trackspread.storage.directory import Directory
from trackspread.storage.slots import HEADER_BYTES, SLOT_BYTES
from trackspread.usage.batch import Batch, Reply, digest, encode
from trackspread.usage.control import Names
from trackspread.usage.exporter import Post
from trackspread.usage.host import UsageHost, export_all
from trackspread.usage.ledger import Bounds, State
from trackspread.usage.record import DAY_MS, NANO_PER_UNIT, Ending
from trackspread.usage.senders import FileSender, SendError, Target, make_sender

pytestmark = pytest.mark.processes

TIMEOUT_S = 60.0  # reached only if a test hangs
SECRET = b"of the tests"


async def _kill_gateways_and_compare(folder: Path) -> None:
    server = BillingServer(folder / "billing.db", SECRET)
    server.answer_loss = server.unavailable_share = 0.2
    await server.start()
    (folder / "secret").write_bytes(SECRET + b"\n")

    def operator_file(name: str) -> str:
        return (
            f'[use]\nfolder = "{folder / name}"\nbilling = "{server.url}"\nsecret = "{folder}/secret"\n'
            "batch_s = 0.1\ncommit_ms = 5\nsegment_mb = 0.05\ndisk_mb = 4\n"
        )

    rng = random.Random(5)
    async with Fleet(Scenario(gateways=2, nodes=3, load=0.6, seed=9), operator_file=operator_file) as fleet:
        fleet.start_clients()
        for _ in range(4):
            await asyncio.sleep(rng.uniform(0.2, 0.6))
            await fleet.restart([rng.randrange(2)], 0.05)
        server.stop()
        await asyncio.sleep(0.3)
        await server.start()
        goal = fleet.clients.outcome_counts["served"] + 20
        while fleet.clients.outcome_counts["served"] < goal:
            await asyncio.sleep(0.01)
        await fleet.settle()
        server.answer_loss = server.unavailable_share = 0.0
        for name in ("n0", "n1"):
            ledger = await export_all(folder / name, make_sender(Target(server.url, SECRET)), TIMEOUT_S)
            assert ledger.is_all_exported, ledger.exporter.last_error
        comparison = compare(fleet.ledger.entries, server.database.totals())
    assert server.billing.reply_counts["again"] > 0 and server.billing.reply_counts["conflict"] == 0
    assert comparison.served > 0 and (comparison.lost, comparison.doubled) == (0, 0)
    assert all(stream["sealed"] == stream["taken"] for stream in server.database.streams())
    server.close()


def test_billing_agrees_with_clients_of_killed_gateways(tmp_path: Path) -> None:
    """Guards against lost or doubled requests when gateways are killed and billing loses replies.

    Billing's totals must equal those of the clients to the unit.
    """
    uvloop.run(asyncio.wait_for(_kill_gateways_and_compare(tmp_path), TIMEOUT_S))


def _host(folder: Path) -> UsageHost:
    bounds = Bounds(64, 4, 1_000_000, 1_000_000, "fold")
    return UsageHost(folder, bounds, Names("n0", ("a",), ("p",)), time.monotonic_ns, None)


async def _wait_for_state(host: UsageHost, state: State) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while host.ledger.state is not state:
            await asyncio.sleep(0.005)


async def _run_two_hosts(folder: Path) -> None:
    first, second = _host(folder), _host(folder)
    first.start()
    await _wait_for_state(first, State.LIVE)
    second.start()
    async with asyncio.timeout(TIMEOUT_S):
        while "is in use by another process" not in second.ledger.last_error:
            await asyncio.sleep(0.005)
    second.count(Ending.SERVED, 0, 0, 0, 7, 1.0, 1)
    assert second.ledger.folded == 1, "the second process sums requests until the folder is free"
    await first.stop()
    await _wait_for_state(second, State.LIVE)
    await second.stop()
    assert second.ledger.state is State.CLOSED and second.ledger.checkpoint.epoch == 2
    assert second.ledger.checkpoint.streams[2].length == 2, "the stream has the record and the final mark"


def test_second_process_waits_without_losing_requests(tmp_path: Path) -> None:
    """Guards against two processes that write one folder, and against lost requests of the second one."""
    uvloop.run(asyncio.wait_for(_run_two_hosts(tmp_path), TIMEOUT_S))


def test_requests_are_counted_without_a_folder(tmp_path: Path) -> None:
    """Guards against a gateway that stops because its folder can't be created.

    Requests are summed in memory, and the error is kept for operators.
    """

    async def body() -> None:
        (tmp_path / "file").write_text("")
        host = _host(tmp_path / "file" / "use")
        host.start()
        async with asyncio.timeout(TIMEOUT_S):
            while not host.ledger.last_error:
                await asyncio.sleep(0.005)
        host.count(Ending.SERVED, 0, 0, 0, 7, 1.0, 1)
        assert host.ledger.folded == 1 and host.ledger.last_error == "Not a directory"
        await host.abandon()

    uvloop.run(asyncio.wait_for(body(), TIMEOUT_S))


def _post(number: int) -> Post:
    body = encode(Batch("p", "n0", 1, "s", 0, number, number, None, (), 0))
    return Post(f"s:{number}-{number}", body, digest(body))


def test_batch_files_are_accepted_once(tmp_path: Path) -> None:
    """Guards against a batch that billing stores twice after a crash between its reply and the removal."""

    async def body() -> None:
        billing, sender = Billing(MemoryStore()), FileSender(tmp_path)
        for number in (1, 2):
            sending = asyncio.create_task(sender.send(_post(number)))
            while not take_dropped_files(tmp_path, billing):
                await asyncio.sleep(0.005)
            assert await sending == Reply(number)
        # After a crash of billing between its reply and the removal the file exists again.
        (tmp_path / "in" / "s_2-2.json").write_bytes(_post(2).body)
        assert take_dropped_files(tmp_path, billing) == 1 and billing.reply_counts["taken"] == 2
        assert list((tmp_path / "in").iterdir()) == []

    uvloop.run(asyncio.wait_for(body(), TIMEOUT_S))


def test_wrong_signature_is_final_and_retry_after_is_followed(tmp_path: Path) -> None:
    """Guards against quick retries of a rejected signature, and against a Retry-After that is ignored."""

    async def body() -> None:
        server = BillingServer(tmp_path / "b.db", SECRET)
        await server.start()
        with pytest.raises(SendError, match="403") as caught:
            await make_sender(Target(server.url, b"another")).send(_post(1))
        assert caught.value.final
        server.unavailable_share = 1.0
        with pytest.raises(SendError, match="503") as caught:
            await make_sender(Target(server.url, SECRET)).send(_post(1))
        assert caught.value.retry_after_ns == 1_000_000_000 and not caught.value.final
        server.unavailable_share = 0.0
        assert await make_sender(Target(server.url, SECRET)).send(_post(1)) == Reply(1)
        server.close()

    uvloop.run(asyncio.wait_for(body(), TIMEOUT_S))


@pytest.mark.parametrize("url", ["ftp://x/y", "http:///use", "billing"])
def test_invalid_billing_url_is_rejected(url: str) -> None:
    """Guards against an invalid URL that is found only when the first batch is sent."""
    with pytest.raises(ValueError, match="must be http://HOST:PORT/PATH"):
        make_sender(Target(url))


def test_folder_is_unlocked_after_an_export(tmp_path: Path) -> None:
    """Guards against a gateway that can't start because an export kept the lock on its folder."""

    async def body() -> None:
        ledger = await export_all(tmp_path, FileSender(tmp_path / "drop"), 1.0)
        assert ledger.is_all_exported and msgspec.to_builtins(ledger.checkpoint)["streams"] == {}
        Directory(tmp_path).close()

    uvloop.run(asyncio.wait_for(body(), TIMEOUT_S))


def _run_command(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str]:
    """Returns the exit status and the output of `trackspread use`."""
    status = main(["use", *arguments])
    caught = capsys.readouterr()
    return status, caught.out + caught.err


async def _record(folder: Path, requests: int) -> None:
    host = _host(folder)
    host.start()
    await _wait_for_state(host, State.LIVE)
    for number in range(requests):
        host.count(Ending.SERVED, 0, 0, 0, 7 + number % 2, 0.5, 1)
    await host.stop()


def test_show_export_and_reconcile_agree(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against wrong totals in `show` and `reconcile`, before the export and after it."""
    folder, received = tmp_path / "n0", tmp_path / "received.json"

    async def record() -> None:
        await _record(folder, 40)

    uvloop.run(record())
    status, output = _run_command(capsys, "show", str(folder))
    assert status == 0 and "served: 40 requests, 20.000 units" in output and "n0" in output
    received.write_text("[]")
    status, output = _run_command(capsys, "reconcile", str(folder), "--received", str(received))
    assert status == 1 and "not exported yet" in output and "2 differences" in output

    billing = Billing(MemoryStore())

    async def export() -> None:
        sending = asyncio.create_task(export_all(folder, FileSender(tmp_path / "drop"), TIMEOUT_S))
        while not sending.done():
            take_dropped_files(tmp_path / "drop", billing)
            await asyncio.sleep(0.01)
        assert (await sending).is_all_exported

    uvloop.run(export())
    rows = billing.store.rows  # type: ignore[attr-defined]
    day = rows[0].time // DAY_MS
    assert len(rows) == 40 and {row.time // DAY_MS for row in rows} == {day}
    lines = [(f"{tenant:016x}", day, 1, 20, str(10 * NANO_PER_UNIT)) for tenant in (7, 8)]
    received.write_bytes(msgspec.json.encode(lines))
    status, output = _run_command(capsys, "reconcile", str(folder), "--received", str(received))
    assert status == 0 and "40 requests, 20.000 units in the journals: no differences" in output
    received.write_bytes(msgspec.json.encode(lines[:1]))
    status, output = _run_command(capsys, "reconcile", str(folder), "--received", str(received))
    assert status == 1 and "0000000000000008" in output and "billing has less than it acknowledged" in output


def test_verify_finds_damage_and_repair_rebuilds_checkpoint(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a flipped bit that `verify` misses, and a lost checkpoint that stays unusable."""
    folder = tmp_path / "n0"

    async def record() -> None:
        await _record(folder, 40)

    uvloop.run(record())
    assert _run_command(capsys, "verify", str(folder)) == (
        0,
        "40 records are valid, 0 are damaged, 0 are missing; 0 were torn by a loss of power\n",
    )
    assert "nothing to repair" in _run_command(capsys, "repair", str(folder))[1]
    for name in ("control-a", "control-b"):
        (folder / name).write_bytes(b"?" * 65_536)
    status, output = _run_command(capsys, "verify", str(folder))
    assert status == 1 and "the folder has records but no readable checkpoint" in output
    assert (
        "the checkpoint is rebuilt with 1 incarnations and 41 slots"
        in _run_command(capsys, "repair", str(folder))[1]
    )
    assert "40 records are valid" in _run_command(capsys, "verify", str(folder))[1]
    segment = next(folder.glob("use-*.log"))
    data = bytearray(segment.read_bytes())
    data[HEADER_BYTES + 3 * SLOT_BYTES + 9] ^= 1
    segment.write_bytes(data)
    status, output = _run_command(capsys, "verify", str(folder))
    assert status == 1 and "epoch 1: 1 records are damaged, the first at slot 4" in output
    assert "39 records are valid, 1 are damaged" in output, "the final mark shows that the slot was committed"
    assert _run_command(capsys, "verify", str(tmp_path / "none")) == (
        2,
        f"trackspread: {tmp_path / 'none'}: must be a gateway's use.folder, but no such folder exists\n",
    )
