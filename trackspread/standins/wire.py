"""A faulty wire: relays on loopback that delay, cut, black-hole, half-close, reorder, duplicate and lose.

What happens to what comes is set for each pair of names and each direction, and drawn from a seed. A reset on
one side is a reset on the other, an end an end: a relay that turned one into the other would hide what it is
there to show. May not know: any protocol.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Literal, cast

from .loopback import Address, own_address

HELD_MOST = 1 << 20  # bytes that one direction of a connection holds back at most; more waits unread
DATAGRAMS_MOST = 4096  # that one relay holds back at most; more are lost, as on any wire
RESTING = 0.0005  # s between what is written behind one another while a delay lasts


@dataclass(slots=True)
class Path:
    """One direction between two names. Times in s; chances from 0 to 1 and for datagrams only."""

    delay: float = 0.0
    jitter: float = 0.0  # more, at most; datagrams overtake one another by it
    loss: float = 0.0
    twice: float = 0.0
    hole: bool = False  # what comes is taken and goes nowhere; nothing tells


class Wire:
    """All paths of one run. `between` gives a direction's path, to be set at any time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"wire:{seed}")
        self._paths: dict[tuple[str, str], Path] = {}
        self._relays: list[TcpRelay | Datagrams] = []

    def between(self, source: str, target: str) -> Path:
        return self._paths.setdefault((source, target), Path())

    def each(self, names: Iterable[str]) -> list[Path]:
        """All directions between any two of the names."""
        named = list(names)
        return [self.between(a, b) for a in named for b in named if a != b]

    def part(self, some: Iterable[str], others: Iterable[str]) -> None:
        """A partition: neither side hears the other."""
        for a in some:
            for b in others:
                self.between(a, b).hole = self.between(b, a).hole = True

    def heal(self) -> None:
        for path in self._paths.values():
            path.hole = False

    async def tcp(self, source: str, target: str, to: Address) -> Address:
        """A relay from `source` to `target`, which listens at `to`; the address that the source is given."""
        relay = TcpRelay(self, source, target, to)
        self._relays.append(relay)
        return await relay.start()

    def relays(self, source: str, target: str) -> list[TcpRelay]:
        return [r for r in self._relays
                if isinstance(r, TcpRelay) and (r.source, r.target) == (source, target)]

    async def datagrams(self, at: dict[str, Address]) -> dict[tuple[str, str], Address]:
        """Relays between all names, which listen at the given addresses: for (a, b) the address that a has
        for b, both to send to and to know what comes from b by."""
        relay = Datagrams(self, at)
        self._relays.append(relay)
        return await relay.start()

    def close(self) -> None:
        for relay in self._relays:
            relay.close()


