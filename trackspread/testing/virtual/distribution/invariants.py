"""What must hold of configuration handed down, decided from what replicas committed and gateways acted on.

May know: committed entries, versions acted on, when. May not know: how either came to be.
"""

from __future__ import annotations

from ....distribution.log import Snapshot
from ....decide.time_units import SECOND
from ....distribution.versions import NO_VERSION, Entry, Version

IN_FORCE = 9 * SECOND  # ns from a commit until all that are in reach act on it


class InvariantViolated(Exception):
    """An invariant does not hold; the text says which."""


class Judged:
    """One fleet's. `committed`: by version, with when that was first told anywhere."""

    def __init__(self) -> None:
        self.committed: dict[Version, tuple[int, Entry]] = {}
        self.newest = NO_VERSION
        self._by_sequence: dict[tuple[int, int], Entry] = {}
        self._states: dict[Version, Snapshot] = {NO_VERSION: {}}
        self._numbered: dict[Version, str] = {}
        self.acted: dict[str, Version] = {}

    def numbered(self, by: str, version: Version) -> None:
        """A leader gave this version to a change."""
        if self._numbered.setdefault(version, by) != by:
            raise InvariantViolated(f"{version} is given by {self._numbered[version]} and by {by}")

    def commits(self, now: int, by: str, entry: Entry) -> None:
        """A replica, a leader or not, takes this entry for committed."""
        version = entry.version
        known = self._by_sequence.setdefault((version.history, version.sequence), entry)
        if known != entry:
            raise InvariantViolated(f"{by} commits {entry}, committed at that place is {known}")
        if version not in self.committed:
            self.committed[version] = now, entry
            self.newest = max(self.newest, version)

    def state(self, version: Version) -> Snapshot:
        """Values in force at this version; raises `InvariantViolated` for one that was never committed."""
        if version not in self._states:
            if version not in self.committed:
                raise InvariantViolated(f"{version} is acted on, and was never committed")
            entry = self.committed[version][1]
            before = self._before(version)
            made = dict(self.state(before))
            if entry.service:
                keys = {key: each for key, each in made.get(entry.service, {}).items() if key != entry.key}
                made[entry.service] = keys | ({entry.key: entry} if entry.value is not None else {})
                if not made[entry.service]:
                    del made[entry.service]
            self._states[version] = made
        return self._states[version]

    def _before(self, version: Version) -> Version:
        lower = [v for v in self.committed if v.sequence == version.sequence - 1 and v < version]
        if not lower and version.sequence > 1:
            raise InvariantViolated(f"what {version} follows was never committed")
        return max(lower, default=NO_VERSION)

    def acts(
        self,
        gateway: str,
        version: Version,
        snapshot: Snapshot,
        services: frozenset[str] | None,
    ) -> None:
        """A process of a gateway acts on these values, as those of this version."""
        if version <= self.acted.get(gateway, NO_VERSION):
            raise InvariantViolated(f"{gateway} goes from {self.acted[gateway]} back to {version}")
        self.acted[gateway] = version
        state = self.state(version)
        expected = {s: keys for s, keys in state.items() if services is None or s in services}
        if snapshot != expected:
            raise InvariantViolated(f"{gateway} acts on other values than those of {version}")

    def starts(self, gateway: str) -> None:
        """A new process of this gateway, which holds nothing."""
        self.acted.pop(gateway, None)

    def missing(self, now: int, gateways: list[str]) -> str:
        """Whether what was committed long enough ago is in force at all of these: nothing, or what is
        amiss."""
        due = max((v for v, (at, _) in self.committed.items() if now - at > IN_FORCE), default=NO_VERSION)
        late = [name for name in gateways if self.acted.get(name, NO_VERSION) < due]
        return f"{late[0]} and {len(late) - 1} others do not act on {due}" if late else ""
