"""`trackspread plans`: the plan registry's history, what a file would change, and changes from a moment on.

May know: files, the registry's rules. Every operator's error is one plain line (`ConfigError`). The registry
is replaced whole, under a lock of its own: two who apply at once follow one another.
"""

from __future__ import annotations

import argparse
import fcntl
import os
import time
import tomllib
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from ..config import platform
from ..config.addresses import ConfigError
from ..plans.notice import PlanError
from ..plans.registry import (
    SCHEMA,
    PlanRegistry,
    Plans,
    add_version,
    check_plans,
    plan_differences,
    in_force,
    withdraw_version,
)
from ..storage.document import DocumentError
from ..usage.senders import put


class _Proposal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    plans: Plans


def run(given: argparse.Namespace) -> int:
    """Exit status; raises `ConfigError`."""
    now = time.time_ns() // 1_000_000
    match given.plans:
        case "history":
            return _history(load_registry(given.book), now)
        case "diff":
            return _diff(load_registry(given.book), _proposal(given.file, _names(given.config)), now)
        case "apply":
            plans, names = _proposal(given.file, _names(given.config)), _names(given.config)
            since = parse_time(given.since, now)
            registry = change_registry(
                given.book, lambda registry: add_version(registry, plans, since, now, given.note, names)
            )
            print(f"version {registry.versions[-1].number} is in force from {shown(since)} on")
            return 0
        case _:
            change_registry(given.book, lambda registry: withdraw_version(registry, given.number, now))
            print(f"version {given.number} is withdrawn")
            return 0


def load_registry(path: Path) -> PlanRegistry:
    """An empty registry where there is none yet."""
    try:
        return SCHEMA.unpack(path.read_bytes(), PlanRegistry)
    except FileNotFoundError:
        return PlanRegistry()
    except (OSError, DocumentError) as error:
        raise ConfigError(f"{path}: {getattr(error, 'strerror', None) or error}") from None


def change_registry(path: Path, change: Callable[[PlanRegistry], PlanRegistry]) -> PlanRegistry:
    """The registry as it is afterwards, on the disk; raises `ConfigError`."""
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            registry = change(load_registry(path))
            put(path.parent, path.name, SCHEMA.pack(registry))
            return registry
        finally:
            os.close(lock)
    except PlanError as error:
        raise ConfigError(f"{path}: {error}") from None
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None


def _names(config: str | None) -> set[str] | None:
    if not config:
        return None
    told = platform.load({**os.environ, "ROUTER_CONFIG": config})
    return {name.decode() for name in told.plans}


def _proposal(path: Path, names: set[str] | None) -> Plans:
    try:
        plans = msgspec.convert(tomllib.loads(path.read_text()), _Proposal, strict=False).plans
        check_plans(plans, names)
        return plans
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError, PlanError) as error:
        raise ConfigError(f"{path}: {error}") from None


def parse_time(text: str, now: int, what: str = "--from") -> int:
    """Unix ms; a moment without a zone is UTC. Raises `ConfigError`."""
    try:
        if text.startswith("+"):
            return now + int(float(text[1:]) * 1000)
        found = datetime.fromisoformat(text)
    except ValueError:
        raise ConfigError(f"{what}: found {text!r}, wanted +SECONDS or 2026-12-05T00:00:00Z") from None
    return int((found if found.tzinfo else found.replace(tzinfo=UTC)).timestamp() * 1000)


def shown(ms: int) -> str:
    return datetime.fromtimestamp(ms / 1000, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _history(registry: PlanRegistry, now: int) -> int:
    current = in_force(registry, now)
    before: Plans = {}
    if not registry.versions:
        print("no versions: the platform's figures hold")
    for version in registry.versions:
        state = (
            "withdrawn"
            if version.withdrawn
            else "in force"
            if version is current
            else "to come"
            if version.since > now
            else "past"
        )
        print(f"{version.number:>4} from {shown(version.since)} {state:<9} {version.note}".rstrip())
        for line in plan_differences(before, version.plans):
            print(f"       {line}")
        before = before if version.withdrawn else version.plans
    return 0


def _diff(registry: PlanRegistry, plans: Plans, now: int) -> int:
    """Exit status 1 where something differs, as `diff` has it."""
    current = in_force(registry, now)
    lines = plan_differences(current.plans if current is not None else {}, plans)
    print("\n".join(lines) or "nothing would change")
    return 1 if lines else 0
