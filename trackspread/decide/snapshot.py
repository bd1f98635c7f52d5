"""What the decision module knows, as plain values for another process, and taken up there. Nothing here
decides.

Both processes read one clock. Classes and plans go by their names, as either side numbers them its own way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .events import RequestArrived
from .backend_state import BackendState
from .commitment import Commitment
from .decaying_mean import DecayingMean
from .open_request import OpenRequest
from .tenant_account import TenantAccount

if TYPE_CHECKING:
    from .broker import Broker

Plain = dict[str, Any]
VERSION = 7  # of the portrait: raised with every change of what it holds: old and new program may differ
# Keys of the snapshot and the attributes that they stand for: the keys stay as earlier versions wrote them.
_ACCOUNT_KEYS = {
    "customer": "tenant",
    "level": "tokens",
    "at": "refilled_at_ns",
    "last": "last_request_ns",
    "told_at": "tokens_known_at_ns",
    "open_at": "in_flight_known_at_ns",
    "demand": "demand",
    "granted": "grant_ratio",
    "seen": "long_term_demand",
    "ceiling": "hard_limit_tokens",
    "lacked": "transfer_request",
    "part": "static_tokens",
    "peers": "peers",
    "slices": "static_shares",
    "open": "in_flight",
    "sent": "forwarded_quarter_units",
    "tells": "announcements_due",
    "heard": "peer_totals",
    "asked": "queried_at_ns",
    "given": "unsettled_grants",
    "others": "in_flight_elsewhere",
    "out": "peers_in_flight",
    "owed": "counter_correction_units",
    "soft": "quota_share",
    "hard": "hard_limit_share",
    "places": "concurrency_share",
    "over": "overflow_units",
    "absent": "unresponsive_units",
    "more": "more_expected",
    "first": "first_gateway",
    "spread": "gateway_span",
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
# What service discovery tells of a backend is not part of it.
_BACKEND_KEYS = {
    "slow": "slowness",
    "pause": "ejection_ns",
    "fails": "consecutive_failures",
    "suspended": "ejected_until_ns",
    "tokens": "slow_start_tokens",
    "tokens_at": "tokens_refilled_at_ns",
    "turn": "last_turn",
}


def _mean(mean: DecayingMean) -> list[float]:
    return [mean.updated_at_ns, mean.total, mean.weight, mean.time_constant_ns]


def _to_mean(plain: list[float]) -> DecayingMean:
    made = DecayingMean(int(plain[3]))
    made.updated_at_ns, made.total, made.weight = int(plain[0]), float(plain[1]), float(plain[2])
    return made


def _plain(value: Any) -> Any:
    if isinstance(value, DecayingMean):
        return _mean(value)
    return list(value.items()) if isinstance(value, dict) else value


def portrait(module: Broker, names: tuple[str, ...], out: dict[tuple[int, int], int]) -> Plain:
    """All that outlives the process. `names`: of the classes, by their numbers; `out`: the backend of each
    attempt, by request and attempt."""
    quota, balancer, model = module.quota, module.load_balancer, module.model
    plans = [plan.name for plan in module.settings.plans]
    accounts = [
        {"_plan": plans[a.plan_index], "_commitment": _commitment(module, a)}
        | {key: _plain(getattr(a, name)) for key, name in _ACCOUNT_KEYS.items()}
        for a in quota.accounts.values()
    ]
    servers = [
        {
            "id": s.backend.id,
            "booted": s.backend.started_at_ns,
            "met": [[names[cls], at, bad] for cls, (at, bad) in s.last_response.items()],
            "full": [[names[cls], plans[plan], until] for (cls, plan), until in s.rejecting_until_ns.items()],
        }
        | {key: _plain(getattr(s, name)) for key, name in _BACKEND_KEYS.items()}
        for s in balancer.backends.values()
    ]
    attempts = [
        [number, attempt, by, *_arrival(module.requests.attempts[number, attempt].arrival, names, plans)]
        for (number, attempt), by in out.items()
        if (number, attempt) in module.requests.attempts
    ]
    return {
        "version": VERSION,
        "classes": [
            [name, _mean(model.latency[n]), model.shortest_ns[n], _mean(balancer.outliers.timeout_rate[n])]
            for n, name in enumerate(names)
            if n in model.active_classes
        ],
        "in_flight": _mean(model.mean_in_flight),
        "retries": module.retry_policy.tokens,
        "told_at": quota.gossiped_at_ns,
        "me": quota.incarnation,
        "born": quota.started_at_ns,
        "tag": quota.last_query,
        "pace": quota.counter_call_rate,
        "restarted": quota.has_restarted,
        "peers": [[p, *word] for p, word in quota.peers.items()],
        "granted": [[plans[n], _mean(m)] for n, m in enumerate(quota.grant_ratio_by_plan)],
        "accounts": accounts,
        "servers": servers,
        "sends": _mean(balancer.slow_start.warm_attempts),
        "newest": balancer.outliers.newest_answered_ns,
        "out": attempts,
    }


def _arrival(a: RequestArrived, names: tuple[str, ...], plans: list[str]) -> list[Any]:
    return [names[a.request_class], plans[a.plan], a.tenant, a.units]


def restore(module: Broker, told: Plain, names: tuple[str, ...]) -> None:
    """Take up what another process knew; what this one's settings do not have is passed over. Raises
    `ValueError` on a portrait of another version, before anything is changed."""
    if told.get("version") != VERSION:
        raise ValueError(f"portrait of version {told.get('version')}, this is {VERSION}")
    classes = {name: n for n, name in enumerate(names) if n in module.model.active_classes}
    plans = {plan.name: n for n, plan in enumerate(module.settings.plans)}
    quota, balancer, model = module.quota, module.load_balancer, module.model
    quota.incarnation, quota.started_at_ns, quota.last_query = told["me"], told["born"], told["tag"]
    quota.counter_call_rate, quota.has_restarted = told["pace"], told["restarted"]
    quota.peers = {peer: (incarnation, heard, age) for peer, incarnation, heard, age in told["peers"]}
    module.retry_policy.tokens = told["retries"]
    quota.gossiped_at_ns = told["told_at"]
    for name, mean in told["granted"]:
        if name in plans:
            quota.grant_ratio_by_plan[plans[name]] = _to_mean(mean)
    for name, latency, shortest, silence in told["classes"]:
        if (n := classes.get(name)) is not None:
            model.latency[n], model.shortest_ns[n] = _to_mean(latency), shortest
            balancer.outliers.timeout_rate[n] = _to_mean(silence)
    model.mean_in_flight = _to_mean(told["in_flight"])
    balancer.slow_start.warm_attempts = _to_mean(told["sends"])
    balancer.outliers.newest_answered_ns = told["newest"]
    for each in told["accounts"]:
        if each["_plan"] in plans:
            _account(module, each, plans[each["_plan"]])
    for each in told["servers"]:
        server = balancer.backends.get(each["id"])
        if server is not None and server.backend.started_at_ns == each["booted"]:
            _server(server, each, classes, plans)
    for each in told["out"]:
        mirror(module, names, each)


def _account(module: Broker, told: Plain, index: int) -> None:
    quota = module.quota
    customer = told["customer"]
    values = {key: told[key] for key in _ACCOUNT_KEYS}
    for name in ("demand", "granted", "seen"):
        values[name] = _to_mean(values[name])
    values["heard"] = {int(p): int(sent) for p, sent in values["heard"]}
    values["asked"] = {int(p): int(at) for p, at in values["asked"]}
    values["given"] = {int(p): (float(word[0]), int(word[1])) for p, word in values["given"]}
    values["out"] = {int(p): (int(word[0]), int(word[1])) for p, word in values["out"]}
    values["peers"] = tuple(values["peers"])
    values["open"] = 0  # those that are out are told one by one
    account = TenantAccount(
        plan=quota.plan_of(customer, index),
        plan_index=index,
        quota_owner=customer % module.settings.gateway_count,
        **{_ACCOUNT_KEYS[key]: value for key, value in values.items()},
    )
    quota.accounts[customer] = account
    if told["_commitment"] is None:
        return
    commitment = module.commitments.of_account(module.quota.gossiped_at_ns, account)
    for key, name in _COMMITMENT_KEYS.items():
        value = told["_commitment"][key]
        setattr(commitment, name, _to_mean(value) if key in ("in_flight", "demand") else value)
    if commitment.cap:
        module.commitments.active[customer] = commitment


def _commitment(module: Broker, account: TenantAccount) -> Plain | None:
    """What is known of the customer's requests beside its stores; None where none came here."""
    commitment: Commitment | None = module.commitments.by_tenant.get(account.tenant)
    if commitment is None or commitment.account is not account:
        return None
    return {key: _plain(getattr(commitment, name)) for key, name in _COMMITMENT_KEYS.items()}


