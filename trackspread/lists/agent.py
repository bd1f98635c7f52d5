"""Follows the endpoint list of the platform's discovery agent over HTTP, with one watch that is kept open."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import h11

from ..config.addresses import Address, ConfigError, address
from ..fair_scheduler import FairScheduler, TimeSlice
from ..decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from ..lag import LagTolerantTimer
from ..logs import RateLimitFilter
from ..memory.read_buffer import SharedBufferProtocol
from .poll_timing import CALL_TIMEOUT_S, PollTiming
from .services import ALL_SERVICES, DEFAULT, CarriedServices
from .source import ListError, ListUpdate, backend_id

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

# A change counts as notified 6 s after a watch became unresponsive, or after discovery could be reached if
# the call in flight then stays without an answer. Both timeouts end early enough for another call.
# Without a complete line: an idle watch gets an empty one every 2 s, so two are missing.
SILENCE_TIMEOUT_S = 4.5
# Without the head of an answer, and from there without its first line: longer than discovery keeps a call in
# its queue. Two such timeouts and a start take less than the 10 s in which a process without a list has to
# become ready.
ANSWER_TIMEOUT_S = 3.5
CONNECT_TIMEOUT_S = 1.0  # to the agent, which is on this machine
MAX_LINE_BYTES = 4 << 20  # some 20,000 entries; a longer line is not accepted as a list
MAX_LEAVING_BACKENDS = 1024  # that are remembered as draining or removed: several complete fleets
NS_PER_MS = 1_000_000
_HEALTH = {"in_service": Health.READY, "terminating": Health.DRAINING, "terminated": Health.REMOVED}


def parse_update(
    raw: Any,
    zones: tuple[str, ...],
    kinds: tuple[str, ...],
    cached: bool = False,
    services: CarriedServices = ALL_SERVICES,
) -> ListUpdate:
    """Returns the update in discovery's JSON form; raises `ListError`.

    Zone, kind and service become indices, as on the simulator's wire.
    """
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
                if not services.is_listed(number):
                    continue
                service, health = DEFAULT, Health.REMOVED  # it left a service that is carried here
            if number in seen:
                log.warning("endpoint list: duplicate entry for host %.64s, using the last one", host["host"])
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
                    # The decision module's clock reads Unix time; 0 stays 0, which means long ago.
                    int(host.get("born_ms", 0)) * NS_PER_MS,
                    service,
                )
            )
        return ListUpdate(EndpointUpdate(kind, int(raw["seq"]), tuple(entries)), addresses)
    except (AttributeError, KeyError, TypeError, ValueError, ConfigError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None


def _index(names: tuple[str, ...], name: Any) -> int:
    """Returns the index of a name; all names that the settings lack share the index after the last one."""
    return names.index(name) if name in names else len(names)


class Discovery:
    """Keeps one watch open at the agent; the last reported list stays in use while there is none."""

    def __init__(
        self,
        agent: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        index: int | None,
        on_update: Callable[[ListUpdate], None],
        input_scheduler: FairScheduler,
        gateways: int = 1,
        grace_s: float = 1.0,
        services: CarriedServices = ALL_SERVICES,
    ) -> None:
        """Prepares the watch; `index` is the version of the cached list, or None.

        `grace_s` is how long after the notice of a drain a request may still be sent. `services` are those
        whose backends are reported. `input_scheduler` shares the loop's time with other sources of input.
        """
        self._input_scheduler = input_scheduler
        self._agent, self._timing = agent, PollTiming(gateways, random.Random(), grace_s)
        self._zones = zones
        self._kinds = kinds
        self._index = index
        self._on_update = on_update
        self._services = services
        self._is_closed = False
        self._leaving: dict[int, int] = {}  # start times of backends reported as draining or removed
        self._task: asyncio.Task[None] | None = None
        self._watch: _Watch | None = None

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of what was received on the watch and is not applied."""
        return self._watch.buffered_bytes if self._watch is not None else 0

    def start(self) -> None:
        """Begins to watch."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def switch_agent(self, agent: Address) -> None:
        """Replaces the watch by one at another agent at once, as the old agent soon reports nothing more."""
        if agent == self._agent or self._is_closed:
            return
        log.info("discovery: agent address changed to %s:%d, watch restarted", *agent)
        self._agent = agent
        self._timing.reset()
        if self._task is not None:
            self._task.cancel()
            self.start()

    async def close(self) -> None:
        """Ends the watch."""
        self._is_closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._agent
        if self._index is not None:
            await asyncio.sleep(self._timing.first_wait_s())
        while True:
            watch = _Watch(f"{host}:{port}", self._index, self._line_received, self._input_scheduler)
            self._watch = watch
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(lambda made=watch: made, host, port)  # type: ignore[misc]
                await watch.ended
            except (OSError, TimeoutError) as error:
                log.warning(
                    "discovery: connection to %s:%d failed: %s", host, port, error or type(error).__name__
                )
            except Exception:
                # Any exception is caught: a gateway that is never notified of a drain again breaks rule 3.
                log.exception("discovery: watch at %s:%d ended by an internal error", host, port)
            finally:
                watch.close()
            await asyncio.sleep(self._wait_s(watch))

    def _wait_s(self, watch: _Watch) -> float:
        """Returns the wait before the next call."""
        if watch.is_silent:
            return self._timing.wait_after_silence_s()
        if watch.got_error and self._index is None:
            return self._timing.wait_without_list_s()
        return self._timing.next_wait_s(watch.was_rejected)

    def _keep_drains(self, update: ListUpdate) -> ListUpdate:
        """Returns a complete list that is older than the known one, with its reported drains still in force.

        It comes from an agent that lags behind the agent before it. It is followed, as the changes after it
        arrive in order, but a backend that was reported as draining stays so (rule 3).
        """
        entries = tuple(
            replace(entry, health=Health.DRAINING)
            if self._leaving.get(entry.id) == entry.started_at_ns
            else entry
            for entry in update.topology.backends
        )
        return ListUpdate(replace(update.topology, backends=entries), update.addresses, update.is_old)

    def _line_received(self, line: bytes, is_first: bool) -> None:
        update = parse_update(json.loads(line), self._zones, self._kinds, services=self._services)
        update.is_old = is_first
        is_full = update.topology.kind is EndpointUpdateKind.FULL
        # A second watch may repeat what is known: an older version must not undo a newer one.
        if not is_full and self._index is not None and update.topology.version < self._index:
            return
        if is_full and self._index is not None and update.topology.version < self._index:
            update = self._keep_drains(update)
        self._on_update(update)
        for entry in update.topology.backends:
            self._leaving.pop(entry.id, None)
            if entry.health is not Health.READY:
                self._leaving[entry.id] = entry.started_at_ns
        while len(self._leaving) > MAX_LEAVING_BACKENDS:
            del self._leaving[next(iter(self._leaving))]
        self._index = update.topology.version
        self._timing.reset()


class _Watch(SharedBufferProtocol):
    """Runs one HTTP exchange with the agent; `ended` is done once nothing more can arrive on it."""

    def __init__(
        self,
        host: str,
        index: int | None,
        on_line: Callable[[bytes, bool], None],
        input_scheduler: FairScheduler,
    ) -> None:
        self._input_scheduler = input_scheduler
        self.was_rejected = False  # discovery is overloaded: an error, or a close while the call was queued
        self.is_silent = False  # ended by a timeout
        self.got_error = False  # answered at once with an error
        self._has_answer = False  # whether an answer has begun
        self._has_no_line = True
        self._loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self._http = h11.Connection(h11.CLIENT)
        self._host = host
        self._index = index
        self._on_line = on_line
        self._partial_line = b""
        self._unread_bytes = 0  # received, and not yet divided into lines
        self._lines: deque[bytes] = deque()  # complete ones that are not handled yet
        self._is_behind = False  # whether input was received and is not handled yet
        self._end_reason: str | None = None  # of a connection that ended before its input was handled
        self._is_first_line = True
        self._progress_at = self._loop.time()  # of the call, the beginning of its answer, or its last line
        self._timer: LagTolerantTimer | None = None
        self._transport: asyncio.Transport | None = None

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of what was received and is not handled."""
        return self._unread_bytes + len(self._partial_line) + sum(map(len, self._lines))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        self._transport = cast(asyncio.Transport, transport)
        request = h11.Request(
            method="GET",
            target=f"/api/targets?stream=1&index={self._index or 0}",
            headers=[("Host", self._host), ("Accept", "application/json")],
        )
        data = (self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._transport.write(data)
        self._check_progress()

    def _check_progress(self) -> None:
        """Ends the watch if no complete line arrived in time, and otherwise schedules the next check.

        An agent whose machine failed sends nothing, not even an end; bytes that never complete a line carry
        no update either.
        """
        timeout_s = min(ANSWER_TIMEOUT_S, SILENCE_TIMEOUT_S) if self._has_no_line else SILENCE_TIMEOUT_S
        remaining_s = self._progress_at + timeout_s - self._loop.time()
        if remaining_s <= 0:
            self.is_silent = True
            self._end(f"no complete line for {timeout_s} s")
        else:
            self._timer = LagTolerantTimer(self._loop, remaining_s, self._check_progress)

    def data_received(self, data: bytes) -> None:
        """Reads the answer, in time slices; the agent waits meanwhile."""
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            return self._end(f"invalid answer: {error}")
        self._is_behind = True
        self._unread_bytes += len(data)
        cast(asyncio.Transport, self._transport).pause_reading()
        self._input_scheduler.input_arrived(self)

    def process_input(self, time_slice: TimeSlice) -> bool:
        """Handles what was received; see `InputSource`."""
        try:
            while not self.ended.done() and self._handle_next():
                if time_slice.is_over():
                    return True
        except (h11.RemoteProtocolError, ListError, ValueError) as error:
            self._end(f"invalid answer: {error}")
        self._is_behind = False
        self._unread_bytes = 0
        if self._end_reason is not None:
            self._end(self._end_reason)
        transport = cast(asyncio.Transport, self._transport)
        if not transport.is_closing():
            transport.resume_reading()
        return False

    def abort(self) -> None:
        """Ends the watch; see `InputSource`."""
        self._end("internal error")

    def _handle_next(self) -> bool:
        """Handles the next line or event of the answer; returns False if more has to be received first."""
        if self._lines:
            self._handle_line(self._lines.popleft())
            return True
        event = self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            self._response_begins(event)
        elif isinstance(event, h11.Data):
            self._read_lines(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self._end("agent ended the answer")
        return True

    def _response_begins(self, response: h11.Response) -> None:
        if response.status_code != 200:
            self.was_rejected = True
            self.got_error = True
            return self._end(f"status {response.status_code}")
        self._has_answer, self._progress_at = True, self._loop.time()

    def _read_lines(self, data: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if lines:
            self._has_no_line, self._progress_at = False, self._loop.time()
        self._lines.extend(line for line in lines if line.strip())
        if len(self._partial_line) > MAX_LINE_BYTES:
            self._end(f"line longer than {MAX_LINE_BYTES} bytes")

    def _handle_line(self, line: bytes) -> None:
        self._progress_at = self._loop.time()
        is_first = self._is_first_line
        self._is_first_line = False
        self._on_line(line, is_first)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the watch; a close without an answer after `CALL_TIMEOUT_S` means an overloaded discovery."""
        was_queued = not self._has_answer and self._loop.time() - self._progress_at >= CALL_TIMEOUT_S
        self.was_rejected = self.was_rejected or was_queued
        self._end_reason = str(exc or "connection closed by the agent")
        if not self._is_behind:
            self._end(self._end_reason)

    def _end(self, reason: str) -> None:
        if not self.ended.done():
            log.warning("discovery: watch at %s ended: %s", self._host, reason)
            self.ended.set_result(None)

    def close(self) -> None:
        """Closes the connection and cancels the timer."""
        self._input_scheduler.remove(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.ended.done():
            self.ended.cancel()
