"""What a gateway's part in a fleet's view and in a cell's have in common: start, keys, end, report.

May know: configuration, the binding of addresses. Decides nothing.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec

from ..config.addresses import Address, ConfigError, address
from ..config.operator import Fleet
from ..membership.transport import DESCRIPTORS
from ..membership.report import FleetReport
from ..membership.wire import Wire
from ..membership.wire import MAX_NAME_LENGTH
from .bind_retry import bind_within
from .fleet_keys import read_keys


class ViewHost(Protocol):
    """A member that runs; it holds a socket."""

    wire: Wire

    def close(self, leave: bool = True) -> None:
        """End it; `leave` False: another process goes on under this name."""


HostT = TypeVar("HostT", bound=ViewHost)


class FleetViewPart(ABC, Generic[HostT]):
    """A gateway's part in a view; a new host each time that it takes part.

    `descriptors`: how many the host may hold. `unavailable`: what operators read while there is no report.
    """

    descriptors = DESCRIPTORS
    unavailable: str

    def __init__(self, name: str, fleet: Fleet, now: Callable[[], int]) -> None:
        """`now`: the gateway's clock, in ns. Raises `ConfigError`."""
        self._name = name
        self._fleet = fleet
        self._now = now
        self._check_settings()
        self._keys = read_keys(fleet)
        self.host: HostT | None = None

    def _check_settings(self) -> None:
        """Raises `ConfigError`."""
        if len(self._name) > MAX_NAME_LENGTH:
            raise ConfigError(
                f"name: found {len(self._name)} characters, wanted {MAX_NAME_LENGTH} at most: "
                "fleet.name is set"
            )

    def _listen_address(self) -> Address:
        return address(self._fleet.listen, "fleet.listen")

    def _advertised_address(self) -> Address:
        """Where the others of the fleet reach this gateway."""
        if self._fleet.advertise:
            return address(self._fleet.advertise, "fleet.advertise")
        return self._listen_address()

    async def start(self, patience_s: float = 0.0) -> None:
        """Take part. `patience_s`: how long a process that ends may still hold the address.

        Raises `OSError` where the address cannot be bound.
        """
        await bind_within(patience_s, self._start)

    @abstractmethod
    async def _start(self) -> None:
        """Start a host and keep it; raises `OSError`."""

    def replace_keys(self, fleet: Fleet) -> None:
        """Read the keys again; raises `ConfigError`, and the present ones stay in force."""
        self._keys = read_keys(fleet)
        if self.host is not None:
            self.host.wire.keys = self._keys

    @abstractmethod
    def close(self, leave: bool = True) -> None:
        """Take part no more; `leave` False: another process goes on under this name, nobody is notified."""

    @abstractmethod
    def report(self) -> FleetReport | None:
        """The view as it is now; None while this gateway takes no part."""

    def answer(self) -> tuple[int, str]:
        """Status and text for the operators' door."""
        report = self.report()
        if report is None:
            return 503, self.unavailable
        return 200, msgspec.json.encode(report).decode() + "\n"
