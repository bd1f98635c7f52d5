"""The view with one fault each, for the worlds and the records to convict.

Each breaks one rule of `membership/` by a patch that is taken back; those in `ON_PROCESSES` are planted into
running gateways too.
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
    """Whoever was ever suspected or dead stays so, whatever it says."""
    rank = property(lambda self: (self.created_at_ms, 0, self.state))
    return [patch.object(GossipUpdate, "rank", rank)]


def _suspicion_not_refuted() -> list[Any]:
    """A suspicion is not answered."""
    real = MemberTable._refute

    def mutant(self: MemberTable, word: GossipUpdate) -> bool:
        return real(self, word) if word.created_at_ms > self.own_update.created_at_ms else False

    return [patch.object(MemberTable, "_refute", mutant)]


def _minority_leads() -> list[Any]:
    real = Election.__init__

    def mutant(self: Election, *words: Any) -> None:
        real(self, *words)
        self._majority = 1

    return [patch.object(Election, "__init__", mutant)]


def _coordinates_after_lease() -> list[Any]:
    """Who once led goes on, though its time is over."""

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
    """A part is given before others have given up theirs."""

    def mutant(self: SlotLeases, now: int, who: MemberId, wanted: int, serial: int, part: int) -> SlotGrant:
        self._serial += 1
        return SlotGrant(self._serial, wanted)

    return [patch.object(SlotLeases, "grant", mutant)]


def _granted_before_expiry() -> list[Any]:
    """A dead one's part is given away before it has surely ended."""
    return [patch.object(slot_leases, "grantor_duration_ns", lambda lasts: lasts // 10)]


def _counted_from_receipt() -> list[Any]:
    """A grant counts from when it came, not from when it was asked for."""

    def mutant(
        self: SlotLease, now: int, stamp: int, epoch: Epoch, serial: int, part: int, lasts: int
    ) -> bool:
        if epoch != self.epoch or serial <= self.serial:
            return False
        self.serial = serial
        self.granted_slots = part
        self.granted_until_ns = now + holder_duration_ns(lasts)
        self.extend_contact(now)
        return True

    return [patch.object(SlotLease, "accept", mutant)]


def _serials_ignored() -> list[Any]:
    """An older grant that comes late counts."""

    def mutant(
        self: SlotLease, now: int, stamp: int, epoch: Epoch, serial: int, part: int, lasts: int
    ) -> bool:
        if epoch != self.epoch:
            return False
        self.serial = max(self.serial, serial)
        self.granted_slots = part
        self.granted_until_ns = max(self.granted_until_ns, stamp + holder_duration_ns(lasts))
        self.extend_contact(stamp)
        return True

    return [patch.object(SlotLease, "accept", mutant)]


def _unknown_slots_granted() -> list[Any]:
    """A new coordinator takes what it does not know of for free."""
    return [
        patch.object(SlotLeases, "unknown_slots", lambda self, now: 0),
        patch.object(SlotLeases, "__init__", _nothing_unknown),
    ]


def _nothing_unknown(self: SlotLeases, now: int, epoch: Epoch, keep: int) -> None:
    _REAL_INIT(self, now, epoch, keep)
    self._unknown_slots = 0


def _contact_ignored() -> list[Any]:
    """What was granted is acted on though all seeds that know of it are gone."""
    return [patch.object(SlotLease, "valid_until_ns", property(lambda self: self.granted_until_ns))]


def _any_process_is_seed() -> list[Any]:
    """Any process at a seed's address counts as the seed that knows."""
    return [patch.object(SlotLease, "is_known_to", lambda self, first: True)]


def _unknown_rest_granted() -> list[Any]:
    """Once one has told what it holds, a new coordinator takes the rest for free."""
    real = SlotLeases.grant

    def mutant(self: SlotLeases, now: int, who: MemberId, wanted: int, serial: int, part: int) -> SlotGrant:
        made = real(self, now, who, wanted, serial, part)
        self._unknown_slots = 0
        return made

    return [patch.object(SlotLeases, "grant", mutant)]


def _starts_with_one_seed() -> list[Any]:
    """One seed that started anew is taken for all of them."""
    real = Coordinator.__init__

    def mutant(self: Coordinator, now: int, epoch: Epoch, known: View | None, seeds: int, keep: int) -> None:
        real(self, now, epoch, known, 1, keep)

    return [patch.object(Coordinator, "__init__", mutant)]


def _number_reused() -> list[Any]:
    real = Coordinator.next_view

    def mutant(self: Coordinator, now: int, live: tuple[MemberId, ...]) -> View | None:
        view = real(self, now, live)
        if view is not None and view.number[2] > 1:
            self.view = View((*self.epoch, 1), view.parent, view.members)
            return self.view
        return view

    return [patch.object(Coordinator, "next_view", mutant)]


def _parent_wrong() -> list[Any]:
    real = Coordinator.next_view

    def mutant(self: Coordinator, now: int, live: tuple[MemberId, ...]) -> View | None:
        view = real(self, now, live)
        return View(view.number, view.number, view.members) if view is not None else None

    return [patch.object(Coordinator, "next_view", mutant)]


def _lost_members_not_sought() -> list[Any]:
    """Nobody looks for those that are gone: two halves stay two."""
    return [
        patch.object(Discovery, "tick", lambda self, now: None),
        patch.object(MemberTable, "digest", lambda self: 0),
    ]


def _not_fenced() -> list[Any]:
    """Two processes under one name go on side by side."""

    def mutant(self: UpdateHandler, born: int, source: Address) -> None:
        return None

    return [
        patch.object(UpdateHandler, "receive_from_namesake", mutant),
        patch.object(UpdateHandler, "_check_fencing", lambda self: None),
    ]


def _suspect_never_dead() -> list[Any]:
    """A suspect is never taken for dead."""
    return [patch.object(FailureDetector, "_suspicion_timeout_ns", lambda self, person: 1 << 62)]


def _dead_at_first_timeout() -> list[Any]:
    """One late answer, and it is dead."""

    def mutant(self: FailureDetector, person: MemberEntry) -> int:
        return 0

    def failed(self: Prober, now: int) -> list[MemberId]:
        over = [p for p in self.in_progress.values() if now - p.started_at_ns >= self._interval_ns // 4]
        for probe in over:
            del self.in_progress[probe.sequence]
        return [probe.member_id for probe in over]

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
    """A second process takes a name in use, at another address; raises `InvariantViolated` unless one is
    left."""
    world = World(seed, 5)
    world.begin(6 * SECOND)
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
        raise InvariantViolated(f"of two under one name, these are fenced off: {fenced}")
    world.processes.pop("n4")
    world.until_settled(3 * SECOND)


def holder_paused(seed: int) -> None:
    """A grant that waits while its holder stands still is worth nothing once it wakes: others have its
    part."""
    world = World(seed, 4)
    world.begin(6 * SECOND)
    process = world.processes["n3"]
    core = process.core
    assert core is not None
    for _ in range(2):
        asked = core.renewal.next_at_ns
        while core.renewal.next_at_ns == asked:  # it stands still between its question and the answer
            world.run_until(world.elapsed_ns + MS // 10)
        world.pause(process, 4 * SECOND)
        end = world.elapsed_ns + 6 * SECOND
        while world.elapsed_ns < end:
            world.run_until(world.elapsed_ns + 10 * MS)
            world.rights()
    world.until_settled(8 * SECOND)


def late_messages(seed: int) -> None:
    """Words that overtake one another by more than a round of questions, while members come and go."""
    # Probes that take their time: nobody is to be taken for dead here.
    world = World(seed, 2, 1, settings={"probe_interval_ns": 5 * SECOND})
    world.begin(6 * SECOND)
    world.conditions.jitter_ns = 700 * MS
    world.conditions.duplication = 0.5
    for number in range(2, 7):
        world.start(world.add(number))
        end = world.elapsed_ns + world.rng.randint(1500 * MS, 4 * SECOND)
        while world.elapsed_ns < end:
            world.run_until(world.elapsed_ns + 10 * MS)
            world.rights()
        if number % 2:
            world.leave(world.processes[f"n{number - 1}"])


def seeds_restarted(seed: int) -> None:
    """Seeds that start anew while others, cut off, still hold what nobody remembers: all of the seeds, or all
    but one that is on the others' side; or all of them, and the cut off are in touch with one that is new."""
    world = World(seed, 8, settings={"lease_duration_ns": 12 * SECOND})
    world.begin(8 * SECOND)
    # By turns: all seeds; all but one; none, but the coordinator ends, who knew of the others' parts; all,
    # and one of them is in reach of both sides.
    again = [["n0", "n1", "n2"], ["n0", "n1"], [], ["n0", "n1", "n2"]][seed % 4]
    away = ["n2"] * (len(again) == 2) + ["n5", "n6", "n7"]
    between = ["n2"] * (seed % 4 == 3)
    world.partition(away, [name for name in world.processes if name not in [*away, *between]])
    if not again:
        leads = [
            p for p in world.processes.values() if p.core and p.core.is_coordinator(p.now(world.clock.now))
        ]
        world.kill(leads[0])
    for name in again:
        world.kill(world.processes[name])
    for name in again:
        world.at(
            world.elapsed_ns + world.rng.randint(100 * MS, 800 * MS),
            partial(world.start, world.processes[name]),
        )
    end = world.elapsed_ns + 15 * SECOND
    while world.elapsed_ns < end:
        world.run_until(world.elapsed_ns + 20 * MS)
        world.rights()


def moderate_loss(seed: int) -> None:
    """A tenth of all is lost, and some stand still now and then: nobody that runs is ever taken for dead."""
    world = World(seed, 8)
    world.begin(6 * SECOND)
    world.conditions.loss = 0.1
    for n in range(40):
        world.at(world.elapsed_ns + n * 300_000_000, partial(world.pause, world.processes["n7"], 90_000_000))
    since = world.elapsed_ns
    world.run_until(world.elapsed_ns + 12 * SECOND)
    false = [
        t for at, _, t in world.told if at > since and t.kind == "member" and t.details["state"] == "DEAD"
    ]
    if false:
        raise InvariantViolated(f"taken for dead: {false[0].details}")


WORLDS: tuple[Callable[[int], object], ...] = (
    lambda seed: play(make(seed)),
    two_processes_with_one_name,
    holder_paused,
    late_messages,
    moderate_loss,
    seeds_restarted,
)


def first_detecting_seed(name: str, seeds: Iterable[int]) -> int | None:
    """The first seed by which a world of whichever kind tells the mutant; None if none does."""
    with applied(MUTANTS[name]()):
        for seed in seeds:
            for world in WORLDS:
                try:
                    world(seed)
                except InvariantViolated:
                    return seed
    return None
