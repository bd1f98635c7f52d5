"""Serves the platform's discovery agents, one for each gateway at an address of its own, all with one list.

`GET /api/targets` returns the complete list, and `?stream=1&index=N` opens a watch. Each update to a gateway
is recorded in the ledger. During a fault, calls end as `AgentFault` says, and open watches continue.
"""

from __future__ import annotations

import asyncio
import enum
import json
import time
from collections.abc import Callable
from typing import cast
from urllib.parse import SplitResult, parse_qs, urlsplit

import h11

from ..judge.ledger import EndpointAnnounced, Ledger
from .backend_list import BackendList, JsonObject, ListedBackend
from .loopback import Address, own_address

TARGETS_PATH = "/api/targets"
HEARTBEAT_S = 2.0  # interval between empty lines of a watch
RETRY_AFTER_S = 3600  # Retry-After of an error
LATE_CLOSE_S = 2.1  # time after which a call is closed without an answer
TRICKLE_S = 0.5  # interval between the bytes of an answer without a complete line
OK, NOT_FOUND, UNAVAILABLE = 200, 404, 503
_CHUNKED = [("Transfer-Encoding", "chunked")]


class AgentFault(enum.Enum):
    """Lists the ways in which a call ends while discovery is faulty."""

    RESET = "its connection is reset"
    ERROR = "it is answered with an error and a long Retry-After"
    CLOSED_LATE = "it waits and is then closed without an answer"
    EMPTY_ANSWER = "its answer ends at once"
    UNRESPONSIVE = "it is not answered"
    TRICKLE = "bytes come that make no line"


class DiscoveryAgent:
    """Serves one gateway's agent.

    `delay_s` is the delay of updates. With `withholds_updates` open watches get none. `fault` applies to new
    calls, and `on_fault` is called after each of these. `call_times_ns` has times of the monotonic clock.
    """

    def __init__(self, backend_list: BackendList, gateway: int, ledger: Ledger) -> None:
        self.backend_list = backend_list
        self.gateway = gateway
        self.delay_s = 0.0
        self.withholds_updates = False
        self.fault: AgentFault | None = None
        self.on_fault: Callable[[], None] = lambda: None
        self.call_times_ns: list[int] = []
        self.address: Address = (own_address(), 0)
        self._ledger = ledger
        self._server: asyncio.Server | None = None
        self._watches: set[_Call] = set()
        backend_list.subscribers.append(self._publish)

    async def start(self) -> None:
        """Starts to listen; after a stop it uses the same address again."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Call(self), *self.address)
        self.address = own_address(), int(self._server.sockets[0].getsockname()[1])

    def _publish(self, entry: ListedBackend) -> None:
        if not self.withholds_updates:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, self._send_update, entry, self.backend_list.version)

    def _send_update(self, entry: ListedBackend, version: int) -> None:
        update = {"seq": version, "whole": False, "hosts": [entry.as_json(self.gateway)]}
        for watch in self._watches:
            watch.send_update(update)

    def record(self, update: JsonObject) -> None:
        """Writes an update that was sent to the gateway into the ledger."""
        now = time.monotonic_ns()
        readiness = {host["host"]: host["health"] == "in_service" for host in update["hosts"]}
        for host, ready in readiness.items():
            self._ledger.write(EndpointAnnounced(now, f"n{self.gateway}", host, ready))

    def abort_watches(self) -> None:
        """Aborts every watch; a gateway calls again with the version that it has."""
        for watch in list(self._watches):
            watch.abort()

    def stop_updates(self) -> None:
        """Stops all output on open watches, which stay open; other calls are answered."""
        for watch in self._watches:
            watch.stop_timer()
        self._watches.clear()

    def add_watch(self, watch: _Call) -> None:
        """Adds an open watch."""
        self._watches.add(watch)

    def remove_watch(self, watch: _Call) -> None:
        """Removes a call that has ended, if it was a watch."""
        self._watches.discard(watch)

    def stop_listening(self) -> None:
        """Refuses new connections until the next start; open watches stay."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Closes the listener and aborts every watch."""
        self.stop_listening()
        self.abort_watches()


