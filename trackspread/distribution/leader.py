"""What the leader of one epoch does: learns what may be committed, then numbers, replicates and commits.

Rules:
- The epoch is the lease election's ballot: one process alone ever leads under it. Nothing here needs the
  lease to be exclusive: a leader has the promises of a majority, and each replica keeps to the newest epoch
  that it has promised. Of two that both believe they lead, one commits.
- Replicas have no disk. One that started anew may have forgotten a promise that it was counted for, so a
  majority of promises is requested a second time: a promise counts whose process still runs after all of them
  were actions (a crash-consistent quorum: Michael and others, DISC 2017).
- The longest log of a majority, by its last version, has all that may be committed; it is taken over
  completely.
- An entry is committed once a majority of complete replicas has it, and it or one behind it is of this epoch.

| step | requests to | goes on when |
| --- | --- | --- |
| promises | all, for promises | a majority has promised |
| confirming | these, once more | the same processes of a majority have answered |
| adopting | the one with the longest log, for what is missing here | nothing is missing |
| leading | all, to accept | for as long as it leads |

No I/O; knows nothing of the election or of gateways.
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
STEP_TIMEOUT_NS = 3 * SECOND  # for confirming or adopting; then all begins anew
PIPELINED_DATAGRAMS = 16  # that are sent to one replica before it answers
RESEND_NS = 300 * MILLISECOND  # without an answer after which entries are sent again
HEARTBEAT_NS = 500 * MILLISECOND  # between messages to a replica that has everything
UNRESPONSIVE_NS = 5 * SECOND  # after which a replica that does not answer gets heartbeats only
RETRY_AFTER_MS = 200  # for an operator's command, where too much is pending


@dataclass(slots=True)
class Follower:
    """What the leader knows of one replica.

    `matched_version`: up to which its log is the leader's, as far as is known; `acknowledged_version`: up to
    which it counts for a majority; `incarnation`: which process said so; `is_awaiting_reply`: entries were
    sent, and not answered yet; `is_pipelined`: its last answer was that they fit, so several are sent
    ahead."""

    matched_version: Version
    sent_version: Version = NO_VERSION  # the last that was sent
    acknowledged_version: Version = NO_VERSION
    incarnation: int = 0
    sent_at_ns: int = 0
    heard_at_ns: int = 0
    is_awaiting_reply: bool = False
    is_pipelined: bool = False


@dataclass(frozen=True, slots=True)
class WaitingCommand:
    """An operator's command that is answered when its change is committed."""

    recipient: Address
    number: int
    version: Version


