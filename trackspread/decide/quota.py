"""The companion bucket, limits on open attempts and ceilings, each over all gateways together.

May know: settings, the accounts, word of peers, homes and the counter, the fleet as the host sees it. May not
know: backends, the model.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace
from math import ceil

from . import interface as api
from .chance import blind_chance
from .mail import TOTALS, Draw, Kind, pack_draw, pack_totals, unpack_draw, unpack_totals
from .rendezvous import home_of
from .state import LONG, MEMORY, SECOND, Account, Mean, carried

Word = tuple[int, bool | None, list[api.Action]]  # number of the ask answered, the answer, what to send

# Tuned values: unit and reason behind each; times are chosen against aims of the order of a second.
OVERTAKEN = 50  # tenths of a second by which word of a peer may be overtaken by newer word on its way
FRESH = 1 * SECOND  # word of others' use counts in full until this old ...
SILENT = 3 * SECOND  # ... and not at all from here on: their even slices are theirs again
RETURNING = 2 * SECOND  # after a silence, until a peer has told all of its customers: 22 in a message
PACE_UP, PACE_DOWN, PACE_LEAST = 0.01, 0.7, 0.05  # chance of a call to the counter: steps for an answer, none
UNTOLD = 0.4  # chance that a place is free where even slices of a limit on open attempts are under one
COUNTER_LIFE = 60 * SECOND  # a counter name lives this long, the most that may be asked; then names change
LAG = 0.125  # part of a burst by which a counter's number may lag behind a full store before it is put right
OPEN = 10_000.0  # one attempt out, in a counter's number: above all units that a name's life can hold
QUARTER = 0.25  # units in which a store's level is told
LACK_SPAN = SECOND // 2  # a part of a ceiling that lasts for less of the demand is short: over two rounds
KEPT_SPAN = SECOND  # what a part keeps for its own demand when others ask
GIVEN = 0.75  # part of the rest that one ask gets: others may ask too
LACK_MESSAGES = 0.25  # part of the messages that a gateway takes in that asks and what they bring may be
POOLED = 0.75  # part of a ceiling that the home hands out; the rest is in even slices for its silence
TAKEN_OVER = 5 * SECOND  # for which a home's word of a store is good for the next one: askers move in that
OVER_PRICE = 0.05  # of all worth: what units beyond quotas may cost, let through by chance: half its bound
PEERS_MOST = 512  # peers whose last word is kept; the longest silent make room


class Quota:
    """The companion bucket, limits on open attempts and ceilings, over all gateways: where word of all peers
    is fresh each keeps the store; else one home for each customer does, or the counter."""

    def __init__(self, settings: api.Settings, seed: int, now: int, rng: random.Random) -> None:
        self.s, self.rng, self.me, self.born = settings, rng, seed & 0xFFFF, now
        self.accounts: dict[int, Account] = {}
        self.reserved: dict[int, tuple[float, float]] = {}  # by customer, on top of rate and burst
        self.peers: dict[int, tuple[int, int, int]] = {}  # incarnation, when last heard, the age told then
        self.back: dict[int, tuple[int, int]] = {}  # when a peer was last heard again, after how long, ns
        self.back_at = now - RETURNING  # when any was
        self.view: api.FleetChanged | None = None
        self.views, self.moved = 0, False  # taken in so far; whether homes are others than at the start
        self._sets: dict[tuple[int, int], int] = {}  # slots of the customers' sets
        self.rights = settings.rights
        self._regime(1.0)
        told = settings.may_message or self.rights
        self.counter = settings.counter and not told and settings.gateways > 1
        self.granted = [Mean(LONG) for _ in settings.plans]
        self.calls: dict[int, deque[tuple[int, float, bool, float]]] = {}  # ask, amount, fix, owed
        self.tag, self.pace, self.restarted, self.lack_at = 0, 1.0, False, now
        self.told_at = now  # when peers were last told

    def _regime(self, room: float) -> None:
        """Whether all tell all of all use, or customers have homes. `room`: over the usual bound."""
        self.every = 2 * (self.s.gateways - 1) * SECOND / max(1.0, self.s.messages_per_s)
        self.gossip = self.s.may_message and self.every <= room * FRESH // 4
        self.homes = self.s.may_message and not self.gossip

    @property
    def blind(self) -> bool:  # no word (a view brings it), no counter, no meter: nothing of others is known
        return not (self.s.may_message or self.rights or self.counter or self.s.meter_period)

    def joined(self, now: int, event: api.FleetChanged) -> None:
        """Another view, or another part of all limits. What is here was filled by the old ones until now."""
        if self.rights:
            return  # those say it already, for each customer
        old = self.view
        told = (event.others, event.homes, event.slots, event.theirs)
        if old is None or (old.others, old.homes, old.slots, old.theirs) != told:
            for account in self.accounts.values():
                self.refill(now, account)
        self.view = event
        if old is not None and event.slots & ~old.slots:
            for account in self.accounts.values():
                # Nobody tells what those used whose slots are now here.
                own = self._width(account, event.slots & ~old.slots)
                account.absent = min(account.absent, account.plan.burst * own)
        if old is not None and old.slots and now >= old.ends:
            for account in self.accounts.values():  # others have had them meanwhile
                account.ceiling, account.part = min(0.0, account.ceiling), min(0.0, account.part)
        if old is None or (old.others, old.homes) != (event.others, event.homes):
            if old is not None and set(event.others) - set(old.others):
                self.back_at = now
            self.views, self.moved = self.views + 1, self.moved or (old is not None and bool(old.slots))
            self.s = replace(self.s, gateways=1 + len(event.others), position=event.me, may_message=True)
            # Halves of a fleet that parts go on as they were used to, and are as much at one once healed.
            self._regime(1.0 if self.gossip or old is None else 0.25)

    def slots(self, now: int) -> int:
        """That may be acted on here by the view, at this instant."""
        return self.view.slots if self.view is not None and now < self.view.until else 0

    def _width(self, account: Account, slots: int) -> float:
        """Of the customer's limits, that these slots are: its set's are all of them."""
        key = account.first, account.spread
        if (whole := self._sets.get(key)) is None:
            seats, whole = self.view.seats if self.view is not None else (), 0
            for n in range(account.spread or len(seats)):
                whole |= seats[(account.first + n) % len(seats)]
            self._sets[key] = whole
        return (slots & whole).bit_count() / max(1, whole.bit_count())

    def even(self, now: int, account: Account) -> float:
        """Of the customer's limits, that is this gateway's whatever others do."""
        if self.view is not None:
            return self._width(account, self.slots(now))
        return 1.0 / account.slices if account.slices else 0.0

    def barred(self, now: int) -> bool:
        """Whether nothing that all share may be acted on here: this gateway has lost its fleet, or has not
        found it yet."""
        return self.view is not None and not self.slots(now)

    def _others(self, account: Account) -> tuple[int, ...]:
        return account.peers if self.view is None else self.view.others

    def home(self, account: Account) -> int:
        if self.view is not None and account.homed != self.views:
            account.home, account.homed = home_of(account.customer, self.view.homes), self.views
            keeps = account.home == self.view.me
            if keeps and not account.keeps:
                # What was kept here before is of another time; askers tell what the former home had.
                account.taking, account.over, account.absent, account.tellers = True, 0.0, 0.0, {}
                account.heard, account.asked, account.given = {}, {}, {}
            account.keeps = keeps
        return account.home

    def account(self, now: int, customer: int, index: int, spread: int = 0, first: int = 0) -> Account:
        """The customer's account; `spread` is 0 when a peer asks and no request of it came here."""
        account, n = self.accounts.get(customer), self.s.gateways
        if account is None:
            plan = self.figures(customer, index)
            # A restarted home knows no store: half of it errs as little either way.
            unknown = self.homes and (self.restarted or self.moved)
            level = plan.burst * (0.5 if unknown else not self.rights)
            times, means = (now, now, -SILENT, -SILENT), (Mean(MEMORY), Mean(3 * LONG), Mean(LONG))
            account = Account(customer, plan, index, customer % n, level, *times, *means)
            if self.homes and self.at_home(account):
                pooled = plan.ceiling_slack * POOLED + self._spared(plan)
                account.ceiling = pooled * self.share(now, account)
            self.accounts[customer] = account
        elif account.index != index:
            self.carry(now, account, index)
        if spread >= 1 and not account.slices and not self.rights:
            n = n if self.view is None else len(self.view.seats)
            self._slice(now, account, min(int(spread), n), int(first))
        return account

    def _spared(self, plan: api.Plan) -> float:
        """Of a ceiling's part at a home, what a predecessor that ran until just now surely left: it passed on
        a burst of the quota and then the quota's rate at most, as all that it grants is inside the quota."""
        pooled, pays = plan.ceiling_rate * POOLED, plan.over_worth > plan.over_cost
        within = plan.rate > 0.0 and not pays and pooled >= plan.rate
        return max(0.0, plan.ceiling_burst * POOLED - plan.burst) * within

    def _slice(self, now: int, account: Account, n: int, first: int) -> None:
        """Even slices, started so that all together have no more than the whole, on average. A ceiling's
        starts with its part of the slack alone: a restarted gateway cannot know that it is one."""
        account.first, account.spread = first, n
        named = [(first + i) % self.s.gateways for i in range(n)] if self.gossip else []
        account.peers = tuple(p for p in named if p != self.s.position)
        account.slices = n + ((self.s.position - first) % self.s.gateways >= n)
        plan, share = account.plan, self.even(now, account)
        even = plan.burst * share
        account.level = even if self.gossip and self.restarted else account.level
        chance = even / max(self.s.largest, 1e-9)
        account.part = even if chance >= 1.0 else self.s.largest * (self.rng.random() < chance)
        account.ceiling += plan.ceiling_slack * (1.0 - POOLED if self.homes else 1.0) * share

    def entitle(self, now: int, event: api.RightsChanged) -> None:
        """The stores are filled by the old shares until now. A store that is new here has filled since this
        gateway's start: whatever a former one spent, its rights went with it."""
        fresh, account = event.customer not in self.accounts, self.account(now, event.customer, event.plan)
        if fresh:
            account.at, account.soft, account.hard = self.born, event.soft, event.hard
        self.refill(now, account)
        plan, account.soft, account.hard, account.more = account.plan, event.soft, event.hard, event.more
        account.places, level = event.places, account.level if event.level is None else event.level
        # What others took came out of what found the store full here: it was not full for all of the time.
        taken = max(0.0, event.taken - account.over)
        account.over *= not event.taken
        account.level = max(-plan.burst, min(plan.burst, level) - taken)
        account.ceiling = min(plan.ceiling_burst * event.hard, account.ceiling)

    def replan(self, now: int, event: api.PlansChanged) -> None:
        """Other figures from now on, in every store that is kept here."""
        self.s = replace(self.s, plans=event.plans)
        self.reserved = {customer: (rate, burst) for customer, rate, burst in event.reserved}
        for account in self.accounts.values():
            self.carry(now, account, account.index)

    def figures(self, customer: int, index: int) -> api.Plan:
        """The plan's, and what the customer has reserved on top; a ceiling rises with its quota."""
        plan, (rate, burst) = self.s.plans[index], self.reserved.get(customer, (0.0, 0.0))
        if not rate:
            return plan
        quota, ceiling = plan.rate > 0.0, plan.ceiling_rate > 0.0
        return replace(
            plan,
            rate=plan.rate + rate * quota,
            burst=plan.burst + burst * quota,
            ceiling_rate=plan.ceiling_rate + rate * ceiling,
            ceiling_burst=plan.ceiling_burst + burst * ceiling,
        )

    def carry(self, now: int, account: Account, index: int) -> None:
        """The customer's stores go over to the figures of plan `index`, filled by the old ones until now. A
        level is kept as a share of a burst that falls, as units of one that rises: never a gift."""
        self.refill(now, account)
        old, new = account.plan, self.figures(account.customer, index)
        account.plan, account.index = new, index
        account.level = carried(account.level, old.burst, new.burst)
        account.part = carried(account.part, old.burst, new.burst)
        account.ceiling = carried(account.ceiling, old.ceiling_burst, new.ceiling_burst)

    def share(self, now: int, account: Account) -> float:
        """Part of the quota that counts as here: the whole while word of others' use is fresh, as that is
        taken off when told. The slice of whoever is silent ages back to him."""
        slices = max(1, account.slices)
        if self.rights:
            return account.soft
        if self.view is not None:
            view, own = self.view, self.even(now, account)
            if self.gossip:
                others = zip(view.others, view.theirs, strict=True)
                heard = [(slots, self.peers[p][1]) for p, slots in others if p in self.peers]
                widths = (self._width(account, slots) * self._fresh(now, at) for slots, at in heard)
                return min(1.0, own + sum(widths))
            theirs = 0
            for slots in view.theirs:
                theirs |= slots
            near = self.at_home(account) or self._fresh(now, account.told_at)
            return min(1.0, own + near * self._width(account, theirs & ~self.slots(now)))
        if self.at_home(account) and not self.gossip:
            return 1.0
        told = [self.peers.get(p, (0, self.born - FRESH, 0))[1] for p in account.peers] or [account.told_at]
        fresh = sum(self._fresh(now, at) for at in told) / len(told)
        return (1.0 + fresh * (slices - 1)) / slices

    @staticmethod
    def _fresh(now: int, at: int) -> float:
        """How far word of this age counts."""
        return min(1.0, max(0.0, (SILENT - now + at) / (SILENT - FRESH)))

    def at_home(self, account: Account) -> bool:
        near = self.gossip or self.rights or account.slices == 1
        return self.home(account) == self.s.position if self.asks(account) else near

    def asks(self, account: Account) -> bool:
        """Whether one home grants for all: places among a few are gone before all could tell all."""
        return self.homes or (self.gossip and account.plan.open_limit > 0)

    def refill(self, now: int, account: Account) -> None:
        dt, account.at = (now - account.at) / SECOND, now
        if self.barred(now):
            # What is here stays as it is until something may be acted on again; all else is others'.
            room = account.plan.burst - account.level
            account.absent = min(room, account.absent + account.plan.rate * dt)
            return
        near = self.homes and self.at_home(account)
        shared = self.gossip or self.rights or (near and self.view is not None)
        plan, share = account.plan, self.share(now, account) if shared else 1.0
        even = self.even(now, account)
        most = plan.burst * share
        if dt and self.rights:
            most = max(most, account.level)  # a share that falls takes no units along: what is filled stays
            over = account.level + plan.rate * share * dt - most
            account.over = min(plan.rate, account.over + max(0.0, over))  # of a second: words come sooner
        if dt:
            before, account.level = account.level, min(most, account.level + plan.rate * share * dt)
            if self.homes or (share < 1.0 and self.gossip):
                account.over += plan.rate * dt - (account.level - before)
            if share < 1.0 and not self.rights:
                grown = account.absent + plan.rate * (1.0 - share) * dt + max(0.0, before - most)
                account.absent = min(plan.burst - account.level, grown)
            elif account.absent and now - self.back_at >= RETURNING:
                # All are heard again, and have told what they used: the rest is there to be used.
                account.level = min(most, account.level + account.absent)
                account.absent = 0.0
        account.part = min(max(plan.burst * even, self.s.largest), account.part + plan.rate * even * dt)
        even = (1.0 - POOLED) * even + POOLED * near * share if self.homes else even
        even = account.hard if self.rights else even
        account.ceiling = min(plan.ceiling_burst * even, account.ceiling + plan.ceiling_rate * even * dt)

    def may(self, now: int, account: Account, units: float) -> bool:
        """The ceiling's slice, and open attempts: others' count while word is new, else an even slice."""
        limit, told = account.plan.open_limit, now - account.open_at < FRESH // 4
        own = self.even(now, account) or (self.view is None)
        most = ceil(limit * (1.0 if told else own) - 1e-9)
        most = int(limit * account.places + 1e-6) if self.rights else most
        few = not limit or account.open + told * account.others < most
        if limit and (self.gossip or (self.homes and self.at_home(account))):
            others = sum(out for out, at in account.out.values() if now - at < SILENT)
            few = account.open + others < limit * self.share(now, account)
        limited = account.plan.rate or limit or account.plan.ceiling_rate
        return (
            few
            and (not account.plan.ceiling_rate or account.ceiling >= units)
            and not (limited and self.barred(now))
        )

    def opened(self, account: Account, more: int) -> None:
        """An attempt of the customer's is out, or over."""
        account.open += more
        if account.plan.open_limit:
            account.tells = 3

    def short(self, now: int, account: Account) -> list[api.Action]:
        """Ask a peer for some of its part of a ceiling that runs short here. Parts are even while demand is
        not: a customer that comes through one gateway would get that one's part alone."""
        plan, demand = account.plan, account.demand
        others = self._others(account)
        if self.view is not None:  # who has none of it can give none
            theirs = zip(others, self.view.theirs, strict=True)
            others = tuple(peer for peer, slots in theirs if self._width(account, slots))
        if not (self.gossip and plan.ceiling_rate and others) or now < self.lack_at:
            return []
        most = plan.ceiling_burst * self.even(now, account)
        if account.ceiling >= min(most / 2, demand.rate(now) * demand.value * LACK_SPAN / SECOND):
            return []
        # Each ask is one message to a peer, and brings one at most.
        self.lack_at = now + int(2 * SECOND / max(1.0, LACK_MESSAGES * self.s.messages_per_s))
        self.tag = account.lacked = self.tag + 1 & 0xFFFFFFFF
        to = others[self.tag % len(others)]
        return [self._tell(now, to, account, Kind.LACK, most - account.ceiling, self.tag)]

    def _lent(self, now: int, sender: int, draw: Draw) -> list[api.Action]:
        """A peer asks for some of the part here, or gives of its own. What is given has left that part
        before it is told, and no part ever holds more than its even one: together they never hold more than
        the ceiling."""
        account = self.accounts.get(draw.customer)
        if account is None and self.view is not None:
            account = self._drawn_on(now, draw)  # by the view it may have slots here
        if account is None or account.index != draw.plan or sender not in self._others(account):
            return []
        self.refill(now, account)
        if draw.kind == Kind.GIVE and draw.tag == account.lacked:
            account.lacked = 0  # a second copy of it is none
            most = account.plan.ceiling_burst * self.even(now, account)
            account.ceiling = min(most, account.ceiling + draw.units)
        if draw.kind != Kind.LACK:
            return []
        own = account.demand.rate(now) * account.demand.value * KEPT_SPAN / SECOND
        spare = GIVEN * (account.ceiling - max(self.s.largest, own))
        given = QUARTER * int(min(draw.units, spare) / QUARTER)
        if given <= 0.0:
            return []
        account.ceiling -= given
        return [self._tell(now, sender, account, Kind.GIVE, given, draw.tag)]

    def known_spent(self, account: Account, units: float) -> bool:
        """Whether the home's last word, and what filled its store since, fall short of these units: others
        can only have taken more. Not to ask then spares a home whose customer asks more than it can hear."""
        told = self.homes and account.plan.rate > 0.0 and account.told_at > self.born
        return told and account.level + QUARTER / 2 < units

    def lacking(self, now: int, account: Account, units: float) -> str:
        """Which limit does not let these units through here, for people."""
        if self.barred(now):
            return "fleet"
        if account.plan.ceiling_rate and account.ceiling < units:
            return "ceiling"
        return "quota" if self.may(now, account, units) else "open limit"

    def book(self, account: Account, units: float, pays: bool) -> bool:
        within = not account.plan.rate or account.level >= units
        if not (within or pays) or (account.plan.ceiling_rate and account.ceiling < units):
            return False
        account.ceiling -= units
        if within and account.plan.rate:
            account.level, account.tells = account.level - units, 3
            account.spend(units)
        return True

    def alone(self, now: int, account: Account, units: float) -> bool:
        """Without the store's word: by the even slice, else by chance, as home, counter or meter lately said
        of this customer, or else of its plan. That ages away, and even slices are left."""
        if self.rights or self.gossip:
            return self.may(now, account, units) and self.book(account, units, False)
        if self.blind:
            return self._unheard(now, account, units)
        usual, even = self.granted[account.index].blend(now, 0.0, 0.1), account.part >= units
        # Seen here more than its even slice, beyond the one request that says nothing, a customer is busy.
        seen, one = account.seen.rate(now) * account.seen.value, units * SECOND / LONG
        own = self.even(now, account) or (self.view is None)
        fits = min(1.0, (account.plan.rate * own + 2 * one) / (seen + one))
        fits *= UNTOLD if account.plan.open_limit else 1.0
        lucky = even or self.rng.random() < account.granted.blend(now, usual, 0.5) * fits
        if not lucky or not self.may(now, account, units):
            return False
        account.part -= units * even
        account.ceiling -= units
        if self.view is not None:  # by what was told, if the next home is to hear of it
            account.level = max(0.0, account.level - units)
        return True

    def _unheard(self, now: int, account: Account, units: float) -> bool:
        """Where nobody is ever heard: by the even slice, which one request by chance may overdraw. What goes
        beyond the quota is thus one request for each gateway at most, and is filled up again. The more
        requests the slice pays for of itself, the less it takes chance that some other gateway's goes
        unused."""
        plan, span = account.plan, min(LONG, now - self.born) / SECOND
        limited, owed = plan.rate or plan.open_limit or plan.ceiling_rate, units - account.part
        largest = max(self.s.largest, units)
        paid = (plan.burst + plan.rate * span) * self.even(now, account) / largest
        chance = blind_chance(plan.over_cost, OVER_PRICE) * (1.0 + paid) if plan.rate else 1.0
        chance *= UNTOLD if plan.open_limit else 1.0
        lucky = not limited or owed <= 0.0 or (owed <= largest and self.rng.random() < chance)
        if not lucky or not self.may(now, account, units):
            return False
        account.part -= units if plan.rate else 0.0
        account.ceiling -= units
        return True

    def answered(self, now: int, account: Account, level: float, granted: bool) -> None:
        account.level, account.told_at = level, now
        account.granted.add(now, float(granted))
        self.granted[account.index].add(now, float(granted))

    def ask(self, now: int, account: Account, units: float, kind: Kind) -> tuple[int, api.Action]:
        self.tag = self.tag + 1 & 0xFFFFFFFF
        if self.asks(account):
            action = self._tell(now, self.home(account), account, kind, units, self.tag)
            account.asking += kind == Kind.ASK
            return self.tag, action
        # While not all are counted, each that is stands for those that are not.
        amount = units / self.pace + self.place(account)
        return self.tag, self.call(now, account, amount, self.tag * (kind == Kind.ASK))

    def _tell(self, now: int, to: int, account: Account, kind: Kind, units: float, tag: int) -> api.Action:
        age = (now - self.born) * 10 // SECOND
        out = (account.open + account.asking) * (account.plan.open_limit > 0)
        draw = Draw(kind, account.customer, account.index, units, tag, age, account.sent, out=out)
        if self.view is not None:  # whoever keeps slots has to know which of them are the customer's
            teller = account.teller * (now - account.told_at < TAKEN_OVER)
            draw = draw._replace(
                first=account.first, spread=account.spread, level=max(0.0, account.level), teller=teller
            )
        return api.Tell(to, pack_draw(draw))

    def _drawn_on(self, now: int, draw: Draw) -> Account:
        account = self.account(now, draw.customer, draw.plan)
        if draw.spread and not account.spread and self.view is not None:
            seats = len(self.view.seats)
            account.first, account.spread = draw.first % seats, min(draw.spread, seats)
        return account

    def _take_over(self, now: int, account: Account, sender: int, draw: Draw) -> None:
        """The asker comes from another home, whose store goes into the one here, once: each kept what was its
        side's, and what its askers used was taken off there."""
        account.heard.pop(sender, None)
        account.asked.pop(sender, None)
        account.given.pop(sender, None)
        if now - account.tellers.get(draw.teller, now - TAKEN_OVER) >= TAKEN_OVER:
            here, most = account.level * (not account.taking), account.plan.burst * self.share(now, account)
            account.level, account.absent = min(most, here + draw.level), 0.0
        account.tellers[draw.teller] = now

    def drawn(self, now: int, event: api.PeerMessage) -> Word:
        """Word with a home, either way, or of ceilings between equals: the number of the ask it answers, the
        answer, what to send."""
        draw = unpack_draw(event.data)
        if draw is None or draw.plan >= len(self.s.plans):
            return 0, None, []
        if draw.kind in (Kind.LACK, Kind.GIVE):
            return 0, None, self._lent(now, event.sender, draw) if self.gossip else []
        self._note_age(now, draw.age)
        if draw.kind in (Kind.GRANT, Kind.DENY):
            if (mine := self.accounts.get(draw.customer)) and self.homes:
                self.refill(now, mine)
                self.answered(now, mine, draw.units, draw.kind == Kind.GRANT)
                mine.teller = event.sender
            return draw.tag, draw.kind == Kind.GRANT, []
        account = self._drawn_on(now, draw)
        if not self.at_home(account):
            return 0, None, []
        self.refill(now, account)
        if draw.teller not in (0, self.s.position):
            self._take_over(now, account, event.sender, draw)
        account.taking, account.last = False, now
        account.out[event.sender] = draw.out, now
        if draw.kind == Kind.DONE:
            return 0, None, []
        pays = account.plan.over_worth > account.plan.over_cost
        if not pays and draw.kind == Kind.ASK and self.homes:
            self._settle(now, account, event.sender, draw.taken)
        room = not account.plan.open_limit or pays or self.may(now, account, draw.units)
        kind = Kind.GRANT if room and self.book(account, draw.units, pays) else Kind.DENY
        if kind == Kind.GRANT:
            account.out[event.sender] = draw.out + 1, now
            account.given[event.sender] = account.given.get(event.sender, (0.0, 0))[0] + draw.units, now
        word = self._tell(now, event.sender, account, kind, account.level, draw.tag)
        return 0, None, [word] * (draw.kind == Kind.ASK)

    @staticmethod
    def _used_elsewhere(account: Account, units: float, silence: int) -> None:
        """Taken off the store here, also below nothing, or two gateways would both spend the same refill.
        What was used in a `silence` of so many ns (0: heard all along) comes off that time's refill first, as
        far as that never was in the store here; what both sides spent beyond it is spent: to save it up
        serves nobody."""
        floor = -account.plan.burst
        if silence:
            less, floor = min(units, account.over, account.plan.rate * silence / SECOND), 0.0
            account.over, units = account.over - less, units - less
            account.absent = max(0.0, account.absent - less - units)
        account.level = min(account.level, max(floor, account.level - units))

    def _settle(self, now: int, account: Account, sender: int, taken: int) -> None:
        """Grants whose answer was lost count once its asker tells of what it took; what it took beyond all
        grants, alone, is taken off the store; and a grant that nobody took for long goes back into it."""
        last, (given, at) = account.heard.get(sender, taken), account.given.get(sender, (0.0, now))
        grown = (taken - last) & 0xFFFF
        used = (grown if grown < 0x8000 else taken) / 4  # one that went back has begun anew
        rest = max(0.0, given - used)
        if rest and now - at > FRESH:
            account.level, rest = min(account.plan.burst, account.level + rest), 0.0
        silence = now - account.asked.get(sender, now)  # a short one may be chance where messages get lost
        self._used_elsewhere(account, max(0.0, used - given), silence * (silence > SILENT))
        account.asked[sender] = now
        account.heard[sender], account.given[sender] = taken, (rest, at)

    def call(self, now: int, account: Account, amount: float, tag: int = 0, fix: bool = False) -> api.Action:
        name = account.customer << 16 | (now // COUNTER_LIFE) & 0xFFFF
        self.calls.setdefault(name, deque()).append((tag, amount, fix, account.owed))
        amount, account.owed = amount + account.owed, 0.0
        return api.AddToCounter(name, COUNTER_LIFE, amount)

    def free(self, now: int, account: Account) -> list[api.Action]:
        """Nothing of a request that was counted as out elsewhere is out any more."""
        if self.place(account):
            return [self.call(now, account, -OPEN)]
        if not account.plan.open_limit or not self.asks(account) or self.at_home(account):
            return []
        return [self._tell(now, self.home(account), account, Kind.DONE, 0.0, 0)]

    def place(self, account: Account) -> float:
        """What an attempt out adds to the counter's number where a plan limits how many may be."""
        return OPEN * (self.counter and account.plan.open_limit > 0)

    def counted(self, now: int, event: api.Counted) -> Word:
        """The counter's answer. Its number stands for a store: what was taken since its name began, and the
        attempts out. When the store was full for a while (the number lags behind the fill) it is put right;
        who finds that another did so first takes it back."""
        queue, account = self.calls.get(event.name), self.accounts.get(event.name >> 16)
        if not queue or account is None:
            return 0, None, []
        tag, amount, fix, owed = queue.popleft()
        if event.outcome is not api.Outcome.OK:
            # A crowded counter answers nobody: fewer calls from here, and slowly more once it answers.
            self.pace = max(PACE_LEAST, self.pace * PACE_DOWN)
            if event.outcome is api.Outcome.TIMEOUT:
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
        telling = [a for a in self.accounts.values() if a.tells and (a.peers or self.view is not None)]
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
                own = 0.5 if self.homes else self.even(now, mine) or 1.0
                mine.level = min(mine.level, mine.plan.burst * own)
        return older

    def heard(self, now: int, event: api.PeerMessage) -> None:
        if (word := unpack_totals(event.data)) is None:
            return
        last_word = self.peers.get(event.sender, (-1, 0, 0))
        known = last_word[0] == word[0]
        if known and 0 < last_word[2] - word[1] <= OVERTAKEN:
            return  # newer word came before it: its totals are older than those that are known
        if known and now - last_word[1] > FRESH:
            self.back[event.sender], self.back_at = (now, now - last_word[1]), now
        back, silence = self.back.get(event.sender, (0, 0))
        self.peers[event.sender] = word[0], now, word[1]
        if len(self.peers) > PEERS_MOST:
            oldest = min(self.peers, key=lambda peer: self.peers[peer][1])
            del self.peers[oldest]
            self.back.pop(oldest, None)
        if not known:  # restarted: it counts from nothing, for each customer whenever first told
            for each in self.accounts.values():
                each.heard.pop(event.sender, None)
                each.out.pop(event.sender, None)
        older = self._note_age(now, word[1])
        for customer, sent, out in word[2]:
            account = self.accounts.get(customer)
            if account is None:
                continue
            last = account.heard.get(event.sender) if known else None
            # A home hears of what it granted by draws, and of what went out without its answer thus alone.
            if not self.at_home(account) or out > account.out.get(event.sender, (0, now))[0]:
                account.out[event.sender] = out, now
            self.refill(now, account)
            used = min(sent / 4, account.plan.burst) * (not older)
            grown = 0x8000 if last is None else (sent - last) & 0xFFFF
            # A total that went back was begun anew, after the peer had forgotten the account.
            used = used if grown >= 0x8000 else grown / 4
            self._used_elsewhere(account, used, silence * (now - back < RETURNING))
            account.heard[event.sender] = sent
