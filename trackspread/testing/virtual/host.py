"""One gateway in virtual time: the real decision module in a host that treats it as `node/gateway.py` does.

It translates between events, actions and the network that it is given, and decides nothing.
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
EXPIRY_MARGIN_NS = 10 * MILLISECOND  # before the client's deadline, as in the running gateway
ReplyKind = Literal["served", "refused", "failed"]
OnReply = Callable[[ReplyKind, str, int], None]  # kind, value, Retry-After in ms


class Network(Protocol):
    """What a host needs of the world around it."""

    def send_attempt(self, host: Host, request: str, attempt: Attempt) -> None:
        """Connect to the attempt's backend and send the request."""

    def send_to_peers(self, host: Host, to: int | None, data: bytes) -> None:
        """Send a message to the gateway at a position, or to all if it is None."""

    def close_attempt(self, host: Host, attempt: Attempt) -> None:
        """Close the connection of an attempt; its result is no longer wanted."""


class IncomingRequest(NamedTuple):
    """A request as a client sends it; class and plan by their indexes in the settings."""

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
    """One attempt of one request at one backend.

    `not_after_ns`: from when on it may not be written, as the deduplication window ends; 0 for no limit.
    `ended`: its outcome is known.
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
    """An accepted request until its final reply was given and its last attempt has ended."""

    name: str
    expires_at: int
    on_reply: OnReply
    closed: bool = False
    attempts: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)


class Host:
    """One process of one gateway; `alive` until it is killed."""

    def __init__(self, clock: Clock, network: Network, position: int, settings: Settings, seed: int) -> None:
        self.clock = clock
        self.network = network
        self.position = position
        self.broker = Broker(settings, seed, clock.now)
        self.alive = True
        self.pending: dict[int, PendingRequest] = {}
        self._last_number = 0

    # Called by the world.

    def accept(self, incoming: IncomingRequest, on_reply: OnReply) -> int:
        """Take a request from a client; returns its number in this process."""
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
        """The client of a request has closed its connection."""
        pending = self.pending.get(number)
        if pending is not None and not pending.closed:
            self._close(number, pending)
            self.handle(ClientDisconnected(number))
            for attempt in list(pending.in_flight.values()):
                if not attempt.written:
                    self.end_attempt(attempt, Outcome.NOT_SENT)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """The endpoint list has changed."""
        self.handle(update)

    def receive_peer_message(self, sender: int, data: bytes) -> None:
        """A message of another gateway has arrived."""
        self.handle(PeerMessage(sender, data))

    def may_write(self, attempt: Attempt) -> bool:
        """Whether a connected attempt may still be written; if it is too late, it ends here."""
        if attempt.not_after_ns and self.clock.now >= attempt.not_after_ns:
            self.end_attempt(attempt, Outcome.NOT_SENT)
        return not attempt.ended

    def end_attempt(self, attempt: Attempt, outcome: Outcome, value: str = "") -> None:
        """An attempt has ended; only its first outcome counts."""
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

    # The decision module.

    def handle(self, event: Event) -> None:
        """Give an event to the decision module and perform what it wants done."""
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
        """Give the decision module's own final reply to a request, if it has none yet."""
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
