"""What operators and counters are told of the decision module. Reads its state; nothing here decides."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from .broker import Broker
from .quota import Quota
from .services import ServiceBrokers

Module = Broker | ServiceBrokers


class ServiceReport(msgspec.Struct, frozen=True):
    """One service at one gateway. `backends`: listed; `warm`, `excluded`: of them; `in_flight`: attempts out;
    `limit`: on these, under pressure alone; `commitments`: customers with requests of late."""

    service: str
    backends: int
    warm: int
    excluded: int
    in_flight: int
    limit: int | None
    commitments: int


def brokers(module: Module) -> Sequence[Broker]:
    """One, or one for each service."""
    return module.brokers if isinstance(module, ServiceBrokers) else (module,)


def _excluded(broker: Broker, now: int) -> int:
    servers = broker.load_balancer.backends.values()
    return sum(s.is_listed and (not s.is_usable or now < s.ejected_until_ns) for s in servers)


def excluded(module: Module, now: int) -> int:
    """Listed backends that get nothing now."""
    return sum(_excluded(broker, now) for broker in brokers(module))


def cap(module: Module, customer: int) -> int:
    """On the customer's requests in flight, to all services together; 0 where it has no commitment."""
    found = (broker.commitments.by_tenant.get(customer) for broker in brokers(module))
    return sum(commitment.cap for commitment in found if commitment is not None)


def kept(quota: Quota, customer: int) -> tuple[float, float]:
    """Units of the customer's quota spent here so far, and in its store: what a shared counter is told."""
    account = quota.accounts.get(customer)
    return (account.forwarded_quarter_units / 4, account.tokens) if account is not None else (0.0, 0.0)


def services(module: ServiceBrokers, now: int) -> list[ServiceReport]:
    """All that this gateway carries, in their order."""
    return [
        ServiceReport(
            name,
            sum(s.is_listed for s in broker.load_balancer.backends.values()),
            broker.load_balancer.slow_start.warm_backends,
            _excluded(broker, now),
            broker.requests.in_flight,
            broker.model.concurrency_limit,
            len(broker.commitments.active),
        )
        for name, broker in zip(module.carried, module.brokers, strict=True)
    ]
