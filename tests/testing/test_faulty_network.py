"""Tests that the faulty network relays all data, and causes the configured faults on both sides."""

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


class ConnectionEnd(asyncio.Protocol):
    """Records what one end of a connection receives."""

    def __init__(self) -> None:
        self.data, self.eof, self.lost = b"", False, False
        self.error: Exception | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.data += data

    def eof_received(self) -> bool:
        self.eof = True
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost, self.error = True, exc


class Pair:
    """Holds a client and a server with the relay between them."""

    def __init__(
        self, network: FaultyNetwork, relay: TcpRelay, client: ConnectionEnd, server: ConnectionEnd
    ) -> None:
        self.network, self.relay, self.client, self.server = network, relay, client, server


@asynccontextmanager
async def pair() -> AsyncIterator[Pair]:
    loop, network, servers = asyncio.get_running_loop(), FaultyNetwork(1), list[ConnectionEnd]()

    def accept() -> ConnectionEnd:
        servers.append(ConnectionEnd())
        return servers[-1]

    server = await loop.create_server(accept, LOCAL, 0)
    at: Address = (LOCAL, server.sockets[0].getsockname()[1])
    try:
        _, client = await loop.create_connection(ConnectionEnd, *await network.tcp("a", "b", at))
        await until(lambda: bool(servers) and hasattr(servers[0], "transport"))
        (relay,) = network.tcp_relays("a", "b")
        yield Pair(network, relay, client, servers[0])
    finally:
        server.close()
        network.close()


def test_bytes_arrive_in_order_despite_jitter() -> None:
    async def test() -> None:
        async with pair() as p:
            for path in p.network.paths_between("ab"):
                path.delay_s, path.jitter_s = 0.001, 0.004
            for n in range(50):
                p.client.transport.write(b"%03d," % n)
                p.server.transport.write(b"%03d;" % n)
                await asyncio.sleep(0)
            await until(lambda: len(p.server.data) == 200 == len(p.client.data))
            assert p.server.data == b"".join(b"%03d," % n for n in range(50))
            assert p.client.data == b"".join(b"%03d;" % n for n in range(50))

    run(test)


def test_reset_is_relayed_as_reset() -> None:
    async def test() -> None:
        for side in ("client", "server"):
            async with pair() as p:
                sender, receiver = (p.client, p.server) if side == "client" else (p.server, p.client)
                sender.transport.write(b"x")
                await until(lambda receiver=receiver: receiver.data == b"x")  # type: ignore[misc]
                reset(sender.transport)
                await until(lambda receiver=receiver: receiver.lost)  # type: ignore[misc]
                assert isinstance(receiver.error, ConnectionResetError) and not receiver.eof

    run(test)


def test_eof_is_relayed_and_other_direction_continues() -> None:
    async def test() -> None:
        async with pair() as p:
            p.client.transport.write(b"last")
            p.client.transport.write_eof()
            await until(lambda: p.server.eof)
            assert p.server.data == b"last" and not p.server.lost
            p.server.transport.write(b"answer")
            p.server.transport.write_eof()
            await until(lambda: p.client.eof)
            assert p.client.data == b"answer" and p.client.error is None
            p.client.transport.close()

    run(test)


def test_reset_connections_and_refused_targets_reset_the_source() -> None:
    async def test() -> None:
        async with pair() as p:
            p.client.transport.write(b"x")
            await until(lambda: p.server.data == b"x")
            assert p.relay.reset_connections() == 2
            await until(lambda: p.client.lost and p.server.lost)
            assert isinstance(p.client.error, ConnectionResetError)
            assert isinstance(p.server.error, ConnectionResetError)
            nobody = await p.network.tcp("a", "c", Ports().tcp())
            _, client = await asyncio.get_running_loop().create_connection(ConnectionEnd, *nobody)
            await until(lambda: client.lost)
            assert isinstance(client.error, ConnectionResetError)

    run(test)


