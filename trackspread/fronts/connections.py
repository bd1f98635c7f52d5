"""Holds the clients' listening sockets and connections, and limits them together.

It knows time and the number of connections. It knows neither the protocol that clients speak
(`protocol.ClientAdapter`) nor the outcome of a call; `client.py` holds one connection.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from itertools import chain
from typing import Protocol

from ..call import Call
from ..config.addresses import Address
from ..config.operator import ClientBounds
from ..fair_scheduler import FairScheduler
from ..lag import LagTolerantTimer
from ..memory.account import Holder, MemoryAccount
from ..memory.overload import Overload
from .acceptor import Acceptor
from .bodies import BodyMemory
from .client import ClientConnection
from .close_reason import CloseReason
from .eviction import Eviction
from .protocol import ClientAdapter
from .read_ahead import ReadAhead
from .response_slot import ResponseSlot

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that wait to be accepted
# Time without a new connection after which a draining gateway closes its listeners; the platform's load
# balancer needs 0.4 s to stop sending new ones.
DRAIN_QUIET_S = 0.5
MAX_DRAIN_ACCEPT_S = 0.9  # after which it closes them in any case: not all clients heed the load balancer
ACCEPT_TURN_S = 0.01  # within which the loop of a draining gateway reads its sockets
MAX_NEWCOMERS = 32  # clients that open or wait for a first slice, from which one at a time is accepted
IDLE_CHECK_S = 0.02  # between checks for idle connections while draining
# Between checks whether clients that are not read have left, or have waited too long for memory: 0.1 s after
# a client has left, nothing may be sent for it.
END_CHECK_S = 0.02
TIMEOUT_CHECK_S = 0.25  # between checks of the timeouts of all connections
NEARLY_FULL_FRACTION = 0.75  # of the maximum of connections, above which idle ones are closed early
# Of the memory, for long bodies; one body over the limit, and its copy when it is complete, come on top.
BODY_MEMORY_FRACTION = 0.4
MIN_WRITE_BUFFER_BYTES = 96 << 10  # of unsent answers for each connection: more than one complete short value
BUFFER_FRACTION = 0.25  # of the memory, for unsent answers of all clients; the same for unprocessed input
# Of the kernel's receive buffer of a connection, and of its send buffer; the kernel keeps up to twice that.
SOCKET_BUFFER_FRACTION = 0.25  # of the memory, for the receive buffers of all clients
MIN_SOCKET_BUFFER_BYTES = 16 << 10
MAX_SOCKET_BUFFER_BYTES = 64 << 10
CONNECTION_BYTES = 8 << 10  # of the objects of one connection

PassOn = Callable[[int, list[bytes]], object]  # takes a connection's descriptor and the parts of its input


class Requests(Protocol):
    """Handles requests for the client connections; the gateway implements it."""

    def ready(self) -> bool:
        """Returns whether requests can be served."""

    def take(self, call: Call, slot: ResponseSlot, waited: float) -> None:
        """Accepts a request that was held back for `waited` seconds; raises `InvalidCall`."""

    def reject_without_body(self, call: Call, slot: ResponseSlot) -> None:
        """Rejects a request whose body was not kept."""

    def time_allowed_s(self, call: Call) -> float:
        """Returns how many seconds after its last byte a request's answer is due."""

    def window(self, is_backlogged: bool) -> int:
        """Returns how many requests one client may have in flight, which is 1 at least."""

    def left(self, request: int) -> None:
        """Handles that the client of a request has left."""


