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
    """How an attempt, a probe or a counter call ended."""

    ERROR = 0
    OK = 1
    REJECTED = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; exactly one final answer is owed before `valid_until`."""

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
    """A streamed answer has started."""

    request: int
    elapsed_ns: int
    attempt: int
    backend: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended; `used` is 1 + percent of the customer's rate in use, or 0."""

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
    """What one `Probe` found."""

    outcome: Outcome
    backend: int
    elapsed_ns: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """The answer to one `AddToCounter`."""

    elapsed_ns: int
    outcome: Outcome
    key: int
    total: float


@dataclass(frozen=True, slots=True)
class PlansChanged:
    """Other figures are in force from now on, for each plan by its index; there are as many as before.

    `reserved`: by customer, units a second on top of the plan's, and units on top of its burst."""

    plans: tuple[Plan, ...]
    reserved: tuple[tuple[int, float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """Other classes are in force for what arrives from now on; open requests keep theirs, by its number.

    `named`: numbers that may arrive from now on. `heirs`: for each number that whose past it goes on with,
    its own where it stays the same class, -1 where there is none."""

    classes: tuple[RequestClass, ...]
    active: frozenset[int]
    predecessors: tuple[int, ...]
    max_attempts: int


@dataclass(frozen=True, slots=True)
class AllocationChanged:
    """Shares of the customer's stores that are kept here from now on: `soft` of the quota, `hard` of the
    ceiling, `places` of the limit on open attempts.

    `taken`: units that others spent of the quota, taken off once. `level`: of the quota's store as others
    know it, in place of that here; None: that stands. `more`: word on it is coming: it pays to wait."""

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
    """The fleet as its gateways see it, in place of what the settings say of their number and places.

    `me`, `others`: this gateway and those to ask and tell, by the numbers that peers' messages carry.
    `homes`: those of all that may keep a customer's store; the same in the same order wherever they are seen.
    Every limit is worth so many slots, the bits of whole numbers. `seats`: those of each gateway of the
    settings' list; `slots`: those that may be acted on here before `until`, from `ends` on others may have
    them; `theirs`: those of `others`, as they say."""

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
