"""Keeps the plan registry, which holds every version of the plans' limits.

- A version has the time from which it is in force, and a note that says why. It is never changed or deleted.
  A version that is not in force yet may be withdrawn, and stays recorded.
- Numbers increase by one. Times strictly increase over the versions that were not withdrawn.
- A version is added at least `NOTICE_MS` before it is in force, so that all gateways have read it by then and
  apply it at the same time. A gateway that reads it later logs how late it is.
- Version 0 is the platform's settings. They also apply to plans that the registry does not name.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from ..storage.document import Schema
from .calendar import MS_PER_S, Fleet, Reservation, change_times, reserved_rates
from .notice import NOTICE_MS, PlanError

MAX_VERSIONS = 1_000  # limit for one registry; enough for a change each day in about three years
SCHEMA = Schema("plan-book", 2, {1: lambda body: body | {"fleet": None, "reservations": []}})
Limit = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class PlanLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds one plan's limits for each tenant over all gateways.

    The plans' file and the stored registry use the field names. Rates are in units per second, bursts and
    slack in units, and `open_limit` in attempts in flight; 0 stands for no limit. The `ceiling_` fields are
    the hard limit.
    """

    rate: Limit
    burst: Limit
    open_limit: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    ceiling_rate: Limit = 0.0
    ceiling_burst: Limit = 0.0
    ceiling_slack: Limit = 0.0


Plans = dict[str, PlanLimits]


class Version(msgspec.Struct, frozen=True):
    """Describes one version of all plans that the registry names, changed or not.

    The field names are stored. `since`, `made` and `withdrawn` are Unix times in ms; `withdrawn` is 0 for a
    valid version.
    """

    number: int
    since: int
    made: int
    note: str
    plans: Plans
    withdrawn: int = 0


class PlanRegistry(msgspec.Struct, frozen=True):
    """Holds the stored document; no reservation can be admitted without a `fleet`."""

    versions: tuple[Version, ...] = ()
    fleet: Fleet | None = None
    reservations: tuple[Reservation, ...] = ()


def valid_versions(registry: PlanRegistry) -> list[Version]:
    """Returns the versions that were not withdrawn, in the order of their numbers."""
    return [version for version in registry.versions if not version.withdrawn]


def in_force(registry: PlanRegistry, now_ms: int) -> Version | None:
    """Returns the version in force at `now_ms`; None stands for version 0."""
    started = [version for version in valid_versions(registry) if version.since <= now_ms]
    return started[-1] if started else None


def next_version(registry: PlanRegistry, now_ms: int) -> Version | None:
    """Returns the version that comes into force next after `now_ms`, or None."""
    return next((version for version in valid_versions(registry) if version.since > now_ms), None)


def add_version(
    registry: PlanRegistry,
    plans: Plans,
    since_ms: int,
    now_ms: int,
    note: str,
    known_plans: set[str] | None = None,
) -> PlanRegistry:
    """Returns the registry with a further version that is in force from `since_ms` on.

    `known_plans` holds the names of the platform's plans, or is None if they are not known. Raises
    `PlanError` for invalid limits or a time that is too early.
    """
    check_plans(plans, known_plans)
    last_ms = max([version.since for version in valid_versions(registry)], default=0)
    if since_ms < now_ms + NOTICE_MS:
        raise PlanError(
            f"from: must be at least {NOTICE_MS / MS_PER_S:g} s from now, because gateways read it first, "
            f"got {(since_ms - now_ms) / MS_PER_S:.1f} s"
        )
    if since_ms <= last_ms:
        raise PlanError(
            "from: must be later than the time of every version that was not withdrawn, got an earlier time "
            "or the same"
        )
    if len(registry.versions) >= MAX_VERSIONS:
        raise PlanError(
            f"versions: must be at most {MAX_VERSIONS}, got {MAX_VERSIONS + 1}; start a new registry"
        )
    number = max([version.number for version in registry.versions], default=0) + 1
    version = Version(number, since_ms, now_ms, note, plans)
    return msgspec.structs.replace(registry, versions=(*registry.versions, version))


