"""Makes every decision of one gateway for one service: which requests are admitted, and to which backend.

Read `settings.py`, `events.py` and `actions.py` first. The design follows a QoS broker: a table of
commitments and a closed queuing model, whose seven cases grant each tenant a cap on its requests in flight.
Tenants' quotas and the choice of a backend come in addition. Each rule has a module of its own; `Broker`
calls these modules in the order in which the rules apply. `docs/design/decisions.md` says what was kept of
the paper, what was changed and when each exception applies.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from .actions import Action, Fail, LogMessage, SendToPeers, SetTimer, WatchEndpoints
from .attempt_results import AttemptResults
from .backends import EndpointUpdate, EndpointUpdateKind
from .backlog_limit import BacklogLimit
from .commitments import CommitmentTable
from .concurrency_model import TARGET_WAIT, QueueModel
from .events import (
    ANSWERED,
    AllocationChanged,
    AttemptEnded,
    ClassesChanged,
    ClientDisconnected,
    CounterAnswered,
    Event,
    FleetChanged,
    HealthChecked,
    PeerMessage,
    PlansChanged,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from .idle_accounts import IdleAccountSweep
from .load_balancer import LoadBalancer
from .load_shedding import LoadShedding
from .open_request import OpenRequest
from .quota import Quota
from .quota_admission import QuotaAdmission
from .quota_events import handle_quota_event
from .rejection import EarlyRejection, rejection
from .request_table import RequestTable
from .retry_policy import RetryPolicy
from .settings import Settings
from .time_units import SECOND, TICK

# Tokens that tell the broker's own timers apart.
TICK_TIMER = 1
ENDPOINTS_TIMER = 2

ENDPOINTS_RETRY_NS = SECOND  # delay before discovery is tried again after it could not be reached


class Broker:
    """Decides for one gateway and one service.

    The caller passes every event to `handle` in order and carries out the actions that it returns. `quota` is
    given where several brokers, one for each service, share the tenants' quotas; otherwise the broker creates
    its own.
    """

    def __init__(self, settings: Settings, seed: int, now: int, quota: Quota | None = None) -> None:
        rng = random.Random(seed)
        self.settings = settings
        self.quota = quota or Quota(settings, seed, now, rng)
        self.model = QueueModel(settings)
        self.load_balancer = LoadBalancer(settings, rng)
        self.commitments = CommitmentTable(self.model, self.quota, now)
        self.load_shedding = LoadShedding(settings, self.model, now)
        self.backlog_limit = BacklogLimit(self.model)
        self.retry_policy = RetryPolicy(settings, self.model, self.load_balancer.outliers)
        self.requests = RequestTable(
            self.quota, self.model, self.load_balancer, self.retry_policy, self.backlog_limit
        )
        self.admission = QuotaAdmission(
            settings, self.quota, self.model, self.requests, self.retry_policy, rng
        )
        self._attempt_results = AttemptResults(settings, self.model, self.load_balancer)
        self._idle_accounts = IdleAccountSweep(self.quota, now)
        self.early_rejections: Counter[EarlyRejection] = Counter()
        self._is_started = False
        self._is_retired = False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Processes one event and returns the actions that take effect at `now`."""
        if self._is_started:
            return self._handle(now, event)
        self._is_started = True
        actions: list[Action] = [SetTimer(TICK, TICK_TIMER)]
        if self.settings.polls_discovery:
            actions.append(WatchEndpoints(True))
        return actions + self._handle(now, event)

    def _handle(self, now: int, event: Event) -> list[Action]:
        match event:
            case RequestArrived():
                return self._on_request_arrived(now, event)
            case AttemptEnded():
                return self._on_attempt_ended(now, event)
            case ResponseStarted():
                self._on_response_started(now, event)
            case ClientDisconnected():
                self.requests.open_requests.pop(event.request, None)
            case TimerFired():
                return self._on_timer(now, event)
            case AllocationChanged() | PeerMessage() | CounterAnswered():
                return handle_quota_event(now, event, self.quota, (self.admission,))
            case _:
                return self._on_configuration_changed(now, event)
        return []

    def _on_configuration_changed(
        self, now: int, event: EndpointUpdate | PlansChanged | ClassesChanged | FleetChanged | HealthChecked
    ) -> list[Action]:
        match event:
            case EndpointUpdate():
                self.load_balancer.update_endpoints(now, event)
                if event.kind is EndpointUpdateKind.FAILED:
                    return [SetTimer(ENDPOINTS_RETRY_NS, ENDPOINTS_TIMER)]
            case PlansChanged():
                self.quota.change_plans(now, event)
                return [self.evaluate_commitments(now)]
            case ClassesChanged():
                return [self._on_classes_changed(event)]
            case FleetChanged():
                self.quota.change_fleet(now, event)
                self.fleet_changed(event)
            case HealthChecked():
                pass  # no rule uses health checks yet
        return []

    def _on_timer(self, now: int, event: TimerFired) -> list[Action]:
        if event.token != TICK_TIMER:
            return [WatchEndpoints(True)]
        actions: list[Action] = [
            SetTimer(TICK, TICK_TIMER),
            *self.admission.resolve_overdue(now),
            *self.admission.correct_counter(now, self.commitments.active.values()),
        ]
        outstanding = self.requests.outstanding(now, len(self.admission.queued))
        self.model.fit(now, self.requests.responses_expected(), outstanding)
        self.backlog_limit.update()
        self.load_balancer.refresh(now)
        self.commitments.sample_in_flight(now, self.requests.busy_commitments())
        self.commitments.evaluate_due(now)
        self._idle_accounts.sweep(now)
        actions += self._gossip(now)
        if not self._is_retired:
            actions += self.quota.report_late_units(now)
        line = self.load_shedding.log_line(now, self.requests.in_flight)
        if line is not None:
            actions.append(LogMessage(line))
        return actions

    def _gossip(self, now: int) -> list[Action]:
        """Returns the next message of usage totals to all peers, if one is due."""
        quota = self.quota
        if not quota.uses_gossip or self._is_retired:
            return []
        if now - quota.gossiped_at_ns < max(1, quota.gossip_interval_ns - TICK // 2):
            return []
        quota.gossiped_at_ns = now
        return [SendToPeers(None, quota.usage_message(now))]

    def client_window(self, busy_clients: int, connections: int, is_backlogged: bool) -> int:
        """Returns how many requests one client may have in flight; see `BacklogLimit.window`."""
        return self.backlog_limit.window(busy_clients, connections, is_backlogged)

    def fleet_changed(self, event: FleetChanged) -> None:
        """Applies a fleet of another size to this service's rules; the quota is updated separately."""
        self._use_settings(replace(self.settings, gateway_count=1 + len(event.peers)))
        self.load_balancer.change_settings(self.settings)

    def evaluate_commitments(self, now: int) -> LogMessage:
        """Evaluates all commitments under the current plans and returns a log line with the outcome."""
        count = len(self.commitments.active)
        below_request = self.commitments.evaluate_all(now)
        return LogMessage(
            f"plans changed: {below_request} of {count} commitments now have a lower cap than they request"
        )

    def _on_classes_changed(self, event: ClassesChanged) -> LogMessage:
        """Applies other request classes to new requests; open requests keep their own classes."""
        self._use_settings(replace(self.settings, classes=event.classes, max_attempts=event.max_attempts))
        self.model.change_classes(event)
        # The load balancer keeps its former settings until the fleet changes, and with them the length of a
        # gateway's turn at a backend that warms up.
        self.load_balancer.change_classes(event)
        self.load_shedding.change_classes(event)
        return LogMessage(
            f"classes changed: {len(event.active)} active, at most {event.max_attempts} attempts per request"
        )

    def _use_settings(self, settings: Settings) -> None:
        self.settings = settings
        self.load_shedding.settings = settings
        self.retry_policy.settings = settings
        self.admission.settings = settings

    def retire(self, now: int) -> list[Action]:
        """Stops this broker, as another process of the gateway takes over.

        From now on this broker admits no request and sends nothing to peers. Attempts in flight finish here.
        Queued requests are rejected, because the answers to their queries go to the other process.
        """
        self._is_retired = True
        self.load_balancer.slow_start.is_suspended = True
        return self.admission.reject_queued()

    def resume(self) -> None:
        """Resumes deciding after the process that took over has ended."""
        self._is_retired = False
        self.load_balancer.slow_start.is_suspended = False

    def _on_request_arrived(self, now: int, arrival: RequestArrived) -> list[Action]:
        if self._is_retired:
            return [rejection(arrival, self.settings)]
        if self._rejects_without_account(now, arrival):
            return [rejection(arrival, self.settings)]
        account = self.quota.account(
            now, arrival.tenant, arrival.plan, arrival.gateway_span, arrival.first_gateway
        )
        commitment = self.commitments.of_account(now, account)
        request_class = self.settings.classes[arrival.request_class]
        account.last_request_ns = now
        commitment.last_request_ns = now
        account.demand.add(now, arrival.units)
        account.long_term_demand.add(now, arrival.units)
        commitment.demand.add(now, arrival.units)
        service_time_ns = max(1.0, self.model.shortest_ns[arrival.request_class])
        priority = (
            request_class.priority_weight * account.plan.priority_factor * arrival.units / service_time_ns
        )
        self.load_shedding.count_arrival(now, (arrival.request_class, arrival.plan), priority)
        max_wait_ns = TARGET_WAIT * self.model.headroom_ns(arrival.request_class)
        self.commitments.count_arrival(now, commitment, request_class, priority, max_wait_ns)
        self.quota.refill(now, account)
        if commitment.in_flight - commitment.streaming >= commitment.cap:
            account.rejection_reason = "cap"
            return [rejection(arrival, self.settings)]
        if self.load_shedding.exceeds_limit(now, self.requests.responses_expected(), priority):
            account.rejection_reason = "pressure"
            return [rejection(arrival, self.settings)]
        return self.admission.decide(now, OpenRequest(arrival, commitment, self.settings.max_attempts))

    def _rejects_without_account(self, now: int, arrival: RequestArrived) -> bool:
        """Returns whether the request is rejected before its tenant is looked up, or gets an account."""
        if now >= arrival.expires_at_ns:
            reason = EarlyRejection.OUT_OF_TIME
        elif arrival.is_client_backlogged and self.backlog_limit.is_reached():
            reason = EarlyRejection.CLIENT_BACKLOGGED
        elif not self.quota.has_room_for(now, arrival.tenant):
            reason = EarlyRejection.TOO_MANY_TENANTS
        else:
            return False
        self.early_rejections[reason] += 1
        return True

    def _on_response_started(self, now: int, event: ResponseStarted) -> None:
        """Records that a long value is being streamed to the client.

        No other attempt may follow. The latency of the attempt is the time to its first byte, because the
        reader of the value determines how long the rest takes.
        """
        request = self.requests.attempts.get((event.request, event.attempt))
        if request is None:
            return
        if not request.first_byte_after_ns:
            request.commitment.streaming += 1
        self.quota.request_arrived(now, request)
        request.max_attempts = 0
        request.first_byte_after_ns = max(1, event.elapsed_ns)

    def _on_attempt_ended(self, now: int, event: AttemptEnded) -> list[Action]:
        request = self.requests.attempts.pop((event.request, event.attempt), None)
        if request is None:
            return []
        request.attempts_in_flight -= 1
        self.requests.count_attempts(request, -1)
        self._attempt_results.record(now, request, event)
        open_requests = self.requests.open_requests
        if event.request_finished:
            open_requests.pop(event.request, None)
        if event.outcome in ANSWERED:
            self.quota.request_arrived(now, request)
        actions: list[Action] = []
        if not request.attempts_in_flight and event.request in open_requests:
            actions = self._retry_or_finish(now, request)
        if not (request.attempts_in_flight or event.request in open_requests):
            self.quota.request_arrived(now, request)
        if not (request.attempts_in_flight or request.reached_backend or event.request in open_requests):
            # No attempt reached a backend, and no further attempt will be made.
            request.account.refund(request.balances_taken)
        return actions + self.admission.release(now, request)

    def _retry_or_finish(self, now: int, request: OpenRequest) -> list[Action]:
        """Starts another attempt if class, deadline and budget allow it; else gives the final answer."""
        if self.retry_policy.may_retry(request):
            attempt = self.requests.start_attempt(now, request)
            if attempt is not None:
                self.retry_policy.count_retry()
                return [attempt]
        del self.requests.open_requests[request.arrival.request]
        if self.retry_policy.may_reject(request):
            return [rejection(request.arrival, self.settings)]
        return [Fail(request.arrival.request)]
