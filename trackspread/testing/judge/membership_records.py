"""Whether gateways' beliefs about their own fleet fit together, from their records alone.

The records are what each process wrote of what it held and when, on the machine's one monotonic clock. The
rules of this file:
- Under one number there is one view; each is issued by one process, and follows its predecessor.
- At no instant do two processes act on the same slot of what all share. A process holds its part for as long
  as it was granted, also while it stands still; one that was killed or has ended holds nothing.
- Since some moment all that run hold one view of just them.

May not know: the gateway's code; how a view is agreed on.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Literal

import msgspec

SLOTS = 1024  # of what all share, which parts are sets of
Number = tuple[int, int, int]
Who = tuple[str, int]


class MembershipRecord(msgspec.Struct, frozen=True):
    """One line of a record. `born`: which process of that name."""

    at: int
    name: str
    born: int
    kind: str
    about: dict[str, object] = {}

    @property
    def who(self) -> Who:
        return self.name, self.born


class Inconsistency(msgspec.Struct, frozen=True, order=True):
    at: int
    rule: Literal["view", "rights"]
    text: str


class Reader:
    """Records that still grow; what was read once is not read again."""

    def __init__(self, paths: Iterable[Path]) -> None:
        self._at = {path: 0 for path in paths}
        self._decode = msgspec.json.Decoder(MembershipRecord).decode
        self._all: list[MembershipRecord] = []

    def all(self) -> list[MembershipRecord]:
        """In the order of their stamps. A half line at an end is passed over: its process was killed, or has
        not written the rest yet."""
        fresh: list[MembershipRecord] = []
        for path, at in self._at.items():
            if not path.exists():
                continue
            with path.open("rb") as file:
                file.seek(at)
                whole, _, _ = file.read().rpartition(b"\n")
            if whole:
                self._at[path] = at + len(whole) + 1
                fresh += [self._decode(line) for line in whole.split(b"\n")]
        self._all += fresh
        self._all.sort(key=lambda each: each.at)  # nearly in order: cheap
        return self._all


def _number(value: object) -> Number:
    made: Number = msgspec.convert(value, Number)
    return made


def _members(value: object) -> tuple[Who, ...]:
    made: tuple[Who, ...] = msgspec.convert(value, tuple[Who, ...])
    return made


def views(beliefs: Sequence[MembershipRecord]) -> list[Inconsistency]:
    """The first rule."""
    found: list[Inconsistency] = []
    held: dict[Number, tuple[Number, tuple[Who, ...]]] = {}
    issued: dict[Number, Who] = {}
    for each in beliefs:
        if each.kind not in ("view", "issued"):
            continue
        number, parent = _number(each.about["number"]), _number(each.about["parent"])
        told = parent, _members(each.about["members"])
        if held.setdefault(number, told) != told:
            found.append(Inconsistency(each.at, "view", f"{each.name} holds another view under {number}"))
        if each.kind == "issued":
            if issued.setdefault(number, each.who) != each.who:
                found.append(
                    Inconsistency(each.at, "view", f"{number} issued by {issued[number]} and {each.who}")
                )
            follows = parent == (*number[:2], number[2] - 1) if number[2] > 1 else parent < number
            if not follows:
                found.append(Inconsistency(each.at, "view", f"{number} follows {parent}"))
    return found


def rights(
    beliefs: Sequence[MembershipRecord], gone: Iterable[tuple[int, str]]
) -> tuple[list[Inconsistency], float]:
    """The second rule, and the most that was held at once, as a share of all slots. `gone`: when a process
    of a name was killed or had ended."""
    ends: dict[str, list[int]] = {}
    for at, name in gone:
        ends.setdefault(name, []).append(at)
    spans: dict[Who, list[list[int]]] = {}  # from, until, slots
    for each in beliefs:
        if each.kind in ("left", "fenced", "renamed", "made way") and (mine := spans.get(each.who)):
            mine[-1][1] = min(mine[-1][1], each.at)
        if each.kind != "part":
            continue
        mine = spans.setdefault(each.who, [])
        if mine:
            mine[-1][1] = min(mine[-1][1], each.at)
        until = each.at + int(each.about["lasts"])  # type: ignore[call-overload]
        until = min([until, *(at for at in ends.get(each.name, []) if at >= each.at)])
        mine.append([each.at, until, slots_of(str(each.about["part"]))])
    steps: list[tuple[int, bool, int, Who]] = []
    for who, mine in spans.items():
        for since, until, part in mine:
            if until > since:
                steps += [(since, True, part, who), (until, False, part, who)]
    held: dict[Who, int] = {}
    most = 0
    found: list[Inconsistency] = []
    for at, begins, part, who in sorted(steps):  # what ends comes before what begins at the same instant
        held.pop(who, None)
        if not begins:
            continue
        for other, theirs in held.items():
            if part & theirs and not found:
                count = (part & theirs).bit_count()
                found.append(Inconsistency(at, "rights", f"{who} and {other} act on the same {count} slots"))
        held[who] = part
        most = max(most, sum(each.bit_count() for each in held.values()))
    return found, most / SLOTS


def slots_of(text: str) -> int:
    """`0-169,340-509` as bits."""
    slots = 0
    for run in filter(None, text.split(",")):
        first, _, last = run.partition("-")
        slots |= (1 << int(last) + 1) - (1 << int(first))
    return slots


def settled_at(beliefs: Sequence[MembershipRecord], running: Sequence[Who], since: int) -> int | None:
    """ns after `since` from which all that run hold one view of just them, and none has changed since; None
    for never."""
    wanted = tuple(sorted(running))
    last: dict[Who, tuple[int, Number, tuple[Who, ...]]] = {}
    for each in beliefs:
        if each.kind == "view" and each.who in wanted:
            last[each.who] = each.at, _number(each.about["number"]), _members(each.about["members"])
    if set(last) != set(wanted) or len({number for _, number, _ in last.values()}) > 1:
        return None
    if any(members != wanted for _, _, members in last.values()):
        return None
    return max(0, max(at for at, _, _ in last.values()) - since)
