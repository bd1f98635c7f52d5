"""The faulty wire: what goes in comes out, and what is set to go wrong does, on both sides alike."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

from trackspread.testing.standins.loopback import Address, Ports
from trackspread.testing.standins.faulty_network import FaultyNetwork
from trackspread.testing.standins.tcp_relay import TcpRelay
from trackspread.testing.standins.transports import reset

from ..fakes import LOCAL, run, until


class End(asyncio.Protocol):
    """One end of a connection; notes what comes."""

    def __init__(self) -> None:
        self.got, self.eof, self.lost = b"", False, False
        self.error: Exception | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.got += data

    def eof_received(self) -> bool:
        self.eof = True
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost, self.error = True, exc


class Pair:
    """A client and a server with the relay between them."""

    def __init__(self, wire: FaultyNetwork, relay: TcpRelay, client: End, server: End) -> None:
        self.wire, self.relay, self.client, self.server = wire, relay, client, server


@asynccontextmanager
async def pair() -> AsyncIterator[Pair]:
    loop, wire, servers = asyncio.get_running_loop(), FaultyNetwork(1), list[End]()

    def accept() -> End:
        servers.append(End())
        return servers[-1]

    server = await loop.create_server(accept, LOCAL, 0)
    at: Address = (LOCAL, server.sockets[0].getsockname()[1])
    try:
        _, client = await loop.create_connection(End, *await wire.tcp("a", "b", at))
        await until(lambda: bool(servers) and hasattr(servers[0], "transport"))
        (relay,) = wire.tcp_relays("a", "b")
        yield Pair(wire, relay, client, servers[0])
    finally:
        server.close()
        wire.close()


def test_bytes_pass_in_order_both_ways_whatever_the_jitter() -> None:
    async def test() -> None:
        async with pair() as p:
            for path in p.wire.paths_between("ab"):
                path.delay_s, path.jitter_s = 0.001, 0.004
            for n in range(50):
                p.client.transport.write(b"%03d," % n)
                p.server.transport.write(b"%03d;" % n)
                await asyncio.sleep(0)
            await until(lambda: len(p.server.got) == 200 == len(p.client.got))
            assert p.server.got == b"".join(b"%03d," % n for n in range(50))
            assert p.client.got == b"".join(b"%03d;" % n for n in range(50))

    run(test)


def test_a_reset_on_either_side_is_a_reset_on_the_other_not_an_end() -> None:
    async def test() -> None:
        for side in ("client", "server"):
            async with pair() as p:
                near, far = (p.client, p.server) if side == "client" else (p.server, p.client)
                near.transport.write(b"x")
                await until(lambda far=far: far.got == b"x")  # type: ignore[misc]
                reset(near.transport)
                await until(lambda far=far: far.lost)  # type: ignore[misc]
                assert isinstance(far.error, ConnectionResetError) and not far.eof

    run(test)


def test_an_end_is_an_end_and_the_other_direction_goes_on() -> None:
    async def test() -> None:
        async with pair() as p:
            p.client.transport.write(b"last")
            p.client.transport.write_eof()
            await until(lambda: p.server.eof)
            assert p.server.got == b"last" and not p.server.lost
            p.server.transport.write(b"answer")
            p.server.transport.write_eof()
            await until(lambda: p.client.eof)
            assert p.client.got == b"answer" and p.client.error is None
            p.client.transport.close()

    run(test)


def test_cut_resets_both_sides_and_a_refusing_target_resets_the_source() -> None:
    async def test() -> None:
        async with pair() as p:
            p.client.transport.write(b"x")
            await until(lambda: p.server.got == b"x")
            assert p.relay.reset_connections() == 2
            await until(lambda: p.client.lost and p.server.lost)
            assert isinstance(p.client.error, ConnectionResetError)
            assert isinstance(p.server.error, ConnectionResetError)
            nobody = await p.wire.tcp("a", "c", Ports().tcp())
            _, client = await asyncio.get_running_loop().create_connection(End, *nobody)
            await until(lambda: client.lost)
            assert isinstance(client.error, ConnectionResetError)

    run(test)


def test_half_close_ends_one_direction_alone() -> None:
    async def test() -> None:
        async with pair() as p:
            assert p.relay.half_close("source") == 1
            await until(lambda: p.client.eof)
            p.client.transport.write(b"still")
            await until(lambda: p.server.got == b"still")
            assert not p.server.eof

    run(test)


def test_a_black_hole_takes_and_says_nothing_until_it_heals() -> None:
    async def test() -> None:
        async with pair() as p:
            p.wire.partition("a", "b")
            p.client.transport.write(b"gone")
            p.server.transport.write(b"gone")
            await until(lambda: p.client.transport.get_write_buffer_size() == 0)
            await asyncio.sleep(0.02)  # nothing is waited for: what would come, would come within this
            assert p.server.got == p.client.got == b"" and not (p.client.lost or p.server.lost)
            p.wire.heal()
            # What went nowhere can't be made good: the stream is never gone on with as if it were whole.
            p.client.transport.write(b"here")
            await until(lambda: p.server.lost and p.client.lost)
            assert p.server.got == b"" and isinstance(p.client.error, ConnectionResetError)

    run(test)


class Mailbox(asyncio.DatagramProtocol):
    """A process's datagram socket."""

    def __init__(self) -> None:
        self.came: list[tuple[bytes, Address]] = []
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.came.append((data, addr))


