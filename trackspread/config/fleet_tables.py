"""Defines the tables for membership, control machines and distributed configuration."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .addresses import Address, ConfigError, address
from .table import Label, Table, check_once_each, is_unspecified, literal_address

MAX_SEEDS = 9  # an election needs a majority of the seeds
MAX_REPLICAS = 31  # a commit needs a majority of the replicas
MAX_CONFIGURED_SERVICES = 4096  # services that one gateway subscribes to
MEMBER_ADDRESS_EXAMPLE = "127.0.0.1:7400"
CONTROL_ADDRESS_EXAMPLE = "127.0.0.1:7500"
REPLICA_ADDRESS_EXAMPLE = "127.0.0.1:7600"


class ControlAddress(Table, frozen=True):
    """Describes one control machine; all processes of the fleet name it in the same way."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    region: Label
    zone: Label
    address: str  # host:port that gateways and other control machines send to


class Fleet(Table, frozen=True):
    """Configures membership in a fleet of gateways.

    It is disabled without a name, because the platform sets no address for it. With control machines the view
    is that of a cell, which is the gateways of one zone with these machines as seeds.
    """

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{0,64}$")] = ""  # no view if empty
    listen: str = ""  # host:port for UDP and TCP; a control machine uses its own address if empty
    advertise: str = ""  # host:port that other members send to; `listen` if empty
    seeds: tuple[str, ...] = ()  # host:port of some members, in the same order at all members
    region: Label = ""  # of this gateway; set only with control machines
    zone: Label = ""  # of this gateway; set only with control machines
    control: tuple[ControlAddress, ...] = ()  # in the same order at all processes; empty without cells
    gateways: Annotated[int, msgspec.Meta(ge=2, le=65_536)] = 8_192  # limit on gateways over all cells
    key: str = ""  # file with the key that signs messages; messages are unsigned if empty
    previous: str = ""  # file with the previous key, which is accepted too
    period_ms: Annotated[float, msgspec.Meta(ge=50.0, le=10_000.0)] = 300.0  # interval between pings
    most: Annotated[int, msgspec.Meta(ge=2, le=4096)] = 64  # limit on members
    keep_s: Annotated[float, msgspec.Meta(ge=2.0, le=3600.0)] = 30.0  # time to free a dead member's slots
    record: str = ""  # file to which events are appended; empty for none

    def seed_addresses(self) -> tuple[Address, ...]:
        """Returns the addresses of the seeds."""
        return tuple(address(each, "fleet.seeds") for each in self.seeds)


class Configuration(Table, frozen=True):
    """Configures the subscription to the configuration that control replicas distribute.

    It is disabled without replicas. It uses the name and the keys of the fleet.
    """

    replicas: tuple[str, ...] = ()  # host:port of all replicas, in the same order at all processes
    listen: str = ""  # host:port from which this gateway polls the replicas
    near: tuple[str, ...] = ()  # replicas that are polled first; those of its region, if known, when empty
    services: tuple[str, ...] = ()  # services whose configuration is requested; all if empty
    record: str = ""  # file to which each version that came into force is appended; empty for none

    def addresses(self) -> tuple[Address, ...]:
        """Returns the addresses of the replicas."""
        return tuple(address(each, "configuration.replicas") for each in self.replicas)


def check_fleet(fleet: Fleet, file_name: str) -> None:
    """Raises `ConfigError` if keys of `fleet` contradict one another or an address is invalid."""
    if not fleet.name:
        _check_unnamed(fleet, file_name)
        return
    if not fleet.listen and (fleet.region or not fleet.control):
        raise ConfigError(f"{file_name}: fleet.listen: must be host:port when fleet.name is set, got nothing")
    if fleet.control:
        _check_control(fleet, file_name)
    elif fleet.region or fleet.zone:
        raise ConfigError(
            f"{file_name}: fleet.control: must name control machines when fleet.region or fleet.zone is set, "
            "got nothing"
        )
    elif not 1 <= len(fleet.seeds) <= MAX_SEEDS:
        raise ConfigError(
            f"{file_name}: fleet.seeds: must be 1 to {MAX_SEEDS} addresses, preferably 3 or 5, got "
            f"{len(fleet.seeds)}"
        )
    _check_fleet_addresses(fleet, file_name)
    check_once_each(file_name, "fleet.seeds", fleet.seeds)
    if fleet.previous and not fleet.key:
        raise ConfigError(f"{file_name}: fleet.key: must be a file when fleet.previous is set, got nothing")


def _check_unnamed(fleet: Fleet, file_name: str) -> None:
    for key in ("listen", "advertise", "seeds", "region", "zone", "control", "key", "previous", "record"):
        if getattr(fleet, key):
            raise ConfigError(f"{file_name}: fleet.name: must be a name when fleet.{key} is set, got nothing")


