"""Defines mutants of membership, which the worlds and the judge of membership records must detect.

Each breaks one rule of `membership/` by patches that are reverted. `benchmarks.membership` also plants those
in its `ON_PROCESSES` in running gateways.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any
from unittest.mock import patch

from ....membership import slot_leases
from ....membership.coordination import Coordination
from ....membership.coordinator import Coordinator
from ....membership.discovery import Discovery
from ....membership.failure_detector import FailureDetector
from ....membership.identifiers import MS, SECOND, Address, Epoch, MemberId
from ....membership.lease_timing import holder_duration_ns
from ....membership.member_table import MemberEntry, MemberTable
from ....membership.messages import GossipUpdate, Leader, View
from ....membership.prober import Prober
from ....membership.slot_lease import SlotLease
from ....membership.slot_leases import SlotGrant, SlotLeases
from ....membership.update_handler import UpdateHandler
from ....planning.election import Election
from ..patches import applied
from .schedules import make, play
from .world import InvariantViolated, World

_REAL_INIT = SlotLeases.__init__


def _incarnation_ignored() -> list[Any]:
    """Keeps a member suspected or dead, whatever incarnation it announces later."""
    rank = property(lambda self: (self.created_at_ms, 0, self.state))
    return [patch.object(GossipUpdate, "rank", rank)]


def _suspicion_not_refuted() -> list[Any]:
    """Does not refute a suspicion."""
    real = MemberTable._refute

    def mutant(self: MemberTable, update: GossipUpdate) -> bool:
        return real(self, update) if update.created_at_ms > self.own_update.created_at_ms else False

    return [patch.object(MemberTable, "_refute", mutant)]


def _minority_leads() -> list[Any]:
    """Elects a coordinator with a single vote."""
    real = Election.__init__

    def mutant(self: Election, *arguments: Any) -> None:
        real(self, *arguments)
        self._majority = 1

    return [patch.object(Election, "__init__", mutant)]


def _coordinates_after_lease() -> list[Any]:
    """Continues to coordinate after the coordinator's lease has expired."""

    def is_coordinator(self: Coordination, now: int) -> bool:
        return self.coordinator is not None

    def tick(self: Coordination, now: int) -> None:
        epoch = self.acceptor.epoch()
        if epoch is None:
            return
        self._send_votes(self.acceptor.tick(now))
        state = self._state
        if self.acceptor.is_owner(now) and self.coordinator is None:
            epoch = self.acceptor.epoch()
            assert epoch is not None
            settings = state.settings
            self.coordinator = Coordinator(
                now, epoch, state.view, len(settings.seeds), settings.lease_duration_ns
            )
            self.record_leader(now, Leader(epoch, state.member_id, *settings.address))
        if self.coordinator is not None and (
            view := self.coordinator.next_view(now, state.member_table.live())
        ):
            self._outbox.report("issued", number=view.number, parent=view.parent, members=view.members)
            self.adopt(now, view)

    return [
        patch.object(Coordination, "is_coordinator", is_coordinator),
        patch.object(Coordination, "tick", tick),
    ]


def _granted_before_release() -> list[Any]:
    """Grants slots before the other members have released them."""

    def mutant(
        self: SlotLeases, now: int, who: MemberId, target: int, serial: int, current: int
    ) -> SlotGrant:
        self._serial += 1
        return SlotGrant(self._serial, target)

    return [patch.object(SlotLeases, "grant", mutant)]


