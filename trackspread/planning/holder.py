"""One member's rights at a forwarder: what it may send on, by its lease and by its even slice.

The rules of this file:
- A lease counts from when it was asked for, and ends earlier by the drift. With it go its tokens.
- A grant is taken only in answer to the open ask, in place of the very lease that the ask was made with, and
  only under an epoch no older than the newest heard of. Late, doubled, reordered and stale ones do nothing.
- The even slice starts empty and needs no planner: nobody is refused for want of one.
- A soft right whose lease has run out is carried on as it was, without new tokens, for a while.

May know: its own clock, grants in any order. May not know: which planner granted, other forwarders.
"""

from __future__ import annotations

from math import exp

from .terms import CARRIED, DRIFT, LEASE, NONE, SECOND, Ask, Cap, Grant, Limit, Number

MEMORY = 600_000_000  # ns, time constant of the demand that is told: smooth over a beat, followed within two
LONG = 8 * SECOND  # ns, the same for those who seldom ask: they would lose their right between two requests
SELDOM = 1.0  # units a second up to which the long memory counts: a busy one that moves must be let go
KEPT = int(LEASE * (1.0 - DRIFT))  # ns that a lease lasts here, on a clock that may run slow


class Holder:
    """`may` for each request and `spend` if it goes on; `ask` at each beat; `granted` for what comes back."""

    def __init__(self, cap: Cap, part: float, now: int) -> None:
        """`part`: of the cap, what lies here and needs no planner."""
        self.even = Limit(cap.limit.rate * part / (1.0 + DRIFT), cap.limit.burst * part)
        self._carried = CARRIED if cap.soft else 0
        self.right, self.number, self.until = Limit(0.0, 0.0), NONE, 0
        self.level = self.slice = self.returned = 0.0
        self.waits = 0.0  # units of a request that was refused since the last word, for whatever cap
        self.at, self.epoch = now, 0
        self._asked: tuple[int, int, Number] = (-1, 0, NONE)  # the open ask: sequence, when, base
        self._sequence = 0
        self._rate = self._seldom = self._asked_for = 0.0
        self._told = now
        self._said = 0.0, 0.0  # rate and waiting units of the last word

    def advance(self, now: int) -> None:
        """Fill both stores; a lease that has run out takes its tokens along."""
        end = self.until + self._carried
        span = max(0, min(now, end) - self.at) / SECOND
        self.level = min(self.right.burst, self.level + self.right.rate * span)
        self.slice = min(self.even.burst, self.slice + self.even.rate * (now - self.at) / SECOND)
        if now >= end and self.right.burst:
            self.right, self.level, self.returned = Limit(0.0, 0.0), 0.0, 0.0
        self.at = now

    def may(self, now: int, units: float) -> bool:
        """Whether this request may be sent on; what it asks for counts as demand either way."""
        self.advance(now)
        self._asked_for += units
        return self.level + self.slice >= units

    def spend(self, units: float) -> None:
        """Its units are gone: the lease's first, as those run out."""
        leased = min(self.level, units)
        self.level -= leased
        self.slice -= units - leased

    def ask(self, now: int, forwarder: int, incarnation: int, member: int, which: int) -> Ask:
        """The word of this beat; a grant that answers an earlier one does nothing any more."""
        self.advance(now)
        span = max(1, now - self._told)
        now_rate = self._asked_for * SECOND / span
        self._rate += (1.0 - exp(-span / MEMORY)) * (now_rate - self._rate)
        self._seldom += (1.0 - exp(-span / LONG)) * (now_rate - self._seldom)
        # Whoever was refused asks for what came just now, however little came before.
        rate = max(self._rate, min(self._seldom, SELDOM), now_rate if self.waits else 0.0)
        self._asked_for, self._told = 0.0, now
        self._said, self.waits = (rate, self.waits), 0.0
        return self._word(now, forwarder, incarnation, member, which)

    def again(self, now: int, forwarder: int, incarnation: int, member: int, which: int) -> Ask:
        """The last word once more, with what is held now: what was taken back is free for others at once."""
        self.advance(now)
        return self._word(now, forwarder, incarnation, member, which)

    def _word(self, now: int, forwarder: int, incarnation: int, member: int, which: int) -> Ask:
        # By the clock: a member that was forgotten here and comes again goes on behind what it said before.
        self._sequence = max(self._sequence + 1, now)
        self._asked = self._sequence, now, self.number
        returned, self.returned = self.returned, 0.0
        return Ask(
            forwarder,
            incarnation,
            self._sequence,
            member,
            which,
            self.number,
            self.right,
            self.level,
            returned,
            *self._said,
        )

    def granted(self, now: int, grant: Grant) -> bool:
        """Take up a grant, or leave it be."""
        self.advance(now)
        sequence, asked_at, base = self._asked
        stale = grant.sequence != sequence or grant.base != base or base != self.number
        if stale or grant.epoch < self.epoch or grant.number <= self.number or asked_at + KEPT <= now:
            return False
        self.epoch, self.number, self.right = grant.epoch, grant.number, grant.right
        self.until = asked_at + KEPT
        level = self.level + grant.tokens
        self.level = min(level, self.right.burst)
        self.returned += level - self.level
        return True
