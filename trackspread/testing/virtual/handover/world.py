"""Simulates handovers in virtual time: an old and a new process, and a fault of either at any step.

Each message may be late or lost with its process, and each process may be killed or hang at any time. The
world knows the steps of both sides. The same seed gives the same run.
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

MAX_DELAY_S = 0.002  # largest delay of a message
SPAN_S = 12.0  # time of a run, longer than all timeouts of both sides together


class World:
    """Runs one old process and one new one; `old_serves` and `new_serves` say which of them serve.

    `link` says whether they are connected.
    """

    def __init__(
        self, seed: int, predecessor: PredecessorSteps | None = None, successor: SuccessorSteps | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.predecessor = predecessor or PredecessorSteps()
        self.successor = successor or SuccessorSteps()
        self.old_serves = True
        self.new_serves = False
        self.both_serve_s = 0.0  # time in which both served
        self.none_serves_s = 0.0  # time in which neither served
        self.link = False
        self.alive = {"old": True, "new": True}
        self.hangs = {"old": False, "new": False}
        self.unread_by_old: list[Event] = []
        self._timers = {"old": 0, "new": 0}

    def call_later(self, wait_s: float, call: Callable[[], None]) -> None:
        """Schedules a call for `wait_s` seconds from now."""
        heapq.heappush(self._events, (self.now + wait_s, next(self._order), call))

    def run(self) -> None:
        """Runs the handover to the end of the span."""
        self.call_later(self.rng.uniform(0.0, 0.01), self._connect)
        self.call_later(self.rng.uniform(0.0, 0.6), lambda: self._handle_new(Event.READY))
        while self._events and self._events[0][0] <= SPAN_S:
            at, _, call = heapq.heappop(self._events)
            self._measure_until(at)
            self.now = at
            call()
        self._measure_until(SPAN_S)

    def _measure_until(self, until: float) -> None:
        span_s = until - self.now
        if self.old_serves and self.new_serves:
            self.both_serve_s += span_s
        if not self.old_serves and not self.new_serves:
            self.none_serves_s += span_s

    def inject_fault(self, at: float, who: str, what: str) -> None:
        """Schedules a fault of the "old" or "new" process: it is "killed", or hangs if it is "silent"."""

        def inject() -> None:
            if what == "silent":
                self.hangs[who] = True
                return
            self.alive[who] = False
            if who == "old":
                self.old_serves = False
                self._disconnect("new")
            else:
                self.new_serves = False
                self._disconnect("old")

        self.call_later(at, inject)

    def _disconnect(self, other: str) -> None:
        if self.link:
            self.link = False
            self.call_later(
                0.0, lambda: (self._handle_old if other == "old" else self._handle_new)(Event.CONNECTION_LOST)
            )

    # A process that hangs handles no event and sends nothing, while its sockets stay open.
    def _connect(self) -> None:
        if not self.alive["new"] or self.hangs["new"]:
            return
        self.link = self.alive["old"]
        self._perform_new(self.successor.found(self.link))

    def _handle_old(self, what: Event) -> None:
        if not self.alive["old"] or self.hangs["old"]:
            return
        if (
            what is Event.TIMED_OUT
            and self.predecessor.step is PredecessorStep.SENDING
            and self.unread_by_old
        ):
            what = self.unread_by_old.pop(0)  # a message that was written before the timeout is read first
        self._perform_old(self.predecessor.handle(what))

    def _handle_new(self, what: Event) -> None:
        if self.alive["new"] and not self.hangs["new"]:
            self._perform_new(self.successor.handle(what))

    def _set_timer(self, who: str, seconds: float) -> None:
        """Replaces a process's timer; 0 sets none."""
        self._timers[who] += 1
        if seconds:
            number = self._timers[who]
            handle = self._handle_old if who == "old" else self._handle_new

            def expire() -> None:
                if self._timers[who] == number:
                    handle(Event.TIMED_OUT)

            self.call_later(seconds, expire)

    def _send_to_old(self, what: Event) -> bool:
        if not (self.link and self.alive["old"]):
            return False
        self.unread_by_old.append(what)

        def read() -> None:
            if what in self.unread_by_old and not self.hangs["old"]:
                self.unread_by_old.remove(what)
                self._handle_old(what)

        self.call_later(self.rng.uniform(0.0, MAX_DELAY_S), read)
        return True

    def _send_to_new(self, what: Event) -> None:
        if self.link:
            self.call_later(self.rng.uniform(0.0, MAX_DELAY_S), lambda: self._handle_new(what))

    def _perform_old(self, actions: Actions) -> None:
        for action, timeout_s in actions:
            self._set_timer("old", timeout_s)
            match action:
                case Action.SEND_HELLO:
                    self._send_to_new(Event.HELLO_RECEIVED)
                case Action.SEND_STATE:
                    self.old_serves = False
                    self._send_to_new(Event.STATE_RECEIVED)
                case Action.RESUME:
                    self.old_serves = True
                case Action.DISCONNECT:
                    self._disconnect("new")

    def _perform_new(self, actions: Actions) -> None:
        for action, timeout_s in actions:
            self._set_timer("new", timeout_s)
            match action:
                case Action.SEND_HELLO:
                    self._send_to_old(Event.HELLO_RECEIVED)
                case Action.REQUEST_STATE:
                    self._send_to_old(Event.STATE_REQUESTED)
                case Action.TAKE_OVER:
                    is_written = self._send_to_old(Event.TAKEN_OVER)
                    self.new_serves = is_written
                    self._perform_new(self.successor.taken_over(is_written))
                case Action.START_COLD:
                    self.new_serves = True
                case Action.DISCONNECT:
                    self._disconnect("old")
                case Action.RECONNECT:
                    self.call_later(0.0, self._connect)
