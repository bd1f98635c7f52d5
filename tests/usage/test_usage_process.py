"""Use records on real processes: gateways are killed, billing loses answers, and the totals agree."""

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

MOST = 60.0  # s: only a hang reaches it
SECRET = b"of the tests"


async def _killed(folder: Path) -> None:
    server = BillingServer(folder / "billing.db", SECRET)
    server.answer_loss = server.unavailable_share = 0.2
    await server.start()
    (folder / "secret").write_bytes(SECRET + b"\n")

    def own(name: str) -> str:
        return (
            f'[use]\nfolder = "{folder / name}"\nbilling = "{server.url}"\nsecret = "{folder}/secret"\n'
            "batch_s = 0.1\ncommit_ms = 5\nsegment_mb = 0.05\ndisk_mb = 4\n"
        )

    rng = random.Random(5)
    async with Fleet(Scenario(gateways=2, nodes=3, load=0.6, seed=9), operator_file=own) as fleet:
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
            ledger = await export_all(folder / name, make_sender(Target(server.url, SECRET)), MOST)
            assert ledger.is_all_exported, ledger.exporter.last_error
        told = compare(fleet.ledger.entries, server.database.totals())
    assert server.billing.reply_counts["again"] > 0 and server.billing.reply_counts["conflict"] == 0
    assert told.served > 0 and (told.lost, told.doubled) == (0, 0)
    assert all(stream["sealed"] == stream["taken"] for stream in server.database.streams())
    server.close()


def test_billing_agrees_to_the_unit_with_clients_of_gateways_that_are_killed(tmp_path: Path) -> None:
    uvloop.run(asyncio.wait_for(_killed(tmp_path), MOST))


def _host(folder: Path) -> UsageHost:
    bounds = Bounds(64, 4, 1_000_000, 1_000_000, "fold")
    return UsageHost(folder, bounds, Names("n0", ("a",), ("p",)), time.monotonic_ns, None)


async def _until(host: UsageHost, state: State) -> None:
    async with asyncio.timeout(MOST):
        while host.ledger.state is not state:
            await asyncio.sleep(0.005)


async def _twins(folder: Path) -> None:
    first, second = _host(folder), _host(folder)
    first.start()
    await _until(first, State.LIVE)
    second.start()
    async with asyncio.timeout(MOST):
        while "is in use by another process" not in second.ledger.last_error:
            await asyncio.sleep(0.005)
    second.count(Ending.SERVED, 0, 0, 0, 7, 1.0, 1)
    assert second.ledger.folded == 1, "what the second counts is kept as sums until the folder is free"
    await first.stop()
    await _until(second, State.LIVE)
    await second.stop()
    assert second.ledger.state is State.CLOSED and second.ledger.control.epoch == 2
    assert second.ledger.control.streams[2].length == 2, "the record, and the mark of a clean end"


def test_a_folder_has_one_owner_and_the_second_waits_without_losing_a_count(tmp_path: Path) -> None:
    uvloop.run(asyncio.wait_for(_twins(tmp_path), MOST))


def test_a_folder_that_cannot_be_made_stops_nothing(tmp_path: Path) -> None:
    async def body() -> None:
        (tmp_path / "file").write_text("")
        host = _host(tmp_path / "file" / "use")
        host.start()
        async with asyncio.timeout(MOST):
            while not host.ledger.last_error:
                await asyncio.sleep(0.005)
        host.count(Ending.SERVED, 0, 0, 0, 7, 1.0, 1)
        assert host.ledger.folded == 1 and host.ledger.last_error == "Not a directory"
        await host.abandon()

    uvloop.run(asyncio.wait_for(body(), MOST))


def _post(number: int) -> Post:
    body = encode(Batch("p", "n0", 1, "s", 0, number, number, None, (), 0))
    return Post(f"s:{number}-{number}", body, digest(body))


def test_dropped_files_are_taken_once_and_answered(tmp_path: Path) -> None:
    async def body() -> None:
        billing, drop = Billing(MemoryStore()), FileSender(tmp_path)
        for number in (1, 2):
            sending = asyncio.create_task(drop.send(_post(number)))
            while not take_dropped_files(tmp_path, billing):
                await asyncio.sleep(0.005)
            assert await sending == Reply(number)
        # A crash of the taker between its answer and the removal: the file is there once more.
        (tmp_path / "in" / "s_2-2.json").write_bytes(_post(2).body)
        assert take_dropped_files(tmp_path, billing) == 1 and billing.reply_counts["taken"] == 2
        assert list((tmp_path / "in").iterdir()) == []

    uvloop.run(asyncio.wait_for(body(), MOST))


