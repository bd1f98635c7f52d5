"""Addresses on loopback that no other process here has: no port is taken twice, however many runs go on.

Every process gets an address of 127.0.0.0/8 of its own, by its number. Outgoing connections come from
127.0.0.1 and take none of its ports. Where only 127.0.0.1 can be bound (not on Linux), that serves.
"""

from __future__ import annotations

import os
import socket
from functools import cache

Address = tuple[str, int]


@cache
def own_address() -> str:
    """127.64.0.0 to 127.127.255.255, by this process's number of at most 22 bits."""
    number = os.getpid()
    made = f"127.{64 + (number >> 16 & 63)}.{number >> 8 & 255}.{number & 255}"
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

    def tcp(self) -> Address:
        return self._one(socket.SOCK_STREAM)

    def udp(self) -> Address:
        return self._one(socket.SOCK_DGRAM)

    def _one(self, kind: int) -> Address:
        while True:
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((own_address(), 0))
                port = int(probe.getsockname()[1])
            if (kind, port) not in self._given:
                self._given.add((kind, port))
                return own_address(), port
