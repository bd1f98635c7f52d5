"""Whether the membership views and slot grants of gateways were consistent, from their records alone.

Each process records what it held and when, on the monotonic clock of the machine. The rules:
- A view number identifies one view; each view is issued by one process and follows its predecessor.
- At no instant do two processes own the same slot. A process owns its slots for as long as they were granted,
  also while it is paused; one that was killed or has exited owns none.
- From some time on, all running processes hold one view of exactly themselves.

Nothing of the gateway's code is used, nor any knowledge of how views are agreed on.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Literal, NamedTuple

import msgspec

SLOTS = 1024  # of the shared quotas; grants are sets of slots
KINDS_ENDING_GRANTS = (
    "left",
    "fenced",
    "renamed",
    "made way",
)  # kinds of records after which a process owns nothing
ViewNumber = tuple[int, int, int]
ProcessId = tuple[str, int]


class MembershipRecord(msgspec.Struct, frozen=True):
    """One line of a record; `born` tells processes of the same name apart.

    `about` holds the details of the kind: "view" and "issued" have `number`, `parent`, `members`; "part" (a
    grant) has `part` (slots) and `lasts` (ns). Kinds in `KINDS_ENDING_GRANTS` end the grant.
    """

    at: int  # ns
    name: str
    born: int
    kind: str
    about: dict[str, object] = {}

    @property
    def process_id(self) -> ProcessId:
        """The process that wrote the record."""
        return self.name, self.born


class Inconsistency(msgspec.Struct, frozen=True, order=True):
    """One violation of the rules on views, or of those on grants."""

    at: int  # ns
    rule: Literal["view", "rights"]
    text: str


class RecordReader:
    """Reads records that are still written to; each line is decoded once."""

    def __init__(self, paths: Iterable[Path]) -> None:
        self._offsets = {path: 0 for path in paths}
        self._decode = msgspec.json.Decoder(MembershipRecord).decode
        self._records: list[MembershipRecord] = []

    def all(self) -> list[MembershipRecord]:
        """All records so far in the order of their times.

        An incomplete last line is left out: its process was killed, or has not written the rest yet.
        """
        for path in self._offsets:
            if path.exists():
                self._records += self._read_new(path)
        self._records.sort(key=lambda record: record.at)  # nearly sorted, so this is cheap
        return self._records

    def _read_new(self, path: Path) -> list[MembershipRecord]:
        offset = self._offsets[path]
        with path.open("rb") as file:
            file.seek(offset)
            complete, _, _ = file.read().rpartition(b"\n")
        if not complete:
            return []
        self._offsets[path] = offset + len(complete) + 1
        return [self._decode(line) for line in complete.split(b"\n")]


def _view_number(value: object) -> ViewNumber:
    number: ViewNumber = msgspec.convert(value, ViewNumber)
    return number


def _members(value: object) -> tuple[ProcessId, ...]:
    members: tuple[ProcessId, ...] = msgspec.convert(value, tuple[ProcessId, ...])
    return members


def find_view_conflicts(records: Sequence[MembershipRecord]) -> list[Inconsistency]:
    """Views of one number that differ or have two issuers, and views that don't follow their predecessor."""
    conflicts: list[Inconsistency] = []
    views: dict[ViewNumber, tuple[ViewNumber, tuple[ProcessId, ...]]] = {}
    issuers: dict[ViewNumber, ProcessId] = {}
    for record in records:
        if record.kind not in ("view", "issued"):
            continue
        number, parent = _view_number(record.about["number"]), _view_number(record.about["parent"])
        view = parent, _members(record.about["members"])
        if views.setdefault(number, view) != view:
            text = f"{record.name} holds another view under {number}"
            conflicts.append(Inconsistency(record.at, "view", text))
        if record.kind != "issued":
            continue
        issuer = issuers.setdefault(number, record.process_id)
        if issuer != record.process_id:
            text = f"{number} issued by {issuer} and {record.process_id}"
            conflicts.append(Inconsistency(record.at, "view", text))
        if not _follows(number, parent):
            conflicts.append(Inconsistency(record.at, "view", f"{number} follows {parent}"))
    return conflicts


