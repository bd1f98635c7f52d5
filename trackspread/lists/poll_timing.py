"""Times this gateway's calls to discovery so that discovery can answer all gateways of a fleet.

It knows the size of the fleet and a random source. It knows no sockets, no clocks and no list contents.

Discovery answers calls one after the other. If more calls arrive together than it can answer within their
timeout, all of them wait in vain, the work for those that gave up is lost, and all call again: discovery
would never recover.
"""

from __future__ import annotations

import random

MIN_WAIT_S, MAX_WAIT_S = 0.05, 2.0  # between calls in a small fleet; doubles from the minimum to the maximum
MAX_CALL_S = 0.2  # that discovery needs at most for one gateway's call: 40 of them in 8 s
CALL_TIMEOUT_S = 2.0  # of a call; calls need no spreading if a queue of all gateways is no longer than this
# A change counts as notified this long after discovery could be reached, whatever became of the call before.
NOTIFIED_AFTER_S = 6.0
MAX_ANSWER_S = 1.0  # for the call that then reaches discovery, from connecting to the answer
MAX_SPREAD_S = NOTIFIED_AFTER_S - MAX_ANSWER_S  # that a rejected gateway waits at most
# The part of that time which each gateway waits at least. With less, the slowest discovery would get more
# calls of gateways without an answer than it answers; with this, all are answered in the end.
MIN_SPREAD_FRACTION = 0.85
# The wait of a gateway without a list after an error that came at once: it becomes ready once it has a list.
MIN_NO_LIST_WAIT_S, MAX_NO_LIST_WAIT_S = 2.0, 3.0
# Over which first calls are spread: the answer arrives before the listeners open (`FIRST_LIST_TIMEOUT_S`).
FIRST_SPREAD_S = 0.4
# Where lists are pushed, a change also counts as notified while no watch is open: the wait before the next
# watch is at most this part of a drain's grace time, as the call itself needs some of it.
GRACE_FRACTION = 0.4


class PollTiming:
    """Computes the waits before the calls of one gateway, in seconds; its only state is the present wait."""

    def __init__(self, gateways: int, rng: random.Random, grace_s: float) -> None:
        """Creates the timing of one gateway among `gateways`.

        `grace_s` is how long after the notice of a drain a request may still be sent.
        """
        queue_s = MAX_CALL_S * gateways
        self._spread_s = min(MAX_SPREAD_S, queue_s) if queue_s > CALL_TIMEOUT_S else 0.0
        self._rng = rng
        self._wait_s = MIN_WAIT_S
        self._max_wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, GRACE_FRACTION * grace_s))

    def first_wait_s(self) -> float:
        """Returns the wait before the first call of a start with a cached list, as many may start at once."""
        return self._rng.uniform(0.0, min(FIRST_SPREAD_S, self._spread_s))

    def next_wait_s(self, was_rejected: bool) -> float:
        """Returns the wait before the call that follows one that ended.

        `was_rejected` means that discovery is overloaded: it answered so, or closed a call that waited in its
        queue. Any other end says nothing about how many calls it gets.
        """
        # Jitter, or gateways whose agents failed together would call again together.
        if was_rejected and self._spread_s:
            return self._rng.uniform(MIN_SPREAD_FRACTION, 1.0) * self._spread_s
        fraction = self._rng.uniform(0.5, 1.0)
        wait_s = self._wait_s
        self._wait_s = min(self._max_wait_s, 2 * self._wait_s)
        return max(fraction * wait_s, min(self._max_wait_s, self.first_wait_s()))

    def wait_without_list_s(self) -> float:
        """Returns the wait before the call that follows an error, for a gateway that has no list to serve by.

        Calls that get an error take no place in discovery's queue, so more of them delay no other gateway.
        """
        return min(self.next_wait_s(True), self._rng.uniform(MIN_NO_LIST_WAIT_S, MAX_NO_LIST_WAIT_S))

    def wait_after_silence_s(self) -> float:
        """Returns the wait before the call that follows a watch without input.

        The silence was the wait already: it used up the time after which a change counts as notified.
        """
        return max(self._rng.uniform(0.5, 1.0) * MIN_WAIT_S, self.first_wait_s())

    def reset(self) -> None:
        """Starts again with the shortest wait, after a line arrived or the agent changed."""
        self._wait_s = MIN_WAIT_S
