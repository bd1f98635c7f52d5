"""Models the shared counter: a subset of Redis' commands, and the faults of such servers.

The model follows Redis' published protocol and cluster specification. It uses no I/O and no clocks;
`counter_server.py` serves it on sockets and `virtual/counter/world.py` in virtual time. Times are in ms.
"""

from __future__ import annotations

import random
from binascii import crc_hqx
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

SLOTS = 16384  # hash slots of a cluster, by its specification
SNAPSHOT_INTERVAL_MS = 100  # interval between the states that a lagging replica may have
MAX_SNAPSHOTS = 40  # enough for lags of up to 4 s
NEVER_MS = 1 << 62
HEARTBEAT_SUFFIX = b":beats"  # ends the names of hashes with heartbeats
FIRST_CLUSTER_PORT = 7000
UNBLOCKED_COMMANDS = (b"PING", b"HELLO", b"AUTH")  # answered also while all other commands get an error


class CommandError(str):
    """Marks a string as an error reply."""


class SimpleString(str):
    """Marks a string as a RESP simple string, such as +OK."""


def slot_of(name: bytes) -> int:
    """Returns a name's hash slot, the CRC16 (XMODEM) of its hash tag, or else of the complete name."""
    start = name.find(b"{")
    end = name.find(b"}", start + 1) if start >= 0 else -1
    return crc_hqx(name[start + 1 : end] if end > start + 1 else name, 0) % SLOTS


@dataclass(slots=True)
class ServerState:
    """Holds one server's hashes and when they expire by its clock, which is `clock_ahead` ms ahead."""

    hashes: dict[bytes, dict[bytes, bytes]] = field(default_factory=dict)
    expires_at: dict[bytes, int] = field(default_factory=dict)
    clock_ahead: int = 0

    def copy(self) -> ServerState:
        """Returns a deep copy."""
        hashes = {name: dict(fields) for name, fields in self.hashes.items()}
        return ServerState(hashes, dict(self.expires_at), self.clock_ahead)

    def expire(self, now: int) -> None:
        """Deletes the hashes that have expired; `now` is the time of the server's clock."""
        for name in [name for name, expires_at in self.expires_at.items() if expires_at <= now]:
            self.delete(name)

    def delete(self, name: bytes) -> bool:
        """Deletes a hash and returns whether it existed."""
        self.expires_at.pop(name, None)
        return self.hashes.pop(name, None) is not None


class Shard:
    """Models one server as each gateway reaches it.

    While it is split it has two `states`, and `state_by_gateway` says which one a gateway reaches; other
    gateways reach the first. `error` is the reply to every command, if not empty, and `write_error` the reply
    to commands that write. `calls` counts all commands, and `time_commands` only TIME, which ends each call
    of a gateway.
    """

    def __init__(self, number: int, cluster: Cluster | None = None) -> None:
        self.number = number
        self.cluster = cluster
        self.states = [ServerState()]
        self.state_by_gateway: dict[int, int] = {}
        self.error = ""
        self.write_error = ""
        self.password = b""
        self.calls = 0
        self.time_commands = 0
        self._snapshots: deque[tuple[int, ServerState]] = deque(maxlen=MAX_SNAPSHOTS)

    def split(self, gateways: set[int], now: int, lag: int) -> None:
        """Lets these gateways reach a replica that lagged and was promoted, and the others the old server."""
        self.states = [self.states[0], self._state_at(now - lag)]
        self.state_by_gateway = dict.fromkeys(gateways, 1)

    def heal(self, winner: int) -> None:
        """Ends a split and keeps the state with the index `winner`."""
        self.states = [self.states[min(winner, len(self.states) - 1)]]
        self.state_by_gateway = {}

    def promote(self, now: int, lag: int, clock_ahead: int = 0) -> None:
        """Lets all gateways reach a replica that lagged by `lag` ms and was promoted."""
        self.states = [self._state_at(now - lag)]
        self.state_by_gateway = {}
        self.states[0].clock_ahead = clock_ahead

    def replace(self, clock_ahead: int = 0) -> None:
        """Replaces the server by an empty one."""
        self.states = [ServerState(clock_ahead=clock_ahead)]
        self.state_by_gateway = {}
        self._snapshots.clear()

    def evict(self, rng: random.Random, part: float, heartbeats: bool) -> None:
        """Deletes a share of the hashes with heartbeats, or of the others, as eviction does."""
        for state in self.states:
            for name in list(state.hashes):
                if name.endswith(HEARTBEAT_SUFFIX) == heartbeats and rng.random() < part:
                    state.delete(name)

    def _state_at(self, then: int) -> ServerState:
        older = [state for at, state in self._snapshots if at <= then]
        return (older[-1] if older else self.states[0]).copy()

    def execute(self, gateway: int, words: tuple[bytes, ...], now: int, asking: bool = False) -> Any:
        """Executes a command; returns int, bytes, None, `SimpleString`, `CommandError` or a list of these.

        `asking` says that the previous command was ASKING.
        """
        self.calls += 1
        self.time_commands += words[0] == b"TIME"
        self._take_snapshot(now)
        name = words[0].upper()
        if self.error and name not in UNBLOCKED_COMMANDS:
            return CommandError(self.error)
        command = _COMMANDS.get(name)
        if command is None or not command.min_words <= len(words) <= command.max_words:
            text = f"ERR unknown command or number of arguments: {name.decode(errors='replace')}"
            return CommandError(text)
        if command.writes and self.write_error:
            return CommandError(self.write_error)
        if command.has_name and self.cluster is not None:
            redirect = self.cluster.redirect(self, words[1], gateway, asking)
            if redirect is not None:
                return redirect
        state = self.state_for(gateway)
        server_now = now + state.clock_ahead
        state.expire(server_now)
        return command.call(self, state, words, server_now, gateway)

    def state_for(self, gateway: int) -> ServerState:
        """Returns the state that a gateway reaches."""
        return self.states[self.state_by_gateway.get(gateway, 0)]

    def _take_snapshot(self, now: int) -> None:
        if not self._snapshots or now - self._snapshots[-1][0] >= SNAPSHOT_INTERVAL_MS:
            self._snapshots.append((now, self.states[0].copy()))


