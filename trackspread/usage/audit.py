"""The audit of a folder of usage records: its contents, what is damaged, and what billing should have.

Nothing here writes; `rebuild_control` only returns the checkpoint that `use repair` saves.

- A slot with an invalid checksum is damaged if a mark or the watermark shows that it was committed. Otherwise
  it is torn: the machine lost power before the commit.
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
from .control import AREAS, Control, Names, Part, Stream, newest
from .record import unpack
from .totals import NOTHING, SCHEMA, Amount, SegmentTotals, Totals


class SegmentScan(NamedTuple):
    """One segment's header and slots."""

    header: SegmentHeader
    scan: Scan


@dataclass(slots=True)
class StreamAudit:
    """The audit of one stream.

    `live`: the stream was not ended. `records` can be read. `length` is the last slot that was written,
    `committed` the last that is known to have been committed. `damaged` and `torn` are slots, `missing` is
    the number of slots in missing segments.
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
    """The audit of one folder.

    `newer`: a newer version of the program wrote here. `journal` has the totals of all that was recorded,
    `exported` of what billing has acknowledged. `problems` are lines for operators about faults. `segments`
    and `bytes` count what is on the disk.
    """

    control: Control | None
    newer: bool
    streams: list[StreamAudit] = field(default_factory=list)
    journal: Totals = field(default_factory=Totals)
    exported: Totals = field(default_factory=Totals)
    problems: list[str] = field(default_factory=list)
    segments: int = 0
    bytes: int = 0


def audit(files: Files) -> Audit:
    """Read the complete folder; raises `OSError`."""
    names = files.names()
    copies = [files.load(name) or b"" for name in AREAS]
    checkpoint = newest(copies)
    result = Audit(checkpoint.control, checkpoint.newer, problems=checkpoint.errors)
    control = checkpoint.control
    if control is None:
        if any(parse_segment_name(name) for name in names):
            result.problems.append("there are records, and no control that can be read")
        return result
    scans: dict[int, list[SegmentScan]] = {}
    for name in names:
        if (location := parse_segment_name(name)) is not None:
            segment = _scan_segment(result, files, control, name, location)
            if segment is not None:
                scans.setdefault(segment.header.epoch, []).append(segment)
    for epoch, stream in sorted(control.streams.items()):
        result.streams.append(_audit_stream(result, epoch, stream, scans.get(epoch, [])))
    for name in names:
        if name.startswith("sum-"):
            _add_sum(result, name, files.load(name) or b"")
    return result


def _scan_segment(
    result: Audit, files: Files, control: Control, name: str, location: tuple[int, int]
) -> SegmentScan | None:
    """One segment, None if it is of a stream that was never declared. `location`: its epoch and index."""
    result.segments += 1
    data = files.load(name) or b""
    result.bytes += len(data)
    epoch, index = location
    stream = control.streams.get(epoch)
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
            f"epoch {epoch}: {len(audited.damaged)} records are damaged, the first at place "
            f"{audited.damaged[0]}"
        )
    return audited


def _audit_records(result: Audit, audited: StreamAudit, slots: Scan) -> None:
    """Add one segment's records to the totals, and sort its invalid slots."""
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
    """Add the totals of a removed segment, which was exported or dropped."""
    try:
        totals = SCHEMA.unpack(data, SegmentTotals)
    except DocumentError as error:
        result.problems.append(f"{name}: {error}")
        return
    result.journal.add_rows(totals.lines)
    result.exported.add_rows(totals.lines)


class Received(msgspec.Struct, frozen=True, array_like=True):
    """A row of billing's own totals: customer in hexadecimal, day since 1970-01-01, ending, requests, and
    billionths of units."""

    customer: str
    day: int
    ending: int
    requests: int
    units: str


@dataclass(frozen=True, slots=True)
class Difference:
    """A tenant's day and ending for which journal, export and billing differ; each has requests and
    billionths of units."""

    tenant: int
    day: int
    ending: int
    journal: Amount
    exported: Amount
    received: Amount

    @property
    def kind(self) -> str:
        """What the difference means, for operators."""
        if self.received == self.journal:
            return "billing has it all, the gateway does not know yet"
        if self.received == self.exported:
            return "not exported yet"
        return "billing has less than it took" if self.received < self.exported else "billing has more"


def reconcile(audits: list[Audit], received: list[Received]) -> list[Difference]:
    """Where journals, exports and billing differ, by tenant, day and ending; empty if they agree."""
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
            journal.rows.get(key, NOTHING),
            exported.rows.get(key, NOTHING),
            billing.rows.get(key, NOTHING),
        )
        for key in keys
    ]
    return [each for each in compared if not each.journal == each.exported == each.received]


def _add_all(totals: Totals, more: Totals) -> None:
    for key, amount in more.rows.items():
        totals.add(*key, amount.requests, amount.nano_units)


def rebuild_control(files: Files, names: Names, producer: str) -> Control:
    """A checkpoint for segments whose own is lost. Nothing counts as exported: billing takes each slot once,
    and its replies set the watermarks. Raises `DocumentError` where a newer version of the program wrote, or
    segments do not belong together."""
    control = Control(producer, names=[names])
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
        stream = control.streams.setdefault(epoch, new)
        if stream.nonce != nonce:
            raise DocumentError(f"{name}: it is of another life than the others of its epoch")
        stream.length = max(stream.length or 0, header.first - 1 + count_written_slots(data[HEADER_BYTES:]))
        stream.first_segment = min(stream.first_segment, index)
        control.epoch = max(control.epoch, epoch)
    control.streams = {epoch: stream for epoch, stream in control.streams.items() if stream.length}
    return control
