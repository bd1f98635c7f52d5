"""Serves a rating node (`RatingNode`) on sockets with RESP2.

Each gateway has a listener of its own, so that every attempt in the ledger names its gateway. Faults are
plain attributes; the answers that they affect are drawn from a seed.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, cast

import hiredis

from ..judge.ledger import (
    AttemptAnswered,
    AttemptReceived,
    BackendCrashed,
    BackendStarted,
    Ledger,
    MalformedRequest,
)
from .memory_load import ANSWER_OPTION
from .command_form import OPTIONS_WORD, CommandForms, command_form
from .flooding_client import is_flood_id
from .loopback import Address, own_address
from .rating_node import AcceptedRequest, IdempotencyCache, NodeSpec, request_work_ns
from .scenario import Scenario
from .transports import reset

LISTEN_BACKLOG = 1024
LOAD_ANSWER_S = 0.06  # for a request of the memory load, which takes no core from the usual ones
REQUEST_WORD = 2  # index of the request's name in a command
INVALID_ANSWERS: tuple[Callable[[bytes], bytes], ...] = (
    lambda valid: b"+OK\r\n",  # lacks the three parts of an answer
    lambda valid: b"*3\r\n$100000000\r\n",  # a header that announces too much
    lambda valid: valid[:-2] + b"xx",  # wrong framing
    lambda valid: b"HTTP/1.1 200 OK\r\n\r\n",  # another protocol
    lambda valid: valid[: len(valid) // 2],  # half of an answer
)


def bulk(value: bytes) -> bytes:
    """Encodes a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


