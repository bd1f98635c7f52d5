"""Every decision of a gateway: which customers' requests go on, to which backend, and which are refused.

Read `settings.py`, `events.py` and `actions.py` first. The mechanism is a QoS broker's: a table of
commitments, a closed queuing model (`model.py`) and its seven cases that grant each customer a cap on
requests in flight, beside a companion bucket (`quota.py`) and the choice among backends (`load_balancer.py`).
`docs/design/decisions.md` says what was kept of the paper, what was changed and when each exception acts.
"""

from __future__ import annotations

import random
from dataclasses import replace
from math import ceil, inf, sqrt

from .actions import (
    Action,
    Fail,
    LogMessage,
    Reject,
    RequestAllocation,
    SendToPeers,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from .backends import EndpointUpdate, EndpointUpdateKind
from .events import (
    NOT_EXECUTED,
    AllocationChanged,
    AttemptEnded,
    ClassesChanged,
    ClientDisconnected,
    CounterAnswered,
    Event,
    FleetChanged,
    Outcome,
    PeerMessage,
    PlansChanged,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from .settings import DeduplicationScope, Idempotency, Settings
from .load_balancer import BackendFilter, LoadBalancer
from .peer_messages import QuotaMessageKind, is_quota_message
from .model import TARGET, TICK, QueueModel, seven_cases
from .neighbours import Neighbours
from .quota import FRESH, OPEN, Quota
from .commitment import Commitment
from .decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean
from .open_request import OpenRequest
from .tenant_account import TenantAccount
from .time_units import SECOND

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

    def __init__(self, settings: Settings, seed: int, now: int, quota: Quota | None = None) -> None:
        self.settings, self.rng, self.model = settings, random.Random(seed), QueueModel(settings)
        self.quota = quota or Quota(settings, seed, now, self.rng)
        self.load_balancer = LoadBalancer(settings, self.rng)
        self.open_requests: dict[int, OpenRequest] = {}
        self.queued: dict[
            int, OpenRequest
        ] = {}  # waiting for a home's or the counter's answer, by the ask's number
        self.commitments: dict[int, Commitment] = {}  # by customer, for as long as its account
        self.active_commitments: dict[int, Commitment] = {}  # those that have a cap
        self.other_commitments = Neighbours()  # as of the last beat under pressure
        self.attempts: dict[tuple[int, int], OpenRequest] = {}
        self.in_flight, self.presumed_lost, self.retry_tokens = 0, 0, RETRY_BURST
        self.arrival_priorities: dict[tuple[int, int], DecayingMean] = {}
        self.started, self.retired = False, False
        self.swept_at_ns, self.logged_at_ns = now, now - LONG_TERM

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take in one event; the actions take effect at `now`."""
        actions: list[Action] = []
        if not self.started:
            self.started = True
            actions += [SetTimer(TICK, EVERY_TICK), *[WatchEndpoints(True)] * self.settings.polls_discovery]
        match event:
            case RequestArrived():
                actions += self._arrived(now, event)
            case AttemptEnded():
                actions += self._ended(now, event)
            case ResponseStarted():
                self._began(event)
            case EndpointUpdate():
                self.load_balancer.update_endpoints(now, event)
                if event.kind is EndpointUpdateKind.FAILED:
                    actions.append(SetTimer(SECOND, RETRY_LIST))
            case PlansChanged():
                self.quota.change_plans(now, event)
                actions.append(self.replan(now))
            case ClassesChanged():
                actions.append(self._reclass(event))
            case FleetChanged():
                self.quota.change_fleet(now, event)
                self.joined(event)
            case AllocationChanged():
                self.quota.change_allocation(now, event)
                actions += self.entitled(now, event.tenant)
            case ClientDisconnected():
                self.open_requests.pop(event.request, None)
            case TimerFired(token):
                actions += self._tick(now) if token == EVERY_TICK else [WatchEndpoints(True)]
            case PeerMessage() if self.quota.gossips and not is_quota_message(event.data):
                self.quota.receive_usage_totals(now, event)
            case PeerMessage():
                actions += self.decided(now, *self.quota.receive_quota_message(now, event))
            case CounterAnswered():
                actions += self.decided(now, *self.quota.receive_counter_answer(now, event))
        return actions

    def _tick(self, now: int) -> list[Action]:
        actions: list[Action] = [SetTimer(TICK, EVERY_TICK), *self._overdue(now)]
        usual = [LOST * latency.value for latency in self.model.latency]
        outstanding = [  # overtaken, others wait in no shared queue: lost answers are no overload
            (r.arrival.request_class, now - r.last_attempt_at_ns)
            for r in self.open_requests.values()
            if r.attempts_started
            and not r.first_byte_after_ns
            and not self.load_balancer.outliers.newest_answered_ns - r.last_attempt_at_ns
            > usual[r.arrival.request_class]
            > 0.0
        ]
        self.presumed_lost = len(self.open_requests) - len(self.queued) - len(outstanding)
        self.model.fit(now, self.in_flight - self.presumed_lost, outstanding)
        self.load_balancer.refresh(now)
        self._evaluate_all(now)
        quota = self.quota
        if (
            quota.gossips
            and not self.retired
            and now - quota.gossiped_at_ns >= max(1, quota.gossip_interval_ns - TICK // 2)
        ):
            quota.gossiped_at_ns = now
            actions.append(SendToPeers(None, quota.usage_message(now)))
        pressed = (
            self.model.concurrency_limit is not None
            and self.in_flight >= CHEAPEST * self.model.concurrency_limit
        )
        if pressed and now - self.logged_at_ns >= LONG_TERM:
            self.logged_at_ns = now
            actions.append(
                LogMessage(f"pressed: in flight {self.in_flight}, limit {self.model.concurrency_limit}")
            )
        return actions

    def joined(self, event: FleetChanged) -> None:
        """The fleet has another size."""
        self.settings = replace(self.settings, gateway_count=1 + len(event.peers))
        self.load_balancer.change_settings(self.settings)

    def replan(self, now: int) -> LogMessage:
        """Commitments are solved anew beside one another, least worth first; what does not fit is told."""
        solved = sorted(self.active_commitments.values(), key=lambda c: (c.priority, c.account.tenant))
        for commitment in solved:
            self._evaluate(now, commitment)
        less = sum(c.cap < self._wanted(now, c)[0] for c in solved)
        return LogMessage(f"plans changed: of {len(solved)} commitments {less} now have less than they ask")

    def retire(self, now: int) -> list[Action]:
        """Another process has the word from now on: nothing is granted here any more, nor told to peers.
        What is out ends here; who waited for word that goes elsewhere now is refused at once."""
        self.retired = True
        self.load_balancer.slow_start.is_suspended = True
        waiting = [self.queued.pop(tag) for tag in list(self.queued)]
        for request in waiting:
            request.account.pending_queries = 0
        return [self._refusal(r.arrival) for r in waiting if self.open_requests.pop(r.arrival.request, None)]

    def resume(self) -> None:
        """The other process is gone: this one has the word again."""
        self.retired = False
        self.load_balancer.slow_start.is_suspended = False

    def _reclass(self, event: ClassesChanged) -> LogMessage:
        """What arrives from now on goes by other classes; open requests keep their class and attempts."""
        self.settings = replace(self.settings, classes=event.classes, max_attempts=event.max_attempts)
        self.model.reclass(event)
        self.load_balancer.change_classes(event)
        was, self.arrival_priorities = self.arrival_priorities, {}
        for number, heir in enumerate(event.predecessors):
            self.arrival_priorities |= {
                (number, p): m for (cls, p), m in was.items() if cls == heir == number
            }
        return LogMessage(f"classes changed: {len(event.active)} now, {event.max_attempts} attempts at most")

    def _evaluate_all(self, now: int) -> None:
        """Evaluate whoever is due, least worth first, so that cuts fall on the cheap before the dear."""
        for commitment in list(self.active_commitments.values()):
            commitment.mean_in_flight.add(now, commitment.in_flight)
            if now - commitment.last_request_ns > IDLE and not commitment.in_flight:
                commitment.cap = 0  # the commitment ends; the bucket stays, as the quota does
                del self.active_commitments[commitment.account.tenant]
        self.other_commitments = Neighbours(
            self.active_commitments.values() if self.model.is_congested else ()
        )
        due = [c for c in self.active_commitments.values() if now - c.evaluated_at_ns >= EVALUATE_EVERY]
        for commitment in sorted(due, key=lambda c: (c.priority, c.account.tenant)):
            self._evaluate(now, commitment)
        if now - self.swept_at_ns >= IDLE:
            self.swept_at_ns, known = now, self.quota.accounts
            self.quota.counter_calls = {
                name: calls for name, calls in self.quota.counter_calls.items() if calls
            }
            kept = {c: a for c, a in known.items() if a.in_flight or now - a.last_request_ns <= self._keep(a)}
            self.quota.accounts = kept
            self.commitments = {c: m for c, m in self.commitments.items() if kept.get(c) is m.account}

    def _keep(self, account: TenantAccount) -> int:
        """How long a customer's account outlasts its last request; the store must be full by then."""
        plan = account.plan
        if self.quota.is_uninformed and account.static_tokens < 0.0:
            return FORGET  # with it would go what it overdrew
        full = (
            2 * plan.burst_units / max(plan.rate_per_s, 1e-9),
            plan.hard_limit_burst_units / max(plan.hard_limit_per_s, 1e-9),
        )
        once = max(FORGET_ONCE, int(SECOND * max(full)))
        return (
            min(FORGET, once)
            if account.forwarded_quarter_units <= ONCE and not account.peer_totals
            else FORGET
        )

    def _wanted(self, now: int, commitment: Commitment) -> tuple[int, float]:
        """Nreq and XMIN: quota slice x aim plus a slice of the burst, or else the places; two at least."""
        account, demand = commitment.account, commitment.demand
        part = self.quota.local_share(now, account) / (demand.value or 1.0)
        rate, burst = account.plan.rate_per_s * part, account.plan.burst_units * part
        places = account.plan.concurrency_limit * (not account.plan.rate_per_s)
        return max(2, places, ceil(rate * commitment.latency_objective_ns / SECOND + burst)), min(
            rate, demand.rate_per_s(now)
        )

    def _evaluate(self, now: int, commitment: Commitment) -> None:
        commitment.evaluated_at_ns, self.active_commitments[commitment.account.tenant] = now, commitment
        wanted, commitment.min_throughput_per_s = self._wanted(now, commitment)
        if not self.model.is_congested:
            commitment.cap = wanted
            return
        beside = self.other_commitments.beside(commitment)
        room = commitment.max_wait_ns if beside.room == inf else beside.room

        def wait(n: int) -> float:
            return self.model.response(beside.in_flight + n) - self.model.delay_ns

        offered = seven_cases(
            max(wanted, ceil(commitment.mean_in_flight.value)),
            len(self.model.response_times_ns),
            lambda n: wait(n) <= commitment.max_wait_ns,
            lambda n: n * SECOND >= commitment.min_throughput_per_s * (self.model.delay_ns + wait(n)),
            lambda n: wait(n) <= room and self.model.delay_ns + wait(n) <= beside.slowest,
        )
        commitment.cap = max(1, offered)
        self.other_commitments.put(commitment)

    def commitment(self, now: int, account: TenantAccount) -> Commitment:
        """The customer's here, made where there is none."""
        found = self.commitments.get(account.tenant)
        if found is None or found.account is not account:
            found = Commitment(
                account, now, -EVALUATE_EVERY, DecayingMean(SHORT_TERM), DecayingMean(SHORT_TERM)
            )
            self.commitments[account.tenant] = found
        return found

    # The life of a request.

    def _arrived(self, now: int, a: RequestArrived) -> list[Action]:
        if self.retired:
            return [self._refusal(a)]
        account = self.quota.account(now, a.tenant, a.plan, a.gateway_span, a.first_gateway)
        commitment, cls = self.commitment(now, account), self.settings.classes[a.request_class]
        account.last_request_ns = commitment.last_request_ns = now
        for mean in (account.demand, account.long_term_demand, commitment.demand):
            mean.add(now, a.units)
        density = (
            cls.priority_weight
            * account.plan.priority_factor
            * a.units
            / max(1.0, self.model.shortest_ns[a.request_class])
        )
        commitment.priority += 0.2 * (density - commitment.priority)
        self.arrival_priorities.setdefault((a.request_class, a.plan), DecayingMean(SHORT_TERM)).add(
            now, density
        )
        room = TARGET * self.model.room(a.request_class)
        commitment.max_wait_ns = min(commitment.max_wait_ns, room) * 1.01 if commitment.max_wait_ns else room
        commitment.latency_objective_ns = max(commitment.latency_objective_ns, cls.latency_objective_ns)
        if not commitment.cap:
            self._evaluate(now, commitment)
        self.quota.refill(now, account)
        full = commitment.in_flight - commitment.streaming >= commitment.cap
        if full or self._over_limit(now, density):
            account.rejection_reason = "cap" if full else "pressure"
            return [self._refusal(a)]
        return self._within_quota(now, OpenRequest(a, commitment, self.settings.max_attempts))

    def _within_quota(self, now: int, request: OpenRequest) -> list[Action]:
        """Decide by the store kept here, or ask whoever keeps it and hold the request a moment."""
        quota, account, a, plan = self.quota, request.account, request.arrival, request.account.plan
        pays = plan.overage_weight > plan.overage_cost and not self.model.is_congested
        # Word this fresh is acted on at once, and the use told afterwards: no wait where gateways are few.
        knows = quota.uses_counter and now - account.tokens_known_at_ns < FRESH // 4
        request.balances_before = account.balances()
        if knows or quota.is_local(account):
            may = pays or quota.has_capacity(now, account, a.units)
            if may and quota.spend(account, a.units, pays):
                return self._admit(now, request, knows) + quota.request_transfer(now, account)
            if not account.more_expected or request.queued_at_ns or a.expires_at_ns - now < 4 * TICK:
                account.rejection_reason = quota.missing_limit(now, account, a.units)
                return [self._refusal(a), *quota.request_transfer(now, account)]
            quota.last_query, request.queued_at_ns = quota.last_query + 1 & 0xFFFFFFFF, now
            self.queued[quota.last_query] = self.open_requests[a.request] = request
            return [RequestAllocation(a.tenant)]
        if not pays and quota.is_known_spent(account, a.units):
            return [self._refusal(a)]
        if not (
            quota.has_owner(account) or (quota.uses_counter and self.rng.random() < quota.counter_call_rate)
        ):
            return self._alone(now, request)
        if pays and not plan.hard_limit_per_s:
            return self._admit(now, request, quota.counter_call_rate >= 1.0)
        short = a.expires_at_ns - now < 4 * TICK
        if short and plan.concurrency_limit and quota.has_owner(account):
            return self._alone(now, request)  # a place would be granted that nobody takes
        tag, action = quota.query(now, account, a.units, QuotaMessageKind.REQUEST)
        if short:
            return [action, *self._alone(now, request)]
        request.queued_at_ns = now
        self.queued[tag] = self.open_requests[a.request] = request
        return [action]

    def entitled(self, now: int, customer: int) -> list[Action]:
        """What was held for want of rights is decided with those that are kept here now."""
        tags = [tag for tag, request in self.queued.items() if request.account.tenant == customer]
        held = [self.queued.pop(tag) for tag in tags]
        still = [request for request in held if self.open_requests.pop(request.arrival.request, None)]
        return [action for request in still for action in self._within_quota(now, request)]

    def _alone(self, now: int, request: OpenRequest) -> list[Action]:
        request.balances_before = request.account.balances()
        may = self.quota.spend_without_answer(now, request.account, request.arrival.units)
        return self._admit(now, request, False) if may else [self._refusal(request.arrival)]

    def _admit(self, now: int, request: OpenRequest, tell: bool) -> list[Action]:
        a, account = request.arrival, request.account
        if (send := self._send(now, request)) is None:
            account.give_back(account.taken_since(request.balances_before))
            return [self._refusal(a)]
        self.open_requests[a.request] = request
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_SHARE)
        request.counted_remotely |= tell or self.quota.has_owner(account)
        if self.quota.has_owners and not self.quota.is_local(account):
            account.count_forwarded(a.units)
        request.balances_taken = account.taken_since(request.balances_before)
        return [send, self.quota.query(now, account, a.units, QuotaMessageKind.SPENT)[1]] if tell else [send]

    def decided(self, now: int, tag: int, granted: bool | None, more: list[Action]) -> list[Action]:
        """A held request goes on, or is refused; without an answer this gateway decides alone."""
        request = self.queued.pop(tag, None)
        if request is None:
            return more
        request.counted_remotely, request.balances_before = granted is True, request.account.balances()
        request.account.pending_queries -= self.quota.has_owner(request.account)
        if self.open_requests.pop(request.arrival.request, None):
            if granted is None:
                more += self._alone(now, request)
            else:
                more += self._admit(now, request, False) if granted else [self._refusal(request.arrival)]
        return more + self._release(now, request)

    def _release(self, now: int, request: OpenRequest) -> list[Action]:
        if request.attempts_in_flight or not request.counted_remotely:
            return []
        request.counted_remotely = False
        return self.quota.release(now, request.account)

    def _overdue(self, now: int) -> list[Action]:
        overdue = [tag for tag, request in self.queued.items() if now - request.queued_at_ns >= HOLD]
        actions = [action for tag in overdue for action in self.decided(now, tag, None, [])]
        # Places still counted though nobody holds them are told again, or customers would be shut out.
        late = [
            c.account
            for c in self.active_commitments.values()
            if c.account.counter_correction_units <= -OPEN / 2
        ]
        return actions + [
            self.quota.call_counter(now, a, 0.0)
            for a in late
            if self.rng.random() < self.quota.counter_call_rate
        ]

    def _over_limit(self, now: int, density: float) -> bool:
        """Under pressure the model's limit on all in flight holds too; the least worth meets it first."""
        limit, out = self.model.concurrency_limit, float(self.in_flight - self.presumed_lost)
        if limit is None:
            return False
        # What one of many gateways has in flight varies by its root from one moment to the next, and all of
        # them together far less: without room for that, chance would refuse what the fleet has room for.
        out -= max(0.0, 1.0 - FEW / self.settings.gateway_count) * CHANCE * sqrt(limit)
        if out < CHEAPEST * limit:
            return False
        total = sum(m.rate_per_s(now) for m in self.arrival_priorities.values())
        below = sum(m.rate_per_s(now) for m in self.arrival_priorities.values() if m.value < density)
        return out >= limit * (CHEAPEST + (1.0 - CHEAPEST) * below / max(total, 1e-9))

    def _refusal(self, a: RequestArrived) -> Reject:
        return Reject(
            a.request, min(ADVICE, self.settings.max_retry_after_ns) * self.settings.may_send_retry_after
        )

    def _send(self, now: int, request: OpenRequest) -> StartAttempt | None:
        a = request.arrival
        if now >= a.expires_at_ns or request.attempts_started >= request.max_attempts:
            return None
        allowed = self._repeat_filter(now, request)
        kind = a.request_class, a.plan
        server = self.load_balancer.choose(now, kind, request.tried_backends, allowed)
        server = server or self.load_balancer.choose(now, kind, set(), allowed)
        if server is None:
            return None
        self.load_balancer.attempt_started(now, server)
        request.tried_backends.add(server.backend.id)
        self.attempts[a.request, request.attempts_started] = request
        if not request.may_have_executed:
            request.deduplicated_from_ns, request.deduplicated_by = now, server.backend
        request.attempts_started, request.attempts_in_flight, request.last_attempt_at_ns = (
            request.attempts_started + 1,
            request.attempts_in_flight + 1,
            now,
        )
        self.in_flight += 1
        self.opened(request, 1)
        cls, repeated = self.settings.classes[a.request_class], request.may_have_executed
        until = (
            request.deduplicated_from_ns + cls.deduplication_window_ns
            if repeated and cls.idempotency is Idempotency.WITH_KEY
            else 0
        )
        return StartAttempt(a.request, server.backend.id, self._patience(now, request), until)

    def opened(self, request: OpenRequest, change: int) -> None:
        """So many attempts more of the request's customer are out."""
        request.commitment.in_flight += change
        self.quota.count_attempts(request.account, change)

    def _patience(self, now: int, request: OpenRequest) -> int:
        """Time-out of an attempt, or 0: guards against lost answers, hung backends, classes left unanswered,
        where some were seen of late and another try is allowed; it would harm where all are slow."""
        a, cls = request.arrival, self.settings.classes[request.arrival.request_class]
        again = (
            cls.idempotency is not Idempotency.NOT_IDEMPOTENT
            and request.attempts_started < request.max_attempts
        )
        if (
            not again
            or self.model.is_congested
            or self.load_balancer.outliers.recent_timeout_rate(now, a.request_class) < SILENCE
        ):
            return 0
        return max(cls.latency_objective_ns // 2, int(3 * self.model.latency[a.request_class].value))

    def _repeat_filter(self, now: int, request: OpenRequest) -> BackendFilter:
        """Rule 2: where another attempt of a keyed request that may have run may go."""
        cls, first = self.settings.classes[request.arrival.request_class], request.deduplicated_by
        if not request.may_have_executed or cls.idempotency is not Idempotency.WITH_KEY or first is None:
            return lambda b: True
        if now - request.deduplicated_from_ns >= cls.deduplication_window_ns:
            return lambda b: False
        if cls.deduplication_scope is DeduplicationScope.ZONE:
            return lambda b: b.zone == first.zone
        return lambda b: cls.deduplication_scope is DeduplicationScope.ALL or b.cell == first.cell

    def _ended(self, now: int, event: AttemptEnded) -> list[Action]:
        request = self.attempts.pop((event.request, event.attempt), None)
        if request is None:
            return []
        account, cls = request.account, request.arrival.request_class
        request.attempts_in_flight, self.in_flight = request.attempts_in_flight - 1, self.in_flight - 1
        self.opened(request, -1)
        if event.quota_usage:
            account.grant_ratio.add(
                now, min(1.0, max(0.0, 0.5 + (1.01 - event.quota_usage / 100) / METER_SPAN))
            )
        if request.first_byte_after_ns:
            request.commitment.streaming -= 1
            event = replace(event, elapsed_ns=request.first_byte_after_ns)
        if event.outcome is Outcome.OK:
            self.model.latency[cls].add(now, event.elapsed_ns)
            if self.settings.units_settled_later and event.actual_units:
                account.tokens -= event.actual_units - request.arrival.units
        usual = max(1.0, self.model.latency[cls].value)
        self.load_balancer.attempt_ended(now, event, (cls, request.arrival.plan), event.elapsed_ns / usual)
        if event.outcome not in NOT_EXECUTED:
            request.may_have_executed = True
        request.reached_backend |= event.outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
        if event.request_finished:
            self.open_requests.pop(event.request, None)
        again = (
            []
            if request.attempts_in_flight or event.request not in self.open_requests
            else self._try_again(now, request)
        )
        if not (request.attempts_in_flight or request.reached_backend or event.request in self.open_requests):
            account.give_back(request.balances_taken)
        return again + self._release(now, request)

    def _began(self, event: ResponseStarted) -> None:
        """A long value is being passed on: no other attempt may follow, and its time was that of its first
        byte; how long the rest takes is up to whoever reads it."""
        if (request := self.attempts.get((event.request, event.attempt))) is not None:
            request.commitment.streaming += not request.first_byte_after_ns
            request.max_attempts, request.first_byte_after_ns = 0, max(1, event.elapsed_ns)

    def _try_again(self, now: int, request: OpenRequest) -> list[Action]:
        """Another attempt where the class, the time left and the retry budget allow one; else the end."""
        a, cls = request.arrival, self.settings.classes[request.arrival.request_class]
        repeatable = not request.may_have_executed or cls.idempotency is not Idempotency.NOT_IDEMPOTENT
        if repeatable and self.retry_tokens >= 1.0 and (send := self._send(now, request)):
            self.retry_tokens -= 1.0
            return [send]
        del self.open_requests[a.request]
        harmless = not request.may_have_executed or cls.idempotency is Idempotency.IDEMPOTENT
        if harmless or (
            cls.idempotency is Idempotency.WITH_KEY and cls.deduplication_scope is DeduplicationScope.ALL
        ):
            return [self._refusal(a)]
        return [Fail(a.request)]