class _Side(asyncio.Protocol):
    """One side of a relayed connection; what it reads is written to the other."""

    def __init__(self, relay: TcpRelay, path: Path) -> None:
        self._relay, self._path = relay, path
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self._due: asyncio.Queue[tuple[float, Callable[[], None]]] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None
        self._held = 0
        self.ended = False  # its end has been told on
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = asyncio.get_running_loop().create_task(self._deliver())

    def data_received(self, data: bytes) -> None:
        if self._path.hole:
            return
        self._held += len(data)
        if self._held > HELD_MOST:
            cast(asyncio.Transport, self.transport).pause_reading()
        self._put(partial(self._write, data))

    def eof_received(self) -> bool:
        """An end: told on behind what came before it, and this side may still be written to."""
        if not self._path.hole:
            self._put(self._write_eof)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """After a reset the other side is reset; after both ends it is over anyway."""
        self.over = True
        if self._path.hole:
            self._relay.forget(self)
        else:
            self._put(self._reset)

    def _put(self, call: Callable[[], None]) -> None:
        now = asyncio.get_running_loop().time()
        late = self._path.delay + self._relay.wire.rng.uniform(0.0, self._path.jitter)
        self._due.put_nowait((now + late, call))

    async def _deliver(self) -> None:
        """In order, whatever the delays: this is a stream."""
        loop = asyncio.get_running_loop()
        while True:
            at, call = await self._due.get()
            if (left := at - loop.time()) > RESTING:
                await asyncio.sleep(left)
            call()

    def _target(self) -> asyncio.Transport | None:
        return self.other.transport if self.other is not None and not self.other.over else None

    def _write(self, data: bytes) -> None:
        self._held -= len(data)
        if self._held <= HELD_MOST and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if (target := self._target()) is not None and not target.is_closing():
            target.write(data)

    def _write_eof(self) -> None:
        self.ended = True
        if (target := self._target()) is not None and not target.is_closing():
            target.write_eof()
            if self.other is not None and self.other.ended:
                target.close()
                cast(asyncio.Transport, self.transport).close()

    def _reset(self) -> None:
        if (target := self._target()) is not None:
            reset(target)
        self.end()

    def end(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._relay.forget(self)


def reset(transport: asyncio.Transport) -> None:
    """Close with a reset rather than an end: an abort alone ends in good order where nothing is unread."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    transport.abort()


class TcpRelay:
    """One listener of one pair: the source connects here and reaches the target."""

    def __init__(self, wire: Wire, source: str, target: str, to: Address) -> None:
        self.wire, self.source, self.target, self._to = wire, source, target, to
        self._server: asyncio.Server | None = None
        self._sides: set[_Side] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, own_address(), 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def _accept(self) -> _Side:
        side = _Side(self, self.wire.between(self.source, self.target))
        self._sides.add(side)
        task = asyncio.get_running_loop().create_task(self._connect(side))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return side

    async def _connect(self, near: _Side) -> None:
        """Until the target answers, what the source writes waits in its queue."""
        far = _Side(self, self.wire.between(self.target, self.source))
        far.other = near
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, *self._to)
        except OSError:
            near.end()
            if near.transport is not None:
                reset(near.transport)
            return
        self._sides.add(far)
        near.other = far
        if near.over and far.transport is not None:
            reset(far.transport)

    def forget(self, side: _Side) -> None:
        self._sides.discard(side)

    def cut(self) -> int:
        """Resets all connections, on both sides; how many sides that were."""
        sides = [side for side in self._sides if side.transport is not None and not side.over]
        for side in sides:
            reset(cast(asyncio.Transport, side.transport))
        return len(sides)

    def half_close(self, towards: Literal["source", "target"]) -> int:
        """Ends what is written towards one side; the other direction goes on. How many connections had it."""
        path = self.wire.between(self.source, self.target)
        sides = [s for s in self._sides if (s._path is path) is (towards == "source") and not s.over]
        for side in sides:
            cast(asyncio.Transport, side.transport).write_eof()
        return len(sides)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for side in list(self._sides):
            side.end()
            if side.transport is not None:
                side.transport.abort()
        for task in list(self._tasks):
            task.cancel()


class _Socket(asyncio.DatagramProtocol):
    """What `source` sends here goes to `target`."""

    def __init__(self, owner: Datagrams, source: str, target: str) -> None:
        self._owner, self.source, self.target = owner, source, target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._owner.came(self, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A dead process's port answers with an ICMP error; the datagram is lost."""


class Datagrams:
    """Sockets for every ordered pair of names, so that each knows each by an address of its own."""

    def __init__(self, wire: Wire, at: dict[str, Address]) -> None:
        self._wire, self._at = wire, at
        self._sockets: dict[tuple[str, str], _Socket] = {}
        self._held = 0

    async def start(self) -> dict[tuple[str, str], Address]:
        loop, made = asyncio.get_running_loop(), {}
        for a in self._at:
            for b in self._at:
                if a == b:
                    continue
                held = _Socket(self, a, b)
                transport, _ = await loop.create_datagram_endpoint(
                    lambda held=held: held, local_addr=(own_address(), 0)  # type: ignore[misc]
                )
                self._sockets[a, b] = held
                host, port = transport.get_extra_info("sockname")[:2]
                made[a, b] = str(host), int(port)
        return made

    def came(self, at: _Socket, data: bytes, sender: Address) -> None:
        path, rng = self._wire.between(at.source, at.target), self._wire.rng
        if sender != self._at[at.source] or path.hole:
            return
        for _ in range(1 + (rng.random() < path.twice)):
            if rng.random() < path.loss or self._held >= DATAGRAMS_MOST:
                continue
            self._held += 1
            late = path.delay + rng.uniform(0.0, path.jitter)
            asyncio.get_running_loop().call_later(late, self._deliver, at, data)

    def _deliver(self, at: _Socket, data: bytes) -> None:
        self._held -= 1
        out = self._sockets[at.target, at.source].transport
        if out is not None and not out.is_closing():
            out.sendto(data, self._at[at.target])

    def close(self) -> None:
        for each in self._sockets.values():
            if each.transport is not None:
                each.transport.close()
