"""Environment and JSON to typed values; the module's settings go through the adapter's own parser."""

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


@dataclass(frozen=True, slots=True)
class Config:
    """All that one gateway is told at its start. Durations are in nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: int  # bytes
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    control: Address | None  # the operators' door
    accept_fd: int | None  # descriptor of the clients' listening socket, where the platform holds it
    meeting: str  # folder that an old process and a new one have in common; empty: none
    known: dict[str, Any] | None
    settings: Settings
    classes: tuple[bytes, ...]
    plans: tuple[bytes, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: int
    connection_idle: int


def flatten(value: Any, path: str = "") -> Iterator[str]:
    """Nested settings as the `path=value` lines of the simulator's start message."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count={len(value)}"
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield f"{path}={','.join(_plain(item) for item in value)}"
    elif value is not None:
        yield f"{path}={_plain(value)}"


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    # Separators inside a value would be read as structure; the start message replaces them likewise.
    return "_".join(value.replace(",", " ").split(" ")) if isinstance(value, str) else str(value)


def _part(holder: Any, key: str, kind: type | tuple[type, ...], what: str) -> Any:
    value = holder.get(key)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ConfigError(f"{what}{key}: missing or of the wrong type")
    return value


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 7):
        raise ConfigError(f"ROUTER_ACCEPT_FD: {text!r} is no descriptor")
    try:
        os.fstat(int(text))
    except OSError as error:
        raise ConfigError(f"ROUTER_ACCEPT_FD: {text}: {error.strerror}") from None
    return int(text)


def _names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    return tuple(str(item) for item in _part(settings, key, list, "settings."))


def _name_keys(settings: dict[str, Any], key: str) -> tuple[bytes, ...]:
    names = tuple(str(item.get("name")).encode() for item in _part(settings, key, list, "settings."))
    if len(set(names)) < len(names):
        raise ConfigError(f"settings.{key}: a name stands twice")
    return names


def _numbers(settings: dict[str, Any]) -> None:
    """What the start message's text can't tell from a number: JSON's own words and texts."""
    limits = _part(settings, "limits", dict, "settings.")
    _part(limits, "maxAttempts", (int, float), "settings.limits.")
    for at, each in enumerate(_part(settings, "classes", list, "settings.")):
        if not isinstance(each, dict):
            raise ConfigError(f"settings.classes.{at}: missing or of the wrong type")
        _part(each, "deadline", (int, float), f"settings.classes.{at}.")


LIVE = frozenset({"discovery", "seed", "known", "classes"})  # taken up, or of use at a start alone
LIVE_SETTINGS = frozenset({"classes", "max_attempts"})  # taken up by a running gateway
WANTED = ("name", "listen", "discovery", "limits", "settings")  # in a file that is to be taken up


def needs_restart(old: Config, new: Config) -> list[str]:
    """What a new configuration changes that a running gateway does not take up."""
    changed = [
        f.name
        for f in fields(Config)
        if f.name not in LIVE | {"settings"} and getattr(old, f.name) != getattr(new, f.name)
    ]
    return changed + [
        f"settings.{f.name}"
        for f in fields(Settings)
        if f.name not in LIVE_SETTINGS and getattr(old.settings, f.name) != getattr(new.settings, f.name)
    ]


def reload(environment: Mapping[str, str]) -> Config:
    """The configuration as it is now. The environment is as old as the process: the file's `discovery`,
    which is what moves under a running gateway, comes before it here."""
    raw = _read(environment)
    for key in WANTED:
        if key not in raw:
            raise ConfigError(f"{key}: missing or of the wrong type")
    return parse(raw, {key: value for key, value in environment.items() if key != "ROUTER_DISCOVERY"})


def load(environment: Mapping[str, str]) -> Config:
    """The configuration named by the environment, whose own variables come before the file's values."""
    return parse(_read(environment), environment)


def _read(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("ROUTER_CONFIG: not a JSON object")
    return raw


def parse(raw: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """Typed values from the JSON object; raises `ConfigError` on what is missing or impossible."""
    nested = _part(raw, "settings", dict, "")
    try:
        settings = parse_settings("\n".join(flatten(nested)))
    except SettingsError as error:
        raise ConfigError(f"settings.{error}") from None
    _numbers(nested)
    limits = nested["limits"]
    try:
        seed = int(str(raw.get("seed", "0")), 16)
        sockets = int(raw.get("limits", {}).get("sockets", 1024))
        memory = int(raw.get("limits", {}).get("memory_mb", 64)) << 20
    except (AttributeError, TypeError, ValueError):
        raise ConfigError("seed or limits: not a number") from None
    peers = tuple(address(peer, "peers") for peer in raw.get("peers") or [])
    peer_listen, peers_all = raw.get("peer_listen"), raw.get("peers_all")
    control = environment.get("ROUTER_CONTROL") or raw.get("control")
    known = raw.get("known")
    return Config(
        name=environment.get("ROUTER_NAME") or str(raw.get("name", "gateway")),
        listen=address(environment.get("ROUTER_LISTEN") or raw.get("listen"), "listen"),
        discovery=address(environment.get("ROUTER_DISCOVERY") or raw.get("discovery"), "discovery"),
        seed=seed,
        sockets=sockets,
        memory=memory,
        peer_listen=address(peer_listen, "peer_listen") if peer_listen else None,
        peers=peers,
        peers_all=address(peers_all, "peers_all") if peers_all else None,
        accept_fd=_descriptor(environment.get("ROUTER_ACCEPT_FD")),
        meeting=environment.get("TMPDIR", "") if environment.get("ROUTER_ACCEPT_FD") else "",
        control=address(control, "control") if control else None,
        known=known if isinstance(known, dict) else None,
        # There is no counter on real sockets: without one the module goes by its even slices.
        settings=replace(
            settings, has_shared_counter=False, may_gossip=settings.may_gossip and bool(peer_listen)
        ),
        classes=_name_keys(nested, "classes"),
        plans=_name_keys(nested, "packages"),
        zones=_names(nested, "zones"),
        kinds=_names(nested, "kinds"),
        connect_timeout=int(_part(limits, "connectTimeout", (int, float), "settings.limits.")),
        connection_idle=int(_part(limits, "connIdle", (int, float), "settings.limits.")),
    )
