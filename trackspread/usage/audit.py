"""Audits a folder of usage records: what it contains, what is damaged, and what billing should have.

Nothing here writes; `rebuild_checkpoint` only returns the checkpoint that `trackspread use repair` saves.

- A slot with an invalid checksum is damaged if a mark or the watermark shows that it was committed. Otherwise
  it is torn, which means that the machine lost power before the commit.
- Billing should have the totals of removed segments, and records up to the watermark.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from ..storage.calls import parse_segment_name
from ..storage.document import DocumentError
from ..storage.interfaces import Files
from ..storage.slots import (
    HEADER_BYTES,
    Scan,
    SegmentError,
    SegmentHeader,
    count_written_slots,
    scan,
    unpack_header,
)
from .control import AREAS, Checkpoint, Names, Part, Stream, newest
from .record import unpack
from .totals import SCHEMA, ZERO_AMOUNT, Amount, SegmentTotals, Totals


class SegmentScan(NamedTuple):
    """Holds one segment's header and slots."""

    header: SegmentHeader
    scan: Scan


@dataclass(slots=True)
class StreamAudit:
    """Holds the audit of one stream.

    `live` says that the stream was not ended. `records` counts the readable records. `length` is the last
    slot that was written, `committed` the last that is known to have been committed. `damaged` and `torn` are
    slots; `missing` is the number of slots in missing segments.
    """

    epoch: int
    stream: Stream
    live: bool
    records: int = 0
    length: int = 0
    committed: int = 0
    damaged: list[int] = field(default_factory=list)
    torn: list[int] = field(default_factory=list)
    missing: int = 0


@dataclass(slots=True)
class Audit:
    """Holds the audit of one folder.

    `newer` says that a newer version of the program wrote the folder. `journal` has the totals of all
    records, `exported` those of the records that billing has acknowledged. `problems` are lines for operators
    about faults. `segments` and `bytes` count what is on the disk.
    """

    checkpoint: Checkpoint | None
    newer: bool
    streams: list[StreamAudit] = field(default_factory=list)
    journal: Totals = field(default_factory=Totals)
    exported: Totals = field(default_factory=Totals)
    problems: list[str] = field(default_factory=list)
    segments: int = 0
    bytes: int = 0


def audit(files: Files) -> Audit:
    """Reads the complete folder and returns its audit; raises `OSError`."""
    names = files.names()
    copies = [files.load(name) or b"" for name in AREAS]
    newest_copy = newest(copies)
    result = Audit(newest_copy.checkpoint, newest_copy.newer, problems=newest_copy.errors)
    checkpoint = newest_copy.checkpoint
    if checkpoint is None:
        if any(parse_segment_name(name) for name in names):
            result.problems.append("the folder has records but no readable checkpoint")
        return result
    scans: dict[int, list[SegmentScan]] = {}
    for name in names:
        if (location := parse_segment_name(name)) is not None:
            segment = _scan_segment(result, files, checkpoint, name, location)
            if segment is not None:
                scans.setdefault(segment.header.epoch, []).append(segment)
    for epoch, stream in sorted(checkpoint.streams.items()):
        result.streams.append(_audit_stream(result, epoch, stream, scans.get(epoch, [])))
    for name in names:
        if name.startswith("sum-"):
            _add_sum(result, name, files.load(name) or b"")
    return result


def _scan_segment(
    result: Audit, files: Files, checkpoint: Checkpoint, name: str, location: tuple[int, int]
) -> SegmentScan | None:
    """Returns one segment, or None if its stream was never declared; `location` is its epoch and index."""
    result.segments += 1
    data = files.load(name) or b""
    result.bytes += len(data)
    epoch, index = location
    stream = checkpoint.streams.get(epoch)
    if stream is None:
        return None
    try:
        unpack_header(data)
    except SegmentError as error:
        result.problems.append(f"{name}: {error}")
    header = SegmentHeader(epoch, index, stream.slots, bytes.fromhex(stream.nonce))
    return SegmentScan(header, scan(data[HEADER_BYTES:], header, header.first))


