"""Implements what membership of a fleet and membership of a cell share: start, keys, end and report.

This module may depend on configuration and the binding of addresses. It makes no decisions.
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
    """Describes a running member that holds a socket."""

    wire: Wire

    def close(self, leave: bool = True) -> None:
        """Ends the member; with `leave` False another process continues under its name."""


HostT = TypeVar("HostT", bound=ViewHost)


class FleetViewPart(ABC, Generic[HostT]):
    """Runs a gateway's membership in a view, with a new host after each start.

    `descriptors` is the number of descriptors that the host may hold, `unavailable` the HTTP body while there
    is no report.
    """

    descriptors = DESCRIPTORS
    unavailable: str

    def __init__(self, name: str, fleet: Fleet, now: Callable[[], int]) -> None:
        """Checks the settings and reads the keys; raises `ConfigError`.

        `now` is the gateway's clock, in ns.
        """
        self._name = name
        self._fleet = fleet
        self._now = now
        self._check_settings()
        self._keys = read_keys(fleet)
        self.host: HostT | None = None

    def _check_settings(self) -> None:
        """Checks the settings that a view needs; raises `ConfigError`."""
        if len(self._name) > MAX_NAME_LENGTH:
            raise ConfigError(
                f"name: must have at most {MAX_NAME_LENGTH} characters when fleet.name is set, "
                f"got {len(self._name)}"
            )

    def _listen_address(self) -> Address:
        return address(self._fleet.listen, "fleet.listen")

    def _advertised_address(self) -> Address:
        """Returns the address at which the fleet's other members reach this gateway."""
        if self._fleet.advertise:
            return address(self._fleet.advertise, "fleet.advertise")
        return self._listen_address()

    async def start(self, bind_timeout_s: float = 0.0) -> None:
        """Joins the view; raises `OSError` if the address cannot be bound within `bind_timeout_s`.

        An ending process may still hold the address for a short time.
        """
        await bind_within(bind_timeout_s, self._start)

    @abstractmethod
    async def _start(self) -> None:
        """Starts a host and keeps it; raises `OSError`."""

    def replace_keys(self, fleet: Fleet) -> None:
        """Reads the keys again; if it raises `ConfigError`, the present ones stay in force."""
        self._keys = read_keys(fleet)
        if self.host is not None:
            self.host.wire.keys = self._keys

    @abstractmethod
    def close(self, leave: bool = True) -> None:
        """Ends the membership.

        With `leave` False the members are not notified, because another process continues under this name.
        """

    @abstractmethod
    def report(self) -> FleetReport | None:
        """Returns the present view, or None while this gateway is not a member."""

    def answer(self) -> tuple[int, str]:
        """Returns status and body for the admin server."""
        report = self.report()
        if report is None:
            return 503, self.unavailable
        return 200, msgspec.json.encode(report).decode() + "\n"
