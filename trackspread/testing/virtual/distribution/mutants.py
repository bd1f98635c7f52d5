"""Defines mutants of the distribution of configuration, which the worlds must detect.

Each breaks one rule of `distribution/` by patches that are reverted.
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
    """Counts half of the replicas as a majority."""
    return [patch.object(ReplicaSettings, "majority", property(lambda self: len(self.replicas) // 2))]


def _restarted_replica_counts() -> list[Any]:
    """Counts a restarted replica toward a majority before it has caught up."""
    real = Replica.__init__

    def mutant(self: Replica, *arguments: Any) -> None:
        real(self, *arguments)
        # The replicas that start with the world have this incarnation, and are handled correctly.
        self.is_complete = self.settings.incarnation > 1_790_000_000_000

    return [patch.object(Replica, "__init__", mutant)]


def _caught_up_too_early() -> list[Any]:
    """Counts a replica as complete once it has any state of a leader, even if the leader has more."""
    real = Replica._after_pull

    def mutant(self: Replica, now: int, actions: list[Action]) -> list[Action]:
        actions = real(self, now, actions)
        self.is_complete = self.is_complete or (
            self._catch_up_goal is not None and self._snapshot_pull is None
        )
        return actions

    return [patch.object(Replica, "_after_pull", mutant)]


def _old_epochs_accepted() -> list[Any]:
    """Follows the leader of an older epoch than the promised one."""
    real = Replica._follow

    def mutant(self: Replica, replica: int, epoch: Epoch) -> bool:
        if epoch < self.promised and self.leadership is None:
            self.leader_number = replica
            return True
        return real(self, replica, epoch)

    return [patch.object(Replica, "_follow", mutant)]


def _previous_version_ignored() -> list[Any]:
    """Appends entries to the log whatever its last version is."""
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
    """Starts to number changes as a new leader with its own log, without requests for the others' logs."""

    def mutant(self: Leader, now: int) -> list[Action]:
        return self._establish(now)

    return [patch.object(Leader, "_choose_log", mutant)]


def _pending_dropped_on_adoption() -> list[Any]:
    """Drops pending entries before another replica's log is adopted."""
    real = Leader._choose_log

    def mutant(self: Leader, now: int) -> list[Action]:
        actions = real(self, now)
        if self.adopted_replica is not None and self.is_complete:
            self.log.pending.clear()
            self.log.last = self.log.committed
        return actions

    return [patch.object(Leader, "_choose_log", mutant)]


def _accepted_counts_as_committed() -> list[Any]:
    """Counts changes as committed that a replica has merely accepted."""
    real = Replica._on_append

    def mutant(self: Replica, now: int, replica: int, append: Append, source: Address) -> list[Action]:
        ahead = Append(append.epoch, append.previous, append.entries, append.last, append.last, append.age_ms)
        return real(self, now, replica, ahead, source)

    return [patch.object(Replica, "_on_append", mutant)]


def _one_promise_is_enough() -> list[Any]:
    """Counts the promise of one complete replica as a majority."""
    real = Leader._count_complete

    def mutant(self: Leader, answers: dict[int, Any]) -> int:
        return real(self, answers) + (self.settings.majority - 1 if self.is_complete else 0)

    return [patch.object(Leader, "_count_complete", mutant)]


def _history_number_reused() -> list[Any]:
    """Continues under the former history's number after an operator has started a new history."""
    real = Leader._establish

    def mutant(self: Leader, now: int) -> list[Action]:
        if self.log.last != NO_VERSION:
            self._is_new_history = False
        return real(self, now)

    return [patch.object(Leader, "_establish", mutant)]


def _older_version_accepted() -> list[Any]:
    """Replaces a gateway's version with the older one of a replica that is behind."""
    real = PollServer.answer

    def mutant(self: PollServer, now: int, poll: Any, heard_at: int, bounded: bool = True) -> list[Any]:
        if poll.version > self._log.committed and bounded:
            return [Delta(poll.number, self._log.committed, 0, (), False)]
        return real(self, now, poll, heard_at, bounded)

    def delta(self: Subscriber, now: int, received: Delta, asked_at: int) -> list[Action]:
        if self._staged is None and received.version < self.version:
            self.version = received.version
        return real_delta(self, now, received, asked_at)

    real_delta = Subscriber._on_delta
    return [patch.object(PollServer, "answer", mutant), patch.object(Subscriber, "_on_delta", delta)]


def _acts_on_incomplete_snapshot() -> list[Any]:
    """Uses a snapshot as soon as its last piece has arrived, without the changes made during the transfer."""
    real = StagedSnapshot.add

    def mutant(self: StagedSnapshot, piece: SnapshotPiece) -> None:
        real(self, piece)
        self.oldest_version = piece.committed

    return [patch.object(StagedSnapshot, "add", mutant)]


def _truncated_delta_names_newest() -> list[Any]:
    """Names the newest version in a delta that was truncated."""
    real = PollServer._delta

    def mutant(self: PollServer, *arguments: Any) -> Any:
        delta = real(self, *arguments)
        return (
            Delta(delta.number, self._log.committed, delta.age_ms, delta.entries, False)
            if isinstance(delta, Delta)
            else delta
        )

    return [patch.object(PollServer, "_delta", mutant)]


def _never_changes_replica() -> list[Any]:
    """Keeps a gateway at a replica that does not answer."""
    return [patch.object(Subscriber, "replica", property(lambda self: self._regional_replicas[0]))]


def _replica_always_current() -> list[Any]:
    """Reports contact with the leader at a replica that has none."""
    real = PollServer.answer

    def mutant(self: PollServer, now: int, poll: Any, heard_at: int, bounded: bool = True) -> list[Any]:
        return real(self, now, poll, now, bounded)

    return [patch.object(PollServer, "answer", mutant)]


def _leader_always_in_touch() -> list[Any]:
    """Reports contact with a majority at a leader that has none."""
    return [patch.object(Leader, "in_touch_at_ns", lambda self, now: now)]


def _pieces_not_limited() -> list[Any]:
    """Answers every request for a snapshot piece at once, without a limit on pieces."""
    real = PollServer.__init__

    def mutant(self: PollServer, log: Log, pieces: int) -> None:
        real(self, log, 1_000_000_000)

    return [patch.object(PollServer, "__init__", mutant)]


def _tail_out_of_order() -> list[Any]:
    """Accepts a part of an adopted log in any order."""

    def mutant(self: Leader, now: int, replica: int, tail: TailEntries) -> list[Action]:
        if replica != self.adopted_replica or not self._has_base:
            return []
        self.log.accept(tail.after, tail.entries)
        return self._establish(now)

    return [patch.object(Leader, "on_tail_entries", mutant)]


def _promise_without_fencing() -> list[Any]:
    """Promises an epoch and still follows the former leader."""
    real = Replica._on_prepare

    def mutant(self: Replica, prepare: Prepare, source: Address) -> list[Action]:
        before = self.promised
        actions = real(self, prepare, source)
        if any(isinstance(each, Send) for each in actions) and self.leader_number < 0:
            self.promised = before
        return actions

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
    """Returns the name and seed of the first world that detects the mutant, or None if none does.

    The long worlds are played with seed 0 only.
    """
    runs = [(seed, world) for world in (*LONG, *SHORT) for seed in seeds if world in SHORT or not seed]
    with applied(MUTANTS[name]()):
        for seed, world in sorted(runs, key=lambda each: each[0]):
            try:
                world(seed)
            except InvariantViolated:
                return world.__name__, seed
    return None