class NodeServer:
    """Runs one process of one rating node.

    `command_forms` holds the commands that clients sent. While `unresponsive` is set, requests are executed
    and not answered. An answer is invalid with probability `invalid_answer_chance`, and a reset replaces it
    with probability `reset_chance`. With probability `second_copy_chance` a second copy of an answer follows
    after `second_copy_s`. With `holds_small_writes` its sockets have no TCP_NODELAY.
    """

    def __init__(
        self,
        scenario: Scenario,
        spec: NodeSpec,
        caches: dict[int, IdempotencyCache],
        ledger: Ledger,
        command_forms: CommandForms,
        gateways: int,
        slow_start: bool,
    ) -> None:
        self.scenario = scenario
        self.spec = spec
        self.ledger = ledger
        self.command_forms = command_forms
        self.model = scenario.rating_node(spec, caches, time.monotonic_ns(), slow_start)
        self.created_at_ms = time.time_ns() // 1_000_000 if slow_start else 0
        self.unresponsive = False
        self.invalid_answer_chance = 0.0
        self.reset_chance = 0.0
        self.second_copy_chance = 0.0
        self.second_copy_s = 0.0
        self.holds_small_writes = False
        self.running = False
        self.rng = random.Random(f"{scenario.seed}:{spec.name}")
        self.addresses: list[Address] = []
        self.connections: set[_Connection] = set()
        self._gateways = gateways
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Starts to listen for each gateway; after `crash` it uses the same addresses again."""
        loop = asyncio.get_running_loop()
        for number in range(self._gateways):
            is_new = len(self.addresses) <= number
            host, port = (own_address(), 0) if is_new else self.addresses[number]
            accept = partial(_Connection, self, f"n{number}")
            server = await loop.create_server(accept, host, port, backlog=LISTEN_BACKLOG, reuse_address=True)
            self._servers.append(server)
            if is_new:
                self.addresses.append((host, int(server.sockets[0].getsockname()[1])))
        self.running = True
        spec = self.spec
        self.ledger.write(
            BackendStarted(
                time.monotonic_ns(),
                spec.name,
                spec.zone,
                spec.cell,
                spec.cores * spec.speed,
                spec.initial_capacity if self.model.slow_start else 1.0,
                spec.warm_up_ns,
            )
        )

    def crash(self) -> None:
        """Ends the process: open connections are reset, and new ones refused."""
        self.running = False
        for server in self._servers:
            server.close()
        self._servers.clear()
        for connection in list(self.connections):
            reset(cast(asyncio.Transport, connection.transport))
        self.connections.clear()

    def accept(
        self, request: str, cls: str, key: str, first_byte_at: int, gateway: str
    ) -> AcceptedRequest | None:
        """Takes a complete request; returns None if it is rejected. `first_byte_at` is in ns.

        The ledger has no entry for a request of a flood, though it takes its part of the node's cores.
        """
        now = time.monotonic_ns()
        work_ns = request_work_ns(self.scenario.seed, request, self.scenario.mean_work_ns(cls))
        window_ns = self.scenario.deduplication_window_ns if key else 0
        accepted = self.model.accept(now, request, work_ns, key, window_ns)
        if not is_flood_id(request):
            self._record_attempt(now, request, work_ns, first_byte_at, gateway, accepted)
        if self.model.crashed and self.running:
            self.ledger.write(BackendCrashed(now, self.spec.name))
            self.crash()
        return accepted

    def _record_attempt(
        self,
        now: int,
        request: str,
        work_ns: int,
        first_byte_at: int,
        gateway: str,
        accepted: AcceptedRequest | None,
    ) -> None:
        self.ledger.write(
            AttemptReceived(
                now,
                first_byte_at,
                request,
                self.spec.name,
                gateway,
                work_ns,
                accepted is None,
                bool(accepted and accepted.is_repeat),
                accepted.value if accepted else "",
            )
        )

    def load_report(self) -> bytes:
        """Returns the load report in the form of answers."""
        report = self.model.load_report(time.monotonic_ns())
        return b"util=%.3f,latency_ms=%.1f,inflight=%d" % report


class _Connection(asyncio.Protocol):
    """Handles one connection; commands are answered in their order."""

    def __init__(self, node: NodeServer, gateway: str) -> None:
        self._node = node
        self._gateway = gateway
        self._reader = hiredis.Reader()
        self._first_byte_at = 0
        self._answers: deque[list[bytes]] = deque()  # one slot for each command, empty until it is answered
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, not self._node.holds_small_writes)
        self._node.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._node.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self._first_byte_at = self._first_byte_at or time.monotonic_ns()
        self._reader.feed(data)
        try:
            while (words := self._reader.gets()) is not False:
                self._command(words)
                self._first_byte_at = time.monotonic_ns() if self._reader.has_data() else 0
        except hiredis.ProtocolError as error:
            self._record_malformed(str(error))
            cast(asyncio.Transport, self.transport).close()

    def _record_malformed(self, text: str) -> None:
        node = self._node
        node.ledger.write(MalformedRequest(time.monotonic_ns(), node.spec.name, self._gateway, text))

    def _command(self, words: Any) -> None:
        slot: list[bytes] = []
        self._answers.append(slot)
        name = words[0].upper() if isinstance(words, list) and words else b""
        if name in (b"CALL.GET", b"CALL.POST"):
            self._call(words, slot)
        elif name == b"INFO":
            self._answer(slot, bulk(self._node.load_report()))
        else:
            self._answer(slot, b"+PONG\r\n" if name == b"PING" else b"+OK\r\n")

    def _call(self, words: list[bytes], slot: list[bytes]) -> None:
        node = self._node
        request = words[REQUEST_WORD].decode() if len(words) > OPTIONS_WORD else ""
        is_flood = is_flood_id(request)
        if not is_flood and node.command_forms.get(request) != command_form(words):
            self._answer(slot, b"-SYNTAX\r\n")
            self._record_malformed(b" ".join(words).decode(errors="replace"))
            return
        options = dict(option.partition(b"=")[::2] for option in words[OPTIONS_WORD].split(b","))
        if is_flood and ANSWER_OPTION in options:
            value = request.encode().ljust(int(options[ANSWER_OPTION]), b".")
            asyncio.get_running_loop().call_later(LOAD_ANSWER_S, self._done, slot, value)
            return
        accepted = node.accept(
            request,
            options[b"c"].decode(),
            options.get(b"k", b"").decode(),
            self._first_byte_at,
            self._gateway,
        )
        if node.unresponsive or not node.running:
            return
        if accepted is None:
            self._answer(slot, b"-BUSY\r\n", request)
        elif node.rng.random() < node.reset_chance:
            reset(cast(asyncio.Transport, self.transport))
        else:
            wait_s = max(0, accepted.done_at - time.monotonic_ns()) / 1e9
            asyncio.get_running_loop().call_later(wait_s, self._done, slot, accepted.value.encode(), request)

    def _done(self, slot: list[bytes], value: bytes, request: str = "") -> None:
        node = self._node
        if node.unresponsive or self.transport is None or self.transport.is_closing():
            return
        answer = b"*3\r\n" + bulk(value) + b"$-1\r\n" + bulk(node.load_report())
        if node.rng.random() < node.invalid_answer_chance:
            answer = node.rng.choice(INVALID_ANSWERS)(answer)
        self._answer(slot, answer, request)

    def _answer(self, slot: list[bytes], answer: bytes, request: str = "") -> None:
        """Writes the answer once all before it are written; `request` is the id if the ledger follows it."""
        slot += [answer, request.encode()]
        transport = cast(asyncio.Transport, self.transport)
        while self._answers and self._answers[0]:
            written, answered = self._answers.popleft()
            transport.write(written)
            if answered:
                self._record_answer(answered.decode())
                if self._node.rng.random() < self._node.second_copy_chance:
                    delay_s = self._node.second_copy_s
                    asyncio.get_running_loop().call_later(delay_s, self._write_copy, written)

    def _write_copy(self, answer: bytes) -> None:
        """Writes a second copy of an answer, unless a request waits on the connection."""
        transport = cast(asyncio.Transport, self.transport)
        if not self._answers and not transport.is_closing():
            transport.write(answer)

    def _record_answer(self, request: str) -> None:
        node = self._node
        node.ledger.write(AttemptAnswered(time.monotonic_ns(), request, node.spec.name, self._gateway))
