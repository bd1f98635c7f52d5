"""Tests how usage records are counted, stored and exported under seeded crashes and faults in simulation."""

from __future__ import annotations

import random
from datetime import UTC, datetime

import msgspec
import pytest

from trackspread.testing.standins.billing import Billing, MemoryStore
from trackspread.storage.slots import Scan
from trackspread.usage import meter as meters
from trackspread.usage.batch import Batch, decode, digest, encode, is_signature_valid, rows, signature
from trackspread.usage.control import (
    AREA_SIZE,
    MAX_STREAMS,
    Checkpoint,
    Intent,
    Names,
    Part,
    Stream,
    newest,
    pack,
)
from trackspread.usage.exporter import Exporter, continuation_stream_id
from trackspread.usage.ledger import Bounds, State
from trackspread.usage.meter import Meter, month_start
from trackspread.usage.record import NANO_PER_UNIT, Ending, Kind, UsageRecord, to_nano_units, unpack
from trackspread.usage.record import pack as pack_record
from trackspread.testing.virtual.usage.world import MILLISECOND, SECOND, World
from trackspread.testing.virtual.usage.schedules import ENDS, FAULTS, make, play
from trackspread.testing.virtual.usage.disk import Disk

BOUNDS = Bounds(16, 8, 10 * MILLISECOND, 100 * MILLISECOND, "fold")
RECORD = UsageRecord(
    Kind.USE, Ending.SERVED, 1, 2, 3, 4, 1, 1_700_000_000_123, 0x1FFFFFFFF, to_nano_units(2.25)
)


def _ms(text: str) -> int:
    return int(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp() * 1000)


# With the last seed, a batch of an earlier incarnation hid the slots that billing was asked about again.
@pytest.mark.parametrize("seed", [*range(60), 1_000_431])
def test_billing_gets_each_request_exactly_once(seed: int) -> None:
    """Guards against requests that billing has twice, or that are missing without a permitted reason."""
    schedule = make(seed)
    assert play(schedule)[0] == [], str(schedule)


def test_schedules_cover_every_end_and_every_fault() -> None:
    """Guards against an end of a process, a fault or a policy that no schedule contains."""
    schedules = [make(seed) for seed in range(200)]
    assert {end for each in schedules for end in each.ends} == set(ENDS)
    assert {name for each in schedules for faults in each.faults for name in faults} == set(FAULTS)
    assert {each.bounds.when_full for each in schedules} == {"fold", "drop"}


def test_simulation_is_deterministic_for_a_seed() -> None:
    """Guards against schedules that can't be repeated from their seed."""
    first, second = (play(make(12))[1] for _ in range(2))
    assert first.memory.rows == second.memory.rows != [] and first.alarms == second.alarms


def test_record_round_trip_is_exact() -> None:
    """Guards against rounded units, and against records of unknown kinds that are accepted."""
    assert unpack(pack_record(*RECORD)) == RECORD and len(pack_record(*RECORD)) == 40
    assert unpack(pack_record(*RECORD._replace(kind=9))) is None
    assert to_nano_units(0.1) + to_nano_units(0.2) == to_nano_units(0.3) == 300_000_000
    assert to_nano_units(999_999.123456789) == 999_999_123_456_789


def test_clock_set_back_does_not_reopen_a_month() -> None:
    """Guards against records in a month that has ended, after the clock was set back across its end.

    Within a month the clock is followed in both directions.
    """
    meter, end = Meter(), _ms("2026-11-01")
    assert meter.stamp(end - 1) == end - 1 and meter.stamp(end + 5000) == end + 5000
    assert meter.stamp(end - 1) == end == month_start(end + 5000) and meter.clamped == 1
    assert meter.stamp(end + 4000) == end + 4000, "within the month the clock is followed"
    later = Meter()
    later.month_start_ms = end  # as the checkpoint of an earlier incarnation states it
    assert later.stamp(end - 60_000) == end
    assert month_start(_ms("2028-03-01") - 1) == _ms("2028-02-01")


