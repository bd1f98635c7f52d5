"""What the decision module knows, as plain values for another process, and taken up there. Nothing here
decides.

Both processes read one clock. Classes and plans go by their names, as either side numbers them its own way.
"""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING, Any

from .interface import Arrival
from .state import Account, Commitment, Mean, Open, Server

if TYPE_CHECKING:
    from .broker import Broker

Plain = dict[str, Any]
VERSION = 7  # of the portrait: raised with every change of what it holds: old and new program may differ
_NOT_ACCOUNT = frozenset({"plan", "index", "home", "homed", "keeps", "taking", "tellers", "asking"})
_COMMITMENT = ("last", "evaluated", "in_flight", "demand", "cap", "worth", "room", "aim", "least")
_SERVER = ("slow", "pause", "fails", "suspended", "tokens", "tokens_at", "turn")  # the rest is the list's


def _mean(mean: Mean) -> list[float]:
    return [mean.at, mean.total, mean.weight, mean.memory]


def _to_mean(plain: list[float]) -> Mean:
    made = Mean(int(plain[3]))
    made.at, made.total, made.weight = int(plain[0]), float(plain[1]), float(plain[2])
    return made


def _plain(value: Any) -> Any:
    if isinstance(value, Mean):
        return _mean(value)
    return list(value.items()) if isinstance(value, dict) else value


def portrait(module: Broker, names: tuple[str, ...], out: dict[tuple[int, int], int]) -> Plain:
    """All that outlives the process. `names`: of the classes, by their numbers; `out`: the backend of each
    attempt, by request and attempt."""
    quota, fleet, model = module.quota, module.fleet, module.model
    plans = [plan.name for plan in module.s.plans]
    accounts = [
        {"_plan": plans[a.index], "_commitment": _commitment(module, a)}
        | {f.name: _plain(getattr(a, f.name)) for f in fields(Account) if f.name not in _NOT_ACCOUNT}
        for a in quota.accounts.values()
    ]
    servers = [
        {
            "id": s.entry.id,
            "booted": s.entry.booted,
            "met": [[names[cls], at, bad] for cls, (at, bad) in s.met.items()],
            "full": [[names[cls], plans[plan], until] for (cls, plan), until in s.full.items()],
        }
        | {name: _plain(getattr(s, name)) for name in _SERVER}
        for s in fleet.servers.values()
    ]
    attempts = [
        [number, attempt, by, *_arrival(module.attempts[number, attempt].arrival, names, plans)]
        for (number, attempt), by in out.items()
        if (number, attempt) in module.attempts
    ]
    return {
        "version": VERSION,
        "classes": [
            [name, _mean(model.latency[n]), model.shortest[n], _mean(fleet.silence[n])]
            for n, name in enumerate(names)
            if n in model.named
        ],
        "in_flight": _mean(model.in_flight),
        "retries": module.retries,
        "told_at": quota.told_at,
        "me": quota.me,
        "born": quota.born,
        "tag": quota.tag,
        "pace": quota.pace,
        "restarted": quota.restarted,
        "peers": [[p, *word] for p, word in quota.peers.items()],
        "granted": [[plans[n], _mean(m)] for n, m in enumerate(quota.granted)],
        "accounts": accounts,
        "servers": servers,
        "sends": _mean(fleet.sends),
        "newest": fleet.newest,
        "out": attempts,
    }


def _arrival(a: Arrival, names: tuple[str, ...], plans: list[str]) -> list[Any]:
    return [names[a.cls], plans[a.plan], a.customer, a.units]


