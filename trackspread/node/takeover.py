"""The gateway's side of a handover: connections to the other process, timers, and what each step does here.

May know: the gateway, the steps (`handover/states.py`), the link. Decides nothing: the steps do.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from typing import Protocol

from ..fronts.connections import Clients, PassOn
from ..handover import wire
from ..handover.link import Link, Rendezvous
from ..handover.states import Action, Actions, Event, PredecessorSteps, SuccessorSteps
from ..handover.wire import Kind, Reassembly, WireError
from .handover_state import RequestTable, StateExporter, StateImporter

log = logging.getLogger(__name__)

VACATE_LOOK = 0.02  # s between looks whether all that the old process had taken is ended


class Serving(RequestTable, Protocol):
    """A process that can stop serving for another, and go on; a gateway is one."""

    clients: Clients

    def freeze(self) -> int | None:
        """Take nothing more; the descriptor is of the peers' socket, for the other process."""

    def retire(self, testator: StateExporter) -> None:
        """Grant nothing more, and tell the other process of what is still out."""

    def pass_on(self, pass_on: PassOn) -> None:
        """The clients' connections go to the other process."""

    def is_vacant(self) -> bool:
        """Whether nothing is owed here any more."""

    async def unfreeze(self) -> None:
        """Serve on: the other process is gone, or never came to serve."""


