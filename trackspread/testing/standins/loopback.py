"""Assigns addresses on loopback to one process each, so that runs in parallel do not use the same port.

Every process gets two addresses of 127.0.0.0/8 of its own from its process id. At one it listens on any free
port, and at the other it reserves ports for other processes to listen on. With a single address a relay could
by chance take the port of a gateway that was about to start. Outgoing connections come from 127.0.0.1 and use
none of these ports. Where only 127.0.0.1 can be bound (not on Linux), it replaces all of these addresses.
"""

from __future__ import annotations

import os
import random
import socket
from functools import cache

Address = tuple[str, int]

# Each is the second byte of the first address of a kind; a kind has 64 such bytes.
ANY_PORTS, RESERVED_PORTS, HOSTS = 64, 128, 192
RANDOM_BITS = 22  # bits of an address after its kind
HOST_LOCK_PORT = 1024  # bound while a host is in use; a process that finds it bound draws another host


def address_text(address: Address) -> str:
    """Returns the address as `host:port`, the form of configurations."""
    host, port = address
    return f"{host}:{port}"


def _host(kind: int, number: int) -> str:
    """Returns the host of a kind for a number of `RANDOM_BITS`."""
    return f"127.{kind + (number >> 16 & 63)}.{number >> 8 & 255}.{number & 255}"


@cache
def own_address(kind: int = ANY_PORTS) -> str:
    """Returns this process's host of a kind, which is `ANY_PORTS` or `RESERVED_PORTS`."""
    host = _host(kind, os.getpid())
    try:
        with socket.socket() as probe:
            probe.bind((host, 0))
    except OSError:
        return "127.0.0.1"
    return host


class Ports:
    """Reserves ports for other processes; each is given once and stays valid over its owner's restarts."""

    def __init__(self) -> None:
        self._reserved: set[tuple[int, int]] = set()
        self._host_locks: list[socket.socket] = []

    def tcp(self) -> Address:
        """Reserves a port for connections."""
        return self._reserve(socket.SOCK_STREAM)

    def udp(self) -> Address:
        """Reserves a port for datagrams."""
        return self._reserve(socket.SOCK_DGRAM)

    def host(self) -> str:
        """Reserves a host that no other process of this machine uses until `close`."""
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
        """Releases the reserved hosts."""
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
