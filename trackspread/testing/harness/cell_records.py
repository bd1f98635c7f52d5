"""Checks whether the records of gateways and control machines about cells are consistent.

Each check takes records in order of time and returns the inconsistencies. `judge/membership_records.py`
checks the rules within one cell's view.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import cast

import msgspec

from ..judge.membership_records import Inconsistency, MembershipRecord


def older_placements(records: Iterable[MembershipRecord]) -> list[Inconsistency]:
    """Returns the gateways that followed an older placement after a newer one."""
    newest: dict[tuple[str, int], tuple[int, ...]] = {}
    found = []
    for record in records:
        if record.kind != "joined":
            continue
        number = msgspec.convert(record.about["number"], tuple[int, ...])
        if number < newest.get(record.process_id, ()):
            found.append(
                Inconsistency(record.at, "view", f"{record.name} returned to the older placement {number}")
            )
        newest[record.process_id] = max(number, newest.get(record.process_id, ()))
    return found


def double_memberships(records: Iterable[MembershipRecord]) -> list[Inconsistency]:
    """Returns the gateways that joined a cell before they had left another."""
    cells: dict[tuple[str, int], str] = {}
    found = []
    for record in records:
        if record.kind == "joined":
            if record.process_id in cells:
                found.append(Inconsistency(record.at, "view", f"{record.name} is in two cells"))
            cells[record.process_id] = str(record.about["cell"])
        elif record.kind == "parted":
            cells.pop(record.process_id, None)
    return found


def unreturned_slots(records: Iterable[MembershipRecord]) -> list[Inconsistency]:
    """Returns the gateways that left a cell before they had returned its slots, or before these expired."""
    expires_at: dict[tuple[tuple[str, int], str], int] = {}
    found = []
    for record in records:
        key = record.process_id, str(record.about.get("fleet", record.about.get("cell", "")))
        if record.kind == "part":
            duration_ns = cast(int, record.about["lasts"])
            expires_at[key] = record.at + duration_ns * bool(record.about["part"])
        elif record.kind in ("left", "fenced", "made way"):
            expires_at.pop(key, None)
        elif record.kind == "parted" and expires_at.get(key, 0) > record.at:
            found.append(
                Inconsistency(record.at, "rights", f"{record.name} left {key[1]} and keeps its slots")
            )
    return found


def retired_with_members(
    records: Iterable[MembershipRecord], process_ends: Iterable[tuple[int, str]]
) -> list[Inconsistency]:
    """Returns the cells that a control machine retired while a running gateway was in them.

    `process_ends` holds times (ns) at which a gateway's process was killed or ended, with the gateway's name.
    """
    cells: dict[str, str] = {}
    ends = sorted(process_ends)
    found = []
    for record in records:
        while ends and ends[0][0] <= record.at:
            cells.pop(ends.pop(0)[1], None)
        if record.kind == "joined":
            cells[record.name] = str(record.about["cell"])
        elif record.kind in ("parted", "left"):
            cells.pop(record.name, None)
        elif record.kind == "control retired" and record.about["cell"] in cells.values():
            found.append(
                Inconsistency(record.at, "view", f"{record.about['cell']} was retired with gateways in it")
            )
    return found
