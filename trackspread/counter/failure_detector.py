"""Detects by heartbeats alone which gateways on the same counter are alive; every lease depends on this.

Rules:
- A changed heartbeat was written after the read before the one that returned it. The sending time of that
  earlier read, on this process's own clock, is the time at which the writer is known to have been alive. If
  the counter's clock shows that the heartbeat is older, because it was delayed, the older time counts.
- A heartbeat may have arrived although its reply did not. So after a failed call nothing is written until a
  read was answered, and the last heartbeat that others can have seen is never later than `sent_at_ns`.
- A gateway that was not seen for `LEASE_NS` may be on the other side of a network partition. From `EXPIRY_NS`
  on it has released all but its static share, and so have the gateways that rely on it. A gateway that is
  seen again may have crossed from one side to the other, and the gateways on the side that it left rely on
  its presence for the same time again.

The module does no I/O and does not know tenants or claims.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..decide.time_units import MILLISECOND
from .calls import Reply
from .claims import Heartbeat, unpack_heartbeat
from .timing import EXPIRY_NS, LEASE_NS, PROOF_NS

NEVER = -(1 << 62)  # earlier than any time, in ns
CHANGES_FOR_PROOF = 2  # heartbeats seen since; the first of them may have been sent before


@dataclass(slots=True)
class Observation:
    """Holds what is known of one other gateway.

    `alive_since_ns` is the latest time at which the gateway is known to have been alive.
    """

    heartbeat: Heartbeat
    alive_since_ns: int
    heartbeats_seen: int = 0


class FailureDetector:
    """Holds one partition of the counter as this gateway sees it.

    `sent_at_ns` is when this gateway's last heartbeat was sent; others can have seen none later, nor one of
    an earlier incarnation. `acknowledged_at_ns` is when the last answered heartbeat was sent, `read_at_ns`
    when the last answered read was sent. `token` identifies the counter that answered last, and
    `replacements` counts how often another counter was found in its place. `may_write` allows heartbeats; it
    is unset until the counter's clock was read. `unresponsive` gateways were not seen for `LEASE_NS`, and
    `expired` ones not for `EXPIRY_NS`, at the last review. `returned` has the gateways that were seen again
    and since when; they stay in it for `EXPIRY_NS`.
    """

    def __init__(self, gateway: int, gateway_count: int, incarnation: int, now: int) -> None:
        self.gateway = gateway
        self.gateway_count = gateway_count
        self.incarnation = incarnation
        self.started_at_ns = now
        self.observations: dict[int, Observation] = {}
        self.sequence = 0  # number of this gateway's last heartbeat
        self.sent_at_ns = now
        self.acknowledged_at_ns = NEVER
        self.read_at_ns = NEVER
        self.first_read_at_ns = NEVER
        self.token = b""
        self.token_since_ns = now
        self.replacements = 0
        self.may_write = False
        self._counter_clock_ms = 0
        self._counter_clock_read_at_ns = now  # latest possible time of the reading
        self.unresponsive: frozenset[int] = frozenset()
        self.expired: frozenset[int] = frozenset()
        self.returned: dict[int, int] = {}
        self._raw_fields: dict[int, bytes] = {}  # as last read; unchanged fields are not decoded again
        self._next_review_ns = now  # before this time nothing can change by time alone

    def counter_clock_ms(self, now: int) -> int:
        """Returns the estimate of the counter's clock at `now`, in ms."""
        return self._counter_clock_ms + (now - self._counter_clock_read_at_ns) // MILLISECOND

    def next_heartbeat(self, now: int) -> Heartbeat:
        """Returns the next heartbeat, which is to be written now."""
        self.sequence += 1
        self.sent_at_ns = now
        return Heartbeat(self.incarnation, self.sequence, self.counter_clock_ms(now))

    def on_failure(self) -> None:
        """Requires a read before the next write, as a call on the partition's heartbeats had no reply."""
        self.may_write = False

    def on_reply(self, now: int, sent_at_ns: int, has_value: bool, reply: Reply) -> None:
        """Handles the reply to a call on the partition's heartbeats; `has_value`: the call wrote one."""
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
        """Updates what is known of a gateway from its changed field."""
        heartbeat = unpack_heartbeat(data)
        if heartbeat is None or gateway == self.gateway or not 0 <= gateway < self.gateway_count:
            return
        known = self.observations.get(gateway)
        if known is None:
            # The heartbeat may have been written at any time and may be visible again since a network
            # partition healed, so only a change shows that the writer is alive.
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
        """Returns whether a heartbeat is newer than the known one.

        A lagging replica or a healed partition may return older heartbeats again, also of an earlier
        incarnation; these are ignored. Only if the gateway has expired, an incarnation with a lower number is
        accepted, as the gateway's clock may have been set back.
        """
        if (heartbeat.incarnation, heartbeat.sequence) > (known.incarnation, known.sequence):
            return True
        return gateway in self.expired and heartbeat.incarnation != known.incarnation

    def age_ns(self, now: int, gateway: int) -> int:
        """Returns the time in ns since the gateway was known to be alive.

        For a gateway that was never seen it is the time since the first read.
        """
        known = self.observations.get(gateway)
        if known is not None:
            return now - known.alive_since_ns
        return now - self.first_read_at_ns if self.first_read_at_ns != NEVER else 0

    def is_known_alive(self, now: int) -> bool:
        """Returns whether the other gateways can be assumed to know that this gateway is alive."""
        return now - self.acknowledged_at_ns <= LEASE_NS

    def is_static_share_free(self, now: int) -> bool:
        """Returns whether all other gateways have released this gateway's static share."""
        return now - self.sent_at_ns >= EXPIRY_NS

    def review(self, now: int) -> None:
        """Updates which gateways are unresponsive; it is to be called before anything is decided at `now`."""
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
        """Returns the number of heartbeats seen of each gateway, for `have_all_advanced_since`."""
        return {gateway: known.heartbeats_seen for gateway, known in self.observations.items()}

    def have_all_advanced_since(self, heartbeat_counts: dict[int, int]) -> bool:
        """Returns whether every other gateway has sent a heartbeat since `heartbeat_counts` were taken.

        The first heartbeat since does not count, as it may have been sent before. A gateway that has expired
        counts as advanced, because it holds at most its static share.
        """
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
        """Returns the state for operators: sound, doubted, split, rebuilding or lost.

        `lease.py` defines what may be spent in each state.
        """
        if not self.is_known_alive(now):
            was_known = self.acknowledged_at_ns != NEVER
            return "lost" if was_known or now - self.started_at_ns > EXPIRY_NS else "rebuilding"
        if self.unresponsive - self.expired or not self.may_write:
            return "doubted"
        if self.expired:
            return "split"
        return "rebuilding" if now - self.token_since_ns < PROOF_NS else "sound"
