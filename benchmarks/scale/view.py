"""Decides whether many processes hold the same view. The module does no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from .messages import Held, MemberId

Number = tuple[int, int, int]


class View(NamedTuple):
    """Describes a view that a member holds: the digest of the view's members, and the view's number."""

    members: int
    number: Number


def digest(members: Iterable[MemberId]) -> int:
    """Returns the digest of ordered members, as `membership/member_table.py` computes it of live members."""
    return xxhash.xxh32_intdigest(";".join(f"{name}:{born}" for name, born in members).encode())


def settled(held: Iterable[Held], others: Iterable[MemberId], views: set[View]) -> bool:
    """Returns whether all hold one view of exactly the running members, and hold exactly these for live.

    `held` is the state of each hollow process, `others` are the members that are not hollow, and `views` are
    the views of these.
    """
    states = list(held)
    running = sorted({who for each in states for who in each.running} | set(others))
    expected = digest(running)
    found = set(views)
    for live, members, number in {state for each in states for state in each.distinct}:
        if live != expected:
            return False
        found.add(View(members, number))
    return len(found) == 1 and found.pop().members == expected
