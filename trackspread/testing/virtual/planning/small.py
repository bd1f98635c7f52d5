"""Defines the smallest world in which planning can fail, with 2 planners, 2 forwarders and 1 tenant.

An event is a complete exchange within an instant: a planner bids, or a forwarder sends a request to either
planner. The last message of an exchange may be late and arrive later or never. A process without an event in
a step is killed or cut off in it, and a planner or forwarder may restart. Clocks run at the documented drift,
one fast and the others slow. Single messages in every order gave depth 5 at 20,000 states, where nothing can
fail yet. The explorer checks at every state that at most one planner owns the slot, and that unexpired leases
sum to at most the planned part.
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
from .account import LimitAccount
from ..patches import applied
from .saturated import DOCUMENTED_DRIFT

TENANT = 1
LIMIT = TenantLimit(Limit(4.0, 4.0), 1.0, False)
STEP_NS = HEARTBEAT_NS  # a term is two and a half steps, a lease four
START = 1000 * SECOND
# Limits of one exploration: steps of time, late messages at the same time, and restarts.
STEPS, MAX_LATE, RESTARTS = 8, 1, 1

Message = tuple[str, int, int, ElectionMessage | LeaseRequest | Grant]  # kind, source, target and content


class _Middle(random.Random):
    """Draws the middle of each range, because the explorer tries all orders of events."""

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2

    def __reduce__(self) -> tuple[type[_Middle], tuple[()]]:
        return _Middle, ()


def _limits(tenant: int) -> tuple[TenantLimit, ...]:
    return (LIMIT,)


def _static_parts(tenant: int) -> tuple[float, ...]:
    return (0.0,)


class SmallWorld:
    """Holds a state and applies events to it."""

    def __init__(self) -> None:
        self.now = START
        self.steps = STEPS
        self.restarts = RESTARTS
        self.planners = [self._planner(n) for n in range(2)]
        self.forwarders = [self._forwarder(n, 1) for n in range(2)]
        self.has_requested = [False, False]  # in this step, as a heartbeat is about a step
        self.late: list[Message] = []

    def _planner(self, number: int) -> Planner:
        planner = Planner(number, 2, _limits, 1.0, self._at("p", number), number)
        for election in planner.elections:
            election._rng = _Middle()
            election._next_attempt_ns = self._at("p", number) + ACCEPTED_NS
        return planner

    def _forwarder(self, number: int, start: int) -> Forwarder:
        forwarder = Forwarder(number, start, 2, _limits, _static_parts)
        forwarder.admit(self._at("f", number), TENANT, 1.0)  # so that it sends requests from the start
        return forwarder

    def _at(self, kind: str, number: int) -> int:
        """Returns the time of a process's clock; the second planner's is fast and the others are slow."""
        rate = 1.0 + DOCUMENTED_DRIFT if (kind, number) == ("p", 1) else 1.0 - DOCUMENTED_DRIFT
        return START + int((self.now - START) * rate)

    def events(self) -> Iterable[str]:
        """Returns the names of all exchanges and faults that are possible next."""
        yield from (f"late message {number} arrives" for number in range(len(self.late)))
        for number in range(2):
            if self.planners[number].elections[0]._next_attempt_ns <= self._at("p", number):
                yield f"planner {number} bids"
                if len(self.late) < MAX_LATE:
                    yield f"planner {number} bids and the last message is late"
            if not self.has_requested[number]:
                for to in range(2):
                    yield f"forwarder {number} asks planner {to}"
                    if len(self.late) < MAX_LATE:
                        yield f"forwarder {number} asks planner {to} and the last message is late"
            if self.restarts:
                yield f"planner {number} restarts"
                yield f"forwarder {number} restarts"
        if self.steps:
            yield "time passes"

    def apply(self, event: str) -> None:
        """Applies an exchange or a fault."""
        match event.split():
            case ["late", "message", number, _]:
                self._exchange([self.late.pop(int(number))], False)
            case ["planner", number, "bids", *more]:
                outboxes = [out for _, out in self.planners[int(number)].tick(self._at("p", int(number)))]
                messages = [m for each in outboxes for m in self._messages(int(number), each)]
                self._exchange(messages, bool(more))
            case ["forwarder", number, "asks", _, to, *more]:
                self._exchange(self._requests(int(number), int(to)), bool(more))
            case ["planner", number, *_]:
                self.restarts -= 1
                self.planners[int(number)] = self._planner(int(number))
            case ["forwarder", number, *_]:
                self.restarts -= 1
                self.forwarders[int(number)] = self._forwarder(int(number), 2)
            case _:
                self.steps -= 1
                self.now += STEP_NS
                self.has_requested = [False, False]

    def _requests(self, number: int, to: int) -> list[Message]:
        """Returns this heartbeat's requests, to either planner: safety does not depend on ranks."""
        self.has_requested[number] = True
        forwarder, now = self.forwarders[number], self._at("f", number)
        forwarder.admit(now, TENANT, 1.0)
        return [("request", number, to, request) for _, request in forwarder.heartbeat(now)]

    def _messages(self, number: int, outbox: Outbox) -> list[Message]:
        """Returns a planner's messages to others; those to itself are delivered at once."""
        messages: list[Message] = []
        for to, message in outbox:
            for target in (0, 1) if to is None else (to,):
                if target == number:
                    answer = self.planners[number].on_message(self._at("p", number), number, 0, message)
                    messages += self._messages(number, answer)
                else:
                    messages.append(("election", number, target, message))
        return messages

    def _exchange(self, queue: list[Message], last_is_late: bool) -> None:
        """Delivers messages in order, with those that they cause; the very last one may be kept as late."""
        while queue:
            following = self._deliver(queue[0]) if len(queue) > 1 or not last_is_late else None
            if following is None:
                copy = pickle.loads(pickle.dumps(self))  # shows whether the message causes others
                if not copy._deliver(queue[0]):
                    self.late.append(queue[0])
                    return
                following = self._deliver(queue[0])
            queue = queue[1:] + following

    def _deliver(self, message: Message) -> list[Message]:
        match message:
            case ("election", source, to, ElectionMessage() as content):
                return self._messages(to, self.planners[to].on_message(self._at("p", to), source, 0, content))
            case ("request", source, to, LeaseRequest() as request):
                grant = self.planners[to].on_request(self._at("p", to), request)
                return [("grant", to, source, grant)] if grant is not None else []
            case ("grant", source, to, Grant() as grant):
                requests = self.forwarders[to].on_grant(self._at("f", to), grant)
                return [("request", to, source, request) for _, request in requests]
        return []

    def violation(self) -> str:
        """Returns the invariant that does not hold, or an empty text."""
        owners = [n for n in range(2) if self.planners[n].elections[0].owns(self._at("p", n))]
        if len(owners) > 1:
            return "two planners own the slot"
        leases = []
        for number, forwarder in enumerate(self.forwarders):
            tenant = forwarder.tenants.get(TENANT)
            if tenant is not None and self._at("f", number) < tenant.holders[0].expires_at_ns:
                leases.append(tenant.holders[0].limit)
        return LimitAccount(LIMIT, self.now).check_leases(leases)

    def normalized(self) -> Self:
        """Returns the state itself, because the order of each of its parts makes a difference."""
        return self


def elected() -> SmallWorld:
    """Returns a world in which the first planner owns the slot and the first forwarder has a lease.

    The planner no longer waits for earlier leases, and no step of the exploration is used up.
    """
    world = SmallWorld()
    while world.now < START + ACCEPTED_NS + LEASE_NS + 2 * TERM_NS:
        world.apply("time passes")
        world.apply("planner 0 bids")
        world.apply("forwarder 0 asks planner 0")
    if not world.forwarders[0].tenants[TENANT].holders[0].limit.rate_per_s:
        raise RuntimeError("forwarder 0: must have a lease after the first events, got none")
    world.steps = STEPS
    return world


@contextmanager
def one_slot() -> Iterator[None]:
    """Puts all tenants in one slot, because elections of other slots would only multiply the states."""
    with applied([patch.object(placement, "SLOTS", 1), patch.object(planner, "SLOTS", 1)]):
        yield
