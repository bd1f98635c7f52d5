"""A stand-in for the shared counter: a subset of Redis' commands, and what goes wrong with such servers.

Written from Redis' published protocol and cluster specification. Without I/O and clocks: `counter_server.py`
puts it on sockets, `virtual/counter/world.py` into virtual time.

May know: commands, who calls. May not know: the gateways' rules.
"""

from __future__ import annotations

import random
from binascii import crc_hqx
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

SLOTS = 16384  # of a cluster, by its specification
SNAPSHOT_MS = 100  # between states that a lagging replica may have
KEPT = 40  # of them: lags of up to 4 s


class Failure(str):
    """An error reply."""


class Simple(str):
    """A simple string, as +OK."""


def slot_of(name: bytes) -> int:
    """A name's hash slot: CRC16 (XMODEM) of its hash tag, or else of all of it."""
    start = name.find(b"{")
    end = name.find(b"}", start + 1) if start >= 0 else -1
    return crc_hqx(name[start + 1 : end] if end > start + 1 else name, 0) % SLOTS


@dataclass(slots=True)
class State:
    """What one server holds: hashes with the moment their life ends, in ms of its clock."""

    hashes: dict[bytes, dict[bytes, bytes]] = field(default_factory=dict)
    ends: dict[bytes, int] = field(default_factory=dict)
    ahead: int = 0  # ms by which its clock is ahead of the world's

    def copy(self) -> State:
        return State({name: dict(own) for name, own in self.hashes.items()}, dict(self.ends), self.ahead)

    def expire(self, now: int) -> None:
        for name in [name for name, end in self.ends.items() if end <= now]:
            self.drop(name)

    def drop(self, name: bytes) -> bool:
        self.ends.pop(name, None)
        return self.hashes.pop(name, None) is not None


class Shard:
    """One server as each gateway finds it. Two states while it is split; `sides` says who finds which."""

    def __init__(self, number: int, cluster: Cluster | None = None) -> None:
        self.number = number
        self.cluster = cluster
        self.states = [State()]
        self.sides: dict[int, int] = {}
        self.error = ""  # what every command is answered with, where not empty
        self.read_only = ""  # the same for those that write
        self.password = b""
        self.run = 1
        # commands, and TIME alone: one ends each call of a gateway
        self.calls = 0
        self.looks = 0
        self._snapshots: deque[tuple[int, State]] = deque(maxlen=KEPT)

    # What goes wrong.

    def split(self, behind: set[int], now: int, lag: int) -> None:
        """`behind` find a replica that lagged by `lag` ms and was promoted; the others the old server."""
        self.states = [self.states[0], self._as_of(now - lag)]
        self.sides = dict.fromkeys(behind, 1)

    def heal(self, winner: int) -> None:
        self.states = [self.states[min(winner, len(self.states) - 1)]]
        self.sides = {}

    def promote(self, now: int, lag: int, ahead: int = 0) -> None:
        self.states = [self._as_of(now - lag)]
        self.sides = {}
        self.states[0].ahead = ahead
        self.run += 1

    def replace(self, ahead: int = 0) -> None:
        self.states = [State(ahead=ahead)]
        self.sides = {}
        self.run += 1
        self._snapshots.clear()

    def evict(self, rng: random.Random, part: float, beats: bool) -> None:
        for state in self.states:
            for name in list(state.hashes):
                if name.endswith(b":beats") == beats and rng.random() < part:
                    state.drop(name)

    def _as_of(self, then: int) -> State:
        old = [state for at, state in self._snapshots if at <= then]
        return (old[-1] if old else self.states[0]).copy()

    # Commands.

    def execute(self, gateway: int, words: tuple[bytes, ...], now: int, asking: bool = False) -> Any:
        """One command; `now` in ms. Replies: int, bytes, None, Simple, Failure, list, dict."""
        self.calls += 1
        self.looks += words[0] == b"TIME"
        if not self._snapshots or now - self._snapshots[-1][0] >= SNAPSHOT_MS:
            self._snapshots.append((now, self.states[0].copy()))
        name = words[0].upper()
        if self.error and name not in (b"PING", b"HELLO", b"AUTH"):
            return Failure(self.error)
        known = _COMMANDS.get(name)
        if known is None or not known.least <= len(words) <= known.most:
            return Failure(f"ERR unknown command or number of arguments: {name.decode(errors='replace')}")
        if known.writes and self.read_only:
            return Failure(self.read_only)
        if known.keyed and self.cluster is not None:
            away = self.cluster.away(self, words[1], gateway, asking)
            if away is not None:
                return away
        state = self.states[self.sides.get(gateway, 0)]
        now += state.ahead
        state.expire(now)
        return known.call(self, state, words, now, gateway)