def _server(server: BackendState, told: Plain, classes: dict[str, int], plans: dict[str, int]) -> None:
    server.slowness = _to_mean(told["slow"])
    for key, name in _BACKEND_KEYS.items():
        if key != "slow":
            setattr(server, name, told[key])
    server.last_response = {classes[cls]: (at, bad) for cls, at, bad in told["met"] if cls in classes}
    server.rejecting_until_ns = {
        (classes[cls], plans[plan]): until
        for cls, plan, until in told["full"]
        if cls in classes and plan in plans
    }


def mirror(module: Broker, names: tuple[str, ...], told: list[Any]) -> None:
    """An attempt that another process has out: it counts here until its end is told, and answers nobody."""
    number, attempt, backend, cls, plan, customer, units = told
    plans = [each.name for each in module.settings.plans]
    number_of = {name: n for n, name in enumerate(names) if n in module.model.active_classes}
    if plan not in plans or cls not in number_of:
        return
    arrival = RequestArrived(number, number_of[cls], plans.index(plan), customer, 0, units, 0, 0, 0)
    now = module.quota.gossiped_at_ns
    account = module.quota.account(now, customer, arrival.plan)
    placed = module.quota.has_owner(account)  # its end is told to the home, as by whoever sent it
    request = OpenRequest(
        arrival,
        module.commitments.of_account(now, account),
        1,
        attempts_started=1,
        attempts_in_flight=1,
        counted_remotely=placed,
    )
    module.requests.attempts[number, attempt] = request
    module.requests.count_attempts(request, 1)
    if (server := module.load_balancer.backends.get(backend)) is not None:
        server.in_flight += 1
