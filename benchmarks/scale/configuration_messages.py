"""What the run and the processes of configuration handed down say to each other, a JSON object a line."""

from __future__ import annotations

import msgspec

from .lag import Lag
from .messages import Message
from .placement import Address


class Tier(msgspec.Struct, frozen=True):
    """Where the control replicas are, and what configuration there is."""

    fleet: str
    replicas: tuple[Address, ...]
    services: int
    carried: int  # services of one gateway


class SetReplica(Message, frozen=True):
    """The first line: this process is a control machine's replica."""

    tier: Tier
    number: int


class SetGateways(Message, frozen=True):
    """The first line: this process is one of hollow gateways, at a host of its own."""

    tier: Tier
    host: str


class Lead(Message, frozen=True):
    """The election's word: this replica leads under this round."""

    round: int


class Add(Message, frozen=True):
    """Start the gateways of these numbers."""

    numbers: tuple[int, ...]


class Ask(Message, frozen=True):
    """Tell what is held, and what was used and sent so far."""


class Stop(Message, frozen=True):
    """Close everything."""


ConfigurationCommand = SetReplica | SetGateways | Lead | Add | Ask | Stop


class ConfigurationReport(Message, frozen=True, tag="Handed"):
    """Of one process. `progress`: at which time, in ns, all its gateways had come to which sequence of the
    log; since the last question, as are lag and peak."""

    at: int
    cpu: float  # s
    memory: int  # bytes resident
    gateways: int
    datagrams: int  # sent
    sent: int  # bytes
    received: int
    role: str  # a replica's; empty for gateways
    sequence: int  # committed at the replica, or come to by all gateways
    progress: tuple[tuple[int, int], ...]
    peak: int  # bytes of the busiest within one second, the greater of sent and received
    lag: Lag