def _check_fleet_addresses(fleet: Fleet, file_name: str) -> None:
    texts = {key: text for key in ("listen", "advertise") if (text := getattr(fleet, key))}
    texts |= {f"seeds[{number}]": seed for number, seed in enumerate(fleet.seeds)}
    for key, text in texts.items():
        host, _ = literal_address(file_name, f"fleet.{key}", text, MEMBER_ADDRESS_EXAMPLE)
        if is_unspecified(host) and (key != "listen" or not fleet.advertise):
            raise ConfigError(
                f"{file_name}: fleet.{key}: must be an address that others can reach, got {text!r}"
            )


def _check_control(fleet: Fleet, file_name: str) -> None:
    if fleet.seeds:
        raise ConfigError(
            f"{file_name}: fleet.seeds: must be empty when fleet.control is set, because the control "
            f"machines are the cells' seeds, got {len(fleet.seeds)}"
        )
    seen: dict[str, set[str]] = {"name": set(), "address": set()}
    for number, machine in enumerate(fleet.control):
        key = f"fleet.control[{number}]"
        _check_control_machine(machine, file_name, key)
        for field, values in seen.items():
            value = getattr(machine, field)
            if value in values:
                raise ConfigError(
                    f"{file_name}: {key}.{field}: must differ between control machines, got {value!r} twice"
                )
            values.add(value)
    _check_region(fleet, file_name)


def _check_control_machine(machine: ControlAddress, file_name: str, key: str) -> None:
    for field in ("region", "zone"):
        if not getattr(machine, field):
            raise ConfigError(
                f"{file_name}: {key}.{field}: must be the {field} of the control machine, got nothing"
            )
    host, _ = literal_address(file_name, f"{key}.address", machine.address, CONTROL_ADDRESS_EXAMPLE)
    if is_unspecified(host):
        raise ConfigError(
            f"{file_name}: {key}.address: must be an address that others can reach, got {machine.address!r}"
        )


def _check_region(fleet: Fleet, file_name: str) -> None:
    if bool(fleet.region) != bool(fleet.zone):
        missing = "zone" if fleet.region else "region"
        raise ConfigError(f"{file_name}: fleet.{missing}: must be the {missing} of this gateway, got nothing")
    regions = sorted({machine.region for machine in fleet.control})
    if fleet.region and fleet.region not in regions:
        raise ConfigError(
            f"{file_name}: fleet.region: must be a region with control machines ({', '.join(regions)}), got "
            f"{fleet.region!r}"
        )


def check_configuration(configuration: Configuration, fleet: Fleet, file_name: str) -> None:
    """Raises `ConfigError` if keys of `configuration` contradict one another or the fleet."""
    if not configuration.replicas:
        _check_without_replicas(configuration, file_name)
        return
    if not fleet.name:
        raise ConfigError(
            f"{file_name}: fleet.name: must be a name when configuration.replicas is set, got nothing"
        )
    for key, limit in (("replicas", MAX_REPLICAS), ("services", MAX_CONFIGURED_SERVICES)):
        values = getattr(configuration, key)
        if len(values) > limit:
            raise ConfigError(
                f"{file_name}: configuration.{key}: must have at most {limit} entries, got {len(values)}"
            )
        check_once_each(file_name, f"configuration.{key}", values)
    _check_configuration_addresses(configuration, file_name)
    if fleet.control and len(configuration.replicas) != len(fleet.control):
        raise ConfigError(
            f"{file_name}: configuration.replicas: must have one entry for each of fleet.control "
            f"({len(fleet.control)}), in its order, got {len(configuration.replicas)}"
        )
    for number, text in enumerate(configuration.near):
        if text not in configuration.replicas:
            raise ConfigError(
                f"{file_name}: configuration.near[{number}]: must be one of configuration.replicas, "
                f"got {text!r}"
            )


def _check_without_replicas(configuration: Configuration, file_name: str) -> None:
    for key in ("listen", "near", "services", "record"):
        if getattr(configuration, key):
            raise ConfigError(
                f"{file_name}: configuration.replicas: must be addresses when configuration.{key} is set, "
                "got nothing"
            )


def _check_configuration_addresses(configuration: Configuration, file_name: str) -> None:
    texts = {f"replicas[{number}]": text for number, text in enumerate(configuration.replicas)}
    if configuration.listen:
        texts["listen"] = configuration.listen
    for key, text in texts.items():
        host, _ = literal_address(file_name, f"configuration.{key}", text, REPLICA_ADDRESS_EXAMPLE)
        if is_unspecified(host):
            raise ConfigError(
                f"{file_name}: configuration.{key}: must be an address that others can reach, got {text!r}"
            )
