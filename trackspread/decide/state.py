"""What a gateway remembers: plain state and one helper, for the module. Nothing here decides anything."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field
from math import exp
from typing import TypeVar

from .interface import Arrival, Backend, Plan

T = TypeVar("T")
Stores = tuple[float, float, float, int]  # level, part, ceiling, quarter units not told as used
NOTHING: Stores = (0.0, 0.0, 0.0, 0)
SECOND = 1_000_000_000
# Time constants of recent means.
MEMORY = 1 * SECOND  # time constant of recent means: a few dozen answers at the usual rates
LONG = 10 * SECOND  # the same for what is seen seldom
TOKENS_MOST = 2.0  # requests that a gateway may save up for one cold backend


def decayed(age: int, constant: int) -> float:
    """Weight that is left of something `age` old."""
    return exp(-age / constant)


def carried(level: float, old: float, new: float) -> float:
    """A store's level under another burst; one that begins to count begins empty."""
    return level * min(1.0, new / old) if level > 0.0 and old > 0.0 else min(level, 0.0)


def inherited(old: list[T], heirs: tuple[int, ...], fresh: Callable[[], T]) -> list[T]:
    """What was learnt by number, under other numbers: each goes on with its heir's past, or begins anew."""
    return [old[h] if h == n else deepcopy(old[h]) if h >= 0 else fresh() for n, h in enumerate(heirs)]


class Mean:
    """A recent mean: samples lose weight with age, by the time constant `memory`."""

    __slots__ = ("at", "memory", "total", "weight")

    def __init__(self, memory: int) -> None:
        self.at, self.total, self.weight, self.memory = 0, 0.0, 0.0, memory

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        left = decayed(now - self.at, self.memory)
        self.total, self.weight = self.total * left + value * weight, self.weight * left + weight
        self.at = now

    def rate(self, now: int) -> float:
        """Samples a second."""
        return self.weight * decayed(now - self.at, self.memory) * SECOND / self.memory

    def blend(self, now: int, prior: float, strength: float) -> float:
        """The mean with `strength` samples of `prior` mixed in; what is old goes back to the prior."""
        left = decayed(now - self.at, self.memory)
        return (self.total * left + prior * strength) / (self.weight * left + strength)

    @property
    def value(self) -> float:
        return self.total / self.weight if self.weight > 1e-9 else 0.0


@dataclass(slots=True)
class Account:
    """What this gateway knows of one customer: its bucket and its slices, whatever services it asks for."""

    customer: int
    plan: Plan
    index: int  # the plan's
    home: int  # the gateway that keeps the customer's store where gateways are many, as of `homed`
    level: float
    at: int
    last: int
    told_at: int  # when home or counter last told of its store
    open_at: int  # when others' open attempts were last told
    demand: Mean
    granted: Mean  # 1 for units granted, 0 for denied
    seen: Mean  # units asked for here, remembered longer than the demand
    ceiling: float = 0.0
    lacked: int = 0  # number of the last ask for some of a peer's part of the ceiling, until it is answered
    part: float = 0.0  # this gateway's even slice of the store
    peers: tuple[int, ...] = ()
    slices: int = 0  # gateways among which it is sliced; 0 where none of its requests came here yet
    open: int = 0
    sent: int = 0  # quarter units sent on inside the quota, since this gateway's start
    tells: int = 0
    heard: dict[int, int] = field(default_factory=dict)
    asked: dict[int, int] = field(default_factory=dict)  # at home: when each last asked
    given: dict[int, tuple[float, int]] = field(default_factory=dict)  # at home: granted, not told as taken
    others: int = 0  # open attempts elsewhere, as told by the counter
    out: dict[int, tuple[int, int]] = field(default_factory=dict)  # as each peer told, and when
    asking: int = 0  # requests that wait for the home's answer
    owed: float = 0.0  # to be added to the counter with the next call
    soft: float = 0.0  # shares of quota and ceiling kept here, as the host says
    hard: float = 0.0
    places: float = 0.0
    over: float = 0.0  # refill that never was in the store here: it was full, or others' part while not heard
    absent: float = 0.0  # what those not heard would have in their part of the store, had they used nothing
    more: bool = False  # whether asking the host for more may pay
    first: int = 0  # the customer's set: so many gateways in a row from this one of the settings' list on
    spread: int = 0  # 0: not told yet
    keeps: bool = False  # whether this gateway is the home, as of `homed`
    taking: bool = False  # it has become so, and nobody has told yet what the former home had
    teller: int = 0  # the home that last told of the store
    tellers: dict[int, int] = field(default_factory=dict)  # at home: others whose stores came here, and when
    homed: int = -1  # by which of the views taken in so far its home was found
    refused_for: str = ""  # which limit turned its last refused request away, where the host asks
    unspent: int = 0  # quarter units counted in `sent` that never came to a backend: later ones count for it

    def spend(self, units: float) -> None:
        """Count units as sent on inside the quota. What is told of them to others may only grow."""
        quarters = round(4 * units)
        again = min(quarters, self.unspent)
        self.unspent, self.sent = self.unspent - again, self.sent + quarters - again

    def stores(self) -> Stores:
        return self.level, self.part, self.ceiling, self.unspent - self.sent

    def taken_since(self, before: Stores) -> Stores:
        return (
            before[0] - self.level,
            before[1] - self.part,
            before[2] - self.ceiling,
            before[3] - self.unspent + self.sent,
        )

    def give_back(self, taken: Stores) -> None:
        """What the stores had more before; they are not overfilled for long, as each refill is bounded."""
        level, part, ceiling, quarters = taken
        self.level = max(self.level, min(self.plan.burst, self.level + level))
        self.part, self.ceiling = self.part + part, self.ceiling + ceiling
        self.unspent += quarters


