"""Tests the checks of event logs of gateways in cells, on records made by hand."""

from __future__ import annotations

from trackspread.testing.harness.cell_records import (
    double_memberships,
    older_placements,
    retired_with_members,
    unreturned_slots,
)
from trackspread.testing.judge.membership_records import MembershipRecord


def joined(at: int, cell: str, count: int, name: str = "g", created_at_ms: int = 1) -> MembershipRecord:
    return MembershipRecord(at, name, created_at_ms, "joined", {"cell": cell, "number": [5, 0, count]})


def parted(at: int, cell: str) -> MembershipRecord:
    return MembershipRecord(at, "g", 1, "parted", {"cell": cell})


def test_leaving_before_joining_by_newer_placements_passes_the_checks() -> None:
    records = [joined(1, "a", 1), parted(2, "a"), joined(2, "b", 2), joined(3, "a", 1, "h")]
    assert not older_placements(records) and not double_memberships(records)
    assert not older_placements([joined(1, "a", 4), joined(2, "a", 1, created_at_ms=2)]), (
        "another process does not know the older placement"
    )


def test_older_placements_and_double_memberships_are_found() -> None:
    assert [each.at for each in older_placements([joined(1, "a", 2), parted(2, "a"), joined(3, "b", 1)])] == [
        3
    ]
    assert [each.at for each in double_memberships([joined(1, "a", 1), joined(2, "b", 2)])] == [2]


def test_unreturned_slots_and_cells_retired_with_members_are_found() -> None:
    lease = MembershipRecord(2, "g", 1, "part", {"fleet": "a", "part": "0-9", "lasts": 100})
    left = MembershipRecord(3, "g", 1, "left", {"fleet": "a"})
    assert [each.at for each in unreturned_slots([joined(1, "a", 1), lease, parted(4, "a")])] == [4]
    assert not unreturned_slots([joined(1, "a", 1), lease, left, parted(4, "a")])
    assert not unreturned_slots([joined(1, "a", 1), lease, parted(200, "a")]), "the lease has expired"
    retired = MembershipRecord(9, "c", 1, "control retired", {"cell": "a"})
    assert [each.at for each in retired_with_members([joined(1, "a", 1), retired], [])] == [9]
    assert not retired_with_members([joined(1, "a", 1), parted(4, "a"), joined(4, "b", 2), retired], [])
    assert not retired_with_members([joined(1, "a", 1), retired], [(5, "g")]), "the gateway was killed"
