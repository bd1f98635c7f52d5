"""Reads and changes the file of the plan registry, and parses times of the command line.

The file is replaced atomically under a lock, so that no concurrent change is lost. An error of the operator
is one line (`ConfigError`).
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

from ..config.addresses import ConfigError
from ..plans.notice import PlanError
from ..plans.registry import SCHEMA, PlanRegistry
from ..storage.directory import write_atomically
from ..storage.document import DocumentError

LOCK_MODE = 0o600
MS_PER_S = 1000
NS_PER_MS = 1_000_000


def load_registry(path: Path) -> PlanRegistry:
    """Returns the registry in a file, or an empty one if there is no file; raises `ConfigError`."""
    try:
        return SCHEMA.unpack(path.read_bytes(), PlanRegistry)
    except FileNotFoundError:
        return PlanRegistry()
    except (OSError, DocumentError) as error:
        raise ConfigError(f"{path}: {getattr(error, 'strerror', None) or error}") from None


def change_registry(path: Path, change: Callable[[PlanRegistry], PlanRegistry]) -> PlanRegistry:
    """Applies `change` to the registry in a file and returns the result; raises `ConfigError`."""
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT, LOCK_MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            registry = change(load_registry(path))
            write_atomically(path.parent, path.name, SCHEMA.pack(registry))
            return registry
        finally:
            os.close(lock)
    except PlanError as error:
        raise ConfigError(f"{path}: {error}") from None
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None


def parse_time(text: str, now_ms: int, option: str = "--from") -> int:
    """Returns a Unix time in ms, read as UTC if `text` names no time zone; raises `ConfigError`."""
    try:
        if text.startswith("+"):
            return now_ms + int(float(text[1:]) * MS_PER_S)
        parsed = datetime.fromisoformat(text)
    except ValueError:
        raise ConfigError(
            f"{option}: must be +SECONDS or a time such as 2026-12-05T00:00:00Z, got {text!r}"
        ) from None
    if not parsed.tzinfo:
        parsed = parsed.replace(tzinfo=UTC)
    return int(parsed.timestamp() * MS_PER_S)


def format_time(time_ms: int) -> str:
    """Formats a Unix time in ms as ISO 8601 in UTC."""
    text = datetime.fromtimestamp(time_ms / MS_PER_S, UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")
