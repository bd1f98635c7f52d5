"""Handing configuration down with one fault each, for the worlds to convict.

Each breaks one rule of `distribution/` by a patch that is taken back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any
from unittest.mock import patch

from ....distribution.leader import Leader
from ....distribution.log import Log
from ....distribution.replica import Replica
from ....distribution.poll_server import PollServer
from ....distribution.subscriber import Subscriber
from ....distribution.subscriber import StagedSnapshot
from ....distribution.actions import Action, Send
from ....distribution.messages import Append, Delta, Prepare, SnapshotPiece, TailEntries
from ....distribution.settings import ReplicaSettings
from ....distribution.versions import NO_VERSION, Entry, Version
from ....membership.identifiers import Address, Epoch
from ..patches import applied
from .invariants import InvariantViolated
from .schedules import LONG, SHORT


def _minority_commits() -> list[Any]:
    return [patch.object(ReplicaSettings, "majority", property(lambda self: len(self.replicas) // 2))]


def _restarted_replica_counts() -> list[Any]:
    """A replica that starts anew counts for a majority from the first moment on."""
    real = Replica.__init__

    def mutant(self: Replica, *words: Any) -> None:
        real(self, *words)
        self.is_complete = (
            self.settings.incarnation > 1_790_000_000_000
        )  # those of the world's beginning are in order

    return [patch.object(Replica, "__init__", mutant)]


def _caught_up_too_early() -> list[Any]:
    """Whole once it has any state of a leader, whatever that had beside."""
    real = Replica._after_pull

    def mutant(self: Replica, now: int, made: list[Action]) -> list[Action]:
        out = real(self, now, made)
        self.is_complete = self.is_complete or (
            self._catch_up_goal is not None and self._snapshot_pull is None
        )
        return out

    return [patch.object(Replica, "_after_pull", mutant)]


def _old_epochs_accepted() -> list[Any]:
    real = Replica._follow

    def mutant(self: Replica, replica: int, epoch: Epoch) -> bool:
        if epoch < self.promised and self.leadership is None:
            self.leader_number = replica
            return True
        return real(self, replica, epoch)

    return [patch.object(Replica, "_follow", mutant)]


def _previous_version_ignored() -> list[Any]:
    """Entries are taken behind whatever is last here."""
    real = Log.accept

    def mutant(self: Log, previous: Version, entries: Iterable[Entry]) -> bool:
        if previous.sequence <= self.last.sequence:
            while self.last.sequence > max(previous.sequence, self.committed.sequence):
                self.pending.pop()
                self.last = self.pending[-1].version if self.pending else self.committed
            entries = tuple(e for e in entries if e.version.sequence > self.last.sequence)
            for entry in entries:
                self.append(entry)
            return True
        return real(self, previous, entries)

    return [patch.object(Log, "accept", mutant)]


def _other_logs_not_requested() -> list[Any]:
    """A new leader numbers at once, by the log that it has."""

    def mutant(self: Leader, now: int) -> list[Action]:
        return self._establish(now)

    return [patch.object(Leader, "_choose_log", mutant)]


def _pending_dropped_on_adoption() -> list[Any]:
    """What is pending is dropped before another log is taken over, as was once planned."""
    real = Leader._choose_log

    def mutant(self: Leader, now: int) -> list[Action]:
        made = real(self, now)
        if self.adopted_replica is not None and self.is_complete:
            self.log.pending.clear()
            self.log.last = self.log.committed
        return made

    return [patch.object(Leader, "_choose_log", mutant)]


def _accepted_counts_as_committed() -> list[Any]:
    """A replica takes changes for committed that it has merely accepted."""
    real = Replica._on_append

    def mutant(self: Replica, now: int, replica: int, told: Append, source: Address) -> list[Action]:
        ahead = Append(told.epoch, told.previous, told.entries, told.last, told.last, told.age_ms)
        return real(self, now, replica, ahead, source)

    return [patch.object(Replica, "_on_append", mutant)]


def _one_promise_is_enough() -> list[Any]:
    real = Leader._count_complete

    def mutant(self: Leader, answers: dict[int, Any]) -> int:
        return real(self, answers) + (self.settings.majority - 1 if self.is_complete else 0)

    return [patch.object(Leader, "_count_complete", mutant)]


def _history_number_reused() -> list[Any]:
    """An operator's new history goes on under the former one's number."""
    real = Leader._establish

    def mutant(self: Leader, now: int) -> list[Action]:
        if self.log.last != NO_VERSION:
            self._is_new_history = False
        return real(self, now)

    return [patch.object(Leader, "_establish", mutant)]


def _older_version_accepted() -> list[Any]:
    """A gateway takes what a replica has that is behind."""
    real = PollServer.answer

    def mutant(self: PollServer, now: int, poll: Any, heard_at: int, bounded: bool = True) -> list[Any]:
        if poll.version > self._log.committed and bounded:
            return [Delta(poll.number, self._log.committed, 0, (), False)]
        return real(self, now, poll, heard_at, bounded)

    def delta(self: Subscriber, now: int, told: Delta, asked_at: int) -> list[Action]:
        if self._staged is None and told.version < self.version:
            self.version = told.version
        return real_delta(self, now, told, asked_at)

    real_delta = Subscriber._on_delta
    return [patch.object(PollServer, "answer", mutant), patch.object(Subscriber, "_on_delta", delta)]


def _acts_on_incomplete_snapshot() -> list[Any]:
    """A snapshot is acted on as soon as its last piece is there."""
    real = StagedSnapshot.add

    def mutant(self: StagedSnapshot, piece: SnapshotPiece) -> None:
        real(self, piece)
        self.oldest_version = piece.committed

    return [patch.object(StagedSnapshot, "add", mutant)]


def _truncated_delta_names_newest() -> list[Any]:
    """A delta that is cut names the newest version all the same."""
    real = PollServer._delta

    def mutant(self: PollServer, *words: Any) -> Any:
        made = real(self, *words)
        return (
            Delta(made.number, self._log.committed, made.age_ms, made.entries, False)
            if isinstance(made, Delta)
            else made
        )

    return [patch.object(PollServer, "_delta", mutant)]


def _never_changes_replica() -> list[Any]:
    """A gateway keeps to the replica that does not answer."""
    return [patch.object(Subscriber, "replica", property(lambda self: self._regional_replicas[0]))]


def _replica_always_current() -> list[Any]:
    """A replica that does not hear its leader says that it does."""
    real = PollServer.answer

    def mutant(self: PollServer, now: int, poll: Any, heard_at: int, bounded: bool = True) -> list[Any]:
        return real(self, now, poll, now, bounded)

    return [patch.object(PollServer, "answer", mutant)]


def _leader_always_in_touch() -> list[Any]:
    """A leader that hears no majority says that it does."""
    return [patch.object(Leader, "in_touch_at_ns", lambda self, now: now)]


def _pieces_not_limited() -> list[Any]:
    """Everybody is answered at once, and asks on at once."""
    real = PollServer.__init__

    def mutant(self: PollServer, log: Log, pieces: int) -> None:
        real(self, log, 1_000_000_000)

    return [patch.object(PollServer, "__init__", mutant)]


def _tail_out_of_order() -> list[Any]:
    """A part of the log that is taken over is taken wherever it lies."""

    def mutant(self: Leader, now: int, replica: int, told: TailEntries) -> list[Action]:
        if replica != self.adopted_replica or not self._has_base:
            return []
        self.log.accept(told.after, told.entries)
        return self._establish(now)

    return [patch.object(Leader, "on_tail_entries", mutant)]


def _promise_without_fencing() -> list[Any]:
    """A replica promises, and still follows the former leader."""
    real = Replica._on_prepare

    def mutant(self: Replica, told: Prepare, source: Address) -> list[Action]:
        before = self.promised
        made = real(self, told, source)
        if any(isinstance(each, Send) for each in made) and self.leader_number < 0:
            self.promised = before
        return made

    return [patch.object(Replica, "_on_prepare", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    each.__name__.strip("_"): each
    for each in (
        _minority_commits,
        _restarted_replica_counts,
        _caught_up_too_early,
        _old_epochs_accepted,
        _previous_version_ignored,
        _other_logs_not_requested,
        _pending_dropped_on_adoption,
        _accepted_counts_as_committed,
        _one_promise_is_enough,
        _history_number_reused,
        _older_version_accepted,
        _acts_on_incomplete_snapshot,
        _truncated_delta_names_newest,
        _never_changes_replica,
        _replica_always_current,
        _leader_always_in_touch,
        _pieces_not_limited,
        _tail_out_of_order,
        _promise_without_fencing,
    )
}


def first_detection(name: str, seeds: Iterable[int]) -> tuple[str, int] | None:
    """The first world and seed by which the mutant is told; None if none does. The long worlds are played by
    the first seed alone."""
    played = [(seed, world) for world in (*LONG, *SHORT) for seed in seeds if world in SHORT or not seed]
    with applied(MUTANTS[name]()):
        for seed, world in sorted(played, key=lambda each: each[0]):
            try:
                world(seed)
            except InvariantViolated:
                return world.__name__, seed
    return None
