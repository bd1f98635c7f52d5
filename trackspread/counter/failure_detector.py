"""Which gateways are alive on the same counter, by heartbeats alone: the evidence that every lease rests on.

Rules:
- A heartbeat that changed was written after the read before the one that showed it: that read's sending is
  the time from which its writer is known to have lived, by this process's own clock. Where the counter's
  clock says that the heartbeat is older still, as it was delayed on its way, that holds.
- A heartbeat may have arrived although its reply did not. So after a call that failed nothing is written
  until a read was answered: the last heartbeat that others can have seen is never later than `sent_at_ns`.
- A gateway that has not been seen for `LEASE_NS` may be in the other half of a partition; from `EXPIRY_NS` on
  it has let go of all but its static share, and so have those that count on it. One that is seen again may
  have crossed from one half to the other: those that it left count on its being there for as long again.

No I/O; knows nothing of tenants or claims.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..decide.time_units import MILLISECOND
from .calls import Reply
from .claims import Heartbeat, unpack_heartbeat
from .timing import EXPIRY_NS, LEASE_NS, PROOF_NS

NEVER = -(1 << 62)  # ns, before any time
CHANGES_FOR_PROOF = 2  # heartbeats: the first may have been under way


@dataclass(slots=True)
class Observation:
    """One other gateway. `alive_since_ns`: the latest time at which it is known to have been alive."""

    heartbeat: Heartbeat
    alive_since_ns: int
    heartbeats_seen: int = 0


class FailureDetector:
    """One partition of the counter as this gateway sees it."""

    def __init__(self, gateway: int, gateway_count: int, incarnation: int, now: int) -> None:
        self.gateway = gateway
        self.gateway_count = gateway_count
        self.incarnation = incarnation
        self.started_at_ns = now
        self.observations: dict[int, Observation] = {}
        self.sequence = 0  # of this gateway's heartbeats
        # Of the last heartbeat: others can have seen none later, nor one of a former incarnation.
        self.sent_at_ns = now
        self.acknowledged_at_ns = NEVER  # sending of the last heartbeat that was answered
        self.read_at_ns = NEVER  # sending of the last read that was answered
        self.first_read_at_ns = NEVER
        self.token = b""  # of the counter that answered last
        self.token_since_ns = now
        self.replacements = 0  # times that another counter was found in its place
        self.may_write = False  # heartbeats: the counter's clock is read first
        self._counter_clock_ms = 0
        self._counter_clock_read_at_ns = now  # not before
        self.unresponsive: frozenset[int] = frozenset()  # not seen for `LEASE_NS`, at the last review
        self.expired: frozenset[int] = frozenset()  # nor for `EXPIRY_NS`
        self.returned: dict[int, int] = {}  # seen again, and since when: for `EXPIRY_NS`
        self._raw_fields: dict[int, bytes] = {}  # as last read: most have not changed
        self._next_review_ns = now  # until then nothing can have changed by time alone

    def counter_clock_ms(self, now: int) -> int:
        """The counter's clock at `now`, ms, as far as is known."""
        return self._counter_clock_ms + (now - self._counter_clock_read_at_ns) // MILLISECOND

    def next_heartbeat(self, now: int) -> Heartbeat:
        """The next sign of life; to be written now."""
        self.sequence += 1
        self.sent_at_ns = now
        return Heartbeat(self.incarnation, self.sequence, self.counter_clock_ms(now))

    def on_failure(self) -> None:
        """A call on this partition's heartbeats had no reply: a read comes before the next write."""
        self.may_write = False

    def on_reply(self, now: int, sent_at_ns: int, has_value: bool, reply: Reply) -> None:
        """The reply to a call on this partition's heartbeats; `has_value`: it wrote one."""
        if sent_at_ns <= self.read_at_ns:
            return
        if self.first_read_at_ns == NEVER:
            self.first_read_at_ns = sent_at_ns
            self._next_review_ns = sent_at_ns
        if has_value:
            self.acknowledged_at_ns = sent_at_ns
        self._counter_clock_ms = reply.clock_ms
        self._counter_clock_read_at_ns = now
        if reply.token != self.token:
            if self.token:
                self.replacements += 1
            self.token = reply.token
            self.token_since_ns = now
        for gateway, data in reply.fields.items():
            if self._raw_fields.get(gateway) != data:
                self._raw_fields[gateway] = data
                self._observe(now, sent_at_ns, gateway, data, reply.clock_ms)
        self.read_at_ns = sent_at_ns

    def _observe(self, now: int, sent_at_ns: int, gateway: int, data: bytes, clock_ms: int) -> None:
        """Take in a field that has changed."""
        heartbeat = unpack_heartbeat(data)
        if heartbeat is None or gateway == self.gateway or not 0 <= gateway < self.gateway_count:
            return
        known = self.observations.get(gateway)
        if known is None:
            # It may have been written at any time, and come back with a heal: only changes are signs of life.
            self.observations[gateway] = Observation(heartbeat, self.first_read_at_ns)
            self._next_review_ns = now
            return
        if not self._is_newer(gateway, heartbeat, known.heartbeat):
            return
        written_at_ns = sent_at_ns - max(0, clock_ms - heartbeat.clock_ms) * MILLISECOND
        alive_since_ns = max(known.alive_since_ns, min(self.read_at_ns, written_at_ns))
        self.observations[gateway] = Observation(heartbeat, alive_since_ns, known.heartbeats_seen + 1)
        if gateway in self.unresponsive:
            self._next_review_ns = now

    def _is_newer(self, gateway: int, heartbeat: Heartbeat, known: Heartbeat) -> bool:
        """What a lagging replica or a healed half brings up again, also of a former incarnation, says nothing
        new; but where none lived for long, an incarnation whose clock was set back is believed."""
        if (heartbeat.incarnation, heartbeat.sequence) > (known.incarnation, known.sequence):
            return True
        return gateway in self.expired and heartbeat.incarnation != known.incarnation

    def age_ns(self, now: int, gateway: int) -> int:
        """Since the gateway is known to have lived; since the first read, for one never seen."""
        known = self.observations.get(gateway)
        if known is not None:
            return now - known.alive_since_ns
        return now - self.first_read_at_ns if self.first_read_at_ns != NEVER else 0

    def is_known_alive(self, now: int) -> bool:
        """Whether others can be taken to know that this gateway lives."""
        return now - self.acknowledged_at_ns <= LEASE_NS

    def is_static_share_free(self, now: int) -> bool:
        """Whether all others have let go of this gateway's static share."""
        return now - self.sent_at_ns >= EXPIRY_NS

    def review(self, now: int) -> None:
        """Note which gateways are unresponsive; to be called before anything is decided at `now`."""
        if now < self._next_review_ns:
            return
        others = (gateway for gateway in range(self.gateway_count) if gateway != self.gateway)
        ages = {gateway: self.age_ns(now, gateway) for gateway in others}
        unresponsive = frozenset(gateway for gateway, age in ages.items() if age > LEASE_NS)
        self.returned = {
            gateway: since
            for gateway, since in self.returned.items()
            if now - since <= EXPIRY_NS and gateway not in unresponsive
        }
        self.returned.update(dict.fromkeys(self.unresponsive - unresponsive, now))
        self.unresponsive = unresponsive
        self.expired = frozenset(gateway for gateway, age in ages.items() if age > EXPIRY_NS)
        changes = [
            (EXPIRY_NS if age > LEASE_NS else LEASE_NS) - age for age in ages.values() if age <= EXPIRY_NS
        ]
        changes += [since + EXPIRY_NS - now for since in self.returned.values()]
        self._next_review_ns = now + 1 + min(changes, default=EXPIRY_NS)

    def heartbeat_counts(self) -> dict[int, int]:
        """Heartbeats seen of each gateway, for `have_all_advanced_since`."""
        return {gateway: known.heartbeats_seen for gateway, known in self.observations.items()}

    def have_all_advanced_since(self, heartbeat_counts: dict[int, int]) -> bool:
        """Whether every other gateway has shown a heartbeat since, beyond the one that may have been under
        way, or has been unresponsive for so long that it holds its static share at most."""
        return all(
            self._has_advanced_since(gateway, heartbeat_counts)
            for gateway in range(self.gateway_count)
            if gateway != self.gateway
        )

    def _has_advanced_since(self, gateway: int, heartbeat_counts: dict[int, int]) -> bool:
        if gateway in self.expired:
            return True
        known = self.observations.get(gateway)
        if known is None:
            return False
        return known.heartbeats_seen >= heartbeat_counts.get(gateway, 0) + CHANGES_FOR_PROOF

    def state(self, now: int) -> str:
        """For operators: sound, doubted, split, rebuilding or lost; `lease.py` says what may be spent in
        each."""
        if not self.is_known_alive(now):
            was_known = self.acknowledged_at_ns != NEVER
            return "lost" if was_known or now - self.started_at_ns > EXPIRY_NS else "rebuilding"
        if self.unresponsive - self.expired or not self.may_write:
            return "doubted"
        if self.expired:
            return "split"
        return "rebuilding" if now - self.token_since_ns < PROOF_NS else "sound"
