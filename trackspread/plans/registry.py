"""The plan registry: every version of the plans' limits, the time from which each is in force, and why.

- A version is never changed or deleted. One that is not in force yet may be withdrawn; it stays recorded.
- Numbers count up by one; times strictly increase over the versions that were not withdrawn.
- A version is added at least `NOTICE_MS` before it is in force, so that all gateways have read it by then and
  change over at the same time. A gateway that reads it later logs how late it is.
- Version 0 is the platform's settings; they also hold for plans that the registry does not name.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from ..storage.document import Schema
from .calendar import MS_PER_S, Fleet, Reservation, change_times, reserved_rates
from .notice import NOTICE_MS, PlanError

MAX_VERSIONS = 1_000  # in one registry: about three years of a change each day
SCHEMA = Schema("plan-book", 2, {1: lambda body: body | {"fleet": None, "reservations": []}})
Limit = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class Figures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One plan's limits for each tenant over all gateways; the plans' file and the store use the field names.

    Rates are in units per second, bursts and slack in units, and `open_limit` in attempts in flight; 0 stands
    for no limit.
    """

    rate: Limit
    burst: Limit
    open_limit: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    ceiling_rate: Limit = 0.0
    ceiling_burst: Limit = 0.0
    ceiling_slack: Limit = 0.0


Plans = dict[str, Figures]


class Version(msgspec.Struct, frozen=True):
    """One version of all plans that the registry names, changed or not; the field names are stored.

    `since`, `made` and `withdrawn` are Unix times in ms; `withdrawn` is 0 for a valid version.
    """

    number: int
    since: int
    made: int
    note: str
    plans: Plans
    withdrawn: int = 0


class PlanRegistry(msgspec.Struct, frozen=True):
    """The stored document; without a `fleet` no reservation can be admitted."""

    versions: tuple[Version, ...] = ()
    fleet: Fleet | None = None
    reservations: tuple[Reservation, ...] = ()


def valid_versions(registry: PlanRegistry) -> list[Version]:
    """Returns the versions that were not withdrawn, in order."""
    return [version for version in registry.versions if not version.withdrawn]


def in_force(registry: PlanRegistry, now_ms: int) -> Version | None:
    """Returns the version in force at `now_ms`, or None for version 0."""
    begun = [version for version in valid_versions(registry) if version.since <= now_ms]
    return begun[-1] if begun else None


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
    """Returns the registry with a further version, in force from `since_ms` on; raises `PlanError`.

    `known_plans` are the names of the platform's plans, or None if they are not known.
    """
    check_plans(plans, known_plans)
    last_ms = max([version.since for version in valid_versions(registry)], default=0)
    if since_ms < now_ms + NOTICE_MS:
        raise PlanError(
            f"from: found a moment {(since_ms - now_ms) / MS_PER_S:.1f} s from now, wanted at least "
            f"{NOTICE_MS / MS_PER_S:g} s: gateways have to read it first"
        )
    if since_ms <= last_ms:
        raise PlanError(
            "from: found a moment before that of a version that stands, wanted a later one "
            "(or withdraw that one)"
        )
    if len(registry.versions) >= MAX_VERSIONS:
        raise PlanError(f"found {MAX_VERSIONS} versions, wanted a new registry")
    number = max([version.number for version in registry.versions], default=0) + 1
    version = Version(number, since_ms, now_ms, note, plans)
    return msgspec.structs.replace(registry, versions=(*registry.versions, version))


def withdraw_version(registry: PlanRegistry, number: int, now_ms: int) -> PlanRegistry:
    """Returns the registry with a version withdrawn that is not in force yet; raises `PlanError`."""
    version = next((each for each in registry.versions if each.number == number), None)
    if version is None or version.withdrawn:
        raise PlanError(f"version: found {number}, wanted one that stands")
    if version.since < now_ms + NOTICE_MS:
        raise PlanError(
            f"version: {number} is in force within {NOTICE_MS / MS_PER_S:g} s or already, wanted a "
            "later one: apply the former figures anew"
        )
    changed = msgspec.structs.replace(version, withdrawn=now_ms)
    versions = tuple(changed if each is version else each for each in registry.versions)
    return msgspec.structs.replace(registry, versions=versions)


