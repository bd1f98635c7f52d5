"""The quota client on sockets: its calls to servers, its ticks from the loop, its events to the module.

May know: quota client, routes, links. Decides nothing.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from functools import partial
from typing import Any

from ..decide.events import AllocationChanged
from .commands import Command, CounterError, Refused, commands, reply
from .link import Access, Link
from .quota_client import Action, QuotaClient
from .routes import Routes, Server
from .terms import SECOND, Call

log = logging.getLogger(__name__)

REFRESH = 0.5  # s at least between looks at a cluster's map
LEAST = 0.001  # s between ticks, whatever went wrong
LINKS_MOST = 128  # servers that are spoken to: a cluster that names more is not followed further


class CounterHost:
    """`events` takes what the module is to be told."""

    def __init__(
        self,
        client: QuotaClient,
        routes: Routes,
        access: Access,
        prefix: str,
        slot: int,
        now: Callable[[], int],
        events: Callable[[AllocationChanged], None],
    ) -> None:
        self.client, self.routes = client, routes
        self._access, self._prefix, self._slot, self._now, self._events = access, prefix, slot, now, events
        self._links: dict[Server, Link] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._asked_at = -REFRESH

    def start(self) -> None:
        """Connect to the servers that are known, and begin to tick."""
        for server in self.routes.servers:
            self._link(server)
        self._tick()

    async def close(self) -> None:
        """End the ticks and all connections."""
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links.values():
            await link.close()

    def do(self, actions: list[Action]) -> None:
        """Send the calls to the counter, hand the module its changed rights."""
        for action in actions:
            if isinstance(action, Call):
                server = self.routes.server(action.partition)
                # For a counter that has none yet: another each time, or a new one would look like the old.
                token = secrets.token_hex(8).encode() if action.member is None else b""
                self._send(action, server, commands(action, self._prefix, self._slot, token), 0)
            else:
                self._events(action)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            self.do(self.client.tick(self._now()))
        except Exception:  # the next one must come all the same, or rights would outlive their time
            log.exception("fault in a tick")
        if self.routes.stale and loop.time() - self._asked_at >= REFRESH:
            self._asked_at = loop.time()
            ready = [link for link in self._links.values() if link.ready]
            if ready:
                ready[0].send([(b"CLUSTER", b"SLOTS")], self._mapped)
        wait = max(LEAST, (self.client.due - self._now()) / SECOND)
        self._timer = loop.call_later(wait, self._tick)

    def _mapped(self, replies: list[Any] | None) -> None:
        if replies is not None and not isinstance(replies[0], Refused):
            self.routes.learn(replies[0])

    def _link(self, server: Server) -> Link | None:
        link = self._links.get(server)
        if link is None and len(self._links) < LINKS_MOST:
            link = self._links[server] = Link(server, self._access, partial(self.routes.lost, server))
            link.start()
        return link

    def _send(self, call: Call, server: Server, sent: list[Command], tries: int) -> None:
        link = self._link(server)
        if link is None:
            asyncio.get_running_loop().call_soon(self._done, call, server, sent, tries, None)
            return
        link.send(sent, partial(self._done, call, server, sent, tries))

    def _done(
        self, call: Call, server: Server, sent: list[Command], tries: int, replies: list[Any] | None
    ) -> None:
        if replies is None:
            self.do(self.client.failed(self._now(), call.number))
            return
        if sent and sent[0] == (b"ASKING",):
            replies = replies[1::2]
            sent = sent[1::2]
        refused = next((each for each in replies if isinstance(each, Refused)), None)
        if refused is not None and tries < 2:
            further = self.routes.redirected(call.partition, refused, server)
            if further is not None:
                to, asking = further
                again = [each for command in sent for each in ((b"ASKING",), command)] if asking else sent
                self._send(call, to, again, tries + 1)
                return
        try:
            told = reply(call, replies)
        except CounterError:
            self.do(self.client.failed(self._now(), call.number))
        else:
            self.do(self.client.answered(self._now(), call.number, told))
