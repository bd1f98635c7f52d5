"""Socket addresses in configuration, and the error of an invalid configuration."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]  # host and port
MAX_PORT = 0xFFFF


class ConfigError(ValueError):
    """An invalid configuration; the text is one line that says what is wrong."""


def address(text: Any, what: str) -> Address:
    """Parses `host:port`; raises `ConfigError`, in which `what` names the setting."""
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) <= MAX_PORT):
        raise ConfigError(f"{what}: {text!r} is no host:port")
    return host, int(port)