def check_plans(plans: Plans, known_plans: set[str] | None) -> None:
    """Raises `PlanError`, with the key, for unknown plans and limits that can't hold together."""
    if not plans:
        raise PlanError("plans: found none, wanted at least one")
    for name, figures in plans.items():
        if known_plans is not None and name not in known_plans:
            raise PlanError(
                f"plans.{name}: found an unknown plan, wanted one of {', '.join(sorted(known_plans))}"
            )
        _check_figures(name, figures)


def _check_figures(name: str, figures: Figures) -> None:
    if (figures.rate > 0.0) != (figures.burst > 0.0):
        raise PlanError(
            f"plans.{name}: found rate {figures.rate:g} and burst {figures.burst:g}, wanted "
            "both over 0, or both 0 for no quota"
        )
    if (figures.ceiling_rate > 0.0) != (figures.ceiling_burst > 0.0):
        raise PlanError(
            f"plans.{name}: found ceiling_rate {figures.ceiling_rate:g} and ceiling_burst "
            f"{figures.ceiling_burst:g}, wanted both over 0, or both 0 for no ceiling"
        )
    if figures.ceiling_slack > figures.ceiling_burst:
        raise PlanError(
            f"plans.{name}.ceiling_slack: found {figures.ceiling_slack:g}, wanted at most "
            f"ceiling_burst, {figures.ceiling_burst:g}"
        )


def plan_differences(old: Plans, new: Plans) -> list[str]:
    """Returns a line for each limit that `new` changes, for the operators."""
    lines: list[str] = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before is None or after is None:
            lines.append(f"{name}: {'named' if after else 'not named any more'}")
            continue
        lines += [
            f"{name}.{field}: {getattr(before, field):g} -> {getattr(after, field):g}"
            for field in Figures.__struct_fields__
            if getattr(before, field) != getattr(after, field)
        ]
    return lines


class DueVersion(NamedTuple):
    """A change to `version`, or to the platform's own limits if it is None, and how late it is."""

    version: Version | None
    late_ms: int


class VersionFollower:
    """One gateway's state: the version and the reservations in force here. All times are Unix ms."""

    def __init__(self) -> None:
        self.registry = PlanRegistry()
        self.version_number = 0
        self.reserved_per_s: dict[int, float] = {}  # units, by tenant

    def set_registry(self, registry: PlanRegistry) -> None:
        """Takes the registry as it was just read."""
        self.registry = registry

    def take_due(self, now_ms: int) -> DueVersion | None:
        """Puts the version that is due in force and returns it; None if nothing changes."""
        version = in_force(self.registry, now_ms)
        number = version.number if version is not None else 0
        if number == self.version_number:
            return None
        self.version_number = number
        return DueVersion(version, max(0, now_ms - version.since) if version is not None else 0)

    def take_changed_reservations(self, now_ms: int) -> dict[int, float] | None:
        """Puts the rates reserved now in force and returns them, in units per second by tenant; None if
        nothing changes."""
        rates = reserved_rates(self.registry.reservations, now_ms)
        if rates == self.reserved_per_s:
            return None
        self.reserved_per_s = rates
        return rates

    def ms_until_next_change(self, now_ms: int) -> int | None:
        """Returns the ms until the next version or reservation begins or ends, or None."""
        times_ms = [time_ms for time_ms in change_times(self.registry.reservations) if time_ms > now_ms]
        version = next_version(self.registry, now_ms)
        if version is not None:
            times_ms.append(version.since)
        return min(times_ms) - now_ms if times_ms else None
