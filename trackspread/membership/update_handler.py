"""Handles gossip updates, and other processes under the member's own name."""

from __future__ import annotations

from msgspec import structs

from .coordination import Coordination
from .identifiers import Address, MemberId
from .lease_maintainer import LeaseMaintainer
from .member_state import MemberState
from .messages import GossipUpdate, Ping, State
from .outbox import Outbox

SUSPECT_PROBES = 6.0  # mean number of members that probe a suspect as soon as they learn of the suspicion


class UpdateHandler:
    """Applies updates to the member table, and forwards those that changed it."""

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
        """Applies an update by this reporter, which is another member or this one."""
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
                self._probe_suspect(now_ns, update.name)
        if not table.by_name[update.name].is_present:
            state.slowness.forget(update.name)
        self._release_leases(before, update)

    def own_update_changed(self) -> None:
        """Queues this member's own changed update for gossip."""
        self._state.gossip.add(self._state.member_table.own_update)

    def receive_from_namesake(self, created_at_ms: int, source: Address) -> None:
        """Handles a message from another process under this name, of which the newer one stays."""
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

    def _probe_suspect(self, now_ns: int, name: str) -> None:
        """Probes a suspect out of turn, with a probability by which `SUSPECT_PROBES` members do so."""
        state = self._state
        probability = SUSPECT_PROBES / max(1, state.member_table.present_count())
        if state.rng.random() >= probability:
            return
        update = state.member_table.by_name[name].update
        probe = state.prober.start(now_ns, update.member_id)
        if probe is not None:
            self._outbox.ping(update, probe.sequence)

    def _release_leases(self, before: GossipUpdate | None, update: GossipUpdate) -> None:
        """Frees, as the coordinator, the slots of processes that have certainly stopped."""
        if self._coordination.coordinator is None:
            return
        leases = self._coordination.coordinator.leases
        if update.state == State.LEFT:
            leases.release(update.member_id)  # a member gives up its lease before it announces its departure
        if before is None:
            return
        if before.created_at_ms < update.created_at_ms and before.address == update.address:
            leases.release(before.member_id)  # an address has only one process, so the former one has ended

    def _check_fencing(self) -> None:
        """Fences this process if a newer one runs under its name.

        A newer creation time at this member's own address, or of a gone process, can only belong to a former
        process whose clock was ahead; this process then takes a creation time after it.
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
