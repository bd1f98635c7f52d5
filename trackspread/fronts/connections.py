"""The clients' listening sockets and the connections that came through them, bounded together.

May know: time, how many connections there are. May not know: the protocol spoken (`seam.Front`), nor what
becomes of a call; one connection is `client.py`'s.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Sequence
from functools import partial
from itertools import chain
from typing import Protocol

from ..call import Call
from ..config.addresses import Address
from ..config.operator import ClientBounds
from ..lag import LagTolerantTimer
from .bodies import Bodies
from .client import Client, Slot
from .seam import Front

BACKLOG = 1024  # connections that wait for the loop's turn
QUIET = 0.5  # s without a new connection after which a stopping gateway closes its door; the front needs 0.4
DOOR_MOST = 0.9  # s after which it does so all the same: not all who connect heed the front
ACCEPT_LOOK = 0.01  # s in which a stopping gateway's loop surely turns to its sockets
IDLE_LOOK = 0.02  # s between looks for connections that have come to rest, while stopping
GONE_LOOK = 0.02  # s between looks whether who is not read has left: 0.1 s later nothing of it may go out
LOOK = 0.25  # s between looks at all connections for those that have had their time
CROWDED = 0.75  # part of the bound on connections from which they count as few
BODIES_PART = 0.2  # of the memory, for long bodies; one more than fits, and its copy when whole, come on top
BUFFER_LEAST = 96 << 10  # bytes, for each connection, of what a client has not taken: over a whole value
BUFFER_PART = 0.125  # of the memory, for what all clients together have not taken, and likewise not been read

PassOn = Callable[[int, bytes], object]  # a connection's descriptor, and what was read of it and not taken


class Requests(Protocol):
    """What the server needs of the gateway."""

    def ready(self) -> bool: ...

    def take(self, call: Call, slot: Slot, waited: float) -> None: ...

    def left(self, request: int) -> None: ...


class Clients:
    """The listening sockets and the connections that came through them, bounded together."""

    def __init__(
        self,
        listeners: Sequence[tuple[Address, Front]],
        requests: Requests,
        most: int,
        memory: int,
        bounds: ClientBounds,
        inherited: int | None = None,
    ) -> None:
        """`memory`: bytes that the process may use; `inherited`: descriptor of the first listener's socket,
        where the platform holds it: never shut down, only closed."""
        self.requests = requests
        self.bounds = bounds
        loop = asyncio.get_running_loop()
        self.time = loop.time
        self.soon = loop.call_soon
        self._later = loop.call_later
        self._loop = loop
        self.bound = most
        self.memory = int(memory * BUFFER_PART)  # bytes that all clients' rests may hold
        self.buffer = max(BUFFER_LEAST, self.memory // most)  # bytes that one client may leave untaken
        self.held = 0  # bytes of all rests
        self.bodies = Bodies(int(memory * BODIES_PART))
        self._listeners = listeners
        self._inherited = inherited
        # Both have whoever came to rest longest ago first.
        self._clients: dict[Client, None] = {}  # those that have sent a whole command
        self._fresh: dict[Client, None] = {}  # those that have not
        self._servers: list[asyncio.Server] = []
        self._unread: set[Client] = set()  # those that are not read for the time being
        self._gone_looker: asyncio.TimerHandle | None = None  # while there are any
        self._looker: LagTolerantTimer | None = None
        self._last_came = 0.0
        self.closing = False
        self.handing = False  # another process takes over: nothing new is taken here
        self._pass_on: PassOn | None = None

    async def start(self) -> None:
        await self.open_door()
        self._look()

    async def open_door(self) -> None:
        loop = asyncio.get_running_loop()
        for number, (address, front) in enumerate(self._listeners):
            made = partial(Client, self, front)
            if not number and self._inherited is not None:
                held = socket.socket(fileno=os.dup(self._inherited))
                server = await loop.create_server(made, sock=held, backlog=BACKLOG)
            else:
                server = await loop.create_server(made, *address, backlog=BACKLOG)
            self._servers.append(server)

    def hand(self) -> None:
        """Take nothing more, for the time being: what comes waits in the kernel."""
        self.handing = True
        self.close_door()
        for client in [*self._fresh, *self._clients]:
            client.hold()

    async def unhand(self) -> None:
        """Nobody takes over after all."""
        self.handing = False
        self._pass_on = None
        if not self.closing:
            await self.open_door()
        for client in [*self._fresh, *self._clients]:
            client.hold()

    def pass_on(self, pass_on: PassOn) -> None:
        """Connections go to another process from now on, each once nothing is owed on it."""
        self._pass_on = pass_on
        self.leave_all()

    def leave_all(self) -> None:
        for client in [*self._fresh, *self._clients]:
            self.leave(client)

    def leave(self, client: Client) -> None:
        if self._pass_on is not None and (gone := client.depart()) is not None:
            # Closed here, it lives on by the other descriptor: neither side of it sees an end.
            client.abort()
            self._pass_on(*gone)

    async def adopt(self, descriptor: int, before: bytes) -> None:
        """A connection that another process had, through the first listener."""
        made = partial(Client, self, self._listeners[0][1], before)
        came = socket.socket(fileno=descriptor)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(made, came)
        except OSError:  # its client has gone meanwhile
            came.close()

    def _look(self) -> None:
        now, crowded = self.time(), self.count() > CROWDED * self.bound
        for client in [*self._fresh, *self._clients]:
            client.look(now, crowded)
        # What has come, or has been read, while this process lagged counts before a look does.
        self._looker = LagTolerantTimer(self._loop, LOOK, self._look)

    def reads(self, client: Client, read_on: bool) -> None:
        """Whether the client's connection is read from now on; nothing else tells of its end meanwhile."""
        if read_on:
            self._unread.discard(client)
        else:
            self._unread.add(client)
            if self._gone_looker is None:
                self._gone_looker = self._later(GONE_LOOK, self._look_gone)

    def _look_gone(self) -> None:
        for client in list(self._unread):
            if client.gone():
                client.abort()
        self._gone_looker = self._later(GONE_LOOK, self._look_gone) if self._unread else None

    @property
    def port(self) -> int:
        """The first listener's."""
        return int(self._servers[0].sockets[0].getsockname()[1])

    def came(self, client: Client) -> None:
        self._last_came = self.time()
        if self.count() >= self.bound:
            # Descriptors are few: whoever never said anything, or else rests longest, makes room, as a
            # gateway may close between requests. Where nobody rests the new one can't be kept.
            for other in chain(self._fresh, self._clients):
                if other.gives_way():
                    other.abort()
                    self.went(other)
                    break
            else:
                client.abort()
                return
        self._fresh[client] = None

    def spoke(self, client: Client) -> None:
        """A whole command came from it: the last to be closed."""
        (self._clients if client.said else self._fresh).pop(client, None)
        client.said = True
        self._clients[client] = None

    def count(self) -> int:
        return len(self._clients) + len(self._fresh)

    def went(self, client: Client) -> None:
        self._fresh.pop(client, None)
        self._clients.pop(client, None)
        self._unread.discard(client)

    async def drain(self, end: float) -> None:
        """Take what comes until new connections cease, answer all of it, close what rests. `end`: when, s of
        the loop's clock, every request is over, with time for its answer to leave."""
        loop = asyncio.get_running_loop()
        self._last_came = loop.time()
        latest = self._last_came + DOOR_MOST
        while not self.handing and (left := min(latest, self._last_came + QUIET) - loop.time()) > 0:
            await asyncio.sleep(left)
            # A loop that lagged wakes with its timer due and connections still in the accept queue: look
            # once more, or they would be closed unread.
            await asyncio.sleep(ACCEPT_LOOK)
            # Where the process lagged again meanwhile, that timer fires before the sockets are looked at:
            # between two turns without a wait they surely are.
            for _ in range(2):
                await asyncio.sleep(0)
        self.close_door()
        self.closing = True
        # Only half a command can hold a connection open for longer.
        await self._emptied(end)

    async def _emptied(self, end: float) -> None:
        """Close what rests until nothing is left, or all that it could owe is over."""
        loop = asyncio.get_running_loop()
        while self.count() and loop.time() < end:
            for client in [*self._fresh, *self._clients]:
                if self.handing:
                    self.leave(client)
                elif client.resting():
                    client.close()
            await asyncio.sleep(IDLE_LOOK)
        self.shut()

    def close_door(self) -> None:
        servers = self._servers
        self._servers = []
        for server in servers:
            server.close()

    def shut(self) -> None:
        """Close everything as it stands."""
        if self._looker is not None:
            self._looker.cancel()
        if self._gone_looker is not None:
            self._gone_looker.cancel()
        self.close_door()
        for client in [*self._fresh, *self._clients]:
            client.abort()
