"""Every decision of a gateway: which customers' requests go on, to which backend, and which are refused.

Read `interface.py` first, for types, events and actions. The mechanism is a QoS broker's: a table of
commitments, a closed queuing model (`model.py`) and its seven cases that grant each customer a cap on
requests in flight, beside a companion bucket (`quota.py`) and the choice among backends (`fleet.py`).
`docs/design/decisions.md` says what was kept of the paper, what was changed and when each exception acts.
"""

from __future__ import annotations

import random
from dataclasses import replace
from math import ceil, inf, sqrt

from . import interface as api
from .fleet import Filter, Fleet
from .mail import Kind, is_draw
from .model import TARGET, TICK, QueueModel, seven_cases
from .neighbours import Neighbours
from .quota import FRESH, OPEN, Quota
from .state import LONG, MEMORY, SECOND, Account, Commitment, Mean, Open

# Tuned values: unit and reason behind each; times are chosen against aims of the order of a second.
EVALUATE_EVERY = 2 * SECOND  # a commitment's cap is looked at anew; long enough for a fit, short for a burst
IDLE = 10 * SECOND  # a commitment without requests ends; outlasts the lulls of a steady customer
FORGET = 120 * SECOND  # an idle customer's bucket is dropped, long since full: memory must not grow for ever
FORGET_ONCE = 20 * SECOND  # the same for one that hardly came: most such never come again
ONCE = 8  # quarter units sent on up to which a customer hardly came
CHEAPEST = 0.7  # part of the model's in-flight limit that the least worth may fill under pressure
SILENCE = 0.05  # part of the attempts unanswered of late from which an attempt gets a time-out
RETRY_SHARE = 0.1  # further attempts for each first one: keeps a failing fleet from being doubled
RETRY_BURST = 10.0  # further attempts that may be saved up
FEW = 4  # gateways up to which what one has in flight tells what the fleet has
CHANCE = 2.0  # roots of a limit by which chance seldom takes the number in flight over its mean
LOST = 4.0  # mean latencies by which an open attempt is overtaken before it counts as lost
METER_SPAN = 0.5  # of a quota, around all used: the meter's word goes from surely room to surely none
ADVICE = SECOND // 5  # wait told to a refused client: longer left room unused, and floods do not heed it
EVERY_TICK, RETRY_LIST = 1, 2  # timer tokens
HOLD = TICK // 2  # wait for a home's answer: over a round trip between gateways, far below an aim