def restore(module: Broker, told: Plain, names: tuple[str, ...]) -> None:
    """Take up what another process knew; what this one's settings do not have is passed over. Raises
    `ValueError` on a portrait of another version, before anything is changed."""
    if told.get("version") != VERSION:
        raise ValueError(f"portrait of version {told.get('version')}, this is {VERSION}")
    classes = {name: n for n, name in enumerate(names) if n in module.model.named}
    plans = {plan.name: n for n, plan in enumerate(module.s.plans)}
    quota, fleet, model = module.quota, module.fleet, module.model
    quota.me, quota.born, quota.tag = told["me"], told["born"], told["tag"]
    quota.pace, quota.restarted = told["pace"], told["restarted"]
    quota.peers = {peer: (incarnation, heard, age) for peer, incarnation, heard, age in told["peers"]}
    module.retries, quota.told_at = told["retries"], told["told_at"]
    for name, mean in told["granted"]:
        if name in plans:
            quota.granted[plans[name]] = _to_mean(mean)
    for name, latency, shortest, silence in told["classes"]:
        if (n := classes.get(name)) is not None:
            model.latency[n], model.shortest[n] = _to_mean(latency), shortest
            fleet.silence[n] = _to_mean(silence)
    model.in_flight = _to_mean(told["in_flight"])
    fleet.sends, fleet.newest = _to_mean(told["sends"]), told["newest"]
    for each in told["accounts"]:
        if each["_plan"] in plans:
            _account(module, each, plans[each["_plan"]])
    for each in told["servers"]:
        server = fleet.servers.get(each["id"])
        if server is not None and server.entry.booted == each["booted"]:
            _server(server, each, classes, plans)
    for each in told["out"]:
        mirror(module, names, each)


def _account(module: Broker, told: Plain, index: int) -> None:
    quota = module.quota
    customer = told["customer"]
    values = {name: value for name, value in told.items() if not name.startswith("_")}
    for name in ("demand", "granted", "seen"):
        values[name] = _to_mean(values[name])
    values["heard"] = {int(p): int(sent) for p, sent in values["heard"]}
    values["asked"] = {int(p): int(at) for p, at in values["asked"]}
    values["given"] = {int(p): (float(word[0]), int(word[1])) for p, word in values["given"]}
    values["out"] = {int(p): (int(word[0]), int(word[1])) for p, word in values["out"]}
    values["peers"] = tuple(values["peers"])
    values["open"] = 0  # those that are out are told one by one
    account = Account(
        plan=quota.figures(customer, index), index=index, home=customer % module.s.gateways, **values
    )
    quota.accounts[customer] = account
    if told["_commitment"] is None:
        return
    commitment = module.commitment(module.quota.told_at, account)
    for name in _COMMITMENT:
        value = told["_commitment"][name]
        setattr(commitment, name, _to_mean(value) if name in ("in_flight", "demand") else value)
    if commitment.cap:
        module.active[customer] = commitment


def _commitment(module: Broker, account: Account) -> Plain | None:
    """What is known of the customer's requests beside its stores; None where none came here."""
    commitment: Commitment | None = module.commitments.get(account.customer)
    if commitment is None or commitment.account is not account:
        return None
    return {name: _plain(getattr(commitment, name)) for name in _COMMITMENT}


def _server(server: Server, told: Plain, classes: dict[str, int], plans: dict[str, int]) -> None:
    server.slow = _to_mean(told["slow"])
    for name in _SERVER[1:]:
        setattr(server, name, told[name])
    server.met = {classes[cls]: (at, bad) for cls, at, bad in told["met"] if cls in classes}
    server.full = {
        (classes[cls], plans[plan]): until
        for cls, plan, until in told["full"]
        if cls in classes and plan in plans
    }


def mirror(module: Broker, names: tuple[str, ...], told: list[Any]) -> None:
    """An attempt that another process has out: it counts here until its end is told, and answers nobody."""
    number, attempt, backend, cls, plan, customer, units = told
    plans = [each.name for each in module.s.plans]
    number_of = {name: n for n, name in enumerate(names) if n in module.model.named}
    if plan not in plans or cls not in number_of:
        return
    arrival = Arrival(number, number_of[cls], plans.index(plan), customer, 0, units, 0, 0, 0)
    now = module.quota.told_at
    account = module.quota.account(now, customer, arrival.plan)
    placed = module.quota.asks(account)  # its end is told to the home, as by whoever sent it
    request = Open(arrival, module.commitment(now, account), 1, sends=1, out=1, placed=placed)
    module.attempts[number, attempt] = request
    module.opened(request, 1)
    module.out += 1
    if (server := module.fleet.servers.get(backend)) is not None:
        server.out += 1
