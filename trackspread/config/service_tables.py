"""Tables for serving requests: listeners, clients, backends, discovery, services and the log."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .addresses import Address, ConfigError, address
from .table import Fraction, Seconds, Table, check_once_each

MAX_CARRIED_SERVICES = 256  # at one gateway, the default service included; each has its own model


class Listener(Table, frozen=True):
    """A further address on which clients are served."""

    address: str
    protocol: Literal["resp"] = "resp"


class List(Table, frozen=True):
    """Where the endpoint list comes from; `agent` is the platform's discovery agent."""

    source: Literal["agent"] = "agent"


class ClientBounds(Table, frozen=True):
    """Limits on one client connection."""

    pipeline: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 32  # unanswered requests; more stay unread
    idle_s: Seconds = 25.0  # without a request after the last answer; under the usual 30 s of other proxies
    mute_s: Seconds = 2.6  # until a request is complete, from its first byte or from connecting
    unread_s: Seconds = 2.0  # in which the client reads nothing of what is queued for it


class BackendBounds(Table, frozen=True):
    """Limits on the connections to backends."""

    descriptor_part: Fraction = 0.5  # of the file descriptors; a request needs at most one on either side
    grace_part: Fraction = 0.8  # of a draining backend's grace time, in which late connections still write


class Services(Table, frozen=True):
    """Several services behind one gateway, each with its own backends; disabled without `classes`.

    Request classes that no service lists belong to the default service, whose name is empty and which every
    gateway carries.
    """

    classes: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)  # request classes by service
    carries: tuple[str, ...] = ()  # services that this gateway accepts requests for; empty: all

    def carried(self) -> tuple[str, ...]:
        """Returns the default service and then the others, in the order of the file; empty while several
        services are disabled."""
        return ("", *(self.carries or self.classes)) if self.classes else ()

    def service_of(self, cls: str) -> str:
        """Returns the name of the service that a request class belongs to."""
        return next((name for name, classes in self.classes.items() if cls in classes), "")


class Log(Table, frozen=True):
    """The log on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    tally_s: Seconds = 10.0  # between two summaries of how attempts ended


def check_listeners(listeners: tuple[Listener, ...], file_name: str) -> None:
    """Raises `ConfigError` for an invalid address and for one that occurs twice."""
    seen: set[Address] = set()
    for number, listener in enumerate(listeners):
        key = f"listeners[{number}].address"
        try:
            listen_address = address(listener.address, key)
        except ConfigError:
            raise ConfigError(f"{file_name}: {key}: found {listener.address!r}, wanted host:port") from None
        if listen_address in seen:
            raise ConfigError(f"{file_name}: {key}: found {listener.address!r} twice, wanted once each")
        seen.add(listen_address)


def check_services(services: Services, file_name: str) -> None:
    """Raises `ConfigError` unless each class is in one service and all carried services are known."""
    _check_service_classes(services, file_name)
    for number, service in enumerate(services.carries):
        if service not in services.classes:
            raise ConfigError(
                f"{file_name}: services.carries[{number}]: found {service!r}, wanted one of services.classes"
            )
    check_once_each(file_name, "services.carries", services.carries)
    if len(services.carried()) > MAX_CARRIED_SERVICES:
        raise ConfigError(
            f"{file_name}: services.carries: found {len(services.carried()) - 1} services, wanted "
            f"{MAX_CARRIED_SERVICES - 1} at most"
        )


def _check_service_classes(services: Services, file_name: str) -> None:
    service_of: dict[str, str] = {}
    for service, classes in services.classes.items():
        key = f"services.classes.{service}"
        if not service:
            raise ConfigError(f"{file_name}: services.classes: found one without a name, wanted a name")
        if not classes:
            raise ConfigError(f"{file_name}: {key}: found nothing, wanted classes of request")
        for cls in classes:
            if cls in service_of:
                raise ConfigError(
                    f"{file_name}: {key}: found {cls!r}, which is of {service_of[cls]!r}, wanted each "
                    "class in one service"
                )
            service_of[cls] = service
