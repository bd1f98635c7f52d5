"""Simulates forwarders and planners in virtual time, with clock drift, faulty messages, kills and pauses.

At every step the world checks the formulas of `account.py` for all unexpired leases, by each forwarder's own
clock, and for all spent units, and that no slot has two owners at one instant. It does not depend on how
planners decide.
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
from .account import ROUNDING_UNITS, LimitAccount
from ..clock import Clock

MS = 1_000_000
TICK_NS = 100 * MS  # interval between a planner's ticks
MAX_DRIFT = 0.01  # usual relative drift of a clock; the documented limit is twice that
DEFAULT_LIMIT = Limit(20.0, 40.0)
QUOTA, HARD_LIMIT = 0, 1  # indexes of a tenant's limits
REQUEST_UNITS = 1.0
HARD_LIMIT_FACTOR = 2.0  # ratio of a tenant's hard limit to its quota
# Most of a hard limit is in static shares, which serve without planners.
QUOTA_PLANNED_PART, HARD_LIMIT_PLANNED_PART = 0.9, 0.2


@dataclass(slots=True)
class NetworkConditions:
    """Holds the faults of all messages; chances are from 0 to 1."""

    min_delay_ns: int = 200_000
    max_delay_ns: int = 3 * MS
    late_chance: float = 0.0  # chance of an additional delay
    max_late_ns: int = 2 * SECOND  # largest additional delay
    loss: float = 0.0
    duplication: float = 0.0


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """Holds the size of a world, and each tenant's limits and load.

    `load` is the ratio of a tenant's requests to its quota, and `hard_limit_factor` that of its hard limit to
    its quota. `has_even_traffic` spreads a tenant's traffic evenly over its forwarders. `has_no_faults` says
    that no message is lost and no process stops, so that quotas are checked as well.
    """

    seed: int
    forwarders: int = 4
    planners: int = 3
    tenants: int = 3
    limit: Limit = DEFAULT_LIMIT
    forwarders_per_tenant: int = 4
    load: float = 1.5
    hard_limit_planned_part: float = HARD_LIMIT_PLANNED_PART
    hard_limit_factor: float = HARD_LIMIT_FACTOR
    quota_planned_part: float = QUOTA_PLANNED_PART
    max_drift: float = MAX_DRIFT
    has_even_traffic: bool = False
    has_no_faults: bool = False

    def limits(self, tenant: int) -> tuple[TenantLimit, TenantLimit]:
        """Returns a tenant's quota and hard limit."""
        factor, count = self.hard_limit_factor, self.used_forwarders
        hard_limit = Limit(factor * self.limit.rate_per_s, factor * self.limit.burst_units)
        quota = TenantLimit(self.limit, self.quota_planned_part, True).fitted(REQUEST_UNITS, count)
        planned_part = self.hard_limit_planned_part
        return quota, TenantLimit(hard_limit, planned_part, False).fitted(REQUEST_UNITS, count)

    @property
    def used_forwarders(self) -> int:
        """Returns the number of forwarders that a tenant uses."""
        return min(self.forwarders_per_tenant, self.forwarders)

    def forwarders_of(self, tenant: int) -> list[int]:
        """Returns the forwarders that a tenant uses."""
        return [(tenant + i) % self.forwarders for i in range(self.used_forwarders)]

    def static_parts(self, tenant: int, forwarder: int) -> list[float]:
        """Returns a forwarder's static parts of a tenant's limits."""
        used = self.forwarders_of(tenant)
        return [static_part(tenant, forwarder, used, each, REQUEST_UNITS) for each in self.limits(tenant)]


