"""Tables for the fleet of gateways: membership, control machines and distributed configuration."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .addresses import Address, ConfigError, address
from .table import Label, Table, check_once_each, is_unspecified, literal_address

MAX_SEEDS = 9  # an election waits for a majority of the seeds
MAX_REPLICAS = 31  # a commit waits for a majority of the replicas
MAX_CONFIGURED_SERVICES = 4096  # whose configuration one gateway requests
MEMBER_ADDRESS_EXAMPLE = "127.0.0.1:7400"
CONTROL_ADDRESS_EXAMPLE = "127.0.0.1:7500"
REPLICA_ADDRESS_EXAMPLE = "127.0.0.1:7600"


class ControlAddress(Table, frozen=True):
    """One control machine, named in the same way at all processes of the fleet."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    region: Label
    zone: Label
    address: str  # host:port at which gateways and other control machines reach it


class Fleet(Table, frozen=True):
    """Membership in a fleet of gateways; disabled without a name, as the platform sets no address for it.

    With control machines the view is that of a cell: the gateways of one zone, with these machines as seeds.
    """

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{0,64}$")] = ""  # of the fleet; empty: no view
    listen: str = ""  # host:port for UDP and TCP; empty at a control machine: its own address
    advertise: str = ""  # host:port at which other members reach it; empty: `listen`
    seeds: tuple[str, ...] = ()  # host:port of some members, the same and in the same order everywhere
    region: Label = ""  # where this gateway runs; only with control machines
    zone: Label = ""
    control: tuple[ControlAddress, ...] = ()  # all of them, in the same order everywhere; empty: no cells
    gateways: Annotated[int, msgspec.Meta(ge=2, le=65_536)] = 8_192  # limit over all cells
    key: str = ""  # file with the key that signs messages; empty: messages are not keyed
    previous: str = ""  # file with the previous key, which is still accepted
    period_ms: Annotated[float, msgspec.Meta(ge=50.0, le=10_000.0)] = 300.0  # between pings of members
    most: Annotated[int, msgspec.Meta(ge=2, le=4096)] = 64  # limit on members
    keep_s: Annotated[float, msgspec.Meta(ge=2.0, le=3600.0)] = 30.0  # until a dead member's slots are freed
    record: str = ""  # file to which events are appended; empty: none

    def seed_addresses(self) -> tuple[Address, ...]:
        """Returns the addresses of the seeds."""
        return tuple(address(each, "fleet.seeds") for each in self.seeds)


class Configuration(Table, frozen=True):
    """Configuration distributed by control replicas; disabled without replicas.

    It uses the name and the keys of the fleet.
    """

    replicas: tuple[str, ...] = ()  # host:port of all replicas, in the same order everywhere
    listen: str = ""  # host:port from which this gateway polls them
    near: tuple[str, ...] = ()  # replicas that are polled first; empty: those of its region, where known
    services: tuple[str, ...] = ()  # whose configuration is requested; empty: all
    record: str = ""  # file to which each version that came into force is appended; empty: none

    def addresses(self) -> tuple[Address, ...]:
        """Returns the addresses of the replicas."""
        return tuple(address(each, "configuration.replicas") for each in self.replicas)


def check_fleet(fleet: Fleet, file_name: str) -> None:
    """Raises `ConfigError` for keys of `fleet` that don't fit one another, and invalid addresses."""
    if not fleet.name:
        _check_unnamed(fleet, file_name)
        return
    if not fleet.listen and (fleet.region or not fleet.control):
        raise ConfigError(f"{file_name}: fleet.listen: found nothing, wanted host:port: fleet.name is set")
    if fleet.control:
        _check_control(fleet, file_name)
    elif fleet.region or fleet.zone:
        raise ConfigError(
            f"{file_name}: fleet.control: found nothing, wanted control machines: fleet.region or "
            "fleet.zone is set"
        )
    elif not 1 <= len(fleet.seeds) <= MAX_SEEDS:
        raise ConfigError(
            f"{file_name}: fleet.seeds: found {len(fleet.seeds)}, wanted 1 to {MAX_SEEDS} addresses, "
            "best 3 or 5"
        )
    _check_fleet_addresses(fleet, file_name)
    check_once_each(file_name, "fleet.seeds", fleet.seeds)
    if fleet.previous and not fleet.key:
        raise ConfigError(f"{file_name}: fleet.key: found nothing, wanted a file: fleet.previous is set")


def _check_unnamed(fleet: Fleet, file_name: str) -> None:
    for key in ("listen", "advertise", "seeds", "region", "zone", "control", "key", "previous", "record"):
        if getattr(fleet, key):
            raise ConfigError(f"{file_name}: fleet.name: found nothing, wanted a name: fleet.{key} is set")


