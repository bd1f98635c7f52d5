"""Runs RESP2 clients on sockets, with one connection for each request of a `ClientPopulation` in flight.

Idle connections are reused. If a reused connection ends shortly after a request was sent on it, before any
byte of the answer, the request is sent once more on a new connection, because the gateway may have closed the
idle connection before it received the request.
"""

from __future__ import annotations

import asyncio
import time
import zlib
from collections import Counter
from collections.abc import Coroutine
from dataclasses import replace
from typing import Literal, NamedTuple, cast

import hiredis

from ..judge.ledger import (
    ClientDisconnected,
    ConnectionLost,
    Ledger,
    ReplyReceived,
    RequestSent,
    UnexpectedBytes,
)
from .client_population import ClientPopulation, ClientRequest
from .command_form import CommandForms, command_form
from .loopback import Address
from .scenario import LONG_BODY_BYTES, LONG_BODY_PIECES, MILLISECOND, Scenario

CLOSE_RACE_NS = 100 * MILLISECOND  # time after sending in which the gateway may not have read the request
LATE_ANSWER_S = 0.2  # wait beyond the timeout, in which a late answer is still recorded
CONNECT_TIMEOUT_S = 0.25
CONNECT_ATTEMPTS = 3  # limit on the gateways that a client tries in turn
MAX_IDLE = 64  # limit on idle connections to each gateway
SETTLE_POLL_S = 0.01
CHECKSUMS = 1 << 32  # number of values of a checksum, by which the requests with long bodies are chosen
ReplyKind = Literal["served", "refused", "failed"]