@dataclass(slots=True)
class Commitment:
    """One customer's requests to one service: how many are in flight, and the cap on that."""

    account: Account
    last: int  # when a request last came
    evaluated: int
    in_flight: Mean
    demand: Mean
    cap: int = 0  # 0: it has ended, or has not begun
    open: int = 0
    passing: int = 0  # of them: long values that are being passed on, at their reader's pace
    worth: float = 0.0
    room: float = 0.0
    aim: int = 0
    least: float = 0.0  # requests a second that it is to be let through, as of its last evaluation


@dataclass(slots=True)
class Server:
    """One backend as this gateway sees it."""

    entry: Backend
    slow: Mean
    pause: int
    usable: bool = True
    listed: bool = True
    out: int = 0
    fails: int = 0
    suspended: int = 0
    full: dict[tuple[int, int], int] = field(default_factory=dict)  # by class and plan, until when
    met: dict[int, tuple[int, float]] = field(default_factory=dict)  # by class: when, 1 if unanswered
    tokens: float = 0.0
    tokens_at: int = 0
    turn: int = -1  # number of the last turn that was used

    def reclass(self, heirs: tuple[int, ...]) -> None:
        """What was met under a class goes with the one that now inherits it, or is forgotten."""
        self.met = {n: self.met[h] for n, h in enumerate(heirs) if h in self.met}
        full = self.full.items()
        self.full = {(n, plan): until for n, h in enumerate(heirs) for (cls, plan), until in full if cls == h}

    def refill(self, now: int, rate: float) -> None:
        """Add the tokens that came since the last time, at `rate` a second."""
        self.tokens = min(TOKENS_MOST, self.tokens + rate * (now - self.tokens_at) / SECOND)
        self.tokens_at = now

    def take(self, turn: int) -> None:
        """A request goes there while it is cold: by a token, or else in the turn of that number."""
        if self.tokens >= 1.0:
            self.tokens -= 1.0
        else:
            self.turn = turn


@dataclass(slots=True)
class Open:
    """A request that still owes its final answer."""

    arrival: Arrival
    commitment: Commitment
    most: int  # attempts, as the settings had it when it came
    sends: int = 0
    out: int = 0
    tried: set[int] = field(default_factory=set)
    may_have_run: bool = False
    keyed_at: int = 0
    keyed_by: Backend | None = None
    sent_at: int = 0
    began: int = 0  # ns from an attempt's start to the first byte of its long value
    asked_at: int = 0
    placed: bool = False  # counted as out on the counter
    before: Stores = NOTHING  # in the account's stores before it took of them ...
    taken: Stores = NOTHING  # ... and what it took
    came: bool = False  # whether an attempt may have come whole to a backend: then the units are used

    @property
    def account(self) -> Account:
        return self.commitment.account
