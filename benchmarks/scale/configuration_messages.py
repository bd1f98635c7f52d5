"""Defines the messages between the run and the processes of configuration: one JSON object per line."""

from __future__ import annotations

import msgspec

from .lag import Lag
from .messages import Message
from .placement import Address


class Tier(msgspec.Struct, frozen=True):
    """Holds the addresses of the control replicas and the size of the configuration."""

    fleet: str
    replicas: tuple[Address, ...]
    services: int
    carried: int  # Services of one gateway.


class SetReplica(Message, frozen=True):
    """Is the first line: this process is the replica of a control machine."""

    tier: Tier
    number: int


class SetGateways(Message, frozen=True):
    """Is the first line: this process runs hollow gateways, at a host of its own."""

    tier: Tier
    host: str


class Lead(Message, frozen=True):
    """Stands in for the election: this replica leads in the given round."""

    round: int


class Add(Message, frozen=True):
    """Starts the gateways with these numbers."""

    numbers: tuple[int, ...]


class Ask(Message, frozen=True):
    """Asks for the state, the resources used and the bytes sent so far."""


class Stop(Message, frozen=True):
    """Closes all sockets and ends the process."""


ConfigurationCommand = SetReplica | SetGateways | Lead | Add | Ask | Stop


class ConfigurationReport(Message, frozen=True, tag="Handed"):
    """Reports one process.

    `progress` holds the times in ns at which all its gateways had reached a sequence number of the log. It
    covers the time since the last report, as do lag and peak.
    """

    at: int
    cpu: float  # Seconds.
    memory: int  # Resident bytes.
    gateways: int
    datagrams: int  # Sent.
    sent: int  # Bytes.
    received: int
    role: str  # Of a replica; empty for gateways.
    sequence: int  # Committed at the replica, or reached by all gateways.
    progress: tuple[tuple[int, int], ...]
    peak: int  # Bytes of the busiest socket within one second: the greater of sent and received.
    lag: Lag
