"""Clients on sockets, RESP2: a thin shell round `ClientPopulation`, a connection for each request under way.

Connections are kept and dealt out again. A request whose kept connection ends at once, before any of its
answer has come, is written once more on a new one: the gateway may have closed it as it was on its way.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import replace
from typing import Literal, cast

import hiredis

from ..judge.ledger import (
    ReplyReceived,
    RequestSent,
    ConnectionLost,
    Ledger,
    ClientDisconnected,
    UnexpectedBytes,
)
from .client_population import ClientPopulation, ClientRequest
from .loopback import Address
from .node_server import form
from .scenario import MILLISECOND, Scenario

CROSSING = 100 * MILLISECOND  # ns after its writing in which an end may have crossed a request
WITNESS = 0.2  # s for which a client looks on after its time, to see an answer that is late
CONNECT = 0.25  # s
CONNECTS = 3  # gateways that a client tries in turn
IDLE_MOST = 64  # kept connections to each gateway
Kind = Literal["served", "refused", "failed"]


class Clients:
    """All clients of one run. `asking` may be set off and on; `under_way` counts exchanges without an end."""

    def __init__(
        self, scenario: Scenario, population: ClientPopulation, ledger: Ledger, addresses: list[Address]
    ) -> None:
        self.scenario = scenario
        self.population = population
        self.ledger = ledger
        self.addresses = addresses
        self.forms: dict[str, bytes] = {}
        self.asking = False
        self.kinds: Counter[str] = Counter()
        self.leaving: set[int] = set()  # gateways to which the front opens no new connections any more
        self.killed: set[int] = set()  # gateways that were killed outright: nothing crossed, it may have run
        self.idle: list[list[_Line]] = [[] for _ in addresses]
        self.exchanges: set[Exchange] = set()
        self._arrivals: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        self.asking = True
        self._arrivals = asyncio.get_running_loop().create_task(self._arrive())

    async def _arrive(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while self.asking:
            due += self.population.pause() / 1e9
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._begin(self.population.want(), CONNECTS)

    def _begin(self, want: ClientRequest, connects: int) -> None:
        task = asyncio.get_running_loop().create_task(self._try(want, connects))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _try(self, want: ClientRequest, connects: int) -> None:
        request = self.population.request_id(want)
        kept = self.idle[want.gateway]
        while kept:
            line = kept.pop()
            if line.usable():
                Exchange(self, want, request, line).begin()
                return
        await self._fresh(want, request, connects)

    async def _fresh(self, want: ClientRequest, request: str, connects: int, again: bool = False) -> None:
        loop = asyncio.get_running_loop()
        try:
            if want.gateway in self.leaving:
                raise ConnectionRefusedError
            async with asyncio.timeout(CONNECT):
                _, line = await loop.create_connection(
                    lambda: _Line(self, want.gateway), *self.addresses[want.gateway]
                )
        except (OSError, TimeoutError):
            if connects > 1:
                elsewhere = replace(want, gateway=self.population.entry(want.customer, want.gateway))
                await self._fresh(elsewhere, request, connects - 1, again)
            elif again:
                self.kinds["unreached"] += 1
                self.ledger.write(ConnectionLost(time.monotonic_ns(), request, gateway_unreachable=True))
            else:
                self.kinds["unreached"] += 1
            return
        Exchange(self, want, request, line, again).begin()

    def once_more(self, want: ClientRequest, request: str) -> None:
        task = asyncio.get_running_loop().create_task(self._fresh(want, request, CONNECTS, True))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def come_again(self, want: ClientRequest, kind: str, advice_ms: int) -> None:
        if self.asking and (again := self.population.again(want, kind, advice_ms)) is not None:
            asyncio.get_running_loop().call_later(again[0] / 1e9, self._begin, again[1], CONNECTS)

    async def settle(self) -> None:
        """Ask no more, and see every exchange to its end."""
        self.asking = False
        if self._arrivals is not None:
            await self._arrivals
        while self.exchanges or self._tasks:
            await asyncio.sleep(0.01)
        for kept in self.idle:
            for line in kept:
                line.close()

    def command(self, want: ClientRequest, request: str) -> bytes:
        customer = want.customer
        safe = self.scenario.repeat(want.cls) == "safe"
        pairs = [f"c={want.cls}", f"t={customer.plan}", f"d={want.wait // MILLISECOND}"]
        pairs += [f"k={want.key}"] * bool(want.key) + ["r=1"] * (want.tries > 1)
        pairs += [f"units={want.units:g}", f"spread={customer.spread}", f"first={customer.first}"]
        words = [
            b"CALL.GET" if safe else b"CALL.POST",
            b"%016x" % customer.number,
            request.encode(),
            ",".join(pairs).encode(),
        ] + [b"body of " + request.encode()] * (not safe)
        self.forms[request] = form(words)
        return cast(bytes, hiredis.pack_command(tuple(words)))  # type: ignore[arg-type]


class Exchange:
    """One request, from its writing to its answer or its end."""

    def __init__(
        self, clients: Clients, want: ClientRequest, request: str, line: _Line, again: bool = False
    ) -> None:
        self._clients = clients
        self.want = want
        self.request = request
        self._line = line
        self._again = again
        self._kept = line.served > 0
        self._asked = 0
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        clients, want, customer = self._clients, self.want, self.want.customer
        self._line.exchange = self
        clients.exchanges.add(self)
        self._line.write(clients.command(want, self.request))
        self._asked = time.monotonic_ns()
        clients.ledger.write(
            RequestSent(
                self._asked,
                self.request,
                want.origin,
                f"n{want.gateway}",
                want.cls,
                customer.plan,
                customer.number,
                want.units,
                want.wait,
                self._again,
            )
        )
        self._timer = asyncio.get_running_loop().call_later(want.wait / 1e9 + WITNESS, self._leave)

    def answered(self, answer: object) -> None:
        kind, value, advice = _read(answer)
        self._end()
        self._clients.kinds[kind] += 1
        self._clients.ledger.write(ReplyReceived(time.monotonic_ns(), self.request, kind, value, advice))
        if kind != "served":
            self._clients.come_again(self.want, kind, advice)

    def cut(self, midway: bool) -> None:
        """The connection ended first."""
        now = time.monotonic_ns()
        self._end()
        crossed = now - self._asked < CROSSING and self.want.gateway not in self._clients.killed
        if crossed and self._kept and not midway and not self._again:
            self._clients.once_more(self.want, self.request)
            return
        self._clients.kinds["cut"] += 1
        self._clients.ledger.write(ConnectionLost(now, self.request))
        self._clients.come_again(self.want, "cut", 0)

    def _leave(self) -> None:
        self._end()
        self._clients.kinds["left"] += 1
        self._clients.ledger.write(ClientDisconnected(time.monotonic_ns(), self.request))
        self._line.close()

    def _end(self) -> None:
        self._line.exchange = None
        self._clients.exchanges.discard(self)
        if self._timer is not None:
            self._timer.cancel()


def _read(answer: object) -> tuple[Kind, str, int]:
    if isinstance(answer, bytes):
        return "served", answer.decode(errors="replace"), 0
    word, _, advice = str(answer).partition(" ")
    if isinstance(answer, hiredis.ReplyError) and word == "BUSY" and (advice.isdigit() or not advice):
        return "refused", "", int(advice or 0)
    return "failed", "", 0


class _Line(asyncio.Protocol):
    """One connection to one gateway, one request on it at a time."""

    def __init__(self, clients: Clients, gateway: int) -> None:
        self._clients = clients
        self._gateway = gateway
        self._reader = hiredis.Reader()
        self._transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.served = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def write(self, data: bytes) -> None:
        cast(asyncio.Transport, self._transport).write(data)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        try:
            while (answer := self._reader.gets()) is not False:
                self._answer(answer)
        except hiredis.ProtocolError:
            self._stray()

    def _answer(self, answer: object) -> None:
        exchange = self.exchange
        if exchange is None:
            return self._stray()
        self.served += 1
        exchange.answered(answer)
        kept = self._clients.idle[self._gateway]
        if len(kept) < IDLE_MOST:
            kept.append(self)
        else:
            self.close()

    def _stray(self) -> None:
        self._clients.ledger.write(UnexpectedBytes(time.monotonic_ns(), f"n{self._gateway}"))
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        kept = self._clients.idle[self._gateway]
        if self in kept:
            kept.remove(self)
        if self.exchange is not None:
            self.exchange.cut(self._reader.has_data())

    def close(self) -> None:
        cast(asyncio.Transport, self._transport).close()