class Cluster:
    """Distributes hash slots over several shards.

    `owner` holds the shard of each slot. `migrating` holds the shard that a slot is being migrated to.
    `address` returns the address at which a gateway reaches a shard.
    """

    def __init__(self, shards: int) -> None:
        self.shards = [Shard(number, self) for number in range(shards)]
        self.owner = [slot * shards // SLOTS for slot in range(SLOTS)]
        self.migrating: dict[int, int] = {}
        self.address: Callable[[int, int], tuple[str, int]] = lambda shard, _: (
            "127.0.0.1",
            FIRST_CLUSTER_PORT + shard,
        )

    def migrate(self, slots: range, to: int) -> None:
        """Migrates slots to a shard in one step, with the hashes in them."""
        target = self.shards[to].states[0]
        for shard in self.shards:
            for state in shard.states:
                if state is not target:
                    _migrate(state, target, slots)
        for slot in slots:
            self.owner[slot] = to
            self.migrating.pop(slot, None)

    def redirect(self, shard: Shard, name: bytes, gateway: int, asking: bool) -> CommandError | None:
        """Returns a MOVED or ASK error if the shard does not serve the name, or else None."""
        slot = slot_of(name)
        owner, to = self.owner[slot], self.migrating.get(slot)
        if owner == shard.number:
            if to is not None and name not in shard.state_for(gateway).hashes:
                host, port = self.address(to, gateway)
                return CommandError(f"ASK {slot} {host}:{port}")
            return None
        if asking and to == shard.number:
            return None
        host, port = self.address(owner, gateway)
        return CommandError(f"MOVED {slot} {host}:{port}")

    def slot_ranges(self) -> list[tuple[int, int, int]]:
        """Returns the first slot, the last slot and the shard of each contiguous range with one owner."""
        ranges: list[tuple[int, int, int]] = []
        for slot, owner in enumerate(self.owner):
            if ranges and ranges[-1][2] == owner:
                ranges[-1] = ranges[-1][0], slot, owner
            else:
                ranges.append((slot, slot, owner))
        return ranges


def _migrate(source: ServerState, target: ServerState, slots: range) -> None:
    for name in [name for name in source.hashes if slot_of(name) in slots]:
        target.hashes[name] = source.hashes[name]
        target.expires_at[name] = source.expires_at.get(name, NEVER_MS)
        source.delete(name)


# The arguments are the shard, the state that the gateway reaches, the words, the time and the gateway.
_CommandCall = Callable[[Shard, ServerState, tuple[bytes, ...], int, int], Any]


@dataclass(frozen=True, slots=True)
class _Command:
    """Describes a command; `has_name` says that its first argument names a hash, which has a slot."""

    call: _CommandCall
    min_words: int
    max_words: int
    has_name: bool = False
    writes: bool = False


def _hset(shard: Shard, state: ServerState, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    fields = state.hashes.setdefault(words[1], {})
    added = sum(each not in fields for each in words[2::2])
    fields.update(zip(words[2::2], words[3::2], strict=False))
    return added


def _hsetnx(shard: Shard, state: ServerState, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    fields = state.hashes.setdefault(words[1], {})
    if words[2] in fields:
        return 0
    fields[words[2]] = words[3]
    return 1


def _hgetall(shard: Shard, state: ServerState, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    return [each for pair in state.hashes.get(words[1], {}).items() for each in pair]


def _pexpire(shard: Shard, state: ServerState, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    if words[1] not in state.hashes:
        return 0
    state.expires_at[words[1]] = now + int(words[2])
    return 1


def _time(shard: Shard, state: ServerState, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    """Returns the server's time as seconds and microseconds."""
    return [b"%d" % (now // 1000), b"%d" % (now % 1000 * 1000)]


def _cluster(shard: Shard, state: ServerState, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    if shard.cluster is None:
        return CommandError("ERR This instance has cluster support disabled")
    if words[1].upper() != b"SLOTS":
        return CommandError("ERR unknown subcommand")
    reply = []
    for first, last, owner in shard.cluster.slot_ranges():
        host, port = shard.cluster.address(owner, gateway)
        reply.append([first, last, [host.encode(), port, b"%040d" % owner]])
    return reply


def _hello(shard: Shard, state: ServerState, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    if shard.password:
        if b"AUTH" not in [word.upper() for word in words]:
            return CommandError("NOAUTH HELLO must be called with the client already authenticated")
        if words[-1] != shard.password and shard.password not in words:
            return CommandError("WRONGPASS invalid username-password pair or user is disabled.")
    return [b"server", b"redis", b"proto", 2, b"role", b"master"]


_COMMANDS: dict[bytes, _Command] = {
    b"PING": _Command(lambda *_: SimpleString("PONG"), 1, 2),
    b"HELLO": _Command(_hello, 1, 6),
    b"TIME": _Command(_time, 1, 1),
    b"ASKING": _Command(lambda *_: SimpleString("OK"), 1, 1),
    b"HSET": _Command(_hset, 4, 64, has_name=True, writes=True),
    b"HSETNX": _Command(_hsetnx, 4, 4, has_name=True, writes=True),
    b"HGETALL": _Command(_hgetall, 2, 2, has_name=True),
    b"PEXPIRE": _Command(_pexpire, 3, 3, has_name=True, writes=True),
    b"CLUSTER": _Command(_cluster, 2, 3),
}
