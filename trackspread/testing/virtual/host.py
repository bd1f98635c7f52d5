"""Runs one gateway in virtual time: its host treats the real decision module as `node/gateway.py` does.

The host translates between events, actions and a given network, and decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Literal, NamedTuple, Protocol

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
EXPIRY_MARGIN_NS = 10 * MILLISECOND  # time before the client's deadline, as in the running gateway
ReplyKind = Literal["served", "refused", "failed"]
OnReply = Callable[[ReplyKind, str, int], None]  # kind, value, Retry-After in ms


class Network(Protocol):
    """Defines what a host needs of its world."""

    def send_attempt(self, host: Host, request: str, attempt: Attempt) -> None:
        """Connects to the attempt's backend and sends the request."""

    def send_to_peers(self, host: Host, to: int | None, data: bytes) -> None:
        """Sends a message to the gateway at a position, or to all if it is None."""

    def close_attempt(self, host: Host, attempt: Attempt) -> None:
        """Closes the connection of an attempt whose result is no longer needed."""


class IncomingRequest(NamedTuple):
    """Holds a request as a client sends it; class and plan are indexes in the settings."""

    name: str
    request_class: int
    plan: int
    tenant: int
    wait_ns: int
    units: float
    gateway_span: int
    first_gateway: int


@dataclass(slots=True, eq=False)
class Attempt:
    """Holds one attempt of one request at one backend.

    From `not_after_ns` on it may not be written, because the deduplication window ends then; 0 is no limit.
    `ended` says that its outcome is known.
    """

    request: int
    index: int
    backend: int
    started_at: int
    written: bool = False
    not_after_ns: int = 0
    ended: bool = False


@dataclass(slots=True, eq=False)
class PendingRequest:
    """Holds an accepted request until its final reply was sent and its last attempt has ended."""

    name: str
    expires_at: int
    on_reply: OnReply
    closed: bool = False
    attempts: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)


