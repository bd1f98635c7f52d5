"""Which slot a member is in, and in what order forwarders look for its planner. Pure functions of names.

Rendezvous hashing (Thaler and Ravishankar 1996): who comes or goes moves its own part alone.
"""

from __future__ import annotations

from hashlib import blake2b

SLOTS = 16  # of members, each with an owner of its own: several times the planners, so that work spreads


def _draw(*parts: int) -> int:
    return int.from_bytes(blake2b(b"/".join(b"%d" % part for part in parts), digest_size=8).digest(), "big")


def slot(member: int) -> int:
    return _draw(member) % SLOTS


def ranked(slot_number: int, planners: int) -> list[int]:
    """All planners, the one that the slot falls to first."""
    return sorted(range(planners), key=lambda planner: _draw(slot_number, planner), reverse=True)