class Process:
    """Holds what forwarders and planners have in common: an own clock, kills and pauses."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.clock_rate = 1.0 + world.rng.uniform(-1.0, 1.0) * world.settings.max_drift
        self._offset = world.rng.randrange(10**15)
        self.alive = True
        self.starts = 0
        self.paused_until = 0

    def now(self) -> int:
        """Returns the time of the process's clock, in ns."""
        return self._offset + int((self.world.clock.now) * self.clock_rate)

    def run_when_awake(self, call: Callable[[], None], start: int) -> None:
        """Makes a call now, or once a pause is over, or never if it belongs to an earlier start."""
        if not self.alive or start != self.starts:
            return
        if self.world.clock.now < self.paused_until:
            self.world.clock.at(self.paused_until, partial(self.run_when_awake, call, start))
        else:
            call()

    def repeat(self, interval_ns: int, call: Callable[[], None], start: int) -> None:
        """Makes a call at regular intervals of the process's clock."""

        def call_and_repeat() -> None:
            call()
            self.repeat(interval_ns, call, start)

        wait_ns = int(interval_ns / self.clock_rate)
        self.world.clock.after(wait_ns, partial(self.run_when_awake, call_and_repeat, start))


class PlannerProcess(Process):
    """Runs one planner."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world, f"p{number}")
        self.number = number
        self.start()

    def start(self) -> None:
        """Starts the planner without any state."""
        self.starts += 1
        self.alive = True
        world = self.world
        seed = world.rng.getrandbits(32)
        settings = world.settings
        self.planner = Planner(
            self.number, settings.planners, settings.limits, REQUEST_UNITS, self.now(), seed
        )
        self.repeat(TICK_NS, self._tick, self.starts)

    def _tick(self) -> None:
        for slot, outbox in self.planner.tick(self.now()):
            self._send(slot, outbox)

    def _send(self, slot: int, outbox: Outbox) -> None:
        for to, message in outbox:
            for target in self.world.planners if to is None else [self.world.planners[to]]:
                if target is self:
                    self._receive(self.number, slot, message)
                else:
                    self.world.send(self, target, partial(target._receive, self.number, slot, message))

    def _receive(self, sender: int, slot: int, message: ElectionMessage) -> None:
        self._send(slot, self.planner.on_message(self.now(), sender, slot, message))
        self.world.check_owner(slot)

    def owns(self, slot: int) -> bool:
        """Returns whether this planner is the owner of a slot at this instant."""
        return self.alive and self.planner.elections[slot].owns(self.now())

    def receive_request(self, forwarder: ForwarderProcess, request: LeaseRequest) -> None:
        """Answers a forwarder's request with a grant or a decline."""
        grant = self.planner.on_request(self.now(), request)
        if grant is not None:
            self.world.check_table(request, self.planner.tables[request.tenant, request.limit_index])
            self.world.send(self, forwarder, partial(forwarder.receive_grant, grant))
        else:
            decline = partial(forwarder.receive_decline, self.number, request.tenant)
            self.world.send(self, forwarder, decline)


class ForwarderProcess(Process):
    """Runs one forwarder."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world, f"f{number}")
        self.number = number
        self.pause_after_request_ns = 0  # pause that begins after the next heartbeat's requests
        self.start()

    def start(self) -> None:
        """Starts the forwarder without any state."""
        self.starts += 1
        self.alive = True
        settings = self.world.settings
        self.forwarder = Forwarder(
            self.number,
            self.world.rng.getrandbits(32),
            settings.planners,
            settings.limits,
            lambda tenant: settings.static_parts(tenant, self.number),
        )
        self.repeat(HEARTBEAT_NS, self._heartbeat, self.starts)

    def _send_request(self, planner: int, request: LeaseRequest) -> None:
        target = self.world.planners[planner]
        self.world.send(self, target, partial(target.receive_request, self, request))

    def _heartbeat(self) -> None:
        for planner, request in self.forwarder.heartbeat(self.now()):
            self._send_request(planner, request)
        if self.pause_after_request_ns:
            self.world.pause(self, self.pause_after_request_ns)
            self.pause_after_request_ns = 0

    def receive_grant(self, grant: Grant) -> None:
        """Handles a planner's grant."""
        for to, request in self.forwarder.on_grant(self.now(), grant):
            self._send_request(to, request)
        self.world.check_leases(grant.tenant)

    def receive_decline(self, planner: int, tenant: int) -> None:
        """Handles a planner's decline."""
        for to, request in self.forwarder.on_decline(self.now(), planner, tenant):
            self._send_request(to, request)

    def receive_client_request(self, tenant: int) -> None:
        """Admits or rejects a client's request, and checks the units that it took."""
        state = self.forwarder.tenants.get(tenant)
        if state is None:
            before = [(0.0, 0.0)] * len(self.world.settings.limits(tenant))
        else:
            for holder in state.holders:
                holder.refill(self.now())
            before = [(holder.tokens, holder.static_tokens) for holder in state.holders]
        admitted = self.forwarder.admit(self.now(), tenant, REQUEST_UNITS)
        after = [(holder.tokens, holder.static_tokens) for holder in self.forwarder.tenants[tenant].holders]
        self.world.record_request(self.number, tenant, admitted)
        self.world.check_spent(tenant, admitted, before, after)
        self.world.check_leases(tenant)

    def usable_limit(self, tenant: int, index: int) -> Limit:
        """Returns the limit of the unexpired lease, by the forwarder's own clock."""
        state = self.forwarder.tenants.get(tenant)
        if state is None or not self.alive or self.now() >= state.holders[index].expires_at_ns:
            return Limit(0.0, 0.0)
        return state.holders[index].limit


