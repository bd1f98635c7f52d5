"""Which server holds a partition's keys: rendezvous over plain servers, or a cluster's hash slots.

Rules from Redis' cluster specification: a slot is CRC16 of the hash tag modulo 16384; MOVED changes the map
for good, ASK holds for one call that starts with ASKING; an empty host in either is the one that answered.

No I/O. Host names in redirections are not followed: nothing here looks names up.
"""

from __future__ import annotations

from binascii import crc_hqx
from collections.abc import Sequence
from ipaddress import ip_address
from typing import Any

import xxhash

from .commands import ErrorReply, key_of

CLUSTER_SLOTS = 16384  # of a cluster
Server = tuple[str, int]


def slot_of(prefix: str, partition: int) -> int:
    """The hash slot of all keys of a partition, by their common tag."""
    name = key_of(prefix, partition, None)
    start = name.index(b"{")
    return crc_hqx(name[start + 1 : name.index(b"}")], 0) % CLUSTER_SLOTS


def _literal(host: str, port: Any) -> Server | None:
    try:
        return str(ip_address(host)), int(port)
    except ValueError:
        return None


class Router:
    """The server of each partition, by configuration or by what a cluster says."""

    def __init__(self, servers: Sequence[Server], cluster: bool, prefix: str, partitions: int) -> None:
        self.servers = tuple(servers)
        self.is_cluster = cluster
        self.is_stale = cluster  # whether the cluster's map should be requested
        self._hash_slots = [slot_of(prefix, partition) for partition in range(partitions)]
        self._cluster_servers: dict[int, Server] = {}
        self._fallback_servers = [self._rendezvous(partition) for partition in range(partitions)]

    def _rendezvous(self, partition: int) -> Server:
        def weight(server: Server) -> int:
            return xxhash.xxh3_64_intdigest(b"%b:%d/%d" % (server[0].encode(), server[1], partition))

        return max(self.servers, key=weight)

    def server(self, partition: int) -> Server:
        """In a cluster whose map is not known any of its servers: it will say where to go."""
        if not self.is_cluster:
            return self._fallback_servers[partition]
        return self._cluster_servers.get(self._hash_slots[partition], self._fallback_servers[partition])

    def update_cluster_map(self, reply: Any) -> bool:
        """Take in the reply to CLUSTER SLOTS; False where it can't be read. Only this program's own hash
        slots are kept."""
        fresh: dict[int, Server] = {}
        try:
            for first, last, (host, port, *_), *_ in reply:
                server = _literal(host.decode(), port)
                fresh.update(
                    {s: server for s in self._hash_slots if first <= s <= last and server is not None}
                )
        except (AttributeError, TypeError, ValueError):
            return False
        self._cluster_servers.update(fresh)
        self.is_stale = False
        return bool(fresh)

    def redirect_target(self, partition: int, error: ErrorReply, by: Server) -> tuple[Server, bool] | None:
        """The server to retry at, and whether with ASKING; None for an error that is no redirection."""
        parts = error.text.split(" ")
        if not self.is_cluster or len(parts) != 3 or parts[0] not in ("MOVED", "ASK"):
            return None
        host, colon, port = parts[2].rpartition(":")
        server = _literal(host or by[0], port) if colon else None
        if server is None:
            return None
        if parts[0] == "MOVED":
            self._cluster_servers[self._hash_slots[partition]] = server
            self.is_stale = True
        return server, parts[0] == "ASK"

    def on_server_lost(self, server: Server) -> None:
        """A server that can't be reached: another may have taken over what it had."""
        if self.is_cluster:
            self.is_stale = True
            for slot in [slot for slot, known in self._cluster_servers.items() if known == server]:
                del self._cluster_servers[slot]
            # Query others for where it went.
            self._fallback_servers = [*self._fallback_servers[1:], *self._fallback_servers[:1]]
