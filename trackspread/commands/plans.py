"""Implements `trackspread plans`, which shows, compares and changes the versions of the plan registry.

An error of the operator is one line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import os
import time
import tomllib
from pathlib import Path

import msgspec

from ..config import platform
from ..config.addresses import ConfigError
from ..plans.notice import PlanError
from ..plans.registry import (
    PlanRegistry,
    Plans,
    Version,
    add_version,
    check_plans,
    in_force,
    plan_differences,
    withdraw_version,
)
from .registry_file import NS_PER_MS, change_registry, format_time, load_registry, parse_time


class _PlansFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    plans: Plans


def run(options: argparse.Namespace) -> int:
    """Runs one action and returns the exit status; raises `ConfigError`."""
    now_ms = time.time_ns() // NS_PER_MS
    match options.plans:
        case "history":
            return _history(load_registry(options.book), now_ms)
        case "diff":
            registry = load_registry(options.book)
            return _diff(registry, _load_plans(options.file, _known_plans(options.config)), now_ms)
        case "apply":
            return _apply(options, now_ms)
        case _:
            change_registry(options.book, lambda registry: withdraw_version(registry, options.number, now_ms))
            print(f"version {options.number} is withdrawn")
            return 0


def _apply(options: argparse.Namespace, now_ms: int) -> int:
    known_plans = _known_plans(options.config)
    plans = _load_plans(options.file, known_plans)
    since_ms = parse_time(options.since, now_ms)
    registry = change_registry(
        options.book,
        lambda registry: add_version(registry, plans, since_ms, now_ms, options.note, known_plans),
    )
    print(f"version {registry.versions[-1].number} is in force from {format_time(since_ms)} on")
    return 0


def _known_plans(config: str | None) -> set[str] | None:
    """Returns the names of the platform's plans, or None if no configuration was named."""
    if not config:
        return None
    platform_config = platform.load({**os.environ, "ROUTER_CONFIG": config})
    return {name.decode() for name in platform_config.plans}


def _load_plans(path: Path, known_plans: set[str] | None) -> Plans:
    try:
        plans = msgspec.convert(tomllib.loads(path.read_text()), _PlansFile, strict=False).plans
        check_plans(plans, known_plans)
        return plans
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError, PlanError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _history(registry: PlanRegistry, now_ms: int) -> int:
    current = in_force(registry, now_ms)
    previous_plans: Plans = {}
    if not registry.versions:
        print("no versions: the platform's limits are in force")
    for version in registry.versions:
        state = _state(version, current, now_ms)
        print(f"{version.number:>4} from {format_time(version.since)} {state:<9} {version.note}".rstrip())
        for line in plan_differences(previous_plans, version.plans):
            print(f"       {line}")
        previous_plans = previous_plans if version.withdrawn else version.plans
    return 0


def _state(version: Version, current: Version | None, now_ms: int) -> str:
    if version.withdrawn:
        return "withdrawn"
    if version is current:
        return "in force"
    return "pending" if version.since > now_ms else "past"


def _diff(registry: PlanRegistry, plans: Plans, now_ms: int) -> int:
    """Prints what `plans` would change; returns 1 if there are changes, as `diff` does, and otherwise 0."""
    current = in_force(registry, now_ms)
    lines = plan_differences(current.plans if current is not None else {}, plans)
    print("\n".join(lines) or "nothing would change")
    return 1 if lines else 0
