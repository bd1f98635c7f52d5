"""Whether the five rules were kept, from a ledger alone.

The rules of this file: nothing of the gateway's code is used or copied; each rule is one function from the
case to violations; stores are replayed exactly, unit by unit, as the pages of the platform word them; a limit
on time is longer by `World.tolerance`; what a killed gateway held is the client's to retry and no breach; a
gateway that was stopped may answer later by as long as it stood still, and for what it held then no more.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator, Sequence

from .ledger import (
    ReplyReceived,
    RequestSent,
    AttemptReceived,
    BackendStarted,
    ClassRule,
    ConnectionLost,
    GatewayExited,
    Entry,
    BackendCrashed,
    MalformedRequest,
    GatewayPaused,
    GatewayKilled,
    HarnessLagged,
    ClientDisconnected,
    PlanRule,
    GatewayResumed,
    GatewayStarted,
    GatewayStopping,
    UnexpectedBytes,
    EndpointAnnounced,
    World,
)
from .verdict import Figures, State, Verdict, Violation

SECOND = 1_000_000_000
ROUNDING = 1e-6  # units: stores are floats


class Case:
    """One ledger, by what the rules look at."""

    def __init__(self, world: World, entries: Sequence[Entry]) -> None:
        self.world = world
        self.asked: dict[str, RequestSent] = {}  # the last writing of each request
        self.answers: defaultdict[str, list[ReplyReceived]] = defaultdict(list)
        self.cuts: dict[str, ConnectionLost] = {}
        self.left: dict[str, ClientDisconnected] = {}
        self.attempts: defaultdict[str, list[AttemptReceived]] = defaultdict(list)
        self.booted: defaultdict[str, list[BackendStarted]] = defaultdict(list)
        self.killed: defaultdict[str, list[int]] = defaultdict(list)
        self.halts: defaultdict[str, list[tuple[int, float]]] = defaultdict(list)  # from when until when
        self.entries = sorted(entries, key=lambda entry: entry.at)
        for entry in self.entries:
            match entry:
                case RequestSent():
                    self.asked[entry.request] = entry
                    self.cuts.pop(entry.request, None)
                case ReplyReceived():
                    self.answers[entry.request].append(entry)
                case ConnectionLost():
                    self.cuts[entry.request] = entry
                case ClientDisconnected():
                    self.left.setdefault(entry.request, entry)
                case AttemptReceived():
                    self.attempts[entry.request].append(entry)
                case BackendStarted():
                    self.booted[entry.backend].append(entry)
                case GatewayKilled():
                    self.killed[entry.gateway].append(entry.at)
                case GatewayPaused():
                    self.halts[entry.gateway].append((entry.at, math.inf))
                case GatewayResumed() if self.halts[entry.gateway]:
                    since, _ = self.halts[entry.gateway].pop()
                    self.halts[entry.gateway].append((since, entry.at))

    def cls(self, request: str) -> ClassRule:
        return self.world.classes[self.asked[request].cls]

    def where(self, backend: str, at: int) -> BackendStarted | None:
        """The backend as it was then."""
        return next((b for b in reversed(self.booted.get(backend, [])) if b.at <= at), None)

    def excused(self, asked: RequestSent, until: int) -> bool:
        """Whether the request's gateway was killed while it may have held it."""
        since = asked.at - self.world.tolerance
        times = self.killed.get(asked.gateway, [])
        at = bisect_left(times, since)
        return at < len(times) and times[at] <= until

    def due(self, asked: RequestSent) -> float:
        """When the final answer has to be there: a halt that began before delays it by what it lasts."""
        due = float(asked.at + asked.wait + self.world.tolerance)
        for since, until in self.halts.get(asked.gateway, []):
            if until > asked.at and since <= due:
                due += until - max(since, asked.at)
        return due

    def firsts(self) -> list[tuple[AttemptReceived, RequestSent]]:
        """Each request's first attempt, in the order in which they came."""
        made = [
            (min(a, key=lambda each: each.at), self.asked[r])
            for r, a in self.attempts.items()
            if r in self.asked
        ]
        return sorted(made, key=lambda pair: pair[0].at)