def withdraw_version(registry: PlanRegistry, number: int, now_ms: int) -> PlanRegistry:
    """Returns the registry, in which `number` is withdrawn.

    Raises `PlanError` if that version does not exist, or is or soon will be in force.
    """
    version = next((each for each in registry.versions if each.number == number), None)
    if version is None or version.withdrawn:
        raise PlanError(f"version: {number} does not exist or was withdrawn")
    if version.since < now_ms + NOTICE_MS:
        raise PlanError(
            f"version: must not be in force within {NOTICE_MS / MS_PER_S:g} s or already, got {number}; "
            "apply the former limits as a new version instead"
        )
    changed = msgspec.structs.replace(version, withdrawn=now_ms)
    versions = tuple(changed if each is version else each for each in registry.versions)
    return msgspec.structs.replace(registry, versions=versions)


def check_plans(plans: Plans, known_plans: set[str] | None) -> None:
    """Raises `PlanError`, which names the key, for unknown plans and limits that contradict one another."""
    if not plans:
        raise PlanError("plans: must have at least one plan, got none")
    for name, limits in plans.items():
        if known_plans is not None and name not in known_plans:
            raise PlanError(
                f"plans.{name}: must be one of the plans {', '.join(sorted(known_plans))}, got {name!r}"
            )
        _check_limits(name, limits)


def _check_limits(name: str, limits: PlanLimits) -> None:
    if (limits.rate > 0.0) != (limits.burst > 0.0):
        raise PlanError(
            f"plans.{name}: rate and burst must both be greater than 0, or both 0 for no quota, got "
            f"{limits.rate:g} and {limits.burst:g}"
        )
    if (limits.ceiling_rate > 0.0) != (limits.ceiling_burst > 0.0):
        raise PlanError(
            f"plans.{name}: ceiling_rate and ceiling_burst must both be greater than 0, or both 0 for no "
            f"hard limit, got {limits.ceiling_rate:g} and {limits.ceiling_burst:g}"
        )
    if limits.ceiling_slack > limits.ceiling_burst:
        raise PlanError(
            f"plans.{name}.ceiling_slack: must be at most ceiling_burst ({limits.ceiling_burst:g}), got "
            f"{limits.ceiling_slack:g}"
        )


def plan_differences(old: Plans, new: Plans) -> list[str]:
    """Returns a line for operators on each limit that `new` changes."""
    lines: list[str] = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before is None or after is None:
            lines.append(f"{name}: {'added' if after else 'removed'}")
            continue
        lines += [
            f"{name}.{field}: {getattr(before, field):g} -> {getattr(after, field):g}"
            for field in PlanLimits.__struct_fields__
            if getattr(before, field) != getattr(after, field)
        ]
    return lines


class DueVersion(NamedTuple):
    """Holds a version that has come into force and by how many ms it is late.

    A `version` of None stands for version 0.
    """

    version: Version | None
    late_ms: int


class VersionFollower:
    """Holds the version and the reservations in force at one gateway; all times are Unix times in ms."""

    def __init__(self) -> None:
        self.registry = PlanRegistry()
        self.version_number = 0
        self.reserved_per_s: dict[int, float] = {}  # units per second, by tenant

    def set_registry(self, registry: PlanRegistry) -> None:
        """Replaces the registry by the one that was just read."""
        self.registry = registry

    def take_due(self, now_ms: int) -> DueVersion | None:
        """Puts the version that is due in force and returns it; returns None if nothing changes."""
        version = in_force(self.registry, now_ms)
        number = version.number if version is not None else 0
        if number == self.version_number:
            return None
        self.version_number = number
        return DueVersion(version, max(0, now_ms - version.since) if version is not None else 0)

    def take_changed_reservations(self, now_ms: int) -> dict[int, float] | None:
        """Puts the rates reserved at `now_ms` in force and returns them.

        They are in units per second, by tenant. Returns None if nothing changes.
        """
        rates = reserved_rates(self.registry.reservations, now_ms)
        if rates == self.reserved_per_s:
            return None
        self.reserved_per_s = rates
        return rates

    def ms_until_next_change(self, now_ms: int) -> int | None:
        """Returns the ms until the next version or reservation begins or a reservation ends, or None."""
        times_ms = [time_ms for time_ms in change_times(self.registry.reservations) if time_ms > now_ms]
        version = next_version(self.registry, now_ms)
        if version is not None:
            times_ms.append(version.since)
        return min(times_ms) - now_ms if times_ms else None