class _Call(asyncio.Protocol):
    """Handles one HTTP call; a watch stays open."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self._agent = agent
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._http.receive_data(data)
        while (event := self._http.next_event()) is not h11.NEED_DATA and event is not h11.PAUSED:
            if isinstance(event, h11.Request):
                self._answer(urlsplit(event.target.decode()))
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _answer(self, target: SplitResult) -> None:
        agent = self._agent
        parameters = parse_qs(target.query)
        agent.call_times_ns.append(time.monotonic_ns())
        if agent.fault is not None:
            self._fail(agent.fault)
        elif target.path != TARGETS_PATH:
            self._send(_response(NOT_FOUND), h11.EndOfMessage())
        elif "stream" not in parameters:
            body = json.dumps(agent.backend_list.snapshot(agent.gateway)).encode()
            self._send(_response(OK, len(body)), h11.Data(data=body), h11.EndOfMessage())
        else:
            self._watch(int(parameters.get("index", ["0"])[0]))

    def _watch(self, version: int) -> None:
        """Sends the changes after a version, or the complete list for 0, and stays open."""
        agent = self._agent
        self._send(h11.Response(status_code=OK, headers=_CHUNKED))
        agent.add_watch(self)
        if not agent.withholds_updates:
            changes = agent.backend_list.changes_since(agent.gateway, version) if version else None
            self.send_update(changes or agent.backend_list.snapshot(agent.gateway))
        self._heartbeat()

    def _fail(self, fault: AgentFault) -> None:
        loop = asyncio.get_running_loop()
        match fault:
            case AgentFault.RESET:
                self.abort()
            case AgentFault.ERROR:
                headers = [("Content-Length", "0"), ("Retry-After", str(RETRY_AFTER_S))]
                self._send(h11.Response(status_code=UNAVAILABLE, headers=headers), h11.EndOfMessage())
            case AgentFault.CLOSED_LATE:
                self._timer = loop.call_later(LATE_CLOSE_S, self._close_late)
                return
            case AgentFault.EMPTY_ANSWER:
                self._send(h11.Response(status_code=OK, headers=_CHUNKED), h11.EndOfMessage())
            case AgentFault.TRICKLE:
                self._send(h11.Response(status_code=OK, headers=_CHUNKED))
                self._trickle()
            case AgentFault.UNRESPONSIVE:
                pass
        self._agent.on_fault()

    def _close_late(self) -> None:
        self.abort()
        self._agent.on_fault()

    def _trickle(self) -> None:
        self._send(h11.Data(data=b" "))
        self._timer = asyncio.get_running_loop().call_later(TRICKLE_S, self._trickle)

    def _heartbeat(self) -> None:
        if not self._agent.withholds_updates:
            self._send(h11.Data(data=b"\n"))
        self._timer = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat)

    def stop_timer(self) -> None:
        """Stops the heartbeats."""
        if self._timer is not None:
            self._timer.cancel()

    def send_update(self, update: JsonObject) -> None:
        """Sends an update to the gateway and records it in the ledger."""
        self._send(h11.Data(data=json.dumps(update).encode() + b"\n"))
        self._agent.record(update)

    def _send(self, *events: h11.Event) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if not transport.is_closing():
            transport.write(b"".join(self._http.send(event) or b"" for event in events))

    def connection_lost(self, exc: Exception | None) -> None:
        self._agent.remove_watch(self)
        self.stop_timer()

    def abort(self) -> None:
        """Aborts the connection."""
        cast(asyncio.Transport, self._transport).abort()


def _response(status: int, length: int = 0) -> h11.Response:
    return h11.Response(status_code=status, headers=[("Content-Length", str(length))])
