"""Reads and validates the operator's file, which holds settings that the platform's configuration lacks.

Without the file, or with an empty one, each value is its default. The error of an invalid file is one line
that names the file, the key, the valid values and the given value. Only `load` does I/O.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from .addresses import Address, ConfigError, address
from .error_lines import error_line
from .fleet_tables import Configuration, ControlAddress, Fleet, check_configuration, check_fleet
from .plan_tables import Counter, PlanSource, Use, check_counter, check_usage
from .service_tables import (
    BackendBounds,
    ClientBounds,
    List,
    Listener,
    Log,
    Services,
    check_listeners,
    check_services,
)
from .table import Table

__all__ = [
    "DEFAULTS",
    "LIVE",
    "BackendBounds",
    "ClientBounds",
    "Configuration",
    "ControlAddress",
    "Counter",
    "Fleet",
    "List",
    "Listener",
    "Log",
    "Operator",
    "PlanSource",
    "Services",
    "Use",
    "load",
    "needs_restart",
    "parse",
]


class Operator(Table, frozen=True):
    """Holds all tables of the file."""

    role: Literal["gateway"] = "gateway"
    listeners: tuple[Listener, ...] = ()
    list: List = List()
    clients: ClientBounds = ClientBounds()
    backends: BackendBounds = BackendBounds()
    use: Use = Use()
    plans: PlanSource = PlanSource()
    counter: Counter = Counter()
    fleet: Fleet = Fleet()
    configuration: Configuration = Configuration()
    services: Services = Services()
    log: Log = Log()

    def addresses(self) -> tuple[Address, ...]:
        """Returns the addresses of the further listeners."""
        return tuple(address(each.address, "listeners.address") for each in self.listeners)


DEFAULTS = Operator()
LIVE = frozenset({"clients", "log"})  # the tables that a running gateway reloads


def needs_restart(old: Operator, new: Operator) -> list[str]:
    """Returns the names of changed tables that a running gateway does not reload."""
    return [
        name
        for name in Operator.__struct_fields__
        if name not in LIVE and getattr(old, name) != getattr(new, name)
    ]


def load(path: Path) -> Operator:
    """Reads and validates a file; raises `ConfigError` with one line."""
    try:
        text = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        reason = (error.strerror if isinstance(error, OSError) else None) or "must be UTF-8 text"
        raise ConfigError(f"{path}: {reason}") from None
    return parse(text, str(path))


def parse(text: str, file_name: str) -> Operator:
    """Validates the text of a file; raises `ConfigError` with one line that begins with `file_name`."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{file_name}: must be valid TOML: {error}") from None
    try:
        operator = msgspec.convert(raw, Operator, strict=True)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{file_name}: {error_line(str(error), raw, Operator)}") from None
    check_usage(operator.use, file_name)
    check_counter(operator.counter, file_name)
    check_fleet(operator.fleet, file_name)
    check_configuration(operator.configuration, operator.fleet, file_name)
    check_services(operator.services, file_name)
    check_listeners(operator.listeners, file_name)
    return operator