class Host:
    """Runs one process of one gateway; it is `alive` until it is killed."""

    def __init__(self, clock: Clock, network: Network, position: int, settings: Settings, seed: int) -> None:
        self.clock = clock
        self.network = network
        self.position = position
        self.broker = Broker(settings, seed, clock.now)
        self.alive = True
        self.pending: dict[int, PendingRequest] = {}
        self._last_number = 0

    def accept(self, incoming: IncomingRequest, on_reply: OnReply) -> int:
        """Accepts a request from a client and returns its number in this process."""
        self._last_number += 1
        number = self._last_number
        expires_at = self.clock.now + max(0, incoming.wait_ns - EXPIRY_MARGIN_NS)
        pending = self.pending[number] = PendingRequest(incoming.name, expires_at, on_reply)
        self.handle(
            RequestArrived(
                number,
                incoming.request_class,
                incoming.plan,
                incoming.tenant,
                expires_at,
                incoming.units,
                incoming.gateway_span,
                incoming.first_gateway,
                0,
            )
        )
        if number in self.pending:
            self.clock.at(pending.expires_at, partial(self._expire_request, number))
        return number

    def disconnect_client(self, number: int) -> None:
        """Handles that the client of a request has closed its connection."""
        pending = self.pending.get(number)
        if pending is not None and not pending.closed:
            self._close(number, pending)
            self.handle(ClientDisconnected(number))
            for attempt in list(pending.in_flight.values()):
                if not attempt.written:
                    self.end_attempt(attempt, Outcome.NOT_SENT)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Handles a change of the endpoint list."""
        self.handle(update)

    def receive_peer_message(self, sender: int, data: bytes) -> None:
        """Handles a message of another gateway."""
        self.handle(PeerMessage(sender, data))

    def may_write(self, attempt: Attempt) -> bool:
        """Returns whether a connected attempt may still be written; if it is too late, the attempt ends."""
        if attempt.not_after_ns and self.clock.now >= attempt.not_after_ns:
            self.end_attempt(attempt, Outcome.NOT_SENT)
        return not attempt.ended

    def end_attempt(self, attempt: Attempt, outcome: Outcome, value: str = "") -> None:
        """Handles the end of an attempt, of which only the first outcome counts."""
        if attempt.ended or not self.alive:
            return
        attempt.ended = True
        pending = self.pending[attempt.request]
        pending.in_flight.pop(attempt.index, None)
        if outcome is Outcome.OK and not pending.closed:
            self._close(attempt.request, pending)
            pending.on_reply("served", value, 0)
        elapsed_ns = self.clock.now - attempt.started_at
        self.handle(
            AttemptEnded(
                attempt.request,
                pending.closed,
                0,
                attempt.backend,
                0,
                outcome,
                elapsed_ns,
                attempt.index,
                (),
            )
        )
        self._forget_if_done(attempt.request, pending)

    def _expire_request(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending is None or not self.alive:
            return
        for attempt in list(pending.in_flight.values()):
            self._expire_attempt(attempt)
        if not pending.closed:
            self._close(number, pending)
            pending.on_reply("failed", "", 0)
            self.handle(ClientDisconnected(number))

    def _expire_attempt(self, attempt: Attempt) -> None:
        if not attempt.ended and self.alive:
            self.network.close_attempt(self, attempt)
            self.end_attempt(attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def _close(self, number: int, pending: PendingRequest) -> None:
        pending.closed = True
        self._forget_if_done(number, pending)

    def _forget_if_done(self, number: int, pending: PendingRequest) -> None:
        if pending.closed and not pending.in_flight:
            self.pending.pop(number, None)

    def handle(self, event: Event) -> None:
        """Passes an event to the decision module and performs the actions that it returns."""
        if self.alive:
            for action in self.broker.handle(self.clock.now, event):
                self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case Reject(number, retry_after_ns):
                retry_after_ms = -(-retry_after_ns // MILLISECOND)  # rounded up
                self.reply(number, "refused", retry_after_ms)
            case Fail(number):
                self.reply(number, "failed", 0)
            case SetTimer(after_ns, token):
                self.clock.after(after_ns, partial(self.handle, TimerFired(token)))
            case SendToPeers(to, data):
                self.network.send_to_peers(self, to, data)
            case CancelAttempt(number, index):
                pending = self.pending.get(number)
                if pending is not None and (attempt := pending.in_flight.get(index)) is not None:
                    self.clock.after(0, partial(self._cancel, attempt))
            case CheckHealth(backend):
                self.handle(HealthChecked(Outcome.ERROR, backend, 0, ()))

    def reply(self, number: int, kind: ReplyKind, retry_after_ms: int) -> None:
        """Sends the decision module's own final reply to a request that has none yet."""
        pending = self.pending.get(number)
        if pending is not None and not pending.closed:
            self._close(number, pending)
            pending.on_reply(kind, "", retry_after_ms)

    def _cancel(self, attempt: Attempt) -> None:
        self.network.close_attempt(self, attempt)
        self.end_attempt(attempt, Outcome.CANCELLED)

    def _start_attempt(self, action: StartAttempt) -> None:
        pending, now = self.pending.get(action.request), self.clock.now
        if pending is None:
            self._report_not_sent(action, 0, True)
            return
        index = pending.attempts
        pending.attempts += 1
        if pending.closed or now >= pending.expires_at:
            self._report_not_sent(action, index, pending.closed)
            return
        remaining_ns = pending.expires_at - now
        has_timeout = 0 < action.timeout_ns < remaining_ns
        attempt = Attempt(action.request, index, action.backend, now, not_after_ns=action.not_after_ns)
        pending.in_flight[index] = attempt
        self.network.send_attempt(self, pending.name, attempt)
        if has_timeout:
            self.clock.after(action.timeout_ns, partial(self._expire_attempt, attempt))

    def _report_not_sent(self, action: StartAttempt, index: int, finished: bool) -> None:
        event = AttemptEnded(action.request, finished, 0, action.backend, 0, Outcome.NOT_SENT, 0, index, ())
        self.clock.after(0, partial(self.handle, event))