def _granted_before_expiry() -> list[Any]:
    """Grants a dead member's slots to others before its lease has certainly expired."""
    return [patch.object(slot_leases, "grantor_duration_ns", lambda duration_ns: duration_ns // 10)]


def _counted_from_receipt() -> list[Any]:
    """Counts a grant's duration from its arrival instead of from the sending of the request."""

    def mutant(
        self: SlotLease, now: int, sent_at: int, epoch: Epoch, serial: int, slots: int, duration_ns: int
    ) -> bool:
        if epoch != self.epoch or serial <= self.serial:
            return False
        self.serial = serial
        self.granted_slots = slots
        self.granted_until_ns = now + holder_duration_ns(duration_ns)
        self.extend_contact(now)
        return True

    return [patch.object(SlotLease, "accept", mutant)]


def _serials_ignored() -> list[Any]:
    """Accepts an older grant that arrives late."""

    def mutant(
        self: SlotLease, now: int, sent_at: int, epoch: Epoch, serial: int, slots: int, duration_ns: int
    ) -> bool:
        if epoch != self.epoch:
            return False
        self.serial = max(self.serial, serial)
        self.granted_slots = slots
        self.granted_until_ns = max(self.granted_until_ns, sent_at + holder_duration_ns(duration_ns))
        self.extend_contact(sent_at)
        return True

    return [patch.object(SlotLease, "accept", mutant)]


def _unknown_slots_granted() -> list[Any]:
    """Counts slots that a new coordinator has no reports of as free."""
    return [
        patch.object(SlotLeases, "unknown_slots", lambda self, now: 0),
        patch.object(SlotLeases, "__init__", _start_with_no_unknown_slots),
    ]


def _start_with_no_unknown_slots(self: SlotLeases, now: int, epoch: Epoch, duration_ns: int) -> None:
    _REAL_INIT(self, now, epoch, duration_ns)
    self._unknown_slots = 0


def _contact_ignored() -> list[Any]:
    """Uses granted slots although the member has lost contact with all seeds that know of them."""
    return [patch.object(SlotLease, "valid_until_ns", property(lambda self: self.granted_until_ns))]


def _any_process_is_seed() -> list[Any]:
    """Counts any process at a seed's address as a seed that knows of the lease."""
    return [patch.object(SlotLease, "is_known_to", lambda self, first_epoch: True)]


def _unknown_rest_granted() -> list[Any]:
    """Counts all remaining unknown slots as free once one member has reported its slots."""
    real = SlotLeases.grant

    def mutant(
        self: SlotLeases, now: int, who: MemberId, target: int, serial: int, current: int
    ) -> SlotGrant:
        grant = real(self, now, who, target, serial, current)
        self._unknown_slots = 0
        return grant

    return [patch.object(SlotLeases, "grant", mutant)]


def _starts_with_one_seed() -> list[Any]:
    """Counts one restarted seed as all seeds restarted."""
    real = Coordinator.__init__

    def mutant(
        self: Coordinator, now: int, epoch: Epoch, known: View | None, seeds: int, duration_ns: int
    ) -> None:
        real(self, now, epoch, known, 1, duration_ns)

    return [patch.object(Coordinator, "__init__", mutant)]


def _number_reused() -> list[Any]:
    """Issues every later view of an epoch under the number of its first view."""
    real = Coordinator.next_view

    def mutant(self: Coordinator, now: int, live: tuple[MemberId, ...]) -> View | None:
        view = real(self, now, live)
        if view is not None and view.number[2] > 1:
            self.view = View((*self.epoch, 1), view.parent, view.members)
            return self.view
        return view

    return [patch.object(Coordinator, "next_view", mutant)]


def _parent_wrong() -> list[Any]:
    """Names a view as its own parent."""
    real = Coordinator.next_view

    def mutant(self: Coordinator, now: int, live: tuple[MemberId, ...]) -> View | None:
        view = real(self, now, live)
        return View(view.number, view.number, view.members) if view is not None else None

    return [patch.object(Coordinator, "next_view", mutant)]


def _lost_members_not_sought() -> list[Any]:
    """Contacts no lost members, so that two halves of a fleet stay separate."""
    return [
        patch.object(Discovery, "tick", lambda self, now: None),
        patch.object(MemberTable, "digest", lambda self: 0),
    ]


def _not_fenced() -> list[Any]:
    """Lets two processes with one name continue at the same time."""

    def mutant(self: UpdateHandler, created_at_ms: int, source: Address) -> None:
        return None

    return [
        patch.object(UpdateHandler, "receive_from_namesake", mutant),
        patch.object(UpdateHandler, "_check_fencing", lambda self: None),
    ]


def _suspect_never_dead() -> list[Any]:
    """Never declares a suspect dead."""
    return [patch.object(FailureDetector, "_suspicion_timeout_ns", lambda self, suspect: 1 << 62)]


def _dead_at_first_timeout() -> list[Any]:
    """Declares a member dead after one late ack."""

    def mutant(self: FailureDetector, suspect: MemberEntry) -> int:
        return 0

    def failed(self: Prober, now: int) -> list[MemberId]:
        late = [p for p in self.in_progress.values() if now - p.started_at_ns >= self._interval_ns // 4]
        for probe in late:
            del self.in_progress[probe.sequence]
        return [probe.member_id for probe in late]

    return [
        patch.object(FailureDetector, "_suspicion_timeout_ns", mutant),
        patch.object(Prober, "take_failed", failed),
    ]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "view-incarnation-ignored": _incarnation_ignored,
    "view-suspicion-not-refuted": _suspicion_not_refuted,
    "view-minority-leads": _minority_leads,
    "view-coordinates-after-lease": _coordinates_after_lease,
    "view-granted-before-release": _granted_before_release,
    "view-granted-before-expiry": _granted_before_expiry,
    "view-counted-from-receipt": _counted_from_receipt,
    "view-serials-ignored": _serials_ignored,
    "view-unknown-slots-granted": _unknown_slots_granted,
    "view-contact-ignored": _contact_ignored,
    "view-any-process-is-seed": _any_process_is_seed,
    "view-unknown-rest-granted": _unknown_rest_granted,
    "view-starts-with-one-seed": _starts_with_one_seed,
    "view-number-reused": _number_reused,
    "view-parent-wrong": _parent_wrong,
    "view-lost-members-not-sought": _lost_members_not_sought,
    "view-not-fenced": _not_fenced,
    "view-suspect-never-dead": _suspect_never_dead,
    "view-dead-at-first-timeout": _dead_at_first_timeout,
}


def two_processes_with_one_name(seed: int) -> None:
    """Starts a second process with a name that is in use, at another address.

    Raises `InvariantViolated` unless exactly the older of the two is fenced.
    """
    world = World(seed, 5)
    world.start_all(6 * SECOND)
    first = world.processes["n4"]
    second = world.add(5)
    del world.processes["n5"]
    second.name = "n4"
    world.processes["n4 again"] = second
    world.run_until(world.elapsed_ns + SECOND)
    world.start(second)
    world.run_until(world.elapsed_ns + 6 * SECOND)
    fenced = [p.core.is_fenced for p in (first, second) if p.core is not None]
    if fenced != [True, False]:
        raise InvariantViolated(f"two processes with one name: fenced must be [True, False], got {fenced}")
    world.processes.pop("n4")
    world.until_settled(3 * SECOND)


def holder_paused(seed: int) -> None:
    """Pauses a member between its lease request and the grant.

    The grant must have no effect once the member resumes, because others have its slots by then.
    """
    world = World(seed, 4)
    world.start_all(6 * SECOND)
    process = world.processes["n3"]
    core = process.core
    assert core is not None
    for _ in range(2):
        request_at = core.renewal.next_at_ns
        while (
            core.renewal.next_at_ns == request_at
        ):  # until the request is sent; the pause precedes the grant
            world.run_until(world.elapsed_ns + MS // 10)
        world.pause(process, 4 * SECOND)
        end = world.elapsed_ns + 6 * SECOND
        while world.elapsed_ns < end:
            world.run_until(world.elapsed_ns + 10 * MS)
            world.used_slots()
    world.until_settled(8 * SECOND)


def late_messages(seed: int) -> None:
    """Reorders messages by more than one renewal interval while members join and leave."""
    # The probe interval is long, because no member is to be declared dead here.
    world = World(seed, 2, 1, settings={"probe_interval_ns": 5 * SECOND})
    world.start_all(6 * SECOND)
    world.conditions.jitter_ns = 700 * MS
    world.conditions.duplication = 0.5
    for number in range(2, 7):
        world.start(world.add(number))
        end = world.elapsed_ns + world.rng.randint(1500 * MS, 4 * SECOND)
        while world.elapsed_ns < end:
            world.run_until(world.elapsed_ns + 10 * MS)
            world.used_slots()
        if number % 2:
            world.leave(world.processes[f"n{number - 1}"])


def seeds_restarted(seed: int) -> None:
    """Restarts seeds while members behind a partition still hold slots that no running seed knows of.

    The restarted seeds are all seeds, all but one that is behind the partition, or all while the members
    behind the partition reach one restarted seed.
    """
    world = World(seed, 8, settings={"lease_duration_ns": 12 * SECOND})
    world.start_all(8 * SECOND)
    # The seed selects what restarts: all seeds; all but one; none, but the coordinator that knew of the
    # others' slots is killed; or all seeds, one of which both sides can reach.
    restarted = [["n0", "n1", "n2"], ["n0", "n1"], [], ["n0", "n1", "n2"]][seed % 4]
    isolated = ["n2"] * (len(restarted) == 2) + ["n5", "n6", "n7"]
    reachable = ["n2"] * (seed % 4 == 3)
    world.partition(isolated, [name for name in world.processes if name not in [*isolated, *reachable]])
    if not restarted:
        coordinators = [
            p for p in world.processes.values() if p.core and p.core.is_coordinator(p.now(world.clock.now))
        ]
        world.kill(coordinators[0])
    for name in restarted:
        world.kill(world.processes[name])
    for name in restarted:
        world.at(
            world.elapsed_ns + world.rng.randint(100 * MS, 800 * MS),
            partial(world.start, world.processes[name]),
        )
    end = world.elapsed_ns + 15 * SECOND
    while world.elapsed_ns < end:
        world.run_until(world.elapsed_ns + 20 * MS)
        world.used_slots()


def moderate_loss(seed: int) -> None:
    """Loses a tenth of all messages and pauses a member briefly again and again.

    No running member may be declared dead.
    """
    world = World(seed, 8)
    world.start_all(6 * SECOND)
    world.conditions.loss = 0.1
    for n in range(40):
        world.at(world.elapsed_ns + n * 300_000_000, partial(world.pause, world.processes["n7"], 90_000_000))
    since = world.elapsed_ns
    world.run_until(world.elapsed_ns + 12 * SECOND)
    declared_dead = [
        t for at, _, t in world.events if at > since and t.kind == "member" and t.details["state"] == "DEAD"
    ]
    if declared_dead:
        raise InvariantViolated(f"a running member was declared dead: {declared_dead[0].details}")


WORLDS: tuple[Callable[[int], object], ...] = (
    lambda seed: play(make(seed)),
    two_processes_with_one_name,
    holder_paused,
    late_messages,
    moderate_loss,
    seeds_restarted,
)


def first_detecting_seed(name: str, seeds: Iterable[int]) -> int | None:
    """Returns the first seed with which a world of any kind detects the mutant, or None if none does."""
    with applied(MUTANTS[name]()):
        for seed in seeds:
            for world in WORLDS:
                try:
                    world(seed)
                except InvariantViolated:
                    return seed
    return None
