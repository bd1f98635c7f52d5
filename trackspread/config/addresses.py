"""Parses socket addresses in the configuration, and defines the error of an invalid configuration."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]  # host and port
MAX_PORT = 0xFFFF


class ConfigError(ValueError):
    """Reports an invalid configuration; the text is one line that says what is wrong."""


def address(text: Any, key: str) -> Address:
    """Parses `host:port`; raises `ConfigError`, which names the setting by `key`."""
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) <= MAX_PORT):
        raise ConfigError(f"{key}: must be host:port, got {text!r}")
    return host, int(port)
