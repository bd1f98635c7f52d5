"""One forwarder's side of planning: its holders, and which planner it asks for which slot.

A planner that does not answer by the next beat, or says that it does not plan the slot, is followed by the
next in rank; who answers is asked again. What is held serves on meanwhile. A member that asks for nothing any
more is forgotten once its lease has run out.

May know: its own clock, grants, that a planner said no. May not know: sockets, who is alive.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .holder import Holder
from .placement import ranked, slot
from .terms import LEASE, Ask, Grant, Limit

FORGET = 4 * LEASE  # ns without a request after which a member's state goes: its lease ended long before
Slices = Callable[[int], int]  # forwarders among which a member's even part is divided


@dataclass(slots=True)
class _Member:
    holder: Holder
    last: int  # when a request last came
    tries: int = 0  # planners that said no since the last beat
    answered: bool = True


class Forwarder:
    """`take` for each request, `beat` once a `BEAT`, `granted` and `declined` for what comes back."""

    def __init__(
        self, me: int, incarnation: int, planners: int, limit_of: Callable[[int], Limit], slices_of: Slices
    ) -> None:
        self.me, self._incarnation, self._planners = me, incarnation, planners
        self._limit_of, self._slices_of = limit_of, slices_of
        self.members: dict[int, _Member] = {}
        self._turns: dict[int, int] = {}  # by slot: the place in its rank of the planner that is asked

    def take(self, now: int, number: int, units: float) -> bool:
        member = self.members.get(number)
        if member is None:
            holder = Holder(self._limit_of(number), self._slices_of(number), now)
            member = self.members[number] = _Member(holder, now)
        member.last = now
        return member.holder.take(now, units)

    def _planner(self, number: int) -> int:
        where = slot(number)
        return ranked(where, self._planners)[self._turns.get(where, 0) % self._planners]

    def _next(self, number: int) -> None:
        where = slot(number)
        self._turns[where] = self._turns.get(where, 0) + 1

    def beat(self, now: int) -> list[tuple[int, Ask]]:
        """To whom to say what."""
        silent = {slot(number) for number, member in self.members.items() if not member.answered}
        for where in silent:
            self._turns[where] = self._turns.get(where, 0) + 1
        out = []
        for number, member in list(self.members.items()):
            if now - member.last > FORGET:
                del self.members[number]
                continue
            member.tries, member.answered = 0, False
            ask = member.holder.ask(now, self.me, self._incarnation, number)
            out.append((self._planner(number), ask))
        return out

    def granted(self, now: int, grant: Grant) -> bool:
        member = self.members.get(grant.member)
        if member is None:
            return False
        member.answered = True
        return member.holder.granted(now, grant)

    def declined(self, now: int, planner: int, number: int) -> tuple[int, Ask] | None:
        """A planner does not plan this member: the next one is asked at once, each once a beat."""
        member = self.members.get(number)
        if member is None or member.answered or member.tries >= self._planners - 1:
            return None
        member.tries += 1
        if self._planner(number) == planner:
            self._next(number)
        ask = member.holder.ask(now, self.me, self._incarnation, number)
        return self._planner(number), ask
