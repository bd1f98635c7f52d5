"""Every decision of a gateway: which customers' requests go on, to which backend, and which are refused.

Read `interface.py` first, for types, events and actions. The mechanism is a QoS broker's: a table of
commitments, a closed queuing model and seven cases that grant each customer a cap on requests in flight.
`docs/design.md` says what was kept of the paper, what was changed and when each exception acts.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from math import ceil

from .fleet import Filter, Fleet
from .interface import (
    NEVER_RAN, Action, AddToCounter, Arrival, AttemptEnded, ClientLeft, Counted, Event, Fail, Group, ListKind,
    LogLine, Outcome, PeerMessage, Refuse, Repeat, Send, SetTimer, Settings, Tell, TimerFired, Topology,
    Watch,
)
from .mail import TOTALS, Draw, Kind, pack_draw, pack_totals, unpack_draw, unpack_totals
from .state import LONG, MEMORY, SECOND, Account, Mean, Open

Goal = Callable[[int], bool]
Word = tuple[int, bool | None, list[Action]]  # number of the ask answered, the answer, what to send

# Tuned values: unit and reason behind each; times are chosen against aims of the order of a second.
TICK = SECOND // 10  # the module's own beat: refits the model, tells peers; a tenth of usual aims
EVALUATE_EVERY = 2 * SECOND  # a commitment's cap is looked at anew; long enough for a fit, short for a burst
IDLE = 10 * SECOND  # a commitment without requests ends; outlasts the lulls of a steady customer
FORGET = 120 * SECOND  # an idle customer's bucket is dropped, long since full: memory must not grow for ever
FORGET_ONCE = 20 * SECOND  # the same for one that hardly came: most such never come again
ONCE = 8  # quarter units sent on up to which a customer hardly came
OVERTAKEN = 50  # tenths of a second by which word of a peer may be overtaken by newer word on its way
SAMPLES = 8.0  # answers that a class's recent latency rests on; where few come, memory is longer for it
DELAY_GROWTH = 0.01  # part a second by which a shortest latency is forgotten upwards
RISE = 0.15  # part of the room between delay and aim from which a wait is a rise; below it is noise
TARGET = 0.4  # part of the room between delay and aim that the mean wait may take: latencies vary
CHEAPEST = 0.7  # part of the model's in-flight limit that the least worth may fill under pressure
FRESH = 1 * SECOND  # word of others' use counts in full until this old ...
SILENT = 3 * SECOND  # ... and not at all from here on: their even slices are theirs again
SILENCE = 0.05  # part of the attempts unanswered of late from which an attempt gets a time-out
RETRY_SHARE = 0.1  # further attempts for each first one: keeps a failing fleet from being doubled
RETRY_BURST = 10.0  # further attempts that may be saved up
LOST = 4.0  # mean latencies by which an open attempt is overtaken before it counts as lost
PACE_UP, PACE_DOWN, PACE_LEAST = 0.01, 0.7, 0.05  # chance of a call to the counter: steps for an answer, none
UNTOLD = 0.4  # chance that a place is free where even slices of a limit on open attempts are under one
METER_SPAN = 0.5  # of a quota, around all used: the meter's word goes from surely room to surely none
ADVICE = SECOND // 5  # wait told to a refused client: longer left room unused, and floods do not heed it
COUNTER_LIFE = 60 * SECOND  # a counter name lives this long, the most that may be asked; then names change
EVERY_TICK, RETRY_LIST = 1, 2  # timer tokens
LAG = 0.125  # part of a burst by which a counter's number may lag behind a full store before it is put right
OPEN = 10_000.0  # one attempt out, in a counter's number: above all units that a name's life can hold
HOLD = TICK // 2  # wait for a home's answer: over a round trip between gateways, far below an aim
POOLED = 0.75  # part of a ceiling that the home hands out; the rest is in even slices for its silence


def mean_values(demand: float, delay: float, most: int) -> list[float]:
    """Mean value analysis of one delay and one queue: response times for 0..most in flight."""
    times, queued = [delay + demand], 0.0
    for n in range(1, most + 1):
        wait = demand * (1.0 + queued)
        times.append(delay + wait)
        queued = n * wait / (delay + wait)
    return times


class QueueModel:
    """Delay plus one shared queue; the demand is fitted to recent latency at the recent number in flight."""

    def __init__(self, settings: Settings) -> None:
        self.aims = [float(c.aim) for c in settings.classes]
        self.latency = [Mean(MEMORY) for _ in settings.classes]
        self.shortest = [0.0] * len(self.aims)
        self.in_flight, self.risen = Mean(MEMORY), False
        self.delay, self.mean, self.times = 0.0, 0.0, [0.0]
        self.limit: int | None = None

    def fit(self, now: int, out: int, outstanding: list[tuple[int, int]]) -> None:
        """Refit; outstanding attempts older than the mean count as answers that late, to see jams in time."""
        self.in_flight.add(now, out)
        total = weight = delay = room = 0.0
        for cls, latency in enumerate(self.latency):
            latency.memory = int(min(LONG, max(MEMORY, SAMPLES * SECOND / max(1e-3, latency.rate(now)))))
            if latency.weight < 0.5:
                continue
            ages = [age for c, age in outstanding if c == cls and age > latency.value]
            w = latency.weight + len(ages)
            mean = (latency.total + sum(ages)) / w
            if latency.weight >= 4.0:
                grown = self.shortest[cls] * (1.0 + DELAY_GROWTH * TICK / SECOND)
                self.shortest[cls] = min(grown, latency.value) if grown else latency.value
            total, weight, delay = total + mean * w, weight + w, delay + (self.shortest[cls] or mean) * w
            room += w * self.room(cls)
        self.risen, self.limit, n = False, None, ceil(self.in_flight.value)
        if weight:
            self.mean, self.delay = total / weight, min(delay / weight, total / weight)
            self.risen = self.mean - self.delay > RISE * room / weight and n > 1
        if self.risen:
            self._fit_demand(n)

    def _fit_demand(self, n: int) -> None:
        low, high = 0.0, self.mean
        for _ in range(20):
            demand = (low + high) / 2
            over = mean_values(demand, self.delay, n)[n] > self.mean
            low, high = (low, demand) if over else (demand, high)
        self.times = mean_values(high, self.delay, 4 * n + 20)
        room = TARGET * min(self.room(cls) for cls in range(len(self.aims)))
        self.limit = max(2, sum(t - self.delay <= room for t in self.times) - 1)

    def room(self, cls: int) -> float:
        return max(self.aims[cls] - self.shortest[cls], self.aims[cls] / 4)

    def response(self, n: float) -> float:
        return self.times[min(max(0, round(n)), len(self.times) - 1)]


def seven_cases(wanted: int, response: Goal, throughput: Goal, others: Goal) -> int:
    """The paper's section 5: concurrency offered, 0 to reject; each goal tells whether it holds at one."""

    def first(levels: range, *goals: Goal) -> int:
        return next((n for n in levels if all(goal(n) for goal in goals)), 0)

    fewer, more = range(wanted - 1, 0, -1), range(wanted + 1, 2 * wanted + 1)

    r, x, w = response(wanted), throughput(wanted), others(wanted)
    if w and r and x:
        return wanted  # case 1
    if w and x:  # case 2: too slow; fewer, or else the fewest that keep the throughput
        return first(fewer, response, throughput) or first(fewer[::-1], throughput) or wanted
    if w and r:  # case 3: too little throughput; more, or else as many as stay fast enough
        return first(more, response, throughput, others) or first(more[::-1], response, others) or wanted
    if w:  # case 4: both
        return first(fewer, response) or first(more, throughput, others) or wanted
    both = first(fewer, response, throughput, others) or first(fewer, others, throughput)  # cases 5 to 7
    return (x and both) or first(fewer, others)


