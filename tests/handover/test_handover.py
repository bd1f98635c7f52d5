"""Tests handovers: the steps in virtual time, the packets, and the restored state; starts real processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import fields, is_dataclass, replace
from pathlib import Path
from typing import Any

import pytest

from trackspread.decide import snapshot, snapshot_restore
from trackspread.decide.broker import Broker
from trackspread.decide.actions import Reject, StartAttempt
from trackspread.decide.events import AttemptEnded, Outcome, PeerMessage
from trackspread.decide.peer_messages import pack_usage_totals
from trackspread.decide.decaying_mean import DecayingMean
from trackspread.decide.tenant_account import PeerAttempts, UnsettledGrant
from trackspread.handover import wire
from trackspread.handover.states import Action, Actions, Event, PredecessorSteps, SuccessorSteps
from trackspread.handover.wire import ClientInput, Kind, Reassembly, WireError
from trackspread.node.handover_state import HandoverState, Progress
from trackspread.testing.virtual.handover.world import World

from ..fakes import (
    LOCAL,
    Agent,
    Backend,
    Connection,
    host,
    listening,
    listing,
    raw_config,
    soon,
)
from ..helpers import MS, SECOND, arrival, backend, full_list, plan, settings
from ..control.test_control import CHECK, status
from ..node.test_gateway_process import COMMAND

pytestmark = pytest.mark.processes

# The steps in virtual time.


def test_right_to_serve_passes_exactly_once() -> None:
    """Guards against two processes that serve at once, and against a long time without any."""
    for seed in range(200):
        world = World(seed)
        world.run()
        assert (world.old_serves, world.new_serves, world.both_serve_s) == (False, True, 0.0)
        assert world.none_serves_s < 0.05


@pytest.mark.parametrize("what", ["killed", "silent"])
@pytest.mark.parametrize("who", ["old", "new"])
def test_one_side_serves_when_the_other_one_fails(who: str, what: str) -> None:
    """Guards against two serving processes, or none, when one is killed or hangs during a handover."""
    for seed in range(1500):
        world = World(seed)
        # Most of a handover takes a few ms, so half of the failures are drawn from these.
        at = random.Random(seed).uniform(0.0, 1.0 if seed % 2 else 0.02)
        world.inject_fault(at, who, what)
        world.run()
        if who == "new" and what == "killed":
            assert world.old_serves and world.both_serve_s == 0.0, seed
        elif who == "old" and what == "killed":
            assert world.new_serves, seed
        elif who == "new":  # it hangs: the old process serves again, unless it had already handed over
            assert world.old_serves or world.successor.step in ("serving", "cold"), seed
            assert world.both_serve_s == 0.0, seed
        else:  # the old process hangs: it serves if it had not handed over, and the platform ends it
            assert world.new_serves, seed
        assert world.none_serves_s < 3.0, seed


def test_planted_predecessor_that_never_resumes_is_detected() -> None:
    """Proves that the virtual world detects an old process that does not serve after a failed handover."""

    class NeverResumes(PredecessorSteps):
        def handle(self, what: Event) -> Actions:
            return [each for each in super().handle(what) if each[0] is not Action.RESUME]

    stuck = 0
    for seed in range(300):
        world = World(seed, predecessor=NeverResumes())
        world.inject_fault(random.Random(seed).uniform(0, 0.7), "new", "killed")
        world.run()
        stuck += not world.old_serves
    assert stuck


def test_planted_successor_that_ignores_an_unwritten_taken_is_detected() -> None:
    """Proves that the virtual world detects two serving processes."""

    class IgnoresFailedWrite(SuccessorSteps):
        def taken_over(self, is_written: bool) -> Actions:
            return super().taken_over(True)

    def both_serve(successor: SuccessorSteps) -> float:
        world = World(1, successor=successor)
        to_new = world._send_to_new  # the state is delayed until the old process no longer waits for TAKEN

        def late(what: Event) -> None:
            if what is Event.STATE_RECEIVED:
                world.call_later(1.5, lambda: world._handle_new(what))
            else:
                to_new(what)

        world._send_to_new = late  # type: ignore[method-assign]
        if isinstance(successor, IgnoresFailedWrite):
            world._disconnect = lambda other: setattr(world, "link", False)  # type: ignore[method-assign]
        world.run()
        return float(world.successor.step == "serving" and world.old_serves)

    assert both_serve(IgnoresFailedWrite()) and not both_serve(SuccessorSteps())


def test_invalid_or_repeated_messages_change_nothing() -> None:
    predecessor = PredecessorSteps()
    assert predecessor.handle(Event.STATE_REQUESTED) == [] == predecessor.handle(Event.TAKEN_OVER)
    assert (
        predecessor.handle(Event.INVALID_MESSAGE) == [(Action.DISCONNECT, 0.0)]
        and predecessor.step == "serving"
    )
    successor = SuccessorSteps()
    successor.found(True)
    assert [act for act, _ in successor.handle(Event.INVALID_MESSAGE)] == [
        Action.DISCONNECT,
        Action.START_COLD,
    ]


# Packets.


def test_invalid_packets_are_rejected() -> None:
    valid = wire.pack(Kind.HELLO, b"n0")
    assert wire.unpack(valid) == (Kind.HELLO, b"n0")
    invalid = [
        b"",
        valid[:8],
        b"x" + valid[1:],
        valid[:4] + b"\x09" + valid[5:],
        valid[:5] + b"\x63" + valid[6:],
        valid[:-1] + b"1",
        bytes(wire.MAX_PACKET_BYTES + 1),
    ]
    for packet in invalid:
        with pytest.raises(WireError):
            wire.unpack(packet)
    with pytest.raises(WireError, match="protocol must be 1, got 9"):
        wire.unpack(invalid[3])


def test_incomplete_or_reordered_state_is_rejected() -> None:
    """Guards against a state that is restored although pieces are missing, repeated or out of order."""
    state = random.Random(1).randbytes(3 * wire.PIECE_BYTES + 5)
    packets = [wire.unpack(packet) for packet in wire.state_packets(state)]
    end = wire.unpack(wire.state_end_packet(state)).body
    reassembly = Reassembly()
    for packet in packets:
        reassembly.add(packet.body)
    assert reassembly.complete(end) == state
    for wrong in (packets[1:], packets[::-1], [*packets, packets[0]]):
        reassembly = Reassembly()
        for packet in wrong:
            reassembly.add(packet.body)
        with pytest.raises(WireError):
            reassembly.complete(end)


def test_packets_keep_the_bytes_of_older_versions() -> None:
    """Guards against packets that a process of another version cannot read; the bytes are version 0.1.0's."""
    assert [kind.value for kind in Kind][:7] == [1, 2, 3, 4, 5, 6, 7]
    assert Kind(7) is Kind.PROGRESS
    assert [kind.name for kind in Kind][7:] == [
        "CLIENT_INPUT"
    ]  # sent only to a process that has named its limit
    progress = Progress("ended", 5, 1, 2, 3, 4, (0.5,), "charge", "full", 7, 2.0)
    assert wire.pack(Kind.PROGRESS, wire.encode(progress)).hex() == (
        "7473686f0107000087b419828ba477686174a5656e646564a77265717565737405a7617474656d70"
        "7401a76261636b656e6402"
        "a76f7574636f6d6503a7656c617073656404a67265706f727491cb3fe0000000000000a3636c73a6"
        "636861726765a4706c616e"
        "a466756c6ca8637573746f6d657207a5756e697473cb4000000000000000"
    )
    state = HandoverState({"out": []}, 6, [(5, b"\1")], 9, 1, 2)
    assert wire.encode(state).hex() == (
        "86a66d6f64756c6581a36f757490a46261736506a3696473919205c40101a46e65787409a7636c69"
        "656e747301a56c696e6b7302"
    )


