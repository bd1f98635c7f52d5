"""When this gateway calls discovery, so that all of a fleet's calls can be answered.

May know: the fleet's size, a random source. May not know: sockets, clocks, what a list holds.

Discovery serves calls in turn. Where more come together than it can answer within its callers' patience, all
wait in vain, the work done for those who left is lost, and all come again: it never recovers.
"""

from __future__ import annotations

import random

FIRST, MOST = 0.05, 2.0  # s between calls where gateways are few; doubles from the first to the most
TURN = 0.2  # s that discovery may need for one gateway's call, its slowest: 40 of them in 8 s
PATIENCE = 2.0  # s after which a call is given up: a line of all gateways' turns that long does no harm
# What discovery has counts as told this many s after it could be reached, whatever became of the call before.
TOLD_MOST = 6.0
ANSWER_MOST = 1.0  # s that the call which then reaches it may take, connecting and the answer
SPREAD_MOST = TOLD_MOST - ANSWER_MOST  # s that a gateway which was turned away waits at most
# Part of these that each waits at least. No less: with the slowest discovery served, the calls of those that
# it has not answered yet come to fewer than it answers, and all are answered in the end.
SPREAD_LEAST = 0.85
# The same of a gateway that has no list to serve by, after an error that came at once: it is ready when it
# has one.
LISTLESS_LEAST, LISTLESS_MOST = 2.0, 3.0
# s over which first calls are spread: the answer is there before the door opens (`FIRST_LIST_TIMEOUT_S`)
UNASKED = 0.4
# Where lists are pushed, what discovery has counts as told also while no watch is open: the wait before the
# next one is no more than this part of a drain's grace, of which the call itself needs some.
GRACE_PART = 0.4


class Turns:
    """The waits before calls of one gateway, in seconds; no state but the present wait."""

    def __init__(self, gateways: int, rng: random.Random, grace: float) -> None:
        """`grace`: s after the notice of a drain in which a request may still be sent."""
        line = TURN * gateways
        self._spread = min(SPREAD_MOST, line) if line > PATIENCE else 0.0
        self._rng = rng
        self._wait = FIRST
        self._most = min(MOST, max(FIRST, GRACE_PART * grace))

    def first(self) -> float:
        """Before the first call after a start with a list that serves meanwhile: many may start together."""
        return self._rng.uniform(0.0, min(UNASKED, self._spread))

    def again(self, turned_away: bool) -> float:
        """Before the call that follows one that ended. `turned_away`: discovery has too much to do, as it
        said or as it closed a call that waited in its line; any other end is no word on how many calls it
        gets."""
        # Jitter, or gateways whose agents broke together would come back together.
        if turned_away and self._spread:
            return self._rng.uniform(SPREAD_LEAST, 1.0) * self._spread
        part = self._rng.uniform(0.5, 1.0)
        wait = self._wait
        self._wait = min(self._most, 2 * self._wait)
        return max(part * wait, min(self._most, self.first()))

    def without_list(self) -> float:
        """Before the call that follows one that was answered with an error, where no list serves meanwhile.
        Such calls take no place in discovery's line, so more of them keep nobody from an answer."""
        return min(self.again(True), self._rng.uniform(LISTLESS_LEAST, LISTLESS_MOST))

    def after_silence(self) -> float:
        """Before the call that follows one that fell silent: the silence was the wait, and has no part left
        of the time in which a change counts as told."""
        return max(self._rng.uniform(0.5, 1.0) * FIRST, self.first())

    def answered(self) -> None:
        """A line came, or discovery is another one now: the next wait is the first one again."""
        self._wait = FIRST
