"""The conditions on every path of a faulty network: one direction between two names, for UDP or TCP."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

NetworkProtocol = Literal["udp", "tcp"]
ALL_PROTOCOLS: tuple[NetworkProtocol, ...] = ("udp", "tcp")


@dataclass(slots=True)
class NetworkPath:
    """One direction between two names; it may be changed at any time.

    `loss` and `duplication` are chances from 0 to 1, for datagrams only. `jitter_s` is the longest further
    delay; datagrams overtake one another by it. `blackhole`: what comes is taken and discarded, and no side
    notices. `bytes_per_s`: throughput; 0 for no limit.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    blackhole: bool = False
    bytes_per_s: float = 0.0
    _busy_until: float = 0.0  # loop time at which all that was sent so far is through

    def delivery_delay_s(self, now: float, size: int, rng: random.Random) -> float:
        """The s until `size` bytes, sent at the loop time `now`, are at the other end."""
        wait = 0.0
        if self.bytes_per_s:
            self._busy_until = max(self._busy_until, now) + size / self.bytes_per_s
            wait = self._busy_until - now
        return wait + self.delay_s + rng.uniform(0.0, self.jitter_s)

    def datagram_delays_s(self, now: float, size: int, rng: random.Random) -> list[float]:
        """The s until a datagram arrives, once for each copy; empty if it is lost."""
        if self.blackhole:
            return []
        copies = 1 + (rng.random() < self.duplication)
        return [self.delivery_delay_s(now, size, rng) for _ in range(copies) if rng.random() >= self.loss]


class NetworkPaths:
    """All paths of one run, with the random generator from which their faults are drawn."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self._paths: dict[tuple[str, str, NetworkProtocol], NetworkPath] = {}

    def path(self, source: str, target: str, protocol: NetworkProtocol) -> NetworkPath:
        """The path of one direction."""
        return self._paths.setdefault((source, target, protocol), NetworkPath())

    def paths_between(self, names: Iterable[str]) -> list[NetworkPath]:
        """The paths of all directions between any two of the names."""
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
