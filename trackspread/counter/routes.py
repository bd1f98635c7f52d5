"""Where a partition's names lie: rendezvous over plain servers, or a cluster's hash slots.

Rules from Redis' cluster specification: a slot is CRC16 of the hash tag modulo 16384; MOVED changes the map
for good, ASK holds for one call that starts with ASKING; an empty host in either is the one that answered.

May know: addresses, errors. May not know: connections. Host names in redirections are not followed: nothing
here looks names up.
"""

from __future__ import annotations

from binascii import crc_hqx
from collections.abc import Sequence
from ipaddress import ip_address
from typing import Any

import xxhash

from .commands import Refused, name_of

SLOTS = 16384  # of a cluster
Server = tuple[str, int]


def slot_of(prefix: str, partition: int) -> int:
    """Of all names of a partition, by their common tag."""
    name = name_of(prefix, partition, None)
    start = name.index(b"{")
    return crc_hqx(name[start + 1 : name.index(b"}")], 0) % SLOTS


def _literal(host: str, port: Any) -> Server | None:
    try:
        return str(ip_address(host)), int(port)
    except ValueError:
        return None


class Routes:
    """`server` of a partition; `learn` and `redirected` for what a cluster says."""

    def __init__(self, servers: Sequence[Server], cluster: bool, prefix: str, partitions: int) -> None:
        self.servers, self.cluster = tuple(servers), cluster
        self.stale = cluster  # whether the map should be asked for
        self._slots = [slot_of(prefix, partition) for partition in range(partitions)]
        self._known: dict[int, Server] = {}
        self._plain = [self._rendezvous(partition) for partition in range(partitions)]

    def _rendezvous(self, partition: int) -> Server:
        def weight(server: Server) -> int:
            return xxhash.xxh3_64_intdigest(b"%b:%d/%d" % (server[0].encode(), server[1], partition))

        return max(self.servers, key=weight)

    def server(self, partition: int) -> Server:
        """In a cluster whose map is not known any of its servers: it will say where to go."""
        if not self.cluster:
            return self._plain[partition]
        return self._known.get(self._slots[partition], self._plain[partition])

    def learn(self, told: Any) -> bool:
        """The answer to CLUSTER SLOTS; False where it is none. Only this program's own slots are kept."""
        fresh: dict[int, Server] = {}
        try:
            for first, last, (host, port, *_), *_ in told:
                server = _literal(host.decode(), port)
                fresh.update({s: server for s in self._slots if first <= s <= last and server is not None})
        except (AttributeError, TypeError, ValueError):
            return False
        self._known.update(fresh)
        self.stale = False
        return bool(fresh)

    def redirected(self, partition: int, error: Refused, by: Server) -> tuple[Server, bool] | None:
        """Where to try once more, and whether with ASKING; None for an error that is no redirection."""
        words = error.text.split(" ")
        if not self.cluster or len(words) != 3 or words[0] not in ("MOVED", "ASK"):
            return None
        host, colon, port = words[2].rpartition(":")
        server = _literal(host or by[0], port) if colon else None
        if server is None:
            return None
        if words[0] == "MOVED":
            self._known[self._slots[partition]] = server
            self.stale = True
        return server, words[0] == "ASK"

    def lost(self, server: Server) -> None:
        """A server that can't be reached: another may have taken over what it had."""
        if self.cluster:
            self.stale = True
            for slot in [slot for slot, known in self._known.items() if known == server]:
                del self._known[slot]
            self._plain = [*self._plain[1:], *self._plain[:1]]  # ask others where it went
