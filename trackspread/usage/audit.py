"""A folder of use records as it lies there: what it holds, what is damaged, what billing should have.

May know: the layout of segments, the control, sums. May not know: threads, running keepers. Nothing here
writes; `rebuild_control` only makes the document that `use repair` saves.

- A place that was written and does not check is damage where a mark or the watermark says that it was on the
  disk; behind these it is the torn end of a process that lost its machine, and was never promised.
- What billing should have: sums of segments that went, and records up to the watermark.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ..storage.calls import parse_segment_name
from ..storage.document import DocumentError
from ..storage.interfaces import Files
from ..storage.slots import HEAD_BYTES, Head, Scan, SegmentError, count_written_slots, scan, unpack_head
from .control import AREAS, Control, Names, Part, Stream, newest
from .record import unpack
from .totals import SCHEMA, SegmentTotals, Totals


@dataclass(slots=True)
class StreamAudit:
    """One stream: `records` that can be read, places `damaged`, `torn`, or `missing` with their segment."""

    epoch: int
    stream: Stream
    live: bool
    records: int = 0
    length: int = 0
    marked: int = 0
    damaged: list[int] = field(default_factory=list)
    torn: list[int] = field(default_factory=list)
    missing: int = 0


@dataclass(slots=True)
class Audit:
    """`journal`: all that was counted, as far as it is still known; `exported`: of that, what billing told it
    has. `wrong`: what a person should look at."""

    control: Control | None
    newer: bool
    streams: list[StreamAudit] = field(default_factory=list)
    journal: Totals = field(default_factory=Totals)
    exported: Totals = field(default_factory=Totals)
    wrong: list[str] = field(default_factory=list)
    segments: int = 0
    bytes: int = 0


def audit(files: Files) -> Audit:
    """Reads everything; raises `OSError`."""
    names = files.names()
    copies = [files.load(name) or b"" for name in AREAS]
    control, _, wrong, newer = newest(copies)
    found = Audit(control, newer, wrong=wrong)
    if control is None:
        if any(parse_segment_name(name) for name in names):
            found.wrong.append("there are records, and no control that can be read")
        return found
    scans: dict[int, list[tuple[Head, Scan]]] = {}
    for name in names:
        if (at := parse_segment_name(name)) is None:
            continue
        found.segments += 1
        data = files.load(name) or b""
        found.bytes += len(data)
        stream = control.streams.get(at[0])
        if stream is None:
            continue  # of a process that never declared it
        head = Head(at[0], at[1], stream.slots, bytes.fromhex(stream.nonce))
        try:
            unpack_head(data)
        except SegmentError as error:
            found.wrong.append(f"{name}: {error}")
        scans.setdefault(at[0], []).append((head, scan(data[HEAD_BYTES:], head, head.first)))
    for epoch, stream in sorted(control.streams.items()):
        found.streams.append(_audit_stream(found, epoch, stream, scans.get(epoch, [])))
    for name in names:
        if name.startswith("sum-"):
            _add_sum(found, name, files.load(name) or b"")
    return found


def _audit_stream(found: Audit, epoch: int, stream: Stream, scans: list[tuple[Head, Scan]]) -> StreamAudit:
    audited = StreamAudit(epoch, stream, stream.length is None)
    audited.marked = max([stream.acked, *(each.marked for _, each in scans)])
    written_to = max([0, *(each.last for _, each in scans)])
    audited.length = stream.length if stream.length is not None else written_to
    for _, each in scans:
        places = {n: unpack(payload) for n, payload in each.payloads.items() if n <= audited.length}
        uses = {n: use for n, use in places.items() if use is not None}
        audited.records += len(uses)
        found.journal.uses(uses.values())
        found.exported.uses(use for n, use in uses.items() if n <= stream.acked)
        for place in each.bad:
            (audited.damaged if place <= audited.marked else audited.torn).append(place)
    here = {head.index for head, _ in scans}
    most = -(-audited.length // stream.slots)
    gone = [index for index in range(stream.kept, most) if index not in here]
    if gone:
        found.wrong.append(f"epoch {epoch}: segments {', '.join(map(str, gone))} are missing")
        audited.missing += len(gone) * stream.slots
    if audited.damaged:
        found.wrong.append(
            f"epoch {epoch}: {len(audited.damaged)} records are damaged, the first at place "
            f"{audited.damaged[0]}"
        )
    return audited


def _add_sum(found: Audit, name: str, data: bytes) -> None:
    """What a segment that went held was exported, or given up."""
    try:
        summed = SCHEMA.unpack(data, SegmentTotals)
    except DocumentError as error:
        found.wrong.append(f"{name}: {error}")
        return
    found.journal.add_rows(summed.lines)
    found.exported.add_rows(summed.lines)


class Received(msgspec.Struct, frozen=True, array_like=True):
    """Billing's line: customer in hexadecimal, day since 1970, ending, requests, units in billionths."""

    customer: str
    day: int
    ending: int
    requests: int
    units: str


@dataclass(frozen=True, slots=True)
class Difference:
    """One member's day on which the three do not agree; requests and billionths of units each."""

    customer: int
    day: int
    ending: int
    journal: tuple[int, int]
    exported: tuple[int, int]
    received: tuple[int, int]

    @property
    def kind(self) -> str:
        """What it means, plainly."""
        if self.received == self.journal:
            return "billing has it all, the gateway does not know yet"
        if self.received == self.exported:
            return "not exported yet"
        return "billing has less than it took" if self.received < self.exported else "billing has more"


def reconcile(audits: list[Audit], received: list[Received]) -> list[Difference]:
    """Each member's day on which journal, export and billing differ; empty if all is there and agrees."""
    journal, exported, billing = Totals(), Totals(), Totals()
    for each in audits:
        for totals, own in ((journal, each.journal), (exported, each.exported)):
            for (customer, day, ending), (requests, units) in own.rows.items():
                totals.add(customer, day, ending, requests, units)
    for line in received:
        billing.add(int(line.customer, 16), line.day, line.ending, line.requests, int(line.units))
    nothing = 0, 0
    keys = sorted(journal.rows.keys() | exported.rows.keys() | billing.rows.keys())
    made = [
        Difference(
            *key,
            journal.rows.get(key, nothing),
            exported.rows.get(key, nothing),
            billing.rows.get(key, nothing),
        )
        for key in keys
    ]
    return [each for each in made if not each.journal == each.exported == each.received]


def rebuild_control(files: Files, names: Names, producer: str) -> Control:
    """A control for segments whose own is lost. Nothing counts as exported: billing has each place once and
    says where it is. Raises `DocumentError` where a newer program wrote."""
    control = Control(producer, names=[names])
    for name in files.names():
        if (at := parse_segment_name(name)) is None:
            continue
        data = files.load(name) or b""
        try:
            head = unpack_head(data)
        except SegmentError as error:
            if error.newer:
                raise DocumentError(f"{name}: {error}", newer=True) from None
            continue
        nonce = head.nonce.hex()
        fresh = Stream(nonce, head.slots, 0, [Part(1, nonce)], 0, 0, at[1])
        stream = control.streams.setdefault(at[0], fresh)
        if stream.nonce != nonce:
            raise DocumentError(f"{name}: it is of another life than the others of its epoch")
        stream.length = max(stream.length or 0, head.first - 1 + count_written_slots(data[HEAD_BYTES:]))
        stream.kept = min(stream.kept, at[1])
        control.epoch = max(control.epoch, at[0])
    control.streams = {epoch: stream for epoch, stream in control.streams.items() if stream.length}
    return control