@dataclass(slots=True)
class Count:
    """Counts the requests of one tenant.

    `quota` is charged with forwarded requests. `requested_quota` is charged with the requests that it admits,
    which `admissible` counts. `beyond` counts the requests forwarded beyond the quota.
    """

    accounts: tuple[LimitAccount, ...]
    quota: TokenBucket
    requested_quota: TokenBucket
    requested: int = 0
    forwarded: int = 0
    beyond: int = 0
    admissible: int = 0
    by_second: dict[int, int] = field(default_factory=dict)

    @property
    def excess_units(self) -> float:
        """Returns the largest number of units that were spent beyond a hard limit."""
        return max(account.excess_units for account in self.accounts if not account.limit.is_soft)


class World:
    """Runs forwarders and planners; callers schedule faults on its `clock`.

    `violations` says what did not hold.
    """

    def __init__(self, settings: WorldSettings) -> None:
        self.settings = settings
        self.clock = Clock()
        self.conditions = NetworkConditions()
        self.rng = random.Random(f"planned:{settings.seed}")
        self.severed_links: set[frozenset[str]] = set()  # pairs of process names
        self.violations: list[str] = []
        self.planners = [PlannerProcess(self, number) for number in range(settings.planners)]
        self.forwarders = [ForwarderProcess(self, number) for number in range(settings.forwarders)]
        now, limit = self.clock.now, settings.limit
        self.counts = [
            Count(
                tuple(LimitAccount(each, now) for each in settings.limits(tenant)),
                TokenBucket(limit.rate_per_s, limit.burst_units, now),
                TokenBucket(limit.rate_per_s, limit.burst_units, now),
            )
            for tenant in range(settings.tenants)
        ]
        self.tenant_forwarders = [settings.forwarders_of(tenant) for tenant in range(settings.tenants)]
        used = settings.used_forwarders
        self.weights = [  # of each tenant's forwarders
            [1.0] * used if settings.has_even_traffic else draw_weights(self.rng, used)
            for _ in range(settings.tenants)
        ]
        self.forwarded_by = [[0] * settings.tenants for _ in range(settings.forwarders)]
        for tenant in range(settings.tenants):
            self._send_client_request(tenant)

    def run(self, span_ns: int) -> None:
        """Runs the world for a time."""
        self.clock.run(self.clock.now + span_ns)

    def send(self, source: Process, target: Process, call: Callable[[], None]) -> None:
        """Delivers a message by a call at its target; it may be lost, duplicated or late."""
        conditions, rng = self.conditions, self.rng
        if frozenset((source.name, target.name)) in self.severed_links:
            return
        for _ in range(1 + (rng.random() < conditions.duplication)):
            if rng.random() >= conditions.loss:
                wait_ns = rng.randint(conditions.min_delay_ns, conditions.max_delay_ns)
                wait_ns += rng.randint(0, conditions.max_late_ns) * (rng.random() < conditions.late_chance)
                self.clock.after(wait_ns, partial(target.run_when_awake, call, target.starts))

    def kill(self, process: Process) -> None:
        """Kills a process at once."""
        process.alive = False

    def restart(self, process: PlannerProcess | ForwarderProcess) -> None:
        """Starts a process that was killed."""
        if not process.alive:
            process.start()

    def pause(self, process: Process, span_ns: int) -> None:
        """Pauses a process for a time; calls that arrive meanwhile are deferred."""
        process.paused_until = self.clock.now + span_ns

    def _send_client_request(self, tenant: int) -> None:
        """Sends a tenant's request and schedules the next one."""
        number = self.rng.choices(self.tenant_forwarders[tenant], self.weights[tenant])[0]
        target = self.forwarders[number]
        receive = partial(target.receive_client_request, tenant)
        self.clock.after(0, partial(target.run_when_awake, receive, target.starts))
        wait_s = self.rng.expovariate(self.settings.limit.rate_per_s * self.settings.load)
        self.clock.after(int(wait_s * SECOND), partial(self._send_client_request, tenant))

    def record_request(self, number: int, tenant: int, forwarded: bool) -> None:
        """Records a request at a forwarder, and whether it was forwarded."""
        now, count = self.clock.now, self.counts[tenant]
        count.requested += 1
        if count.requested_quota.refill(now) >= 1.0:
            count.requested_quota.tokens -= 1.0
            count.admissible += 1
        if forwarded:
            count.forwarded += 1
            self.forwarded_by[number][tenant] += 1
            second = now // SECOND
            count.by_second[second] = count.by_second.get(second, 0) + 1
            if count.quota.refill(now) >= 1.0:
                count.quota.tokens -= 1.0
            else:
                count.beyond += 1

    def _checked_accounts(self, tenant: int) -> list[tuple[int, LimitAccount]]:
        """Returns the limits that are checked, with their indexes.

        With faults, a quota is not checked: a lease that is used further without a planner may be granted
        again. Such use is counted as beyond the quota.
        """
        accounts = enumerate(self.counts[tenant].accounts)
        return [
            (index, each) for index, each in accounts if self.settings.has_no_faults or not each.limit.is_soft
        ]

    def _add_violation(self, tenant: int, index: int, text: str) -> None:
        if text:
            self.violations.append(f"tenant {tenant}, limit {index}: {text}")

    def check_spent(
        self,
        tenant: int,
        forwarded: bool,
        before: list[tuple[float, float]],
        after: list[tuple[float, float]],
    ) -> None:
        """Checks the tokens that a request took at its forwarder: all units of it, or none."""
        for index, account in self._checked_accounts(tenant):
            leased, static = (b - a for b, a in zip(before[index], after[index], strict=True))
            if abs(leased + static - forwarded) > ROUNDING_UNITS:
                text = f"a request took {leased + static:.3f} units, must take {int(forwarded)}"
                self._add_violation(tenant, index, text)
            if min(*after[index]) < -ROUNDING_UNITS:
                self._add_violation(tenant, index, "a token bucket is below 0")
            text = account.check_spent(self.clock.now, max(0.0, leased), max(0.0, static))
            self._add_violation(tenant, index, text)

    def check_leases(self, tenant: int) -> None:
        """Checks the unexpired leases over all forwarders, planners and epochs."""
        for index, account in self._checked_accounts(tenant):
            leases = (forwarder.usable_limit(tenant, index) for forwarder in self.forwarders)
            self._add_violation(tenant, index, account.check_leases(leases))

    def check_table(self, request: LeaseRequest, table: LeaseTable) -> None:
        """Checks the lease table that granted a request."""
        if table.learns_until_ns > table.refilled_at_ns:
            return  # a table that still learns of earlier leases grants nothing of its own
        for index, account in self._checked_accounts(request.tenant):
            if index == request.limit_index:
                text = account.check_table(table.tokens, table.outstanding_limit())
                self._add_violation(request.tenant, index, text)

    def check_owner(self, slot: int) -> None:
        """Checks that a slot has at most one owner."""
        owners = [planner.name for planner in self.planners if planner.owns(slot)]
        if len(owners) > 1:
            self.violations.append(f"slot {slot} has the owners {owners}")
