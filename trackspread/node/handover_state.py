"""The state that an old process hands to a new one, and its messages on what ends afterwards.

May know: the gateway, the decision module's snapshot, the handover's layout. May not know: sockets, steps.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Literal

import msgspec

from ..backends.pools import Attempt
from ..decide import carried
from ..decide.interface import AttemptEnded, Outcome
from ..handover import wire

if TYPE_CHECKING:
    from .gateway import Gateway

NUMBERS_APART = 1 << 32  # the new process counts its requests from so far on: both sides' numbers never meet


class HandoverState(msgspec.Struct, frozen=True):
    """All that goes along. `base`: of the clock that all times lie on; `ids`: of the requests that are open;
    `clients`, `links`: descriptors that the old process still holds; `index`: the list's version."""

    module: carried.Plain
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

    def __init__(self, gateway: Gateway, tell: Callable[[bytes], None]) -> None:
        self._gateway, self._tell = gateway, tell

    def export(self) -> bytes:
        """All that is known at this moment."""
        gateway = self._gateway
        out = {(number, index): attempt.backend
               for number, request in gateway.requests.items() for index, attempt in request.out.items()}
        ids = [(number, r.call.id) for number, r in gateway.requests.items() if not r.closed]
        number = gateway.next_number()
        return wire.encode(HandoverState(
            carried.portrait(gateway.module, gateway.class_names(), out), gateway.now.base, ids, number,
            len(ids), len(out),
        ))

    def _send(self, progress: Progress) -> None:
        self._tell(wire.pack(wire.Kind.PROGRESS, wire.encode(progress)))

    def sent(self, attempt: Attempt) -> None:
        if (call := attempt.call) is not None:
            names, plans = self._gateway.class_names(), self._gateway.module.s.plans
            self._send(Progress("sent", attempt.request, attempt.index, attempt.backend, cls=names[call.cls],
                           plan=plans[call.plan].name, customer=call.customer, units=call.units))

    def ended(self, event: AttemptEnded) -> None:
        self._send(Progress("ended", event.request, event.attempt, event.backend, int(event.outcome),
                       event.elapsed, event.report))

    def closed(self, number: int) -> None:
        self._send(Progress("closed", number))


class StateImporter:
    """The new process's side."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._ids: dict[int, bytes] = {}
        self._out: dict[tuple[int, int], int] = {}  # attempts that the old process has out, by backend

    def restore(self, whole: bytes) -> None:
        """Raises `WireError` or `ValueError` before anything is changed."""
        state: HandoverState = wire.decode(whole, HandoverState)
        gateway = self._gateway
        carried.restore(gateway.module, state.module, gateway.class_names())
        gateway.now.base = state.base
        self._out = {(number, attempt): by for number, attempt, by, *_ in state.module["out"]}
        self._ids = dict(state.ids)
        gateway.ids.update(self._ids.values())
        gateway.number_from(count(state.next + NUMBERS_APART))
        gateway.share(state.clients, state.links)

    def progressed(self, body: bytes) -> None:
        """Raises `WireError`."""
        progress: Progress = wire.decode(body, Progress)
        key = progress.request, progress.attempt
        match progress.what:
            case "sent":
                self._out[key] = progress.backend
                carried.mirror(self._gateway.module, self._gateway.class_names(), [
                    *key, progress.backend, progress.cls, progress.plan, progress.customer, progress.units])
            case "ended" if self._out.pop(key, None) is not None:
                known = progress.outcome in Outcome.__members__.values()
                outcome = Outcome(progress.outcome) if known else Outcome.ERROR
                names = self._gateway.config.settings.report_names
                report = progress.report if len(progress.report) == len(names) else ()
                self._end(key, progress.backend, outcome, progress.elapsed, report)
            case "closed" if (id_ := self._ids.pop(progress.request, None)) is not None:
                self._gateway.ids.discard(id_)

    def _end(
        self, key: tuple[int, int], backend: int, outcome: Outcome, elapsed: int, report: tuple[float, ...]
    ) -> None:
        event = AttemptEnded(key[0], True, 0, backend, 0, outcome, elapsed, key[1], report)
        self._gateway.handle(event)

    def predecessor_gone(self) -> None:
        """The old process is gone: what it had out is nobody's, what it had open is open no more."""
        while self._out:
            key, backend = self._out.popitem()
            self._end(key, backend, Outcome.CANCELLED, 0, ())
        while self._ids:
            self._gateway.ids.discard(self._ids.popitem()[1])
        self._gateway.share(0, 0)
