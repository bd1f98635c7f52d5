"""Defines the base class, the value types and the checks that the tables of the operator's file share."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated

import msgspec

from .addresses import Address, ConfigError, address

Seconds = Annotated[float, msgspec.Meta(ge=0.05, le=3600.0)]
Fraction = Annotated[float, msgspec.Meta(ge=0.05, le=0.95)]
Label = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{0,24}$")]  # the name of a region or zone


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Is the base class of the file's tables; field names are its keys, and an unknown key is an error."""


def literal_address(file_name: str, key: str, text: str, example: str) -> Address:
    """Returns an IP address and its port; raises `ConfigError` for host names and port 0."""
    try:
        host, port = address(text, key)
        ip_address(host)
    except ValueError:
        raise ConfigError(
            f"{file_name}: {key}: must be an IP address and a port, such as {example}, because names are "
            f"not resolved, got {text!r}"
        ) from None
    if not port:
        raise ConfigError(f"{file_name}: {key}: must have a port from 1 to 65535, got port 0")
    return host, port


def is_unspecified(host: str) -> bool:
    """Returns whether the IP address `host` means all interfaces, as 0.0.0.0 does."""
    return ip_address(host).is_unspecified


def check_once_each(file_name: str, key: str, values: tuple[str, ...]) -> None:
    """Raises `ConfigError` if a value occurs twice."""
    if len(set(values)) < len(values):
        raise ConfigError(f"{file_name}: {key}: must not contain a value twice")
