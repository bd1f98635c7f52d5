"""Checks the invariants of distributed configuration from the replicas' commits and the gateways' versions.

The checks know committed entries, versions in use and their times, and do not depend on how these came about.
"""

from __future__ import annotations

from ....distribution.log import Snapshot
from ....decide.time_units import SECOND
from ....distribution.versions import NO_VERSION, Entry, Version

IN_FORCE_NS = 9 * SECOND  # time from a commit until all reachable gateways use it


class InvariantViolated(Exception):
    """Signals that an invariant does not hold; the text says which."""


class InvariantChecker:
    """Checks the records of one fleet.

    `committed` has the committed entries by version, with the time of the first report of the commit.
    """

    def __init__(self) -> None:
        self.committed: dict[Version, tuple[int, Entry]] = {}
        self.newest = NO_VERSION
        self._by_sequence: dict[tuple[int, int], Entry] = {}
        self._states: dict[Version, Snapshot] = {NO_VERSION: {}}
        self._numbered: dict[Version, str] = {}
        self.versions_in_use: dict[str, Version] = {}

    def record_numbered(self, by: str, version: Version) -> None:
        """Records that a leader gave this version to a change."""
        if self._numbered.setdefault(version, by) != by:
            raise InvariantViolated(f"{self._numbered[version]} and {by} both gave version {version}")

    def record_committed(self, now: int, by: str, entry: Entry) -> None:
        """Records that a replica, which may be the leader, counts this entry as committed."""
        version = entry.version
        known = self._by_sequence.setdefault((version.history, version.sequence), entry)
        if known != entry:
            raise InvariantViolated(f"{by} commits {entry}, but {known} is committed with that sequence")
        if version not in self.committed:
            self.committed[version] = now, entry
            self.newest = max(self.newest, version)

    def state_at(self, version: Version) -> Snapshot:
        """Returns the values of a version; raises `InvariantViolated` if it was never committed."""
        if version not in self._states:
            if version not in self.committed:
                raise InvariantViolated(f"version {version} is in use and was never committed")
            entry = self.committed[version][1]
            before = self._before(version)
            values = dict(self.state_at(before))
            if entry.service:
                keys = {key: each for key, each in values.get(entry.service, {}).items() if key != entry.key}
                values[entry.service] = keys | ({entry.key: entry} if entry.value is not None else {})
                if not values[entry.service]:
                    del values[entry.service]
            self._states[version] = values
        return self._states[version]

    def _before(self, version: Version) -> Version:
        lower = [v for v in self.committed if v.sequence == version.sequence - 1 and v < version]
        if not lower and version.sequence > 1:
            raise InvariantViolated(f"the version before {version} was never committed")
        return max(lower, default=NO_VERSION)

    def record_use(
        self,
        gateway: str,
        version: Version,
        snapshot: Snapshot,
        services: frozenset[str] | None,
    ) -> None:
        """Records that a gateway's process uses these values as those of this version."""
        if version <= self.versions_in_use.get(gateway, NO_VERSION):
            raise InvariantViolated(
                f"{gateway} returns from version {self.versions_in_use[gateway]} to {version}"
            )
        self.versions_in_use[gateway] = version
        state = self.state_at(version)
        expected = {s: keys for s, keys in state.items() if services is None or s in services}
        if snapshot != expected:
            raise InvariantViolated(f"{gateway} uses values that differ from those of version {version}")

    def record_start(self, gateway: str) -> None:
        """Records the start of a new process of this gateway, which has no values yet."""
        self.versions_in_use.pop(gateway, None)

    def overdue_reason(self, now: int, gateways: list[str]) -> str:
        """Returns which gateways do not use a version that is due, or an empty text.

        A version is due `IN_FORCE_NS` after its commit.
        """
        due = max((v for v, (at, _) in self.committed.items() if now - at > IN_FORCE_NS), default=NO_VERSION)
        late = [name for name in gateways if self.versions_in_use.get(name, NO_VERSION) < due]
        return f"{late[0]} and {len(late) - 1} others do not use version {due}" if late else ""