def answers(case: Case) -> Iterator[Violation]:
    """Rule 1: exactly one final answer, in time, of what a backend made; after it nothing more is sent."""
    slack = case.world.tolerance
    for request, asked in case.asked.items():
        due, got = case.due(asked), case.answers.get(request, [])
        if not got:
            if request in case.cuts:
                cut, crossed = case.cuts[request].at, case.cuts[request].unreached
                # Closed between requests, as a gateway may; read it was not, or it would have been sent on.
                if crossed and request not in case.attempts:
                    continue
                if not case.excused(asked, cut + slack):
                    yield Violation(cut, "answers", f"{request}: {asked.gateway} ended the connection")
            elif request not in case.left:
                if math.isfinite(due) and not case.excused(asked, int(due)):
                    yield Violation(int(due), "answers", f"{request}: no answer from {asked.gateway}")
            elif case.left[request].at > due and not case.excused(asked, int(due)):
                yield Violation(
                    int(due), "answers", f"{request}: no answer from {asked.gateway} in time", True
                )
            continue
        if len(got) > 1:
            yield Violation(got[1].at, "answers", f"{request}: {len(got)} final answers")
        if got[0].at > due:
            late = (got[0].at - due) / 1e6
            yield Violation(got[0].at, "answers", f"{request}: answered {late:.0f} ms too late", True)
        made = {attempt.value for attempt in case.attempts.get(request, []) if attempt.value}
        if got[0].kind == "served" and got[0].value not in made:
            yield Violation(got[0].at, "answers", f"{request}: served what no backend made for it")
        for attempt in case.attempts.get(request, []):
            if attempt.at > got[0].at + slack:
                yield Violation(attempt.at, "answers", f"{request}: sent after its final answer", True)
    for request, attempts in case.attempts.items():
        if request not in case.asked:
            yield Violation(attempts[0].at, "answers", f"{request}: sent, though no client asked for it")
    for entry in case.entries:
        if isinstance(entry, UnexpectedBytes):
            yield Violation(entry.at, "answers", f"{entry.gateway} answered where nothing was asked")
        elif isinstance(entry, MalformedRequest):
            yield Violation(entry.at, "answers", f"{entry.gateway} sent {entry.backend} {entry.text!r:.60}")


def effects(case: Case) -> Iterator[Violation]:
    """Rule 2: another attempt, or a refusal, only as the class allows once one may have run."""
    for request, attempts in case.attempts.items():
        if request not in case.asked:
            continue
        rule, ran = case.cls(request), [a for a in attempts if not a.turned_away]
        for later in ran[1:]:
            if rule.repeat == "unsafe":
                yield Violation(later.at, "effects", f"{request}: unsafe, run at {ran[0].backend} and again")
            elif rule.repeat == "keyed":
                yield from _keyed_again(case, rule, ran[0], later)
        repeatable = rule.repeat == "safe" or (rule.repeat == "keyed" and rule.group == "all")
        refused = [a for a in case.answers.get(request, []) if a.kind == "refused"]
        if ran and refused and not repeatable and refused[0].at > ran[0].at:
            yield Violation(refused[0].at, "effects", f"{request}: refused, though it may have run")
    families: defaultdict[str, list[AttemptReceived]] = defaultdict(list)
    for request, attempts in case.attempts.items():
        if request in case.asked and case.cls(request).repeat == "unsafe":
            families[case.asked[request].origin] += [a for a in attempts if not a.turned_away]
    for origin, ran in families.items():
        if len({a.request for a in ran}) > 1:
            at = max(a.at for a in ran)
            yield Violation(at, "effects", f"{origin}: unsafe, run in {len(ran)} tries of its client")


def _keyed_again(
    case: Case, rule: ClassRule, first: AttemptReceived, later: AttemptReceived
) -> Iterator[Violation]:
    if later.at - first.at > rule.window + case.world.tolerance:
        yield Violation(later.at, "effects", f"{later.request}: keyed, sent after its window", True)
    a, b = case.where(first.backend, first.at), case.where(later.backend, later.at)
    same = (
        a is not None
        and b is not None
        and (rule.group == "all" or (a.zone == b.zone if rule.group == "zone" else a.cell == b.cell))
    )
    if not same:
        text = f"{later.request}: keyed, run at {first.backend} and, outside its group, at {later.backend}"
        yield Violation(later.at, "effects", text)


