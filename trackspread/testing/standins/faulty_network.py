"""A faulty wire: relays on loopback that delay, cut, swallow, half-close, reorder, double, lose and throttle.

What happens to what comes is set for each pair of names, each direction and each of UDP and TCP, and drawn
from a seed. A reset on one side is a reset on the other, an end an end: a relay that turned one into the
other would hide what it is there to show; a stream of which something went nowhere is never gone on with. May
not know: any protocol.
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


Over = Literal["udp", "tcp"]
BOTH: tuple[Over, ...] = ("udp", "tcp")


@dataclass(slots=True)
class Path:
    """One direction between two names, of datagrams or of connections. Times in s; chances from 0 to 1 and
    for datagrams only."""

    delay: float = 0.0
    jitter: float = 0.0  # more, at most; datagrams overtake one another by it
    loss: float = 0.0
    twice: float = 0.0
    hole: bool = False  # what comes is taken and goes nowhere; nothing tells
    rate: float = 0.0  # bytes a second that get through; 0 for all
    free: float = 0.0  # loop time at which what was let through so far is through

    def late(self, now: float, size: int, rng: random.Random) -> float:
        """s until so many bytes are at the other end."""
        wait = 0.0
        if self.rate:
            self.free = max(self.free, now) + size / self.rate
            wait = self.free - now
        return wait + self.delay + rng.uniform(0.0, self.jitter)


class FaultyNetwork:
    """All paths of one run. `between` gives a direction's path, to be set at any time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"wire:{seed}")
        self._paths: dict[tuple[str, str, Over], Path] = {}
        self._relays: list[TcpRelay | DatagramRelay | HttpRelay] = []

    def between(self, source: str, target: str, over: Over) -> Path:
        return self._paths.setdefault((source, target, over), Path())

    def each(self, names: Iterable[str]) -> list[Path]:
        """All directions between any two of the names."""
        named = list(names)
        return [self.between(a, b, over) for a in named for b in named if a != b for over in BOTH]

    def part(self, some: Iterable[str], others: Iterable[str]) -> None:
        """A partition: neither side hears the other."""
        for a in some:
            for b in others:
                for over in BOTH:
                    self.between(a, b, over).hole = True
                    self.between(b, a, over).hole = True

    def heal(self) -> None:
        for path in self._paths.values():
            path.hole = False

    async def tcp(self, source: str, target: str, to: Address) -> Address:
        """A relay from `source` to `target`, which listens at `to`; the address that the source is given."""
        relay = TcpRelay(self, source, target, to)
        self._relays.append(relay)
        return await relay.start()

    def relays(self, source: str, target: str) -> list[TcpRelay]:
        return [
            r for r in self._relays if isinstance(r, TcpRelay) and (r.source, r.target) == (source, target)
        ]

    async def datagrams(self, at: dict[str, Address]) -> dict[tuple[str, str], Address]:
        """Relays between all names, which listen at the given addresses: for (a, b) the address that a has
        for b, both to send to and to know what comes from b by."""
        relay = DatagramRelay(self, at)
        self._relays.append(relay)
        return await relay.start()

    async def posts(self, at: dict[str, Address]) -> dict[str, Address]:
        """One address for each name, for datagrams and connections alike, that all others reach it by; who
        comes there is told by the host it comes from, so each name has to listen at a host of its own."""
        made = HttpRelay(self, at)
        self._relays.append(made)
        return await made.start()

    def close(self) -> None:
        for relay in self._relays:
            relay.close()


