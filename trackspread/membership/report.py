"""What one gateway holds of its fleet, for operators.

May know: the core, its host's counts. Decides nothing.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from .member import Member
from .slots import SLOTS
from .terms import SECOND, GossipUpdate, State


class Seen(msgspec.Struct, frozen=True):
    """One member as this gateway knows it; `in_view`: whether the view has just this process of its name."""

    name: str
    state: str
    born: int
    life: int
    version: str
    address: str
    since_s: float
    in_view: bool


class Report(msgspec.Struct, frozen=True):
    """All of it. `standing`: `settled`, `joining` (in no view yet), `waiting` (in it, and its part is still
    out with others, as far as is known), `parted` (cut off from the coordinator: nothing is known for sure),
    `fenced` or `left`."""

    fleet: str
    name: str
    standing: str
    view: tuple[int, int, int] | None
    members: int
    part: float  # of what all share, that may be acted on here now
    leader: str
    leads: bool
    health: int  # of this process; 0 is well
    seen: tuple[Seen, ...]
    differ: tuple[str, ...]  # names that are live but not in the view, or in it but not live
    counts: dict[str, int]
    dropped: dict[str, int]
    cell: str = ""  # where the fleet has cells: which one this view is of
    answered_s: float | None = None  # since a control machine answered; none: never, or there are no cells


def standing(now: int, core: Member) -> str:
    if core.fenced:
        return "fenced"
    if core.gone:
        return "left"
    if core.view is None or core.who not in core.view.members:
        return "joining"
    if core.part(now):
        return "settled"
    return "waiting" if now < core.holding.until else "parted"


def report(now: int, core: Member, counts: Mapping[str, int], dropped: Mapping[str, int]) -> Report:
    table, view = core.member_table, core.view
    inside = set(view.members) if view is not None else set()

    def seen(word: GossipUpdate, since: int) -> Seen:
        state = "SLOW" if word.slow and word.state == State.ALIVE else State(word.state).name
        return Seen(
            word.name,
            state,
            word.born,
            word.life,
            word.version,
            f"{word.host}:{word.port}",
            round((now - since) / SECOND, 1),
            word.who in inside,
        )

    others = (seen(each.update, each.since) for each in table.by_name.values())
    everybody = [seen(table.me, core.begun), *others]
    differ = {name for name, _ in inside ^ set(table.live())}
    leader = core.leader
    return Report(
        core.settings.fleet,
        table.me.name,
        standing(now, core),
        view.number if view is not None else None,
        len(inside),
        round(core.part(now).bit_count() / SLOTS, 4),
        leader.who[0] if leader is not None else "",
        core.owns(now),
        core.probing.health,
        tuple(sorted(everybody, key=lambda each: each.name)),
        tuple(sorted(differ)),
        dict(counts),
        dict(dropped),
    )
