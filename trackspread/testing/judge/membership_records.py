"""Checks whether membership views and slot grants of gateways were consistent, from their records alone.

Each process records the views and grants that it held, with times of the machine's monotonic clock. The rules
are:
- A view number identifies one view; each view is issued by one process and follows its predecessor.
- Two processes never own the same slot at the same time. A process owns its slots for as long as they were
  granted, also while it is paused; a process that was killed or has exited owns none.
- From some time on, all running processes hold one view of exactly themselves.

The checks use no code of the gateway and assume nothing about how views are agreed on.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Literal, NamedTuple

import msgspec

SLOTS = 1024  # number of slots of the shared quotas; a grant is a set of slots
KINDS_ENDING_GRANTS = (
    "left",
    "fenced",
    "renamed",
    "made way",
)  # kinds of records after which a process owns nothing
ViewNumber = tuple[int, int, int]
ProcessId = tuple[str, int]


class MembershipRecord(msgspec.Struct, frozen=True):
    """Holds one line of a process's record file; `born` distinguishes processes of the same name.

    `about` holds the details of the kind. "view" and "issued" have `number`, `parent` and `members`; "part"
    (a grant) has `part` (slots) and `lasts` (ns). Kinds in `KINDS_ENDING_GRANTS` end the grant.
    """

    at: int  # ns
    name: str
    born: int
    kind: str
    about: dict[str, object] = {}

    @property
    def process_id(self) -> ProcessId:
        """Returns the process that wrote the record."""
        return self.name, self.born


class Inconsistency(msgspec.Struct, frozen=True, order=True):
    """Holds one violation of the rules on views, or of those on grants."""

    at: int  # ns
    rule: Literal["view", "rights"]
    text: str


class RecordReader:
    """Reads record files that processes may still append to; each line is decoded once."""

    def __init__(self, paths: Iterable[Path]) -> None:
        self._offsets = {path: 0 for path in paths}
        self._decode = msgspec.json.Decoder(MembershipRecord).decode
        self._records: list[MembershipRecord] = []

    def all(self) -> list[MembershipRecord]:
        """Returns all records so far in the order of their times.

        An incomplete last line is left out: its process was killed, or has not written the rest yet.
        """
        for path in self._offsets:
            if path.exists():
                self._records += self._read_new(path)
        self._records.sort(key=lambda record: record.at)  # cheap, as the list is nearly sorted
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
    """Returns views of one number that differ or have two issuers, and views that skip their predecessor."""
    conflicts: list[Inconsistency] = []
    views: dict[ViewNumber, tuple[ViewNumber, tuple[ProcessId, ...]]] = {}
    issuers: dict[ViewNumber, ProcessId] = {}
    for record in records:
        if record.kind not in ("view", "issued"):
            continue
        number, parent = _view_number(record.about["number"]), _view_number(record.about["parent"])
        view = parent, _members(record.about["members"])
        if views.setdefault(number, view) != view:
            text = f"{record.name} holds a different view with number {number}"
            conflicts.append(Inconsistency(record.at, "view", text))
        if record.kind != "issued":
            continue
        issuer = issuers.setdefault(number, record.process_id)
        if issuer != record.process_id:
            text = f"view {number} was issued by {issuer} and {record.process_id}"
            conflicts.append(Inconsistency(record.at, "view", text))
        if not _follows(number, parent):
            text = f"view {number} must not follow {parent}"
            conflicts.append(Inconsistency(record.at, "view", text))
    return conflicts


def _follows(number: ViewNumber, parent: ViewNumber) -> bool:
    """Returns whether a view of this number may have this predecessor."""
    if number[2] > 1:
        return parent == (*number[:2], number[2] - 1)
    return parent < number


class _Grant(NamedTuple):
    """Holds the slots that a process owns from `since` until `until` (ns); `slots` has a bit for each."""

    since: int
    until: int
    slots: int


class _OwnershipChange(NamedTuple):
    """Holds a start or an end of ownership; at equal times ends (False) sort before starts (True)."""

    at: int
    begins: bool
    slots: int
    process_id: ProcessId


def find_grant_overlaps(
    records: Sequence[MembershipRecord], exits: Iterable[tuple[int, str]]
) -> tuple[list[Inconsistency], float]:
    """Returns the first overlap of two processes' slots, and the largest share of all slots owned at once.

    `exits` holds times (ns) at which a process was killed or exited, each with the process's name.
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
                text = f"{process_id} and {other} own the same {count} slots"
                overlaps.append(Inconsistency(at, "rights", text))
        owned[process_id] = slots
        most = max(most, sum(each.bit_count() for each in owned.values()))
    return overlaps, most / SLOTS


def _grants(
    records: Sequence[MembershipRecord], exits: Iterable[tuple[int, str]]
) -> dict[ProcessId, list[_Grant]]:
    """Returns the grants of each process, cut off at the next grant, the end of membership or the exit."""
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
    """Parses slots in the form `0-169,340-509` into an integer with a bit for each."""
    slots = 0
    for span in filter(None, text.split(",")):
        first, _, last = span.partition("-")
        slots |= (1 << int(last) + 1) - (1 << int(first))
    return slots


def convergence_time_ns(
    records: Sequence[MembershipRecord], running: Sequence[ProcessId], since: int
) -> int | None:
    """Returns the time from `since` (ns) until all running processes held one view of exactly themselves.

    The result is None if the last views of these processes are not all the same view, or have other members.
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
