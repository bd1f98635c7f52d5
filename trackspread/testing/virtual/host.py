"""One gateway in virtual time: the real decision module in a host that treats it as `node/gateway.py` does.

May know: events, actions, the network that it is handed. Decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Literal, Protocol

from ...decide.broker import Broker
from ...decide.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SendToPeers,
    SetTimer,
    StartAttempt,
)
from ...decide.backends import EndpointUpdate
from ...decide.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthChecked,
    Outcome,
    PeerMessage,
    RequestArrived,
    TimerFired,
)
from ...decide.settings import Settings
from .clock import Clock

MILLISECOND = 1_000_000
MARGIN = 10 * MILLISECOND  # before a client's time ends, as the running gateway keeps it
Kind = Literal["served", "refused", "failed"]
Answer = Callable[[Kind, str, int], None]  # kind, value, advice in ms


class Network(Protocol):
    """What a host needs of the world round it."""

    def send(self, host: Host, request: str, attempt: Attempt) -> None: ...

    def tell(self, host: Host, to: int | None, data: bytes) -> None: ...

    def hang_up(self, host: Host, attempt: Attempt) -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of one request at one backend. `over`: its outcome has been told."""

    number: int
    index: int
    backend: int
    started: int
    expires: int
    written: bool = False
    until: int = 0  # when the window ends in which it may be a repeat; 0 for none
    over: bool = False


@dataclass(slots=True, eq=False)
class Held:
    """A request that was taken, until its final answer and its last attempt's end."""

    name: str
    valid_until: int
    answer: Answer
    closed: bool = False
    attempts: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)


class Host:
    """One start of one gateway; dead once it was killed."""

    def __init__(self, clock: Clock, network: Network, position: int, settings: Settings, seed: int) -> None:
        self.clock = clock
        self.network = network
        self.position = position
        self.module = Broker(settings, seed, clock.now)
        self.alive = True
        self.taking = True
        self.held: dict[int, Held] = {}
        self._count = 0

    # From the world.

    def take(
        self,
        name: str,
        cls: int,
        plan: int,
        customer: int,
        wait: int,
        units: float,
        spread: int,
        first: int,
        answer: Answer,
    ) -> int:
        self._count += 1
        number, now = self._count, self.clock.now
        held = self.held[number] = Held(name, now + max(0, wait - MARGIN), answer)
        self.handle(RequestArrived(number, cls, plan, customer, held.valid_until, units, spread, first, 0))
        if number in self.held:
            self.clock.at(held.valid_until, partial(self._time_is_up, number))
        return number

    def left(self, number: int) -> None:
        held = self.held.get(number)
        if held is not None and not held.closed:
            self._close(number, held)
            self.handle(ClientDisconnected(number))
            for attempt in list(held.out.values()):
                if not attempt.written:
                    self.ended(attempt, Outcome.NOT_SENT)

    def learn(self, topology: EndpointUpdate) -> None:
        self.handle(topology)

    def heard(self, sender: int, data: bytes) -> None:
        self.handle(PeerMessage(sender, data))

    def writes(self, attempt: Attempt) -> bool:
        """Its connection is up: whether it is written, as a repeat is within its window alone."""
        if attempt.until and self.clock.now >= attempt.until:
            self.ended(attempt, Outcome.NOT_SENT)
        return not attempt.over

    def ended(self, attempt: Attempt, outcome: Outcome, value: str = "") -> None:
        """How an attempt ended; what comes after the first word on it is nobody's."""
        if attempt.over or not self.alive:
            return
        attempt.over = True
        held = self.held[attempt.number]
        held.out.pop(attempt.index, None)
        if outcome is Outcome.OK and not held.closed:
            self._close(attempt.number, held)
            held.answer("served", value, 0)
        elapsed = self.clock.now - attempt.started
        self.handle(
            AttemptEnded(
                attempt.number, held.closed, 0, attempt.backend, 0, outcome, elapsed, attempt.index, ()
            )
        )
        self._forget(attempt.number, held)

    def _time_is_up(self, number: int) -> None:
        held = self.held.get(number)
        if held is None or not self.alive:
            return
        for attempt in list(held.out.values()):
            self._expire(attempt)
        if not held.closed:
            self._close(number, held)
            held.answer("failed", "", 0)
            self.handle(ClientDisconnected(number))

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.over and self.alive:
            self.network.hang_up(self, attempt)
            self.ended(attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def _close(self, number: int, held: Held) -> None:
        held.closed = True
        self._forget(number, held)

    def _forget(self, number: int, held: Held) -> None:
        if held.closed and not held.out:
            self.held.pop(number, None)

    # The module.

    def handle(self, event: Event) -> None:
        if self.alive:
            for action in self.module.handle(self.clock.now, event):
                self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case Reject(number, retry_in):
                self.reply(number, "refused", -(-retry_in // MILLISECOND))
            case Fail(number):
                self.reply(number, "failed", 0)
            case SetTimer(after, token):
                self.clock.after(after, partial(self.handle, TimerFired(token)))
            case SendToPeers(to, data):
                self.network.tell(self, to, data)
            case CancelAttempt(number, index):
                held = self.held.get(number)
                if held is not None and (attempt := held.out.get(index)) is not None:
                    self.clock.after(0, partial(self._cancel, attempt))
            case CheckHealth(backend):
                self.handle(HealthChecked(Outcome.ERROR, backend, 0, ()))

    def reply(self, number: int, kind: Kind, advice_ms: int) -> None:
        """The module's own final answer."""
        held = self.held.get(number)
        if held is not None and not held.closed:
            self._close(number, held)
            held.answer(kind, "", advice_ms)

    def _cancel(self, attempt: Attempt) -> None:
        self.network.hang_up(self, attempt)
        self.ended(attempt, Outcome.CANCELLED)

    def _send(self, action: StartAttempt) -> None:
        held, now = self.held.get(action.request), self.clock.now
        if held is None:
            self._moot(action, 0, True)
            return
        index = held.attempts
        held.attempts += 1
        if held.closed or now >= held.valid_until:
            self._moot(action, index, held.closed)
            return
        left = held.valid_until - now
        patience = action.timeout_ns if 0 < action.timeout_ns < left else left
        attempt = Attempt(
            action.request, index, action.backend, now, now + patience, until=action.not_after_ns
        )
        held.out[index] = attempt
        self.network.send(self, held.name, attempt)
        if patience < left:
            self.clock.after(patience, partial(self._expire, attempt))

    def _moot(self, action: StartAttempt, index: int, finished: bool) -> None:
        event = AttemptEnded(action.request, finished, 0, action.backend, 0, Outcome.NOT_SENT, 0, index, ())
        self.clock.after(0, partial(self.handle, event))
