"""One forwarder's side of planning: its holders, and which planner it asks for which slot.

A planner that does not answer by the next beat, or says that it does not plan the slot, is followed by the
next in rank; who answers is asked again. What is held serves on meanwhile. A member that asks for nothing any
more is forgotten once its lease has run out.

May know: its own clock, grants, that a planner said no. May not know: sockets, who is alive.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .holder import Holder
from .placement import ranked, slot
from .terms import LEASE, Ask, Cap, Grant

FORGET = 4 * LEASE  # ns without a request after which a member's state goes: its lease ended long before
Parts = Callable[[int], Sequence[float]]  # of a member's caps, what lies here and needs no planner


@dataclass(slots=True)
class Member:
    """One member here: a holder for each of its caps."""

    holders: list[Holder]
    last: int  # when a request last came
    tries: int = 0  # planners that said no since the last beat
    answered: bool = True
    # caps that were acknowledged since the last beat: once is enough
    cut: set[int] = field(default_factory=set)


class Forwarder:
    """`take` for each request, `beat` once a `BEAT`, `granted` and `declined` for what comes back."""

    def __init__(
        self,
        me: int,
        incarnation: int,
        planners: int,
        caps_of: Callable[[int], tuple[Cap, ...]],
        parts_of: Parts,
    ) -> None:
        self.me, self._incarnation, self._planners = me, incarnation, planners
        self._caps_of, self._parts_of = caps_of, parts_of
        self.members: dict[int, Member] = {}
        self._turns: dict[int, int] = {}  # by slot: the place in its rank of the planner that is asked

    def take(self, now: int, number: int, units: float) -> bool:
        """Whether a request may be sent on, by all of its member's caps; if so, its units are gone."""
        member = self.members.get(number)
        if member is None:
            caps, parts = self._caps_of(number), self._parts_of(number)
            holders = [Holder(cap, part, now) for cap, part in zip(caps, parts, strict=True)]
            member = self.members[number] = Member(holders, now)
        member.last = now
        if not all([holder.may(now, units) for holder in member.holders]):
            for holder in member.holders:
                holder.waits = units  # at all of them: a turn that waits for another cap's right is kept
            return False
        for holder in member.holders:
            holder.spend(units)
        return True

    def _planner(self, number: int) -> int:
        where = slot(number)
        return ranked(where, self._planners)[self._turns.get(where, 0) % self._planners]

    def _next(self, where: int) -> None:
        self._turns[where] = self._turns.get(where, 0) + 1

    def _asks(self, now: int, number: int, member: Member) -> list[tuple[int, Ask]]:
        to = self._planner(number)
        return [
            (to, holder.ask(now, self.me, self._incarnation, number, which))
            for which, holder in enumerate(member.holders)
        ]

    def beat(self, now: int) -> list[tuple[int, Ask]]:
        """To whom to say what."""
        for where in {slot(number) for number, member in self.members.items() if not member.answered}:
            self._next(where)
        out = []
        for number, member in list(self.members.items()):
            if now - member.last > FORGET:
                del self.members[number]
                continue
            member.tries, member.answered = 0, False
            member.cut.clear()
            out += self._asks(now, number, member)
        return out

    def granted(self, now: int, grant: Grant) -> list[tuple[int, Ask]]:
        """Take up a grant, or leave it be; what to say to that."""
        member = self.members.get(grant.member)
        if member is None or not 0 <= grant.which < len(member.holders):
            return []
        member.answered = True
        holder = member.holders[grant.which]
        before = holder.right
        if not holder.granted(now, grant) or grant.which in member.cut:
            return []
        if grant.right.rate >= before.rate and grant.right.burst >= before.burst:
            return []
        member.cut.add(grant.which)
        word = holder.again(now, self.me, self._incarnation, grant.member, grant.which)
        return [(self._planner(grant.member), word)]

    def declined(self, now: int, planner: int, number: int) -> list[tuple[int, Ask]]:
        """A planner does not plan this member: the next one is asked at once, each once a beat."""
        member = self.members.get(number)
        wrong = self._planner(number) != planner  # told of before
        if member is None or member.answered or wrong or member.tries >= self._planners - 1:
            return []
        member.tries += 1
        self._next(slot(number))
        return self._asks(now, number, member)
