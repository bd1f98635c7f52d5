"""Runs one replica: follows the newest epoch that it promised, leads when elected, and answers gateways.

Rules:
- The lease election of the control tier decides which replica leads (`set_leadership`).
- A replica accepts only entries of the newest epoch that it has promised, and only after the entry that
  precedes them in its leader's log.
- There is no persistent disk. A replica that starts is not complete: it counts for no majority until it has
  the promises of a majority of complete others, has the state of a leader that is no older than any of them,
  and its log has reached all that this leader had when it was queried.
- While fewer than a majority are complete, nothing is committed and no replica becomes complete any more:
  the complete replicas still serve what they hold, and an operator begins a new history with the longest log
  that is left.

A replica knows its own clock and accepts messages in any order, any number of times. The module does no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from .leader import PIPELINED_DATAGRAMS, Leader
from .log import Log
from .log import entries_that_fit
from .poll_server import PollServer
from .subscriber import Subscriber
from ..decide.time_units import MILLISECOND, SECOND
from .actions import Action, Send
from .messages import (
    Accepted,
    Append,
    BeginHistory,
    Committed,
    Inspect,
    Inspected,
    LogCompacted,
    MessageBody,
    NotLeader,
    Poll,
    Prepare,
    Promise,
    Put,
    ReadTail,
    Recover,
    Rejected,
    ReplicaState,
    StaleEpoch,
    Subscribe,
    TailEntries,
)
from .settings import ReplicaSettings, SubscriberSettings
from .versions import MAX_NAME_CHARACTERS, MAX_VALUE_BYTES, Version
from ..membership.actions import StatusEvent
from ..membership.identifiers import NO_EPOCH, Address, Epoch

RECOVERY_RETRY_NS = 300 * MILLISECOND  # between the requests of a replica that is not complete
MAX_EARLY_APPENDS = 2 * PIPELINED_DATAGRAMS  # cached, each received before the one that it follows
NEVER_NS = 3600 * SECOND  # before now, for a replica that was never in touch


class _CatchUpGoal(NamedTuple):
    """Holds what a replica needs to become complete: the state of the leader of `epoch` up to `version`."""

    epoch: Epoch
    version: Version


class Replica:
    """Follows, leads and answers polls on one replica's log.

    `is_complete` means that it has lost nothing that it ever accepted or promised, or has caught up since.
    """

    def __init__(self, settings: ReplicaSettings, now: int, seed: int) -> None:
        self.settings = settings
        self._seed = seed
        self.log = Log(settings.max_recent_entries)
        self.poll_server = PollServer(self.log, settings.pieces_per_s)
        self.promised: Epoch = NO_EPOCH
        self.is_complete = False
        self.leadership: Leader | None = None
        self.leader_number = -1  # the replica that leads, -1 while unknown
        self._last_led_epoch = NO_EPOCH  # the epoch under which this replica was elected last
        self._in_touch_at_ns = now - NEVER_NS  # when it last had all that its leader had committed
        self._new_history_epoch: Epoch | None = None  # in which this process promised to begin a new history
        self._early_appends: dict[Version, Append] = {}  # by the version that they follow
        self._promised_by_others: dict[int, Epoch] = {}  # by replica, as complete replicas answered
        self._catch_up_goal: _CatchUpGoal | None = None
        self._snapshot_pull: Subscriber | None = None  # takes a snapshot from another replica
        self._recovery_requested_ns = now - RECOVERY_RETRY_NS

    @property
    def role(self) -> str:
        """Returns `leader`, `establishing`, `follower` or `recovering`."""
        if self.leadership is not None:
            return "leader" if self.leadership.is_established else "establishing"
        return "follower" if self.is_complete else "recovering"

    def set_leadership(self, now: int, epoch: Epoch | None) -> list[Action]:
        """Applies the result of the election: the epoch that this replica leads, or None.

        It has to be called whenever the result may have changed.
        """
        if epoch is None or (epoch < self.promised and epoch == self._last_led_epoch):
            self.leadership = None
            return []
        if epoch == self._last_led_epoch:
            return []
        self._last_led_epoch = epoch
        if epoch < self.promised:
            self.leadership = None
            return [StatusEvent("outdone", {"by": self.promised})]
        self.promised = epoch
        self.leader_number = self.settings.number
        self.leadership = Leader(self.settings, self.log, epoch, now, self.is_complete)
        return self.leadership.tick(now)

    def tick(self, now: int) -> list[Action]:
        """Returns the actions that are due at `now`, in nanoseconds."""
        actions: list[Action] = []
        if self.leadership is not None:
            actions += self._after_leadership(now, self.leadership.tick(now))
            if self.leadership.needs_snapshot and (source := self.leadership.adopted_replica) is not None:
                actions += self._start_pull(now, self.settings.replicas[source])
        elif not self.is_complete and now - self._recovery_requested_ns >= RECOVERY_RETRY_NS:
            self._recovery_requested_ns = now
            actions += [Send(at, Recover()) for at in self._other_replicas()]
        if self._snapshot_pull is not None:
            actions += self._after_pull(now, self._snapshot_pull.tick(now))
        return actions

    def _other_replicas(self) -> list[Address]:
        return [at for n, at in enumerate(self.settings.replicas) if n != self.settings.number]

    def _after_leadership(self, now: int, actions: list[Action]) -> list[Action]:
        """Returns the leader's actions; an established leader is complete, and in touch with itself."""
        if self.leadership is not None and self.leadership.is_established:
            if not self.is_complete:
                self._become_complete()
            self._snapshot_pull = None
            self._in_touch_at_ns = self.leadership.in_touch_at_ns(now)
        return actions

    def _become_complete(self) -> None:
        self.is_complete = True
        self._catch_up_goal = None
        self._snapshot_pull = None
        self._promised_by_others.clear()

    def on_message(
        self, now: int, replica: int, incarnation: int, body: MessageBody, source: Address
    ) -> list[Action]:
        """Handles a message and returns the actions that follow.

        `replica` is the sender's number, -1 for a gateway or a command; `incarnation` identifies the process
        of that number.
        """
        match body:
            case Poll():
                return [Send(source, each) for each in self._answer_poll(now, body, replica >= 0)]
            case Subscribe():
                self.poll_server.subscriptions.add_part(source, body)
                return []
            case Put() | BeginHistory() | Inspect():
                return self._on_command(now, body, source)
        if self._snapshot_pull is not None:
            actions = self._after_pull(now, self._snapshot_pull.on_message(now, body, source))
            if actions:
                return actions
        if not 0 <= replica < len(self.settings.replicas) or replica == self.settings.number:
            return []
        return self._from_replica(now, replica, incarnation, body, source)

    def _answer_poll(self, now: int, poll: Poll, replica: bool) -> list[MessageBody]:
        if not self.is_complete:
            return [Rejected(poll.number, 0)]
        return self.poll_server.answer(now, poll, self._in_touch_at_ns, bounded=not replica)

    def _from_replica(
        self,
        now: int,
        replica: int,
        incarnation: int,
        body: MessageBody,
        source: Address,
    ) -> list[Action]:
        match body:
            case Prepare():
                return self._on_prepare(body, source)
            case Append():
                return self._on_append(now, replica, body, source)
            case LogCompacted():
                return self._on_log_compacted(now, replica, body, source)
            case ReadTail():
                return self._on_read_tail(body, source)
            case Recover():
                return [Send(source, self._own_state(incarnation))] if self.is_complete else []
            case ReplicaState():
                return self._on_replica_state(now, replica, body)
            case StaleEpoch(promised) if promised > self.promised:
                self.promised = promised
                self.leader_number = -1
                self.leadership = None
                return [StatusEvent("outdone", {"by": promised})]
        return self._reply_to_leader(now, replica, incarnation, body)

    def _reply_to_leader(self, now: int, replica: int, incarnation: int, body: MessageBody) -> list[Action]:
        """Handles an answer to a message that this replica sent as leader of its epoch."""
        if self.leadership is None:
            return []
        match body:
            case Promise() if body.epoch == self.leadership.epoch:
                return self._after_leadership(
                    now, self.leadership.on_promise(now, replica, incarnation, body)
                )
            case TailEntries() if body.epoch == self.leadership.epoch:
                return self._after_leadership(now, self.leadership.on_tail_entries(now, replica, body))
            case Accepted() if body.epoch == self.leadership.epoch and self.leadership.is_established:
                return self.leadership.on_accepted(now, replica, incarnation, body)
        return []

    def _on_prepare(self, message: Prepare, source: Address) -> list[Action]:
        if message.epoch < self.promised:
            return [Send(source, StaleEpoch(self.promised))]
        if message.epoch > self.promised:
            self.promised = message.epoch
            self.leader_number = -1
            self.leadership = None
        if message.begins_history and not self.is_complete:
            self._new_history_epoch = message.epoch
        return [
            Send(
                source,
                Promise(message.epoch, message.round, self.is_complete, self.log.committed, self.log.last),
            )
        ]

    def _follow(self, replica: int, epoch: Epoch) -> bool:
        """Follows another replica from now on if it leads the newest epoch; returns whether it does."""
        if epoch < self.promised:
            return False
        if epoch > self.promised:
            self.promised = epoch
            self.leadership = None
        if self.leadership is not None:
            return False
        self.leader_number = replica
        return True

    def _on_append(self, now: int, replica: int, message: Append, source: Address) -> list[Action]:
        if not self._follow(replica, message.epoch):
            return [Send(source, StaleEpoch(self.promised))] if message.epoch < self.promised else []
        if self.is_complete and message.last.history != self.log.last.history:
            return self._forget_history(now)
        if not self.is_complete and (
            self._catch_up_goal is None or self._catch_up_goal.epoch != message.epoch
        ):
            return []
        if not self.log.accept(message.previous, message.entries):
            self._cache_early_append(message)
            return [Send(source, Accepted(message.epoch, False, self.is_complete, self.log.committed))]
        up_to = message.entries[-1].version if message.entries else message.previous
        while (early := self._early_appends.pop(up_to, None)) is not None and early.epoch == message.epoch:
            self.log.accept(up_to, early.entries)
            up_to = early.entries[-1].version
        actions: list[Action] = []
        done = self.log.commit(min(up_to, message.committed))
        if self.log.committed >= message.committed:
            self._in_touch_at_ns = max(self._in_touch_at_ns, now - message.age_ms * MILLISECOND)
        if done:
            actions.append(StatusEvent("committed", {"entries": tuple(done)}))
        if self.is_complete:
            self._snapshot_pull = None  # No entry is missing here.
        if self._catch_up_goal is not None and not self.is_complete and up_to >= self._catch_up_goal.version:
            self._become_complete()
            actions.append(StatusEvent("whole", {"version": up_to}))
        return [*actions, Send(source, Accepted(message.epoch, True, self.is_complete, up_to))]

    def _cache_early_append(self, message: Append) -> None:
        """Caches entries that were received before those that they follow."""
        if any(each.epoch != message.epoch for each in self._early_appends.values()):
            self._early_appends.clear()
        if message.entries and len(self._early_appends) < MAX_EARLY_APPENDS:
            self._early_appends[message.previous] = message

    def _on_log_compacted(
        self, now: int, replica: int, message: LogCompacted, source: Address
    ) -> list[Action]:
        if self.leadership is not None and self.leadership.is_adopting(replica, message.epoch):
            return self._start_pull(now, source)
        if not self._follow(replica, message.epoch):
            return []
        if self.log.committed > message.version:
            return [Send(source, Accepted(message.epoch, False, self.is_complete, self.log.committed))]
        return self._start_pull(now, source)

    def _forget_history(self, now: int) -> list[Action]:
        """Drops the log and recovers again, as another history has begun."""
        self.is_complete = False
        self._recovery_requested_ns = now - RECOVERY_RETRY_NS
        self.log = Log(self.settings.max_recent_entries)
        self.poll_server.replace_log(self.log)
        self._promised_by_others.clear()
        self._catch_up_goal = None
        self._new_history_epoch = self.promised
        return [StatusEvent("forgot", {})]

    def _on_read_tail(self, message: ReadTail, source: Address) -> list[Action]:
        """Answers a new leader, whose log is shorter."""
        if message.epoch != self.promised or not self.is_complete:
            return []
        entries = self.log.entries_after(message.after) if self.log.holds(message.after) else None
        if entries is None:
            return [Send(source, LogCompacted(message.epoch, message.after))]
        fit, _ = entries_that_fit(entries)
        return [Send(source, TailEntries(message.epoch, message.after, fit, self.log.last))]

    def _own_state(self, incarnation: int) -> ReplicaState:
        leads = self.leadership is not None and self.leadership.is_established
        return ReplicaState(incarnation, self.promised, leads, self.log.last)

    def _on_replica_state(self, now: int, replica: int, message: ReplicaState) -> list[Action]:
        if (
            self.is_complete
            or self.leadership is not None
            or message.incarnation != self.settings.incarnation
        ):
            return []
        self._promised_by_others[replica] = message.promised
        self.promised = max(self.promised, message.promised)
        enough = (
            len(self._promised_by_others) >= self.settings.majority
            or self._new_history_epoch == message.promised
        )
        if not message.is_leader or message.promised != self.promised or not enough:
            return []
        if self._catch_up_goal is None or self._catch_up_goal.epoch != message.promised:
            self._catch_up_goal = _CatchUpGoal(message.promised, message.last)
            self.leader_number = replica
            return self._start_pull(now, self.settings.replicas[replica])
        return []

    def _start_pull(self, now: int, source: Address) -> list[Action]:
        """Starts to pull a snapshot from another replica, unless one is being pulled from there."""
        if self._snapshot_pull is not None and self._snapshot_pull.settings.replicas == (source,):
            return []
        self._snapshot_pull = Subscriber(SubscriberSettings((source,), None), now, self._seed)
        return self._snapshot_pull.tick(now)

    def _after_pull(self, now: int, actions: list[Action]) -> list[Action]:
        """Returns the actions of the snapshot's subscriber; installs a complete snapshot in the log."""
        pull = self._snapshot_pull
        if pull is None or pull.fresh_at_ns is None:
            if actions and self.leadership is not None and pull is not None and pull.answered_at_ns == now:
                self.leadership.on_progress(now)
            return [each for each in actions if isinstance(each, Send)]
        self._snapshot_pull = None
        actions = []
        if pull.version > self.log.committed:
            self.log.install(pull.snapshot, pull.version)
        if self.leadership is not None:
            self.leadership.on_snapshot_installed(now)
        elif self.leader_number >= 0:
            reply = Accepted(self.promised, False, self.is_complete, self.log.committed)
            actions = [Send(self.settings.replicas[self.leader_number], reply)]
        return [*actions, StatusEvent("installed", {"version": pull.version, "keys": len(self.log)})]

    def _on_command(self, now: int, body: Put | BeginHistory | Inspect, source: Address) -> list[Action]:
        if isinstance(body, Inspect):
            return [Send(source, self._inspect(body))]
        if self.leadership is None:
            return [Send(source, NotLeader(body.number, self.leader_number))]
        if isinstance(body, BeginHistory):
            if self.leadership.is_established and self.log.committed.epoch == self.leadership.epoch:
                return [Send(source, Committed(body.number, self.log.committed))]
            self.leadership.request_new_history(now)
            return [Send(source, NotLeader(body.number, self.settings.number))]
        if not _is_within_bounds(body):
            return []
        return self.leadership.put(now, source, body.number, body.service, body.key, body.value)

    def _inspect(self, request: Inspect) -> Inspected:
        entry = self.log.snapshot.get(request.service, {}).get(request.key)
        return Inspected(
            request.number, self.role, self.promised, self.log.committed, self.log.last, len(self.log), entry
        )


def _is_within_bounds(put: Put) -> bool:
    """Returns whether a change is within the bounds of an entry."""
    names = all(0 < len(each) <= MAX_NAME_CHARACTERS and "\0" not in each for each in (put.service, put.key))
    return names and len(put.value or b"") <= MAX_VALUE_BYTES