class Leader:
    """The leader of one epoch. `is_established`: it numbers changes; `begins_history`: an operator wants a
    new history."""

    def __init__(
        self, settings: ReplicaSettings, log: Log, epoch: Epoch, now: int, is_complete: bool
    ) -> None:
        self.settings = settings
        self.log = log
        self.epoch = epoch
        self.is_complete = is_complete
        self.begins_history = False
        self.is_established = False
        self.adopted_replica: int | None = None  # the replica whose log is taken over
        self._round = 1
        self._requested_at_ns = now - RETRY_NS
        self._step_began_ns = now
        self._promises: dict[int, tuple[int, Promise]] = {}  # by replica: its incarnation and promise
        self._confirmed: dict[int, tuple[int, Promise]] = {}
        self._target_version = NO_VERSION  # the last version of the log that is taken over
        self._adopted_version = NO_VERSION  # up to where it is here
        self._has_base = is_complete  # whether the log here is one that the tail can follow
        self._is_new_history = False  # whether a new history begins
        self._followers: dict[int, Follower] = {}
        self._waiting_commands: list[WaitingCommand] = []

    @property
    def other_replicas(self) -> list[int]:
        """Their numbers."""
        return [n for n in range(len(self.settings.replicas)) if n != self.settings.number]

    @property
    def _is_confirming(self) -> bool:
        """Odd rounds request promises, even ones have them confirmed."""
        return self._round % 2 == 0

    def _send_to(self, number: int, body: MessageBody) -> Send:
        return Send(self.settings.replicas[number], body)

    def tick(self, now: int) -> list[Action]:
        """What is due; to be called several times in `RETRY_NS`."""
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
        """Begin with the first step again; answers to former rounds no longer count."""
        self._round += 1 if self._is_confirming else 2  # the next odd one
        self._step_began_ns = now
        self.adopted_replica = None
        self._promises = {}
        self._confirmed = {}

    def request_new_history(self, now: int) -> None:
        """An operator wants a new history begun."""
        if not self.begins_history and not self.is_established:
            self.begins_history = True
            self._restart(now)

    def on_promise(self, now: int, replica: int, incarnation: int, promise: Promise) -> list[Action]:
        """An answer to `Prepare`."""
        if self.is_established or self.adopted_replica is not None or promise.round != self._round:
            return []
        if not self._is_confirming:
            self._promises[replica] = incarnation, promise
        elif replica in self._promises and self._promises[replica][0] == incarnation:
            self._confirmed[replica] = incarnation, promise
        return self._advance(now)

    def _count_complete(self, answers: dict[int, tuple[int, Promise]]) -> int:
        """Complete replicas among the answers, this one too; all of them where a new history begins."""
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
        """Choose the log that is taken over: the longest of the complete replicas."""
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
        """Whether the log that is taken over is needed from its beginning."""
        return self.adopted_replica is not None and not self._has_base

    def _request_tail(self) -> list[Action]:
        if self.adopted_replica is None or not self._has_base:
            return []
        return [self._send_to(self.adopted_replica, ReadTail(self.epoch, self._adopted_version))]

    def on_tail_entries(self, now: int, replica: int, message: TailEntries) -> list[Action]:
        """Take a part of the log that is taken over. What was accepted here stays until that log replaces
        it."""
        if replica != self.adopted_replica or not self._has_base or message.last != self._target_version:
            return []
        if message.after != self._adopted_version or not self.log.accept(message.after, message.entries):
            return []
        self._step_began_ns = now
        if message.entries:
            self._adopted_version = message.entries[-1].version
        return self._establish(now) if self._adopted_version == self._target_version else self._request_tail()

    def is_adopting(self, replica: int, epoch: Epoch) -> bool:
        """Whether this replica's log is taken over."""
        return epoch == self.epoch and replica == self.adopted_replica

    def on_progress(self, now: int) -> None:
        """Some of the log that is taken over has come."""
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
        self._followers = {n: Follower(self.log.last, heard_at_ns=now) for n in self.other_replicas}
        self._append_entry(history, "", "", None)
        return [StatusEvent("leads", {"epoch": self.epoch, "history": history}), *self._replicate(now)]

    def _append_entry(self, history: int, service: str, key: str, value: bytes | None) -> Version:
        version = Version(history, self.epoch, self.log.last.sequence + 1)
        self.log.append(Entry(version, service, key, value))
        return version

    # Established.

    def put(
        self,
        now: int,
        source: Address,
        number: int,
        service: str,
        key: str,
        value: bytes | None,
    ) -> list[Action]:
        """Number a change; its sender is answered once it is committed."""
        if not self.is_established:
            return [Send(source, NotLeader(number, -1))]
        if any(each.recipient == source and each.number == number for each in self._waiting_commands):
            return []  # sent again, as no answer has come yet
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
        """Whether the follower gets an `Append` now."""
        if now - follower.sent_at_ns >= HEARTBEAT_NS:
            return True
        if now - follower.heard_at_ns > UNRESPONSIVE_NS or follower.matched_version == self.log.last:
            return False
        return not follower.is_awaiting_reply or now - follower.sent_at_ns >= RESEND_NS

    def _append_to(self, now: int, number: int, follower: Follower) -> list[Action]:
        """What the replica lacks: one datagram, or several where its log is known to match."""
        if follower.is_awaiting_reply:  # what was sent is lost, or its answer is
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
        """A replica's answer to `Append`."""
        follower = self._followers.get(replica)
        if follower is None or incarnation < follower.incarnation:
            return []
        if incarnation > follower.incarnation:  # what a former process answered no longer holds
            follower.incarnation = incarnation
            follower.acknowledged_version = NO_VERSION
            follower.is_pipelined = False
        follower.heard_at_ns = now
        if message.is_matched and message.version >= follower.matched_version:
            follower.matched_version = message.version
            follower.is_pipelined = True
            follower.is_awaiting_reply = (
                follower.is_awaiting_reply and message.version < follower.sent_version
            )
        elif not message.is_matched and not (
            follower.is_pipelined and follower.is_awaiting_reply
        ):  # else it comes out of order
            follower.matched_version = message.version
            follower.is_awaiting_reply = False
            follower.is_pipelined = False
        if message.is_matched and message.is_complete:
            follower.acknowledged_version = max(follower.acknowledged_version, message.version)
        return self._replicate(now)

    def in_touch_at_ns(self, now: int) -> int:
        """When a majority was last in touch, this replica included."""
        heard = sorted((f.heard_at_ns for f in self._followers.values()), reverse=True)
        return heard[self.settings.majority - 2] if self.settings.majority > 1 else now

    def _commit(self, now: int) -> list[Action]:
        """Commit what a majority has; all are notified at once."""
        versions = sorted(
            (self.log.last, *(f.acknowledged_version for f in self._followers.values())), reverse=True
        )
        upto = versions[self.settings.majority - 1]
        if upto.epoch != self.epoch or upto <= self.log.committed:
            return []
        actions: list[Action] = [StatusEvent("committed", {"entries": tuple(self.log.commit(upto))})]
        done = [each for each in self._waiting_commands if each.version <= upto]
        self._waiting_commands = [each for each in self._waiting_commands if each.version > upto]
        actions += [Send(each.recipient, Committed(each.number, each.version)) for each in done]
        for number, follower in self._followers.items():
            if not follower.is_awaiting_reply and now - follower.heard_at_ns <= UNRESPONSIVE_NS:
                actions += self._append_to(now, number, follower)
        return actions
