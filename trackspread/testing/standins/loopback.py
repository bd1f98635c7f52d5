"""Addresses on loopback that no other process here has, so that no port is taken twice by runs side by side.

Every process gets two addresses of 127.0.0.0/8 of its own, by its number: at one it listens on any free
port, at the other ports are reserved for others to listen on. At a single address a relay could take, by
chance, the port of a gateway that was about to start. Outgoing connections come from 127.0.0.1 and take
none of these. Where only 127.0.0.1 can be bound (not on Linux), it serves for all.
"""

from __future__ import annotations

import os
import random
import socket
from functools import cache

Address = tuple[str, int]

# The second byte of the first address of each kind; each kind has 64 of them.
ANY_PORTS, RESERVED_PORTS, HOSTS = 64, 128, 192
RANDOM_BITS = 22  # of an address, behind its kind
HOST_LOCK_PORT = 1024  # bound for as long as a host is in use: whoever finds it taken draws another


def address_text(address: Address) -> str:
    """As configurations have it: `host:port`."""
    host, port = address
    return f"{host}:{port}"


def _host(kind: int, number: int) -> str:
    """The host of a kind for a number of `RANDOM_BITS`."""
    return f"127.{kind + (number >> 16 & 63)}.{number >> 8 & 255}.{number & 255}"


@cache
def own_address(kind: int = ANY_PORTS) -> str:
    """This process's host of a kind: `ANY_PORTS` or `RESERVED_PORTS`."""
    host = _host(kind, os.getpid())
    try:
        with socket.socket() as probe:
            probe.bind((host, 0))
    except OSError:
        return "127.0.0.1"
    return host


class Ports:
    """Ports for others to listen on, each given once; they stay the same over their owners' restarts."""

    def __init__(self) -> None:
        self._reserved: set[tuple[int, int]] = set()
        self._host_locks: list[socket.socket] = []

    def tcp(self) -> Address:
        """A port for connections."""
        return self._reserve(socket.SOCK_STREAM)

    def udp(self) -> Address:
        """A port for datagrams."""
        return self._reserve(socket.SOCK_DGRAM)

    def host(self) -> str:
        """A host that no other process of this machine uses, until `close`."""
        while True:
            host = _host(HOSTS, random.SystemRandom().getrandbits(RANDOM_BITS))
            lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                lock.bind((host, HOST_LOCK_PORT))
            except OSError:
                lock.close()
                continue
            self._host_locks.append(lock)
            return host

    def close(self) -> None:
        """Others may use the hosts."""
        for lock in self._host_locks:
            lock.close()

    def _reserve(self, kind: int) -> Address:
        while True:
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((own_address(RESERVED_PORTS), 0))
                port = int(probe.getsockname()[1])
            if (kind, port) not in self._reserved:
                self._reserved.add((kind, port))
                return own_address(RESERVED_PORTS), port
