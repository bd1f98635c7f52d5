"""The platform's discovery agent: one for each gateway, all telling one list, each with addresses of its own.

`GET /api/targets` gives the whole list, `?stream=1&index=N` a watch. What is written to a gateway goes into
the ledger as told. While discovery is in trouble calls end as `AgentFault` says; open watches go on.
"""

from __future__ import annotations

import asyncio
import enum
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import h11

from ..judge.ledger import Ledger, EndpointAnnounced
from .loopback import Address, own_address

HEARTBEAT = 2.0  # s between empty lines of a watch
CHANGES_MOST = 512  # that the list remembers; whoever is further behind gets the whole
RETRY_AFTER = 3600  # s that an error asks its caller to wait
LINE_PATIENCE = 2.1  # s that a call which is turned away late was kept waiting
TRICKLE = 0.5  # s between the bytes of an answer that comes to no line


class AgentFault(enum.Enum):
    """What becomes of a call while discovery is in trouble."""

    RESET = "its connection is reset"
    ERROR = "it is answered with an error and a long wait"
    KEPT_WAITING = "it is kept waiting and then closed without an answer"
    ENDED = "its answer ends at once"
    SILENT = "nothing comes"
    TRICKLE = "bytes come that make no line"


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """One backend as the list has it; `dial` by gateway."""

    host: str
    dial: tuple[Address, ...]
    zone: str
    kind: str
    cell: int
    health: str
    born_ms: int
    service: str = ""  # the default one, which the list does not name

    def told(self, gateway: int) -> dict[str, Any]:
        host, port = self.dial[gateway]
        told = {
            "host": self.host,
            "dial": f"{host}:{port}",
            "site": self.zone,
            "class": self.kind,
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }
        return {**told, "service": self.service} if self.service else told


class BackendList:
    """The one list, by versions."""

    def __init__(self) -> None:
        self.version = 1
        self.hosts: dict[str, ListedBackend] = {}
        self._changes: list[tuple[int, ListedBackend]] = []
        self.agents: list[DiscoveryAgent] = []

    def put(self, entry: ListedBackend) -> None:
        """A new entry, or a change of one; `terminated` takes it off the list."""
        self.version += 1
        if entry.health == "terminated":
            self.hosts.pop(entry.host, None)
        else:
            self.hosts[entry.host] = entry
        self._changes = [*self._changes[-CHANGES_MOST + 1 :], (self.version, entry)]
        for agent in self.agents:
            agent.news([entry])

    def whole(self, gateway: int) -> dict[str, Any]:
        hosts = [entry.told(gateway) for entry in self.hosts.values()]
        return {"seq": self.version, "whole": True, "hosts": hosts}

    def since(self, gateway: int, version: int) -> dict[str, Any]:
        """What changed after a version, or the whole list where that is not known any more."""
        known = self._changes[0][0] - 1 if self._changes else self.version
        if not known <= version <= self.version:
            return self.whole(gateway)
        last = {entry.host: entry for number, entry in self._changes if number > version}
        return {"seq": self.version, "whole": False, "hosts": [e.told(gateway) for e in last.values()]}


