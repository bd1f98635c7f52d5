"""Actions: what a decision module (`broker.py`) wants its gateway program to do.

Durations are integer nanoseconds. Everything is immutable; nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; `timeout` 0 means until the client gives up. `until`: when its window ends, 0 for
    none: what has not gone out whole by then may not go out any more (rule 2)."""

    request: int
    backend: int
    timeout_ns: int
    not_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, trying again is harmless."""

    request: int
    retry_after_ns: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` after `after`."""

    after_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask a backend how it is."""

    backend: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to a backend."""

    backend: int


@dataclass(frozen=True, slots=True)
class SendToPeers:
    """Send up to 256 bytes to one peer, or to all (`to` is None)."""

    recipient: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a named number that all gateways share, and get the total."""

    key: int
    lifetime_ns: int
    amount: float


@dataclass(frozen=True, slots=True)
class RequestAllocation:
    """What is kept here does not cover a request; one `RightsChanged` follows soon."""

    tenant: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to the list, or stop."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask for the whole list once."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators."""

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