def test_input_of_any_size_passes_in_packets() -> None:
    """Guards against input that does not fit one packet, and against packets over the limit."""
    for size in (0, 1, wire.PIECE_BYTES, wire.PIECE_BYTES + 1, wire.MAX_CLIENT_INPUT_BYTES):
        data = random.Random(size).randbytes(size)
        parts = [data[at : at + 100_000] for at in range(0, size, 100_000)]
        *first, last = wire.client_input_pieces(parts)
        received = ClientInput()
        for piece in first:
            received.add(wire.unpack(wire.pack(Kind.CLIENT_INPUT, piece)).body)
        assert b"".join(received.complete(wire.unpack(wire.pack(Kind.CLIENT, last)).body)) == data


def test_input_with_a_missing_packet_is_rejected() -> None:
    """Guards against a command that is served although a part of it was lost or was too long."""
    received = ClientInput()
    with pytest.raises(WireError, match="at most 5242880 bytes"):
        for _ in range(wire.MAX_CLIENT_INPUT_BYTES // wire.PIECE_BYTES + 1):
            received.add(bytes(wire.PIECE_BYTES))
    with pytest.raises(WireError, match="incomplete"):
        received.complete(b"rest")
    assert received.complete(b"next") == [b"next"]
    received.add(b"first")
    received.invalidate()  # a packet of it had a wrong checksum
    with pytest.raises(WireError, match="incomplete"):
        received.complete(b"")
    with pytest.raises(WireError, match="last piece"):
        received.complete(bytes(wire.MAX_CLIENT_REST_BYTES + 1))
    assert received.complete(b"") == []


def test_limit_of_an_older_version_is_one_packet() -> None:
    """Guards against packets that an older process cannot read; its request for the state has no body."""
    assert wire.max_client_input_bytes(b"") == wire.PIECE_BYTES
    assert wire.max_client_input_bytes(wire.encode(70_000)) == 70_000
    with pytest.raises(WireError):
        wire.max_client_input_bytes(b"\xc1")


# The decision module's state.

NAMES = ("read", "submit", "charge")


def forwarded_after_burst(with_state: bool) -> tuple[Broker, list[int]]:
    """Returns a module whose customer has used its whole burst, and the requests that its successor forwards.

    The successor restores the module's state if `with_state`, and starts cold otherwise.
    """
    limits = plan(rate_per_s=1.0, burst_units=4.0)
    modules = [Broker(settings(plans=(limits,), gateway_count=1), seed, 0) for seed in (1, 2)]
    now = SECOND
    for module in modules:
        module.handle(now, full_list(*(backend(n) for n in range(4))))
    old, new = modules
    for number in range(1, 9):
        for action in old.handle(now, arrival(number, now, gateway_span=1)):
            if isinstance(action, StartAttempt):
                end = AttemptEnded(number, True, 0, action.backend, 0, Outcome.OK, MS, 0, ())
                old.handle(now + MS, end)
    if with_state:
        state = wire.decode(wire.encode(snapshot.export_state(old, NAMES, {})), dict)
        snapshot_restore.restore_state(new, state, NAMES)
    old.retire(now)
    sent = [
        n
        for n in range(20, 30)
        if any(
            isinstance(action, StartAttempt)
            for action in new.handle(now + 2 * MS, arrival(n, now, gateway_span=1))
        )
    ]
    return old, sent


def test_new_process_continues_quotas_and_old_one_grants_nothing() -> None:
    """Guards against a burst that is granted twice, which a planted cold start proves to be detected."""
    old, sent = forwarded_after_burst(with_state=True)
    assert not sent
    rejected = old.handle(2 * SECOND, arrival(50, 2 * SECOND, gateway_span=1))
    assert [type(action) for action in rejected] == [Reject]
    _, sent_cold = forwarded_after_burst(with_state=False)
    assert sent_cold


def plain_fields(part: Any, prefix: str = "") -> Iterator[tuple[str, tuple[type, Any]]]:
    """Yields the type and value of each field of an account, and recursively of its parts."""
    for each in fields(part):
        name, value = prefix + each.name, getattr(part, each.name)
        if is_dataclass(value):
            yield from plain_fields(value, f"{name}.")
        elif isinstance(value, DecayingMean):
            yield name, (DecayingMean, [getattr(value, slot) for slot in DecayingMean.__slots__])
        else:
            yield name, (type(value), value)


def test_handover_restores_every_field_of_an_account() -> None:
    """Guards against a restored field of another type.

    The peers' attempts in flight were once restored as a list, and then every message of a peer raised an
    exception.
    """
    shared_settings = settings(gateway_count=4, plans=(plan(concurrency_limit=3),))
    old, new = Broker(shared_settings, 1, 0), Broker(shared_settings, 2, 0)
    account = old.quota.account(SECOND, 2, 0, 4, 0)
    account.peer_totals, account.owner_record.queried_at_ns, account.owner_record.unsettled_grants = (
        {1: 5},
        {1: 6},
        {3: UnsettledGrant(2.0, 7)},
    )
    account.peers_in_flight = {1: PeerAttempts(2, 9), 3: PeerAttempts(1, 8)}
    account.gateways = replace(account.gateways, peers=(1, 2, 3))
    state = wire.decode(wire.encode(snapshot.export_state(old, NAMES, {})), dict)
    snapshot_restore.restore_state(new, state, NAMES)
    restored = new.quota.accounts[2]
    names, values = zip(*plain_fields(account), strict=True)
    assert len(names) == len(set(names)) > 40
    assert dict(plain_fields(restored)) == dict(zip(names, values, strict=True))
    totals = pack_usage_totals(1, 10, [(2, 0, 1)])
    new.handle(SECOND, PeerMessage(1, totals))
    assert new.handle(SECOND, arrival(9, SECOND, customer=2, gateway_span=4))


def test_state_of_another_version_is_rejected() -> None:
    """Guards against a module that is changed before its new state is found to be unusable."""
    module = Broker(settings(gateway_count=1), 1, 0)
    state = snapshot.export_state(Broker(settings(gateway_count=1), 2, 0), NAMES, {}) | {
        "version": 1,
        "me": 77,
    }
    before = module.quota.incarnation
    with pytest.raises(ValueError, match="version must be 7, got 1"):
        snapshot_restore.restore_state(module, state, NAMES)
    assert module.quota.incarnation == before


def test_attempts_of_the_old_process_count_until_reported_ended() -> None:
    """Guards against a concurrency limit that is exceeded, or used up forever, after a handover."""
    old, new = (Broker(settings(gateway_count=1), seed, 0) for seed in (1, 2))
    now = SECOND
    for module in (old, new):
        module.handle(now, full_list(*(backend(n) for n in range(2))))
    (sent,) = [a for a in old.handle(now, arrival(7, now, gateway_span=1)) if isinstance(a, StartAttempt)]
    state = wire.decode(wire.encode(snapshot.export_state(old, NAMES, {(7, 0): sent.backend})), dict)
    snapshot_restore.restore_state(new, state, NAMES)
    account = new.quota.accounts[1]
    assert (
        account.in_flight,
        new.requests.in_flight,
        new.load_balancer.backends[sent.backend].in_flight,
    ) == (1, 1, 1)
    again = snapshot.AttemptElsewhere(7, 1, sent.backend, "read", "p", 1, 1.0)
    snapshot_restore.count_attempt_elsewhere(new, NAMES, again)
    unknown = snapshot.AttemptElsewhere(8, 0, sent.backend, "no such class", "p", 1, 1.0)
    snapshot_restore.count_attempt_elsewhere(new, NAMES, unknown)
    assert new.requests.in_flight == 2
    for attempt in (0, 1):
        end = AttemptEnded(7, True, 0, sent.backend, 0, Outcome.OK, MS, attempt, ())
        assert new.handle(now + MS, end) == []
    assert (
        account.in_flight,
        new.requests.in_flight,
        new.load_balancer.backends[sent.backend].in_flight,
    ) == (0, 0, 0)


# Real processes.


class Platform:
    """Holds the clients' socket, the common folder and the configuration, and starts processes with them."""

    def __init__(self, folder: Path, agent: Agent, backend: Backend) -> None:
        self.backend, self.agent = backend, agent
        self.socket = socket.socket()
        self.socket.bind((LOCAL, 0))
        self.socket.listen(64)
        self.port = int(self.socket.getsockname()[1])
        self.folder = folder / "common"
        self.folder.mkdir()
        self.path, self.operator_file = folder / "config.json", folder / "own.toml"
        self.operator_file.touch()
        self.path.write_text(json.dumps(raw_config(agent.port)))
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        """Starts a process; returns it and its admin server's port once it is healthy."""
        with socket.socket() as free:
            free.bind((LOCAL, 0))
            admin_port = int(free.getsockname()[1])
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            "run",
            "--file",
            str(self.operator_file),
            stderr=asyncio.subprocess.PIPE,
            pass_fds=[self.socket.fileno()],
            env={
                **os.environ,
                "ROUTER_CONFIG": str(self.path),
                "ROUTER_CONTROL": f"{LOCAL}:{admin_port}",
                "ROUTER_ACCEPT_FD": str(self.socket.fileno()),
                "TMPDIR": str(self.folder),
            },
        )
        self.processes.append(process)
        async with asyncio.timeout(20):
            while True:
                try:
                    if await status(admin_port, CHECK) == 200:
                        return process, admin_port
                except OSError:
                    pass
                assert process.returncode is None, (await process.communicate())[1]
                await asyncio.sleep(0.02)

    async def client(self) -> Connection:
        return Connection(*await soon(asyncio.open_connection(LOCAL, self.port)))


@asynccontextmanager
async def platform(folder: Path) -> AsyncIterator[Platform]:
    agent, backend = Agent(), Backend()
    async with listening(agent), listening(backend):
        agent.first = listing(1, host("s-1", backend.port))
        started = Platform(folder, agent, backend)
        try:
            yield started
        finally:
            for process in started.processes:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            started.socket.close()
