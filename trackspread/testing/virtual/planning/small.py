"""The smallest world in which planning can go wrong: 2 planners, 2 forwarders, 1 member, for the explorer.

What happens is whole exchanges, each within an instant: a planner bids, a forwarder asks either planner;
or the last
word of one is late, comes later, or never. Who says nothing in a step is dead or cut off in it; a planner
or a
forwarder may start anew; clocks run at the stated drift, one fast and the others slow. Single messages in
every order
gave depth 5 at 20,000 states, where nothing can go wrong yet. Checked at every state: at most one planner
owns the slot; rights that are out sum to no more than what is planned.
"""

from __future__ import annotations

import pickle
import random
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Self
from unittest.mock import patch

from ....planning import placement, planner
from ....planning.election import ElectionMessage
from ....planning.election import ACCEPTED_NS, TERM_NS, Outbox
from ....planning.forwarder import Forwarder
from ....planning.planner import Planner
from ....decide.time_units import SECOND
from ....planning.limits import Limit, TenantLimit
from ....planning.messages import Grant, LeaseRequest
from ....planning.timing import HEARTBEAT_NS, LEASE_NS
from .account import CapAccount
from ..patches import applied
from .saturated import DRIFT_STATED

MEMBER = 1
CAP = TenantLimit(Limit(4.0, 4.0), 1.0, False)
STEP = HEARTBEAT_NS  # ns by which time goes on: a term is two and a half of them, a lease four
START = 1000 * SECOND
STEPS, LATE, STARTS = 8, 1, 1  # budgets of one exploration: steps of time, late words at once, new starts

Message = tuple[str, int, int, ElectionMessage | LeaseRequest | Grant]  # kind, from, to, what


class _Even(random.Random):
    """Draws the middle: chance is the explorer's matter."""

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2

    def __reduce__(self) -> tuple[type[_Even], tuple[()]]:
        return _Even, ()


def _caps(member: int) -> tuple[TenantLimit, ...]:
    return (CAP,)


def _parts(member: int) -> tuple[float, ...]:
    return (0.0,)


