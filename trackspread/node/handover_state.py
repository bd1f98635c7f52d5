"""The state that an old process hands over to a new one, and its messages on what ends afterwards.

May know: the gateway, the decision module's snapshot, the handover's layout. May not know: sockets, steps.
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

NUMBER_OFFSET = 1 << 32  # of the new process's requests: no number stands for one of each process


class AcceptedRequest(Protocol):
    """A request that was accepted and may still owe an answer."""

    @property
    def call(self) -> Call:
        """What was asked for."""

    @property
    def is_closed(self) -> bool:
        """Whether its final answer was given."""

    @property
    def attempts_in_flight(self) -> Mapping[int, Attempt]:
        """Its attempts at backends, by index."""


class HandoverGateway(Protocol):
    """What the state of a handover is read from and restored to; a gateway is one."""

    config: Config
    now: Clock

    @property
    def broker(self) -> Broker:
        """The decision module."""

    open_request_ids: set[bytes]

    @property
    def requests(self) -> Mapping[int, AcceptedRequest]:
        """By number."""

    def class_names(self) -> tuple[str, ...]:
        """By number."""

    def next_number(self) -> int:
        """The number of the next request; it is used up."""

    def continue_numbers(self, numbers: Iterator[int]) -> None:
        """Where the next requests' numbers come from."""

    def share_descriptors(self, clients: int, backends: int) -> None:
        """Descriptors that the other process holds."""

    def handle(self, event: Event, number: int = 0) -> None:
        """One event for the decision module."""


class HandoverState(msgspec.Struct, frozen=True):
    """The complete state; its fields go over the wire under the names given.

    `clock_base_ns` is the base of the clock that all times are by; `open_request_ids` are by number;
    `client_descriptors` and `backend_descriptors` are those that the old process still holds.
    """

    decision_state: snapshot.Plain = msgspec.field(name="module")
    clock_base_ns: int = msgspec.field(name="base")
    open_request_ids: list[tuple[int, bytes]] = msgspec.field(name="ids")
    next_number: int = msgspec.field(name="next")
    client_descriptors: int = msgspec.field(name="clients")
    backend_descriptors: int = msgspec.field(name="links")


class Progress(msgspec.Struct, frozen=True):
    """What became of a request or attempt that the old process had accepted.

    Its fields go over the wire under the names given.
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
    """The old process's side."""

    def __init__(self, table: HandoverGateway, send: Callable[[bytes], object]) -> None:
        """`send` takes packets for the new process."""
        self._table = table
        self._send_packet = send

    def export(self) -> bytes:
        """The complete state at this time, encoded."""
        table = self._table
        in_flight = {
            (number, index): attempt.backend
            for number, request in table.requests.items()
            for index, attempt in request.attempts_in_flight.items()
        }
        open_request_ids = [
            (number, request.call.request_id)
            for number, request in table.requests.items()
            if not request.is_closed
        ]
        return wire.encode(
            HandoverState(
                snapshot.export_state(table.broker, table.class_names(), in_flight),
                table.now.base_ns,
                open_request_ids,
                table.next_number(),
                len(open_request_ids),
                len(in_flight),
            )
        )

    def _send(self, progress: Progress) -> None:
        self._send_packet(wire.pack(wire.Kind.PROGRESS, wire.encode(progress)))

    def attempt_started(self, attempt: Attempt) -> None:
        """An attempt starts here after the state was exported."""
        call = attempt.call
        if call is None:
            return
        self._send(
            Progress(
                "sent",
                attempt.request,
                attempt.index,
                attempt.backend,
                request_class=self._table.class_names()[call.request_class],
                plan=self._table.broker.settings.plans[call.plan].name,
                tenant=call.tenant,
                units=call.units,
            )
        )

    def ended(self, event: AttemptEnded) -> None:
        """An attempt that was still in flight has ended."""
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

    def closed(self, number: int) -> None:
        """A request that was open has its final answer."""
        self._send(Progress("closed", number))


class StateImporter:
    """The new process's side."""

    def __init__(self, table: HandoverGateway) -> None:
        self._table = table
        self._request_ids: dict[int, bytes] = {}  # of the old process's open requests, by number
        # The old process's attempts in flight, by request's number and index, with the backend of each.
        self._in_flight: dict[tuple[int, int], int] = {}

    def restore(self, encoded: bytes) -> None:
        """Take up the complete state; raises `WireError` or `ValueError` before anything is changed."""
        state: HandoverState = wire.decode(encoded, HandoverState)
        table = self._table
        snapshot_restore.restore_state(table.broker, state.decision_state, table.class_names())
        table.now.base_ns = state.clock_base_ns
        self._in_flight = {
            (number, index): backend for number, index, backend, *_ in state.decision_state["out"]
        }
        self._request_ids = dict(state.open_request_ids)
        table.open_request_ids.update(self._request_ids.values())
        table.continue_numbers(count(state.next_number + NUMBER_OFFSET))
        table.share_descriptors(state.client_descriptors, state.backend_descriptors)

    def progressed(self, body: bytes) -> None:
        """Take up one message of the old process; raises `WireError`."""
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
                    self._table.open_request_ids.discard(request_id)

    def _mirror(self, progress: Progress) -> None:
        """Have the decision module count an attempt of the old process."""
        attempt = snapshot.AttemptElsewhere(
            progress.request,
            progress.attempt,
            progress.backend,
            progress.request_class,
            progress.plan,
            progress.tenant,
            progress.units,
        )
        snapshot_restore.count_attempt_elsewhere(self._table.broker, self._table.class_names(), attempt)

    def _attempt_ended(self, progress: Progress) -> None:
        is_known = progress.outcome in Outcome.__members__.values()
        outcome = Outcome(progress.outcome) if is_known else Outcome.ERROR
        names = self._table.config.settings.load_report_names
        report = progress.load_report if len(progress.load_report) == len(names) else ()
        key = progress.request, progress.attempt
        self._end(key, progress.backend, outcome, progress.elapsed_ns, report)

    def _end(
        self, key: tuple[int, int], backend: int, outcome: Outcome, elapsed_ns: int, report: tuple[float, ...]
    ) -> None:
        number, index = key
        event = AttemptEnded(number, True, 0, backend, 0, outcome, elapsed_ns, index, report)
        self._table.handle(event)

    def predecessor_gone(self) -> None:
        """The old process is gone, and its attempts in flight and open requests with it."""
        while self._in_flight:
            key, backend = self._in_flight.popitem()
            self._end(key, backend, Outcome.CANCELLED, 0, ())
        while self._request_ids:
            self._table.open_request_ids.discard(self._request_ids.popitem()[1])
        self._table.share_descriptors(0, 0)
