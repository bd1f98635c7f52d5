"""What a member does with gossip updates, and with other processes under its own name."""

from __future__ import annotations

from msgspec import structs

from .coordination import Coordination
from .identifiers import Address, MemberId
from .lease_maintainer import LeaseMaintainer
from .member_state import MemberState
from .messages import GossipUpdate, Ping, State
from .outbox import Outbox

SUSPECT_PROBES = 6.0  # members, on average, that probe a suspect at once when they learn of the suspicion


class UpdateHandler:
    """Applies updates to the member table, and passes on what is news."""

    def __init__(
        self,
        state: MemberState,
        outbox: Outbox,
        coordination: Coordination,
        lease_maintainer: LeaseMaintainer,
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._coordination = coordination
        self._lease_maintainer = lease_maintainer

    def apply(self, now_ns: int, update: GossipUpdate, reporter: str) -> None:
        """An update by this reporter, another member or this one."""
        state, table = self._state, self._state.member_table
        entry = table.by_name.get(update.name)
        before = entry.update if entry is not None else None
        if not table.apply(now_ns, update, reporter):
            self._check_fencing()
            return
        if update.name == table.own_update.name:
            state.gossip.add(table.own_update)
            state.prober.worsen_health()
            self._outbox.report("cleared", life=table.own_update.incarnation)
            return
        state.gossip.add(update)
        if before is None or before.rank != update.rank:
            self._report_change(before, update, reporter)
            if update.state == State.SUSPECT:
                self._maybe_probe(now_ns, update.name)
        if not table.by_name[update.name].is_present:
            state.slowness.forget(update.name)
        self._release_leases(before, update)

    def own_update_changed(self) -> None:
        """Pass on what this member says of itself."""
        self._state.gossip.add(self._state.member_table.own_update)

    def receive_from_namesake(self, created_at_ms: int, source: Address) -> None:
        """A message from another process under this name: the newer process stays."""
        own = self._state.member_table.own_update
        if created_at_ms > own.created_at_ms:
            self._fence(GossipUpdate(own.name, created_at_ms, 0, State.ALIVE, *source))
        else:
            namesake: MemberId = own.name, created_at_ms
            self._outbox.send(source, Ping(self._state.prober.next_sequence(), namesake), (own,))

    def _report_change(self, before: GossipUpdate | None, update: GossipUpdate, reporter: str) -> None:
        if before is None or _reported_values(before) != _reported_values(update):
            self._outbox.report(
                "member",
                who=update.member_id,
                state=State(update.state).name,
                life=update.incarnation,
                slow=update.slow,
                by=reporter,
            )

    def _maybe_probe(self, now_ns: int, name: str) -> None:
        """Probe a suspect out of turn, with a chance that lets `SUSPECT_PROBES` members do so."""
        state = self._state
        chance = SUSPECT_PROBES / max(1, state.member_table.present_count())
        if state.rng.random() >= chance:
            return
        update = state.member_table.by_name[name].update
        probe = state.prober.start(now_ns, update.member_id)
        if probe is not None:
            self._outbox.ping(update, probe.sequence)

    def _release_leases(self, before: GossipUpdate | None, update: GossipUpdate) -> None:
        """As the coordinator: free the slots of processes that have surely stopped."""
        if self._coordination.coordinator is None:
            return
        leases = self._coordination.coordinator.leases
        if update.state == State.LEFT:
            leases.release(update.member_id)  # it gave its lease up before it said so
        if before is None:
            return
        if before.created_at_ms < update.created_at_ms and before.address == update.address:
            leases.release(before.member_id)  # an address has one process: the former one is gone

    def _check_fencing(self) -> None:
        """Give way to a newer process under this name.

        One at this very address, or one that is gone, can only be a former process whose clock was ahead.
        """
        table = self._state.member_table
        namesake = table.newer_process
        if namesake is None:
            return
        table.newer_process = None
        if namesake.address != self._state.settings.address and namesake.state < State.DEAD:
            self._fence(namesake)
            return
        table.own_update = structs.replace(
            table.own_update, created_at_ms=namesake.created_at_ms + 1, incarnation=0
        )
        self._state.lease.give_up()
        self.own_update_changed()
        self._outbox.report("renamed", who=self._state.member_id)

    def _fence(self, namesake: GossipUpdate) -> None:
        self._lease_maintainer.release()
        self._coordination.resign()
        self._state.has_left = True
        self._state.is_fenced = True
        self._outbox.report("fenced", by=namesake.member_id, at=namesake.address)


def _reported_values(update: GossipUpdate) -> tuple[int, int, bool]:
    return update.state, update.created_at_ms, update.slow
