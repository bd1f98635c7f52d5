"""Exports the state that an old process hands over, and restores it in the new process.

After the export, messages report each attempt and request of the old process that starts or ends. This module
may depend on the gateway, the decision module's snapshot and the layout of the handover's messages, not on
sockets or the steps of a handover.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from itertools import count
from typing import Literal, Protocol

import msgspec

from ..backends.attempt import Attempt
from ..call import Call
from ..clock import Clock
from ..config.platform import Config
from ..decide import snapshot, snapshot_restore
from ..decide.broker import Broker
from ..decide.events import AttemptEnded, Event, Outcome
from ..handover import wire
from .executed_ids import ExecutedIds

NUMBER_OFFSET = 1 << 32  # added to the new process's request numbers, so that none is used by both processes


class AcceptedRequest(Protocol):
    """Describes an accepted request that is kept until its last attempt has ended."""

    @property
    def call(self) -> Call:
        """The client's call."""

    @property
    def is_closed(self) -> bool:
        """Whether the request has its final answer."""

    @property
    def attempts_in_flight(self) -> Mapping[int, Attempt]:
        """The request's attempts in flight, by index."""


class HandoverGateway(Protocol):
    """Describes what a handover's state is read from and restored to; `Gateway` implements it."""

    config: Config
    now: Clock

    @property
    def broker(self) -> Broker:
        """The decision module."""

    open_request_ids: set[bytes]
    executed_ids: ExecutedIds

    @property
    def requests(self) -> Mapping[int, AcceptedRequest]:
        """The accepted requests by number."""

    def class_names(self) -> tuple[str, ...]:
        """Returns the names of the classes by number."""

    def next_number(self) -> int:
        """Returns the number of the next request and consumes it."""

    def continue_numbers(self, numbers: Iterator[int]) -> None:
        """Takes the numbers of the next requests from this iterator."""

    def share_descriptors(self, clients: int, backends: int) -> None:
        """Lowers the limits by the descriptors that the other process holds."""

    def handle(self, event: Event, number: int = 0) -> None:
        """Passes an event to the decision module."""


class HandoverState(msgspec.Struct, frozen=True, omit_defaults=True):
    """Holds the complete state; on the wire its fields have the names given with `name`.

    `clock_base_ns` is the base of the clock of all times in the state, `open_request_ids` are pairs of number
    and id, `client_descriptors` and `backend_descriptors` count those that the old process still holds,
    `executed_ids` are those of `ExecutedIds`, and are missing from older versions.
    """

    decision_state: snapshot.Plain = msgspec.field(name="module")
    clock_base_ns: int = msgspec.field(name="base")
    open_request_ids: list[tuple[int, bytes]] = msgspec.field(name="ids")
    next_number: int = msgspec.field(name="next")
    client_descriptors: int = msgspec.field(name="clients")
    backend_descriptors: int = msgspec.field(name="links")
    executed_ids: list[bytes] = msgspec.field(default_factory=list, name="ran")


class Progress(msgspec.Struct, frozen=True):
    """Reports that an attempt of the old process was sent or has ended, or that a request was closed.

    On the wire its fields have the names given with `name`.
    """

    kind: Literal["sent", "ended", "closed"] = msgspec.field(name="what")
    request: int
    attempt: int = 0
    backend: int = 0
    outcome: int = 0
    elapsed_ns: int = msgspec.field(default=0, name="elapsed")
    load_report: tuple[float, ...] = msgspec.field(default=(), name="report")
    request_class: str = msgspec.field(default="", name="cls")
    plan: str = ""
    tenant: int = msgspec.field(default=0, name="customer")
    units: float = 0.0


