"""A rating node on sockets, RESP2 as the platform's pages have it: a thin server round `rating.RatingNode`.

Each gateway has a listener of its own, so that every attempt in the ledger names the gateway that it came
from. Faults are plain attributes; spoilt answers and resets are drawn from a seed.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, cast

import hiredis

from ..judge.ledger import AttemptReceived, BackendStarted, BackendCrashed, MalformedRequest, Ledger
from .loopback import Address, own_address
from .rating_node import NodeSpec, Pod, Taken, work_of
from .scenario import Scenario
from .faulty_network import reset

Forms = Mapping[str, bytes]  # each request as its client sent it, but for `d`
SPOILT: tuple[Callable[[bytes], bytes], ...] = (
    lambda good: b"+OK\r\n",  # not an answer's three parts
    lambda good: b"*3\r\n$100000000\r\n",  # a header that asks for more than there is room for
    lambda good: good[:-2] + b"xx",  # framing that does not hold
    lambda good: b"HTTP/1.1 200 OK\r\n\r\n",  # another protocol
    lambda good: good[: len(good) // 2],  # half of it, and nothing more
)


def form(words: list[bytes]) -> bytes:
    """A command without the value of `d`, which each hop shortens."""
    pairs = b",".join(p for p in words[3].split(b",") if not p.startswith(b"d=")) if len(words) > 3 else b""
    return b" ".join([*words[:3], pairs, *words[4:]])


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


class NodeServer:
    """One process of one rating node. `down` and `up` end and start it at the same addresses."""

    def __init__(
        self,
        scenario: Scenario,
        spec: NodeSpec,
        pods: dict[int, Pod],
        ledger: Ledger,
        forms: Forms,
        gateways: int,
        cold: bool,
    ) -> None:
        self.scenario = scenario
        self.spec = spec
        self.ledger = ledger
        self.forms = forms
        self.model = scenario.node(spec, pods, time.monotonic_ns(), cold)
        self.born_ms = time.time_ns() // 1_000_000 if cold else 0
        self.silent = False
        # chances
        self.spoil = 0.0
        self.reset = 0.0
        self.running = False
        self.rng = random.Random(f"{scenario.seed}:{spec.name}")
        self.addresses: list[Address] = []
        self._gateways = gateways
        self._servers: list[asyncio.Server] = []
        self.lines: set[_Line] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for number in range(self._gateways):
            host, port = self.addresses[number] if len(self.addresses) > number else (own_address(), 0)
            made = partial(_Line, self, f"n{number}")
            server = await loop.create_server(made, host, port, backlog=1024, reuse_address=True)
            self._servers.append(server)
            if len(self.addresses) <= number:
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
                spec.start if self.model.cold else 1.0,
                spec.warm,
            )
        )

    def down(self) -> None:
        """The process dies: open connections are reset, new ones refused."""
        self.running = False
        for server in self._servers:
            server.close()
        self._servers.clear()
        for line in list(self.lines):
            reset(cast(asyncio.Transport, line.transport))
        self.lines.clear()

    def arrive(self, request: str, cls: str, key: str, began: int, gateway: str) -> Taken | None:
        now = time.monotonic_ns()
        work = work_of(self.scenario.seed, request, self.scenario.work(cls))
        window = self.scenario.window if key else 0
        taken = self.model.arrive(now, request, work, key, window)
        self.ledger.write(
            AttemptReceived(
                now,
                began,
                request,
                self.spec.name,
                gateway,
                work,
                taken is None,
                bool(taken and taken.repeat),
                taken.value if taken else "",
            )
        )
        if self.model.fallen and self.running:
            self.ledger.write(BackendCrashed(now, self.spec.name))
            self.down()
        return taken

    def report(self) -> bytes:
        util, latency, inflight = self.model.report(time.monotonic_ns())
        return b"util=%.3f,latency_ms=%.1f,inflight=%d" % (util, latency, inflight)


class _Line(asyncio.Protocol):
    """One connection: answers in the order of its commands."""

    def __init__(self, node: NodeServer, gateway: str) -> None:
        self._node = node
        self._gateway = gateway
        self._reader = hiredis.Reader()
        self._began = 0
        self._answers: deque[list[bytes]] = deque()  # one place each, empty until the answer is known
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._node.lines.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._node.lines.discard(self)

    def data_received(self, data: bytes) -> None:
        self._began = self._began or time.monotonic_ns()
        self._reader.feed(data)
        try:
            while (words := self._reader.gets()) is not False:
                self._command(words)
                self._began = time.monotonic_ns() if self._reader.has_data() else 0
        except hiredis.ProtocolError as error:
            self._garbled(str(error))

    def _garbled(self, text: str) -> None:
        node = self._node
        node.ledger.write(MalformedRequest(time.monotonic_ns(), node.spec.name, self._gateway, text))
        cast(asyncio.Transport, self.transport).close()

    def _command(self, words: Any) -> None:
        place: list[bytes] = []
        self._answers.append(place)
        name = words[0].upper() if isinstance(words, list) and words else b""
        if name in (b"CALL.GET", b"CALL.POST"):
            self._call(words, place)
        elif name == b"INFO":
            self._answer(place, bulk(self._node.report()))
        else:
            self._answer(place, b"+PONG\r\n" if name == b"PING" else b"+OK\r\n")

    def _call(self, words: list[bytes], place: list[bytes]) -> None:
        node = self._node
        request = words[2].decode() if len(words) > 3 else ""
        if node.forms.get(request) != form(words):
            self._answer(place, b"-SYNTAX\r\n")
            node.ledger.write(
                MalformedRequest(
                    time.monotonic_ns(),
                    node.spec.name,
                    self._gateway,
                    b" ".join(words).decode(errors="replace"),
                )
            )
            return
        named = dict(p.partition(b"=")[::2] for p in words[3].split(b","))
        taken = node.arrive(
            request, named[b"c"].decode(), named.get(b"k", b"").decode(), self._began, self._gateway
        )
        if node.silent or not node.running:
            return
        if taken is None:
            self._answer(place, b"-BUSY\r\n")
        elif node.rng.random() < node.reset:
            reset(cast(asyncio.Transport, self.transport))
        else:
            wait = max(0, taken.done - time.monotonic_ns()) / 1e9
            asyncio.get_running_loop().call_later(wait, self._done, place, taken)

    def _done(self, place: list[bytes], taken: Taken) -> None:
        node = self._node
        if node.silent or self.transport is None or self.transport.is_closing():
            return
        good = b"*3\r\n" + bulk(taken.value.encode()) + b"$-1\r\n" + bulk(node.report())
        if node.rng.random() < node.spoil:
            good = node.rng.choice(SPOILT)(good)
        self._answer(place, good)

    def _answer(self, place: list[bytes], answer: bytes) -> None:
        place.append(answer)
        transport = cast(asyncio.Transport, self.transport)
        while self._answers and self._answers[0]:
            transport.write(self._answers.popleft()[0])
