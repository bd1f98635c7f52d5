"""Defines the actions that a decision module (`broker.py`) returns for its gateway program to carry out.

`CancelAttempt`, `CheckHealth`, `CloseIdleConnections` and `FetchEndpoints` are part of the simulator's
interface; no rule uses them yet. Durations are integer nanoseconds. All types are immutable and contain no
decisions.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Starts an attempt at a backend.

    The attempt ends after `timeout_ns`; at 0 it ends only when the client's deadline passes. What has not
    been sent completely by `not_after_ns` must not be sent any more (rule 2); 0 means that there is no such
    bound.
    """

    request: int
    backend: int
    timeout_ns: int
    not_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Answers a request finally as rejected; the client may safely try again.

    `retry_after_ns` is the time after which it should do so; 0 means that none is given.
    """

    request: int
    retry_after_ns: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Answers a request finally as failed; it may have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stops waiting for one attempt, which is named by its number within the request."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests a `TimerFired` with this token after `after_ns`."""

    after_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Asks a backend for its health and load; a `HealthChecked` follows."""

    backend: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Closes the idle connections to a backend."""

    backend: int


@dataclass(frozen=True, slots=True)
class SendToPeers:
    """Sends up to 256 bytes to the peer numbered `recipient`, or to all peers if that is None."""

    recipient: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Adds `amount` to a counter that all gateways share; a `CounterAnswered` returns its total.

    A counter starts at 0 and expires after `lifetime_ns`.
    """

    key: int
    lifetime_ns: int
    amount: float


@dataclass(frozen=True, slots=True)
class RequestAllocation:
    """Reports that the tenant's allocation at this gateway does not cover a request.

    One `AllocationChanged` follows soon.
    """

    tenant: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribes to the endpoint list, or unsubscribes from it."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Requests the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Writes a line to the operators' log."""

    text: str


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendToPeers
    | AddToCounter
    | RequestAllocation
    | WatchEndpoints
    | FetchEndpoints
    | LogMessage
)
