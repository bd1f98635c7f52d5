"""Customers and their clients as a model: who asks when, for what, through which gateway, and comes again.

May know: seeded randomness, times handed in. May not know: sockets, the protocol, the ledger. Arrivals are
drawn ahead and do not wait for answers; what a client does after an answer is `ClientBehavior`'s.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from itertools import accumulate

SECOND = 1_000_000_000
MILLISECOND = 1_000_000


@dataclass(slots=True)
class Customer:
    """One customer: `rate` is what it asks for, requests a second; `weights` over the gateways of its set."""

    number: int
    plan: str
    rate: float
    spread: int
    first: int
    weights: list[float]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request that a client wants to send; `key` where the class is keyed, `wait` in ns."""

    origin: str
    customer: Customer
    cls: str
    gateway: int
    units: float
    key: str
    wait: int
    tries: int = 1


@dataclass(frozen=True, slots=True)
class ClassMix:
    """A class as the population asks for it: part of all requests, whether it carries a key, waits in ns."""

    name: str
    share: float
    keyed: bool
    repeat: str
    wait: int


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """What clients do after an answer that is not the one they want."""

    retries: int = 2
    obeys: float = 0.8  # part of the clients that wait as long as the advice says
    backoff: int = 50 * MILLISECOND  # of those that do not, or had no advice


@dataclass(slots=True)
class ClientPopulation:
    """All customers; the same seed and calls give the same requests."""

    customers: list[Customer]
    classes: tuple[ClassMix, ...]
    gateways: int
    seed: int
    behavior: ClientBehavior = field(default_factory=ClientBehavior)
    surge: float = 1.0  # times the usual rate
    _rng: random.Random = field(default_factory=random.Random)
    _count: int = 0
    _rates: list[float] = field(default_factory=list)  # running sums: they do not change
    _shares: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(f"crowd:{self.seed}")
        self._rates = list(accumulate(customer.rate for customer in self.customers))
        self._shares = list(accumulate(mix.share for mix in self.classes))

    def pause(self) -> int:
        """ns until the next request of anybody."""
        return int(self._rng.expovariate(self._rates[-1] * self.surge) * SECOND)

    def want(self) -> ClientRequest:
        rng = self._rng
        customer = rng.choices(self.customers, cum_weights=self._rates)[0]
        mix = rng.choices(self.classes, cum_weights=self._shares)[0]
        self._count += 1
        key = f"{self.seed & 0xFFFF:04x}{self._count:012x}" if mix.keyed else ""
        origin = self.name(self._count, 0)
        wait = int(mix.wait * rng.uniform(0.6, 1.0))
        return ClientRequest(origin, customer, mix.name, self.entry(customer), 1.0, key, wait)

    def name(self, number: int, tries: int) -> str:
        """A request's id: 16 hex digits."""
        return f"{self.seed & 0xFFFF:04x}{number:010x}{tries:02x}"

    def entry(self, customer: Customer, but: int = -1) -> int:
        """The gateway that the customer's next request goes to; not `but`, where there is another."""
        offsets = [i for i in range(customer.spread) if (customer.first + i) % self.gateways != but]
        if not offsets:
            return but
        weights = [customer.weights[i] for i in offsets]
        return (customer.first + self._rng.choices(offsets, weights)[0]) % self.gateways

    def again(self, want: ClientRequest, kind: str, advice_ms: int) -> tuple[int, ClientRequest] | None:
        """After how many ns the client comes again, and with what; None if it does not. What failed, or was
        never answered, promises nothing: only what is safe to repeat is."""
        repeat = next(mix.repeat for mix in self.classes if mix.name == want.cls)
        if want.tries > self.behavior.retries or (kind != "refused" and repeat != "safe"):
            return None
        number = int(want.origin[4:14], 16)
        obeys = self._rng.random() < self.behavior.obeys
        wait = advice_ms * MILLISECOND if advice_ms and obeys else self.behavior.backoff
        gateway = self.entry(want.customer)
        return int(wait * self._rng.uniform(1.0, 1.3)), ClientRequest(
            self.name(number, 0),
            want.customer,
            want.cls,
            gateway,
            want.units,
            want.key,
            want.wait,
            want.tries + 1,
        )

    def request_id(self, want: ClientRequest) -> str:
        return self.name(int(want.origin[4:14], 16), want.tries - 1)

    def move(self, share: float) -> int:
        """So many of the customers get new weights at one stroke; how many did."""
        moved = [c for c in self.customers if self._rng.random() < share]
        for customer in moved:
            customer.weights = draw_weights(self._rng, customer.spread)
        return len(moved)


def draw_weights(rng: random.Random, spread: int) -> list[float]:
    """Uneven: the busiest gateway of a set takes several times what the others do."""
    return [rng.expovariate(1.0) ** 2 + 0.02 for _ in range(spread)]
