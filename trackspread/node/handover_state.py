"""The state that an old process hands to a new one, and its messages on what ends afterwards.

May know: the gateway, the decision module's snapshot, the handover's layout. May not know: sockets, steps.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from itertools import count
from typing import Literal, Protocol

import msgspec

from ..backends.pools import Attempt
from ..call import Call
from ..clock import Clock
from ..config.platform import Config
from ..decide import snapshot, snapshot_restore
from ..decide.broker import Broker
from ..decide.events import AttemptEnded, Event, Outcome
from ..handover import wire

NUMBERS_APART = 1 << 32  # the new process counts its requests from so far on: both sides' numbers never meet


class OpenRequest(Protocol):
    """A request that was taken and may still owe an answer."""

    @property
    def call(self) -> Call:
        """What was asked for."""

    @property
    def closed(self) -> bool:
        """Whether its final answer was given."""

    @property
    def out(self) -> Mapping[int, Attempt]:
        """Its attempts at backends, by index."""


class RequestTable(Protocol):
    """What the state of a handover is read from and restored to; a gateway is one."""

    config: Config
    now: Clock

    @property
    def broker(self) -> Broker:
        """The decision module."""

    ids: set[bytes]

    @property
    def requests(self) -> Mapping[int, OpenRequest]:
        """By number."""

    def class_names(self) -> tuple[str, ...]:
        """By number."""

    def next_number(self) -> int:
        """The number of the next request."""

    def number_from(self, numbers: Iterator[int]) -> None:
        """Where the next requests' numbers come from."""

    def share(self, clients: int, links: int) -> None:
        """Descriptors that the other process holds."""

    def handle(self, event: Event, number: int = 0) -> None:
        """One event for the decision module."""


class HandoverState(msgspec.Struct, frozen=True):
    """All that goes along. `base`: of the clock that all times lie on; `ids`: of the requests that are open;
    `clients`, `links`: descriptors that the old process still holds; `index`: the list's version."""

    module: snapshot.Plain
    base: int
    ids: list[tuple[int, bytes]]
    next: int
    clients: int
    links: int


class Progress(msgspec.Struct, frozen=True):
    """What became of a request or attempt that the old process had taken; its fields go over the wire."""

    what: Literal["sent", "ended", "closed"]
    request: int
    attempt: int = 0
    backend: int = 0
    outcome: int = 0
    elapsed: int = 0
    report: tuple[float, ...] = ()
    cls: str = ""
    plan: str = ""
    customer: int = 0
    units: float = 0.0


class StateExporter:
    """The old process's side."""

    def __init__(self, table: RequestTable, tell: Callable[[bytes], None]) -> None:
        self._table, self._tell = table, tell

    def export(self) -> bytes:
        """All that is known at this moment."""
        table = self._table
        out = {
            (number, index): attempt.backend
            for number, request in table.requests.items()
            for index, attempt in request.out.items()
        }
        ids = [(number, r.call.id) for number, r in table.requests.items() if not r.closed]
        number = table.next_number()
        return wire.encode(
            HandoverState(
                snapshot.export_state(table.broker, table.class_names(), out),
                table.now.base,
                ids,
                number,
                len(ids),
                len(out),
            )
        )

    def _send(self, progress: Progress) -> None:
        self._tell(wire.pack(wire.Kind.PROGRESS, wire.encode(progress)))

    def sent(self, attempt: Attempt) -> None:
        """An attempt was sent here after the state was exported."""
        if (call := attempt.call) is not None:
            names, plans = self._table.class_names(), self._table.broker.settings.plans
            self._send(
                Progress(
                    "sent",
                    attempt.request,
                    attempt.index,
                    attempt.backend,
                    cls=names[call.cls],
                    plan=plans[call.plan].name,
                    customer=call.customer,
                    units=call.units,
                )
            )

    def ended(self, event: AttemptEnded) -> None:
        """An attempt that was still out has ended."""
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

    def __init__(self, table: RequestTable) -> None:
        self._table = table
        self._ids: dict[int, bytes] = {}
        self._out: dict[tuple[int, int], int] = {}  # attempts that the old process has out, by backend

    def restore(self, whole: bytes) -> None:
        """Raises `WireError` or `ValueError` before anything is changed."""
        state: HandoverState = wire.decode(whole, HandoverState)
        table = self._table
        snapshot_restore.restore_state(table.broker, state.module, table.class_names())
        table.now.base = state.base
        self._out = {(number, attempt): by for number, attempt, by, *_ in state.module["out"]}
        self._ids = dict(state.ids)
        table.ids.update(self._ids.values())
        table.number_from(count(state.next + NUMBERS_APART))
        table.share(state.clients, state.links)

    def progressed(self, body: bytes) -> None:
        """Raises `WireError`."""
        progress: Progress = wire.decode(body, Progress)
        key = progress.request, progress.attempt
        match progress.what:
            case "sent":
                self._out[key] = progress.backend
                snapshot_restore.count_attempt_elsewhere(
                    self._table.broker,
                    self._table.class_names(),
                    snapshot.AttemptElsewhere(
                        *key, progress.backend, progress.cls, progress.plan, progress.customer, progress.units
                    ),
                )
            case "ended" if self._out.pop(key, None) is not None:
                known = progress.outcome in Outcome.__members__.values()
                outcome = Outcome(progress.outcome) if known else Outcome.ERROR
                names = self._table.config.settings.load_report_names
                report = progress.report if len(progress.report) == len(names) else ()
                self._end(key, progress.backend, outcome, progress.elapsed, report)
            case "closed" if (id_ := self._ids.pop(progress.request, None)) is not None:
                self._table.ids.discard(id_)

    def _end(
        self, key: tuple[int, int], backend: int, outcome: Outcome, elapsed: int, report: tuple[float, ...]
    ) -> None:
        event = AttemptEnded(key[0], True, 0, backend, 0, outcome, elapsed, key[1], report)
        self._table.handle(event)

    def predecessor_gone(self) -> None:
        """The old process is gone: what it had out is nobody's, what it had open is open no more."""
        while self._out:
            key, backend = self._out.popitem()
            self._end(key, backend, Outcome.CANCELLED, 0, ())
        while self._ids:
            self._table.ids.discard(self._ids.popitem()[1])
        self._table.share(0, 0)
