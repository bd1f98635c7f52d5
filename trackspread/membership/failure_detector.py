"""Probes members, suspects members that do not answer, and declares suspects dead."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import structs

from .identifiers import Address
from .lease_maintainer import LeaseMaintainer
from .member_state import MemberState
from .member_table import MemberEntry
from .messages import Ack, Nack, Ping, PingRequest, SlownessReport, State
from .outbox import Outbox
from .prober import HELPERS, Probe
from .suspicion import suspicion_timeout_ns
from .update_handler import UpdateHandler

MAX_RELAYED_PINGS = 64  # limit of pings in progress for other members; further requests are ignored


class _RelayedPing(NamedTuple):
    """Holds a ping sent at another member's request."""

    sequence: int  # the requester's sequence number
    requester: Address
    expires_at_ns: int


class FailureDetector:
    """Runs failure detection at one member."""

    def __init__(
        self, state: MemberState, outbox: Outbox, updates: UpdateHandler, lease_maintainer: LeaseMaintainer
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._updates = updates
        self._lease_maintainer = lease_maintainer
        self._relayed: dict[int, _RelayedPing] = {}  # keyed by this member's own sequence number

    def tick(self, now_ns: int) -> None:
        """Sends the pings that are due, and updates the state of members that have not answered."""
        self._start_probe(now_ns)
        for probe in self._state.prober.make_indirect(now_ns):
            self._request_pings(now_ns, probe)
        self._suspect_failed(now_ns)
        self._expire_relayed(now_ns)
        self._declare_dead(now_ns)
        self._update_own_slowness(now_ns)

    def receive_ping(self, ping: Ping, source: Address) -> None:
        """Answers a ping; a nack tells the sender that the target is a former process of this name."""
        if ping.target == self._state.member_id:
            self._outbox.send(source, Ack(ping.sequence, self._state.lease.first_epoch))
        elif ping.target[0] == self._state.member_table.own_update.name:
            self._outbox.send(source, Nack(ping.sequence), (self._state.member_table.own_update,))

    def receive_ack(self, now_ns: int, ack: Ack) -> None:
        """Handles the ack of a relayed ping, of a ping that keeps contact with a seed, or of a probe."""
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None:
            self._outbox.send(relayed.requester, Ack(relayed.sequence))
            return
        if self._lease_maintainer.receive_seed_ack(now_ns, ack):
            return
        result = self._state.prober.record_ack(ack.sequence)
        if result is None:
            return
        entry = self._state.member_table.by_name.get(result.member_id[0])
        if entry is not None:
            self._record_answer(now_ns, entry, late=not result.in_time)

    def receive_ping_request(self, now_ns: int, request: PingRequest, source: Address) -> None:
        """Pings a member on behalf of another."""
        if len(self._relayed) >= MAX_RELAYED_PINGS:
            return
        sequence = self._state.prober.next_sequence()
        expires_at_ns = now_ns + self._state.settings.probe_interval_ns // 3
        self._relayed[sequence] = _RelayedPing(request.sequence, source, expires_at_ns)
        self._outbox.send((request.host, request.port), Ping(sequence, request.target))

    def _start_probe(self, now_ns: int) -> None:
        table, prober = self._state.member_table, self._state.prober
        if not prober.start_interval(now_ns):
            return
        table.remove_expired(now_ns)
        probe = prober.start_next(now_ns, [entry.update.member_id for entry in table.present()])
        if probe is not None:
            self._outbox.ping(table.by_name[probe.member_id[0]].update, probe.sequence)

    def _request_pings(self, now_ns: int, probe: Probe) -> None:
        """Asks helpers to ping a late member, and pings it again, because the first ping may be lost."""
        table = self._state.member_table
        entry = table.by_name.get(probe.member_id[0])
        if entry is None:
            return
        others = [
            other for other in table.present() if other is not entry and other.update.state == State.ALIVE
        ]
        self._record_answer(now_ns, entry, late=True)
        helpers = self._state.rng.sample(others, min(HELPERS, len(others)))
        probe.helpers = len(helpers)
        target = entry.update
        request = PingRequest(probe.sequence, target.member_id, target.host, target.port)
        for helper in helpers:
            self._outbox.send(helper.update.address, request)
        self._outbox.ping(target, probe.sequence)

    def _suspect_failed(self, now_ns: int) -> None:
        table = self._state.member_table
        for member_id in self._state.prober.take_failed(now_ns):
            entry = table.by_name.get(member_id[0])
            if entry is not None and entry.update.member_id == member_id and entry.is_present:
                suspicion = structs.replace(entry.update, state=State.SUSPECT)
                self._updates.apply(now_ns, suspicion, table.own_update.name)

    def _expire_relayed(self, now_ns: int) -> None:
        for sequence, relayed in list(self._relayed.items()):
            if now_ns >= relayed.expires_at_ns:
                del self._relayed[sequence]
                self._outbox.send(relayed.requester, Nack(relayed.sequence))

    def _record_answer(self, now_ns: int, entry: MemberEntry, late: bool) -> None:
        """Counts an answer, and notifies the member while it is observed as slow."""
        slow = self._state.slowness.record_answer(now_ns, entry.update.name, late)
        if slow is not None:
            self._outbox.send(entry.update.address, SlownessReport(entry.update.member_id, slow))

    def _declare_dead(self, now_ns: int) -> None:
        table = self._state.member_table
        name = table.own_update.name
        for suspect in [entry for entry in table.present() if entry.update.state == State.SUSPECT]:
            if now_ns - suspect.since_ns >= self._suspicion_timeout_ns(suspect):
                self._updates.apply(now_ns, structs.replace(suspect.update, state=State.DEAD), name)

    def _suspicion_timeout_ns(self, suspect: MemberEntry) -> int:
        state = self._state
        return suspicion_timeout_ns(
            len(suspect.suspected_by),
            state.member_table.present_count(),
            state.settings.probe_interval_ns,
            state.prober.timeout_factor(),
        )

    def _update_own_slowness(self, now_ns: int) -> None:
        state, own = self._state, self._state.member_table.own_update
        slow = state.slowness.is_slow(now_ns, state.member_table.present_count(), state.prober.health)
        if slow != own.slow:
            changed = structs.replace(own, incarnation=own.incarnation + 1, slow=slow)
            state.member_table.own_update = changed
            self._updates.own_update_changed()
            self._outbox.report("slow" if slow else "well")