def test_half_close_ends_only_one_direction() -> None:
    async def test() -> None:
        async with pair() as p:
            assert p.relay.half_close("source") == 1
            await until(lambda: p.client.eof)
            p.client.transport.write(b"still")
            await until(lambda: p.server.data == b"still")
            assert not p.server.eof

    run(test)


def test_blackhole_discards_data_and_resets_after_heal() -> None:
    async def test() -> None:
        async with pair() as p:
            p.network.partition("a", "b")
            p.client.transport.write(b"gone")
            p.server.transport.write(b"gone")
            await until(lambda: p.client.transport.get_write_buffer_size() == 0)
            await asyncio.sleep(0.02)  # data that got through would arrive within this time
            assert p.server.data == p.client.data == b"" and not (p.client.lost or p.server.lost)
            p.network.heal()
            # Discarded data cannot be replaced, so the stream must not continue as if it were complete.
            p.client.transport.write(b"here")
            await until(lambda: p.server.lost and p.client.lost)
            assert p.server.data == b"" and isinstance(p.client.error, ConnectionResetError)

    run(test)


class Mailbox(asyncio.DatagramProtocol):
    """Records the datagrams that a process's socket receives."""

    def __init__(self) -> None:
        self.received: list[tuple[bytes, Address]] = []
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.received.append((data, addr))


class Mailboxes:
    """Holds the mailboxes of all names, with relays between them."""

    def __init__(
        self, network: FaultyNetwork, boxes: dict[str, Mailbox], addresses: dict[tuple[str, str], Address]
    ) -> None:
        self.network, self.boxes, self.addresses = network, boxes, addresses

    def send(self, a: str, b: str, data: bytes) -> None:
        self.boxes[a].transport.sendto(data, self.addresses[a, b])

    def received(self, name: str) -> list[bytes]:
        return [data for data, _ in self.boxes[name].received]


@asynccontextmanager
async def mailboxes(seed: int = 1) -> AsyncIterator[Mailboxes]:
    loop, network, boxes = asyncio.get_running_loop(), FaultyNetwork(seed), dict[str, Mailbox]()
    for name in "abc":
        _, boxes[name] = await loop.create_datagram_endpoint(Mailbox, local_addr=(LOCAL, 0))
    at = {n: cast(Address, b.transport.get_extra_info("sockname")[:2]) for n, b in boxes.items()}
    try:
        yield Mailboxes(network, boxes, await network.datagrams(at))
    finally:
        network.close()
        for box in boxes.values():
            box.transport.close()


def test_each_pair_has_its_own_datagram_address() -> None:
    async def test() -> None:
        async with mailboxes() as p:
            p.send("a", "b", b"1")
            p.send("c", "b", b"2")
            await until(lambda: len(p.received("b")) == 2)
            assert dict(p.boxes["b"].received) == {b"1": p.addresses["b", "a"], b"2": p.addresses["b", "c"]}
            stranger = p.boxes["c"].transport
            stranger.sendto(b"forged", p.addresses["a", "b"])  # must be discarded, as it does not come from a
            p.send("a", "b", b"3")
            await until(lambda: len(p.received("b")) == 3)
            assert p.received("b")[-1] == b"3"

    run(test)


def test_partition_blocks_datagrams_until_heal() -> None:
    async def test() -> None:
        async with mailboxes() as p:
            p.network.partition(["a"], ["b", "c"])
            for a, b in (("a", "b"), ("b", "a"), ("c", "a"), ("b", "c")):
                p.send(a, b, b"x")
            await until(lambda: p.received("c") == [b"x"])
            p.network.heal()
            p.send("a", "b", b"y")
            await until(lambda: p.received("b") == [b"y"])
            assert p.received("a") == []

    run(test)