class Post:
    """Mailboxes of names, with relays between them."""

    def __init__(
        self, wire: FaultyNetwork, boxes: dict[str, Mailbox], known: dict[tuple[str, str], Address]
    ) -> None:
        self.wire, self.boxes, self.known = wire, boxes, known

    def send(self, a: str, b: str, data: bytes) -> None:
        self.boxes[a].transport.sendto(data, self.known[a, b])

    def came(self, name: str) -> list[bytes]:
        return [data for data, _ in self.boxes[name].came]


@asynccontextmanager
async def post(seed: int = 1) -> AsyncIterator[Post]:
    loop, wire, boxes = asyncio.get_running_loop(), FaultyNetwork(seed), dict[str, Mailbox]()
    for name in "abc":
        _, boxes[name] = await loop.create_datagram_endpoint(Mailbox, local_addr=(LOCAL, 0))
    at = {n: cast(Address, b.transport.get_extra_info("sockname")[:2]) for n, b in boxes.items()}
    try:
        yield Post(wire, boxes, await wire.datagrams(at))
    finally:
        wire.close()
        for box in boxes.values():
            box.transport.close()


def test_each_knows_each_by_an_address_of_its_own() -> None:
    async def test() -> None:
        async with post() as p:
            p.send("a", "b", b"1")
            p.send("c", "b", b"2")
            await until(lambda: len(p.came("b")) == 2)
            assert dict(p.boxes["b"].came) == {b"1": p.known["b", "a"], b"2": p.known["b", "c"]}
            stranger = p.boxes["c"].transport
            stranger.sendto(b"forged", p.known["a", "b"])  # not from a: goes nowhere
            p.send("a", "b", b"3")
            await until(lambda: len(p.came("b")) == 3)
            assert p.came("b")[-1] == b"3"

    run(test)


def test_a_partition_is_one_line_and_heals() -> None:
    async def test() -> None:
        async with post() as p:
            p.wire.partition(["a"], ["b", "c"])
            for a, b in (("a", "b"), ("b", "a"), ("c", "a"), ("b", "c")):
                p.send(a, b, b"x")
            await until(lambda: p.came("c") == [b"x"])
            p.wire.heal()
            p.send("a", "b", b"y")
            await until(lambda: p.came("b") == [b"y"])
            assert p.came("a") == []

    run(test)


