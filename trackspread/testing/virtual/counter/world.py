"""Simulates gateways that share a counter, in virtual time, and checks hard limits at every step.

Each gateway has the real leases and the real decision module, the counter is a stand-in, and exact token
buckets for each tenant serve as a reference. Two conditions are checked:

- At every change, the shares of a tenant's hard limit sum to at most 1 over all running gateways.
- The requests that all gateways forward never take the hard limit's reference bucket below zero.

Faults are plain attributes. The module does not depend on what the leases decide or why.
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

ROUNDING = 1e-6  # tolerance in shares and units, because floats are summed
MAX_CLOCK_DRIFT = 0.01  # of one gateway's clock, so that two clocks differ by at most the documented 2%
COUNTER_START_MS = 1_700_000_000_000  # counter's clock at the start
BACKEND_REPLY_NS = 5 * MILLISECOND  # time from forwarding a request to its reply
MAX_VIOLATIONS = 10  # number of violations that one world reports


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """Holds the size of a world, and its tenants' limits and load.

    `load` is the ratio of a tenant's requests over all gateways to its quota. `hard_limit_factor` is the
    ratio of the hard limit's rate and burst to those of the quota.
    """

    seed: int
    gateways: int = 4
    tenants: int = 3
    shards: int = 1
    partitions: int = 2
    rate_per_s: float = 10.0
    burst_units: float = 10.0
    hard_limit_factor: float = 2.0
    gateways_per_tenant: int = 3
    load: float = 0.8
    concurrency_limit: int = 0

    def plan(self) -> Plan:
        """Returns the plan of all tenants."""
        return Plan(
            "team",
            self.rate_per_s,
            self.burst_units,
            self.concurrency_limit,
            1.0,
            0.0,
            1.0,
            self.rate_per_s * self.hard_limit_factor,
            self.burst_units * self.hard_limit_factor,
            0.0,
        )


@dataclass(slots=True)
class ReferenceBucket:
    """Holds one token bucket for all gateways, refilled by the world's clock."""

    rate_per_s: float
    burst_units: float
    tokens: float
    updated_at: int = START

    def refill(self, now: int) -> float:
        """Adds the tokens that the rate yields until a time in ns, and returns the tokens."""
        refilled = self.tokens + self.rate_per_s * (now - self.updated_at) / SECOND
        self.tokens = min(self.burst_units, refilled)
        self.updated_at = now
        return self.tokens


@dataclass(slots=True)
class Count:
    """Counts the requests of one tenant.

    `quota` and `hard_limit` are charged with forwarded requests; they refill at a rate that the fastest clock
    allows. `requested_quota` is charged with requests that it admits, and `admissible` counts these. `beyond`
    counts the requests forwarded beyond the quota.
    """

    quota: ReferenceBucket
    hard_limit: ReferenceBucket
    requested_quota: ReferenceBucket
    requested: int = 0
    forwarded: int = 0
    beyond: int = 0
    admissible: int = 0
    excess_units: float = 0.0  # largest number of units by which `hard_limit` was overdrawn


@dataclass(slots=True, eq=False)
class Gateway:
    """Holds one process of one gateway."""

    number: int
    clock_rate: float  # rate of its clock, relative to the world's
    started_at: int
    client: QuotaClient
    broker: Broker
    alive: bool = True
    paused_until: int = 0
    hard_limit_shares: dict[int, float] = field(default_factory=dict)  # by tenant
    open_requests: dict[int, int] = field(default_factory=dict)  # tenants by request

    def now(self, world_time: int) -> int:
        """Returns the time of the gateway's clock at a time of the world, both in ns."""
        return START + int((world_time - self.started_at) * self.clock_rate) + self.started_at - START