def drains(case: Case) -> Iterator[Violation]:
    """Rule 3: nothing new to a backend later than the grace after this gateway was told."""
    told: dict[tuple[str, str], int] = {}
    limit = case.world.grace + case.world.tolerance
    for entry in case.entries:
        match entry:
            case EndpointAnnounced(gateway=gateway, backend=backend, ready=ready):
                if ready:
                    told.pop((gateway, backend), None)
                else:
                    told.setdefault((gateway, backend), entry.at)
            case GatewayKilled(gateway=gateway) | GatewayExited(gateway=gateway):
                for pair in [pair for pair in told if pair[0] == gateway]:
                    del told[pair]  # the next one knows nothing
            case AttemptReceived(gateway=gateway, backend=backend, began=began):
                since = told.get((gateway, backend))
                if since is not None and began - since > limit:
                    late = (began - since) // 1_000_000
                    text = f"{entry.request}: {gateway} began at {backend} {late} ms after its drain was told"
                    yield Violation(began, "drains", text, True)


def cold(case: Case) -> Iterator[Violation]:
    """Rule 4: the work that all gateways together send a cold backend within any window stays under the
    multiple of what it can do in that window."""
    work: defaultdict[str, list[AttemptReceived]] = defaultdict(list)
    for attempts in case.attempts.values():
        for attempt in attempts:
            work[attempt.backend].append(attempt)
    span, multiple = case.world.fall_window, case.world.fall_multiple
    for backend, starts in case.booted.items():
        for number, start in enumerate(starts):
            if start.start >= 1.0:
                continue
            end = starts[number + 1].at if number + 1 < len(starts) else start.at + start.warm
            end = min(end, start.at + start.warm)
            sent = sorted((a for a in work.get(backend, []) if start.at <= a.at < end), key=lambda a: a.at)
            for last in range(len(sent)):
                since = sent[last].at - span
                amount = sum(a.work for a in sent[: last + 1] if a.at > since)
                able = _able(start, sent[last].at, span)
                if amount > multiple * able:
                    text = f"{backend}: cold, sent {amount / able:.1f} times what it can do"
                    yield Violation(sent[last].at, "cold", text, True)
                    break
    for entry in case.entries:
        if isinstance(entry, BackendCrashed):
            yield Violation(entry.at, "cold", f"{entry.backend} fell over")


def _able(start: BackendStarted, until: int, span: int) -> float:
    """Core-nanoseconds that a backend can do in the window that ends then, by the capacity at its end."""
    part = start.start + (1.0 - start.start) * min(1.0, (until - start.at) / start.warm)
    return start.cores * part * span


