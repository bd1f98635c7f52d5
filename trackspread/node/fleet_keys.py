"""Reads the fleet's keys from the operator's key files, and the program's version."""

from __future__ import annotations

from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

from ..config.addresses import ConfigError
from ..config.operator import Fleet
from ..membership.wire import Keys

MIN_KEY_BYTES = 16  # in a key file; shorter keys can be guessed


def read_keys(fleet: Fleet) -> Keys:
    """Returns the fleet's present and previous key from their files; raises `ConfigError`."""
    return Keys(_read_key("key", fleet.key), _read_key("previous", fleet.previous))


def _read_key(setting: str, path: str) -> bytes:
    if not path:
        return b""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise ConfigError(
            f"fleet.{setting}: {path}: {error.strerror}; must be a readable file with a key"
        ) from None
    if len(key) < MIN_KEY_BYTES:
        raise ConfigError(
            f"fleet.{setting}: {path}: must hold at least {MIN_KEY_BYTES} bytes, got {len(key)}"
        )
    return key


def program_version() -> str:
    """Returns the installed version of this program, which the fleet's members send each other."""
    try:
        return version("trackspread")
    except PackageNotFoundError:
        return "source"