class ClientConnections:
    """Holds the listening sockets and the connections that were accepted from them."""

    def __init__(
        self,
        listeners: Sequence[tuple[Address, ClientAdapter]],
        requests: Requests,
        max_connections: int,
        account: MemoryAccount,
        overload: Overload,
        bounds: ClientBounds,
        input_scheduler: FairScheduler,
        inherited_descriptor: int | None = None,
    ) -> None:
        """Prepares the listeners; `account` sums up what the process keeps, `overload` says what is done.

        `input_scheduler` shares the loop's time among the clients and other sources of input.
        `inherited_descriptor` is the first listener's socket where the platform holds it: it is only closed,
        never shut down.
        """
        self.requests = requests
        self.bounds = bounds
        self.input_scheduler = input_scheduler
        self.account = account
        self.overload = overload
        account.add_table(Holder.CONNECTIONS, lambda: self.count() * CONNECTION_BYTES)
        loop = asyncio.get_running_loop()
        self.time = loop.time
        self.call_soon = loop.call_soon
        self._call_later = loop.call_later
        self._loop = loop
        self.max_connections = max_connections
        self.read_ahead = ReadAhead(int(account.capacity_bytes * BUFFER_FRACTION))
        self.write_buffer_bytes = max(MIN_WRITE_BUFFER_BYTES, self.read_ahead.limit_bytes // max_connections)
        buffer_bytes = int(account.capacity_bytes * SOCKET_BUFFER_FRACTION / max_connections)
        self.socket_buffer_bytes = max(MIN_SOCKET_BUFFER_BYTES, min(MAX_SOCKET_BUFFER_BYTES, buffer_bytes))
        self.closed: Counter[CloseReason] = Counter()  # connections that ended since the start
        self.bodies = BodyMemory(int(account.capacity_bytes * BODY_MEMORY_FRACTION), self.time)
        self._listeners = listeners
        self._inherited_descriptor = inherited_descriptor
        # In both, the connection that has been idle longest comes first.
        self._active: dict[ClientConnection, None] = {}  # connections that have sent a complete command
        self._unused: dict[ClientConnection, None] = {}  # connections that have not
        self._opening: dict[ClientConnection, asyncio.Task[None]] = {}  # accepted, but not in the loop yet
        self._acceptors: list[Acceptor] = []
        self._eviction = Eviction[ClientConnection](self.time)
        self._unread: set[ClientConnection] = set()  # connections that are not being read
        self._end_check_timer: asyncio.TimerHandle | None = None  # runs while there are unread connections
        self._timeout_check_timer: LagTolerantTimer | None = None
        self._last_opened_at = 0.0
        self.is_closing = False
        self._is_closed = False
        self.is_handing_over = False  # another process takes over: no commands are accepted here
        self._pass_on: PassOn | None = None
        self._max_passed_input_bytes = 0  # of one connection

    def capacity_changed(self) -> None:
        """Follows a change of the account's capacity."""
        self.read_ahead.limit_bytes = int(self.account.capacity_bytes * BUFFER_FRACTION)
        self.bodies.limit_bytes = int(self.account.capacity_bytes * BODY_MEMORY_FRACTION)

    async def start(self) -> None:
        """Opens the listeners and begins to check timeouts; raises `OSError`."""
        self.open_listeners()
        self._check_timeouts()

    def open_listeners(self) -> None:
        """Opens the listening sockets; raises `OSError`."""
        for position, (address, adapter) in enumerate(self._listeners):
            if not position and self._inherited_descriptor is not None:
                listener = socket.socket(fileno=os.dup(self._inherited_descriptor))
            else:
                family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
                listener = socket.create_server(address, family=family, backlog=BACKLOG)
            self._limit_socket_buffers(listener)
            listener.listen(BACKLOG)
            self._acceptors.append(Acceptor(listener, partial(self._accepted, adapter), self._may_accept))

    def _limit_socket_buffers(self, listener: socket.socket) -> None:
        """Sets the buffers of the connections to be accepted, which the kernel otherwise grows to megabytes.

        They are set before the connections are made: a buffer that shrinks under an open window stalls.
        """
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.socket_buffer_bytes)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.socket_buffer_bytes)
        except OSError as error:
            log.warning("client connections: socket buffers keep the system's sizes: %s", error)

    def _may_accept(self) -> bool:
        """Returns whether to accept another connection in this turn.

        While many clients wait for their first slice, further ones wait in the kernel, where they do not
        delay the clients that are connected. If there are too many, evicted ones have to close first, and
        those that open may be idle afterwards.
        """
        opening = len(self._opening)
        if not opening:
            return True
        if self.count() + opening < self.max_connections:
            return opening + self.input_scheduler.waiting_first < MAX_NEWCOMERS
        return opening < MAX_NEWCOMERS and self._eviction.may_find()

    def _accepted(self, adapter: ClientAdapter, accepted: socket.socket) -> None:
        """Opens an accepted connection, if it is admitted."""
        self._last_opened_at = self.time()
        if self._admits(accepted):
            self._open(ClientConnection(self, adapter), accepted)

    def _admits(self, accepted: socket.socket) -> bool:
        """Returns whether a connection may be opened, and closes it if not."""
        if self._evict_if_full():
            return True
        accepted.close()
        self.closed[CloseReason.NO_ROOM] += 1
        return False

    def _evict_if_full(self) -> bool:
        """Ends a connection if there are too many; returns whether another one may be opened."""
        if self.count() + len(self._opening) < self.max_connections:
            return True
        evicted = self._eviction.choose(chain(self._unused, self._active))
        if evicted is None:
            return False
        evicted.abort(CloseReason.EVICTED)
        self.connection_closed(evicted)
        return True

    def _open(self, client: ClientConnection, accepted: socket.socket) -> asyncio.Task[None]:
        self._opening[client] = task = self._loop.create_task(self._connect(client, accepted))
        return task

    async def _connect(self, client: ClientConnection, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: client, accepted)
        except OSError:  # its client has left meanwhile
            accepted.close()
        finally:
            self._opening.pop(client, None)

    def begin_handover(self) -> None:
        """Stops accepting connections and commands; both wait in the kernel."""
        self.is_handing_over = True
        self.close_listeners()
        for client in [*self._unused, *self._active]:
            client.handover_changed()

    async def cancel_handover(self) -> None:
        """Accepts connections and commands again, as no other process takes over."""
        self.is_handing_over = False
        self._pass_on = None
        if not self.is_closing:
            self.open_listeners()
        for client in [*self._unused, *self._active]:
            client.handover_changed()

    def pass_on(self, pass_on: PassOn, max_input_bytes: int) -> None:
        """Passes connections to another process from now on, each once all its requests are answered.

        `max_input_bytes` is the most input of one connection that the other process accepts.
        """
        self._pass_on = pass_on
        self._max_passed_input_bytes = max_input_bytes
        self.pass_on_all()

    def pass_on_all(self) -> None:
        """Passes on all connections that have no open request; none waits for one with more input."""
        for client in sorted([*self._unused, *self._active], key=lambda client: client.input_bytes):
            self.pass_on_connection(client)

    def pass_on_connection(self, client: ClientConnection) -> None:
        """Passes on one connection if it has no open request."""
        if self._pass_on is None or not client.is_detachable():
            return
        if client.input_bytes > self._max_passed_input_bytes:
            client.fail_handover()
            return
        descriptor, passed_input = client.detach()
        # The duplicated descriptor keeps the connection open: the client sees no end.
        client.abort(CloseReason.HANDED_OVER)
        self._pass_on(descriptor, passed_input)

    async def adopt(self, descriptor: int, inherited_input: Sequence[bytes]) -> None:
        """Takes over a connection of another process, as one of the first listener."""
        adopted = socket.socket(fileno=descriptor)
        if self._admits(adopted):
            await self._open(ClientConnection(self, self._listeners[0][1], inherited_input), adopted)

    @property
    def unprocessed_bytes(self) -> int:
        """Returns how much input of all clients is read, and not processed."""
        return self.read_ahead.unprocessed_bytes

    def limit_unprocessed(self) -> None:
        """Ends the connections that hold the most unprocessed input, until all of it fits the memory."""
        while self.read_ahead.is_over_limit and not self.is_handing_over:
            clients = chain(self._unused, self._active)
            largest = max(clients, key=lambda client: client.unprocessed_bytes, default=None)
            if largest is None or not largest.unprocessed_bytes:
                return  # the rest belongs to connections that are being closed
            largest.end_backlog()

    def _check_timeouts(self) -> None:
        now, is_nearly_full = self.time(), self.count() > NEARLY_FULL_FRACTION * self.max_connections
        for client in [*self._unused, *self._active]:
            client.check_timeouts(now, is_nearly_full)
        # Input that arrived while the process lagged has to be read before the next check.
        self._timeout_check_timer = LagTolerantTimer(self._loop, TIMEOUT_CHECK_S, self._check_timeouts)

    def reading_changed(self, client: ClientConnection, is_reading: bool) -> None:
        """Begins or ends the checks for a client's end: the loop reports none while it is not read."""
        if is_reading:
            self._unread.discard(client)
        else:
            self._unread.add(client)
            if self._end_check_timer is None:
                self._end_check_timer = self._call_later(END_CHECK_S, self._check_ends)

    def _check_ends(self) -> None:
        for client in list(self._unread):
            if client.has_left():
                client.abort(CloseReason.CLIENT_LEFT)
        self.bodies.end_waits()
        self.read_ahead.continue_all()
        self._end_check_timer = self._call_later(END_CHECK_S, self._check_ends) if self._unread else None

    @property
    def port(self) -> int:
        """Returns the port of the first listener."""
        return self.ports[0]

    @property
    def ports(self) -> list[int]:
        """Returns the ports of all listeners."""
        return [acceptor.port for acceptor in self._acceptors]

    def connection_opened(self, client: ClientConnection) -> None:
        """Registers a connection, or aborts one that was still opening when all were closed."""
        self._opening.pop(client, None)
        if self._is_closed:
            client.abort(CloseReason.SHUTDOWN)
            return
        self._unused[client] = None
        self._eviction.client_added()

    def command_received(self, client: ClientConnection) -> None:
        """Makes a connection that has sent a complete command the last in the order of eviction."""
        (self._active if client.has_sent_command else self._unused).pop(client, None)
        client.has_sent_command = True
        self._active[client] = None

    def sockets(self) -> Iterator[socket.socket]:
        """Yields the sockets of all open connections."""
        for client in chain(self._unused, self._active):
            if (raw_socket := client.raw_socket) is not None:
                yield raw_socket

    def count(self) -> int:
        """Returns the number of connections."""
        return len(self._active) + len(self._unused)

    def waiting_answers(self) -> int:
        """Returns how many answers wait for their turn behind another on their connections."""
        return sum(max(0, len(client.slots) - 1) for client in chain(self._unused, self._active))

    def connection_closed(self, client: ClientConnection) -> None:
        """Removes a connection."""
        self._unused.pop(client, None)
        self._active.pop(client, None)
        self._unread.discard(client)
        self.read_ahead.remove(client)
        self._eviction.remove(client)

    async def drain(self, end: float) -> None:
        """Serves until new connections cease, then closes the listeners and each connection once it is idle.

        `end` is the time of the loop's clock, in seconds, at which every request is over and its answer has
        had time to be sent.
        """
        loop = asyncio.get_running_loop()
        self._last_opened_at = loop.time()
        latest = self._last_opened_at + MAX_DRAIN_ACCEPT_S
        while (
            not self.is_handing_over
            and (remaining_s := min(latest, self._last_opened_at + DRAIN_QUIET_S) - loop.time()) > 0
        ):
            await asyncio.sleep(remaining_s)
            # A loop that lagged wakes with its timer due and connections still in the accept queue; without
            # another turn they would be closed unread.
            await asyncio.sleep(ACCEPT_TURN_S)
            # If the process lagged again, that timer fires before the sockets are read; they are read between
            # two turns without a wait.
            for _ in range(2):
                await asyncio.sleep(0)
        self.close_listeners()
        while self._opening:
            await asyncio.sleep(0)
        self.is_closing = True
        # From here on, only an incomplete command can keep a connection open for longer.
        await self._close_idle_until(end)

    async def _close_idle_until(self, end: float) -> None:
        """Closes idle connections until none is left or all requests are over at `end`, then the rest."""
        loop = asyncio.get_running_loop()
        while self.count() and loop.time() < end:
            for client in [*self._unused, *self._active]:
                if self.is_handing_over:
                    self.pass_on_connection(client)
                elif client.is_idle():
                    client.close()
            await asyncio.sleep(IDLE_CHECK_S)
        self.close()

    def close_listeners(self) -> None:
        """Closes the listening sockets."""
        acceptors = self._acceptors
        self._acceptors = []
        for acceptor in acceptors:
            acceptor.close()

    def close(self) -> None:
        """Closes the listeners and all connections at once."""
        if self._timeout_check_timer is not None:
            self._timeout_check_timer.cancel()
        if self._end_check_timer is not None:
            self._end_check_timer.cancel()
        self.close_listeners()
        self._is_closed = True
        for client in [*self._unused, *self._active]:
            client.abort(CloseReason.SHUTDOWN)
