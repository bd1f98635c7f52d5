"""Forwarders and planners in virtual time: clocks that drift, late, lost and doubled words, kills, pauses.

At every step the rights that are out are summed, as each forwarder's own clock has them, and every unit that
is sent on is taken from a store of the whole limit. May not know: how planners decide.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ..judge.judge import Store
from ..planning.election import Out, Word
from ..planning.forwarder import Forwarder
from ..planning.planner import Planner
from ..planning.terms import BEAT, SECOND, Ask, Cap, Grant, Limit
from ..standins.crowd import draw_weights
from .clock import Clock

MS = 1_000_000
TICK = 100 * MS  # ns between a planner's ticks
DRIFT_MOST = 0.01  # part by which a clock runs fast or slow here; what is stated is twice that
ROUNDING = 1e-6  # units
LIMIT = Limit(20.0, 40.0)
QUOTA, CEILING = 0, 1  # which cap is which
OVER = 2.0  # times its quota that a member's ceiling is
QUOTA_PLANNED, CEILING_PLANNED = 0.9, 0.2  # most of a ceiling in even slices: they serve without planners


@dataclass(slots=True)
class Weather:
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

    def caps(self, member: int) -> tuple[Cap, Cap]:
        """A quota, and a ceiling of twice that."""
        ceiling = Limit(OVER * self.limit.rate, OVER * self.limit.burst)
        return Cap(self.limit, QUOTA_PLANNED, True), Cap(ceiling, self.planned, False)


class Process:
    """What a forwarder and a planner have in common: a clock of its own, kills, pauses."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.rate = 1.0 + world.rng.uniform(-DRIFT_MOST, DRIFT_MOST)
        self._offset = world.rng.randrange(10**15)
        self.alive, self.starts = True, 0
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
        self.alive, world = True, self.world
        seed = world.rng.getrandbits(32)
        self.planner = Planner(
            self.number, world.plan.planners, world.plan.caps, 1.0, self.now(), seed
        )
        self.every(TICK, self._tick, self.starts)

    def _tick(self) -> None:
        for slot, out in self.planner.tick(self.now()):
            self._send(slot, out)

    def _send(self, slot: int, out: Out) -> None:
        for to, word in out:
            for target in self.world.planners if to is None else [self.world.planners[to]]:
                if target is self:
                    self._hear(self.number, slot, word)
                else:
                    self.world.send(self, target, partial(target._hear, self.number, slot, word))

    def _hear(self, sender: int, slot: int, word: Word) -> None:
        self._send(slot, self.planner.heard(self.now(), sender, slot, word))

    def ask(self, forwarder: ForwarderProcess, ask: Ask) -> None:
        grant = self.planner.ask(self.now(), ask)
        if grant is not None:
            self.world.send(self, forwarder, partial(forwarder.granted, grant))
        else:
            self.world.send(self, forwarder, partial(forwarder.declined, self.number, ask.member))


class ForwarderProcess(Process):
    def __init__(self, world: World, number: int) -> None:
        super().__init__(world, f"f{number}")
        self.number = number
        self.pauses_for = 0  # ns, once it has asked next
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.alive, plan = True, self.world.plan
        self.forwarder = Forwarder(
            self.number, self.world.rng.getrandbits(32), plan.planners, plan.caps,
            lambda member: plan.spread,
        )
        self.every(BEAT, self._beat, self.starts)

    def _ask(self, planner: int, ask: Ask) -> None:
        target = self.world.planners[planner]
        self.world.send(self, target, partial(target.ask, self, ask))

    def _beat(self) -> None:
        for planner, ask in self.forwarder.beat(self.now()):
            self._ask(planner, ask)
        if self.pauses_for:
            self.world.pause(self, self.pauses_for)
            self.pauses_for = 0

    def granted(self, grant: Grant) -> None:
        if self.forwarder.granted(self.now(), grant):
            self.world.sum_rights(grant.member)

    def declined(self, planner: int, member: int) -> None:
        for to, ask in self.forwarder.declined(self.now(), planner, member):
            self._ask(to, ask)

    def take(self, member: int) -> None:
        taken = self.forwarder.take(self.now(), member, 1.0)
        self.world.taken(member, taken)
        self.world.sum_rights(member)

    def right(self, member: int, which: int) -> Limit:
        """What it may use of its lease now, by its own clock."""
        held = self.forwarder.members.get(member)
        if held is None or not self.alive or self.now() >= held.holders[which].until:
            return Limit(0.0, 0.0)
        return held.holders[which].right


