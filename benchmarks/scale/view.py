"""When many processes hold the same view. Pure: digests and numbers in, a verdict out."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from .messages import Held, Who

Number = tuple[int, int, int]


class View(NamedTuple):
    """A view as somebody holds it: the digest of its members, and its number."""

    members: int
    number: Number


def digest(members: Iterable[Who]) -> int:
    """Of members in their order; the same as theirs of who is live (`membership/member_table.py`)."""
    return xxhash.xxh32_intdigest(";".join(f"{name}:{born}" for name, born in members).encode())


def settled(held: Iterable[Held], others: Iterable[Who], views: set[View]) -> bool:
    """Whether all hold one view of just those that run, and take just them for live.

    `held`: of each hollow process; `others`: the members that are not hollow; `views`: what these hold."""
    looked = list(held)
    running = sorted({who for each in looked for who in each.running} | set(others))
    wanted = digest(running)
    found = set(views)
    for live, members, number in {one for each in looked for one in each.distinct}:
        if live != wanted:
            return False
        found.add(View(members, number))
    return len(found) == 1 and found.pop().members == wanted
