"""Settings of one member."""

from __future__ import annotations

from typing import NamedTuple

from .identifiers import MS, NO_POSITION, SECOND, Address, ListPosition, MemberId


class MemberSettings(NamedTuple):
    """Settings of one member. `seeds`: the same in the same order everywhere; they elect the coordinator."""

    fleet: str
    name: str
    created_at_ms: int  # wall clock
    address: Address  # by which others reach it
    seeds: tuple[Address, ...]
    version: str = ""
    probe_interval_ns: int = 300 * MS  # between two probes
    max_members: int = 64  # of the fleet; the member table has up to twice as many, with those that are gone
    position: ListPosition = NO_POSITION
    lease_duration_ns: int = 30 * SECOND  # of slots, without renewal; the same in all of the fleet

    @property
    def member_id(self) -> MemberId:
        """Name and creation time of this process."""
        return self.name, self.created_at_ms
