"""Holds the conditions on every path of a faulty network.

A path is one direction between two names, for UDP or TCP.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

NetworkProtocol = Literal["udp", "tcp"]
ALL_PROTOCOLS: tuple[NetworkProtocol, ...] = ("udp", "tcp")


@dataclass(slots=True)
class NetworkPath:
    """Holds the conditions of one direction between two names, which may be changed at any time.

    `loss` and `duplication` are probabilities and apply to datagrams only. `jitter_s` is the longest
    additional delay, which also reorders datagrams. With `blackhole` all data is accepted and discarded, and
    neither side notices. `bytes_per_s` limits the throughput; 0 means no limit.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    blackhole: bool = False
    bytes_per_s: float = 0.0
    _busy_until: float = 0.0  # loop time at which all data sent so far is transmitted

    def delivery_delay_s(self, now: float, size: int, rng: random.Random) -> float:
        """Returns the delay in s until `size` bytes, sent at the loop time `now`, are at the other end."""
        wait = 0.0
        if self.bytes_per_s:
            self._busy_until = max(self._busy_until, now) + size / self.bytes_per_s
            wait = self._busy_until - now
        return wait + self.delay_s + rng.uniform(0.0, self.jitter_s)

    def datagram_delays_s(self, now: float, size: int, rng: random.Random) -> list[float]:
        """Returns the delay in s of each copy of a datagram; the list is empty if it is lost."""
        if self.blackhole:
            return []
        copies = 1 + (rng.random() < self.duplication)
        return [self.delivery_delay_s(now, size, rng) for _ in range(copies) if rng.random() >= self.loss]


class NetworkPaths:
    """Holds all paths of one run, with the random generator from which their faults are drawn."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self._paths: dict[tuple[str, str, NetworkProtocol], NetworkPath] = {}

    def path(self, source: str, target: str, protocol: NetworkProtocol) -> NetworkPath:
        """Returns the path of one direction."""
        return self._paths.setdefault((source, target, protocol), NetworkPath())

    def paths_between(self, names: Iterable[str]) -> list[NetworkPath]:
        """Returns the paths of all directions between any two of the names."""
        chosen = list(names)
        return [
            self.path(source, target, protocol)
            for source in chosen
            for target in chosen
            if source != target
            for protocol in ALL_PROTOCOLS
        ]

    def partition(self, side: Iterable[str], other_side: Iterable[str]) -> None:
        """Cuts all paths between the two sides."""
        others = list(other_side)
        for name in side:
            for other in others:
                for protocol in ALL_PROTOCOLS:
                    self.path(name, other, protocol).blackhole = True
                    self.path(other, name, protocol).blackhole = True

    def heal(self) -> None:
        """Ends all cuts; other conditions stay."""
        for path in self._paths.values():
            path.blackhole = False