class Clients:
    """Sends the requests of all clients of one run.

    `sending` may be turned off and on. `outcome_counts` counts requests by "served", "refused", "failed",
    "cut", "left" and "unreached". `command_forms` holds the sent commands by request. The harness sets
    `closing_gateways`, to which no new connections are opened, and `killed_gateways`, whose requests may have
    been executed.
    """

    def __init__(
        self, scenario: Scenario, population: ClientPopulation, ledger: Ledger, addresses: list[Address]
    ) -> None:
        self.scenario = scenario
        self.population = population
        self.ledger = ledger
        self.addresses = addresses
        self.command_forms: CommandForms = {}
        self.sending = False
        self.outcome_counts: Counter[str] = Counter()
        self.closing_gateways: set[int] = set()
        self.killed_gateways: set[int] = set()
        self.idle_connections: list[list[_Connection]] = [[] for _ in addresses]
        self.exchanges: set[Exchange] = set()
        self._arrivals: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts to send requests."""
        self.sending = True
        self._arrivals = asyncio.get_running_loop().create_task(self._arrive())

    async def _arrive(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while self.sending:
            due += self.population.next_pause_ns() / 1e9
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.send(self.population.next_request())

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send(self, request: ClientRequest, connect_attempts: int = CONNECT_ATTEMPTS) -> None:
        """Sends a request on an idle connection or a new one, in a task of its own."""
        self._spawn(self._send(request, connect_attempts))

    async def _send(self, request: ClientRequest, connect_attempts: int) -> None:
        request_id = self.population.request_id(request)
        idle = self.idle_connections[request.gateway]
        while idle:
            connection = idle.pop()
            if connection.usable():
                Exchange(self, request, request_id, connection).begin()
                return
        await self._send_on_new_connection(request, request_id, connect_attempts)

    async def _send_on_new_connection(
        self, request: ClientRequest, request_id: str, connect_attempts: int, resent: bool = False
    ) -> None:
        """Sends a request on a new connection, at another gateway if this one does not accept connections.

        `resent` says that the same request was sent before, on a connection that had ended.
        """
        try:
            connection = await self._connect(request.gateway)
        except (OSError, TimeoutError):
            if connect_attempts > 1:
                other = self.population.choose_gateway(request.tenant, request.gateway)
                elsewhere = replace(request, gateway=other)
                await self._send_on_new_connection(elsewhere, request_id, connect_attempts - 1, resent)
                return
            self.outcome_counts["unreached"] += 1
            if resent:
                self.ledger.write(ConnectionLost(time.monotonic_ns(), request_id, gateway_unreachable=True))
            return
        Exchange(self, request, request_id, connection, resent).begin()

    async def _connect(self, gateway: int) -> _Connection:
        if gateway in self.closing_gateways:
            raise ConnectionRefusedError
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: _Connection(self, gateway), *self.addresses[gateway]
            )
        return connection

    def resend(self, request: ClientRequest, request_id: str) -> None:
        """Sends a request once more that the gateway cannot have read."""
        self._spawn(self._send_on_new_connection(request, request_id, CONNECT_ATTEMPTS, resent=True))

    def retry(self, request: ClientRequest, outcome: str, retry_after_ms: int) -> None:
        """Schedules the client's next attempt, if it makes one."""
        if self.sending and (retry := self.population.retry(request, outcome, retry_after_ms)) is not None:
            asyncio.get_running_loop().call_later(retry.delay_ns / 1e9, self.send, retry.request)

    async def settle(self) -> None:
        """Stops sending new requests and returns once every request has ended."""
        self.sending = False
        if self._arrivals is not None:
            await self._arrivals
        while self.exchanges or self._tasks:
            await asyncio.sleep(SETTLE_POLL_S)
        for connections in self.idle_connections:
            for connection in connections:
                connection.close()

    def _body(self, request_id: str) -> bytes:
        """Returns a request's body, which is long for a share of the requests."""
        body = b"body of " + request_id.encode()
        is_long = zlib.crc32(body) < self.scenario.long_body_share * CHECKSUMS
        return body.ljust(LONG_BODY_BYTES, b".") if is_long else body

    def pieces(self, command: bytes) -> list[bytes]:
        """Returns the pieces in which a command is written: more than one for a slow client's long body."""
        if len(command) < LONG_BODY_BYTES or not self.scenario.long_body_write_s:
            return [command]
        size = -(-len(command) // LONG_BODY_PIECES)
        return [command[at : at + size] for at in range(0, len(command), size)]

    def command(self, request: ClientRequest, request_id: str) -> bytes:
        """Returns the request as RESP2 and keeps its form for the rating nodes to check."""
        tenant = request.tenant
        is_safe = self.scenario.idempotency(request.cls) == "safe"
        options = [f"c={request.cls}", f"t={tenant.plan}", f"d={request.timeout_ns // MILLISECOND}"]
        options += [f"k={request.key}"] * bool(request.key) + ["r=1"] * (request.attempt > 1)
        options += [
            f"units={request.units:g}",
            f"spread={tenant.gateway_count}",
            f"first={tenant.first_gateway}",
        ]
        words = [
            b"CALL.GET" if is_safe else b"CALL.POST",
            b"%016x" % tenant.number,
            request_id.encode(),
            ",".join(options).encode(),
        ]
        if not is_safe:
            words.append(self._body(request_id))
        self.command_forms[request_id] = command_form(words)
        return cast(bytes, hiredis.pack_command(tuple(words)))  # type: ignore[arg-type]


class Exchange:
    """Holds one request from its sending to its answer or the end of its connection.

    `resent` says that it was sent before, on a connection that had ended.
    """

    def __init__(
        self,
        clients: Clients,
        request: ClientRequest,
        request_id: str,
        connection: _Connection,
        resent: bool = False,
    ) -> None:
        self.request = request
        self.request_id = request_id
        self._clients = clients
        self._connection = connection
        self._resent = resent
        self._connection_reused = connection.answers > 0
        self._sent_at = 0  # ns; 0 before the last byte is written
        self._timer: asyncio.TimerHandle | None = None  # for the next piece, then for the answer

    def begin(self) -> None:
        """Sends the request."""
        self._connection.exchange = self
        self._clients.exchanges.add(self)
        self._write(self._clients.pieces(self._clients.command(self.request, self.request_id)))

    def _write(self, pieces: list[bytes]) -> None:
        """Writes the first piece and schedules the others."""
        first, *others = pieces
        self._connection.write(first)
        if others:
            wait_s = self._clients.scenario.long_body_write_s / LONG_BODY_PIECES
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._write, others)
        else:
            self._sent()

    def _sent(self) -> None:
        clients, request = self._clients, self.request
        self._sent_at = time.monotonic_ns()
        clients.ledger.write(
            RequestSent(
                self._sent_at,
                self.request_id,
                request.origin,
                f"n{request.gateway}",
                request.cls,
                request.tenant.plan,
                request.tenant.number,
                request.units,
                request.timeout_ns,
                self._resent,
            )
        )
        timeout_s = request.timeout_ns / 1e9 + LATE_ANSWER_S
        self._timer = asyncio.get_running_loop().call_later(timeout_s, self._leave)

    def answered(self, answer: object) -> None:
        """Records the complete answer."""
        reply = _parse_reply(answer)
        self._end()
        self._clients.outcome_counts[reply.kind] += 1
        self._clients.ledger.write(
            ReplyReceived(time.monotonic_ns(), self.request_id, reply.kind, reply.value, reply.retry_after_ms)
        )
        if reply.kind != "served":
            self._clients.retry(self.request, reply.kind, reply.retry_after_ms)

    def connection_ended(self, partly_answered: bool) -> None:
        """Records that the connection ended before the complete answer, or sends the request once more."""
        now = time.monotonic_ns()
        self._end()
        killed = self.request.gateway in self._clients.killed_gateways
        if not self._sent_at:
            self._connection_ended_midway()
            return
        may_be_unread = now - self._sent_at < CLOSE_RACE_NS and not killed
        if may_be_unread and self._connection_reused and not partly_answered and not self._resent:
            self._clients.resend(self.request, self.request_id)
            return
        self._clients.outcome_counts["cut"] += 1
        self._clients.ledger.write(ConnectionLost(now, self.request_id))
        self._clients.retry(self.request, "cut", 0)

    def _connection_ended_midway(self) -> None:
        """Sends the request once more, as a part of it cannot have been accepted."""
        if self._resent:
            self._clients.outcome_counts["unreached"] += 1
        else:
            self._clients.resend(self.request, self.request_id)

    def _leave(self) -> None:
        self._end()
        self._clients.outcome_counts["left"] += 1
        self._clients.ledger.write(ClientDisconnected(time.monotonic_ns(), self.request_id))
        self._connection.close()

    def _end(self) -> None:
        self._connection.exchange = None
        self._clients.exchanges.discard(self)
        if self._timer is not None:
            self._timer.cancel()


