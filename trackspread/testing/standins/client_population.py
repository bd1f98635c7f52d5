"""Models tenants and their clients: the requests with their times and gateways, and the retries.

The model uses no I/O and no clock. Arrivals are drawn ahead and do not wait for answers; `ClientBehavior`
determines what a client does after an answer.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from itertools import accumulate
from typing import NamedTuple

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
MIN_TIMEOUT_SHARE = 0.6  # shortest wait of a client, as a share of its class's timeout
MAX_BACKOFF_FACTOR = 1.3
MIN_WEIGHT = 0.02  # smallest weight of a gateway for a tenant
_NUMBER = slice(4, 14)  # position of a request's number in its name


@dataclass(slots=True)
class Tenant:
    """Holds one tenant and its request rate.

    It uses `gateway_count` gateways from `first_gateway` on, in proportion to `weights`.
    """

    number: int
    plan: str
    requests_per_s: float
    gateway_count: int
    first_gateway: int
    weights: list[float]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """Describes one request that a client sends.

    `origin` is the first attempt's name, and `key` the idempotency key or "". `timeout_ns` says how long its
    client waits for an answer.
    """

    origin: str
    tenant: Tenant
    cls: str
    gateway: int
    units: float
    key: str
    timeout_ns: int
    attempt: int = 1


class Retry(NamedTuple):
    """Holds a further attempt of a client, and the delay before it in ns."""

    delay_ns: int
    request: ClientRequest


@dataclass(frozen=True, slots=True)
class ClassDemand:
    """Describes how clients use a class.

    `share` is its share of all requests, and `idempotency` is "safe", "keyed" or "unsafe".
    """

    name: str
    share: float
    has_key: bool
    idempotency: str
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """Describes what clients do after an answer other than "served".

    `retry_after_compliance` is the share of clients that wait as Retry-After says. The others, and those
    without a Retry-After, wait for `backoff_ns`.
    """

    max_retries: int = 2
    retry_after_compliance: float = 0.8
    backoff_ns: int = 50 * MILLISECOND


@dataclass(slots=True)
class ClientPopulation:
    """Draws the requests of all tenants; the same seed and calls give the same requests.

    `rate_multiple` is the present request rate as a multiple of the usual one; 0 stops the load in virtual
    time.
    """

    tenants: list[Tenant]
    classes: tuple[ClassDemand, ...]
    gateways: int
    seed: int
    behavior: ClientBehavior = field(default_factory=ClientBehavior)
    rate_multiple: float = 1.0
    _rng: random.Random = field(default_factory=random.Random)
    _requests: int = 0
    _cumulative_rates: list[float] = field(default_factory=list)
    _cumulative_shares: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(f"crowd:{self.seed}")
        self._cumulative_rates = list(accumulate(tenant.requests_per_s for tenant in self.tenants))
        self._cumulative_shares = list(accumulate(demand.share for demand in self.classes))

    def next_pause_ns(self) -> int:
        """Draws the time until the next request of any tenant."""
        return int(self._rng.expovariate(self._cumulative_rates[-1] * self.rate_multiple) * SECOND)

    def next_request(self) -> ClientRequest:
        """Draws the next request of any tenant."""
        rng = self._rng
        tenant = rng.choices(self.tenants, cum_weights=self._cumulative_rates)[0]
        demand = rng.choices(self.classes, cum_weights=self._cumulative_shares)[0]
        self._requests += 1
        key = f"{self.seed & 0xFFFF:04x}{self._requests:012x}" if demand.has_key else ""
        origin = self.request_name(self._requests, 0)
        timeout_ns = int(demand.timeout_ns * rng.uniform(MIN_TIMEOUT_SHARE, 1.0))
        return ClientRequest(origin, tenant, demand.name, self.choose_gateway(tenant), 1.0, key, timeout_ns)

    def request_name(self, number: int, attempt: int) -> str:
        """Returns a request's name on the wire, which has 16 hex digits; `attempt` counts from 0."""
        return f"{self.seed & 0xFFFF:04x}{number:010x}{attempt:02x}"

    def request_id(self, request: ClientRequest) -> str:
        """Returns the name of a request's present attempt."""
        return self.request_name(int(request.origin[_NUMBER], 16), request.attempt - 1)

    def choose_gateway(self, tenant: Tenant, excluded: int = -1) -> int:
        """Draws the gateway for a tenant's next request; `excluded` only if the tenant has no other."""
        first = tenant.first_gateway
        offsets = [i for i in range(tenant.gateway_count) if (first + i) % self.gateways != excluded]
        if not offsets:
            return excluded
        weights = [tenant.weights[i] for i in offsets]
        return (first + self._rng.choices(offsets, weights)[0]) % self.gateways

    def retry(self, request: ClientRequest, outcome: str, retry_after_ms: int) -> Retry | None:
        """Returns the client's next attempt after an outcome other than "served", or None if it makes none.

        A request that failed or was never answered may have been executed, so it is retried only if its class
        is safe. A rejected request was not executed. `retry_after_ms` is 0 if there was no Retry-After.
        """
        idempotency = next(demand.idempotency for demand in self.classes if demand.name == request.cls)
        if request.attempt > self.behavior.max_retries or (outcome != "refused" and idempotency != "safe"):
            return None
        number = int(request.origin[_NUMBER], 16)
        complies = self._rng.random() < self.behavior.retry_after_compliance
        wait_ns = retry_after_ms * MILLISECOND if retry_after_ms and complies else self.behavior.backoff_ns
        gateway = self.choose_gateway(request.tenant)
        delay_ns = int(wait_ns * self._rng.uniform(1.0, MAX_BACKOFF_FACTOR))
        return Retry(
            delay_ns,
            ClientRequest(
                self.request_name(number, 0),
                request.tenant,
                request.cls,
                gateway,
                request.units,
                request.key,
                request.timeout_ns,
                request.attempt + 1,
            ),
        )

    def move(self, share: float) -> int:
        """Draws new weights for a share of the tenants; returns the number of these tenants."""
        moved = [tenant for tenant in self.tenants if self._rng.random() < share]
        for tenant in moved:
            tenant.weights = draw_weights(self._rng, tenant.gateway_count)
        return len(moved)


def draw_weights(rng: random.Random, count: int) -> list[float]:
    """Draws uneven weights, so that a tenant's busiest gateway has several times the load of the others."""
    return [rng.expovariate(1.0) ** 2 + MIN_WEIGHT for _ in range(count)]
