"""Events: what a gateway program reports to its decision module (`broker.py`).

Times are integer nanoseconds, on any clock that never goes backwards. Everything is immutable; nothing here
decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .backends import EndpointUpdate
from .settings import Plan, RequestClass


class Outcome(IntEnum):
    """How an attempt, a health check or a counter call ended."""

    ERROR = 0  # the backend says that it failed: may have been executed
    OK = 1
    REJECTED = 2  # the backend declined: not executed
    TIMEOUT = 3  # no answer in time: may have been executed
    CONNECT_FAILED = 4  # no connection, or the request never went out completely: not executed
    RESET = 5  # connection lost or answer invalid after the request was written: may have been executed
    CANCELLED = 6  # the answer was not wanted any more
    NOT_SENT = 7  # withdrawn before it was sent; says nothing about the backend


# The backend has certainly not executed the request.
NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; exactly one final answer is owed before `expires_at_ns`.

    `request`: a number, unique in the process. `request_class`, `plan`: indexes into the settings'. `units`:
    of the tenant's quota that it takes. `gateway_span`, `first_gateway`: so many gateways of the settings'
    list, from that one on, get the tenant's requests; 0 where unknown. `options`: flags of the platform."""

    request: int
    request_class: int
    plan: int
    tenant: int
    expires_at_ns: int
    units: float
    gateway_span: int
    first_gateway: int
    options: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first byte of a long value has come; the rest follows at its reader's pace.

    `elapsed_ns`: since the attempt's start."""

    request: int
    elapsed_ns: int
    attempt: int
    backend: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended.

    `request_finished`: no final answer is owed any more. `actual_units`: that the request took,
    where units are settled later, else 0. `quota_usage`: 1 + percent of the tenant's quota in use, or 0 where
    no meter reported it. `elapsed_ns`: since the attempt's start. `load_report`: by `load_report_names`."""

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
    """The client is gone; no answer is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer asked for with `SetTimer`."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """What one `CheckHealth` found; `elapsed_ns`: since it was asked for."""

    outcome: Outcome
    backend: int
    elapsed_ns: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway, by its number."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """The answer to one `AddToCounter`; `total`: of the counter `key`, with all that was added to it."""

    elapsed_ns: int
    outcome: Outcome
    key: int
    total: float


@dataclass(frozen=True, slots=True)
class PlansChanged:
    """Other limits are in force from now on, for each plan by its index; there are as many plans as before.

    `reserved`: tenant, units a second on top of the plan's rate, and units on top of its burst."""

    plans: tuple[Plan, ...]
    reserved: tuple[tuple[int, float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """Other classes are in force for what arrives from now on; open requests keep theirs, by its number.

    `active`: numbers that may arrive from now on. `predecessors`: for each number, the one whose state it
    goes on with: its own where it stays the same class, -1 where there is none."""

    classes: tuple[RequestClass, ...]
    active: frozenset[int]
    predecessors: tuple[int, ...]
    max_attempts: int


@dataclass(frozen=True, slots=True)
class AllocationChanged:
    """Parts of the tenant's limits that are allocated to this gateway from now on, each from 0 to 1:
    `quota_share`, `hard_limit_share` and `concurrency_share`.

    `used_elsewhere_units`: that other gateways used of the quota, deducted once. `tokens`: of the quota, in
    place of those known here; None: these stand. `more_expected`: a larger allocation is coming, so that it
    pays to wait."""

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
    """The fleet of gateways as its members see it, in place of what the settings say of it.

    `own_number`, `peers`: this gateway and the others, by the numbers that messages between them carry.
    `quota_owners`: all that may own a tenant's quota, in the same order wherever they are seen.

    Every limit is divided into slots; a set of slots is the bits of a number. `gateway_slots`: of each
    gateway of the settings' list. `own_slots`: that this one may act on before `valid_until_ns`; from
    `reassigned_at_ns` on others may have them. `peer_slots`: of `peers`, as they say."""

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
