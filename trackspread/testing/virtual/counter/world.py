"""Gateways that share a counter, in virtual time: the real leases and the real decision module in each, the
stand-in counter between them, and one store for each member kept exactly beside them.

The invariant, at every change: over all gateways that live, shares of a member's ceiling sum to 1 at most.
The account: what all gateways sent on never takes the one store of a ceiling below nothing.

May know: everything about its world; faults are plain attributes. May not know: what it decides or why.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from ....counter.commands import CounterError
from ....counter.commands import ErrorReply, commands_for, parse_reply
from ....counter.quota_client import Action as CounterAction
from ....counter.quota_client import QuotaClient
from ....counter.calls import Call
from ....decide.time_units import MILLISECOND, SECOND
from ....decide.broker import Broker
from ....decide.actions import Action, RequestAllocation, SetTimer, StartAttempt
from ....decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from ....decide.events import AllocationChanged, AttemptEnded, Event, Outcome, RequestArrived, TimerFired
from ....decide.report import quota_units
from ....decide.settings import Plan
from ...standins.counter import CommandError, Shard
from ..clock import START, Clock
from ..plain_settings import plain_settings

ROUNDING = 1e-6  # of a share; units: sums of floats
CLOCK_PART = 0.01  # by which a gateway's clock runs fast or slow at most here: two differ by the stated 2%
TOLD_MS = 1_700_000_000_000  # ms: the counter's clock at the start
ANSWER = 5 * MILLISECOND  # ns from sending a request on to its answer


@dataclass(frozen=True, slots=True)
class Plant:
    """The world's size and figures. `asked`: of a member's quota, over all gateways."""

    seed: int
    gateways: int = 4
    members: int = 3
    shards: int = 1
    partitions: int = 2
    rate: float = 10.0
    burst: float = 10.0
    over: float = 2.0  # the ceiling's rate and burst, of the quota's
    spread: int = 3
    asked: float = 0.8
    open_limit: int = 0

    def plan(self) -> Plan:
        return Plan(
            "team",
            self.rate,
            self.burst,
            self.open_limit,
            1.0,
            0.0,
            1.0,
            self.rate * self.over,
            self.burst * self.over,
            0.0,
        )


@dataclass(slots=True)
class Store:
    """One store for all gateways, filled by the world's clock at a rate that the fastest clock allows."""

    rate: float
    burst: float
    level: float
    at: int = START

    def fill(self, now: int) -> float:
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        return self.level


@dataclass(slots=True)
class Count:
    """Of one member. `inside`: what one store of the quota would have let pass of the same requests."""

    quota: Store
    ceiling: Store
    offered: Store
    asked: int = 0
    sent: int = 0
    beyond: int = 0
    inside: int = 0
    excess: float = 0.0  # units by which the ceiling's store went below nothing, at most


@dataclass(slots=True, eq=False)
class Gateway:
    """One life of one gateway. `speed`: of its clock."""

    number: int
    speed: float
    born: int
    client: QuotaClient
    module: Broker
    alive: bool = True
    paused_until: int = 0
    hard: dict[int, float] = field(default_factory=dict)
    open: dict[int, int] = field(default_factory=dict)  # request to member

    def now(self, world: int) -> int:
        return START + int((world - self.born) * self.speed) + self.born - START


