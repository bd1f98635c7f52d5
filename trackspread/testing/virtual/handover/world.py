"""Handovers in virtual time: an old process, newcomers, and whatever befalls either at any step.

May know: the steps of both sides. Each message may be late or lost with its process; each process may be
killed or fall silent at any moment. Seeded: the same seed is the same run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count

from ....handover.states import (
    Action,
    Actions,
    Event,
    PredecessorStep,
    PredecessorSteps,
    SuccessorSteps,
)

LAG = 0.002  # s that a message takes at most
SPAN = 12.0  # s of a run: over every wait of both sides together


class World:
    """One old process and one new one. `old_grants` and `new_grants`: who serves."""

    def __init__(
        self, seed: int, predecessor: PredecessorSteps | None = None, successor: SuccessorSteps | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.predecessor = predecessor or PredecessorSteps()
        self.successor = successor or SuccessorSteps()
        self.old_grants = True
        self.new_grants = False
        self.both = 0.0  # s for which both granted
        self.none = 0.0  # s for which neither of those alive did, though one could
        self.link = False
        self.alive = {"old": True, "new": True}
        self.silent = {"old": False, "new": False}
        self.queued_for_old: list[Event] = []
        self._timers = {"old": 0, "new": 0}
        self._mark = 0.0

    def later(self, wait: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + wait, next(self._order), do))

    def run(self) -> None:
        self.later(self.rng.uniform(0.0, 0.01), self._seek)
        self.later(self.rng.uniform(0.0, 0.6), lambda: self._new(Event.READY))
        while self._events and self._events[0][0] <= SPAN:
            at, _, do = heapq.heappop(self._events)
            self._account(at)
            self.now = at
            do()
        self._account(SPAN)

    def _account(self, until: float) -> None:
        span = until - self.now
        if self.old_grants and self.new_grants:
            self.both += span
        if not self.old_grants and not self.new_grants:
            self.none += span

    def befall(self, at: float, who: str, what: str) -> None:
        """`what`: killed or silent."""

        def do() -> None:
            if what == "silent":
                self.silent[who] = True
                return
            self.alive[who] = False
            if who == "old":
                self.old_grants = False
                self._break("new")
            else:
                self.new_grants = False
                self._break("old")

        self.later(at, do)

    def _break(self, other: str) -> None:
        if self.link:
            self.link = False
            self.later(0.0, lambda: (self._old if other == "old" else self._new)(Event.CONNECTION_LOST))

    # The two sides; a silent one takes nothing and says nothing, its sockets live on.

    def _seek(self) -> None:
        if not self.alive["new"] or self.silent["new"]:
            return
        self.link = self.alive["old"]
        self._do_new(self.successor.found(self.link))

    def _old(self, what: Event) -> None:
        if not self.alive["old"] or self.silent["old"]:
            return
        if (
            what is Event.TIMED_OUT
            and self.predecessor.step is PredecessorStep.SENDING
            and self.queued_for_old
        ):
            what = self.queued_for_old.pop(0)  # what was written before the end of reading is read first
        self._do_old(self.predecessor.handle(what))

    def _new(self, what: Event) -> None:
        if self.alive["new"] and not self.silent["new"]:
            self._do_new(self.successor.handle(what))

    def _wait(self, who: str, seconds: float) -> None:
        self._timers[who] += 1
        if seconds:
            mine = self._timers[who]
            side = self._old if who == "old" else self._new

            def late() -> None:
                if self._timers[who] == mine:
                    side(Event.TIMED_OUT)

            self.later(seconds, late)

    def _to_old(self, what: Event) -> bool:
        if not (self.link and self.alive["old"]):
            return False
        self.queued_for_old.append(what)

        def read() -> None:
            if what in self.queued_for_old and not self.silent["old"]:
                self.queued_for_old.remove(what)
                self._old(what)

        self.later(self.rng.uniform(0.0, LAG), read)
        return True

    def _to_new(self, what: Event) -> None:
        if self.link:
            self.later(self.rng.uniform(0.0, LAG), lambda: self._new(what))

    def _do_old(self, actions: Actions) -> None:
        for act, wait in actions:
            self._wait("old", wait)
            match act:
                case Action.SEND_HELLO:
                    self._to_new(Event.HELLO_RECEIVED)
                case Action.SEND_STATE:
                    self.old_grants = False
                    self._to_new(Event.STATE_RECEIVED)
                case Action.RESUME:
                    self.old_grants = True
                case Action.DISCONNECT:
                    self._break("new")

    def _do_new(self, actions: Actions) -> None:
        for act, wait in actions:
            self._wait("new", wait)
            match act:
                case Action.SEND_HELLO:
                    self._to_old(Event.HELLO_RECEIVED)
                case Action.REQUEST_STATE:
                    self._to_old(Event.STATE_REQUESTED)
                case Action.TAKE_OVER:
                    written = self._to_old(Event.TAKEN_OVER)
                    self.new_grants = written
                    self._do_new(self.successor.taken_over(written))
                case Action.START_COLD:
                    self.new_grants = True
                case Action.DISCONNECT:
                    self._break("old")
                case Action.RECONNECT:
                    self.later(0.0, self._seek)
