"""Defines the settings of one member."""

from __future__ import annotations

from typing import NamedTuple

from .identifiers import MS, NO_POSITION, SECOND, Address, ListPosition, MemberId


class MemberSettings(NamedTuple):
    """Holds the settings of one member.

    All members have the same `seeds` in the same order; the seeds elect the coordinator.
    """

    fleet: str
    name: str
    created_at_ms: int  # wall-clock time
    address: Address  # the address at which other members reach this one
    seeds: tuple[Address, ...]
    version: str = ""
    probe_interval_ns: int = 300 * MS  # time between two probes
    max_members: int = 64  # limit of the fleet; the member table holds twice as many, with gone members
    position: ListPosition = NO_POSITION
    lease_duration_ns: int = 30 * SECOND  # lifetime of a slot lease without renewal; equal at all members

    @property
    def member_id(self) -> MemberId:
        """Returns the name and creation time of this process."""
        return self.name, self.created_at_ms
