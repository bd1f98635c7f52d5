"""Actions: what a decision module (`broker.py`) wants its gateway program to do.

`CancelAttempt`, `CheckHealth`, `CloseIdleConnections` and `FetchEndpoints` are part of the simulator's
interface; no rule asks for them yet. Durations are integer nanoseconds. Everything is immutable; nothing here
decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt. `timeout_ns`: after which it ends; 0: only when the client gives up. `not_after_ns`:
    what has not been sent completely by then may not be sent any more (rule 2); 0: no such bound."""

    request: int
    backend: int
    timeout_ns: int
    not_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected; another try is harmless, after `retry_after_ns` (0: not said)."""

    request: int
    retry_after_ns: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt, by its number within the request."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` with this token after `after_ns`."""

    after_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask a backend for its health and load; a `HealthChecked` follows."""

    backend: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to a backend."""

    backend: int


@dataclass(frozen=True, slots=True)
class SendToPeers:
    """Send up to 256 bytes to one peer, by its number, or to all (`recipient` is None)."""

    recipient: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add `amount` to a counter that all gateways share, and get its total by a `CounterAnswered`.

    A counter begins at 0 and lives for `lifetime_ns`."""

    key: int
    lifetime_ns: int
    amount: float


@dataclass(frozen=True, slots=True)
class RequestAllocation:
    """The tenant's allocation here does not cover a request; one `AllocationChanged` follows soon."""

    tenant: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list, or unsubscribe."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask for the complete endpoint list once."""


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
