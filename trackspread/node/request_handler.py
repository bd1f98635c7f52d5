"""Requests from their arrival to their end: what happens to them becomes the decision module's events.

May know: calls, attempts, deadlines, timers, the module. May not know: where endpoint lists, peers and files
come from, what a process does at its start and end (`gateway.py`).
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
from ..fronts.client import ResponseSlot
from ..lag import LagTolerantTimer
from ..lists.source import ListError
from ..peers.datagrams import PeerSocket
from ..usage.record import Ending
from .action_executor import ActionExecutor
from .handover_state import StateExporter
from .optional_parts import OptionalParts
from .request import NS_PER_MS, NS_PER_S, Request

log = logging.getLogger(__name__)

# Before a client's time ends: the way here and back, and a loop that lags.
DEADLINE_MARGIN_NS = 10 * NS_PER_MS
# Until a timer whose event met a fault fires again: the module's tick goes on.
TIMER_RETRY_NS = NS_PER_S // 10
NO_SERVICES = Services()


class RequestHandler:
    """The requests, and the module that decides on them; a gateway is one with sockets around it."""

    backends: ConnectionPools
    peers: PeerSocket
    parts: OptionalParts

    def __init__(self, config: Config, services: Services = NO_SERVICES) -> None:
        self.config = config
        self.services = services
        self._loop = asyncio.get_running_loop()
        self.now = Clock()
        self.decision_module = self._make_decision_module()
        self.roster = Roster.first(config.classes, config.settings.classes)
        self.figures = RequestCounters(config.classes)
        self.requests: dict[int, Request] = {}
        self.open_request_ids: set[bytes] = set()  # of the requests that still owe an answer
        self.answer_by_ns: int | None = None  # once stopping: when every request has to be answered
        # While another process serves in this one's place.
        self.handover_exporter: StateExporter | None = None
        self._executor = ActionExecutor(self)
        self._numbers: Iterator[int] = count(1)
        self._outcomes: Counter[Outcome] = Counter()  # of attempts since the last line on them

    def _make_decision_module(self) -> Module:
        """One broker, or one for each service."""
        config = self.config
        carried = self.services.carried()
        if not carried:
            return Broker(config.settings, config.seed, self.now())
        return ServiceBrokers(
            config.settings, config.seed, self.now(), carried, lambda cls: self.services.service_of(cls.name)
        )

    @property
    def broker(self) -> Broker:
        """The only one: where there are several, no other process takes over."""
        assert isinstance(self.decision_module, Broker), "there is a broker for each service"
        return self.decision_module

    def next_number(self) -> int:
        """The number of the next request; it is used up."""
        return next(self._numbers)

    def continue_numbers(self, numbers: Iterator[int]) -> None:
        """Take the next requests' numbers from there."""
        self._numbers = numbers

    def send_to_peers(self, recipient: int | None, data: bytes) -> None:
        """Send a message to one other gateway, or to all."""
        self.peers.send(recipient, data)

    # From the clients.

    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.backends.has_available_backend()

    def take(self, call: Call, slot: ResponseSlot, waited: float) -> None:
        """Accept a request that waited so many seconds here already. Raises `InvalidCall`."""
        if call.request_id in self.open_request_ids:
            raise InvalidCall("a request with this id is open")
        now_ns = self.now()
        number = next(self._numbers)
        expires_at_ns = self._expires_at_ns(call, now_ns, waited)
        request = Request(call, slot, expires_at_ns)
        self.open_request_ids.add(call.request_id)
        slot.request = number
        self.requests[number] = request
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
        )
        self.handle(event, number)
        if number in self.requests:
            self._start_deadline_timer(number, request)

    def _expires_at_ns(self, call: Call, now_ns: int, waited_s: float) -> int:
        class_deadline_ns = self.roster.rules[call.request_class].deadline_ns
        time_ns = min(call.wait_ms * NS_PER_MS, class_deadline_ns)
        expires_at_ns = now_ns + max(0, time_ns - int(waited_s * NS_PER_S) - DEADLINE_MARGIN_NS)
        if self.answer_by_ns is not None:
            # A backend may hang for all of a late request's time, and this process is killed before its end.
            expires_at_ns = min(expires_at_ns, max(now_ns, self.answer_by_ns))
        return expires_at_ns

    def _start_deadline_timer(self, number: int, request: Request) -> None:
        delay_s = max(0.0, (request.expires_at_ns - self.now()) / NS_PER_S)
        request.timer = LagTolerantTimer(self._loop, delay_s, partial(self.deadline_reached, number))

    def left(self, number: int) -> None:
        """The request's client has left."""
        request = self.requests.get(number)
        if request is None or request.is_closed:
            return
        self._close(number, request, Ending.LEFT)
        self.handle(ClientDisconnected(number))
        if request.forwarded_attempt is not None:
            self._executor.cancel_soon(request.forwarded_attempt)
        for attempt in list(request.attempts_in_flight.values()):
            # Whether settings allow to cancel does not matter for what was never written.
            self.backends.withdraw(attempt)

    def deadline_reached(self, number: int) -> None:
        """The client's time is up: attempts in flight end, and the request gets an answer in any case."""
        request = self.requests.get(number)
        if request is None:
            return
        if request.expires_at_ns > self.now():  # timers count in milliseconds and may come early
            self._start_deadline_timer(number, request)
            return
        for attempt in list(request.attempts_in_flight.values()):
            self.backends.expire(attempt)
        if not request.is_closed:
            # The module left it open, perhaps after a fault: a failure promises nothing.
            self._fail(number, request, "out of time")
            self.handle(ClientDisconnected(number))

    def is_wanted(self, attempt: Attempt) -> bool:
        """Whether a client still waits for what this attempt is to bring."""
        request = self.requests.get(attempt.request)
        return request is not None and not request.is_closed and not request.slot.client.has_ended()

    # Answers.

    def _open_request(self, number: int) -> Request | None:
        request = self.requests.get(number)
        return None if request is None or request.is_closed else request

    def reject(self, number: int, retry_after_ns: int) -> None:
        """Answer that the request is rejected, unless it has its answer."""
        if (request := self._open_request(number)) is not None:
            retry_after_ms = -(-retry_after_ns // NS_PER_MS)
            self._close(number, request, Ending.REFUSED)
            request.slot.send_rejection(request.call, retry_after_ms)

    def fail(self, number: int, reason: str) -> None:
        """Answer that the request failed, unless it has its answer."""
        if (request := self._open_request(number)) is not None:
            self._fail(number, request, reason)

    def _fail(self, number: int, request: Request, reason: str) -> None:
        self._close(number, request, Ending.FAILED)
        request.slot.send_failure(request.call, reason)

    def _close(self, number: int, request: Request, ending: Ending) -> None:
        """The final answer is given, or its client has left: no other follows."""
        if not request.is_closed:
            request.is_closed = True
            self.figures.count_ended(self.roster.names[request.call.request_class], ending)
            self.parts.record_usage(request.call, ending, request.attempt_count)
            self.open_request_ids.discard(request.call.request_id)
            if self.handover_exporter is not None:
                self.handover_exporter.closed(number)
        self._forget_finished(number, request)

    def _forget_finished(self, number: int, request: Request) -> None:
        """Forget a closed request once its last attempt has ended.

        Until then the timer stays: an unresponsive backend would hold the connection of an attempt whose
        answer is not waited for, and its place in the module's count, for good.
        """
        if request.is_closed and not request.attempts_in_flight:
            if request.timer is not None:
                request.timer.cancel()
            self.requests.pop(number, None)

    # From the backends.

    def attempt_starts(self, attempt: Attempt) -> None:
        """An attempt is about to start."""
        if self.handover_exporter is not None:
            self.handover_exporter.attempt_started(attempt)

    def attempt_written(self) -> None:
        """A request's last byte has gone out to a backend."""
        self.figures.attempts += 1

    def value_begins(self, attempt: Attempt, length: int, source: PausableSource) -> bool:
        """A long value is the answer from its first byte on: no deadline cuts it off, none follows."""
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
        """The next bytes of a long value."""
        if (request := self._open_request(attempt.request)) is not None:
            request.slot.add_piece(data)

    def _forwarding_ended(self, number: int, request: Request, outcome: Outcome) -> None:
        """The long value is complete, or never will be: then the client has to be able to see that."""
        if outcome is Outcome.OK:
            self._close(number, request, Ending.SERVED)
            request.slot.end_value(request.call)
        else:
            self._close(number, request, Ending.FAILED)
            request.slot.abort_value(request.call)

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: LoadReport
    ) -> None:
        """An attempt or a health check has ended."""
        elapsed_ns = max(0, self.now() - attempt.started_at_ns)
        load = self._load_values(report)
        if attempt.call is None:
            self.handle(HealthChecked(outcome, attempt.backend, elapsed_ns, load))
            return
        self._outcomes[outcome] += 1
        number = attempt.request
        request = self.requests[number]
        request.attempts_in_flight.pop(attempt.index, None)
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
            self.handover_exporter.ended(event)
        self._forget_finished(number, request)

    def _load_values(self, report: LoadReport) -> tuple[float, ...]:
        """The load report's values in the order of the settings; none unless all are there."""
        names = self.config.settings.load_report_names
        if report and report.keys() >= set(names):
            return tuple(report[name] for name in names)
        return ()

    # The decision module.

    def handle(self, event: Event, number: int = 0) -> None:
        """One event in, its actions out; a fault costs one request a failure, never the process.

        `number`: of the request that the event is about, 0 for none. Raises `ListError` where an endpoint
        update met a fault.
        """
        try:
            actions = self.decision_module.handle(self.now(), event)
        except Exception:
            log.exception("fault in handling %s", type(event).__name__)
            self._fault(number)
            if isinstance(event, TimerFired):
                self.execute(SetTimer(TIMER_RETRY_NS, event.token))
            if isinstance(event, EndpointUpdate):
                # A lost notice of a drain would break rule 3: the watch is resumed from before it.
                raise ListError("not taken in by the module") from None
            return
        for action in actions:
            # Each by itself: one that cannot be carried out must not take the module's next tick with it.
            try:
                self.execute(action)
            except Exception:
                log.exception("fault in carrying out %s", type(action).__name__)
                self._fault(getattr(action, "request", 0))

    def execute(self, action: Action) -> None:
        """Carry out one action."""
        self._executor.execute(action)

    def request_allocation(self, tenant: int) -> bool:
        """Ask the shared counter for more of a tenant's quota; False where there is no counter."""
        if self.parts.quota_counter is None:
            return False
        self.parts.quota_counter.request_allocation(tenant)
        return True

    def _fault(self, number: int) -> None:
        """The request that a fault hit still gets its one answer, and the module need not keep it."""
        if (request := self._open_request(number)) is not None:
            self._fail(number, request, "internal fault")
            self.handle(ClientDisconnected(number))
