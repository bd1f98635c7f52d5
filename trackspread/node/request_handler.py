"""Handles requests from their arrival to their end, and reports what happens to them as events.

This module may depend on calls, attempts, deadlines, timers and the decision module. It must not depend on
where endpoint lists, peers and files come from, nor on how a process starts and stops (`gateway.py`).
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Iterator
from functools import partial
from itertools import count

from ..backends.adapter import LoadReport
from ..backends.attempt import Attempt
from ..backends.pools import ConnectionPools
from ..call import Call, InvalidCall, PausableSource
from ..clock import Clock
from ..config.operator import Services
from ..config.platform import Config
from ..config.roster import Roster
from ..control.counters import RequestCounters
from ..decide.actions import Action, SetTimer
from ..decide.backends import EndpointUpdate
from ..decide.broker import Broker
from ..decide.events import (
    NOT_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthChecked,
    Outcome,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from ..decide.report import Module
from ..decide.services import ServiceBrokers
from ..decide.settings import Idempotency
from ..fronts.response_slot import ResponseSlot, SlotOwner
from ..lag import LagTolerantTimer
from ..lists.source import ListError
from ..peers.datagrams import PeerSocket
from ..usage.record import Ending
from .action_executor import ActionExecutor
from .executed_ids import ExecutedIds
from .handover_state import StateExporter
from .optional_parts import OptionalParts
from .request import NS_PER_MS, NS_PER_S, Request

log = logging.getLogger(__name__)

# A request ends this long before its client's deadline, because the network round trip and a lagging event
# loop take time as well.
DEADLINE_MARGIN_NS = 10 * NS_PER_MS
# A timer whose event failed with an exception fires again after this time, so that the module's tick goes on.
TIMER_RETRY_NS = NS_PER_S // 10
NO_SERVICES = Services()


class RequestHandler:
    """Holds the open requests and the decision module; `Gateway` adds the sockets."""

    backends: ConnectionPools
    peers: PeerSocket
    parts: OptionalParts

    def __init__(self, config: Config, services: Services = NO_SERVICES) -> None:
        self.config = config
        self.services = services
        self._loop = asyncio.get_running_loop()
        self.now = Clock()
        self.decision_module = self._make_decision_module()
        self.roster = Roster.initial(config.classes, config.settings.classes)
        self.counters = RequestCounters(config.classes)
        self.requests: dict[int, Request] = {}
        self.open_request_ids: set[bytes] = set()  # requests without their final answer
        self.executed_ids = ExecutedIds()
        self._open_requests_by_client: Counter[SlotOwner] = Counter()
        self.answer_by_ns: int | None = None  # set by `answer_all_by`: every request is answered by then
        # It is set while another process serves in place of this one.
        self.handover_exporter: StateExporter | None = None
        self._executor = ActionExecutor(self)
        self._request_numbers: Iterator[int] = count(1)
        self._outcomes: Counter[Outcome] = Counter()  # attempts' outcomes since the last summary line

    def _make_decision_module(self) -> Module:
        """Returns one broker, or one for each service that the operator's file names."""
        config = self.config
        carried = self.services.carried()
        if not carried:
            return Broker(config.settings, config.seed, self.now())
        return ServiceBrokers(
            config.settings, config.seed, self.now(), carried, lambda cls: self.services.service_of(cls.name)
        )

    @property
    def broker(self) -> Broker:
        """The only broker.

        A gateway with several services has several brokers, and no handover is possible there.
        """
        assert isinstance(self.decision_module, Broker), "there is a broker for each service"
        return self.decision_module

    def next_number(self) -> int:
        """Returns the number of the next request and consumes it."""
        return next(self._request_numbers)

    def continue_numbers(self, numbers: Iterator[int]) -> None:
        """Takes the numbers of the next requests from this iterator."""
        self._request_numbers = numbers

    def send_to_peers(self, recipient: int | None, data: bytes) -> None:
        """Sends a message to one other gateway, or to all if `recipient` is None."""
        self.peers.send(recipient, data)

    def ready(self) -> bool:
        """Returns whether requests can be served."""
        return self.backends.has_available_backend()

    def take(self, call: Call, slot: ResponseSlot, waited: float) -> None:
        """Accepts a request that has already waited `waited` seconds in this process.

        Raises `InvalidCall` if a request with the same id is open, or may have been executed and must not be
        repeated.
        """
        if call.request_id in self.open_request_ids:
            raise InvalidCall("a request with this id is open")
        if call.request_id in self.executed_ids:
            raise InvalidCall("a request with this id may have been executed")
        now_ns = self.now()
        number = next(self._request_numbers)
        expires_at_ns = self._expires_at_ns(call, now_ns, waited)
        request = Request(call, slot, expires_at_ns)
        self.open_request_ids.add(call.request_id)
        slot.request = number
        self.requests[number] = request
        self._open_requests_by_client[slot.client] += 1
        if self.parts.quota_counter is not None:
            self.parts.quota_counter.request_arrived(call)
        event = RequestArrived(
            number,
            call.request_class,
            call.plan,
            call.tenant,
            expires_at_ns,
            call.units,
            call.gateway_span,
            call.first_gateway,
            call.options,
            slot.client.is_backlogged(),
        )
        self.handle(event, number)
        if number in self.requests:
            self._start_deadline_timer(number, request)

    def reject_without_body(self, call: Call, slot: ResponseSlot) -> None:
        """Rejects a request whose body was not kept; no attempt was made, so it may be sent again."""
        self._count_ended(call, Ending.REFUSED, attempts=0)
        slot.send_rejection(call, retry_after_ms=0)

    def time_allowed_s(self, call: Call) -> float:
        """Returns how many seconds after its last byte a request's answer is due."""
        return self._time_allowed_ns(call) / NS_PER_S

    def _time_allowed_ns(self, call: Call) -> int:
        return min(call.wait_ms * NS_PER_MS, self.roster.rules[call.request_class].deadline_ns)

    def _expires_at_ns(self, call: Call, now_ns: int, waited_s: float) -> int:
        time_ns = self._time_allowed_ns(call)
        expires_at_ns = now_ns + max(0, time_ns - int(waited_s * NS_PER_S) - DEADLINE_MARGIN_NS)
        if self.answer_by_ns is not None:
            # A backend may hang for the whole time of a late request, and this process is killed before that
            # time ends.
            expires_at_ns = min(expires_at_ns, max(now_ns, self.answer_by_ns))
        return expires_at_ns

    def _start_deadline_timer(self, number: int, request: Request) -> None:
        delay_s = max(0.0, (request.expires_at_ns - self.now()) / NS_PER_S)
        request.timer = LagTolerantTimer(self._loop, delay_s, partial(self.deadline_reached, number))

    def answer_all_by(self, answer_by_ns: int) -> None:
        """Has each request answered by this time, those that are open included.

        A backend may hang for longer than this process lives, and all later answers on a client's connection
        wait behind the one that hangs.
        """
        self.answer_by_ns = answer_by_ns
        for number, request in list(self.requests.items()):
            if request.expires_at_ns > answer_by_ns:
                self._shorten_deadline(number, request, answer_by_ns)

    def _shorten_deadline(self, number: int, request: Request, expires_at_ns: int) -> None:
        request.expires_at_ns = expires_at_ns
        for attempt in request.attempts_in_flight.values():
            attempt.expires_at_ns = min(attempt.expires_at_ns, expires_at_ns)
        # A long value that is being forwarded is not cut off by its request's deadline.
        if request.timer is not None and request.forwarded_attempt is None:
            request.timer.cancel()
            self._start_deadline_timer(number, request)

    def left(self, number: int) -> None:
        """Ends a request whose client has disconnected."""
        request = self.requests.get(number)
        if request is None or request.is_closed:
            return
        self._close(number, request, Ending.LEFT)
        self.handle(ClientDisconnected(number))
        if request.forwarded_attempt is not None:
            self._executor.cancel_soon(request.forwarded_attempt)
        for attempt in list(request.attempts_in_flight.values()):
            # An attempt that was never written can be withdrawn even if the settings forbid cancellation.
            self.backends.withdraw(attempt)

    def deadline_reached(self, number: int) -> None:
        """Ends a request at its deadline: attempts in flight expire, and an open request is answered."""
        request = self.requests.get(number)
        if request is None:
            return
        if request.expires_at_ns > self.now():  # timers have a resolution of 1 ms and may fire early
            self._start_deadline_timer(number, request)
            return
        for attempt in list(request.attempts_in_flight.values()):
            self.backends.expire(attempt)
        if not request.is_closed:
            # The module left the request open, perhaps after an exception. The answer "failed" is always
            # safe, because it does not say whether a backend has processed the request.
            self._fail(number, request, "out of time")
            self.handle(ClientDisconnected(number))

    def is_wanted(self, attempt: Attempt) -> bool:
        """Returns whether a client still waits for the answer of this attempt."""
        request = self.requests.get(attempt.request)
        return request is not None and not request.is_closed and not request.slot.client.has_ended()

    def _open_request(self, number: int) -> Request | None:
        request = self.requests.get(number)
        return None if request is None or request.is_closed else request

    def reject(self, number: int, retry_after_ns: int) -> None:
        """Answers that the request is rejected, unless it has been answered."""
        if (request := self._open_request(number)) is not None:
            retry_after_ms = -(-retry_after_ns // NS_PER_MS)
            self._close(number, request, Ending.REFUSED)
            request.slot.send_rejection(request.call, retry_after_ms)

    def fail(self, number: int, reason: str) -> None:
        """Answers that the request failed, unless it has been answered."""
        if (request := self._open_request(number)) is not None:
            self._fail(number, request, reason)

    def _fail(self, number: int, request: Request, reason: str) -> None:
        self._close(number, request, Ending.FAILED)
        request.slot.send_failure(request.call, reason)

    def _close(self, number: int, request: Request, ending: Ending) -> None:
        """Closes a request that has its final answer or whose client has left; no other answer follows."""
        if not request.is_closed:
            request.is_closed = True
            self._count_ended(request.call, ending, request.attempt_count)
            self.open_request_ids.discard(request.call.request_id)
            self._count_closed(request.slot.client)
            if self._must_not_repeat(request):
                self.executed_ids.add(request.call.request_id)
            if self.handover_exporter is not None:
                self.handover_exporter.request_closed(number)
        self._forget_finished(number, request)

    def _must_not_repeat(self, request: Request) -> bool:
        """Returns whether the request may have been executed, and its class is not idempotent."""
        rule = self.roster.rules[request.call.request_class]
        return rule.idempotency is not Idempotency.IDEMPOTENT and request.may_have_been_executed()

    def _count_closed(self, client: SlotOwner) -> None:
        self._open_requests_by_client[client] -= 1
        if not self._open_requests_by_client[client]:
            del self._open_requests_by_client[client]

    def window(self, is_backlogged: bool) -> int:
        """Returns how many requests one client may have in flight, which is 1 at least."""
        busy_clients = len(self._open_requests_by_client)
        return self.decision_module.client_window(busy_clients, self.backends.max_connections, is_backlogged)

    def _count_ended(self, call: Call, ending: Ending, attempts: int) -> None:
        self.counters.count_ended(self.roster.names[call.request_class], ending)
        self.parts.record_usage(call, ending, attempts)

    def _forget_finished(self, number: int, request: Request) -> None:
        """Forgets a closed request once its last attempt has ended.

        The timer runs until then. Without it, an unresponsive backend would keep the connection of an attempt
        whose answer nobody waits for, and the module would count the attempt as in flight forever.
        """
        if request.is_closed and not request.attempts_in_flight:
            if request.timer is not None:
                request.timer.cancel()
            self.requests.pop(number, None)

    def may_be_retried(self, call: Call) -> bool:
        """Returns whether a request may be sent again although it may have been executed."""
        return self.roster.rules[call.request_class].idempotency is not Idempotency.NOT_IDEMPOTENT

    def attempt_starts(self, attempt: Attempt) -> None:
        """Records that an attempt is about to start."""
        if self.handover_exporter is not None:
            self.handover_exporter.attempt_started(attempt)

    def attempt_written(self) -> None:
        """Counts an attempt whose last byte was written to a backend."""
        self.counters.attempts += 1

    def value_begins(self, attempt: Attempt, length: int, source: PausableSource) -> bool:
        """Starts to forward a long value to the client.

        From its first byte on the value is the answer: the deadline does not cut it off, and no other answer
        follows. Returns False if the request is closed or another attempt's value is being forwarded.
        """
        number = attempt.request
        request = self._open_request(number)
        if request is None or request.forwarded_attempt is not None:
            return False
        request.forwarded_attempt = attempt
        if request.timer is not None:
            request.timer.cancel()
        for other in request.attempts_in_flight.values():
            if other is not attempt:
                self._executor.cancel_soon(other)
        elapsed_ns = max(0, self.now() - attempt.started_at_ns)
        self.handle(ResponseStarted(number, elapsed_ns, attempt.index, attempt.backend), number)
        request.slot.begin_value(request.call, length, source)
        return True

    def value_piece(self, attempt: Attempt, data: bytes) -> None:
        """Forwards the next bytes of a long value."""
        if (request := self._open_request(attempt.request)) is not None:
            request.slot.add_piece(data)

    def _forwarding_ended(self, number: int, request: Request, outcome: Outcome) -> None:
        """Closes a request whose value was forwarded.

        If the value is incomplete, its client must notice: it receives an error if nothing of the value has
        been written to it yet, and otherwise its connection is closed.
        """
        if outcome is Outcome.OK:
            self._close(number, request, Ending.SERVED)
            request.slot.end_value(request.call)
        else:
            self._close(number, request, Ending.FAILED)
            request.slot.abort_value(request.call)

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: LoadReport
    ) -> None:
        """Handles the end of an attempt or of a health check."""
        elapsed_ns = max(0, self.now() - attempt.started_at_ns)
        load = self._load_values(report)
        if attempt.call is None:
            self.handle(HealthChecked(outcome, attempt.backend, elapsed_ns, load))
            return
        self._outcomes[outcome] += 1
        number = attempt.request
        request = self.requests[number]
        request.attempts_in_flight.pop(attempt.index, None)
        if outcome not in NOT_EXECUTED:
            request.has_reached_backend = True
        if attempt is request.forwarded_attempt and not request.is_closed:
            self._forwarding_ended(number, request, outcome)
        elif outcome is Outcome.OK and value is not None and not request.is_closed:
            self._close(number, request, Ending.SERVED)
            request.slot.send_value(request.call, value)
        event = AttemptEnded(
            number, request.is_closed, 0, attempt.backend, 0, outcome, elapsed_ns, attempt.index, load
        )
        self.handle(event, number)
        if self.handover_exporter is not None:
            self.handover_exporter.attempt_ended(event)
        self._forget_finished(number, request)

    def _load_values(self, report: LoadReport) -> tuple[float, ...]:
        """Returns the load report's values in the order of the settings, or none if one is missing."""
        names = self.config.settings.load_report_names
        if report and report.keys() >= set(names):
            return tuple(report[name] for name in names)
        return ()

    def handle(self, event: Event, number: int = 0) -> None:
        """Passes an event to the decision module and carries out the actions that it returns.

        An exception fails one request and never ends the process. `number` is the request that the event is
        about, or 0. Raises `ListError` if the module fails on an endpoint update.
        """
        try:
            actions = self.decision_module.handle(self.now(), event)
        except Exception:
            log.exception("event %s failed with an exception in the decision module", type(event).__name__)
            self._fail_after_exception(number)
            if isinstance(event, TimerFired):
                self.execute(SetTimer(TIMER_RETRY_NS, event.token))
            if isinstance(event, EndpointUpdate):
                # Rule 3 would be broken if the start of a drain were lost, so the watch resumes from before
                # this update.
                raise ListError("the decision module failed on the update") from None
            return
        for action in actions:
            # Each action is tried on its own: a failed one must not prevent the module's next tick.
            try:
                self.execute(action)
            except Exception:
                log.exception("action %s failed with an exception", type(action).__name__)
                self._fail_after_exception(getattr(action, "request", 0))

    def execute(self, action: Action) -> None:
        """Carries out one action."""
        self._executor.execute(action)

    def request_allocation(self, tenant: int) -> bool:
        """Asks the shared counter for more of a tenant's quota; returns False if there is no counter."""
        if self.parts.quota_counter is None:
            return False
        self.parts.quota_counter.request_allocation(tenant)
        return True

    def _fail_after_exception(self, number: int) -> None:
        """Answers the request that an exception affected, and has the module forget it."""
        if (request := self._open_request(number)) is not None:
            self._fail(number, request, "internal fault")
            self.handle(ClientDisconnected(number))
