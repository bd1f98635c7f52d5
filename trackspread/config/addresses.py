"""Addresses of sockets, as operators write them."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]


class ConfigError(ValueError):
    """A configuration that the gateway cannot start with; the text says what is wrong."""


def address(text: Any, what: str) -> Address:
    """`host:port` as a pair."""
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) <= 0xFFFF):
        raise ConfigError(f"{what}: {text!r} is no host:port")
    return host, int(port)