def _follows(number: ViewNumber, parent: ViewNumber) -> bool:
    if number[2] > 1:
        return parent == (*number[:2], number[2] - 1)
    return parent < number


class _Grant(NamedTuple):
    """Slots that a process owns from a time until another, ns; `slots` has a bit for each."""

    since: int
    until: int
    slots: int


class _OwnershipChange(NamedTuple):
    """Sorted by time; at equal times what ends (False) comes before what begins (True)."""

    at: int
    begins: bool
    slots: int
    process_id: ProcessId


def find_grant_overlaps(
    records: Sequence[MembershipRecord], exits: Iterable[tuple[int, str]]
) -> tuple[list[Inconsistency], float]:
    """The first overlap of two processes' slots, and the largest share of all slots owned at once.

    `exits`: when (ns) a process of a name was killed or exited.
    """
    changes: list[_OwnershipChange] = []
    for process_id, grants in _grants(records, exits).items():
        for since, until, slots in grants:
            if until > since:
                changes.append(_OwnershipChange(since, True, slots, process_id))
                changes.append(_OwnershipChange(until, False, slots, process_id))
    owned: dict[ProcessId, int] = {}
    most = 0
    overlaps: list[Inconsistency] = []
    for at, begins, slots, process_id in sorted(changes):
        owned.pop(process_id, None)
        if not begins:
            continue
        for other, other_slots in owned.items():
            if slots & other_slots and not overlaps:
                count = (slots & other_slots).bit_count()
                text = f"{process_id} and {other} act on the same {count} slots"
                overlaps.append(Inconsistency(at, "rights", text))
        owned[process_id] = slots
        most = max(most, sum(each.bit_count() for each in owned.values()))
    return overlaps, most / SLOTS


def _grants(
    records: Sequence[MembershipRecord], exits: Iterable[tuple[int, str]]
) -> dict[ProcessId, list[_Grant]]:
    exits_by_name: dict[str, list[int]] = {}
    for at, name in exits:
        exits_by_name.setdefault(name, []).append(at)
    granted: dict[ProcessId, list[_Grant]] = {}
    for record in records:
        grants = granted.get(record.process_id, [])
        if grants and (record.kind in KINDS_ENDING_GRANTS or record.kind == "part"):
            grants[-1] = grants[-1]._replace(until=min(grants[-1].until, record.at))
        if record.kind != "part":
            continue
        expires_at = record.at + int(record.about["lasts"])  # type: ignore[call-overload]
        later_exits = (at for at in exits_by_name.get(record.name, []) if at >= record.at)
        grant = _Grant(record.at, min([expires_at, *later_exits]), parse_slots(str(record.about["part"])))
        granted.setdefault(record.process_id, []).append(grant)
    return granted


def parse_slots(text: str) -> int:
    """Slots in the form `0-169,340-509` as an integer with a bit for each."""
    slots = 0
    for span in filter(None, text.split(",")):
        first, _, last = span.partition("-")
        slots |= (1 << int(last) + 1) - (1 << int(first))
    return slots


def convergence_time_ns(
    records: Sequence[MembershipRecord], running: Sequence[ProcessId], since: int
) -> int | None:
    """How long after `since` (ns) all running processes came to hold one view of exactly themselves.

    None if the last views of these processes are not all the same view, or have other members.
    """
    expected = tuple(sorted(running))
    latest: dict[ProcessId, tuple[int, ViewNumber, tuple[ProcessId, ...]]] = {}
    for record in records:
        if record.kind == "view" and record.process_id in expected:
            number = _view_number(record.about["number"])
            latest[record.process_id] = record.at, number, _members(record.about["members"])
    if set(latest) != set(expected) or len({number for _, number, _ in latest.values()}) > 1:
        return None
    if any(members != expected for _, _, members in latest.values()):
        return None
    return max(0, max(at for at, _, _ in latest.values()) - since)