class _Side:
    """What both sides have: one link, one timer, packets read."""

    def __init__(self, gateway: Serving) -> None:
        self._gateway, self._loop = gateway, asyncio.get_running_loop()
        self._link: Link | None = None
        self._timer: asyncio.TimerHandle | None = None

    def _handle(self, what: Event) -> None:
        raise NotImplementedError

    def _packet(self, packet: wire.Packet, descriptor: int | None) -> None:
        """Owns the descriptor. Raises `WireError`."""
        raise NotImplementedError

    def _received(self, data: bytes, descriptor: int | None) -> None:
        try:
            self._packet(wire.unpack(data), descriptor)
        except WireError as error:
            log.warning("handover: %s", error)
            if descriptor is not None:
                os.close(descriptor)
            self._handle(Event.STRANGE)

    def _wait(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds:
            self._timer = self._loop.call_later(seconds, self._handle, Event.LATE)

    def _say(self, kind: Kind, body: bytes = b"", descriptor: int | None = None) -> bool:
        if self._link is None:
            if descriptor is not None:
                os.close(descriptor)
            return False
        return self._link.send(wire.pack(kind, body), descriptor)

    def _drop(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            link.close()


class Successor(_Side):
    """The new process, until the old one is gone."""

    def __init__(self, gateway: Serving, rendezvous: Rendezvous) -> None:
        super().__init__(gateway)
        self._rendezvous, self._steps = rendezvous, SuccessorSteps()
        self._reassembly, self._whole = Reassembly(), b""
        self._importer = StateImporter(gateway)
        self._decided = asyncio.Event()
        self._arriving: set[asyncio.Task[None]] = set()  # connections that are being taken over
        self.datagrams: int | None = None  # descriptor of the socket for peers, where one was handed over
        self.took = False

    def seek(self) -> None:
        """Look for an old process, once more after one that was lost."""
        self._reassembly = Reassembly()
        found = self._rendezvous.seek()
        if found is not None:
            self._link = Link(found, self._received, lambda: self._handle(Event.LOST))
        self._do(self._steps.found(found is not None))

    async def decided(self) -> None:
        """This process could serve now; returns once it is to, with what it took over or without."""
        self._handle(Event.READY)
        await self._decided.wait()

    def _handle(self, what: Event) -> None:
        if self._steps.step == "serving":
            if what is Event.LOST:
                log.info("handover: the old process is gone")
                self._drop()
                self._importer.predecessor_gone()
            return
        self._do(self._steps.handle(what))

    def _do(self, actions: Actions) -> None:
        for act, wait in actions:
            self._wait(wait)
            match act:
                case Action.GREET:
                    self._say(Kind.HELLO, self._gateway.config.name.encode())
                case Action.ASK:
                    self._say(Kind.ASK)
                case Action.TAKE:
                    self._take()
                case Action.DROP:
                    self._drop()
                case Action.SEEK:
                    self.seek()
                case Action.COLD:
                    log.info("handover: nothing was taken over, a cold start")
                    self._decided.set()

    def _take(self) -> None:
        try:
            self._importer.restore(self._whole)
        except ValueError as error:  # `WireError` among them
            log.error("handover: %s", error)
            return self._handle(Event.LOST)
        self._whole = b""
        self.took = self._say(Kind.TAKEN)
        self._do(self._steps.took(self.took))
        if self.took:
            self._decided.set()

    def _packet(self, packet: wire.Packet, descriptor: int | None) -> None:
        match packet.kind:
            case Kind.HELLO:
                self._handle(Event.MET)
            case Kind.PIECE:
                self._reassembly.add(packet.body)
            case Kind.GIVEN:
                self._whole = self._reassembly.whole(packet.body)
                self.datagrams, descriptor = descriptor, None
                self._handle(Event.GIVEN)
            case Kind.CLIENT if descriptor is not None:
                if len(packet.body) > wire.REST_MOST:
                    raise WireError("a connection with too much of a rest")
                task = self._loop.create_task(self._gateway.clients.adopt(descriptor, packet.body))
                self._arriving.add(task)
                task.add_done_callback(self._arriving.discard)
                descriptor = None
            case Kind.PROGRESS:
                self._importer.progressed(packet.body)
            case _:
                raise WireError(f"{packet.kind.name} out of turn")
        if descriptor is not None:
            os.close(descriptor)


class Predecessor(_Side):
    """The process that serves, towards whoever comes to take over."""

    def __init__(self, gateway: Serving, rendezvous: Rendezvous, vacated: Callable[[], None]) -> None:
        """`vacated` is called once another process serves and nothing is owed here any more."""
        super().__init__(gateway)
        self._rendezvous, self._vacated = rendezvous, vacated
        self._steps = PredecessorSteps()
        self._exporter = StateExporter(gateway, self._tell)
        self._looker: asyncio.TimerHandle | None = None
        self._resuming: asyncio.Task[None] | None = None

    def listen(self) -> None:
        """Be found by a newer process; without a place for it, serve on alone."""
        try:
            self._rendezvous.listen(self._came)
        except OSError as error:
            log.error("handover: no newer process can take over: %s", error)

    @property
    def handed(self) -> bool:
        """Whether a newer process serves."""
        return self._steps.step == "handed"

    def _came(self) -> None:
        """One newcomer at a time: the others wait where they are."""
        if self._link is None and (came := self._rendezvous.accept()) is not None:
            self._link = Link(came, self._received, lambda: self._handle(Event.LOST))

    def _tell(self, packet: bytes) -> None:
        if self._link is not None:
            self._link.send(packet)

    def _packet(self, packet: wire.Packet, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)
        match packet.kind:
            case Kind.HELLO:
                self._handle(Event.MET)
            case Kind.ASK:
                self._handle(Event.ASKED)
            case Kind.TAKEN:
                self._handle(Event.TAKEN)
            case _:
                raise WireError(f"{packet.kind.name} out of turn")

    def _handle(self, what: Event) -> None:
        if what is Event.LATE and self._steps.step == "giving" and self._link is not None:
            # Whoever writes TAKEN from here on finds that it can't; what was written before is read first.
            self._link.last()
            if self._steps.step != "giving":
                return
        self._do(self._steps.handle(what))

    def _do(self, actions: Actions) -> None:
        for act, wait in actions:
            self._wait(wait)
            match act:
                case Action.GREET:
                    log.info("handover: a newer process has come")
                    self._say(Kind.HELLO, self._gateway.config.name.encode())
                case Action.GIVE:
                    self._give()
                case Action.PASS:
                    log.info("handover: the newer process serves")
                    self._gateway.pass_on(lambda descriptor, rest: self._say(Kind.CLIENT, rest, descriptor))
                    self._look()
                case Action.RESUME:
                    log.warning("handover: the newer process did not take over, this one serves on")
                    self._resume()
                case Action.DROP:
                    self._drop()
                    self._loop.call_soon(self._came)

    def _give(self) -> None:
        descriptor = self._gateway.freeze()
        whole = self._exporter.export()
        for packet in wire.pieces(whole):
            self._tell(packet)
        if self._link is not None:
            self._link.send(wire.given(whole), descriptor)
        self._gateway.retire(self._exporter)

    def _resume(self) -> None:
        if self._looker is not None:
            self._looker.cancel()
            self._looker = None
        self._resuming = self._loop.create_task(self._gateway.unfreeze())

    def _look(self) -> None:
        if self._gateway.is_vacant():
            log.info("handover: nothing is owed here any more")
            return self._vacated()
        self._looker = self._loop.call_later(VACATE_LOOK, self._look)

    def close(self) -> None:
        """End the connection and the search for newer processes."""
        if self._looker is not None:
            self._looker.cancel()
        self._wait(0.0)
        self._drop()
        self._rendezvous.close()