class DiscoveryAgent:
    """One gateway's agent. `delay`: s by which news is late; `mute`: it holds everything back."""

    def __init__(self, listed: BackendList, gateway: int, ledger: Ledger) -> None:
        self.listed = listed
        self.gateway = gateway
        self._ledger = ledger
        self.delay = 0.0
        self.mute = False
        self.trouble: AgentFault | None = None
        self.calls: list[int] = []  # ns of the monotonic clock at which each came
        self.troubled: Callable[[], None] = lambda: None  # told of each call that has met with trouble
        self.address: Address = (own_address(), 0)
        self._server: asyncio.Server | None = None
        self._watches: set[_Watch] = set()
        listed.agents.append(self)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Watch(self), *self.address)
        self.address = own_address(), int(self._server.sockets[0].getsockname()[1])

    def news(self, entries: list[ListedBackend]) -> None:
        if not self.mute:
            asyncio.get_running_loop().call_later(self.delay, self._write, entries, self.listed.version)

    def _write(self, entries: list[ListedBackend], version: int) -> None:
        update = {"seq": version, "whole": False, "hosts": [e.told(self.gateway) for e in entries]}
        for watch in self._watches:
            watch.tell(update)

    def noted(self, update: dict[str, Any]) -> None:
        now, told = time.monotonic_ns(), {h["host"]: h["health"] == "in_service" for h in update["hosts"]}
        for host, ready in told.items():
            self._ledger.write(EndpointAnnounced(now, f"n{self.gateway}", host, ready))

    def cut(self) -> None:
        """Ends every watch; a gateway comes again with the version that it has."""
        for watch in list(self._watches):
            watch.abort()

    def silence(self) -> None:
        """Open watches bring nothing any more, and stay open; other calls are answered."""
        for watch in self._watches:
            watch.silence()
        self._watches.clear()

    def watched(self, watch: _Watch, on: bool) -> None:
        (self._watches.add if on else self._watches.discard)(watch)

    def close(self) -> None:
        self.refuse()
        self.cut()

    def refuse(self) -> None:
        """New connections are refused until it is started again; open watches stay."""
        if self._server is not None:
            self._server.close()


class _Watch(asyncio.Protocol):
    """One HTTP exchange."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self._agent = agent
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._beat: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._http.receive_data(data)
        while (event := self._http.next_event()) is not h11.NEED_DATA and event is not h11.PAUSED:
            if isinstance(event, h11.Request):
                self._answer(urlsplit(event.target.decode()))
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _answer(self, target: Any) -> None:
        agent, asked = self._agent, parse_qs(target.query)
        agent.calls.append(time.monotonic_ns())
        if agent.trouble is not None:
            self._fail(agent.trouble)
        elif target.path != "/api/targets":
            self._send(h11.Response(status_code=404, headers=[("Content-Length", "0")]), h11.EndOfMessage())
        elif "stream" not in asked:
            body = json.dumps(agent.listed.whole(agent.gateway)).encode()
            head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
            self._send(head, h11.Data(data=body), h11.EndOfMessage())
        else:
            self._send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
            agent.watched(self, True)
            index = int(asked.get("index", ["0"])[0])
            if not agent.mute:
                self.tell(
                    agent.listed.since(agent.gateway, index) if index else agent.listed.whole(agent.gateway)
                )
            self._heartbeat()

    def _fail(self, trouble: AgentFault) -> None:
        loop = asyncio.get_running_loop()
        match trouble:
            case AgentFault.RESET:
                self.abort()
            case AgentFault.ERROR:
                headers = [("Content-Length", "0"), ("Retry-After", str(RETRY_AFTER))]
                self._send(h11.Response(status_code=503, headers=headers), h11.EndOfMessage())
            case AgentFault.KEPT_WAITING:
                self._beat = loop.call_later(LINE_PATIENCE, self._turn_away)
                return
            case AgentFault.ENDED:
                head = h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")])
                self._send(head, h11.EndOfMessage())
            case AgentFault.TRICKLE:
                self._send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
                self._trickle()
            case AgentFault.SILENT:
                pass
        self._agent.troubled()

    def _turn_away(self) -> None:
        self.abort()
        self._agent.troubled()

    def _trickle(self) -> None:
        self._send(h11.Data(data=b" "))
        self._beat = asyncio.get_running_loop().call_later(TRICKLE, self._trickle)

    def silence(self) -> None:
        if self._beat is not None:
            self._beat.cancel()

    def _heartbeat(self) -> None:
        if not self._agent.mute:
            self._send(h11.Data(data=b"\n"))
        self._beat = asyncio.get_running_loop().call_later(HEARTBEAT, self._heartbeat)

    def tell(self, update: dict[str, Any]) -> None:
        self._send(h11.Data(data=json.dumps(update).encode() + b"\n"))
        self._agent.noted(update)

    def _send(self, *events: h11.Event) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if not transport.is_closing():
            transport.write(b"".join(self._http.send(event) or b"" for event in events))

    def connection_lost(self, exc: Exception | None) -> None:
        self._agent.watched(self, False)
        self.silence()

    def abort(self) -> None:
        cast(asyncio.Transport, self._transport).abort()
