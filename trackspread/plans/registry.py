"""The plan registry: every version of the plans' figures, from when on each is in force, and why.

May know: figures, moments. May not know: files, clocks, the decision module. Rules:

- A version is never changed and never taken out; one that is not in force yet may be withdrawn, and stays in
  the registry as that.
- Numbers count up by one, moments strictly forward, over those that were not withdrawn.
- A version is made known at least `NOTICE_MS` before it is in force: who reads the registry once a second has
  it by then, and takes it up at the same moment as all others. Who reads it late says by how much.
- Version 0 is the platform's settings: what a registry does not name holds as the platform has it.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..storage.document import Schema
from .calendar import Fleet, Reservation, change_times, reserved
from .notice import NOTICE_MS, PlanError

VERSIONS_MOST = 1_000  # in one registry: a change a day for three years
SCHEMA = Schema("plan-book", 2, {1: lambda body: body | {"fleet": None, "reservations": []}})
Figure = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class Figures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One plan's, for each member over all gateways: units a second and units; 0 for no such limit."""

    rate: Figure
    burst: Figure
    open_limit: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    ceiling_rate: Figure = 0.0
    ceiling_burst: Figure = 0.0
    ceiling_slack: Figure = 0.0


Plans = dict[str, Figures]


class Version(msgspec.Struct, frozen=True):
    """`plans`: all that this version names, whether they changed or not. Moments are Unix ms."""

    number: int
    since: int
    made: int
    note: str
    plans: Plans
    withdrawn: int = 0  # when; 0: it was not


class PlanRegistry(msgspec.Struct, frozen=True):
    """`fleet`: what reservations are admitted against; None: none can be."""

    versions: tuple[Version, ...] = ()
    fleet: Fleet | None = None
    reservations: tuple[Reservation, ...] = ()


def standing(registry: PlanRegistry) -> list[Version]:
    """The versions that were not withdrawn, in order."""
    return [version for version in registry.versions if not version.withdrawn]


def in_force(registry: PlanRegistry, now: int) -> Version | None:
    """The version at `now`; None for version 0."""
    begun = [version for version in standing(registry) if version.since <= now]
    return begun[-1] if begun else None


def upcoming(registry: PlanRegistry, now: int) -> Version | None:
    """The next one."""
    return next((version for version in standing(registry) if version.since > now), None)


def applied(
    registry: PlanRegistry, plans: Plans, since: int, now: int, note: str, names: set[str] | None = None
) -> PlanRegistry:
    """The registry with one version more; raises `PlanError`. `names`: the plans there are, where known."""
    check(plans, names)
    last = max([version.since for version in standing(registry)], default=0)
    if since < now + NOTICE_MS:
        raise PlanError(
            f"from: found a moment {(since - now) / 1000:.1f} s from now, wanted at least "
            f"{NOTICE_MS / 1000:g} s: gateways have to read it first"
        )
    if since <= last:
        raise PlanError(
            "from: found a moment before that of a version that stands, wanted a later one "
            "(or withdraw that one)"
        )
    if len(registry.versions) >= VERSIONS_MOST:
        raise PlanError(f"found {VERSIONS_MOST} versions, wanted a new registry")
    number = max([version.number for version in registry.versions], default=0) + 1
    return msgspec.structs.replace(
        registry, versions=(*registry.versions, Version(number, since, now, note, plans))
    )


def withdrawn(registry: PlanRegistry, number: int, now: int) -> PlanRegistry:
    """The registry with a version taken back that is not in force yet, in time for all to hear of it."""
    version = next((each for each in registry.versions if each.number == number), None)
    if version is None or version.withdrawn:
        raise PlanError(f"version: found {number}, wanted one that stands")
    if version.since < now + NOTICE_MS:
        raise PlanError(
            f"version: {number} is in force within {NOTICE_MS / 1000:g} s or already, wanted a "
            "later one: apply the former figures anew"
        )
    changed = msgspec.structs.replace(version, withdrawn=now)
    versions = tuple(changed if each is version else each for each in registry.versions)
    return msgspec.structs.replace(registry, versions=versions)


def check(plans: Plans, names: set[str] | None) -> None:
    """Figures that can be held; raises `PlanError` with the key."""
    if not plans:
        raise PlanError("plans: found none, wanted at least one")
    for name, figures in plans.items():
        if names is not None and name not in names:
            raise PlanError(f"plans.{name}: found an unknown plan, wanted one of {', '.join(sorted(names))}")
        if (figures.rate > 0.0) != (figures.burst > 0.0):
            raise PlanError(
                f"plans.{name}: found rate {figures.rate:g} and burst {figures.burst:g}, wanted "
                "both over 0, or both 0 for no quota"
            )
        ceilings = figures.ceiling_rate, figures.ceiling_burst
        if (ceilings[0] > 0.0) != (ceilings[1] > 0.0):
            raise PlanError(
                f"plans.{name}: found ceiling_rate {ceilings[0]:g} and ceiling_burst "
                f"{ceilings[1]:g}, wanted both over 0, or both 0 for no ceiling"
            )
        if figures.ceiling_slack > ceilings[1]:
            raise PlanError(
                f"plans.{name}.ceiling_slack: found {figures.ceiling_slack:g}, wanted at most "
                f"ceiling_burst, {ceilings[1]:g}"
            )


def differences(old: Plans, new: Plans) -> list[str]:
    """Line by line, what `new` changes."""
    lines = []
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


class VersionFollower:
    """One gateway's: which version it has taken up, and when the next is due. The clock is handed in."""

    def __init__(self) -> None:
        self.registry = PlanRegistry()
        self.number = 0
        self.reserved: dict[int, float] = {}

    def read(self, registry: PlanRegistry) -> None:
        """The registry as it was just read."""
        self.registry = registry

    def due(self, now: int) -> tuple[Version | None, int] | None:
        """The version that is to be taken up now (None: the platform's own figures), and how many ms late;
        None where nothing changes."""
        version = in_force(self.registry, now)
        number = version.number if version is not None else 0
        if number == self.number:
            return None
        self.number = number
        return version, max(0, now - version.since) if version is not None else 0

    def reservations(self, now: int) -> dict[int, float] | None:
        """By member, the rate that is reserved from now on; None where nothing changes."""
        rates = reserved(self.registry.reservations, now)
        if rates == self.reserved:
            return None
        self.reserved = rates
        return rates

    def wait(self, now: int) -> int | None:
        """ms until the next version or reservation begins, or one ends."""
        version = upcoming(self.registry, now)
        coming = [moment for moment in change_times(self.registry.reservations) if moment > now]
        coming += [version.since] if version is not None else []
        return min(coming) - now if coming else None
