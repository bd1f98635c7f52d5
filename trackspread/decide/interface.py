"""Types that pass between a gateway program and the decision module (`broker.py`).

Times are integer nanoseconds, on any clock that never goes backwards. Everything is immutable;
nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Repeat(Enum):
    """What a class allows once an attempt may have run."""

    SAFE = "free"
    KEYED = "guarded"
    UNSAFE = "single_shot"


class Group(Enum):
    """Which backends drop a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


class ListKind(IntEnum):
    """What a list event holds."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Health(IntEnum):
    """A backend's state in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request; `window` is how long a group remembers a key."""

    name: str
    aim: int
    deadline: int
    worth: float
    late_worth: float
    repeat: Repeat
    group: Group
    window: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Quota figures of one plan, for each customer over all gateways; 0 means no such limit."""

    name: str
    rate: float
    burst: float
    open_limit: int
    price: float
    over_worth: float
    over_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int
    position: int
    gateways: int
    report_names: tuple[str, ...]
    max_attempts: int
    second_copies: bool
    may_cancel: bool
    may_probe: bool
    may_message: bool
    retry_advice: bool
    max_retry_after: int
    counter: bool
    meter_period: int
    largest: float
    messages_per_s: float
    settled_after: bool
    ask_discovery: bool
    ask_within: int
    drain_grace: int
    fall_window: int
    fall_multiple: float
    start_capacity: float
    warm_up: int
    cross_zone_price: float
    rights: bool = False  # the host says how much of each customer's stores is kept here; then no messages


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the list; `booted` is 0 for a long time ago."""

    id: int
    zone: int
    kind: int
    cell: int
    health: Health
    weight: float
    booted: int
    service: int = 0  # an index into those that the gateway carries


@dataclass(frozen=True, slots=True)
class Topology:
    """Discovery's word on the backends."""

    kind: ListKind
    version: int
    entries: tuple[Backend, ...]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request; exactly one final answer is owed before `valid_until`."""

    request: int
    cls: int
    plan: int
    customer: int
    valid_until: int
    units: float
    spread: int
    first: int
    options: int


@dataclass(frozen=True, slots=True)
class Begun:
    """A streamed answer has started."""

    request: int
    elapsed: int
    attempt: int
    backend: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended; `used` is 1 + percent of the customer's rate in use, or 0."""

    request: int
    finished: bool
    true_units: int
    backend: int
    used: int
    outcome: Outcome
    elapsed: int
    attempt: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client is gone; no answer is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer asked for with `SetTimer`."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """What one `Probe` found."""

    outcome: Outcome
    backend: int
    elapsed: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Counted:
    """The answer to one `AddToCounter`."""

    elapsed: int
    outcome: Outcome
    name: int
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
    named: frozenset[int]
    heirs: tuple[int, ...]
    max_attempts: int


@dataclass(frozen=True, slots=True)
class RightsChanged:
    """Shares of the customer's stores that are kept here from now on: `soft` of the quota, `hard` of the
    ceiling, `places` of the limit on open attempts.

    `taken`: units that others spent of the quota, taken off once. `level`: of the quota's store as others
    know it, in place of that here; None: that stands. `more`: word on it is coming: it pays to wait."""

    customer: int
    plan: int
    soft: float
    hard: float
    places: float
    taken: float
    level: float | None
    more: bool


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """The fleet as its gateways see it, in place of what the settings say of their number and places.

    `me`, `others`: this gateway and those to ask and tell, by the numbers that peers' messages carry.
    `homes`: those of all that may keep a customer's store; the same in the same order wherever they are seen.
    Every limit is worth so many slots, the bits of whole numbers. `seats`: those of each gateway of the
    settings' list; `slots`: those that may be acted on here before `until`, from `ends` on others may have
    them; `theirs`: those of `others`, as they say."""

    me: int
    others: tuple[int, ...]
    homes: tuple[int, ...]
    seats: tuple[int, ...]
    slots: int
    theirs: tuple[int, ...]
    until: int
    ends: int


Event = (
    Topology
    | Arrival
    | Begun
    | AttemptEnded
    | ClientLeft
    | TimerFired
    | Probed
    | PeerMessage
    | Counted
    | PlansChanged
    | RightsChanged
    | ClassesChanged
    | FleetChanged
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; `timeout` 0 means until the client gives up. `until`: when its window ends, 0 for
    none: what has not gone out whole by then may not go out any more (rule 2)."""

    request: int
    backend: int
    timeout: int
    until: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    request: int
    retry_in: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` after `after`."""

    after: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a backend how it is."""

    backend: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a backend."""

    backend: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Send up to 256 bytes to one peer, or to all (`to` is None)."""

    to: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a named number that all gateways share, and get the total."""

    name: int
    lifetime: int
    amount: float


@dataclass(frozen=True, slots=True)
class WantRights:
    """What is kept here does not cover a request; one `RightsChanged` follows soon."""

    customer: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to the list, or stop."""

    on: bool


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for the whole list once."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the operators."""

    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | CloseIdle
    | Tell
    | AddToCounter
    | WantRights
    | Watch
    | Fetch
    | LogLine
)
