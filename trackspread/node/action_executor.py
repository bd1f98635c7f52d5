"""Carries out the decision module's actions.

This module may depend on actions, requests and the connection pools, not on how answers are handled or events
are created. It makes no decisions.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import Protocol

from ..backends.attempt import Attempt
from ..backends.pools import ConnectionPools
from ..call import Call
from ..clock import Clock
from ..config.platform import Config
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
from ..decide.events import AttemptEnded, Event, Outcome, TimerFired
from .request import NS_PER_S, Request

log = logging.getLogger(__name__)


class ActionHost(Protocol):
    """Describes what actions are carried out on; `RequestHandler` implements it."""

    config: Config
    now: Clock
    backends: ConnectionPools

    @property
    def requests(self) -> Mapping[int, Request]:
        """The accepted requests that have not ended, by number."""

    def handle(self, event: Event, number: int = 0) -> None:
        """Passes an event to the decision module."""

    def reject(self, number: int, retry_after_ns: int) -> None:
        """Answers that a request is rejected."""

    def fail(self, number: int, reason: str) -> None:
        """Answers that a request failed."""

    def left(self, number: int) -> None:
        """Ends a request whose client has disconnected."""

    def may_be_retried(self, call: Call) -> bool:
        """Returns whether a request may be sent again although it may have been executed."""

    def attempt_starts(self, attempt: Attempt) -> None:
        """Records that an attempt is about to start."""

    def send_to_peers(self, recipient: int | None, data: bytes) -> None:
        """Sends a message to one other gateway, or to all if `recipient` is None."""

    def request_allocation(self, tenant: int) -> bool:
        """Asks the shared counter for more of a tenant's quota; returns False if there is no counter."""


class ActionExecutor:
    """Carries out actions on its host."""

    def __init__(self, host: ActionHost) -> None:
        self._host = host
        self._loop = asyncio.get_running_loop()

    def execute(self, action: Action) -> None:
        """Carries out one action."""
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case Reject(number, retry_after_ns):
                self._host.reject(number, retry_after_ns)
            case Fail(number):
                self._host.fail(number, "failed")
            case CancelAttempt(number, index):
                self._cancel_soon(number, index)
            case SetTimer(after_ns, token):
                self._loop.call_later(after_ns / NS_PER_S, self._host.handle, TimerFired(token))
            case _:
                self._execute_without_request(action)

    def _execute_without_request(self, action: Action) -> None:
        match action:
            case SendToPeers(recipient, data):
                self._host.send_to_peers(recipient, data)
            case RequestAllocation(tenant):
                if not self._host.request_allocation(tenant):
                    _log_unsupported(action)
            case CloseIdleConnections(backend):
                self._host.backends.close_idle(backend)
            case LogMessage(text):
                log.info("%s", text)
            case CheckHealth(backend) if self._host.config.settings.may_check_health:
                self._check_health(backend)
            case WatchEndpoints():
                pass  # the watch is opened when the gateway starts
            case _:
                _log_unsupported(action)

    def _check_health(self, backend: int) -> None:
        now_ns = self._host.now()
        timeout_ns = self._host.config.connect_timeout
        health_check = Attempt(0, 0, backend, now_ns, now_ns + timeout_ns, None)
        self._host.backends.start(health_check, timeout_ns / NS_PER_S)

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self._host.requests.get(action.request)
        now_ns = self._host.now()
        if request is None:
            # The module counts the attempt as in flight until it is notified that the attempt was not sent.
            log.error("request %d: attempt not sent, because the request has already ended", action.request)
            self._report_not_sent(action, 0, is_request_finished=True)
            return
        index = request.attempt_count
        request.attempt_count += 1
        if request.is_closed or now_ns >= request.expires_at_ns:
            self._report_not_sent(action, index, request.is_closed)
            return
        if request.slot.client.has_ended():
            # The event loop has not reported the disconnect yet; nothing is sent for a client that has left.
            self._loop.call_soon(self._host.left, action.request)
            self._report_not_sent(action, index, is_request_finished=True)
            return
        time_left_ns = request.expires_at_ns - now_ns
        has_timeout = 0 < action.timeout_ns < time_left_ns
        attempt = Attempt(
            action.request,
            index,
            action.backend,
            now_ns,
            now_ns + (action.timeout_ns if has_timeout else time_left_ns),
            request.call,
            action.not_after_ns,
            may_be_retried=self._host.may_be_retried(request.call),
        )
        request.attempts_in_flight[index] = attempt
        self._host.attempt_starts(attempt)
        self._host.backends.start(attempt, action.timeout_ns / NS_PER_S if has_timeout else None)

    def _report_not_sent(self, action: StartAttempt, index: int, is_request_finished: bool) -> None:
        event = AttemptEnded(
            action.request, is_request_finished, 0, action.backend, 0, Outcome.NOT_SENT, 0, index, ()
        )
        self._loop.call_soon(self._host.handle, event, action.request)

    def _cancel_soon(self, number: int, index: int) -> None:
        request = self._host.requests.get(number)
        if request is not None and (attempt := request.attempts_in_flight.get(index)) is not None:
            self.cancel_soon(attempt)

    def cancel_soon(self, attempt: Attempt) -> None:
        """Cancels an attempt in a later turn of the loop, as its outcome is an event of its own.

        The module must not receive that event while it handles another one.
        """
        self._loop.call_soon(self._cancel, attempt)

    def _cancel(self, attempt: Attempt) -> None:
        request = self._host.requests.get(attempt.request)
        if request is not None and attempt.index in request.attempts_in_flight:
            self._host.backends.cancel(attempt)


def _log_unsupported(action: Action) -> None:
    log.error("action %s ignored: this gateway does not support it", type(action).__name__)