class SmallWorld:
    """A state, and what may happen to it."""

    def __init__(self) -> None:
        self.now = START
        self.steps = STEPS
        self.starts = STARTS
        self.planners = [self._planner(n) for n in range(2)]
        self.forwarders = [self._forwarder(n, 1) for n in range(2)]
        self.asked = [False, False]  # in this step: a beat is about a step
        self.late: list[Message] = []

    def _planner(self, number: int) -> Planner:
        made = Planner(number, 2, _caps, 1.0, self._at("p", number), number)
        for election in made.elections:
            election._rng = _Even()
            election._next_attempt_ns = self._at("p", number) + ACCEPTED_NS
        return made

    def _forwarder(self, number: int, start: int) -> Forwarder:
        made = Forwarder(number, start, 2, _caps, _parts)
        made.admit(self._at("f", number), MEMBER, 1.0)  # it asks for something from the first
        return made

    def _at(self, kind: str, number: int) -> int:
        """Clocks: the first planner's is slow, so are the forwarders'; the other's is fast."""
        rate = 1.0 + DRIFT_STATED if (kind, number) == ("p", 1) else 1.0 - DRIFT_STATED
        return START + int((self.now - START) * rate)

    # What may happen.

    def events(self) -> Iterable[str]:
        """Names of all exchanges and faults that are possible next."""
        yield from (f"late word {number} comes" for number in range(len(self.late)))
        for number in range(2):
            if self.planners[number].elections[0]._next_attempt_ns <= self._at("p", number):
                yield f"planner {number} bids"
                if len(self.late) < LATE:
                    yield f"planner {number} bids and the last word is late"
            if not self.asked[number]:
                for to in range(2):
                    yield f"forwarder {number} asks planner {to}"
                    if len(self.late) < LATE:
                        yield f"forwarder {number} asks planner {to} and the last word is late"
            if self.starts:
                yield f"planner {number} starts anew"
                yield f"forwarder {number} starts anew"
        if self.steps:
            yield "time goes on"

    def apply(self, event: str) -> None:
        """Let an exchange or a fault happen."""
        match event.split():
            case ["late", "word", number, _]:
                self._exchange([self.late.pop(int(number))], False)
            case ["planner", number, "bids", *more]:
                out = [out for _, out in self.planners[int(number)].tick(self._at("p", int(number)))]
                self._exchange([m for each in out for m in self._said(int(number), each)], bool(more))
            case ["forwarder", number, "asks", _, to, *more]:
                self._exchange(self._asks(int(number), int(to)), bool(more))
            case ["planner", number, *_]:
                self.starts -= 1
                self.planners[int(number)] = self._planner(int(number))
            case ["forwarder", number, *_]:
                self.starts -= 1
                self.forwarders[int(number)] = self._forwarder(int(number), 2)
            case _:
                self.steps -= 1
                self.now += STEP
                self.asked = [False, False]

    def _asks(self, number: int, to: int) -> list[Message]:
        """The word of this beat, to whichever planner: ranks are no matter of safety."""
        self.asked[number] = True
        forwarder, now = self.forwarders[number], self._at("f", number)
        forwarder.admit(now, MEMBER, 1.0)
        return [("ask", number, to, ask) for _, ask in forwarder.heartbeat(now)]

    def _said(self, number: int, out: Outbox) -> list[Message]:
        """To others; what one says to oneself comes at once."""
        made: list[Message] = []
        for to, word in out:
            for target in (0, 1) if to is None else (to,):
                if target == number:
                    answer = self.planners[number].on_message(self._at("p", number), number, 0, word)
                    made += self._said(number, answer)
                else:
                    made.append(("word", number, target, word))
        return made

    def _exchange(self, mail: list[Message], late: bool) -> None:
        """Every word in its order, and what it brings forth; the very last may stay out."""
        while mail:
            following = self._came(mail[0]) if len(mail) > 1 or not late else None
            if following is None:
                ahead = pickle.loads(pickle.dumps(self))  # whether anything would come of it
                if not ahead._came(mail[0]):
                    self.late.append(mail[0])
                    return
                following = self._came(mail[0])
            mail = mail[1:] + following

    def _came(self, message: Message) -> list[Message]:
        match message:
            case ("word", source, to, ElectionMessage() as word):
                return self._said(to, self.planners[to].on_message(self._at("p", to), source, 0, word))
            case ("ask", source, to, LeaseRequest() as ask):
                grant = self.planners[to].on_request(self._at("p", to), ask)
                return [("grant", to, source, grant)] if grant is not None else []
            case ("grant", source, to, Grant() as grant):
                again = self.forwarders[to].on_grant(self._at("f", to), grant)
                return [("ask", to, source, ask) for _, ask in again]
        return []

    # What must never be.

    def violation(self) -> str:
        """The invariant that does not hold, or an empty text."""
        owners = [n for n in range(2) if self.planners[n].elections[0].owns(self._at("p", n))]
        if len(owners) > 1:
            return "two planners own the slot"
        rights = []
        for number, forwarder in enumerate(self.forwarders):
            member = forwarder.tenants.get(MEMBER)
            if member is not None and self._at("f", number) < member.holders[0].expires_at_ns:
                rights.append(member.holders[0].limit)
        return CapAccount(CAP, self.now).rights(rights)

    def normalized(self) -> Self:
        """The state itself: it has no parts whose order makes no difference."""
        return self


def elected() -> SmallWorld:
    """The first planner owns the slot, has learnt, and the first forwarder holds a right; budgets are
    whole."""
    world = SmallWorld()
    while world.now < START + ACCEPTED_NS + LEASE_NS + 2 * TERM_NS:
        world.apply("time goes on")
        world.apply("planner 0 bids")
        world.apply("forwarder 0 asks planner 0")
    if not world.forwarders[0].tenants[MEMBER].holders[0].limit.rate_per_s:
        raise RuntimeError("the first forwarder got no right: the prefix no longer fits planning")
    world.steps = STEPS
    return world


@contextmanager
def one_slot() -> Iterator[None]:
    """All members in one slot, as elections of others would only multiply states."""
    with applied([patch.object(placement, "SLOTS", 1), patch.object(planner, "SLOTS", 1)]):
        yield