def test_loss_and_doubles_are_drawn_from_the_seed() -> None:
    async def test() -> None:
        wire, again, other = FaultyNetwork(5), FaultyNetwork(5), FaultyNetwork(6)
        draws = [[w.rng.random() for _ in range(20)] for w in (wire, again, other)]
        assert draws[0] == draws[1] != draws[2]
        async with post(5) as p:
            path = p.wire.path("a", "b", "udp")
            path.loss, path.duplication = 0.4, 0.2
            sent = 0
            while sent < 300:
                p.send("a", "b", b"%d" % sent)
                sent += 1
                await asyncio.sleep(0.0002)
            path.loss = path.duplication = 0.0
            p.send("a", "b", b"end")
            await until(lambda: b"end" in p.came("b"))
            came = p.came("b")
            assert 0.5 < len(set(came)) / sent < 0.8 and len(came) > len(set(came))

    run(test)


def test_jitter_lets_datagrams_overtake_one_another() -> None:
    async def test() -> None:
        async with post() as p:
            p.wire.path("a", "b", "udp").jitter_s = 0.02
            for n in range(40):
                p.send("a", "b", b"%02d" % n)
            await until(lambda: len(p.came("b")) == 40)
            assert p.came("b") != sorted(p.came("b"))

    run(test)


@asynccontextmanager
async def posts(names: str) -> AsyncIterator[tuple[FaultyNetwork, dict[str, Mailbox], dict[str, Address]]]:
    """Names that listen at hosts of their own, and the addresses by which they reach one another."""
    loop, wire, ports = asyncio.get_running_loop(), FaultyNetwork(3), Ports()
    at, boxes = {name: (ports.host(), 4000) for name in names}, dict[str, Mailbox]()
    for name, where in at.items():
        _, boxes[name] = await loop.create_datagram_endpoint(Mailbox, local_addr=where)
    try:
        yield wire, boxes, await wire.shared_addresses(at)
    finally:
        wire.close()
        ports.close()
        for box in boxes.values():
            box.transport.close()


def test_at_one_address_for_all_whoever_comes_is_known_by_its_host_and_seen_by_its_own_address() -> None:
    async def test() -> None:
        async with posts("abc") as (wire, boxes, at):
            wire.path("a", "c", "udp").blackhole = True
            for _ in range(3):
                boxes["a"].transport.sendto(b"from a", at["c"])
            boxes["b"].transport.sendto(b"from b", at["c"])
            boxes["c"].transport.sendto(b"from c", at["a"])
            await until(lambda: bool(boxes["c"].came and boxes["a"].came))
            assert boxes["c"].came == [(b"from b", at["b"])] and boxes["a"].came == [(b"from c", at["c"])]

    run(test)


def test_connections_to_one_address_for_all_are_cut_by_whose_they_are_and_strangers_are_not_let_in() -> None:
    async def test() -> None:
        loop, wire, ports, accepted = asyncio.get_running_loop(), FaultyNetwork(3), Ports(), list[End]()

        def accept() -> End:
            accepted.append(End())
            return accepted[-1]

        at = {name: (ports.host(), 4000) for name in "ab"}
        server = await loop.create_server(accept, *at["b"])
        told = await wire.shared_addresses(at)
        try:
            for cut in (False, True):
                wire.path("a", "b", "tcp").blackhole = cut
                _, end = await loop.create_connection(End, *told["b"], local_addr=(at["a"][0], 0))
                end.transport.write(b"hello")
                await asyncio.sleep(0.05)  # nothing is waited for where nothing may come
                assert [each.got for each in accepted] == [b"hello"] and not end.lost
            _, stranger = await loop.create_connection(End, *told["b"])
            await until(lambda: stranger.lost)
            assert len(accepted) == 1
        finally:
            server.close()
            wire.close()
            ports.close()

    run(test)


def test_a_rate_is_kept_to() -> None:
    async def test() -> None:
        async with pair() as p:
            p.wire.path("a", "b", "tcp").bytes_per_s = 100_000.0
            began = asyncio.get_running_loop().time()
            for _ in range(4):
                p.client.transport.write(bytes(5_000))
                await asyncio.sleep(0.001)
            await until(lambda: len(p.server.got) == 20_000)
            assert asyncio.get_running_loop().time() - began >= 0.2

    run(test)