def test_loss_and_duplication_are_drawn_from_the_seed() -> None:
    async def test() -> None:
        network, again, other = FaultyNetwork(5), FaultyNetwork(5), FaultyNetwork(6)
        draws = [[w.rng.random() for _ in range(20)] for w in (network, again, other)]
        assert draws[0] == draws[1] != draws[2]
        async with mailboxes(5) as p:
            path = p.network.path("a", "b", "udp")
            path.loss, path.duplication = 0.4, 0.2
            sent = 0
            while sent < 300:
                p.send("a", "b", b"%d" % sent)
                sent += 1
                await asyncio.sleep(0.0002)
            path.loss = path.duplication = 0.0
            p.send("a", "b", b"end")
            await until(lambda: b"end" in p.received("b"))
            received = p.received("b")
            assert 0.5 < len(set(received)) / sent < 0.8 and len(received) > len(set(received))

    run(test)


def test_jitter_reorders_datagrams() -> None:
    async def test() -> None:
        async with mailboxes() as p:
            p.network.path("a", "b", "udp").jitter_s = 0.02
            for n in range(40):
                p.send("a", "b", b"%02d" % n)
            await until(lambda: len(p.received("b")) == 40)
            assert p.received("b") != sorted(p.received("b"))

    run(test)


@asynccontextmanager
async def shared_mailboxes(
    names: str,
) -> AsyncIterator[tuple[FaultyNetwork, dict[str, Mailbox], dict[str, Address]]]:
    """Opens a mailbox for each name at a host of its own, and the shared addresses of all names."""
    loop, network, ports = asyncio.get_running_loop(), FaultyNetwork(3), Ports()
    at, boxes = {name: (ports.host(), 4000) for name in names}, dict[str, Mailbox]()
    for name, where in at.items():
        _, boxes[name] = await loop.create_datagram_endpoint(Mailbox, local_addr=where)
    try:
        yield network, boxes, await network.shared_addresses(at)
    finally:
        network.close()
        ports.close()
        for box in boxes.values():
            box.transport.close()


def test_shared_address_identifies_datagram_senders_by_host() -> None:
    async def test() -> None:
        async with shared_mailboxes("abc") as (network, boxes, at):
            network.path("a", "c", "udp").blackhole = True
            for _ in range(3):
                boxes["a"].transport.sendto(b"from a", at["c"])
            boxes["b"].transport.sendto(b"from b", at["c"])
            boxes["c"].transport.sendto(b"from c", at["a"])
            await until(lambda: bool(boxes["c"].received and boxes["a"].received))
            assert boxes["c"].received == [(b"from b", at["b"])] and boxes["a"].received == [
                (b"from c", at["c"])
            ]

    run(test)


def test_shared_address_cuts_by_source_and_resets_unknown_hosts() -> None:
    async def test() -> None:
        loop, network, ports, accepted = (
            asyncio.get_running_loop(),
            FaultyNetwork(3),
            Ports(),
            list[ConnectionEnd](),
        )

        def accept() -> ConnectionEnd:
            accepted.append(ConnectionEnd())
            return accepted[-1]

        at = {name: (ports.host(), 4000) for name in "ab"}
        server = await loop.create_server(accept, *at["b"])
        addresses = await network.shared_addresses(at)
        try:
            for cut in (False, True):
                network.path("a", "b", "tcp").blackhole = cut
                _, end = await loop.create_connection(
                    ConnectionEnd, *addresses["b"], local_addr=(at["a"][0], 0)
                )
                end.transport.write(b"hello")
                await asyncio.sleep(0.05)  # no event to wait for where no data may arrive
                assert [each.data for each in accepted] == [b"hello"] and not end.lost
            _, stranger = await loop.create_connection(ConnectionEnd, *addresses["b"])
            await until(lambda: stranger.lost)
            assert len(accepted) == 1
        finally:
            server.close()
            network.close()
            ports.close()

    run(test)


def test_rate_limits_throughput() -> None:
    async def test() -> None:
        async with pair() as p:
            p.network.path("a", "b", "tcp").bytes_per_s = 100_000.0
            began = asyncio.get_running_loop().time()
            for _ in range(4):
                p.client.transport.write(bytes(5_000))
                await asyncio.sleep(0.001)
            await until(lambda: len(p.server.data) == 20_000)
            assert asyncio.get_running_loop().time() - began >= 0.2

    run(test)
