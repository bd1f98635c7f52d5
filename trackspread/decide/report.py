"""Reports the state of the decision module to operators and the shared counter, without changing it."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from .broker import Broker
from .quota import Quota
from .rejection import EarlyRejection
from .tenant_account import QUARTERS_PER_UNIT
from .services import ServiceBrokers

Module = Broker | ServiceBrokers


class ServiceReport(msgspec.Struct, frozen=True):
    """Reports one service at one gateway.

    `backends` counts those listed, `warm` and `excluded` some of them. `in_flight` counts attempts, and
    `limit` is their limit, which exists under congestion only. `commitments` counts tenants with recent
    requests.
    """

    service: str
    backends: int
    warm: int
    excluded: int
    in_flight: int
    limit: int | None
    commitments: int


def brokers(module: Module) -> Sequence[Broker]:
    """Returns the brokers of the module: one, or one for each service."""
    return module.brokers if isinstance(module, ServiceBrokers) else (module,)


def early_rejections(module: Module) -> dict[EarlyRejection, int]:
    """Returns how many requests were rejected without their tenants' state, by reason."""
    each = brokers(module)
    return {reason: sum(broker.early_rejections[reason] for broker in each) for reason in EarlyRejection}


def _unavailable(broker: Broker, now: int) -> int:
    return sum(
        state.is_listed and (not state.is_usable or now < state.ejected_until_ns)
        for state in broker.load_balancer.backends.values()
    )


def unavailable_backends(module: Module, now: int) -> int:
    """Returns the number of listed backends that get no attempts now: those draining or ejected."""
    return sum(_unavailable(broker, now) for broker in brokers(module))


def concurrency_cap(module: Module, tenant: int) -> int:
    """Returns the cap on the tenant's requests in flight to all services, or 0 without a commitment."""
    commitments = (broker.commitments.by_tenant.get(tenant) for broker in brokers(module))
    return sum(commitment.cap for commitment in commitments if commitment is not None)


def quota_units(quota: Quota, tenant: int) -> tuple[float, float]:
    """Returns the units of the tenant's quota used here and its tokens here, for the shared counter."""
    account = quota.accounts.get(tenant)
    if account is None:
        return 0.0, 0.0
    return account.forwarded_quarter_units / QUARTERS_PER_UNIT, account.tokens


def service_reports(module: ServiceBrokers, now: int) -> list[ServiceReport]:
    """Returns the reports of all services that this gateway carries, in their order."""
    return [
        ServiceReport(
            service=name,
            backends=sum(state.is_listed for state in broker.load_balancer.backends.values()),
            warm=broker.load_balancer.slow_start.warm_backends,
            excluded=_unavailable(broker, now),
            in_flight=broker.requests.in_flight,
            limit=broker.model.concurrency_limit,
            commitments=len(broker.commitments.active),
        )
        for name, broker in zip(module.carried, module.brokers, strict=True)
    ]
