"""Requests from their coming to their end: happenings become the one decision module's events, its actions
calls.

May know: calls, attempts, deadlines, timers, the module. May not know: where lists, peers and files come
from, what a process does at its start and end (`gateway.py`).
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Iterator
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from ..backends.attempt import Attempt
from ..backends.pools import ConnectionPools
from ..backends.adapter import LoadReport
from ..call import Call
from ..call import InvalidCall, PausableSource
from ..clock import Clock
from ..config.operator import Services
from ..config.platform import Config
from ..config.roster import Roster
from ..control.figures import Figures
from ..decide.broker import Broker
from ..decide.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    RequestAllocation,
    SendToPeers,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from ..decide.backends import EndpointUpdate
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
from ..fronts.client import Slot
from ..lag import LagTolerantTimer
from ..lists.seam import ListError
from ..peers.datagrams import Peers
from ..usage.record import Ending
from .handover_state import StateExporter

if TYPE_CHECKING:
    from .counted import Counted
    from .planned import PlanFollower
    from .uses import Uses

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
MARGIN = 10 * MILLISECOND  # before a client's time ends: its way here and back, and a loop that lags
NO_SERVICES = Services()
FAULT_RETRY = SECOND // 10  # until a timer whose event met a fault fires again: the beat must go on


class Request:
    """A request that was taken, until its final answer and its last attempt's end."""

    __slots__ = ("attempts", "begun", "call", "closed", "out", "slot", "timer", "valid_until")

    def __init__(self, call: Call, slot: Slot, valid_until: int) -> None:
        self.call, self.slot, self.valid_until = call, slot, valid_until
        self.closed = False
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.timer: LagTolerantTimer | None = None
        self.begun: Attempt | None = None  # whose long value is being passed on


