"""What the records of gateways in cells say, made by hand."""

from __future__ import annotations

from trackspread.testing.harness.cell_records import (
    double_memberships,
    older_placements,
    retired_with_members,
    unreturned_slots,
)
from trackspread.testing.judge.membership_records import MembershipRecord


def joined(at: int, cell: str, count: int, name: str = "g", born: int = 1) -> MembershipRecord:
    return MembershipRecord(at, name, born, "joined", {"cell": cell, "number": [5, 0, count]})


def parted(at: int, cell: str) -> MembershipRecord:
    return MembershipRecord(at, "g", 1, "parted", {"cell": cell})


def test_one_that_leaves_before_it_joins_by_newer_words_is_in_order() -> None:
    told = [joined(1, "a", 1), parted(2, "a"), joined(2, "b", 2), joined(3, "a", 1, "h")]
    assert not older_placements(told) and not double_memberships(told)
    assert not older_placements([joined(1, "a", 4), joined(2, "a", 1, born=2)]), (
        "another process knows nothing of it"
    )


def test_one_that_goes_back_or_is_in_two_cells_is_told() -> None:
    assert [each.at for each in older_placements([joined(1, "a", 2), parted(2, "a"), joined(3, "b", 1)])] == [
        3
    ]
    assert [each.at for each in double_memberships([joined(1, "a", 1), joined(2, "b", 2)])] == [2]


def test_one_that_keeps_its_slots_or_loses_its_cell_is_told() -> None:
    part = MembershipRecord(2, "g", 1, "part", {"fleet": "a", "part": "0-9", "lasts": 100})
    left = MembershipRecord(3, "g", 1, "left", {"fleet": "a"})
    assert [each.at for each in unreturned_slots([joined(1, "a", 1), part, parted(4, "a")])] == [4]
    assert not unreturned_slots([joined(1, "a", 1), part, left, parted(4, "a")])
    assert not unreturned_slots([joined(1, "a", 1), part, parted(200, "a")]), "it had ended"
    retired = MembershipRecord(9, "c", 1, "control retired", {"cell": "a"})
    assert [each.at for each in retired_with_members([joined(1, "a", 1), retired], [])] == [9]
    assert not retired_with_members([joined(1, "a", 1), parted(4, "a"), joined(4, "b", 2), retired], [])
    assert not retired_with_members([joined(1, "a", 1), retired], [(5, "g")]), "it was killed"
