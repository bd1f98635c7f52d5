"""Restores in this process the state that another process exported with `snapshot.py`.

This module contains no decisions.
"""

from __future__ import annotations

from typing import Any

from .backend_state import BackendState
from .broker import Broker
from .decaying_mean import DecayingMean
from .events import RequestArrived
from .open_request import OpenRequest
from .snapshot import (
    _ACCOUNT_KEYS,
    _BACKEND_KEYS,
    _COMMITMENT_KEYS,
    VERSION,
    AttemptElsewhere,
    Plain,
)
from .quota.state import PeerReport
from .tenant_account import (
    CounterRecord,
    LeasedShares,
    OwnerRecord,
    PeerAttempts,
    TenantAccount,
    TenantGateways,
    UnsettledGrant,
)


def _to_mean(plain: list[float]) -> DecayingMean:
    updated_at_ns, total, weight, time_constant_ns = plain
    mean = DecayingMean(int(time_constant_ns))
    mean.updated_at_ns = int(updated_at_ns)
    mean.total = float(total)
    mean.weight = float(weight)
    return mean


def restore_state(broker: Broker, state: Plain, class_names: tuple[str, ...]) -> None:
    """Restores the state of another process.

    Classes, plans and backends that this process does not have are ignored. Raises `ValueError` for a state
    of another version, before anything is changed.
    """
    if state.get("version") != VERSION:
        raise ValueError(f"state: version must be {VERSION}, got {state.get('version')}")
    classes = _active_classes(broker, class_names)
    plans = {plan.name: number for number, plan in enumerate(broker.settings.plans)}
    _restore_quota(broker, state, plans)
    broker.retry_policy.tokens = state["retries"]
    _restore_latencies(broker, state, classes)
    for account in state["accounts"]:
        if account["_plan"] in plans:
            _restore_account(broker, account, plans[account["_plan"]])
    balancer = broker.load_balancer
    balancer.slow_start.warm_attempts = _to_mean(state["sends"])
    balancer.outliers.newest_answered_ns = state["newest"]
    for backend in state["servers"]:
        known = balancer.backends.get(backend["id"])
        if known is not None and known.backend.started_at_ns == backend["booted"]:
            _restore_backend(known, backend, classes, plans)
    for attempt in state["out"]:
        count_attempt_elsewhere(broker, class_names, AttemptElsewhere(*attempt))


def _active_classes(broker: Broker, class_names: tuple[str, ...]) -> dict[str, int]:
    active = broker.model.active_classes
    return {name: number for number, name in enumerate(class_names) if number in active}


def _restore_quota(broker: Broker, state: Plain, plans: dict[str, int]) -> None:
    quota = broker.quota
    quota.incarnation = state["me"]
    quota.started_at_ns = state["born"]
    quota.last_query = state["tag"]
    quota.counter_call_rate = state["pace"]
    quota.has_restarted = state["restarted"]
    quota.peers = {peer: PeerReport(*report) for peer, *report in state["peers"]}
    quota.gossiped_at_ns = state["told_at"]
    for plan, mean in state["granted"]:
        if plan in plans:
            quota.grant_ratio_by_plan[plans[plan]] = _to_mean(mean)


def _restore_latencies(broker: Broker, state: Plain, classes: dict[str, int]) -> None:
    model = broker.model
    for name, latency, shortest_ns, timeout_rate in state["classes"]:
        number = classes.get(name)
        if number is not None:
            model.latency[number] = _to_mean(latency)
            model.shortest_ns[number] = shortest_ns
            broker.load_balancer.outliers.timeout_rate[number] = _to_mean(timeout_rate)
    model.mean_in_flight = _to_mean(state["in_flight"])


