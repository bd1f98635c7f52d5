"""Runs the quota client on sockets: it sends calls to the counter's servers, ticks, and delivers events.

The module decides nothing.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from ..decide.events import AllocationChanged
from ..decide.time_units import SECOND
from .calls import Call
from .commands import Command, CounterError, ErrorReply, commands_for, parse_reply
from .connection import CounterConnection, Credentials
from .quota_client import Action, QuotaClient
from .routing import Router, Server

log = logging.getLogger(__name__)

MAP_REFRESH_S = 0.5  # shortest time between requests for a cluster's map
MIN_TICK_S = 0.001  # shortest time between ticks, also after an error
MAX_CONNECTIONS = 128  # further servers that a cluster names are ignored
MAX_REDIRECTS = 2  # redirects of one call
ASKING: Command = (b"ASKING",)


@dataclass(frozen=True, slots=True)
class _SentCall:
    """Holds a call that was sent to one server, and the number of redirects before."""

    call: Call
    server: Server
    commands: list[Command]
    redirects: int = 0


class CounterHost:
    """Runs a quota client.

    `on_event` gets the events for the decision module; `now` is the decision module's clock in ns.
    """

    def __init__(
        self,
        client: QuotaClient,
        router: Router,
        credentials: Credentials,
        key_prefix: str,
        gateway: int,
        now: Callable[[], int],
        on_event: Callable[[AllocationChanged], None],
    ) -> None:
        self.client = client
        self.router = router
        self._credentials = credentials
        self._key_prefix = key_prefix
        self._gateway = gateway
        self._now = now
        self._on_event = on_event
        self._connections: dict[Server, CounterConnection] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._map_requested_at_s = -MAP_REFRESH_S

    def start(self) -> None:
        """Connects to the configured servers and starts to tick."""
        for server in self.router.servers:
            self._connection(server)
        self._tick()

    async def close(self) -> None:
        """Stops the ticks and closes all connections."""
        if self._timer is not None:
            self._timer.cancel()
        for connection in self._connections.values():
            await connection.close()

    def carry_out(self, actions: list[Action]) -> None:
        """Sends the calls to the counter and passes changed allocations to the decision module."""
        for action in actions:
            if isinstance(action, Call):
                server = self.router.server(action.partition)
                # The token is for a counter that has none yet. It is drawn anew each time, as a replaced
                # counter would otherwise look like the old one.
                token = secrets.token_hex(8).encode() if action.tenant is None else b""
                commands = commands_for(action, self._key_prefix, self._gateway, token)
                self._send(_SentCall(action, server, commands))
            else:
                self._on_event(action)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            self.carry_out(self.client.tick(self._now()))
        except Exception:  # without the next tick, leases would be used beyond their end
            log.exception("counter: a tick failed")
        if self.router.is_stale and loop.time() - self._map_requested_at_s >= MAP_REFRESH_S:
            self._map_requested_at_s = loop.time()
            self._request_cluster_map()
        wait_s = max(MIN_TICK_S, (self.client.due_ns - self._now()) / SECOND)
        self._timer = loop.call_later(wait_s, self._tick)

    def _request_cluster_map(self) -> None:
        ready = [connection for connection in self._connections.values() if connection.is_ready]
        if ready:
            ready[0].send([(b"CLUSTER", b"SLOTS")], self._on_cluster_map)

    def _on_cluster_map(self, replies: list[Any] | None) -> None:
        if replies is not None and not isinstance(replies[0], ErrorReply):
            self.router.update_cluster_map(replies[0])

    def _connection(self, server: Server) -> CounterConnection | None:
        connection = self._connections.get(server)
        if connection is None and len(self._connections) < MAX_CONNECTIONS:
            on_lost = partial(self.router.on_server_lost, server)
            connection = CounterConnection(server, self._credentials, on_lost)
            self._connections[server] = connection
            connection.start()
        return connection

    def _send(self, sent: _SentCall) -> None:
        connection = self._connection(sent.server)
        if connection is None:
            asyncio.get_running_loop().call_soon(self._on_replies, sent, None)
            return
        connection.send(sent.commands, partial(self._on_replies, sent))

    def _on_replies(self, sent: _SentCall, replies: list[Any] | None) -> None:
        if replies is None:
            self.carry_out(self.client.on_failure(self._now(), sent.call.call_id))
            return
        commands = sent.commands
        if commands and commands[0] == ASKING:
            replies = replies[1::2]
            commands = commands[1::2]
        if self._redirect(sent, commands, replies):
            return
        try:
            reply = parse_reply(sent.call, replies)
        except CounterError:
            self.carry_out(self.client.on_failure(self._now(), sent.call.call_id))
        else:
            self.carry_out(self.client.on_reply(self._now(), sent.call.call_id, reply))

    def _redirect(self, sent: _SentCall, commands: list[Command], replies: list[Any]) -> bool:
        """Sends the call to the server that a reply redirects to, or returns False without a redirection."""
        error = next((each for each in replies if isinstance(each, ErrorReply)), None)
        if error is None or sent.redirects >= MAX_REDIRECTS:
            return False
        target = self.router.redirect_target(sent.call.partition, error, sent.server)
        if target is None:
            return False
        server, with_asking = target
        if with_asking:
            commands = [each for command in commands for each in (ASKING, command)]
        self._send(_SentCall(sent.call, server, commands, sent.redirects + 1))
        return True
