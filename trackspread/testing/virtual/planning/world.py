"""Forwarders and planners in virtual time: clocks that drift, late, lost and doubled words, kills, pauses.

At every step the account (`account.py`) is kept: rights that are out, as each forwarder's own clock has them,
and every unit that is spent; and no slot has two owners at one instant. May not know: how planners decide.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ...judge.token_bucket import TokenBucket
from ....planning.lease_table import LeaseTable
from ....planning.election import ElectionMessage
from ....planning.election import Outbox
from ....planning.forwarder import Forwarder
from ....planning.placement import static_part
from ....planning.planner import Planner
from ....decide.time_units import SECOND
from ....planning.limits import Limit, TenantLimit
from ....planning.messages import Grant, LeaseRequest
from ....planning.timing import HEARTBEAT_NS
from ...standins.client_population import draw_weights
from .account import ROUNDING, CapAccount
from ..clock import Clock

MS = 1_000_000
TICK = 100 * MS  # ns between a planner's ticks
DRIFT_MOST = 0.01  # part by which a clock usually runs fast or slow here; what is stated is twice that
LIMIT = Limit(20.0, 40.0)
QUOTA, CEILING = 0, 1  # which cap is which
UNIT = 1.0  # of a request
OVER = 2.0  # times its quota that a member's ceiling is
QUOTA_PLANNED, CEILING_PLANNED = 0.9, 0.2  # most of a ceiling in even slices: they serve without planners


@dataclass(slots=True)
class NetworkConditions:
    """Of all messages; times in ns, chances from 0 to 1."""

    least: int = 200_000
    most: int = 3 * MS
    late: float = 0.0  # chance of `later` more
    later: int = 2 * SECOND
    loss: float = 0.0
    twice: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A world: who there is, and what each member may and does ask for."""

    seed: int
    forwarders: int = 4
    planners: int = 3
    members: int = 3
    limit: Limit = LIMIT
    spread: int = 4  # forwarders that a member comes through
    asked: float = 1.5  # times its quota that a member asks for
    planned: float = CEILING_PLANNED  # part of a ceiling that planners hand out
    over: float = OVER  # times its quota that a member's ceiling is
    quota_planned: float = QUOTA_PLANNED
    drift: float = DRIFT_MOST
    level: bool = False  # a member's traffic is spread evenly over its forwarders
    calm: bool = False  # no word is lost and nobody stops: soft rights are held to the account as well

    def caps(self, member: int) -> tuple[TenantLimit, TenantLimit]:
        """A quota and a ceiling."""
        ceiling = Limit(self.over * self.limit.rate_per_s, self.over * self.limit.burst_units)
        quota = TenantLimit(self.limit, self.quota_planned, True).fitted(UNIT, self.used)
        return quota, TenantLimit(ceiling, self.planned, False).fitted(UNIT, self.used)

    @property
    def used(self) -> int:
        """Forwarders that a member comes through."""
        return min(self.spread, self.forwarders)

    def ways(self, member: int) -> list[int]:
        """Which these are."""
        return [(member + i) % self.forwarders for i in range(self.used)]

    def parts(self, member: int, me: int) -> list[float]:
        return [static_part(member, me, self.ways(member), cap, UNIT) for cap in self.caps(member)]