class World:
    """Make it, put faults on its clock, `run` it; `broken` says what did not hold."""

    def __init__(self, plant: Plant) -> None:
        self.plant, self.rng, self.clock = plant, random.Random(f"counted:{plant.seed}"), Clock()
        self.shards = [Shard(number) for number in range(plant.shards)]
        self.broken: list[str] = []
        self.calls = 0
        self.requests = 0
        self.cut: set[int] = set()  # gateways that reach no counter
        # chances
        self.lost_asks = 0.0
        self.lost_answers = 0.0
        self.slow = 0  # ns more that an answer takes, at most
        self.apply_late = 0  # ns more until a call is carried out, at most
        self.cuts_asks = True  # whether a cut lets calls through whose answers are lost
        plan = plant.plan()
        self.members = [self.rng.getrandbits(40) for _ in range(plant.members)]
        self.first = [self.rng.randrange(plant.gateways) for _ in self.members]
        self.spread = min(plant.spread, plant.gateways)
        self.weights = [self._weights() for _ in self.members]
        self.asking = True
        fast = 1.0 + CLOCK_PART
        self.counts = {
            member: Count(
                Store(plan.rate_per_s * fast, plan.burst_units, plan.burst_units),
                Store(plan.hard_limit_per_s * fast, plan.hard_limit_burst_units, plan.hard_limit_burst_units),
                Store(plan.rate_per_s, plan.burst_units, plan.burst_units),
            )
            for member in self.members
        }
        self._lives: Counter[int] = Counter()
        self._request = 0
        self.gateways = [self._born(number) for number in range(plant.gateways)]
        self.wake()

    def _weights(self) -> list[float]:
        return [self.rng.expovariate(1.0) + 0.05 for _ in range(self.spread)]

    # Gateways.

    def _born(self, number: int) -> Gateway:
        self._lives[number] += 1
        plant, now = self.plant, self.clock.now
        settings = plain_settings(
            plant.plan(),
            gateway_index=number,
            gateway_count=plant.gateways,
            may_gossip=False,
            has_leased_quotas=True,
        )
        seed = self.rng.getrandbits(32)
        module = Broker(settings, seed, now)
        life = (now - START) // MILLISECOND + 1
        told = partial(quota_units, module.quota)
        client = QuotaClient(settings, plant.partitions, life, seed, now, told)
        made = Gateway(
            number,
            1.0 + self.rng.uniform(-CLOCK_PART, CLOCK_PART),
            now,
            client,
            module,
        )
        entries = tuple(Backend(n, 0, 0, 0, Health.READY, 1.0, 0) for n in (1, 2, 3))
        self._handle(made, EndpointUpdate(EndpointUpdateKind.FULL, 1, entries))
        self._tick(made)
        return made

    def kill(self, number: int) -> None:
        self.gateways[number].alive = False

    def revive(self, number: int) -> None:
        if not self.gateways[number].alive:
            self.gateways[number] = self._born(number)

    def pause(self, number: int, span: int) -> None:
        """Its loop stands still; what comes meanwhile waits."""
        self.gateways[number].paused_until = max(self.gateways[number].paused_until, self.clock.now + span)

    def _later(self, gateway: Gateway, wait: int, call: partial[None]) -> None:
        """On the gateway's loop, after `wait` of the world's clock."""
        self.clock.after(wait, partial(self._on_loop, gateway, call))

    def _on_loop(self, gateway: Gateway, call: partial[None]) -> None:
        if not gateway.alive:
            return
        if gateway.paused_until > self.clock.now:
            self.clock.at(gateway.paused_until, partial(self._on_loop, gateway, call))
        else:
            call()

    def _tick(self, gateway: Gateway) -> None:
        now = gateway.now(self.clock.now)
        self._do(gateway, gateway.client.tick(now))
        self._later(gateway, max(1, gateway.client.due_ns - now), partial(self._tick, gateway))

    def _do(self, gateway: Gateway, actions: list[CounterAction]) -> None:
        for action in actions:
            if isinstance(action, Call):
                self._send(gateway, action)
            else:
                gateway.hard[action.tenant] = action.hard_limit_share
                self._handle(gateway, action)
                self._check(action)

    def _check(self, told: AllocationChanged) -> None:
        now, total = self.clock.now, 0.0
        for gateway in self.gateways:
            if gateway.alive and gateway.paused_until <= now:
                total += gateway.hard.get(told.tenant, 0.0)
        if total > 1.0 + ROUNDING and len(self.broken) < 10:
            held = {g.number: round(g.hard.get(told.tenant, 0.0), 3) for g in self.gateways if g.alive}
            at = (now - START) / SECOND
            self.broken.append(f"at {at:.3f} s: shares of {told.tenant:x} sum to {total:.4f}: {held}")

    # The counter.

    def shard(self, partition: int) -> int:
        return partition % len(self.shards)

    def _send(self, gateway: Gateway, call: Call) -> None:
        self.calls += 1
        number = gateway.number
        cut = number in self.cut
        if (cut and self.cuts_asks) or self.rng.random() < self.lost_asks:
            return
        wait = self.rng.randint(100_000, MILLISECOND) + self.rng.randint(0, self.apply_late)
        silent = cut or self.rng.random() < self.lost_answers
        self.clock.after(wait, partial(self._apply, gateway, call, silent))

    def _apply(self, gateway: Gateway, call: Call, silent: bool) -> None:
        shard = self.shards[self.shard(call.partition)]
        now = TOLD_MS + (self.clock.now - START) // MILLISECOND
        token = b"%d" % self.rng.getrandbits(48)
        results = []
        for words in commands_for(call, "ts", gateway.number, token):
            result = shard.execute(gateway.number, words, now)
            results.append(ErrorReply(str(result)) if isinstance(result, CommandError) else result)
        if silent:
            return
        wait = self.rng.randint(100_000, MILLISECOND) + self.rng.randint(0, self.slow)
        self._later(gateway, wait, partial(self._answered, gateway, call, results))

    def _answered(self, gateway: Gateway, call: Call, results: list[object]) -> None:
        now = gateway.now(self.clock.now)
        try:
            told = parse_reply(call, results)
        except CounterError:
            self._do(gateway, gateway.client.on_failure(now, call.call_id))
        else:
            self._do(gateway, gateway.client.on_reply(now, call.call_id, told))

    # Requests.

    def wake(self) -> None:
        """Members begin to ask, at first or after `asking` was False."""
        for index in range(len(self.members)):
            self._next(index)

    def _next(self, index: int) -> None:
        if self.asking:
            rate = self.plant.rate * self.plant.asked
            wait = self.rng.expovariate(rate)
            self.clock.after(int(wait * SECOND) + 1, partial(self._ask, index))

    def _ask(self, index: int) -> None:
        self._next(index)
        member = self.members[index]
        way = self.rng.choices(range(self.spread), self.weights[index])[0]
        gateway = self.gateways[(self.first[index] + way) % self.plant.gateways]
        if not gateway.alive:  # its client goes to the next one that answers
            alive = [g for g in self.gateways if g.alive]
            if not alive:
                return
            gateway = self.rng.choice(alive)
        count = self.counts[member]
        count.asked += 1
        self.requests += 1
        if count.offered.fill(self.clock.now) >= 1.0:
            count.offered.level -= 1.0
            count.inside += 1
        self._on_loop(gateway, partial(self._arrive, gateway, index))

    def _arrive(self, gateway: Gateway, index: int) -> None:
        member, now = self.members[index], gateway.now(self.clock.now)
        self._request += 1
        gateway.open[self._request] = member
        first = self.first[index]
        self._do(gateway, gateway.client.before_request(now, member, 0, 1.0, self.spread, first))
        arrival = RequestArrived(self._request, 0, 0, member, now + 3 * SECOND, 1.0, self.spread, first, 0)
        self._handle(gateway, arrival)

    def _handle(self, gateway: Gateway, event: Event) -> None:
        for action in gateway.module.handle(gateway.now(self.clock.now), event):
            self._act(gateway, action)

    def _act(self, gateway: Gateway, action: Action) -> None:
        match action:
            case StartAttempt(request, backend, _):
                self._sent_on(gateway.open.pop(request))
                end = AttemptEnded(request, True, 0, backend, 0, Outcome.OK, ANSWER, 0, ())
                self._later(gateway, ANSWER, partial(self._handle, gateway, end))
            case SetTimer(after, token):
                self._later(gateway, after, partial(self._handle, gateway, TimerFired(token)))
            case RequestAllocation(customer):
                self._do(gateway, gateway.client.on_shortage(gateway.now(self.clock.now), customer))
            case _:
                gateway.open.pop(getattr(action, "request", 0), None)

    def _sent_on(self, member: int) -> None:
        count = self.counts[member]
        count.sent += 1
        if count.quota.fill(self.clock.now) >= 1.0:
            count.quota.level -= 1.0
        else:
            count.beyond += 1
        count.ceiling.fill(self.clock.now)
        count.ceiling.level -= 1.0
        count.excess = max(count.excess, -count.ceiling.level)
        if count.ceiling.level < -ROUNDING and len(self.broken) < 10:
            at, over = (self.clock.now - START) / SECOND, -count.ceiling.level
            self.broken.append(f"at {at:.3f} s: {member:x} is {over:.3f} units over its ceiling")

    def run(self, span: int) -> None:
        self.clock.run(self.clock.now + span)
