"""Leads one epoch: learns what may be committed, then numbers changes, replicates and commits them.

Rules:
- The epoch is the ballot of the lease election: only one process ever leads under it. Nothing here needs the
  lease to be exclusive: a leader has the promises of a majority, and each replica keeps to the newest epoch
  that it has promised. Of two replicas that both act as leader, only one can commit.
- Replicas have no disk. A replica that restarted may have lost a promise that it was counted for, so a
  majority of promises is requested a second time: a promise counts only if its process still runs after all
  of them were given (a crash-consistent quorum: Michael and others, DISC 2017).
- The longest log of a majority, by its last version, has all that may be committed; the leader adopts it
  completely.
- An entry is committed once a majority of complete replicas has it, and it or one behind it is of this epoch.

| step | requests | ends when |
| --- | --- | --- |
| promises | promises from all replicas | a majority has promised |
| confirming | the same again from those that promised | the same processes of a majority have answered |
| adopting | the missing entries from the replica with the longest log | nothing is missing |
| leading | all replicas to accept entries | the replica no longer leads |

The module does no I/O and knows nothing of the election or of gateways.
"""

from __future__ import annotations

from dataclasses import dataclass

from .log import Log
from .log import entries_that_fit
from ..decide.time_units import MILLISECOND, SECOND
from .actions import Action, Send
from .messages import (
    Accepted,
    Append,
    Committed,
    LogCompacted,
    MessageBody,
    NotLeader,
    Prepare,
    Promise,
    ReadTail,
    Rejected,
    TailEntries,
    TooManyKeys,
)
from .settings import ReplicaSettings
from .versions import NO_VERSION, Entry, Version
from ..membership.actions import StatusEvent
from ..membership.identifiers import Address, Epoch

RETRY_NS = 200 * MILLISECOND  # between requests of one step
STEP_TIMEOUT_NS = 3 * SECOND  # for confirming or adopting, before the leader restarts from the first step
PIPELINED_DATAGRAMS = 16  # sent to one replica before it answers
RESEND_NS = 300 * MILLISECOND  # without an answer before entries are sent again
HEARTBEAT_NS = 500 * MILLISECOND  # between messages to a replica that has everything
UNRESPONSIVE_NS = 5 * SECOND  # without an answer before a replica gets heartbeats only
RETRY_AFTER_MS = 200  # for an operator's command while too many entries are pending


@dataclass(slots=True)
class Follower:
    """Holds what the leader knows of one replica.

    Up to `matched_version` its log is known to equal the leader's; up to `acknowledged_version` it counts for
    a majority, as the process `incarnation` answered. `is_awaiting_reply` means that entries were sent and
    not answered yet. `is_pipelined` means that the last entries matched, so several datagrams are sent ahead.
    """

    matched_version: Version
    sent_version: Version = NO_VERSION  # the newest that was sent
    acknowledged_version: Version = NO_VERSION
    incarnation: int = 0
    sent_at_ns: int = 0
    replied_at_ns: int = 0
    is_awaiting_reply: bool = False
    is_pipelined: bool = False


@dataclass(frozen=True, slots=True)
class WaitingCommand:
    """Holds an operator's command that is answered once its change is committed."""

    recipient: Address
    number: int
    version: Version