class Quota:
    """The companion bucket, limits on open attempts and ceilings, over all gateways: where word of all peers
    is fresh each keeps the store; else one home for each customer does, or the counter."""

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        self.s, self.rng, self.me, self.born = settings, rng, seed & 0xFFFF, now
        self.accounts: dict[int, Account] = {}
        self.peers: dict[int, tuple[int, int, int]] = {}  # incarnation, when last heard, the age told then
        self.every = 2 * (settings.gateways - 1) * SECOND / max(1.0, settings.messages_per_s)
        self.gossip = settings.may_message and self.every <= FRESH // 4
        self.homes = settings.may_message and not self.gossip
        self.counter = settings.counter and not settings.may_message and settings.gateways > 1
        self.granted = [Mean(LONG) for _ in settings.plans]
        self.calls: dict[int, deque[tuple[int, float, bool, float]]] = {}  # ask, amount, fix, owed
        self.tag, self.pace, self.restarted = 0, 1.0, False

    def account(self, now: int, customer: int, index: int, spread: int = 0, first: int = 0) -> Account:
        """The customer's account; `spread` is 0 when a peer asks and no request of it came here."""
        account, plan, n = self.accounts.get(customer), self.s.plans[index], self.s.gateways
        if account is None:
            # A restarted home knows no store: half of it errs as little either way.
            level = plan.burst * (0.5 if self.restarted and self.homes else 1.0)
            times = now, now, -EVALUATE_EVERY, -SILENT, -SILENT
            means = Mean(MEMORY), Mean(MEMORY), Mean(3 * LONG), Mean(LONG)
            account = Account(customer, plan, index, customer % n, level, *times, *means)
            account.ceiling = plan.ceiling_slack * POOLED * (self.homes and self.at_home(account))
            self.accounts[customer] = account
        if spread >= 1 and not account.slices:
            self._slice(account, min(int(spread), n), int(first))
        return account

    def _slice(self, account: Account, n: int, first: int) -> None:
        """Even slices, started so that all together have no more than the whole, on average. A ceiling's
        starts with its part of the slack alone: a restarted gateway cannot know that it is one."""
        named = [(first + i) % self.s.gateways for i in range(n)] if self.gossip else []
        account.peers = tuple(p for p in named if p != self.s.position)
        account.slices = n + ((self.s.position - first) % self.s.gateways >= n)
        plan, even = account.plan, account.plan.burst / account.slices
        account.level = even if self.gossip and self.restarted else account.level
        chance = even / max(self.s.largest, 1e-9)
        account.part = even if chance >= 1.0 else self.s.largest * (self.rng.random() < chance)
        account.ceiling += plan.ceiling_slack * (1.0 - POOLED if self.homes else 1.0) / account.slices

    def share(self, now: int, account: Account) -> float:
        """Part of the quota that counts as here: the whole while word of others' use is fresh, as that is
        taken off when told. The slice of whoever is silent ages back to him."""
        slices = max(1, account.slices)
        if self.at_home(account) and not self.gossip:
            return 1.0
        told = [self.peers.get(p, (0, self.born - FRESH, 0))[1] for p in account.peers] or [account.told_at]
        fresh = sum(min(1.0, max(0.0, (SILENT - now + at) / (SILENT - FRESH))) for at in told) / len(told)
        return (1.0 + fresh * (slices - 1)) / slices

    def at_home(self, account: Account) -> bool:
        return account.home == self.s.position if self.homes else self.gossip or account.slices == 1

    def refill(self, now: int, account: Account) -> None:
        dt, account.at = (now - account.at) / SECOND, now
        plan, share = account.plan, self.share(now, account) if self.gossip else 1.0
        even = 1.0 / account.slices if account.slices else 0.0
        if dt:
            account.level = min(plan.burst * share, account.level + plan.rate * share * dt)
        account.part = min(max(plan.burst * even, self.s.largest), account.part + plan.rate * even * dt)
        even = (1.0 - POOLED) * even + POOLED * self.at_home(account) if self.homes else even
        account.ceiling = min(plan.ceiling_burst * even, account.ceiling + plan.ceiling_rate * even * dt)

    def may(self, now: int, account: Account, units: float) -> bool:
        """The ceiling's slice, and open attempts: others' count while word is new, else an even slice."""
        limit, told = account.plan.open_limit, now - account.open_at < FRESH // 4
        most = ceil(limit / (1 if told else max(1, account.slices)))
        few = not limit or account.open + told * account.others < most
        return few and (not account.plan.ceiling_rate or account.ceiling >= units)

    def book(self, account: Account, units: float, pays: bool) -> bool:
        within = not account.plan.rate or account.level >= units
        if not (within or pays) or (account.plan.ceiling_rate and account.ceiling < units):
            return False
        account.ceiling -= units
        if within and account.plan.rate:
            account.level, account.tells = account.level - units, 3
            account.sent += round(4 * units)
        return True

    def alone(self, now: int, account: Account, units: float) -> bool:
        """Without the store's word: by the even slice, else by chance, as home, counter or meter lately said
        of this customer, or else of its plan. That ages away, and even slices are left."""
        usual, even = self.granted[account.index].blend(now, 0.0, 0.1), account.part >= units
        # Seen here more than its even slice, beyond the one request that says nothing, a customer is busy.
        seen, one = account.seen.rate(now) * account.seen.value, units * SECOND / LONG
        fits = min(1.0, (account.plan.rate / max(1, account.slices) + 2 * one) / (seen + one))
        fits *= UNTOLD if self.place(account) else 1.0
        lucky = even or self.rng.random() < account.granted.blend(now, usual, 0.5) * fits
        if not lucky or not self.may(now, account, units):
            return False
        account.part -= units * even
        account.ceiling -= units
        return True

    def answered(self, now: int, account: Account, level: float, granted: bool) -> None:
        account.level, account.told_at = level, now
        account.granted.add(now, float(granted))
        self.granted[account.index].add(now, float(granted))

    def ask(self, now: int, account: Account, units: float, kind: Kind) -> tuple[int, Action]:
        self.tag = self.tag + 1 & 0xFFFFFFFF
        if self.homes:
            return self.tag, self._tell(now, account.home, account, kind, units, self.tag)
        # While not all are counted, each that is stands for those that are not.
        amount = units / self.pace + self.place(account)
        return self.tag, self.call(now, account, amount, self.tag * (kind == Kind.ASK))

    def _tell(self, now: int, to: int, account: Account, kind: Kind, units: float, tag: int) -> Action:
        age = (now - self.born) * 10 // SECOND
        return Tell(to, pack_draw(Draw(kind, account.customer, account.index, units, tag, age)))

    def drawn(self, now: int, event: PeerMessage) -> Word:
        """Word with a home, either way: the number of the ask it answers, the answer, what to send."""
        if (draw := unpack_draw(event.data)) is None or draw.plan >= len(self.s.plans):
            return 0, None, []
        self._note_age(now, draw.age)
        if draw.kind in (Kind.GRANT, Kind.DENY):
            if mine := self.accounts.get(draw.customer):
                self.refill(now, mine)
                self.answered(now, mine, draw.units, draw.kind == Kind.GRANT)
            return draw.tag, draw.kind == Kind.GRANT, []
        account = self.account(now, draw.customer, draw.plan)
        if not self.at_home(account):
            return 0, None, []
        self.refill(now, account)
        account.last = now
        pays = account.plan.over_worth > account.plan.over_cost
        kind = Kind.GRANT if self.book(account, draw.units, pays) else Kind.DENY
        word = self._tell(now, event.sender, account, kind, account.level, draw.tag)
        return 0, None, [word] * (draw.kind == Kind.ASK)

    def call(self, now: int, account: Account, amount: float, tag: int = 0, fix: bool = False) -> Action:
        name = account.customer << 16 | (now // COUNTER_LIFE) & 0xFFFF
        self.calls.setdefault(name, deque()).append((tag, amount, fix, account.owed))
        amount, account.owed = amount + account.owed, 0.0
        return AddToCounter(name, COUNTER_LIFE, amount)

    def place(self, account: Account) -> float:
        """What an attempt out adds to the counter's number where a plan limits how many may be."""
        return OPEN * (self.counter and account.plan.open_limit > 0)

    def counted(self, now: int, event: Counted) -> Word:
        """The counter's answer. Its number stands for a store: what was taken since its name began, and the
        attempts out. When the store was full for a while (the number lags behind the fill) it is put right;
        who finds that another did so first takes it back."""
        queue, account = self.calls.get(event.name), self.accounts.get(event.name >> 16)
        if not queue or account is None:
            return 0, None, []
        tag, amount, fix, owed = queue.popleft()
        if event.outcome is not Outcome.OK:
            # A crowded counter answers nobody: fewer calls from here, and slowly more once it answers.
            self.pace = max(PACE_LEAST, self.pace * PACE_DOWN)
            if event.outcome is Outcome.TIMEOUT:
                account.owed -= self.place(account) * (tag > 0)  # surely added late, and nobody holds it
            else:
                account.owed += owed + amount * (not tag and not fix)  # known not to have been added
            return tag, None, []
        self.pace = min(1.0, self.pace + PACE_UP)
        plan, place, before = account.plan, self.place(account), event.total - amount
        out = (before + OPEN / 2) // OPEN if place else 0.0
        surplus = plan.rate * ((now - event.elapsed) % COUNTER_LIFE) / SECOND - (before - out * OPEN)
        level, units = min(plan.burst, plan.burst + surplus), amount - place
        self.refill(now, account)
        if fix or amount <= 0:
            return 0, None, [self.call(now, account, -amount)] if fix and surplus < amount / 2 else []
        room = not plan.rate or level >= min(units, plan.burst / 2)
        granted, calls = room and (not place or out < plan.open_limit), []
        account.open_at, account.others = now, max(0, int(out) - account.open)
        if not granted and (tag or plan.over_worth > plan.over_cost):
            calls.append(self.call(now, account, -amount))
        elif surplus * self.pace > plan.burst * LAG:
            calls.append(self.call(now, account, surplus, 0, True))
        self.answered(now, account, level - units * granted, granted)
        return tag, granted, calls

    def message(self, now: int) -> bytes:
        """Running totals, so that a lost message costs nothing once the next one comes."""
        telling = [a for a in self.accounts.values() if a.tells and a.peers]
        telling.sort(key=lambda a: (-a.tells, a.customer))
        for account in telling[:TOTALS]:
            account.tells -= 1
        totals = ((a.customer, a.sent, a.open) for a in telling[:TOTALS])
        return pack_totals(self.me, (now - self.born) * 10 // SECOND, totals)

    def _note_age(self, now: int, age: int) -> bool:
        """An older peer shows that this gateway came back: the stores are not full as on a first day."""
        older = age * SECOND // 10 > now - self.born + SECOND
        if older and not self.restarted:
            self.restarted = True
            for mine in self.accounts.values():
                mine.level = min(mine.level, mine.plan.burst / (2 if self.homes else max(1, mine.slices)))
        return older

    def heard(self, now: int, event: PeerMessage) -> None:
        if (word := unpack_totals(event.data)) is None:
            return
        last_word = self.peers.get(event.sender, (-1, 0, 0))
        known = last_word[0] == word[0]
        if known and 0 < last_word[2] - word[1] <= OVERTAKEN:
            return  # newer word came before it: its totals are older than those that are known
        self.peers[event.sender] = word[0], now, word[1]
        if not known:  # restarted: it counts from nothing, for each customer whenever first told
            for each in self.accounts.values():
                each.heard.pop(event.sender, None)
        older = self._note_age(now, word[1])
        for customer, sent, _ in word[2]:
            account = self.accounts.get(customer)
            if account is None:
                continue
            last = account.heard.get(event.sender) if known else None
            self.refill(now, account)
            used = min(sent / 4, account.plan.burst) * (not older)
            grown = 0x8000 if last is None else (sent - last) & 0xFFFF
            # A total that went back was begun anew, after the peer had forgotten the account.
            used = used if grown >= 0x8000 else grown / 4
            # Below nothing too, or two gateways would both spend the same refill.
            account.level = min(account.level, max(-account.plan.burst, account.level - used))
            account.heard[event.sender] = sent


class Gateway:
    """One gateway's decisions: hand it every event in order and carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.s, self.rng, self.model = settings, random.Random(seed), QueueModel(settings)
        self.quota = Quota(settings, seed, now, self.rng)
        self.fleet = Fleet(settings, self.rng)
        self.open: dict[int, Open] = {}
        self.held: dict[int, Open] = {}  # waiting for a home's or the counter's answer, by the ask's number
        self.active: dict[int, Account] = {}  # the table of commitments
        self.attempts: dict[tuple[int, int], Open] = {}
        self.out, self.lost, self.retries = 0, 0, RETRY_BURST
        self.arrivals: dict[tuple[int, int], Mean] = {}
        self.started = False
        self.told_at, self.swept, self.logged = now, now, now - LONG

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take in one event; the actions take effect at `now`."""
        actions: list[Action] = []
        if not self.started:
            self.started = True
            actions += [SetTimer(TICK, EVERY_TICK), *[Watch(True)] * self.s.ask_discovery]
        match event:
            case Arrival():
                actions += self._arrived(now, event)
            case AttemptEnded():
                actions += self._ended(now, event)
            case Topology():
                self.fleet.learn(now, event)
                if event.kind is ListKind.FAILED:
                    actions.append(SetTimer(SECOND, RETRY_LIST))
            case ClientLeft():
                self.open.pop(event.request, None)
            case TimerFired(token):
                actions += self._tick(now) if token == EVERY_TICK else [Watch(True)]
            case PeerMessage() if self.quota.gossip:
                self.quota.heard(now, event)
            case PeerMessage():
                actions += self._decided(now, *self.quota.drawn(now, event))
            case Counted():
                actions += self._decided(now, *self.quota.counted(now, event))
        return actions

    def _tick(self, now: int) -> list[Action]:
        actions: list[Action] = [SetTimer(TICK, EVERY_TICK), *self._overdue(now)]
        usual = [LOST * latency.value for latency in self.model.latency]
        outstanding = [  # overtaken, others wait in no shared queue: lost answers are no overload
            (r.arrival.cls, now - r.sent_at)
            for r in self.open.values()
            if r.sends and not self.fleet.newest - r.sent_at > usual[r.arrival.cls] > 0.0
        ]
        self.lost = len(self.open) - len(self.held) - len(outstanding)
        self.model.fit(now, self.out - self.lost, outstanding)
        self.fleet.count(now)
        self._evaluate_all(now)
        if self.quota.gossip and now - self.told_at >= self.quota.every - TICK // 2:
            self.told_at = now
            actions.append(Tell(None, self.quota.message(now)))
        pressed = self.model.limit is not None and self.out >= CHEAPEST * self.model.limit
        if pressed and now - self.logged >= LONG:
            self.logged = now
            actions.append(LogLine(f"pressed: in flight {self.out}, limit {self.model.limit}"))
        return actions

    def _evaluate_all(self, now: int) -> None:
        """Evaluate whoever is due, least worth first, so that cuts fall on the cheap before the dear."""
        for account in list(self.active.values()):
            account.in_flight.add(now, account.open)
            if now - account.last > IDLE and not account.open:
                account.cap = 0  # the commitment ends; the bucket stays, as the quota does
                del self.active[account.customer]
        due = [a for a in self.active.values() if now - a.evaluated >= EVALUATE_EVERY]
        for account in sorted(due, key=lambda a: (a.worth, a.customer)):
            self._evaluate(now, account)
        if now - self.swept >= IDLE:
            self.swept, known = now, self.quota.accounts
            self.quota.calls = {name: calls for name, calls in self.quota.calls.items() if calls}
            self.quota.accounts = {c: a for c, a in known.items() if a.open or now - a.last <= self._keep(a)}

    def _keep(self, account: Account) -> int:
        """How long a customer's account outlasts its last request; the store must be full by then."""
        plan = account.plan
        full = 2 * plan.burst / max(plan.rate, 1e-9), plan.ceiling_burst / max(plan.ceiling_rate, 1e-9)
        once = max(FORGET_ONCE, int(SECOND * max(full)))
        return min(FORGET, once) if account.sent <= ONCE and not account.heard else FORGET

    def _wanted(self, now: int, account: Account) -> tuple[int, float]:
        """Nreq and XMIN: quota slice x aim plus a slice of the burst, two at least."""
        part = self.quota.share(now, account) / (account.demand.value or 1.0)
        rate, burst = account.plan.rate * part, account.plan.burst * part
        return max(2, ceil(rate * account.aim / SECOND + burst)), min(rate, account.demand.rate(now))

    def _evaluate(self, now: int, account: Account) -> None:
        account.evaluated, self.active[account.customer] = now, account
        wanted, least = self._wanted(now, account)
        if not self.model.risen:
            account.cap = wanted
            return
        busy = [a for a in self.active.values() if a is not account and a.in_flight.value > 0.05]
        others = sum(a.in_flight.value if a.cap > 1 else min(1.0, a.in_flight.value) for a in busy)
        room = min((a.room for a in busy), default=account.room)
        spans = (a.cap * SECOND / max(self._wanted(now, a)[1], 1e-3) for a in busy if a.cap > 1)
        slowest = min(spans, default=float("inf"))

        def wait(n: int) -> float:
            return self.model.response(others + n) - self.model.delay

        offered = seven_cases(
            max(wanted, ceil(account.in_flight.value)),
            lambda n: wait(n) <= account.room,
            lambda n: n * SECOND >= least * (self.model.delay + wait(n)),
            lambda n: wait(n) <= room and self.model.delay + wait(n) <= slowest,
        )
        account.cap = max(1, offered)

    # The life of a request.

    def _arrived(self, now: int, a: Arrival) -> list[Action]:
        account = self.quota.account(now, a.customer, a.plan, a.spread, a.first)
        account.last, cls = now, self.s.classes[a.cls]
        account.demand.add(now, a.units)
        account.seen.add(now, a.units)
        density = cls.worth * account.plan.price * a.units / max(1.0, self.model.shortest[a.cls])
        account.worth += 0.2 * (density - account.worth)
        self.arrivals.setdefault((a.cls, a.plan), Mean(MEMORY)).add(now, density)
        room = TARGET * self.model.room(a.cls)
        account.room = min(account.room, room) * 1.01 if account.room else room
        account.aim = max(account.aim, cls.aim)
        if not account.cap:
            self._evaluate(now, account)
        self.quota.refill(now, account)
        if account.open >= account.cap or self._over_limit(now, density):
            return [self._refusal(a)]
        return self._within_quota(now, Open(a, account))

    def _within_quota(self, now: int, request: Open) -> list[Action]:
        """Decide by the store kept here, or ask whoever keeps it and hold the request a moment."""
        quota, account, a, plan = self.quota, request.account, request.arrival, request.account.plan
        pays = plan.over_worth > plan.over_cost and not self.model.risen
        # Word this fresh is acted on at once, and the use told afterwards: no wait where gateways are few.
        knows = quota.counter and now - account.told_at < FRESH // 4
        if knows or quota.at_home(account):
            may = pays or quota.may(now, account, a.units)
            if not may or not quota.book(account, a.units, pays):
                return [self._refusal(a)]
            return self._admit(now, request, knows)
        if not (quota.homes or (quota.counter and self.rng.random() < quota.pace)):
            return self._alone(now, request)
        if pays and not plan.ceiling_rate:
            return self._admit(now, request, quota.pace >= 1.0)
        tag, action = quota.ask(now, account, a.units, Kind.ASK)
        if a.valid_until - now < 4 * TICK:
            return [action, *self._alone(now, request)]
        request.asked_at = now
        self.held[tag] = self.open[a.request] = request
        return [action]

    def _alone(self, now: int, request: Open) -> list[Action]:
        may = self.quota.alone(now, request.account, request.arrival.units)
        return self._admit(now, request, False) if may else [self._refusal(request.arrival)]

    def _admit(self, now: int, request: Open, tell: bool) -> list[Action]:
        a = request.arrival
        if (send := self._send(now, request)) is None:
            return [self._refusal(a)]
        self.open[a.request] = request
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        request.placed |= tell
        return [send, self.quota.ask(now, request.account, a.units, Kind.TAKE)[1]] if tell else [send]

    def _decided(self, now: int, tag: int, granted: bool | None, more: list[Action]) -> list[Action]:
        """A held request goes on, or is refused; without an answer this gateway decides alone."""
        request = self.held.pop(tag, None)
        if request is None:
            return more
        request.placed = granted is True
        if self.open.pop(request.arrival.request, None):
            if granted is None:
                more += self._alone(now, request)
            else:
                more += self._admit(now, request, False) if granted else [self._refusal(request.arrival)]
        return more + self._release(now, request)

    def _release(self, now: int, request: Open) -> list[Action]:
        if request.out or not request.placed or not self.quota.place(request.account):
            return []
        request.placed = False
        return [self.quota.call(now, request.account, -OPEN)]

    def _overdue(self, now: int) -> list[Action]:
        overdue = [tag for tag, request in self.held.items() if now - request.asked_at >= HOLD]
        actions = [action for tag in overdue for action in self._decided(now, tag, None, [])]
        # Places still counted though nobody holds them are told again, or customers would be shut out.
        late = [a for a in self.active.values() if a.owed <= -OPEN / 2]
        return actions + [self.quota.call(now, a, 0.0) for a in late if self.rng.random() < self.quota.pace]

    def _over_limit(self, now: int, density: float) -> bool:
        """Under pressure the model's limit on all in flight holds too; the least worth meets it first."""
        limit, out = self.model.limit, self.out - self.lost
        if limit is None or out < CHEAPEST * limit:
            return False
        total = sum(m.rate(now) for m in self.arrivals.values())
        below = sum(m.rate(now) for m in self.arrivals.values() if m.value < density)
        return out >= limit * (CHEAPEST + (1.0 - CHEAPEST) * below / max(total, 1e-9))

    def _refusal(self, a: Arrival) -> Refuse:
        return Refuse(a.request, min(ADVICE, self.s.max_retry_after) * self.s.retry_advice)

    def _send(self, now: int, request: Open) -> Send | None:
        a = request.arrival
        if now >= a.valid_until or request.sends >= self.s.max_attempts:
            return None
        allowed = self._repeat_filter(now, request)
        kind = a.cls, a.plan
        server = self.fleet.choose(now, kind, request.tried, allowed)
        server = server or self.fleet.choose(now, kind, set(), allowed)
        if server is None:
            return None
        self.fleet.sent(now, server)
        request.tried.add(server.entry.id)
        self.attempts[a.request, request.sends] = request
        if not request.may_have_run:
            request.keyed_at, request.keyed_by = now, server.entry
        request.sends, request.out, request.sent_at = request.sends + 1, request.out + 1, now
        request.account.open, self.out = request.account.open + 1, self.out + 1
        return Send(a.request, server.entry.id, self._patience(now, request))

    def _patience(self, now: int, request: Open) -> int:
        """Time-out of an attempt, or 0: guards against lost answers, hung backends, classes left unanswered,
        where some were seen of late and another try is allowed; it would harm where all are slow."""
        a, cls = request.arrival, self.s.classes[request.arrival.cls]
        again = cls.repeat is not Repeat.UNSAFE and request.sends < self.s.max_attempts
        if not again or self.model.risen or self.fleet.silence[a.cls].blend(now, 0.0, 3.0) < SILENCE:
            return 0
        return max(cls.aim // 2, int(3 * self.model.latency[a.cls].value))

    def _repeat_filter(self, now: int, request: Open) -> Filter:
        """Rule 2: where another attempt of a keyed request that may have run may go."""
        cls, first = self.s.classes[request.arrival.cls], request.keyed_by
        if not request.may_have_run or cls.repeat is not Repeat.KEYED or first is None:
            return lambda b: True
        if now - request.keyed_at >= cls.window:
            return lambda b: False
        if cls.group is Group.ZONE:
            return lambda b: b.zone == first.zone
        return lambda b: cls.group is Group.ALL or b.cell == first.cell

    def _ended(self, now: int, event: AttemptEnded) -> list[Action]:
        request = self.attempts.pop((event.request, event.attempt), None)
        if request is None:
            return []
        account, cls = request.account, request.arrival.cls
        request.out, account.open, self.out = request.out - 1, account.open - 1, self.out - 1
        if event.used:
            account.granted.add(now, min(1.0, max(0.0, 0.5 + (1.01 - event.used / 100) / METER_SPAN)))
        if event.outcome is Outcome.OK:
            self.model.latency[cls].add(now, event.elapsed)
            if self.s.settled_after and event.true_units:
                account.level -= event.true_units - request.arrival.units
        usual = max(1.0, self.model.latency[cls].value)
        self.fleet.ended(now, event, (cls, request.arrival.plan), event.elapsed / usual)
        if event.outcome not in NEVER_RAN:
            request.may_have_run = True
        if event.finished:
            self.open.pop(event.request, None)
        again = [] if request.out or event.request not in self.open else self._try_again(now, request)
        return again + self._release(now, request)

    def _try_again(self, now: int, request: Open) -> list[Action]:
        """Another attempt where the class, the time left and the retry budget allow one; else the end."""
        a, cls = request.arrival, self.s.classes[request.arrival.cls]
        repeatable = not request.may_have_run or cls.repeat is not Repeat.UNSAFE
        if repeatable and self.retries >= 1.0 and (send := self._send(now, request)):
            self.retries -= 1.0
            return [send]
        del self.open[a.request]
        harmless = not request.may_have_run or cls.repeat is Repeat.SAFE
        if harmless or (cls.repeat is Repeat.KEYED and cls.group is Group.ALL):
            return [self._refusal(a)]
        return [Fail(a.request)]