class StateExporter:
    """Encodes the old process's state, and reports what happens after the export."""

    def __init__(self, gateway: HandoverGateway, send: Callable[[bytes], object]) -> None:
        """Creates an exporter; `send` takes the packets for the new process."""
        self._gateway = gateway
        self._send_packet = send

    def export(self) -> bytes:
        """Returns the complete present state, encoded."""
        gateway = self._gateway
        in_flight = {
            (number, index): attempt.backend
            for number, request in gateway.requests.items()
            for index, attempt in request.attempts_in_flight.items()
        }
        open_request_ids = [
            (number, request.call.request_id)
            for number, request in gateway.requests.items()
            if not request.is_closed
        ]
        return wire.encode(
            HandoverState(
                snapshot.export_state(gateway.broker, gateway.class_names(), in_flight),
                gateway.now.base_ns,
                open_request_ids,
                gateway.next_number(),
                len(open_request_ids),
                len(in_flight),
                gateway.executed_ids.all(),
            )
        )

    def _send(self, progress: Progress) -> None:
        self._send_packet(wire.pack(wire.Kind.PROGRESS, wire.encode(progress)))

    def attempt_started(self, attempt: Attempt) -> None:
        """Reports an attempt that starts here after the export; health checks are not reported."""
        call = attempt.call
        if call is None:
            return
        self._send(
            Progress(
                "sent",
                attempt.request,
                attempt.index,
                attempt.backend,
                request_class=self._gateway.class_names()[call.request_class],
                plan=self._gateway.broker.settings.plans[call.plan].name,
                tenant=call.tenant,
                units=call.units,
            )
        )

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Reports that an attempt which was in flight has ended."""
        self._send(
            Progress(
                "ended",
                event.request,
                event.attempt,
                event.backend,
                int(event.outcome),
                event.elapsed_ns,
                event.load_report,
            )
        )

    def request_closed(self, number: int) -> None:
        """Reports that an open request has its final answer."""
        self._send(Progress("closed", number))


class StateImporter:
    """Restores the old process's state in the new process, and applies the reports that follow."""

    def __init__(self, gateway: HandoverGateway) -> None:
        self._gateway = gateway
        self._request_ids: dict[int, bytes] = {}  # ids of the old process's open requests, by number
        # This maps the request's number and the index of each attempt in flight there to its backend.
        self._in_flight: dict[tuple[int, int], int] = {}

    def restore(self, encoded: bytes) -> None:
        """Restores the complete state; raises `WireError` or `ValueError` before anything is changed."""
        state: HandoverState = wire.decode(encoded, HandoverState)
        gateway = self._gateway
        snapshot_restore.restore_state(gateway.broker, state.decision_state, gateway.class_names())
        gateway.now.base_ns = state.clock_base_ns
        self._in_flight = {
            (number, index): backend for number, index, backend, *_ in state.decision_state["out"]
        }
        self._request_ids = dict(state.open_request_ids)
        gateway.open_request_ids.update(self._request_ids.values())
        gateway.executed_ids.update(state.executed_ids)
        gateway.continue_numbers(count(state.next_number + NUMBER_OFFSET))
        gateway.share_descriptors(state.client_descriptors, state.backend_descriptors)

    def apply_progress(self, body: bytes) -> None:
        """Applies one report of the old process; raises `WireError`."""
        progress: Progress = wire.decode(body, Progress)
        key = progress.request, progress.attempt
        match progress.kind:
            case "sent":
                self._in_flight[key] = progress.backend
                self._mirror(progress)
            case "ended" if self._in_flight.pop(key, None) is not None:
                self._attempt_ended(progress)
            case "closed":
                request_id = self._request_ids.pop(progress.request, None)
                if request_id is not None:
                    self._close(request_id)

    def _close(self, request_id: bytes) -> None:
        """Closes a request of the old process, which does not say whether it may have been executed."""
        self._gateway.open_request_ids.discard(request_id)
        self._gateway.executed_ids.add(request_id)

    def _mirror(self, progress: Progress) -> None:
        """Has the decision module count an attempt of the old process as in flight."""
        attempt = snapshot.AttemptElsewhere(
            progress.request,
            progress.attempt,
            progress.backend,
            progress.request_class,
            progress.plan,
            progress.tenant,
            progress.units,
        )
        snapshot_restore.count_attempt_elsewhere(self._gateway.broker, self._gateway.class_names(), attempt)

    def _attempt_ended(self, progress: Progress) -> None:
        is_known = progress.outcome in Outcome.__members__.values()
        outcome = Outcome(progress.outcome) if is_known else Outcome.ERROR
        names = self._gateway.config.settings.load_report_names
        report = progress.load_report if len(progress.load_report) == len(names) else ()
        key = progress.request, progress.attempt
        self._end(key, progress.backend, outcome, progress.elapsed_ns, report)

    def _end(
        self, key: tuple[int, int], backend: int, outcome: Outcome, elapsed_ns: int, report: tuple[float, ...]
    ) -> None:
        number, index = key
        event = AttemptEnded(number, True, 0, backend, 0, outcome, elapsed_ns, index, report)
        self._gateway.handle(event)

    def predecessor_ended(self) -> None:
        """Ends the attempts and closes the requests of the old process, which has ended."""
        while self._in_flight:
            key, backend = self._in_flight.popitem()
            self._end(key, backend, Outcome.CANCELLED, 0, ())
        while self._request_ids:
            self._close(self._request_ids.popitem()[1])
        self._gateway.share_descriptors(0, 0)