def _check_fleet_addresses(fleet: Fleet, file_name: str) -> None:
    texts = {key: text for key in ("listen", "advertise") if (text := getattr(fleet, key))}
    texts |= {f"seeds[{number}]": seed for number, seed in enumerate(fleet.seeds)}
    for key, text in texts.items():
        host, _ = literal_address(file_name, f"fleet.{key}", text, MEMBER_ADDRESS_EXAMPLE)
        if is_unspecified(host) and (key != "listen" or not fleet.advertise):
            raise ConfigError(
                f"{file_name}: fleet.{key}: found {text!r}, wanted an address that others can reach"
            )


def _check_control(fleet: Fleet, file_name: str) -> None:
    if fleet.seeds:
        raise ConfigError(
            f"{file_name}: fleet.seeds: found {len(fleet.seeds)}, wanted none: the control machines "
            "are the cells' seeds"
        )
    seen: dict[str, set[str]] = {"name": set(), "address": set()}
    for number, machine in enumerate(fleet.control):
        key = f"fleet.control[{number}]"
        _check_control_machine(machine, file_name, key)
        for field, values in seen.items():
            value = getattr(machine, field)
            if value in values:
                raise ConfigError(f"{file_name}: {key}.{field}: found {value!r} twice, wanted once each")
            values.add(value)
    _check_region(fleet, file_name)


def _check_control_machine(machine: ControlAddress, file_name: str, key: str) -> None:
    for field in ("region", "zone"):
        if not getattr(machine, field):
            raise ConfigError(f"{file_name}: {key}.{field}: found nothing, wanted the {field} that it is in")
    host, _ = literal_address(file_name, f"{key}.address", machine.address, CONTROL_ADDRESS_EXAMPLE)
    if is_unspecified(host):
        raise ConfigError(
            f"{file_name}: {key}.address: found {machine.address!r}, wanted an address that others can reach"
        )


def _check_region(fleet: Fleet, file_name: str) -> None:
    if bool(fleet.region) != bool(fleet.zone):
        missing = "zone" if fleet.region else "region"
        raise ConfigError(
            f"{file_name}: fleet.{missing}: found nothing, wanted the {missing} that this gateway runs in"
        )
    regions = sorted({machine.region for machine in fleet.control})
    if fleet.region and fleet.region not in regions:
        raise ConfigError(
            f"{file_name}: fleet.region: found {fleet.region!r}, wanted one that has control "
            f"machines: {', '.join(regions)}"
        )


def check_configuration(configuration: Configuration, fleet: Fleet, file_name: str) -> None:
    """Raises `ConfigError` for keys of `configuration` that don't fit one another or the fleet."""
    if not configuration.replicas:
        _check_without_replicas(configuration, file_name)
        return
    if not fleet.name:
        raise ConfigError(
            f"{file_name}: fleet.name: found nothing, wanted a name: configuration.replicas is set"
        )
    for key, limit in (("replicas", MAX_REPLICAS), ("services", MAX_CONFIGURED_SERVICES)):
        values = getattr(configuration, key)
        if len(values) > limit:
            raise ConfigError(
                f"{file_name}: configuration.{key}: found {len(values)}, wanted {limit} at most"
            )
        check_once_each(file_name, f"configuration.{key}", values)
    _check_configuration_addresses(configuration, file_name)
    if fleet.control and len(configuration.replicas) != len(fleet.control):
        raise ConfigError(
            f"{file_name}: configuration.replicas: found {len(configuration.replicas)}, wanted "
            f"{len(fleet.control)}: one for each of fleet.control, in its order"
        )
    for number, text in enumerate(configuration.near):
        if text not in configuration.replicas:
            raise ConfigError(
                f"{file_name}: configuration.near[{number}]: found {text!r}, wanted one of "
                "configuration.replicas"
            )


def _check_without_replicas(configuration: Configuration, file_name: str) -> None:
    for key in ("listen", "near", "services", "record"):
        if getattr(configuration, key):
            raise ConfigError(
                f"{file_name}: configuration.replicas: found nothing, wanted addresses: "
                f"configuration.{key} is set"
            )


def _check_configuration_addresses(configuration: Configuration, file_name: str) -> None:
    texts = {f"replicas[{number}]": text for number, text in enumerate(configuration.replicas)}
    if configuration.listen:
        texts["listen"] = configuration.listen
    for key, text in texts.items():
        host, _ = literal_address(file_name, f"configuration.{key}", text, REPLICA_ADDRESS_EXAMPLE)
        if is_unspecified(host):
            raise ConfigError(
                f"{file_name}: configuration.{key}: found {text!r}, wanted an address that others can reach"
            )