class _Side(asyncio.Protocol):
    """One side of a relayed connection; what it reads is written to the other."""

    def __init__(self, relay: TcpRelay, source: str | None, target: str) -> None:
        """`source`: None where it is told once it has come."""
        self._relay = relay
        self.source = source
        self.target = target
        self.swallowed = False  # something of it went nowhere
        self.other: _Side | None = None
        self.linked = asyncio.Event()  # there is another side to deliver to
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
        if self.source is None and not self._relay.knows(self):
            reset(self.transport)
            return
        self._task = asyncio.get_running_loop().create_task(self._deliver())

    @property
    def path(self) -> Path:
        return self._relay.wire.between(self.source or "", self.target, "tcp")

    def data_received(self, data: bytes) -> None:
        if self.path.hole:
            self.swallowed = True
            return
        if self.swallowed:
            reset(cast(asyncio.Transport, self.transport))
            return
        self._held += len(data)
        if self._held > HELD_MOST:
            cast(asyncio.Transport, self.transport).pause_reading()
        self._put(partial(self._write, data), len(data))

    def eof_received(self) -> bool:
        """An end: told on behind what came before it, and this side may still be written to."""
        if self.path.hole:
            self.swallowed = True
        else:
            self._put(self._write_eof)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """After a reset the other side is reset; after both ends it is over anyway."""
        self.over = True
        if self.path.hole:
            self._relay.forget(self)
        else:
            self._put(self._reset)

    def _put(self, call: Callable[[], None], size: int = 0) -> None:
        now = asyncio.get_running_loop().time()
        self._due.put_nowait((now + self.path.late(now, size, self._relay.wire.rng), call))

    async def _deliver(self) -> None:
        """In order, whatever the delays: this is a stream."""
        loop = asyncio.get_running_loop()
        await self.linked.wait()
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
    """One listener of one pair: the source connects here and reaches the target. Where anybody may come,
    `hosts` tells whose each host is."""

    def __init__(
        self,
        wire: FaultyNetwork,
        source: str | None,
        target: str,
        to: Address,
        hosts: dict[str, str] | None = None,
    ) -> None:
        self.wire = wire
        self.source = source
        self.target = target
        self._to = to
        self._hosts = hosts or {}
        self._server: asyncio.Server | None = None
        self._sides: set[_Side] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> Address:
        """Raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, own_address(), port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def _accept(self) -> _Side:
        side = _Side(self, self.source, self.target)
        if self.source is not None:
            self._begin(side)
        return side

    def knows(self, side: _Side) -> bool:
        """Whose it is, by where it comes from."""
        host = cast(asyncio.Transport, side.transport).get_extra_info("peername")[0]
        side.source = self._hosts.get(host)
        if side.source is not None:
            self._begin(side)
        return side.source is not None

    def _begin(self, side: _Side) -> None:
        self._sides.add(side)
        task = asyncio.get_running_loop().create_task(self._connect(side))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, near: _Side) -> None:
        """Until the target answers, what the source writes waits in its queue. Over a cut way nothing of it
        comes there, not even that it connects."""
        source = near.source or ""
        if any(self.wire.between(*way, "tcp").hole for way in ((source, self.target), (self.target, source))):
            near.swallowed = True
            return
        far = _Side(self, self.target, source)
        far.other = near
        far.linked.set()
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, *self._to)
        except OSError:
            near.end()
            if near.transport is not None:
                reset(near.transport)
            return
        self._sides.add(far)
        near.other = far
        near.linked.set()
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
        sides = [s for s in self._sides if (s.target == self.target) is (towards == "source") and not s.over]
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

    def __init__(self, owner: DatagramRelay, source: str, target: str) -> None:
        self._owner = owner
        self.source = source
        self.target = target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._owner.came(self, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A dead process's port answers with an ICMP error; the datagram is lost."""


def _delays(path: Path, size: int, rng: random.Random) -> list[float]:
    """s after which a datagram comes, once for each time that it does."""
    if path.hole:
        return []
    times = 1 + (rng.random() < path.twice)
    now = asyncio.get_running_loop().time()
    return [path.late(now, size, rng) for _ in range(times) if rng.random() >= path.loss]


class DatagramRelay:
    """Sockets for every ordered pair of names, so that each knows each by an address of its own."""

    def __init__(self, wire: FaultyNetwork, at: dict[str, Address]) -> None:
        self._wire = wire
        self._at = at
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
                    lambda held=held: held,  # type: ignore[misc]
                    local_addr=(own_address(), 0),
                )
                self._sockets[a, b] = held
                host, port = transport.get_extra_info("sockname")[:2]
                made[a, b] = str(host), int(port)
        return made

    def came(self, at: _Socket, data: bytes, sender: Address) -> None:
        if sender != self._at[at.source]:
            return
        path = self._wire.between(at.source, at.target, "udp")
        for late in _delays(path, len(data), self._wire.rng):
            if self._held < DATAGRAMS_MOST:
                self._held += 1
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


class _Post(asyncio.DatagramProtocol):
    """Where `name` is reached by all others."""

    def __init__(self, owner: HttpRelay, name: str) -> None:
        self._owner = owner
        self.name = name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._owner.came(self, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A dead process's port answers with an ICMP error; the datagram is lost."""


class HttpRelay:
    """One address for each name, for those that tell one another where they are."""

    TRIES = 20  # to find a port that is free for datagrams and connections alike

    def __init__(self, wire: FaultyNetwork, at: dict[str, Address]) -> None:
        self._wire = wire
        self._at = at
        self._held = 0
        self._names = {address: name for name, address in at.items()}
        self._posts: dict[str, _Post] = {}
        self._relays: list[TcpRelay] = []

    async def start(self) -> dict[str, Address]:
        hosts = {host: name for name, (host, _) in self._at.items()}
        return {name: await self._post(name, hosts) for name in self._at}

    async def _post(self, name: str, hosts: dict[str, str]) -> Address:
        loop = asyncio.get_running_loop()
        for _ in range(self.TRIES):
            post = _Post(self, name)
            transport, _ = await loop.create_datagram_endpoint(
                lambda post=post: post,  # type: ignore[misc]
                local_addr=(own_address(), 0),
            )
            host, port = transport.get_extra_info("sockname")[:2]
            relay = TcpRelay(self._wire, None, name, self._at[name], hosts)
            try:
                await relay.start(port)
            except OSError:
                transport.close()
                continue
            self._posts[name] = post
            self._relays.append(relay)
            return str(host), int(port)
        raise OSError("no port is free for datagrams and connections alike")

    def came(self, at: _Post, data: bytes, sender: Address) -> None:
        source = self._names.get(sender)
        if source is None:
            return
        for late in _delays(self._wire.between(source, at.name, "udp"), len(data), self._wire.rng):
            if self._held < DATAGRAMS_MOST:
                self._held += 1
                asyncio.get_running_loop().call_later(late, self._deliver, source, at.name, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        self._held -= 1
        out = self._posts[source].transport
        if out is not None and not out.is_closing():
            out.sendto(data, self._at[target])

    def close(self) -> None:
        for post in self._posts.values():
            if post.transport is not None:
                post.transport.close()
        for relay in self._relays:
            relay.close()