def _restore_account(broker: Broker, state: Plain, plan_index: int) -> None:
    quota = broker.quota
    tenant = state["customer"]
    values = {key: state[key] for key in _ACCOUNT_KEYS}
    for key in ("demand", "granted", "seen"):
        values[key] = _to_mean(values[key])
    values["heard"] = {int(peer): int(total) for peer, total in values["heard"]}
    values["asked"] = {int(peer): int(at_ns) for peer, at_ns in values["asked"]}
    values["given"] = {
        int(peer): UnsettledGrant(float(units), int(at_ns)) for peer, (units, at_ns) in values["given"]
    }
    values["out"] = {
        int(peer): PeerAttempts(int(count), int(at_ns)) for peer, (count, at_ns) in values["out"]
    }
    values["peers"] = tuple(values["peers"])
    values["open"] = 0  # attempts in flight are added one by one later
    parts: dict[str, dict[str, Any]] = {}
    for key, value in values.items():
        part, _, name = _ACCOUNT_KEYS[key].rpartition(".")
        parts.setdefault(part, {})[name] = value
    account = TenantAccount(
        plan=quota.plan_of(tenant, plan_index),
        plan_index=plan_index,
        quota_owner=tenant % broker.settings.gateway_count,
        gateways=TenantGateways(**parts["gateways"]),
        counter=CounterRecord(**parts["counter"]),
        lease=LeasedShares(**parts["lease"]),
        owner_record=OwnerRecord(**parts["owner_record"]),
        **parts[""],
    )
    quota.accounts[tenant] = account
    if account.announcements_due:
        quota.announcements.add(account)
    if state["_commitment"] is not None:
        _restore_commitment(broker, account, state["_commitment"])


def _restore_commitment(broker: Broker, account: TenantAccount, state: Plain) -> None:
    commitment = broker.commitments.of_account(broker.quota.gossiped_at_ns, account)
    for key, name in _COMMITMENT_KEYS.items():
        value = state[key]
        setattr(commitment, name, _to_mean(value) if key in ("in_flight", "demand") else value)
    if commitment.cap:
        broker.commitments.restore(commitment)


def _restore_backend(
    backend: BackendState, state: Plain, classes: dict[str, int], plans: dict[str, int]
) -> None:
    backend.slowness = _to_mean(state["slow"])
    for key, name in _BACKEND_KEYS.items():
        if key != "slow":
            setattr(backend, name, state[key])
    backend.last_response = {
        classes[name]: (at_ns, unanswered) for name, at_ns, unanswered in state["met"] if name in classes
    }
    backend.rejecting_until_ns = {
        (classes[name], plans[plan]): until_ns
        for name, plan, until_ns in state["full"]
        if name in classes and plan in plans
    }


def count_attempt_elsewhere(broker: Broker, class_names: tuple[str, ...], attempt: AttemptElsewhere) -> None:
    """Counts an attempt that another process has in flight, until its end is reported.

    The attempt produces no answer here.
    """
    plan_names = [plan.name for plan in broker.settings.plans]
    classes = _active_classes(broker, class_names)
    if attempt.plan not in plan_names or attempt.request_class not in classes:
        return
    arrival = RequestArrived(
        attempt.request,
        classes[attempt.request_class],
        plan_names.index(attempt.plan),
        attempt.tenant,
        expires_at_ns=0,
        units=attempt.units,
        gateway_span=0,
        first_gateway=0,
        options=0,
    )
    # The caller passes no time, so the time of the last gossip, which is part of the state, is used instead.
    now = broker.quota.gossiped_at_ns
    account = broker.quota.account(now, attempt.tenant, arrival.plan)
    request = OpenRequest(
        arrival,
        broker.commitments.of_account(now, account),
        max_attempts=1,
        attempts_started=1,
        attempts_in_flight=1,
        # At the attempt's end the owner gets a message, as it would from the process that started the
        # attempt.
        counted_remotely=broker.quota.has_owner(account),
    )
    broker.requests.attempts[attempt.request, attempt.attempt] = request
    broker.requests.count_attempts(request, 1)
    units_taken_here = 0.0 if broker.quota.has_remote_owner(account) else attempt.units
    broker.quota.request_started(now, request, units_taken_here)
    backend = broker.load_balancer.backends.get(attempt.backend)
    if backend is not None:
        backend.in_flight += 1