def test_requests_past_the_limit_of_sums_are_unattributed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unlimited memory for sums, and against requests past the limit that are not counted."""
    monkeypatch.setattr(meters, "MAX_SUMS", 2)
    meter = Meter()
    for tenant in (1, 2, 3, 3, 1):
        meter.fold(RECORD._replace(tenant=tenant))
    written = []
    while (record := meter.oldest_sum()) is not None:
        written.append((record.kind, record.tenant, record.requests, record.nano_units))
        meter.subtract_written(record)
    one = RECORD.nano_units
    assert written == [(Kind.SUM, 1, 2, 2 * one), (Kind.SUM, 2, 1, one), (Kind.UNATTRIBUTED, 0, 2, 2 * one)]
    assert meter.unattributed == 2 and not meter.sums


def test_large_sum_is_written_as_several_records() -> None:
    """Guards against a sum that overflows the fields of one record."""
    meter = Meter()
    for _ in range(3):
        meter.fold(RECORD._replace(nano_units=0xFFFFFFFFFFFFFFFF))
    total, parts = 0, 0
    while (record := meter.oldest_sum()) is not None:
        total, parts = total + record.nano_units, parts + 1
        meter.subtract_written(record)
    assert total == 3 * 0xFFFFFFFFFFFFFFFF and parts == 3


def test_newest_valid_copy_of_the_checkpoint_is_used() -> None:
    """Guards against a torn or older copy of the checkpoint that is preferred to a valid newer one."""
    old, new = Checkpoint("p", generation=4), Checkpoint("p", generation=5)
    best, index, errors, newer = newest([pack(new), pack(old)])
    assert best == new and (index, errors, newer) == (0, [], False)
    best, index, errors, _ = newest([pack(new)[:-9], pack(old)])
    assert best == old and index == 1 and len(errors) == 1
    assert newest([bytes(100), bytes(100)]) == (None, 0, [], False)


def test_largest_checkpoint_fits_its_area() -> None:
    """Guards against a checkpoint that is too large to save when `MAX_STREAMS` streams wait for export."""
    names = [Names("gateway", ("c" * 40,) * 10, ("p" * 40,) * 10)] * 16
    stream = Stream("f" * 32, 65536, 15, [Part(1, "f" * 32)] * 2, 10**9, 10**9, 10**5, False)
    checkpoint = Checkpoint(
        "f" * 32,
        10**9,
        10**7,
        10**13,
        names,
        dict.fromkeys(range(MAX_STREAMS), stream),
        Intent(10**7, 10**9, 10**9, None, "f" * 64),
        {"dropped": 10**9},
    )
    assert len(pack(checkpoint)) < AREA_SIZE


def test_unused_names_are_removed_from_the_checkpoint() -> None:
    """Guards against a checkpoint that grows with names of removed streams."""
    checkpoint = Checkpoint("p", names=[Names("a", (), ()), Names("b", (), ())])
    checkpoint.streams[1] = Stream("", 1, 1, [])
    assert checkpoint.names_index(Names("c", (), ())) == 1 and checkpoint.streams[1].names == 0
    assert [names.gateway for names in checkpoint.names] == ["b", "c"]


def _batch(first: int, last: int, length: int | None = None, stream: str = "s", base: int = 0) -> bytes:
    scan = Scan(
        {n: pack_record(*RECORD._replace(nano_units=n * NANO_PER_UNIT)) for n in range(first, last + 1)}
    )
    batch_rows = rows(scan, Names("n0", ("look", "charge"), ("a", "b", "c")))
    return encode(Batch("p", "n0", 1, stream, base, first, last, length, batch_rows, 0))


def _restarted(checkpoint: Checkpoint) -> Exporter:
    exporter = Exporter(SECOND, random.Random(1))
    assert exporter.next_read(10 * SECOND, checkpoint, 0) is not None
    return exporter


def _sent(exporter: Exporter, checkpoint: Checkpoint, scan: Scan | None) -> bytes:
    exporter.records_read(checkpoint, scan)
    exporter.dirty = False
    exporter.checkpoint_saved()
    post = exporter.next_post(10 * SECOND)
    assert post is not None
    return post.body


def test_stream_is_sealed_only_by_batch_with_length() -> None:
    """Guards against a stream that counts as exported although billing never got its length.

    A batch is first sent while the stream is written, its reply is lost, and the gateway is killed. The next
    incarnation sends the same bytes again, which have no length.
    """
    billing = Billing(MemoryStore())
    scan = Scan({n: pack_record(*RECORD) for n in range(1, 4)})
    checkpoint = Checkpoint("p", names=[Names("n0", ("look", "charge"), ("a", "b", "c"))])
    stream = checkpoint.streams[1] = Stream("00" * 16, 16, 0, [Part(1, "s")])
    live = Exporter(SECOND, random.Random(1))
    assert live.next_read(10 * SECOND, checkpoint, 3) is not None
    lost = _sent(live, checkpoint, scan)
    assert billing.post(lost).taken == 3, "billing stores the batch, and its reply is lost"
    stream.length = 3  # the recovery of the next incarnation ends the stream
    exporter = _restarted(checkpoint)
    again = _sent(exporter, checkpoint, scan)
    assert again == lost, "the batch has the same bytes, without the length"
    exporter.reply_received(checkpoint, billing.post(again))
    assert stream.acked == 3 and not stream.is_exported()
    assert exporter.next_read(11 * SECOND, checkpoint, 0) is not None
    reply = billing.post(_sent(exporter, checkpoint, None))
    exporter.reply_received(checkpoint, reply)
    assert reply.sealed == 3 and stream.is_exported()


def test_billing_accepts_slots_once_in_order_until_sealed() -> None:
    """Guards against a stand-in of billing that accepts slots twice, with gaps, or after the seal."""
    memory = MemoryStore()
    billing = Billing(memory)
    assert billing.post(_batch(1, 4)).taken == 4
    assert billing.post(_batch(1, 4)).taken == 4 and billing.reply_counts["again"] == 1
    assert billing.post(_batch(3, 6)).taken == 6, "only the new slots of an overlapping batch are stored"
    assert billing.post(_batch(9, 9)).taken == 6, "a batch after a gap is not stored"
    assert billing.post(_batch(7, 6, 6)).sealed == 6
    fenced = billing.post(_batch(5, 8))
    assert fenced.fenced and fenced.sealed == 6 and billing.reply_counts["fenced"] == 1
    assert billing.post(_batch(7, 8, stream=continuation_stream_id("s", 7), base=6)).taken == 8
    assert [int(row.units) // NANO_PER_UNIT for row in memory.rows] == list(range(1, 9))
    first = memory.rows[0]
    assert first.cls == "charge" and first.customer == "00000001ffffffff"


def test_different_records_for_stored_slots_are_a_conflict() -> None:
    """Guards against a stand-in of billing that does not report changed records for stored slots."""
    billing = Billing(MemoryStore())
    billing.post(_batch(1, 2))
    batch = decode(_batch(1, 2))
    changed = encode(msgspec.structs.replace(batch, rows=batch.rows[:1]))
    assert billing.post(changed).conflict and not billing.post(_batch(1, 2)).conflict


def test_signature_covers_idempotency_key_and_body() -> None:
    """Guards against a signature that is valid for another key, body or secret."""
    body = _batch(1, 2)
    valid = signature(body, "s:1-2", b"secret")
    assert is_signature_valid(body, "s:1-2", b"secret", valid)
    assert not is_signature_valid(body, "s:1-3", b"secret", valid) and not is_signature_valid(
        body + b" ", "s:1-2", b"secret", valid
    )
    assert not is_signature_valid(body, "s:1-2", b"other", valid) and not is_signature_valid(
        body, "s:1-2", b"secret", "é"
    )
    assert digest(body) == digest(_batch(1, 2))


def _live(world: World, disk: Disk) -> World:
    process = world.start_process(disk)
    world.run(SECOND)
    assert process.ledger.state is State.LIVE
    return world


def test_full_folder_loses_nothing_during_billing_outage() -> None:
    """Guards against lost requests when the limit of segments is reached because billing is down.

    With `fold` the requests are summed in memory and exported once billing is back.
    """
    world, disk = World(BOUNDS, 1), Disk(random.Random(1))
    _live(world, disk)
    world.network.down = True
    for _ in range(400):
        world.processes[0].count(Ending.SERVED)
        world.run(5 * MILLISECOND)
    ledger = world.processes[0].ledger
    alarms = world.processes[0].alarms
    assert ledger.folded > 100 and any("the journal has no free slot" in text for text in alarms)
    assert len([name for name in disk.files if name.startswith("use-")]) == BOUNDS.max_segments
    world.network.down = False
    world.run(100 * SECOND)
    assert world.processes[0].drained and world.violations() == []
    assert sum(row.requests for row in world.memory.rows) == 400


def test_folder_of_a_newer_version_is_not_changed() -> None:
    """Guards against a downgraded program that overwrites data that it can't read.

    The ledger sums requests in memory instead, and an alarm reports it.
    """
    world, disk = World(BOUNDS, 2), Disk(random.Random(1))
    _live(world, disk)
    world.end_process(world.processes[0])
    for name in ("control-a", "control-b"):
        data = disk.files[name].cached
        data[:] = data.replace(b'"version":1', b'"version":2', 1)
    before = {name: bytes(file.cached) for name, file in disk.files.items()}
    process = world.start_process(disk)
    world.run(10 * SECOND)
    process.count(Ending.SERVED)
    assert process.ledger.state is State.STUCK and process.ledger.folded == 1
    assert {name: bytes(file.cached) for name, file in disk.files.items()} == before
    assert any("a newer version of the program wrote this folder" in text for text in process.alarms)


def test_meter_alarms_are_raised_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against repeated alarms about a clock that was set back and tenants past the limit of sums."""
    monkeypatch.setattr(meters, "MAX_SUMS", 1)
    world, disk = World(BOUNDS, 3), Disk(random.Random(1))
    _live(world, disk)
    process = world.processes[0]
    world.wall_offset_ms += 60_000  # into the next month
    process.count(Ending.REFUSED)
    world.wall_offset_ms -= 120_000
    for _ in range(3):
        process.count(Ending.REFUSED)
    world.run(30 * SECOND)
    assert sum("clock was set back" in text for text in process.alarms) == 1
    assert sum("recorded without their tenants" in text for text in process.alarms) == 1
    kinds = [(row.kind, row.requests) for row in world.memory.rows]
    assert sum(n for _, n in kinds) == 4 and {kind for kind, _ in kinds} == {Kind.SUM, Kind.UNATTRIBUTED}
    assert len({row.time for row in world.memory.rows}) == 2 and min(
        row.time for row in world.memory.rows
    ) >= month_start(world.wall_ms() + 60_000)