@dataclass(slots=True)
class Count:
    """Of one member."""

    ceiling: Store
    quota: Store
    perfect: Store
    asked: int = 0
    sent: int = 0
    beyond: int = 0  # of these, beyond the quota
    inside: int = 0  # that a store of the whole quota would have let pass
    excess: float = 0.0  # units, the worst
    by_second: dict[int, int] = field(default_factory=dict)


class World:
    """Make it, set what goes wrong on its clock, `run` it; `broken` has what must never be."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.clock, self.weather = plan, Clock(), Weather()
        self.rng = random.Random(f"planned:{plan.seed}")
        self.apart: set[frozenset[str]] = set()
        self.broken: list[str] = []
        self.planners = [PlannerProcess(self, number) for number in range(plan.planners)]
        self.forwarders = [ForwarderProcess(self, number) for number in range(plan.forwarders)]
        now, limit = self.clock.now, plan.limit
        self.counts = [
            Count(Store(OVER * limit.rate, OVER * limit.burst, now), Store(limit.rate, limit.burst, now),
                  Store(limit.rate, limit.burst, now))
            for _ in range(plan.members)
        ]
        spread = min(plan.spread, plan.forwarders)
        self.ways = [[(m + i) % plan.forwarders for i in range(spread)] for m in range(plan.members)]
        self.weights = [draw_weights(self.rng, spread) for _ in range(plan.members)]
        for member in range(plan.members):
            self._request(member)

    def run(self, span: int) -> None:
        self.clock.run(self.clock.now + span)

    def send(self, source: Process, target: Process, call: Callable[[], None]) -> None:
        weather, rng = self.weather, self.rng
        if frozenset((source.name, target.name)) in self.apart:
            return
        for _ in range(1 + (rng.random() < weather.twice)):
            if rng.random() >= weather.loss:
                wait = rng.randint(weather.least, weather.most)
                wait += rng.randint(0, weather.later) * (rng.random() < weather.late)
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
        wait = self.rng.expovariate(self.plan.limit.rate * self.plan.asked)
        self.clock.after(int(wait * SECOND), partial(self._request, member))

    def taken(self, member: int, sent: bool) -> None:
        now, count = self.clock.now, self.counts[member]
        count.asked += 1
        if count.perfect.fill(now) >= 1.0:
            count.perfect.level -= 1.0
            count.inside += 1
        if sent:
            count.sent += 1
            second = now // SECOND
            count.by_second[second] = count.by_second.get(second, 0) + 1
            if count.quota.fill(now) >= 1.0:
                count.quota.level -= 1.0
            else:
                count.beyond += 1
            count.ceiling.fill(now)
            count.ceiling.level -= 1.0
            if -count.ceiling.level > count.excess + ROUNDING:
                count.excess = -count.ceiling.level
                self.broken.append(f"member {member}: {count.excess:.2f} units over its ceiling")

    def sum_rights(self, member: int) -> None:
        """The invariant: rights that are out, over all forwarders, planners and epochs."""
        for which, cap in enumerate(self.plan.caps(member)):
            if cap.soft:
                continue  # what is carried on may be given again: that is measured, as beyond quotas
            rights = [forwarder.right(member, which) for forwarder in self.forwarders]
            rate, burst = sum(r.rate for r in rights), sum(r.burst for r in rights)
            most = cap.limit  # of which the even slices hold the rest, whether they are used or not
            if rate > most.rate * cap.planned + ROUNDING or burst > most.burst * cap.planned + ROUNDING:
                told = f"rights to {rate:.2f} a second and {burst:.2f} at once are out"
                self.broken.append(f"member {member}, cap {which}: {told}")
