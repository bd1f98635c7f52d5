"""What a source of the endpoint list has to give: updates of the list, with an address for each backend.

A source knows nothing of requests, pools or decisions. What it tells counts as told from that moment on.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Protocol

from ..config.addresses import Address
from ..decide.backends import EndpointUpdate


class ListError(ValueError):
    """A list that cannot be read."""


class Update:
    """One version of the list or of its changes: for the module, and where each backend is reached."""

    __slots__ = ("addresses", "old", "topology")

    def __init__(self, topology: EndpointUpdate, addresses: dict[int, Address], old: bool = False) -> None:
        """`old`: it may have been told to others long ago, and counts as told from then on: the first word
        that a call brings."""
        self.topology = topology
        self.addresses = addresses
        self.old = old


class ListSource(Protocol):
    """Tells updates by the function that it was made with, in order, until it is closed."""

    def start(self) -> None: ...

    async def close(self) -> None: ...


def backend_id(host: str) -> int:
    """The same at every gateway and after every restart, as it hangs on the name alone."""
    return int.from_bytes(blake2b(host.encode(), digest_size=6).digest(), "big")
