"""Reads the platform's configuration from environment variables and a JSON file into typed values.

The settings of the decision module are parsed in the same way as those of the simulator's start message.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Any

from ..decide.settings import Settings
from ..simulator.wire import SettingsError, parse_settings
from .addresses import Address, ConfigError, address


LIVE = frozenset({"discovery", "seed", "known", "classes"})  # reloaded, or used at the start only
LIVE_SETTINGS = frozenset({"classes", "max_attempts"})  # settings that a running gateway reloads
DERIVED_SETTINGS = frozenset({"max_accounts"})  # settings that the gateway works out from its memory
JSON_TYPE_NAMES = {dict: "an object", list: "an array", (int, float): "a number"}
REQUIRED_AT_RELOAD = ("name", "listen", "discovery", "limits", "settings")
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 64
ACCOUNT_MEMORY_FRACTION = 0.3  # of the memory that is not the program itself, for the accounts of tenants
ACCOUNT_BYTES = 2560  # of one account with its commitment
MAX_DESCRIPTOR_DIGITS = 6


@dataclass(frozen=True, slots=True)
class Config:
    """Holds the platform's configuration of one gateway.

    `sockets` limits the file descriptors and `memory` the bytes. `control` is the address of the admin
    server and `accept_fd` an inherited listening socket. `handover_folder` is the folder in which a new
    process finds its predecessor, or empty. `known` is an endpoint list from before the start. Time-outs are
    in nanoseconds.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    control: Address | None
    accept_fd: int | None
    handover_folder: str
    known: dict[str, Any] | None
    settings: Settings
    classes: tuple[bytes, ...]
    plans: tuple[bytes, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: int
    connection_idle: int


def flatten(value: Any, path: str = "") -> Iterator[str]:
    """Yields nested settings as `path=value` lines, as in the simulator's start message."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count={len(value)}"
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield f"{path}={','.join(_scalar(item) for item in value)}"
    elif value is not None:
        yield f"{path}={_scalar(value)}"


def _scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        # The start message replaces separators within a value in the same way.
        return "_".join(value.replace(",", " ").split(" "))
    return str(value)


def _required(table: Any, key: str, valid_type: type | tuple[type, ...], prefix: str) -> Any:
    value = table.get(key)
    if not isinstance(value, valid_type) or isinstance(value, bool):
        raise ConfigError(f"{prefix}{key}: must be {JSON_TYPE_NAMES[valid_type]}, got {value!r:.40}")
    return value


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ConfigError(f"ROUTER_ACCEPT_FD: must be a file descriptor, got {text!r}")
    try:
        os.fstat(int(text))
    except OSError as error:
        raise ConfigError(f"ROUTER_ACCEPT_FD: {text}: {error.strerror}") from None
    return int(text)


def _names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    return tuple(str(item) for item in _required(settings, key, list, "settings."))


def _name_keys(settings: dict[str, Any], key: str) -> tuple[bytes, ...]:
    names = tuple(str(item.get("name")).encode() for item in _required(settings, key, list, "settings."))
    if len(set(names)) < len(names):
        raise ConfigError(f"settings.{key}: must not contain a name twice")
    return names


def _check_numbers(settings: dict[str, Any]) -> None:
    """Raises `ConfigError` for strings and booleans that the start message's parser would read as numbers."""
    limits = _required(settings, "limits", dict, "settings.")
    _required(limits, "maxAttempts", (int, float), "settings.limits.")
    for number, entry in enumerate(_required(settings, "classes", list, "settings.")):
        if not isinstance(entry, dict):
            raise ConfigError(f"settings.classes.{number}: must be an object, got {entry!r:.40}")
        _required(entry, "deadline", (int, float), f"settings.classes.{number}.")


def max_accounts(capacity_bytes: int) -> int:
    """Returns the number of tenants' accounts, given what all parts of the gateway may keep."""
    return max(1, int(capacity_bytes * ACCOUNT_MEMORY_FRACTION / ACCOUNT_BYTES))


def needs_restart(old: Config, new: Config) -> list[str]:
    """Returns the names of changed values that a running gateway does not reload."""
    changed = [
        field.name
        for field in fields(Config)
        if field.name not in LIVE | {"settings"} and getattr(old, field.name) != getattr(new, field.name)
    ]
    return changed + [
        f"settings.{field.name}"
        for field in fields(Settings)
        if field.name not in LIVE_SETTINGS | DERIVED_SETTINGS
        and getattr(old.settings, field.name) != getattr(new.settings, field.name)
    ]


def reload(environment: Mapping[str, str]) -> Config:
    """Returns the current configuration for a running gateway; raises `ConfigError`.

    The file's `discovery` takes precedence over the environment, which stays as it was at the process's
    start.
    """
    raw = _read(environment)
    for key in REQUIRED_AT_RELOAD:
        if key not in raw:
            raise ConfigError(f"{key}: must be set, got nothing")
    return parse(raw, {key: value for key, value in environment.items() if key != "ROUTER_DISCOVERY"})


def load(environment: Mapping[str, str]) -> Config:
    """Returns the configuration from the file that ROUTER_CONFIG names; raises `ConfigError`.

    Environment variables take precedence over the file's values.
    """
    return parse(_read(environment), environment)


def _read(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: must be the path of the platform's configuration, got nothing")
    try:
        raw = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("ROUTER_CONFIG: must name a file with a JSON object")
    return raw


@dataclass(frozen=True, slots=True)
class _ProcessLimits:
    seed: int
    sockets: int
    memory: int


def parse(raw: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """Returns the configuration of a decoded JSON file; raises `ConfigError`."""
    nested = _required(raw, "settings", dict, "")
    settings = _parse_settings(nested)
    limits = nested["limits"]
    process = _process_limits(raw)
    peers = tuple(address(peer, "peers") for peer in raw.get("peers") or [])
    peer_listen = raw.get("peer_listen")
    peers_all = raw.get("peers_all")
    control = environment.get("ROUTER_CONTROL") or raw.get("control")
    known = raw.get("known")
    return Config(
        name=environment.get("ROUTER_NAME") or str(raw.get("name", "gateway")),
        listen=address(environment.get("ROUTER_LISTEN") or raw.get("listen"), "listen"),
        discovery=address(environment.get("ROUTER_DISCOVERY") or raw.get("discovery"), "discovery"),
        seed=process.seed,
        sockets=process.sockets,
        memory=process.memory,
        peer_listen=address(peer_listen, "peer_listen") if peer_listen else None,
        peers=peers,
        peers_all=address(peers_all, "peers_all") if peers_all else None,
        accept_fd=_descriptor(environment.get("ROUTER_ACCEPT_FD")),
        handover_folder=environment.get("TMPDIR", "") if environment.get("ROUTER_ACCEPT_FD") else "",
        control=address(control, "control") if control else None,
        known=known if isinstance(known, dict) else None,
        # The simulator's shared counter does not exist on real sockets.
        settings=replace(
            settings,
            has_shared_counter=False,
            may_gossip=settings.may_gossip and bool(peer_listen),
        ),
        classes=_name_keys(nested, "classes"),
        plans=_name_keys(nested, "packages"),
        zones=_names(nested, "zones"),
        kinds=_names(nested, "kinds"),
        connect_timeout=int(_required(limits, "connectTimeout", (int, float), "settings.limits.")),
        connection_idle=int(_required(limits, "connIdle", (int, float), "settings.limits.")),
    )


def _parse_settings(nested: dict[str, Any]) -> Settings:
    try:
        settings = parse_settings("\n".join(flatten(nested)))
    except SettingsError as error:
        raise ConfigError(f"settings.{error}") from None
    _check_numbers(nested)
    return settings


def _process_limits(raw: dict[str, Any]) -> _ProcessLimits:
    try:
        return _ProcessLimits(
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int(raw.get("limits", {}).get("sockets", DEFAULT_SOCKETS)),
            memory=int(raw.get("limits", {}).get("memory_mb", DEFAULT_MEMORY_MB)) << 20,
        )
    except (AttributeError, TypeError, ValueError):
        raise ConfigError("seed, limits.sockets or limits.memory_mb: must be a number") from None