class World:
    """Runs the gateways; callers schedule faults on its `clock`, and `violations` says what did not hold."""

    def __init__(self, settings: WorldSettings) -> None:
        self.settings, self.rng, self.clock = settings, random.Random(f"counted:{settings.seed}"), Clock()
        self.shards = [Shard(number) for number in range(settings.shards)]
        self.violations: list[str] = []
        self.calls = 0  # calls to the counter
        self.requests = 0
        self.cut_off: set[int] = set()  # gateways whose calls to the counter get no reply
        self.request_loss = 0.0  # chance that a call is lost
        self.reply_loss = 0.0  # chance that a reply is lost
        self.max_reply_delay_ns = 0  # additional delay of replies
        self.max_call_delay_ns = 0  # additional delay until the counter executes a call
        self.cut_loses_calls = True  # otherwise calls of `cut_off` gateways arrive, and only replies are lost
        plan = settings.plan()
        self.tenants = [self.rng.getrandbits(40) for _ in range(settings.tenants)]
        self.first_gateways = [self.rng.randrange(settings.gateways) for _ in self.tenants]
        self.gateways_per_tenant = min(settings.gateways_per_tenant, settings.gateways)
        self.weights = [self._draw_weights() for _ in self.tenants]  # of each tenant's gateways
        self.has_load = True
        fast = 1.0 + MAX_CLOCK_DRIFT
        hard_limit_burst = plan.hard_limit_burst_units
        self.counts = {
            tenant: Count(
                ReferenceBucket(plan.rate_per_s * fast, plan.burst_units, plan.burst_units),
                ReferenceBucket(plan.hard_limit_per_s * fast, hard_limit_burst, hard_limit_burst),
                ReferenceBucket(plan.rate_per_s, plan.burst_units, plan.burst_units),
            )
            for tenant in self.tenants
        }
        self._starts: Counter[int] = Counter()  # by gateway
        self._last_request = 0
        self.gateways = [self._start(number) for number in range(settings.gateways)]
        self.start_load()

    def _draw_weights(self) -> list[float]:
        return [self.rng.expovariate(1.0) + 0.05 for _ in range(self.gateways_per_tenant)]

    def _start(self, number: int) -> Gateway:
        self._starts[number] += 1
        now = self.clock.now
        settings = plain_settings(
            self.settings.plan(),
            gateway_index=number,
            gateway_count=self.settings.gateways,
            may_gossip=False,
            has_leased_quotas=True,
        )
        seed = self.rng.getrandbits(32)
        broker = Broker(settings, seed, now)
        incarnation = (now - START) // MILLISECOND + 1
        usage = partial(quota_units, broker.quota)
        client = QuotaClient(settings, self.settings.partitions, incarnation, seed, now, usage)
        gateway = Gateway(
            number,
            1.0 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT),
            now,
            client,
            broker,
        )
        backends = tuple(Backend(n, 0, 0, 0, Health.READY, 1.0, 0) for n in (1, 2, 3))
        self._handle(gateway, EndpointUpdate(EndpointUpdateKind.FULL, 1, backends))
        self._tick(gateway)
        return gateway

    def kill(self, number: int) -> None:
        """Kills a gateway's process at once."""
        self.gateways[number].alive = False

    def restart(self, number: int) -> None:
        """Starts a gateway that was killed."""
        if not self.gateways[number].alive:
            self.gateways[number] = self._start(number)

    def pause(self, number: int, span_ns: int) -> None:
        """Pauses a gateway's event loop for some time; calls that arrive meanwhile are deferred."""
        self.gateways[number].paused_until = max(self.gateways[number].paused_until, self.clock.now + span_ns)

    def _call_later(self, gateway: Gateway, wait_ns: int, call: partial[None]) -> None:
        """Makes a call on the gateway's event loop after `wait_ns` of the world's clock."""
        self.clock.after(wait_ns, partial(self._run_on_loop, gateway, call))

    def _run_on_loop(self, gateway: Gateway, call: partial[None]) -> None:
        if not gateway.alive:
            return
        if gateway.paused_until > self.clock.now:
            self.clock.at(gateway.paused_until, partial(self._run_on_loop, gateway, call))
        else:
            call()

    def _tick(self, gateway: Gateway) -> None:
        now = gateway.now(self.clock.now)
        self._perform(gateway, gateway.client.tick(now))
        self._call_later(gateway, max(1, gateway.client.due_ns - now), partial(self._tick, gateway))

    def _perform(self, gateway: Gateway, actions: list[CounterAction]) -> None:
        for action in actions:
            if isinstance(action, Call):
                self._send(gateway, action)
            else:
                gateway.hard_limit_shares[action.tenant] = action.hard_limit_share
                self._handle(gateway, action)
                self._check_shares(action)

    def _check_shares(self, event: AllocationChanged) -> None:
        now, tenant, total = self.clock.now, event.tenant, 0.0
        for gateway in self.gateways:
            if gateway.alive and gateway.paused_until <= now:
                total += gateway.hard_limit_shares.get(tenant, 0.0)
        if total > 1.0 + ROUNDING and len(self.violations) < MAX_VIOLATIONS:
            held = {
                g.number: round(g.hard_limit_shares.get(tenant, 0.0), 3) for g in self.gateways if g.alive
            }
            at = (now - START) / SECOND
            self.violations.append(
                f"at {at:.3f} s: hard limit shares of tenant {tenant:x} sum to {total:.4f}: {held}"
            )

    def _send(self, gateway: Gateway, call: Call) -> None:
        self.calls += 1
        is_cut_off = gateway.number in self.cut_off
        if (is_cut_off and self.cut_loses_calls) or self.rng.random() < self.request_loss:
            return
        wait_ns = self.rng.randint(100_000, MILLISECOND) + self.rng.randint(0, self.max_call_delay_ns)
        loses_reply = is_cut_off or self.rng.random() < self.reply_loss
        self.clock.after(wait_ns, partial(self._execute, gateway, call, loses_reply))

    def _execute(self, gateway: Gateway, call: Call, loses_reply: bool) -> None:
        shard = self.shards[call.partition % len(self.shards)]
        now = COUNTER_START_MS + (self.clock.now - START) // MILLISECOND
        token = b"%d" % self.rng.getrandbits(48)
        results = []
        for words in commands_for(call, "ts", gateway.number, token):
            result = shard.execute(gateway.number, words, now)
            results.append(ErrorReply(str(result)) if isinstance(result, CommandError) else result)
        if loses_reply:
            return
        wait_ns = self.rng.randint(100_000, MILLISECOND) + self.rng.randint(0, self.max_reply_delay_ns)
        self._call_later(gateway, wait_ns, partial(self._receive_reply, gateway, call, results))

    def _receive_reply(self, gateway: Gateway, call: Call, results: list[object]) -> None:
        now = gateway.now(self.clock.now)
        try:
            reply = parse_reply(call, results)
        except CounterError:
            self._perform(gateway, gateway.client.on_failure(now, call.call_id))
        else:
            self._perform(gateway, gateway.client.on_reply(now, call.call_id, reply))

    def start_load(self) -> None:
        """Starts the tenants' requests, at first or after `has_load` was False."""
        for index in range(len(self.tenants)):
            self._schedule_request(index)

    def _schedule_request(self, index: int) -> None:
        if self.has_load:
            rate_per_s = self.settings.rate_per_s * self.settings.load
            wait_s = self.rng.expovariate(rate_per_s)
            self.clock.after(int(wait_s * SECOND) + 1, partial(self._send_request, index))

    def _send_request(self, index: int) -> None:
        self._schedule_request(index)
        tenant = self.tenants[index]
        offset = self.rng.choices(range(self.gateways_per_tenant), self.weights[index])[0]
        gateway = self.gateways[(self.first_gateways[index] + offset) % self.settings.gateways]
        if not gateway.alive:  # the client then chooses a running gateway
            alive = [g for g in self.gateways if g.alive]
            if not alive:
                return
            gateway = self.rng.choice(alive)
        count = self.counts[tenant]
        count.requested += 1
        self.requests += 1
        if count.requested_quota.refill(self.clock.now) >= 1.0:
            count.requested_quota.tokens -= 1.0
            count.admissible += 1
        self._run_on_loop(gateway, partial(self._arrive, gateway, index))

    def _arrive(self, gateway: Gateway, index: int) -> None:
        tenant, now = self.tenants[index], gateway.now(self.clock.now)
        self._last_request += 1
        number, count, first = self._last_request, self.gateways_per_tenant, self.first_gateways[index]
        gateway.open_requests[number] = tenant
        self._perform(gateway, gateway.client.before_request(now, tenant, 0, 1.0, count, first))
        arrival = RequestArrived(number, 0, 0, tenant, now + 3 * SECOND, 1.0, count, first, 0)
        self._handle(gateway, arrival)

    def _handle(self, gateway: Gateway, event: Event) -> None:
        for action in gateway.broker.handle(gateway.now(self.clock.now), event):
            self._perform_action(gateway, action)

    def _perform_action(self, gateway: Gateway, action: Action) -> None:
        match action:
            case StartAttempt(request, backend, _):
                self._record_forwarded(gateway.open_requests.pop(request))
                ended = AttemptEnded(request, True, 0, backend, 0, Outcome.OK, BACKEND_REPLY_NS, 0, ())
                self._call_later(gateway, BACKEND_REPLY_NS, partial(self._handle, gateway, ended))
            case SetTimer(after_ns, token):
                self._call_later(gateway, after_ns, partial(self._handle, gateway, TimerFired(token)))
            case RequestAllocation(tenant):
                self._perform(gateway, gateway.client.on_shortage(gateway.now(self.clock.now), tenant))
            case _:
                gateway.open_requests.pop(getattr(action, "request", 0), None)

    def _record_forwarded(self, tenant: int) -> None:
        count = self.counts[tenant]
        count.forwarded += 1
        if count.quota.refill(self.clock.now) >= 1.0:
            count.quota.tokens -= 1.0
        else:
            count.beyond += 1
        count.hard_limit.refill(self.clock.now)
        count.hard_limit.tokens -= 1.0
        count.excess_units = max(count.excess_units, -count.hard_limit.tokens)
        if count.hard_limit.tokens < -ROUNDING and len(self.violations) < MAX_VIOLATIONS:
            at, excess = (self.clock.now - START) / SECOND, -count.hard_limit.tokens
            self.violations.append(
                f"at {at:.3f} s: tenant {tenant:x} is {excess:.3f} units over its hard limit"
            )

    def run(self, span_ns: int) -> None:
        """Runs the world for a time."""
        self.clock.run(self.clock.now + span_ns)