class Requests:
    """The table of requests, and the module that decides on them; a gateway is one with sockets round it."""

    backends: ConnectionPools
    peers: Peers
    book: PlanFollower | None
    uses: Uses | None
    counted: Counted | None

    def __init__(self, config: Config, services: Services = NO_SERVICES) -> None:
        self.config, self.services = config, services
        self._loop = asyncio.get_running_loop()
        self.now = Clock()
        self.module = self._module()
        self.roster = Roster.first(config.classes, config.settings.classes)
        self.figures = Figures(config.classes)
        self.requests: dict[int, Request] = {}
        self.ids: set[bytes] = set()  # of the requests that still owe an answer
        self.answer_by: int | None = None  # once stopping: when every request has to be answered
        self.testator: StateExporter | None = None  # while another process has the word
        self._numbers: Iterator[int] = count(1)
        self._ends: Counter[Outcome] = Counter()  # attempts since the last line on them

    def _module(self) -> Module:
        """One broker, or one for each service."""
        config, carried = self.config, self.services.carried()
        if not carried:
            return Broker(config.settings, config.seed, self.now())
        return ServiceBrokers(
            config.settings, config.seed, self.now(), carried, lambda cls: self.services.service_of(cls.name)
        )

    @property
    def broker(self) -> Broker:
        """The only one: where there are several, no other process takes over."""
        assert isinstance(self.module, Broker), "there is a broker for each service"
        return self.module

    def next_number(self) -> int:
        return next(self._numbers)

    def number_from(self, numbers: Iterator[int]) -> None:
        self._numbers = numbers

    def tell(self, to: int | None, data: bytes) -> None:
        """To one other gateway, or to all."""
        self.peers.tell(to, data)

    # From the clients.

    def ready(self) -> bool:
        return self.backends.has_available_backend()

    def take(self, call: Call, slot: Slot, waited: float) -> None:
        """`waited`: seconds that the command lay here already. Raises `BadCall`."""
        if call.request_id in self.ids:
            raise InvalidCall("a request with this id is open")
        now, number = self.now(), next(self._numbers)
        wait = min(call.wait_ms * MILLISECOND, self.roster.rules[call.request_class].deadline_ns)
        valid_until = now + max(0, wait - int(waited * SECOND) - MARGIN)
        if self.answer_by is not None:
            # A backend may hang for all of a late comer's time, and this process is killed before that is up.
            valid_until = min(valid_until, max(now, self.answer_by))
        request = Request(call, slot, valid_until)
        self.ids.add(call.request_id)
        slot.request = number
        self.requests[number] = request
        if self.counted is not None:
            self.counted.before(call)
        self.handle(
            RequestArrived(
                number,
                call.request_class,
                call.plan,
                call.tenant,
                valid_until,
                call.units,
                call.gateway_span,
                call.first_gateway,
                call.options,
            ),
            number,
        )
        if number in self.requests:
            delay = (valid_until - self.now()) / SECOND
            request.timer = LagTolerantTimer(self._loop, max(0.0, delay), partial(self.time_is_up, number))

    def left(self, number: int) -> None:
        request = self.requests.get(number)
        if request is not None and not request.closed:
            self._close(number, request, Ending.LEFT)
            self.handle(ClientDisconnected(number))
            if request.begun is not None:
                self._loop.call_soon(self._cancel, request.begun)
            for attempt in list(request.out.values()):
                # Whether settings allow to cancel does not matter for what was never written.
                self.backends.withdraw(attempt)

    def time_is_up(self, number: int) -> None:
        """The client's time is up: attempts still out end, and the request gets an answer come what may."""
        request = self.requests.get(number)
        if request is None:
            return
        left = request.valid_until - self.now()
        if left > 0:  # timers count in milliseconds and may come early
            request.timer = LagTolerantTimer(self._loop, left / SECOND, partial(self.time_is_up, number))
            return
        for attempt in list(request.out.values()):
            self.backends.expire(attempt)
        if not request.closed:
            # The module left it open, perhaps after a fault: a failure promises nothing.
            self._fail(number, request, "out of time")
            self.handle(ClientDisconnected(number))

    def is_wanted(self, attempt: Attempt) -> bool:
        """Whether somebody still waits for what this attempt is to bring."""
        request = self.requests.get(attempt.request)
        return request is not None and not request.closed and not request.slot.client.ended()

    # Answers.

    def _close(self, number: int, request: Request, ending: Ending) -> None:
        """The final answer is given, or nobody is there for it: no other follows."""
        if not request.closed:
            request.closed = True
            self.figures.ended(self.roster.names[request.call.request_class], ending)
            if self.uses is not None:
                version = self.book.version if self.book is not None else 0
                self.uses.count(request.call, ending, request.attempts, version)
            self.ids.discard(request.call.request_id)
            if self.testator is not None:
                self.testator.closed(number)
        self._forget(number, request)

    def _forget(self, number: int, request: Request) -> None:
        """Once its last attempt is over too. Until then the timer stays: a silent backend would hold the
        connection of an attempt that nobody waits for, and its place in the module's count, for good."""
        if request.closed and not request.out:
            if request.timer is not None:
                request.timer.cancel()
            self.requests.pop(number, None)

    def _fail(self, number: int, request: Request, reason: str) -> None:
        self._close(number, request, Ending.FAILED)
        request.slot.failed(request.call, reason)

    # From the backends.

    def attempt_written(self) -> None:
        self.figures.attempts += 1

    def value_begins(self, attempt: Attempt, length: int, source: PausableSource) -> bool:
        """From its first byte on the value is the answer: nobody's time cuts it off, nothing else follows."""
        number = attempt.request
        request = self.requests.get(number)
        if request is None or request.closed or request.begun is not None:
            return False
        request.begun = attempt
        if request.timer is not None:
            request.timer.cancel()
        for other in request.out.values():
            if other is not attempt:
                self._loop.call_soon(self._cancel, other)
        elapsed = max(0, self.now() - attempt.started_at_ns)
        self.handle(ResponseStarted(number, elapsed, attempt.index, attempt.backend), number)
        request.slot.begins(request.call, length, source)
        return True

    def value_piece(self, attempt: Attempt, data: bytes) -> None:
        if (request := self.requests.get(attempt.request)) is not None and not request.closed:
            request.slot.piece(data)

    def _begun_ended(self, number: int, request: Request, outcome: Outcome) -> None:
        """The value has come whole, or never will: then the client has to be able to tell."""
        if outcome is Outcome.OK:
            self._close(number, request, Ending.SERVED)
            request.slot.whole(request.call)
        else:
            self._close(number, request, Ending.FAILED)
            request.slot.cut(request.call)

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: LoadReport
    ) -> None:
        elapsed = max(0, self.now() - attempt.started_at_ns)
        names = self.config.settings.load_report_names
        load = tuple(report[name] for name in names) if report and report.keys() >= set(names) else ()
        if attempt.call is None:
            self.handle(HealthChecked(outcome, attempt.backend, elapsed, load))
            return
        self._ends[outcome] += 1
        number = attempt.request
        request = self.requests[number]
        request.out.pop(attempt.index, None)
        if attempt is request.begun and not request.closed:
            self._begun_ended(number, request, outcome)
        elif outcome is Outcome.OK and value is not None and not request.closed:
            self._close(number, request, Ending.SERVED)
            request.slot.served(request.call, value)
        event = AttemptEnded(
            number, request.closed, 0, attempt.backend, 0, outcome, elapsed, attempt.index, load
        )
        self.handle(event, number)
        if self.testator is not None:
            self.testator.ended(event)
        self._forget(number, request)

    # The module.

    def handle(self, event: Event, number: int = 0) -> None:
        """One event in, its actions out; a fault costs one request a failure, never the process."""
        try:
            actions = self.module.handle(self.now(), event)
        except Exception:
            log.exception("fault in handling %s", type(event).__name__)
            self._fault(number)
            if isinstance(event, TimerFired):
                self.act(SetTimer(FAULT_RETRY, event.token))
            if isinstance(event, EndpointUpdate):
                # A lost notice of a drain would break rule 3: the watch is taken up again before it.
                raise ListError("not taken in by the module") from None
            return
        for action in actions:
            # Each by itself: one that can't be carried out must not take the module's next beat with it.
            try:
                self.act(action)
            except Exception:
                log.exception("fault in carrying out %s", type(action).__name__)
                self._fault(getattr(action, "request", 0))

    def _fault(self, number: int) -> None:
        """The request that a fault hit still gets its one answer, and the module need not keep it."""
        request = self.requests.get(number)
        if request is not None and not request.closed:
            self._fail(number, request, "internal fault")
            self.handle(ClientDisconnected(number))

    def act(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case Reject(number, retry_in):
                if (request := self.requests.get(number)) is not None and not request.closed:
                    wait = -(-retry_in // MILLISECOND)
                    self._close(number, request, Ending.REFUSED)
                    request.slot.refused(request.call, wait)
            case Fail(number):
                if (request := self.requests.get(number)) is not None and not request.closed:
                    self._fail(number, request, "failed")
            case SetTimer(after, token):
                self._loop.call_later(after / SECOND, self.handle, TimerFired(token))
            case SendToPeers(to, data):
                self.tell(to, data)
            case CancelAttempt(number, index):
                request = self.requests.get(number)
                if request is not None and (attempt := request.out.get(index)) is not None:
                    self._loop.call_soon(self._cancel, attempt)
            case RequestAllocation(customer) if self.counted is not None:
                self.counted.wanted(customer)
            case CloseIdleConnections(backend):
                self.backends.close_idle(backend)
            case LogMessage(text):
                log.info("%s", text)
            case CheckHealth(backend) if self.config.settings.may_check_health:
                now, wait = self.now(), self.config.connect_timeout
                self.backends.start(Attempt(0, 0, backend, now, now + wait, None), wait / SECOND)
            case WatchEndpoints():
                pass  # the watch is open from the start
            case _:
                log.error("%s is not possible on sockets", type(action).__name__)

    def _send(self, action: StartAttempt) -> None:
        request, now = self.requests.get(action.request), self.now()
        if request is None:
            # The module counts it as out all the same, until it is told that it is not.
            log.error("attempt for a request that is over")
            self._moot(action, 0, True)
            return
        index = request.attempts
        request.attempts += 1
        if request.closed or now >= request.valid_until:
            self._moot(action, index, request.closed)
            return
        if request.slot.client.ended():
            # The loop has not come to that yet; nothing is sent on for a client that has left.
            self._loop.call_soon(self.left, action.request)
            self._moot(action, index, True)
            return
        left = request.valid_until - now
        timeout = action.timeout_ns / SECOND if 0 < action.timeout_ns < left else None
        expires = now + (action.timeout_ns if timeout is not None else left)
        attempt = Attempt(
            action.request, index, action.backend, now, expires, request.call, action.not_after_ns
        )
        request.out[index] = attempt
        if self.testator is not None:
            self.testator.sent(attempt)
        self.backends.start(attempt, timeout)

    def _moot(self, action: StartAttempt, index: int, finished: bool) -> None:
        event = AttemptEnded(action.request, finished, 0, action.backend, 0, Outcome.NOT_SENT, 0, index, ())
        self._loop.call_soon(self.handle, event, action.request)

    def _cancel(self, attempt: Attempt) -> None:
        """Not within the module's own turn: its outcome is an event of its own."""
        request = self.requests.get(attempt.request)
        if request is not None and attempt.index in request.out:
            self.backends.cancel(attempt)