def _audit_stream(result: Audit, epoch: int, stream: Stream, segments: list[SegmentScan]) -> StreamAudit:
    audited = StreamAudit(epoch, stream, stream.length is None)
    audited.committed = max([stream.acked, *(segment.scan.marked for segment in segments)])
    last_written = max([0, *(segment.scan.last for segment in segments)])
    audited.length = stream.length if stream.length is not None else last_written
    for segment in segments:
        _audit_records(result, audited, segment.scan)
    present = {segment.header.index for segment in segments}
    segment_count = -(-audited.length // stream.slots)
    missing = [index for index in range(stream.first_segment, segment_count) if index not in present]
    if missing:
        result.problems.append(f"epoch {epoch}: segments {', '.join(map(str, missing))} are missing")
        audited.missing += len(missing) * stream.slots
    if audited.damaged:
        result.problems.append(
            f"epoch {epoch}: {len(audited.damaged)} records are damaged, the first at slot "
            f"{audited.damaged[0]}"
        )
    return audited


def _audit_records(result: Audit, audited: StreamAudit, slots: Scan) -> None:
    """Adds one segment's records to the totals, and classifies its invalid slots as damaged or torn."""
    records = {
        slot: record
        for slot, payload in slots.payloads.items()
        if slot <= audited.length and (record := unpack(payload)) is not None
    }
    audited.records += len(records)
    result.journal.add_records(records.values())
    result.exported.add_records(record for slot, record in records.items() if slot <= audited.stream.acked)
    for slot in slots.bad:
        (audited.damaged if slot <= audited.committed else audited.torn).append(slot)


def _add_sum(result: Audit, name: str, data: bytes) -> None:
    """Adds the totals of a removed segment, which was exported or dropped."""
    try:
        totals = SCHEMA.unpack(data, SegmentTotals)
    except DocumentError as error:
        result.problems.append(f"{name}: {error}")
        return
    result.journal.add_rows(totals.lines)
    result.exported.add_rows(totals.lines)


class Received(msgspec.Struct, frozen=True, array_like=True):
    """Holds a row of billing's own totals.

    `customer` is the tenant in hexadecimal, `day` counts from 1970-01-01, `units` are billionths.
    """

    customer: str
    day: int
    ending: int
    requests: int
    units: str


@dataclass(frozen=True, slots=True)
class Difference:
    """Holds the amounts of a tenant, day and ending for which journal, export and billing differ."""

    tenant: int
    day: int
    ending: int
    journal: Amount
    exported: Amount
    received: Amount

    @property
    def kind(self) -> str:
        """Returns what the difference means, for operators."""
        if self.received == self.journal:
            return "billing has all of it, but the gateway has no acknowledgement yet"
        if self.received == self.exported:
            return "not exported yet"
        if self.received < self.exported:
            return "billing has less than it acknowledged"
        return "billing has more than it acknowledged"


def reconcile(audits: list[Audit], received: list[Received]) -> list[Difference]:
    """Returns the differences between journals, exports and billing; the list is empty if they agree."""
    journal, exported, billing = Totals(), Totals(), Totals()
    for each in audits:
        _add_all(journal, each.journal)
        _add_all(exported, each.exported)
    for row in received:
        billing.add(int(row.customer, 16), row.day, row.ending, row.requests, int(row.units))
    keys = sorted(journal.rows.keys() | exported.rows.keys() | billing.rows.keys())
    compared = [
        Difference(
            *key,
            journal.rows.get(key, ZERO_AMOUNT),
            exported.rows.get(key, ZERO_AMOUNT),
            billing.rows.get(key, ZERO_AMOUNT),
        )
        for key in keys
    ]
    return [each for each in compared if not each.journal == each.exported == each.received]


def _add_all(totals: Totals, more: Totals) -> None:
    for key, amount in more.rows.items():
        totals.add(*key, amount.requests, amount.nano_units)


def rebuild_checkpoint(files: Files, names: Names, producer: str) -> Checkpoint:
    """Returns a new checkpoint for segments whose checkpoint is lost.

    Nothing counts as exported, because billing accepts each slot once and its replies set the watermarks.
    Raises `DocumentError` if a newer version of the program wrote a segment, or if segments of one epoch have
    different nonces.
    """
    checkpoint = Checkpoint(producer, names=[names])
    for name in files.names():
        if (location := parse_segment_name(name)) is None:
            continue
        epoch, index = location
        data = files.load(name) or b""
        try:
            header = unpack_header(data)
        except SegmentError as error:
            if error.newer:
                raise DocumentError(f"{name}: {error}", newer=True) from None
            continue
        nonce = header.nonce.hex()
        new = Stream(nonce, header.slots, 0, [Part(1, nonce)], 0, 0, index)
        stream = checkpoint.streams.setdefault(epoch, new)
        if stream.nonce != nonce:
            raise DocumentError(
                f"{name}: nonce: must be {stream.nonce}, as in other segments of epoch {epoch}, got {nonce}"
            )
        stream.length = max(stream.length or 0, header.first - 1 + count_written_slots(data[HEADER_BYTES:]))
        stream.first_segment = min(stream.first_segment, index)
        checkpoint.epoch = max(checkpoint.epoch, epoch)
    checkpoint.streams = {epoch: stream for epoch, stream in checkpoint.streams.items() if stream.length}
    return checkpoint
