"""Selects the server of a partition's keys, by rendezvous hashing over plain servers or by a cluster's map.

The cluster rules come from Redis' cluster specification: a hash slot is the CRC16 of the hash tag modulo
16384; MOVED changes the map permanently, and ASK holds for one call that starts with ASKING; an empty host in
either means the server that answered.

The module does no I/O. Redirections to host names are not followed, because nothing here resolves names.
"""

from __future__ import annotations

from binascii import crc_hqx
from collections.abc import Sequence
from ipaddress import ip_address
from typing import Any

import xxhash

from .commands import ErrorReply, key_of

CLUSTER_SLOTS = 16384  # hash slots of a Redis cluster
Server = tuple[str, int]


def slot_of(prefix: str, partition: int) -> int:
    """Returns the hash slot of all keys of a partition, which share one hash tag."""
    name = key_of(prefix, partition, None)
    start = name.index(b"{")
    return crc_hqx(name[start + 1 : name.index(b"}")], 0) % CLUSTER_SLOTS


def _parse_server(host: str, port: Any) -> Server | None:
    """Returns the server at a literal IP address, or None if `host` or `port` is invalid."""
    try:
        return str(ip_address(host)), int(port)
    except ValueError:
        return None


class Router:
    """Holds the server of each partition, as configured or as the cluster's map states it.

    `is_stale` says that the cluster's map should be requested.
    """

    def __init__(self, servers: Sequence[Server], cluster: bool, prefix: str, partitions: int) -> None:
        self.servers = tuple(servers)
        self.is_cluster = cluster
        self.is_stale = cluster
        self._hash_slots = [slot_of(prefix, partition) for partition in range(partitions)]
        self._cluster_servers: dict[int, Server] = {}
        self._fallback_servers = [self._rendezvous(partition) for partition in range(partitions)]

    def _rendezvous(self, partition: int) -> Server:
        def weight(server: Server) -> int:
            return xxhash.xxh3_64_intdigest(b"%b:%d/%d" % (server[0].encode(), server[1], partition))

        return max(self.servers, key=weight)

    def server(self, partition: int) -> Server:
        """Returns the server of a partition.

        While the cluster's map is unknown this is any of its servers, which redirects the call.
        """
        if not self.is_cluster:
            return self._fallback_servers[partition]
        return self._cluster_servers.get(self._hash_slots[partition], self._fallback_servers[partition])

    def update_cluster_map(self, reply: Any) -> bool:
        """Adopts a reply to CLUSTER SLOTS and returns whether it named a server for a partition here.

        Returns False for a reply that can't be parsed. Only the hash slots of this program's partitions are
        kept.
        """
        servers_by_slot: dict[int, Server] = {}
        try:
            for first, last, (host, port, *_), *_ in reply:
                server = _parse_server(host.decode(), port)
                servers_by_slot.update(
                    {s: server for s in self._hash_slots if first <= s <= last and server is not None}
                )
        except (AttributeError, TypeError, ValueError):
            return False
        self._cluster_servers.update(servers_by_slot)
        self.is_stale = False
        return bool(servers_by_slot)

    def redirect_target(self, partition: int, error: ErrorReply, by: Server) -> tuple[Server, bool] | None:
        """Returns the server to retry at and whether to send ASKING, or None if the error is no redirection.

        `by` is the server that answered.
        """
        parts = error.text.split(" ")
        if not self.is_cluster or len(parts) != 3 or parts[0] not in ("MOVED", "ASK"):
            return None
        host, colon, port = parts[2].rpartition(":")
        server = _parse_server(host or by[0], port) if colon else None
        if server is None:
            return None
        if parts[0] == "MOVED":
            self._cluster_servers[self._hash_slots[partition]] = server
            self.is_stale = True
        return server, parts[0] == "ASK"

    def on_server_lost(self, server: Server) -> None:
        """Forgets the hash slots of an unreachable server, as another server may have taken them over."""
        if self.is_cluster:
            self.is_stale = True
            for slot in [slot for slot, known in self._cluster_servers.items() if known == server]:
                del self._cluster_servers[slot]
            # Another server is asked for the new map.
            self._fallback_servers = [*self._fallback_servers[1:], *self._fallback_servers[:1]]
