"""The platform's agent over HTTP: a watch that is followed in order, and taken up again where it broke."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import h11

from ..config.addresses import Address, ConfigError, address
from ..decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from ..lag import LagTolerantTimer
from ..logs import RateLimitFilter
from .seam import ListError, Update, backend_id
from .services import ALL_ALIKE, DEFAULT, CarriedServices
from .turns import PATIENCE, Turns

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

# A change counts as told 6 s after a watch fell silent, or after discovery could be reached if the call that
# was out then stays without an answer: either is over early enough for another call.
SILENCE = 4.5  # s without a whole line: an idle watch brings an empty one every 2 s, so two were missed
# s without an answer's head, and from there without its first line: over what discovery keeps a call in its
# queue. Two such silences and a start take less than the 10 s in which a process without a list gets ready.
ANSWER = 3.5
CONNECT = 1.0  # s for the agent, which is on this machine
LINE = 4 << 20  # bytes of one line: some 20,000 entries; more is no list
LEAVING_MOST = 1024  # backends that are remembered as leaving: several whole fleets
MILLISECOND = 1_000_000
_HEALTH = {"in_service": Health.READY, "terminating": Health.DRAINING, "terminated": Health.REMOVED}


def parse_update(
    raw: Any,
    zones: tuple[str, ...],
    kinds: tuple[str, ...],
    cached: bool = False,
    services: CarriedServices = ALL_ALIKE,
) -> Update:
    """Discovery's form to the module's; zone, kind and service become indices, as on the simulator's wire."""
    try:
        kind = (
            EndpointUpdateKind.CACHED
            if cached
            else EndpointUpdateKind.FULL
            if raw["whole"]
            else EndpointUpdateKind.DELTA
        )
        addresses: dict[int, Address] = {}
        entries, seen = [], set[int]()
        for host in raw["hosts"]:
            number, health = backend_id(host["host"]), _HEALTH[host["health"]]
            service = services.index(host.get("service", ""))
            if service is None:
                if not services.listed(number):
                    continue
                service, health = DEFAULT, Health.REMOVED  # it was of a service that is carried here
            if number in seen:
                log.warning("the list names %.64s more than once: its last entry holds", host["host"])
            seen.add(number)
            if health is not Health.REMOVED:
                addresses[number] = address(host["dial"], "dial")
            entries.append(
                Backend(
                    number,
                    _index(zones, host.get("site")),
                    _index(kinds, host.get("class")),
                    int(host.get("block", 0)),
                    health,
                    float(host.get("share", 1.0)),
                    # The module's clock reads Unix time; 0 stays 0, long ago.
                    int(host.get("born_ms", 0)) * MILLISECOND,
                    service,
                )
            )
        return Update(EndpointUpdate(kind, int(raw["seq"]), tuple(entries)), addresses)
    except (AttributeError, KeyError, TypeError, ValueError, ConfigError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None


def _index(names: tuple[str, ...], name: Any) -> int:
    """A name that the settings lack is like none of theirs."""
    return names.index(name) if name in names else len(names)


class Discovery:
    """Keeps one watch open. The list last told goes on serving while there is none."""

    def __init__(
        self,
        agent: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        index: int | None,
        told: Callable[[Update], None],
        gateways: int = 1,
        grace: float = 1.0,
        services: CarriedServices = ALL_ALIKE,
    ) -> None:
        """`grace`: s after the notice of a drain in which a request may still be sent. `services`: those that
        are wanted of the list."""
        self._agent, self._turns = agent, Turns(gateways, random.Random(), grace)
        self._zones = zones
        self._kinds = kinds
        self._index = index
        self._told = told
        self._services = services
        self._closed = False
        self._leaving: dict[int, int] = {}  # backends told to drain or be gone, and when each had started
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def move(self, agent: Address) -> None:
        """Leave the watch for one at another agent, at once: the old one tells nothing more for long."""
        if agent == self._agent or self._closed:
            return
        log.info("discovery moves to %s:%d", *agent)
        self._agent = agent
        self._turns.answered()
        if self._task is not None:
            self._task.cancel()
            self.start()

    async def close(self) -> None:
        self._closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._agent
        if self._index is not None:
            await asyncio.sleep(self._turns.first())
        while True:
            watch = _Watch(f"{host}:{port}", self._index, self._line)
            try:
                async with asyncio.timeout(CONNECT):
                    await loop.create_connection(lambda made=watch: made, host, port)  # type: ignore[misc]
                await watch.ended
            except (OSError, TimeoutError) as error:
                log.warning("discovery: %s", error or type(error).__name__)
            except Exception:
                # Whatever it was: a gateway that hears of no drain ever again breaks rule 3.
                log.exception("discovery: fault in the watch")
            finally:
                watch.close()
            await asyncio.sleep(self._wait(watch))

    def _wait(self, watch: _Watch) -> float:
        """s until the next call."""
        if watch.silent:
            return self._turns.after_silence()
        if watch.refused and self._index is None:
            return self._turns.without_list()
        return self._turns.again(watch.turned_away)

    def _behind(self, update: Update) -> Update:
        """A whole list that is older than what is known, as of an agent that lags behind the one before it:
        followed, as the changes after it come in order, but a drain once told holds (rule 3)."""
        entries = tuple(
            replace(entry, health=Health.DRAINING)
            if self._leaving.get(entry.id) == entry.started_at_ns
            else entry
            for entry in update.topology.backends
        )
        return Update(replace(update.topology, backends=entries), update.addresses, update.old)

    def _line(self, line: bytes, first: bool) -> None:
        update = parse_update(json.loads(line), self._zones, self._kinds, services=self._services)
        update.old = first
        whole = update.topology.kind is EndpointUpdateKind.FULL
        # A second watch may tell again what is known: an older version must not undo a newer one.
        if not whole and self._index is not None and update.topology.version < self._index:
            return
        if whole and self._index is not None and update.topology.version < self._index:
            update = self._behind(update)
        self._told(update)
        for entry in update.topology.backends:
            self._leaving.pop(entry.id, None)
            if entry.health is not Health.READY:
                self._leaving[entry.id] = entry.started_at_ns
        while len(self._leaving) > LEAVING_MOST:
            del self._leaving[next(iter(self._leaving))]
        self._index = update.topology.version
        self._turns.answered()


class _Watch(asyncio.Protocol):
    """One HTTP exchange; `ended` is done when nothing more can come of it."""

    def __init__(self, host: str, index: int | None, line: Callable[[bytes, bool], None]) -> None:
        self.turned_away = False
        self.silent = False
        self.refused = False  # turned away at once, with an error for an answer
        # whether an answer has begun, and no line has come
        self._begun = False
        self._lineless = True
        self._loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self._http = h11.Connection(h11.CLIENT)
        self._host = host
        self._index = index
        self._line = line
        self._rest = b""
        self._first = True
        self._moved_at = self._loop.time()  # when the call was made, its answer began or its last line ended
        self._timer: LagTolerantTimer | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        request = h11.Request(
            method="GET",
            target=f"/api/targets?stream=1&index={self._index or 0}",
            headers=[("Host", self._host), ("Accept", "application/json")],
        )
        out = (self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._transport.write(out)
        self._listen()

    def _listen(self) -> None:
        """A machine that vanished says nothing: silence ends the watch as a break would. So does a trickle
        that comes to no line, which tells as little."""
        most = min(ANSWER, SILENCE) if self._lineless else SILENCE
        left = self._moved_at + most - self._loop.time()
        if left <= 0:
            self.silent = True
            self._end("silent")
        else:
            self._timer = LagTolerantTimer(self._loop, left, self._listen)

    def data_received(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while not self.ended.done():
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        self.turned_away = True
                        self.refused = True
                        return self._end(f"status {event.status_code}")
                    self._begun, self._moved_at = True, self._loop.time()
                if isinstance(event, h11.Data):
                    self._lines(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    return self._end("answer ended")
        except (h11.RemoteProtocolError, ListError, ValueError) as error:
            self._end(str(error))

    def _lines(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if lines:
            self._lineless, self._moved_at = False, self._loop.time()
        for line in lines:
            if line.strip():
                first = self._first
                self._first = False
                self._line(line, first)
        if len(self._rest) > LINE:
            self._end("endless line")

    def connection_lost(self, exc: Exception | None) -> None:
        waited = not self._begun and self._loop.time() - self._moved_at >= PATIENCE
        self.turned_away = self.turned_away or waited
        self._end(str(exc or "closed"))

    def _end(self, why: str) -> None:
        if not self.ended.done():
            log.warning("discovery watch over: %s", why)
            self.ended.set_result(None)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.ended.done():
            self.ended.cancel()