class Leader:
    """Leads one epoch.

    `is_established` means that it numbers changes, `begins_history` that an operator requested a new history.
    """

    def __init__(
        self, settings: ReplicaSettings, log: Log, epoch: Epoch, now: int, is_complete: bool
    ) -> None:
        self.settings = settings
        self.log = log
        self.epoch = epoch
        self.is_complete = is_complete
        self.begins_history = False
        self.is_established = False
        self.adopted_replica: int | None = None  # the replica whose log is adopted
        self._round = 1
        self._requested_at_ns = now - RETRY_NS
        self._step_began_ns = now
        self._promises: dict[int, tuple[int, Promise]] = {}  # by replica: its incarnation and promise
        self._confirmed: dict[int, tuple[int, Promise]] = {}
        self._target_version = NO_VERSION  # the last version of the adopted log
        self._adopted_version = NO_VERSION  # up to which the adopted log is present here
        self._has_base = is_complete  # whether the tail can follow the log here
        self._is_new_history = False  # whether this leader begins a new history
        self._followers: dict[int, Follower] = {}
        self._waiting_commands: list[WaitingCommand] = []

    @property
    def other_replicas(self) -> list[int]:
        """Returns the numbers of the other replicas."""
        return [n for n in range(len(self.settings.replicas)) if n != self.settings.number]

    @property
    def _is_confirming(self) -> bool:
        """Returns whether this round confirms promises: odd rounds request them, even ones confirm them."""
        return self._round % 2 == 0

    def _send_to(self, number: int, body: MessageBody) -> Send:
        return Send(self.settings.replicas[number], body)

    def tick(self, now: int) -> list[Action]:
        """Returns the actions that are due; has to be called several times in `RETRY_NS`."""
        if self.is_established:
            return self._replicate(now)
        if self._is_confirming and now - self._step_began_ns > STEP_TIMEOUT_NS:
            self._restart(now)
        if now - self._requested_at_ns < RETRY_NS:
            return []
        self._requested_at_ns = now
        if self.adopted_replica is not None:
            return self._request_tail()
        replicas = list(self._promises) if self._is_confirming else self.other_replicas
        actions: list[Action] = [
            self._send_to(n, Prepare(self.epoch, self._round, self.begins_history)) for n in replicas
        ]
        return actions + self._advance(now)

    def _restart(self, now: int) -> None:
        """Restarts from the first step; answers to former rounds no longer count."""
        self._round += 1 if self._is_confirming else 2  # The next odd round requests promises.
        self._step_began_ns = now
        self.adopted_replica = None
        self._promises = {}
        self._confirmed = {}

    def request_new_history(self, now: int) -> None:
        """Restarts the steps to begin a new history, as an operator requested it."""
        if not self.begins_history and not self.is_established:
            self.begins_history = True
            self._restart(now)

    def on_promise(self, now: int, replica: int, incarnation: int, promise: Promise) -> list[Action]:
        """Counts an answer to `Prepare` and returns the actions of the next step."""
        if self.is_established or self.adopted_replica is not None or promise.round != self._round:
            return []
        if not self._is_confirming:
            self._promises[replica] = incarnation, promise
        elif replica in self._promises and self._promises[replica][0] == incarnation:
            self._confirmed[replica] = incarnation, promise
        return self._advance(now)

    def _count_complete(self, answers: dict[int, tuple[int, Promise]]) -> int:
        """Counts the complete replicas, this one included; all that answered where a new history begins."""
        if self.begins_history:
            return 1 + len(answers)
        return sum([self.is_complete, *(promise.is_complete for _, promise in answers.values())])

    def _advance(self, now: int) -> list[Action]:
        if not self._is_confirming:
            if self._count_complete(self._promises) < self.settings.majority:
                return []
            self._round += 1
            self._step_began_ns = now
            self._confirmed = {}
            actions: list[Action] = [
                self._send_to(n, Prepare(self.epoch, self._round, self.begins_history))
                for n in self._promises
            ]
            return actions + (self._advance(now) if not self._promises else [])
        if self.adopted_replica is not None or self._count_complete(self._confirmed) < self.settings.majority:
            return []
        return self._choose_log(now)

    def _choose_log(self, now: int) -> list[Action]:
        """Chooses the log to adopt: the longest among the complete replicas."""
        complete = sum([self.is_complete, *(promise.is_complete for _, promise in self._confirmed.values())])
        self._is_new_history = self.begins_history and complete < self.settings.majority
        logs = {n: p.last for n, (_, p) in self._confirmed.items() if p.is_complete}
        best = max(logs, key=lambda n: logs[n], default=self.settings.number)
        self._target_version = logs.get(best, NO_VERSION)
        if self._target_version == NO_VERSION or (self.is_complete and self.log.last >= self._target_version):
            return self._establish(now)
        self.adopted_replica = best
        self._step_began_ns = now
        self._adopted_version = self.log.committed
        return self._request_tail()

    @property
    def needs_snapshot(self) -> bool:
        """Returns whether the adopted log is needed from its beginning."""
        return self.adopted_replica is not None and not self._has_base

    def _request_tail(self) -> list[Action]:
        if self.adopted_replica is None or not self._has_base:
            return []
        return [self._send_to(self.adopted_replica, ReadTail(self.epoch, self._adopted_version))]

    def on_tail_entries(self, now: int, replica: int, message: TailEntries) -> list[Action]:
        """Accepts a part of the adopted log and requests the next part, or establishes this leader.

        Entries that were accepted here before stay until the adopted log replaces them.
        """
        if replica != self.adopted_replica or not self._has_base or message.last != self._target_version:
            return []
        if message.after != self._adopted_version or not self.log.accept(message.after, message.entries):
            return []
        self._step_began_ns = now
        if message.entries:
            self._adopted_version = message.entries[-1].version
        return self._establish(now) if self._adopted_version == self._target_version else self._request_tail()

    def is_adopting(self, replica: int, epoch: Epoch) -> bool:
        """Returns whether this replica's log is being adopted."""
        return epoch == self.epoch and replica == self.adopted_replica

    def on_progress(self, now: int) -> None:
        """Restarts the timeout of the step, as a part of the adopted log was received."""
        self._step_began_ns = now

    def on_snapshot_installed(self, now: int) -> None:
        """What the other replica had committed is installed here."""
        if self.adopted_replica is not None:
            self._has_base = True
            self._step_began_ns = now
            self._requested_at_ns = now - RETRY_NS
            self._adopted_version = self.log.committed

    def _establish(self, now: int) -> list[Action]:
        history = self.epoch[0] if self._is_new_history else self.log.last.history
        self.is_established = True
        self.is_complete = True
        self.adopted_replica = None
        self._followers = {n: Follower(self.log.last, replied_at_ns=now) for n in self.other_replicas}
        self._append_entry(history, "", "", None)
        return [StatusEvent("leads", {"epoch": self.epoch, "history": history}), *self._replicate(now)]

    def _append_entry(self, history: int, service: str, key: str, value: bytes | None) -> Version:
        version = Version(history, self.epoch, self.log.last.sequence + 1)
        self.log.append(Entry(version, service, key, value))
        return version

    def put(
        self,
        now: int,
        source: Address,
        number: int,
        service: str,
        key: str,
        value: bytes | None,
    ) -> list[Action]:
        """Numbers a change; its sender is answered once it is committed."""
        if not self.is_established:
            return [Send(source, NotLeader(number, -1))]
        if any(each.recipient == source and each.number == number for each in self._waiting_commands):
            return []  # The sender repeats it, as it has no answer yet.
        if len(self.log.pending) >= self.settings.max_pending_entries:
            return [Send(source, Rejected(number, RETRY_AFTER_MS))]
        if self._adds_key(service, key, value) and len(self.log) >= self.settings.max_keys:
            return [Send(source, TooManyKeys(number, self.settings.max_keys))]
        version = self._append_entry(self.log.last.history, service, key, value)
        self._waiting_commands.append(WaitingCommand(source, number, version))
        return [StatusEvent("numbered", {"version": version}), *self._replicate(now)]

    def _adds_key(self, service: str, key: str, value: bytes | None) -> bool:
        return value is not None and key not in self.log.snapshot.get(service, {})

    def _replicate(self, now: int) -> list[Action]:
        actions: list[Action] = []
        for number, follower in self._followers.items():
            if self._is_due(now, follower):
                actions += self._append_to(now, number, follower)
        return actions + self._commit(now)

    def _is_due(self, now: int, follower: Follower) -> bool:
        """Returns whether the follower gets an `Append` now."""
        if now - follower.sent_at_ns >= HEARTBEAT_NS:
            return True
        if now - follower.replied_at_ns > UNRESPONSIVE_NS or follower.matched_version == self.log.last:
            return False
        return not follower.is_awaiting_reply or now - follower.sent_at_ns >= RESEND_NS

    def _append_to(self, now: int, number: int, follower: Follower) -> list[Action]:
        """Sends the entries that the replica lacks.

        They go in one datagram, or in several ahead of the answers where its log is known to match.
        """
        if follower.is_awaiting_reply:  # The last datagram or its answer was lost.
            follower.is_pipelined = False
        follower.sent_at_ns = now
        entries = (
            self.log.entries_after(follower.matched_version)
            if self.log.holds(follower.matched_version)
            else None
        )
        if entries is None:
            follower.is_awaiting_reply = True
            return [self._send_to(number, LogCompacted(self.epoch, follower.matched_version))]
        actions = list[Action]()
        previous = follower.matched_version
        follower.is_awaiting_reply = bool(entries)
        age = (now - self.in_touch_at_ns(now)) // MILLISECOND
        for _ in range(PIPELINED_DATAGRAMS if follower.is_pipelined else 1):
            fit, more = entries_that_fit(entries)
            body = Append(self.epoch, previous, fit, self.log.committed, self.log.last, age)
            actions.append(self._send_to(number, body))
            if not more:
                break
            previous, entries = fit[-1].version, entries[len(fit) :]
        follower.sent_version = fit[-1].version if fit else previous
        return actions

    def on_accepted(self, now: int, replica: int, incarnation: int, message: Accepted) -> list[Action]:
        """Applies a replica's answer to `Append` and returns the actions that follow."""
        follower = self._followers.get(replica)
        if follower is None or incarnation < follower.incarnation:
            return []
        if incarnation > follower.incarnation:  # Answers of the former process no longer hold.
            follower.incarnation = incarnation
            follower.acknowledged_version = NO_VERSION
            follower.is_pipelined = False
        follower.replied_at_ns = now
        if message.is_matched and message.version >= follower.matched_version:
            follower.matched_version = message.version
            follower.is_pipelined = True
            follower.is_awaiting_reply = (
                follower.is_awaiting_reply and message.version < follower.sent_version
            )
        elif not message.is_matched and not (
            follower.is_pipelined and follower.is_awaiting_reply
        ):  # While datagrams are sent ahead, such an answer is only out of order.
            follower.matched_version = message.version
            follower.is_awaiting_reply = False
            follower.is_pipelined = False
        if message.is_matched and message.is_complete:
            follower.acknowledged_version = max(follower.acknowledged_version, message.version)
        return self._replicate(now)

    def in_touch_at_ns(self, now: int) -> int:
        """Returns the time at which a majority, this replica included, was last in touch."""
        replied_at = sorted((f.replied_at_ns for f in self._followers.values()), reverse=True)
        return replied_at[self.settings.majority - 2] if self.settings.majority > 1 else now

    def _commit(self, now: int) -> list[Action]:
        """Commits the entries that a majority has; all replicas are notified at once."""
        versions = sorted(
            (self.log.last, *(f.acknowledged_version for f in self._followers.values())), reverse=True
        )
        up_to = versions[self.settings.majority - 1]
        if up_to.epoch != self.epoch or up_to <= self.log.committed:
            return []
        actions: list[Action] = [StatusEvent("committed", {"entries": tuple(self.log.commit(up_to))})]
        done = [each for each in self._waiting_commands if each.version <= up_to]
        self._waiting_commands = [each for each in self._waiting_commands if each.version > up_to]
        actions += [Send(each.recipient, Committed(each.number, each.version)) for each in done]
        for number, follower in self._followers.items():
            if not follower.is_awaiting_reply and now - follower.replied_at_ns <= UNRESPONSIVE_NS:
                actions += self._append_to(now, number, follower)
        return actions