def test_a_wrong_signature_is_final_and_a_busy_receiver_says_when_to_return(tmp_path: Path) -> None:
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

    uvloop.run(asyncio.wait_for(body(), MOST))


@pytest.mark.parametrize("url", ["ftp://x/y", "http:///use", "billing"])
def test_a_way_to_billing_that_is_none_is_said_so(url: str) -> None:
    with pytest.raises(ValueError, match="must be http://HOST:PORT/PATH"):
        make_sender(Target(url))


def test_the_lock_is_free_again_after_an_export(tmp_path: Path) -> None:
    async def body() -> None:
        ledger = await export_all(tmp_path, FileSender(tmp_path / "drop"), 1.0)
        assert ledger.is_all_exported and msgspec.to_builtins(ledger.control)["streams"] == {}
        Directory(tmp_path).close()

    uvloop.run(asyncio.wait_for(body(), MOST))


def _words(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, str]:
    status = main(["use", *words])
    caught = capsys.readouterr()
    return status, caught.out + caught.err


async def _recorded(folder: Path, requests: int) -> None:
    host = _host(folder)
    host.start()
    await _until(host, State.LIVE)
    for number in range(requests):
        host.count(Ending.SERVED, 0, 0, 0, 7 + number % 2, 0.5, 1)
    await host.stop()


def test_an_operator_looks_exports_and_compares(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder, received = tmp_path / "n0", tmp_path / "received.json"

    async def recorded() -> None:
        await _recorded(folder, 40)

    uvloop.run(recorded())
    status, told = _words(capsys, "show", str(folder))
    assert status == 0 and "served: 40 requests, 20.000 units" in told and "n0" in told
    received.write_text("[]")
    status, told = _words(capsys, "reconcile", str(folder), "--received", str(received))
    assert status == 1 and "not exported yet" in told and "2 differences" in told

    billing = Billing(MemoryStore())

    async def exported() -> None:
        sending = asyncio.create_task(export_all(folder, FileSender(tmp_path / "drop"), MOST))
        while not sending.done():
            take_dropped_files(tmp_path / "drop", billing)
            await asyncio.sleep(0.01)
        assert (await sending).is_all_exported

    uvloop.run(exported())
    rows = billing.store.rows  # type: ignore[attr-defined]
    day = rows[0].time // DAY_MS
    assert len(rows) == 40 and {row.time // DAY_MS for row in rows} == {day}
    lines = [(f"{member:016x}", day, 1, 20, str(10 * NANO_PER_UNIT)) for member in (7, 8)]
    received.write_bytes(msgspec.json.encode(lines))
    status, told = _words(capsys, "reconcile", str(folder), "--received", str(received))
    assert status == 0 and "40 requests, 20.000 units in the journals: no differences" in told
    received.write_bytes(msgspec.json.encode(lines[:1]))
    status, told = _words(capsys, "reconcile", str(folder), "--received", str(received))
    assert status == 1 and "0000000000000008" in told and "billing has less than it acknowledged" in told


def test_a_flipped_bit_is_found_and_a_lost_control_is_made_anew(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = tmp_path / "n0"

    async def recorded() -> None:
        await _recorded(folder, 40)

    uvloop.run(recorded())
    assert _words(capsys, "verify", str(folder)) == (
        0,
        "40 records check, 0 are damaged, 0 are missing; 0 were torn by a loss of power\n",
    )
    assert "nothing to repair" in _words(capsys, "repair", str(folder))[1]
    for name in ("control-a", "control-b"):
        (folder / name).write_bytes(b"?" * 65_536)
    status, told = _words(capsys, "verify", str(folder))
    assert status == 1 and "the folder has records but no readable checkpoint" in told
    assert "1 lives are known again, 41 places" in _words(capsys, "repair", str(folder))[1]
    assert "40 records check" in _words(capsys, "verify", str(folder))[1]
    segment = next(folder.glob("use-*.log"))
    data = bytearray(segment.read_bytes())
    data[HEADER_BYTES + 3 * SLOT_BYTES + 9] ^= 1
    segment.write_bytes(data)
    status, told = _words(capsys, "verify", str(folder))
    assert status == 1 and "epoch 1: 1 records are damaged, the first at slot 4" in told
    assert "39 records check, 1 are damaged" in told, "the mark of a clean end lies behind it"
    assert _words(capsys, "verify", str(tmp_path / "none")) == (
        2,
        f"trackspread: {tmp_path / 'none'}: found no folder, wanted a gateway's use.folder\n",
    )