class Store:
    """A store that starts full, fills at a rate and never holds more than it started with."""

    def __init__(self, rate: float, most: float, now: int) -> None:
        self.rate = rate
        self.most = most
        self.level = most
        self.at = now

    def fill(self, now: int) -> float:
        self.level = min(self.most, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        return self.level


def _under_ceilings(case: Case) -> Iterator[tuple[AttemptReceived, RequestSent, float, float]]:
    """What each request that was sent on left in its customer's store, in units, and the slack below
    nothing."""
    stores: dict[int, Store] = {}
    for attempt, asked in case.firsts():
        plan: PlanRule = case.world.plans[asked.plan]
        if not plan.ceiling_rate:
            continue
        store = stores.setdefault(asked.customer, Store(plan.ceiling_rate, plan.ceiling_burst, attempt.at))
        store.fill(attempt.at)
        store.level -= asked.units
        slack = plan.ceiling_slack + plan.ceiling_rate * case.world.ceiling_tolerance / SECOND
        yield attempt, asked, store.level, slack


def ceilings(case: Case) -> Iterator[Violation]:
    """Rule 5: no customer's store falls below nothing by more than the slack."""
    over: set[int] = set()
    for attempt, asked, level, slack in _under_ceilings(case):
        if level < -slack - ROUNDING and asked.customer not in over:
            over.add(asked.customer)
            text = f"customer {asked.customer}: {-level:.1f} units over the ceiling, slack {slack:.1f}"
            yield Violation(attempt.at, "ceilings", text, True)


def over_ceilings(case: Case) -> float:
    """How far any customer's store fell below nothing, at most, as a share of its slack."""
    left = _under_ceilings(case)
    return max((max(0.0, -level) / slack for _, _, level, slack in left if slack), default=0.0)


class Use:
    """Quota use over all gateways: what was sent on beyond it, and what was refused with room."""

    def __init__(self, case: Case) -> None:
        self.units = 0.0
        self.beyond = 0.0
        self.with_room = 0
        self.refused_at: list[tuple[int, bool]] = []  # when each refusal was given, and whether with room
        self.sent: defaultdict[int, float] = defaultdict(float)  # units, by customer
        self.over: defaultdict[int, float] = defaultdict(float)  # of these, beyond the quota
        refused = [
            (a.at, case.asked[r])
            for r, each in case.answers.items()
            for a in each[:1]
            if a.kind == "refused" and r in case.asked
        ]
        happenings = [(first.at, asked, True) for first, asked in case.firsts()]
        happenings += [(at, asked, False) for at, asked in refused if asked.request not in case.attempts]
        stores: dict[int, Store] = {}
        for at, asked, sent in sorted(happenings, key=lambda each: each[0]):
            plan = case.world.plans[asked.plan]
            if not plan.rate:
                continue
            store = stores.setdefault(asked.customer, Store(plan.rate, plan.burst, at))
            level = store.fill(at)
            if not sent:
                self.with_room += level >= plan.burst / 2
                self.refused_at.append((at, level >= plan.burst / 2))
                continue
            self.units += asked.units
            self.sent[asked.customer] += asked.units
            if level >= asked.units:
                store.level -= asked.units
            else:
                self.beyond += asked.units
                self.over[asked.customer] += asked.units


def crashes(case: Case) -> Iterator[Violation]:
    """A gateway that ends by itself, or with a status other than 0 after SIGTERM."""
    asked_to: set[str] = set()
    for entry in case.entries:
        match entry:
            case GatewayStopping(gateway=gateway) | GatewayKilled(gateway=gateway):
                asked_to.add(gateway)
            case GatewayStarted(gateway=gateway):
                asked_to.discard(gateway)
            case GatewayExited(gateway=gateway, status=status):
                if gateway not in asked_to:
                    yield Violation(entry.at, "crash", f"{gateway} ended by itself, status {status}")
                elif status not in (0, -9):
                    yield Violation(entry.at, "crash", f"{gateway} ended with status {status}")


def judge(world: World, entries: Sequence[Entry]) -> Verdict:
    """The verdict on one run."""
    case = Case(world, entries)
    found = [each for rule in (answers, effects, drains, cold, ceilings, crashes) for each in rule(case)]
    use = Use(case)
    lag = max((entry.late for entry in case.entries if isinstance(entry, HarnessLagged)), default=0)
    kinds = [each[0].kind for each in case.answers.values() if each]
    figures = Figures(
        tries=len(case.asked),
        served=kinds.count("served"),
        refused=kinds.count("refused"),
        failed=kinds.count("failed"),
        unanswered=len(case.asked) - len(kinds),
        attempts=sum(len(each) for each in case.attempts.values()),
        units=use.units,
        beyond=use.beyond,
        refused_with_room=use.with_room,
        lag=lag,
    )
    if figures.beyond_share > world.beyond_most:
        text = f"{figures.beyond_share:.1%} of the units sent on lie beyond quotas"
        found.append(Violation(case.entries[-1].at, "quotas", text, True))
    lagged = lag > world.tolerance
    certain = [each for each in found if not each.timed]
    state: State = "void" if lagged and not certain else "broken" if found else "kept"
    return Verdict(state, tuple(sorted(found)), figures)