class Cluster:
    """Hash slots over several shards; a slot may be on its way from one to another."""

    def __init__(self, shards: int) -> None:
        self.shards = [Shard(number, self) for number in range(shards)]
        self.owner = [slot * shards // SLOTS for slot in range(SLOTS)]
        self.moving: dict[int, int] = {}  # slot to the shard that it moves to
        # Of a shard, as a gateway finds it.
        self.address: Callable[[int, int], tuple[str, int]] = lambda shard, _: ("127.0.0.1", 7000 + shard)

    def move(self, slots: range, to: int) -> None:
        """At once, with what lies in them."""
        for shard in self.shards:
            for state in shard.states:
                target = self.shards[to].states[0]
                if state is target:
                    continue
                for name in [n for n in state.hashes if slot_of(n) in slots]:
                    target.hashes[name] = state.hashes[name]
                    target.ends[name] = state.ends.get(name, 1 << 62)
                    state.drop(name)
        for slot in slots:
            self.owner[slot] = to
            self.moving.pop(slot, None)

    def away(self, shard: Shard, name: bytes, gateway: int, asking: bool) -> Failure | None:
        """MOVED or ASK, where the name is not served here."""
        slot = slot_of(name)
        owner, to = self.owner[slot], self.moving.get(slot)
        if owner == shard.number:
            here = name in shard.states[shard.sides.get(gateway, 0)].hashes
            if to is not None and not here:
                host, port = self.address(to, gateway)
                return Failure(f"ASK {slot} {host}:{port}")
            return None
        if asking and to == shard.number:
            return None
        host, port = self.address(owner, gateway)
        return Failure(f"MOVED {slot} {host}:{port}")

    def ranges(self) -> list[tuple[int, int, int]]:
        """First and last slot, and the shard, for each run of slots."""
        found: list[tuple[int, int, int]] = []
        for slot, owner in enumerate(self.owner):
            if found and found[-1][2] == owner:
                found[-1] = found[-1][0], slot, owner
            else:
                found.append((slot, slot, owner))
        return found


# The commands: of the shard, the caller's state, the words, now and the caller.
_Call = Callable[[Shard, State, tuple[bytes, ...], int, int], Any]


@dataclass(frozen=True, slots=True)
class _Known:
    call: _Call
    least: int
    most: int
    keyed: bool = False
    writes: bool = False


def _hset(shard: Shard, state: State, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    own = state.hashes.setdefault(words[1], {})
    fresh = sum(each not in own for each in words[2::2])
    own.update(zip(words[2::2], words[3::2], strict=False))
    return fresh


def _hsetnx(shard: Shard, state: State, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    own = state.hashes.setdefault(words[1], {})
    if words[2] in own:
        return 0
    own[words[2]] = words[3]
    return 1


def _hgetall(shard: Shard, state: State, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    return [each for pair in state.hashes.get(words[1], {}).items() for each in pair]


def _pexpire(shard: Shard, state: State, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    if words[1] not in state.hashes:
        return 0
    state.ends[words[1]] = now + int(words[2])
    return 1


def _time(shard: Shard, state: State, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    return [b"%d" % (now // 1000), b"%d" % (now % 1000 * 1000)]


def _cluster(shard: Shard, state: State, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    if shard.cluster is None:
        return Failure("ERR This instance has cluster support disabled")
    if words[1].upper() != b"SLOTS":
        return Failure("ERR unknown subcommand")
    made = []
    for first, last, owner in shard.cluster.ranges():
        host, port = shard.cluster.address(owner, gateway)
        made.append([first, last, [host.encode(), port, b"%040d" % owner]])
    return made


def _hello(shard: Shard, state: State, words: tuple[bytes, ...], now: int, gateway: int) -> Any:
    if shard.password:
        if b"AUTH" not in [word.upper() for word in words]:
            return Failure("NOAUTH HELLO must be called with the client already authenticated")
        if words[-1] != shard.password and shard.password not in words:
            return Failure("WRONGPASS invalid username-password pair or user is disabled.")
    return [b"server", b"redis", b"proto", 2, b"role", b"master"]


_COMMANDS: dict[bytes, _Known] = {
    b"PING": _Known(lambda *_: Simple("PONG"), 1, 2),
    b"HELLO": _Known(_hello, 1, 6),
    b"TIME": _Known(_time, 1, 1),
    b"ASKING": _Known(lambda *_: Simple("OK"), 1, 1),
    b"HSET": _Known(_hset, 4, 64, True, True),
    b"HSETNX": _Known(_hsetnx, 4, 4, True, True),
    b"HGETALL": _Known(_hgetall, 2, 2, True),
    b"PEXPIRE": _Known(_pexpire, 3, 3, True, True),
    b"CLUSTER": _Known(_cluster, 2, 3),
}
