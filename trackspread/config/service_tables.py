"""Defines the tables for listeners, clients, backends, service discovery, services and the log."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .addresses import Address, ConfigError, address
from .table import Fraction, Seconds, Table, check_once_each

MAX_CARRIED_SERVICES = 256  # of one gateway, with the default service; each has a model of its own


class Listener(Table, frozen=True):
    """Configures a further address on which clients are served."""

    address: str
    protocol: Literal["resp"] = "resp"


class List(Table, frozen=True):
    """Names the source of the endpoint list; `agent` is the platform's discovery agent."""

    source: Literal["agent"] = "agent"


class ClientBounds(Table, frozen=True):
    """Holds the limits on one client connection."""

    pipeline: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 32  # unanswered requests; others stay unread
    idle_s: Seconds = 25.0  # from the last answer without a request; below the usual 30 s of proxies
    mute_s: Seconds = 2.6  # time limit for a complete request, from its first byte or from the connect
    unread_s: Seconds = 8.0  # time-out of a client that reads nothing of its answers; above usual deadlines


class BackendBounds(Table, frozen=True):
    """Holds the limits on the connections to backends."""

    descriptor_part: Fraction = 0.5  # share of the descriptors; a request needs at most one on either side
    grace_part: Fraction = 0.8  # share of a draining backend's grace time for late connections to write


class Services(Table, frozen=True):
    """Configures several services behind one gateway, each with its own backends.

    They are disabled without `classes`. Request classes that no service lists belong to the default service,
    whose name is empty and which every gateway carries.
    """

    classes: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)  # request classes by service
    carries: tuple[str, ...] = ()  # services whose requests this gateway accepts; all if empty

    def carried(self) -> tuple[str, ...]:
        """Returns the default service and then the others in the order of the file.

        The result is empty if several services are disabled.
        """
        return ("", *(self.carries or self.classes)) if self.classes else ()

    def service_of(self, cls: str) -> str:
        """Returns the name of the service that a request class belongs to."""
        return next((name for name, classes in self.classes.items() if cls in classes), "")


class Log(Table, frozen=True):
    """Configures the log on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    tally_s: Seconds = 10.0  # interval between two summaries of how attempts ended


def check_listeners(listeners: tuple[Listener, ...], file_name: str) -> None:
    """Raises `ConfigError` if an address is invalid or occurs twice."""
    seen: set[Address] = set()
    for number, listener in enumerate(listeners):
        key = f"listeners[{number}].address"
        try:
            listen_address = address(listener.address, key)
        except ConfigError:
            raise ConfigError(f"{file_name}: {key}: must be host:port, got {listener.address!r}") from None
        if listen_address in seen:
            raise ConfigError(
                f"{file_name}: {key}: must differ between listeners, got {listener.address!r} twice"
            )
        seen.add(listen_address)


def check_services(services: Services, file_name: str) -> None:
    """Raises `ConfigError` unless each class is in one service and all carried services are known."""
    _check_service_classes(services, file_name)
    for number, service in enumerate(services.carries):
        if service not in services.classes:
            raise ConfigError(
                f"{file_name}: services.carries[{number}]: must be one of services.classes, got {service!r}"
            )
    check_once_each(file_name, "services.carries", services.carries)
    if len(services.carried()) > MAX_CARRIED_SERVICES:
        raise ConfigError(
            f"{file_name}: services.carries: must be at most {MAX_CARRIED_SERVICES - 1} services, got "
            f"{len(services.carried()) - 1}"
        )


def _check_service_classes(services: Services, file_name: str) -> None:
    service_of: dict[str, str] = {}
    for service, classes in services.classes.items():
        key = f"services.classes.{service}"
        if not service:
            raise ConfigError(f"{file_name}: services.classes: must name each service, got an empty name")
        if not classes:
            raise ConfigError(f"{file_name}: {key}: must list request classes, got nothing")
        for cls in classes:
            if cls in service_of:
                raise ConfigError(
                    f"{file_name}: {key}: must not contain a class of another service, got {cls!r}, which "
                    f"belongs to {service_of[cls]!r}"
                )
            service_of[cls] = service
