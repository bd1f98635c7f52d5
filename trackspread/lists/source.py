"""Defines the interface of a source of the endpoint list, which reports updates with addresses.

A source knows nothing of requests, pools or decisions. An update counts as notified from when it is reported.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Protocol

from ..config.addresses import Address
from ..decide.backends import EndpointUpdate


class ListError(ValueError):
    """Reports an endpoint list that cannot be read."""


class ListUpdate:
    """Holds one version of the list or of its changes, with the backends' addresses."""

    __slots__ = ("addresses", "is_old", "topology")

    def __init__(self, topology: EndpointUpdate, addresses: dict[int, Address], is_old: bool = False) -> None:
        """Creates an update; `is_old` marks one that discovery may have notified others of long ago.

        That is the first update of a call. It counts as notified from that earlier time.
        """
        self.topology = topology
        self.addresses = addresses
        self.is_old = is_old


class ListSource(Protocol):
    """Reports updates in order to the function that it was created with, until it is closed."""

    def start(self) -> None:
        """Begins to report updates."""

    async def close(self) -> None:
        """Stops reporting updates."""


def backend_id(host: str) -> int:
    """Returns a host's number, which depends on its name alone: all gateways agree, also after restarts."""
    return int.from_bytes(blake2b(host.encode(), digest_size=6).digest(), "big")