class _Reply(NamedTuple):
    kind: ReplyKind
    value: str = ""
    retry_after_ms: int = 0


def _parse_reply(answer: object) -> _Reply:
    if isinstance(answer, bytes):
        return _Reply("served", answer.decode(errors="replace"))
    code, _, retry_ms = str(answer).partition(" ")
    if isinstance(answer, hiredis.ReplyError) and code == "BUSY" and (retry_ms.isdigit() or not retry_ms):
        return _Reply("refused", "", int(retry_ms or 0))
    return _Reply("failed")


class _Connection(asyncio.Protocol):
    """Holds one connection to one gateway, with one request at a time."""

    def __init__(self, clients: Clients, gateway: int) -> None:
        self._clients = clients
        self._gateway = gateway
        self._reader = hiredis.Reader()
        self._transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.answers = 0

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
            self._unexpected()

    def _answer(self, answer: object) -> None:
        exchange = self.exchange
        if exchange is None:
            self._unexpected()
            return
        self.answers += 1
        exchange.answered(answer)
        idle = self._clients.idle_connections[self._gateway]
        if len(idle) < MAX_IDLE:
            idle.append(self)
        else:
            self.close()

    def _unexpected(self) -> None:
        self._clients.ledger.write(UnexpectedBytes(time.monotonic_ns(), f"n{self._gateway}"))
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        idle = self._clients.idle_connections[self._gateway]
        if self in idle:
            idle.remove(self)
        if self.exchange is not None:
            self.exchange.connection_ended(self._reader.has_data())

    def close(self) -> None:
        cast(asyncio.Transport, self._transport).close()