class Process:
    """What a forwarder and a planner have in common: a clock of its own, kills, pauses."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.rate = 1.0 + world.rng.uniform(-1.0, 1.0) * world.plan.drift
        self._offset = world.rng.randrange(10**15)
        self.alive = True
        self.starts = 0
        self.paused_until = 0
        self._waiting: list[Callable[[], None]] = []

    def now(self) -> int:
        return self._offset + int((self.world.clock.now) * self.rate)

    def run(self, call: Callable[[], None], start: int) -> None:
        """Now, or when it wakes; nothing that an earlier start was to do."""
        if not self.alive or start != self.starts:
            return
        if self.world.clock.now < self.paused_until:
            self.world.clock.at(self.paused_until, partial(self.run, call, start))
        else:
            call()

    def every(self, span: int, call: Callable[[], None], start: int) -> None:
        def again() -> None:
            call()
            self.every(span, call, start)

        self.world.clock.after(int(span / self.rate), partial(self.run, again, start))


class PlannerProcess(Process):
    def __init__(self, world: World, number: int) -> None:
        super().__init__(world, f"p{number}")
        self.number = number
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.alive = True
        world = self.world
        seed = world.rng.getrandbits(32)
        self.planner = Planner(self.number, world.plan.planners, world.plan.caps, UNIT, self.now(), seed)
        self.every(TICK, self._tick, self.starts)

    def _tick(self) -> None:
        for slot, out in self.planner.tick(self.now()):
            self._send(slot, out)

    def _send(self, slot: int, out: Outbox) -> None:
        for to, word in out:
            for target in self.world.planners if to is None else [self.world.planners[to]]:
                if target is self:
                    self._hear(self.number, slot, word)
                else:
                    self.world.send(self, target, partial(target._hear, self.number, slot, word))

    def _hear(self, sender: int, slot: int, word: ElectionMessage) -> None:
        self._send(slot, self.planner.on_message(self.now(), sender, slot, word))
        self.world.one_owner(slot)

    def owns(self, slot: int) -> bool:
        return self.alive and self.planner.elections[slot].owns(self.now())

    def ask(self, forwarder: ForwarderProcess, ask: LeaseRequest) -> None:
        grant = self.planner.on_request(self.now(), ask)
        if grant is not None:
            self.world.granted_by(ask, self.planner.tables[ask.tenant, ask.limit_index])
            self.world.send(self, forwarder, partial(forwarder.granted, grant))
        else:
            self.world.send(self, forwarder, partial(forwarder.declined, self.number, ask.tenant))


class ForwarderProcess(Process):
    def __init__(self, world: World, number: int) -> None:
        super().__init__(world, f"f{number}")
        self.number = number
        self.pauses_for = 0  # ns, once it has asked next
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.alive = True
        plan = self.world.plan
        self.forwarder = Forwarder(
            self.number,
            self.world.rng.getrandbits(32),
            plan.planners,
            plan.caps,
            lambda member: plan.parts(member, self.number),
        )
        self.every(HEARTBEAT_NS, self._beat, self.starts)

    def _ask(self, planner: int, ask: LeaseRequest) -> None:
        target = self.world.planners[planner]
        self.world.send(self, target, partial(target.ask, self, ask))

    def _beat(self) -> None:
        for planner, ask in self.forwarder.heartbeat(self.now()):
            self._ask(planner, ask)
        if self.pauses_for:
            self.world.pause(self, self.pauses_for)
            self.pauses_for = 0

    def granted(self, grant: Grant) -> None:
        for to, ask in self.forwarder.on_grant(self.now(), grant):
            self._ask(to, ask)
        self.world.sum_rights(grant.tenant)

    def declined(self, planner: int, member: int) -> None:
        for to, ask in self.forwarder.on_decline(self.now(), planner, member):
            self._ask(to, ask)

    def take(self, member: int) -> None:
        held = self.forwarder.tenants.get(member)
        if held is None:
            before = [(0.0, 0.0)] * len(self.world.plan.caps(member))
        else:
            for holder in held.holders:
                holder.refill(self.now())
            before = [(holder.tokens, holder.static_tokens) for holder in held.holders]
        taken = self.forwarder.admit(self.now(), member, UNIT)
        after = [(holder.tokens, holder.static_tokens) for holder in self.forwarder.tenants[member].holders]
        self.world.taken(self.number, member, taken)
        self.world.spent(member, taken, before, after)
        self.world.sum_rights(member)

    def right(self, member: int, which: int) -> Limit:
        """What it may use of its lease now, by its own clock."""
        held = self.forwarder.tenants.get(member)
        if held is None or not self.alive or self.now() >= held.holders[which].expires_at_ns:
            return Limit(0.0, 0.0)
        return held.holders[which].limit


@dataclass(slots=True)
class Count:
    """Of one member."""

    accounts: tuple[CapAccount, ...]
    quota: TokenBucket
    perfect: TokenBucket
    asked: int = 0
    sent: int = 0
    beyond: int = 0  # of these, beyond the quota
    inside: int = 0  # that a store of the whole quota would have let pass
    by_second: dict[int, int] = field(default_factory=dict)

    @property
    def excess(self) -> float:
        """Units of a ceiling that were spent and never due, at the worst."""
        return max(account.excess for account in self.accounts if not account.cap.is_soft)


class World:
    """Make it, set what goes wrong on its clock, `run` it; `broken` has what must never be."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.clock = Clock()
        self.conditions = NetworkConditions()
        self.rng = random.Random(f"planned:{plan.seed}")
        self.apart: set[frozenset[str]] = set()
        self.broken: list[str] = []
        self.planners = [PlannerProcess(self, number) for number in range(plan.planners)]
        self.forwarders = [ForwarderProcess(self, number) for number in range(plan.forwarders)]
        now, limit = self.clock.now, plan.limit
        self.counts = [
            Count(
                tuple(CapAccount(cap, now) for cap in plan.caps(member)),
                TokenBucket(limit.rate_per_s, limit.burst_units, now),
                TokenBucket(limit.rate_per_s, limit.burst_units, now),
            )
            for member in range(plan.members)
        ]
        self.ways = [plan.ways(member) for member in range(plan.members)]
        self.weights = [
            [1.0] * plan.used if plan.level else draw_weights(self.rng, plan.used)
            for _ in range(plan.members)
        ]
        self.sent_by = [[0] * plan.members for _ in range(plan.forwarders)]
        for member in range(plan.members):
            self._request(member)

    def run(self, span: int) -> None:
        self.clock.run(self.clock.now + span)

    def send(self, source: Process, target: Process, call: Callable[[], None]) -> None:
        conditions, rng = self.conditions, self.rng
        if frozenset((source.name, target.name)) in self.apart:
            return
        for _ in range(1 + (rng.random() < conditions.twice)):
            if rng.random() >= conditions.loss:
                wait = rng.randint(conditions.least, conditions.most)
                wait += rng.randint(0, conditions.later) * (rng.random() < conditions.late)
                self.clock.after(wait, partial(target.run, call, target.starts))

    def kill(self, process: Process) -> None:
        process.alive = False

    def revive(self, process: PlannerProcess | ForwarderProcess) -> None:
        if not process.alive:
            process.start()

    def pause(self, process: Process, span: int) -> None:
        process.paused_until = self.clock.now + span

    def _request(self, member: int) -> None:
        number = self.rng.choices(self.ways[member], self.weights[member])[0]
        target = self.forwarders[number]
        self.clock.after(0, partial(target.run, partial(target.take, member), target.starts))
        wait = self.rng.expovariate(self.plan.limit.rate_per_s * self.plan.asked)
        self.clock.after(int(wait * SECOND), partial(self._request, member))

    def taken(self, number: int, member: int, sent: bool) -> None:
        now, count = self.clock.now, self.counts[member]
        count.asked += 1
        if count.perfect.refill(now) >= 1.0:
            count.perfect.tokens -= 1.0
            count.inside += 1
        if sent:
            count.sent += 1
            self.sent_by[number][member] += 1
            second = now // SECOND
            count.by_second[second] = count.by_second.get(second, 0) + 1
            if count.quota.refill(now) >= 1.0:
                count.quota.tokens -= 1.0
            else:
                count.beyond += 1

    # What must never be.

    def _held_to(self, member: int) -> list[tuple[int, CapAccount]]:
        """What is carried on without a planner may be given again: that is measured, as beyond quotas."""
        accounts = enumerate(self.counts[member].accounts)
        return [(which, each) for which, each in accounts if self.plan.calm or not each.cap.is_soft]

    def _never(self, member: int, which: int, wrong: str) -> None:
        if wrong:
            self.broken.append(f"member {member}, cap {which}: {wrong}")

    def spent(
        self, member: int, sent: bool, before: list[tuple[float, float]], after: list[tuple[float, float]]
    ) -> None:
        """What a request took from each store of each cap at its forwarder: all of it, or nothing."""
        for which, account in self._held_to(member):
            leased, even = (b - a for b, a in zip(before[which], after[which], strict=True))
            if abs(leased + even - sent) > ROUNDING:
                self._never(member, which, f"{leased + even:.3f} units taken for {int(sent)}")
            if min(*after[which]) < -ROUNDING:
                self._never(member, which, "a store is under nothing")
            self._never(member, which, account.spent(self.clock.now, max(0.0, leased), max(0.0, even)))

    def sum_rights(self, member: int) -> None:
        """Rights that are out, over all forwarders, planners and epochs."""
        for which, account in self._held_to(member):
            rights = (forwarder.right(member, which) for forwarder in self.forwarders)
            self._never(member, which, account.rights(rights))

    def granted_by(self, ask: LeaseRequest, table: LeaseTable) -> None:
        if table.learns_until_ns > table.refilled_at_ns:
            return  # one that learns hands out nothing of its own
        for which, account in self._held_to(ask.tenant):
            if which == ask.limit_index:
                self._never(ask.tenant, which, account.table(table.tokens, table.outstanding_limit()))

    def one_owner(self, slot: int) -> None:
        owners = [planner.name for planner in self.planners if planner.owns(slot)]
        if len(owners) > 1:
            self.broken.append(f"slot {slot} has the owners {owners}")
