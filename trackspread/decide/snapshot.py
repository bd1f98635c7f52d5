"""Exports the state of the decision module as plain values, for another process that takes over.

`snapshot_restore.py` restores the state there. Both processes use the same clock. Classes and plans are
identified by name, because each process numbers them on its own. This module contains no decisions.
"""

from __future__ import annotations

from collections.abc import Mapping
from operator import attrgetter
from typing import TYPE_CHECKING, Any, NamedTuple

from .backend_state import BackendState
from .commitment import Commitment
from .decaying_mean import DecayingMean
from .tenant_account import TenantAccount

if TYPE_CHECKING:
    from .broker import Broker

Plain = dict[str, Any]
# The version is raised with every change of the contents, as the other process may run another program.
VERSION = 7
# Keys of the snapshot and the attributes that they stand for; the keys stay as earlier versions wrote them.
_ACCOUNT_KEYS = {
    "customer": "tenant",
    "level": "tokens",
    "at": "refilled_at_ns",
    "last": "last_request_ns",
    "told_at": "tokens_known_at_ns",
    "open_at": "counter.in_flight_known_at_ns",
    "demand": "demand",
    "granted": "grant_ratio",
    "seen": "long_term_demand",
    "ceiling": "hard_limit_tokens",
    "lacked": "transfer_request",
    "part": "static_tokens",
    "peers": "gateways.peers",
    "slices": "gateways.share_count",
    "open": "in_flight",
    "sent": "forwarded_quarter_units",
    "tells": "announcements_due",
    "heard": "peer_totals",
    "asked": "owner_record.queried_at_ns",
    "given": "owner_record.unsettled_grants",
    "others": "counter.in_flight_elsewhere",
    "out": "peers_in_flight",
    "owed": "counter.correction_units",
    "soft": "lease.quota_share",
    "hard": "lease.hard_limit_share",
    "places": "lease.concurrency_share",
    "over": "overflow_units",
    "absent": "unresponsive_units",
    "more": "lease.more_expected",
    "first": "gateways.first",
    "spread": "gateways.span",
    "teller": "tokens_reported_by",
    "refused_for": "rejection_reason",
    "unspent": "refunded_quarter_units",
}
_COMMITMENT_KEYS = {
    "last": "last_request_ns",
    "evaluated": "evaluated_at_ns",
    "in_flight": "mean_in_flight",
    "demand": "demand",
    "cap": "cap",
    "worth": "priority",
    "room": "max_wait_ns",
    "aim": "latency_objective_ns",
    "least": "min_throughput_per_s",
}
# What service discovery reports about a backend is not part of the snapshot.
_BACKEND_KEYS = {
    "slow": "slowness",
    "pause": "ejection_ns",
    "fails": "consecutive_failures",
    "suspended": "ejected_until_ns",
    "tokens": "slow_start_tokens",
    "tokens_at": "tokens_refilled_at_ns",
    "turn": "last_turn",
}


class AttemptElsewhere(NamedTuple):
    """Describes an attempt that another process of this gateway has in flight, by class and plan name."""

    request: int
    attempt: int
    backend: int
    request_class: str
    plan: str
    tenant: int
    units: float


def _mean(mean: DecayingMean) -> list[float]:
    return [mean.updated_at_ns, mean.total, mean.weight, mean.time_constant_ns]


def _plain(value: Any) -> Any:
    if isinstance(value, DecayingMean):
        return _mean(value)
    return list(value.items()) if isinstance(value, dict) else value


def export_state(
    broker: Broker, class_names: tuple[str, ...], attempts: Mapping[tuple[int, int], int]
) -> Plain:
    """Returns all state that has to outlive the process.

    `class_names` is indexed by the classes' numbers. `attempts` maps request and attempt number of each
    attempt in flight to its backend.
    """
    quota = broker.quota
    balancer = broker.load_balancer
    broker.commitments.complete_samples()
    plan_names = [plan.name for plan in broker.settings.plans]
    return {
        "version": VERSION,
        "classes": _export_classes(broker, class_names),
        "in_flight": _mean(broker.model.mean_in_flight),
        "retries": broker.retry_policy.tokens,
        "told_at": quota.gossiped_at_ns,
        "me": quota.incarnation,
        "born": quota.started_at_ns,
        "tag": quota.last_query,
        "pace": quota.counter_call_rate,
        "restarted": quota.has_restarted,
        "peers": [[peer, *last_message] for peer, last_message in quota.peers.items()],
        "granted": [[plan_names[n], _mean(mean)] for n, mean in enumerate(quota.grant_ratio_by_plan)],
        "accounts": [_export_account(broker, each, plan_names) for each in quota.accounts.values()],
        "servers": [_export_backend(state, class_names, plan_names) for state in balancer.backends.values()],
        "sends": _mean(balancer.slow_start.warm_attempts),
        "newest": balancer.outliers.newest_answered_ns,
        "out": _export_attempts(broker, class_names, plan_names, attempts),
    }


def _export_classes(broker: Broker, class_names: tuple[str, ...]) -> list[list[Any]]:
    model = broker.model
    timeout_rate = broker.load_balancer.outliers.timeout_rate
    return [
        [name, _mean(model.latency[number]), model.shortest_ns[number], _mean(timeout_rate[number])]
        for number, name in enumerate(class_names)
        if number in model.active_classes
    ]


def _export_account(broker: Broker, account: TenantAccount, plan_names: list[str]) -> Plain:
    return {"_plan": plan_names[account.plan_index], "_commitment": _export_commitment(broker, account)} | {
        key: _plain(attrgetter(name)(account)) for key, name in _ACCOUNT_KEYS.items()
    }


def _export_commitment(broker: Broker, account: TenantAccount) -> Plain | None:
    """Returns the tenant's commitment, or None if there is none here."""
    commitment: Commitment | None = broker.commitments.by_tenant.get(account.tenant)
    if commitment is None or commitment.account is not account:
        return None
    return {key: _plain(getattr(commitment, name)) for key, name in _COMMITMENT_KEYS.items()}


def _export_backend(state: BackendState, class_names: tuple[str, ...], plan_names: list[str]) -> Plain:
    return {
        "id": state.backend.id,
        "booted": state.backend.started_at_ns,
        "met": [
            [class_names[request_class], at_ns, unanswered]
            for request_class, (at_ns, unanswered) in state.last_response.items()
        ],
        "full": [
            [class_names[request_class], plan_names[plan], until_ns]
            for (request_class, plan), until_ns in state.rejecting_until_ns.items()
        ],
    } | {key: _plain(getattr(state, name)) for key, name in _BACKEND_KEYS.items()}


def _export_attempts(
    broker: Broker,
    class_names: tuple[str, ...],
    plan_names: list[str],
    attempts: Mapping[tuple[int, int], int],
) -> list[list[Any]]:
    exported = []
    for (number, attempt), backend in attempts.items():
        request = broker.requests.attempts.get((number, attempt))
        if request is None:
            continue
        arrival = request.arrival
        exported.append(
            list(
                AttemptElsewhere(
                    number,
                    attempt,
                    backend,
                    class_names[arrival.request_class],
                    plan_names[arrival.plan],
                    arrival.tenant,
                    arrival.units,
                )
            )
        )
    return exported