class Broker:
    """One gateway's decisions: hand it every event in order and carry out the actions it returns. `quota`:
    where several brokers, each for a service of its own, keep the same customers' quotas."""

    def __init__(self, settings: api.Settings, seed: int, now: int, quota: Quota | None = None) -> None:
        self.s, self.rng, self.model = settings, random.Random(seed), QueueModel(settings)
        self.quota = quota or Quota(settings, seed, now, self.rng)
        self.fleet = Fleet(settings, self.rng)
        self.open: dict[int, Open] = {}
        self.held: dict[int, Open] = {}  # waiting for a home's or the counter's answer, by the ask's number
        self.commitments: dict[int, Commitment] = {}  # by customer, for as long as its account
        self.active: dict[int, Commitment] = {}  # those that have a cap
        self.neighbours = Neighbours()  # as of the last beat under pressure
        self.attempts: dict[tuple[int, int], Open] = {}
        self.out, self.lost, self.retries = 0, 0, RETRY_BURST
        self.arrivals: dict[tuple[int, int], Mean] = {}
        self.started, self.retired = False, False
        self.swept, self.logged = now, now - LONG

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take in one event; the actions take effect at `now`."""
        actions: list[api.Action] = []
        if not self.started:
            self.started = True
            actions += [api.SetTimer(TICK, EVERY_TICK), *[api.Watch(True)] * self.s.ask_discovery]
        match event:
            case api.Arrival():
                actions += self._arrived(now, event)
            case api.AttemptEnded():
                actions += self._ended(now, event)
            case api.Begun():
                self._began(event)
            case api.Topology():
                self.fleet.learn(now, event)
                if event.kind is api.ListKind.FAILED:
                    actions.append(api.SetTimer(SECOND, RETRY_LIST))
            case api.PlansChanged():
                self.quota.replan(now, event)
                actions.append(self.replan(now))
            case api.ClassesChanged():
                actions.append(self._reclass(event))
            case api.FleetChanged():
                self.quota.joined(now, event)
                self.joined(event)
            case api.RightsChanged():
                self.quota.entitle(now, event)
                actions += self.entitled(now, event.customer)
            case api.ClientLeft():
                self.open.pop(event.request, None)
            case api.TimerFired(token):
                actions += self._tick(now) if token == EVERY_TICK else [api.Watch(True)]
            case api.PeerMessage() if self.quota.gossip and not is_draw(event.data):
                self.quota.heard(now, event)
            case api.PeerMessage():
                actions += self.decided(now, *self.quota.drawn(now, event))
            case api.Counted():
                actions += self.decided(now, *self.quota.counted(now, event))
        return actions

    def _tick(self, now: int) -> list[api.Action]:
        actions: list[api.Action] = [api.SetTimer(TICK, EVERY_TICK), *self._overdue(now)]
        usual = [LOST * latency.value for latency in self.model.latency]
        outstanding = [  # overtaken, others wait in no shared queue: lost answers are no overload
            (r.arrival.cls, now - r.sent_at)
            for r in self.open.values()
            if r.sends and not r.began and not self.fleet.newest - r.sent_at > usual[r.arrival.cls] > 0.0
        ]
        self.lost = len(self.open) - len(self.held) - len(outstanding)
        self.model.fit(now, self.out - self.lost, outstanding)
        self.fleet.count(now)
        self._evaluate_all(now)
        quota = self.quota
        if quota.gossip and not self.retired and now - quota.told_at >= max(1, quota.every - TICK // 2):
            quota.told_at = now
            actions.append(api.Tell(None, quota.message(now)))
        pressed = self.model.limit is not None and self.out >= CHEAPEST * self.model.limit
        if pressed and now - self.logged >= LONG:
            self.logged = now
            actions.append(api.LogLine(f"pressed: in flight {self.out}, limit {self.model.limit}"))
        return actions

    def joined(self, event: api.FleetChanged) -> None:
        """The fleet has another size."""
        self.s = self.fleet.s = replace(self.s, gateways=1 + len(event.others))

    def replan(self, now: int) -> api.LogLine:
        """Commitments are solved anew beside one another, least worth first; what does not fit is told."""
        solved = sorted(self.active.values(), key=lambda c: (c.worth, c.account.customer))
        for commitment in solved:
            self._evaluate(now, commitment)
        less = sum(c.cap < self._wanted(now, c)[0] for c in solved)
        return api.LogLine(f"plans changed: of {len(solved)} commitments {less} now have less than they ask")

    def retire(self, now: int) -> list[api.Action]:
        """Another process has the word from now on: nothing is granted here any more, nor told to peers.
        What is out ends here; who waited for word that goes elsewhere now is refused at once."""
        self.retired = self.fleet.retired = True
        waiting = [self.held.pop(tag) for tag in list(self.held)]
        for request in waiting:
            request.account.asking = 0
        return [self._refusal(r.arrival) for r in waiting if self.open.pop(r.arrival.request, None)]

    def resume(self) -> None:
        """The other process is gone: this one has the word again."""
        self.retired = self.fleet.retired = False

    def _reclass(self, event: api.ClassesChanged) -> api.LogLine:
        """What arrives from now on goes by other classes; open requests keep their class and attempts."""
        self.s = replace(self.s, classes=event.classes, max_attempts=event.max_attempts)
        self.model.reclass(event)
        self.fleet.reclass(event)
        was, self.arrivals = self.arrivals, {}
        for number, heir in enumerate(event.heirs):
            self.arrivals |= {(number, p): m for (cls, p), m in was.items() if cls == heir == number}
        return api.LogLine(f"classes changed: {len(event.named)} now, {event.max_attempts} attempts at most")

    def _evaluate_all(self, now: int) -> None:
        """Evaluate whoever is due, least worth first, so that cuts fall on the cheap before the dear."""
        for commitment in list(self.active.values()):
            commitment.in_flight.add(now, commitment.open)
            if now - commitment.last > IDLE and not commitment.open:
                commitment.cap = 0  # the commitment ends; the bucket stays, as the quota does
                del self.active[commitment.account.customer]
        self.neighbours = Neighbours(self.active.values() if self.model.risen else ())
        due = [c for c in self.active.values() if now - c.evaluated >= EVALUATE_EVERY]
        for commitment in sorted(due, key=lambda c: (c.worth, c.account.customer)):
            self._evaluate(now, commitment)
        if now - self.swept >= IDLE:
            self.swept, known = now, self.quota.accounts
            self.quota.calls = {name: calls for name, calls in self.quota.calls.items() if calls}
            kept = {c: a for c, a in known.items() if a.open or now - a.last <= self._keep(a)}
            self.quota.accounts = kept
            self.commitments = {c: m for c, m in self.commitments.items() if kept.get(c) is m.account}

    def _keep(self, account: Account) -> int:
        """How long a customer's account outlasts its last request; the store must be full by then."""
        plan = account.plan
        if self.quota.blind and account.part < 0.0:
            return FORGET  # with it would go what it overdrew
        full = 2 * plan.burst / max(plan.rate, 1e-9), plan.ceiling_burst / max(plan.ceiling_rate, 1e-9)
        once = max(FORGET_ONCE, int(SECOND * max(full)))
        return min(FORGET, once) if account.sent <= ONCE and not account.heard else FORGET

    def _wanted(self, now: int, commitment: Commitment) -> tuple[int, float]:
        """Nreq and XMIN: quota slice x aim plus a slice of the burst, or else the places; two at least."""
        account, demand = commitment.account, commitment.demand
        part = self.quota.share(now, account) / (demand.value or 1.0)
        rate, burst = account.plan.rate * part, account.plan.burst * part
        places = account.plan.open_limit * (not account.plan.rate)
        return max(2, places, ceil(rate * commitment.aim / SECOND + burst)), min(rate, demand.rate(now))

    def _evaluate(self, now: int, commitment: Commitment) -> None:
        commitment.evaluated, self.active[commitment.account.customer] = now, commitment
        wanted, commitment.least = self._wanted(now, commitment)
        if not self.model.risen:
            commitment.cap = wanted
            return
        beside = self.neighbours.beside(commitment)
        room = commitment.room if beside.room == inf else beside.room

        def wait(n: int) -> float:
            return self.model.response(beside.in_flight + n) - self.model.delay

        offered = seven_cases(
            max(wanted, ceil(commitment.in_flight.value)),
            len(self.model.times),
            lambda n: wait(n) <= commitment.room,
            lambda n: n * SECOND >= commitment.least * (self.model.delay + wait(n)),
            lambda n: wait(n) <= room and self.model.delay + wait(n) <= beside.slowest,
        )
        commitment.cap = max(1, offered)
        self.neighbours.put(commitment)

    def commitment(self, now: int, account: Account) -> Commitment:
        """The customer's here, made where there is none."""
        found = self.commitments.get(account.customer)
        if found is None or found.account is not account:
            found = Commitment(account, now, -EVALUATE_EVERY, Mean(MEMORY), Mean(MEMORY))
            self.commitments[account.customer] = found
        return found

    # The life of a request.

    def _arrived(self, now: int, a: api.Arrival) -> list[api.Action]:
        if self.retired:
            return [self._refusal(a)]
        account = self.quota.account(now, a.customer, a.plan, a.spread, a.first)
        commitment, cls = self.commitment(now, account), self.s.classes[a.cls]
        account.last = commitment.last = now
        for mean in (account.demand, account.seen, commitment.demand):
            mean.add(now, a.units)
        density = cls.worth * account.plan.price * a.units / max(1.0, self.model.shortest[a.cls])
        commitment.worth += 0.2 * (density - commitment.worth)
        self.arrivals.setdefault((a.cls, a.plan), Mean(MEMORY)).add(now, density)
        room = TARGET * self.model.room(a.cls)
        commitment.room = min(commitment.room, room) * 1.01 if commitment.room else room
        commitment.aim = max(commitment.aim, cls.aim)
        if not commitment.cap:
            self._evaluate(now, commitment)
        self.quota.refill(now, account)
        full = commitment.open - commitment.passing >= commitment.cap
        if full or self._over_limit(now, density):
            account.refused_for = "cap" if full else "pressure"
            return [self._refusal(a)]
        return self._within_quota(now, Open(a, commitment, self.s.max_attempts))

    def _within_quota(self, now: int, request: Open) -> list[api.Action]:
        """Decide by the store kept here, or ask whoever keeps it and hold the request a moment."""
        quota, account, a, plan = self.quota, request.account, request.arrival, request.account.plan
        pays = plan.over_worth > plan.over_cost and not self.model.risen
        # Word this fresh is acted on at once, and the use told afterwards: no wait where gateways are few.
        knows = quota.counter and now - account.told_at < FRESH // 4
        request.before = account.stores()
        if knows or quota.at_home(account):
            may = pays or quota.may(now, account, a.units)
            if may and quota.book(account, a.units, pays):
                return self._admit(now, request, knows) + quota.short(now, account)
            if not account.more or request.asked_at or a.valid_until - now < 4 * TICK:
                account.refused_for = quota.lacking(now, account, a.units)
                return [self._refusal(a), *quota.short(now, account)]
            quota.tag, request.asked_at = quota.tag + 1 & 0xFFFFFFFF, now
            self.held[quota.tag] = self.open[a.request] = request
            return [api.WantRights(a.customer)]
        if not pays and quota.known_spent(account, a.units):
            return [self._refusal(a)]
        if not (quota.asks(account) or (quota.counter and self.rng.random() < quota.pace)):
            return self._alone(now, request)
        if pays and not plan.ceiling_rate:
            return self._admit(now, request, quota.pace >= 1.0)
        short = a.valid_until - now < 4 * TICK
        if short and plan.open_limit and quota.asks(account):
            return self._alone(now, request)  # a place would be granted that nobody takes
        tag, action = quota.ask(now, account, a.units, Kind.ASK)
        if short:
            return [action, *self._alone(now, request)]
        request.asked_at = now
        self.held[tag] = self.open[a.request] = request
        return [action]

    def entitled(self, now: int, customer: int) -> list[api.Action]:
        """What was held for want of rights is decided with those that are kept here now."""
        tags = [tag for tag, request in self.held.items() if request.account.customer == customer]
        held = [self.held.pop(tag) for tag in tags]
        still = [request for request in held if self.open.pop(request.arrival.request, None)]
        return [action for request in still for action in self._within_quota(now, request)]

    def _alone(self, now: int, request: Open) -> list[api.Action]:
        request.before = request.account.stores()
        may = self.quota.alone(now, request.account, request.arrival.units)
        return self._admit(now, request, False) if may else [self._refusal(request.arrival)]

    def _admit(self, now: int, request: Open, tell: bool) -> list[api.Action]:
        a, account = request.arrival, request.account
        if (send := self._send(now, request)) is None:
            account.give_back(account.taken_since(request.before))
            return [self._refusal(a)]
        self.open[a.request] = request
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        request.placed |= tell or self.quota.asks(account)
        if self.quota.homes and not self.quota.at_home(account):
            account.spend(a.units)
        request.taken = account.taken_since(request.before)
        return [send, self.quota.ask(now, account, a.units, Kind.TAKE)[1]] if tell else [send]

    def decided(self, now: int, tag: int, granted: bool | None, more: list[api.Action]) -> list[api.Action]:
        """A held request goes on, or is refused; without an answer this gateway decides alone."""
        request = self.held.pop(tag, None)
        if request is None:
            return more
        request.placed, request.before = granted is True, request.account.stores()
        request.account.asking -= self.quota.asks(request.account)
        if self.open.pop(request.arrival.request, None):
            if granted is None:
                more += self._alone(now, request)
            else:
                more += self._admit(now, request, False) if granted else [self._refusal(request.arrival)]
        return more + self._release(now, request)

    def _release(self, now: int, request: Open) -> list[api.Action]:
        if request.out or not request.placed:
            return []
        request.placed = False
        return self.quota.free(now, request.account)

    def _overdue(self, now: int) -> list[api.Action]:
        overdue = [tag for tag, request in self.held.items() if now - request.asked_at >= HOLD]
        actions = [action for tag in overdue for action in self.decided(now, tag, None, [])]
        # Places still counted though nobody holds them are told again, or customers would be shut out.
        late = [c.account for c in self.active.values() if c.account.owed <= -OPEN / 2]
        return actions + [self.quota.call(now, a, 0.0) for a in late if self.rng.random() < self.quota.pace]

    def _over_limit(self, now: int, density: float) -> bool:
        """Under pressure the model's limit on all in flight holds too; the least worth meets it first."""
        limit, out = self.model.limit, float(self.out - self.lost)
        if limit is None:
            return False
        # What one of many gateways has in flight varies by its root from one moment to the next, and all of
        # them together far less: without room for that, chance would refuse what the fleet has room for.
        out -= max(0.0, 1.0 - FEW / self.s.gateways) * CHANCE * sqrt(limit)
        if out < CHEAPEST * limit:
            return False
        total = sum(m.rate(now) for m in self.arrivals.values())
        below = sum(m.rate(now) for m in self.arrivals.values() if m.value < density)
        return out >= limit * (CHEAPEST + (1.0 - CHEAPEST) * below / max(total, 1e-9))

    def _refusal(self, a: api.Arrival) -> api.Refuse:
        return api.Refuse(a.request, min(ADVICE, self.s.max_retry_after) * self.s.retry_advice)

    def _send(self, now: int, request: Open) -> api.Send | None:
        a = request.arrival
        if now >= a.valid_until or request.sends >= request.most:
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
        self.out += 1
        self.opened(request, 1)
        cls, repeated = self.s.classes[a.cls], request.may_have_run
        until = request.keyed_at + cls.window if repeated and cls.repeat is api.Repeat.KEYED else 0
        return api.Send(a.request, server.entry.id, self._patience(now, request), until)

    def opened(self, request: Open, change: int) -> None:
        """So many attempts more of the request's customer are out."""
        request.commitment.open += change
        self.quota.opened(request.account, change)

    def _patience(self, now: int, request: Open) -> int:
        """Time-out of an attempt, or 0: guards against lost answers, hung backends, classes left unanswered,
        where some were seen of late and another try is allowed; it would harm where all are slow."""
        a, cls = request.arrival, self.s.classes[request.arrival.cls]
        again = cls.repeat is not api.Repeat.UNSAFE and request.sends < request.most
        if not again or self.model.risen or self.fleet.silence[a.cls].blend(now, 0.0, 3.0) < SILENCE:
            return 0
        return max(cls.aim // 2, int(3 * self.model.latency[a.cls].value))

    def _repeat_filter(self, now: int, request: Open) -> Filter:
        """Rule 2: where another attempt of a keyed request that may have run may go."""
        cls, first = self.s.classes[request.arrival.cls], request.keyed_by
        if not request.may_have_run or cls.repeat is not api.Repeat.KEYED or first is None:
            return lambda b: True
        if now - request.keyed_at >= cls.window:
            return lambda b: False
        if cls.group is api.Group.ZONE:
            return lambda b: b.zone == first.zone
        return lambda b: cls.group is api.Group.ALL or b.cell == first.cell

    def _ended(self, now: int, event: api.AttemptEnded) -> list[api.Action]:
        request = self.attempts.pop((event.request, event.attempt), None)
        if request is None:
            return []
        account, cls = request.account, request.arrival.cls
        request.out, self.out = request.out - 1, self.out - 1
        self.opened(request, -1)
        if event.used:
            account.granted.add(now, min(1.0, max(0.0, 0.5 + (1.01 - event.used / 100) / METER_SPAN)))
        if request.began:
            request.commitment.passing -= 1
            event = replace(event, elapsed=request.began)
        if event.outcome is api.Outcome.OK:
            self.model.latency[cls].add(now, event.elapsed)
            if self.s.settled_after and event.true_units:
                account.level -= event.true_units - request.arrival.units
        usual = max(1.0, self.model.latency[cls].value)
        self.fleet.ended(now, event, (cls, request.arrival.plan), event.elapsed / usual)
        if event.outcome not in api.NEVER_RAN:
            request.may_have_run = True
        request.came |= event.outcome not in (api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
        if event.finished:
            self.open.pop(event.request, None)
        again = [] if request.out or event.request not in self.open else self._try_again(now, request)
        if not (request.out or request.came or event.request in self.open):
            account.give_back(request.taken)
        return again + self._release(now, request)

    def _began(self, event: api.Begun) -> None:
        """A long value is being passed on: no other attempt may follow, and its time was that of its first
        byte; how long the rest takes is up to whoever reads it."""
        if (request := self.attempts.get((event.request, event.attempt))) is not None:
            request.commitment.passing += not request.began
            request.most, request.began = 0, max(1, event.elapsed)

    def _try_again(self, now: int, request: Open) -> list[api.Action]:
        """Another attempt where the class, the time left and the retry budget allow one; else the end."""
        a, cls = request.arrival, self.s.classes[request.arrival.cls]
        repeatable = not request.may_have_run or cls.repeat is not api.Repeat.UNSAFE
        if repeatable and self.retries >= 1.0 and (send := self._send(now, request)):
            self.retries -= 1.0
            return [send]
        del self.open[a.request]
        harmless = not request.may_have_run or cls.repeat is api.Repeat.SAFE
        if harmless or (cls.repeat is api.Repeat.KEYED and cls.group is api.Group.ALL):
            return [self._refusal(a)]
        return [api.Fail(a.request)]
