"""Addresses on loopback that no other process here has: no port is taken twice, however many runs go on.

Every process gets two addresses of 127.0.0.0/8 of its own, by its number: at one whoever listens takes any
port that is free, at the other ports are named ahead for others to listen on. At a single address a relay
could take, by chance, the port of a gateway that was about to start. Outgoing connections come from 127.0.0.1
and take none of these. Where only 127.0.0.1 can be bound (not on Linux), that serves.
"""

from __future__ import annotations

import os
import random
import socket
from functools import cache

Address = tuple[str, int]


def address_text(address: Address) -> str:
    """As configurations have it: `host:port`."""
    host, port = address
    return f"{host}:{port}"


CHANCE, NAMED, HOSTS = 64, 128, 192  # the second byte of the first address of each kind; 64 in each
HOST_PORT = 1024  # bound for as long as a host is somebody's: whoever finds it taken draws another


@cache
def own_address(kind: int = CHANCE) -> str:
    """Of 127.`kind`.0.0 and 63 behind it, by this process's number of at most 22 bits."""
    number = os.getpid()
    made = f"127.{kind + (number >> 16 & 63)}.{number >> 8 & 255}.{number & 255}"
    try:
        with socket.socket() as probe:
            probe.bind((made, 0))
    except OSError:
        return "127.0.0.1"
    return made


class Ports:
    """Ports for others to listen on, each given once; they stay the same over their owners' restarts."""

    def __init__(self) -> None:
        self._given: set[tuple[int, int]] = set()
        self._hosts: list[socket.socket] = []  # held for as long as their hosts are

    def tcp(self) -> Address:
        return self._one(socket.SOCK_STREAM)

    def udp(self) -> Address:
        return self._one(socket.SOCK_DGRAM)

    def host(self) -> str:
        """A host of loopback for one gateway alone, told apart by it from all others of this machine."""
        while True:
            bits = random.SystemRandom().getrandbits(22)  # whose it is, is settled by who binds it
            host = f"127.{HOSTS + (bits >> 16)}.{bits >> 8 & 255}.{bits & 255}"
            held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                held.bind((host, HOST_PORT))
            except OSError:
                held.close()
                continue
            self._hosts.append(held)
            return host

    def close(self) -> None:
        """Hosts may go to others."""
        for held in self._hosts:
            held.close()

    def _one(self, kind: int) -> Address:
        while True:
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((own_address(NAMED), 0))
                port = int(probe.getsockname()[1])
            if (kind, port) not in self._given:
                self._given.add((kind, port))
                return own_address(NAMED), port
