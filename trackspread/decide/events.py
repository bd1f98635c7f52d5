"""Defines the events that a gateway program reports to its decision module (`broker.py`).

Times are integer nanoseconds on any clock that never goes backwards. All types are immutable and contain no
decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .backends import EndpointUpdate
from .settings import Plan, RequestClass


class Outcome(IntEnum):
    """Enumerates the ways in which an attempt, a health check or a counter call ends."""

    ERROR = 0  # The backend reports a failure; the request may have been executed.
    OK = 1
    REJECTED = 2  # The backend declined the request; it was not executed.
    TIMEOUT = 3  # No answer arrived in time; the request may have been executed.
    # There was no connection, or the request was not sent completely; it was not executed.
    CONNECT_FAILED = 4
    # The connection was lost or the answer was invalid after the request was sent; it may have been executed.
    RESET = 5
    CANCELLED = 6  # The answer was no longer needed.
    NOT_SENT = 7  # The attempt was withdrawn before it was sent; this says nothing about the backend.


# Outcomes after which the backend has certainly not executed the request.
NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
# Outcomes that are a backend's answer, so that the request has certainly arrived there.
ANSWERED = frozenset({Outcome.ERROR, Outcome.OK, Outcome.REJECTED})


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Reports a client's request; exactly one final answer must be given before `expires_at_ns`.

    `request` is a number that is unique in the process. `request_class` and `plan` are indexes into the
    settings. `units` is what the request takes of the tenant's quota. The tenant's requests come through
    `gateway_span` consecutive gateways of the settings' list, starting at `first_gateway`; the span is 0 if
    this is unknown. `options` holds flags of the platform. `is_client_backlogged` says that the client has
    more commands waiting than its connection may have in flight.
    """

    request: int
    request_class: int
    plan: int
    tenant: int
    expires_at_ns: int
    units: float
    gateway_span: int
    first_gateway: int
    options: int
    is_client_backlogged: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """Reports the first byte of a long value, which is then streamed at the speed of its reader.

    `elapsed_ns` is the time since the attempt's start.
    """

    request: int
    elapsed_ns: int
    attempt: int
    backend: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Reports how one attempt ended.

    `request_finished` says that no final answer is needed any more. `actual_units` is what the request used
    where units are settled later, else 0. `quota_usage` is 1 plus the percentage of the tenant's quota in
    use, or 0 if no meter reported it. `elapsed_ns` is the time since the attempt's start. The values of
    `load_report` are in the order of `load_report_names`.
    """

    request: int
    request_finished: bool
    actual_units: int
    backend: int
    quota_usage: int
    outcome: Outcome
    elapsed_ns: int
    attempt: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Reports that the client has disconnected; no answer is needed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Reports that a timer set with `SetTimer` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """Reports the result of a `CheckHealth`; `elapsed_ns` is the time since it was requested."""

    outcome: Outcome
    backend: int
    elapsed_ns: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Holds a message from the gateway numbered `sender`."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """Holds the answer to one `AddToCounter`; `total` is the total of the counter `key`."""

    elapsed_ns: int
    outcome: Outcome
    key: int
    total: float


@dataclass(frozen=True, slots=True)
class PlansChanged:
    """Reports new limits for each plan, by its index; the number of plans stays the same.

    Each entry of `reserved` holds a tenant, units per second in addition to the plan's rate, and units in
    addition to its burst.
    """

    plans: tuple[Plan, ...]
    reserved: tuple[tuple[int, float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """Reports new request classes for requests that arrive from now on; open requests keep theirs.

    `active` holds the numbers of classes that may arrive from now on. `predecessors` gives, for each number,
    the class whose state it continues: its own number if the class stays the same, -1 if there is none.
    """

    classes: tuple[RequestClass, ...]
    active: frozenset[int]
    predecessors: tuple[int, ...]
    max_attempts: int


@dataclass(frozen=True, slots=True)
class AllocationChanged:
    """Reports the parts of a tenant's limits that are now allocated to this gateway.

    `quota_share`, `hard_limit_share` and `concurrency_share` are from 0 to 1. `used_elsewhere_units` is what
    other gateways used of the quota; it is deducted once. `tokens` replaces the tokens known here; None
    leaves them unchanged. `more_expected` says that a larger allocation will follow, so that waiting is
    worthwhile.
    """

    tenant: int
    plan: int
    quota_share: float
    hard_limit_share: float
    concurrency_share: float
    used_elsewhere_units: float
    tokens: float | None
    more_expected: bool


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """Reports the fleet of gateways as its members see it; it replaces what the settings say of it.

    `own_number` and `peers` identify this gateway and the others by the numbers used in messages between
    them. `quota_owners` holds all gateways that may own a tenant's quota, in the same order at every gateway.

    Every limit is divided into slots, and a set of slots is the bits of a number. `gateway_slots` holds the
    slots of each gateway in the settings' list. This gateway may act on `own_slots` until `valid_until_ns`;
    from `reassigned_at_ns` on, others may hold them. `peer_slots` holds the slots that `peers` report as
    theirs.
    """

    own_number: int
    peers: tuple[int, ...]
    quota_owners: tuple[int, ...]
    gateway_slots: tuple[int, ...]
    own_slots: int
    peer_slots: tuple[int, ...]
    valid_until_ns: int
    reassigned_at_ns: int


Event = (
    EndpointUpdate
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthChecked
    | PeerMessage
    | CounterAnswered
    | PlansChanged
    | AllocationChanged
    | ClassesChanged
    | FleetChanged
)
