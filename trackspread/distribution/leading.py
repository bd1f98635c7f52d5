"""What the leader of one epoch does: learns what may be committed, then numbers, replicates and commits.

The rules of this file:
- The epoch is the lease election's ballot: one process alone ever leads under it. Nothing here needs the
  lease to be exclusive: a leader speaks for a majority of promises, and each replica keeps to the newest
  epoch that it has promised. Two that both believe they lead number differently, and one of them commits.
- Replicas have no disk. One that started anew may have forgotten a promise that it was counted for, so a
  majority of promises is asked for a second time: a promise counts whose process still runs after all of them
  were made (a crash-consistent quorum: Michael and others, DISC 2017).
- The longest log of a majority, by its last version, has all that may be committed; it is taken over whole.
- An entry is committed once a majority of whole replicas has it, and it or one behind it is of this epoch.

| step | asks | goes on when |
| --- | --- | --- |
| promises | all, for promises | a majority has promised |
| confirming | these, once more | the same processes of a majority have answered |
| adopting | the one with the longest log, for what is missing here | nothing is missing |
| leading | all, to accept | for as long as it leads |

May know: its own log, what replicas answer. May not know: who elects, gateways, sockets.
"""

from __future__ import annotations

from dataclasses import dataclass

from .log import Log, fitting
from .terms import (
    MS,
    NOTHING,
    SECOND,
    Accepted,
    Action,
    Address,
    Append,
    Behind,
    Bodies,
    Done,
    Entry,
    Epoch,
    Full,
    StatusEvent,
    NotLeader,
    Prepare,
    Promise,
    Refused,
    ReplicaSettings,
    Send,
    Tail,
    TailEntries,
    Version,
)

ASK = 200 * MS  # ns between two askings of one step
STEP_MOST = 3 * SECOND  # ns for confirming or adopting; then all begins anew
AHEAD = 16  # datagrams that are sent to one replica before it answers
RESEND = 300 * MS  # ns without an answer after which entries are sent again
HEARTBEAT = 500 * MS  # ns between words to a replica that has everything
SILENT = 5 * SECOND  # ns after which one that does not answer is written to at each heartbeat only
AGAIN = 200  # ms after which an operator's command may come again, where too much is pending


@dataclass(slots=True)
class Follower:
    """What the leader knows of one replica. `has`: the version up to which its log is the leader's, as far as
    is known; `acked`: up to which it counts for a majority; `born`: which process said so; `waiting`: entries
    were sent, and not answered yet; `sure`: its last answer was that they fit, so several are sent ahead."""

    has: Version
    sent: Version = NOTHING  # the last that was sent
    acked: Version = NOTHING
    born: int = 0
    sent_at: int = 0
    heard_at: int = 0
    waiting: bool = False
    sure: bool = False


@dataclass(frozen=True, slots=True)
class Waiting:
    """An operator's command that is to hear when its change is committed."""

    to: Address
    number: int
    version: Version


class Leading:
    """One epoch's. `established`: it numbers changes; `begin`: an operator wants a new history."""

    def __init__(self, settings: ReplicaSettings, log: Log, epoch: Epoch, now: int, whole: bool) -> None:
        self.settings, self.log, self.epoch, self.whole = settings, log, epoch, whole
        self.begin = self.established = False
        self.adopting: int | None = None  # the replica whose log is taken over
        self._round, self._asked_at, self._began_at = 1, now - ASK, now
        self._promises: dict[int, tuple[int, Promise]] = {}  # by replica: its process and what it said
        self._confirmed: dict[int, tuple[int, Promise]] = {}
        self._target = NOTHING  # the last version of the log that is taken over
        self._adopted = NOTHING  # up to where it is here
        self._based = whole  # whether there is a log here that its tail can follow
        self._new = False  # whether another history begins
        self._followers: dict[int, Follower] = {}
        self._waiting: list[Waiting] = []

    @property
    def others(self) -> list[int]:
        return [n for n in range(len(self.settings.replicas)) if n != self.settings.number]

    def _to(self, number: int, body: Bodies) -> Send:
        return Send(self.settings.replicas[number], body)

    def tick(self, now: int) -> list[Action]:
        """To be called several times in `ASK`."""
        if self.established:
            return self._replicate(now)
        if self._round % 2 == 0 and now - self._began_at > STEP_MOST:
            self._restart(now)
        if now - self._asked_at < ASK:
            return []
        self._asked_at = now
        if self.adopting is not None:
            return self._ask_tail()
        asked = list(self._promises) if self._round % 2 == 0 else self.others
        made: list[Action] = [self._to(n, Prepare(self.epoch, self._round, self.begin)) for n in asked]
        return made + self._proceed(now)

    def _restart(self, now: int) -> None:
        """From the first step; answers to former rounds count no more."""
        self._round += 1 + self._round % 2
        self._began_at, self.adopting = now, None
        self._promises, self._confirmed = {}, {}

    def want_begin(self, now: int) -> None:
        """An operator's word."""
        if not self.begin and not self.established:
            self.begin = True
            self._restart(now)

    def promised(self, now: int, replica: int, born: int, promise: Promise) -> list[Action]:
        """An answer to `Prepare`."""
        if self.established or self.adopting is not None or promise.round != self._round:
            return []
        if self._round % 2:
            self._promises[replica] = born, promise
        elif replica in self._promises and self._promises[replica][0] == born:
            self._confirmed[replica] = born, promise
        return self._proceed(now)

    def _count(self, answers: dict[int, tuple[int, Promise]]) -> int:
        """Of those that count, this one too."""
        return (self.whole or self.begin) + sum(p.whole or self.begin for _, p in answers.values())

    def _proceed(self, now: int) -> list[Action]:
        if self._round % 2:
            if self._count(self._promises) < self.settings.majority:
                return []
            self._round += 1
            self._began_at, self._confirmed = now, {}
            made: list[Action] = [
                self._to(n, Prepare(self.epoch, self._round, self.begin)) for n in self._promises
            ]
            return made + (self._proceed(now) if not self._promises else [])
        if self.adopting is not None or self._count(self._confirmed) < self.settings.majority:
            return []
        return self._choose(now)

    def _choose(self, now: int) -> list[Action]:
        """The log that is taken over."""
        whole = sum(p.whole for _, p in self._confirmed.values()) + self.whole
        self._new = self.begin and whole < self.settings.majority
        logs = {n: p.last for n, (_, p) in self._confirmed.items() if p.whole}
        best = max(logs, key=lambda n: logs[n], default=self.settings.number)
        self._target = logs.get(best, NOTHING)
        if self._target == NOTHING or (self.whole and self.log.last >= self._target):
            return self._establish(now)
        self.adopting, self._began_at, self._adopted = best, now, self.log.committed
        return self._ask_tail()

    @property
    def wants_snapshot(self) -> bool:
        """Whether the log that is taken over has to be had from its beginning."""
        return self.adopting is not None and not self._based

    def _ask_tail(self) -> list[Action]:
        if self.adopting is None or not self._based:
            return []
        return [self._to(self.adopting, Tail(self.epoch, self._adopted))]

    def tail(self, now: int, replica: int, told: TailEntries) -> list[Action]:
        """A part of the log that is taken over. What was accepted here stays until that log replaces it."""
        if replica != self.adopting or not self._based or told.last != self._target:
            return []
        if told.after != self._adopted or not self.log.accept(told.after, told.entries):
            return []
        self._began_at = now
        if told.entries:
            self._adopted = told.entries[-1].version
        return self._establish(now) if self._adopted == self._target else self._ask_tail()

    def adopts(self, replica: int, epoch: Epoch) -> bool:
        """Whether this is the one whose log is taken over."""
        return epoch == self.epoch and replica == self.adopting

    def progressed(self, now: int) -> None:
        """Something came of the log that is taken over."""
        self._began_at = now

    def pulled(self, now: int) -> None:
        """What the other had committed is here now."""
        if self.adopting is not None:
            self._based, self._began_at, self._asked_at = True, now, now - ASK
            self._adopted = self.log.committed

    def _establish(self, now: int) -> list[Action]:
        history = self.epoch[0] if self._new else self.log.last.history
        self.established, self.whole, self.adopting = True, True, None
        self._followers = {n: Follower(self.log.last, heard_at=now) for n in self.others}
        self._number(history, "", "", None)
        return [StatusEvent("leads", {"epoch": self.epoch, "history": history}), *self._replicate(now)]

    def _number(self, history: int, service: str, key: str, value: bytes | None) -> Version:
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
        """A change; who asks for it hears of its commit."""
        if not self.established:
            return [Send(source, NotLeader(number, -1))]
        if any(each.to == source and each.number == number for each in self._waiting):
            return []  # it asks again, as no answer has come yet
        if len(self.log.pending) >= self.settings.pending:
            return [Send(source, Refused(number, AGAIN))]
        if self._is_one_more(service, key, value) and len(self.log) >= self.settings.keys:
            return [Send(source, Full(number, self.settings.keys))]
        version = self._number(self.log.last.history, service, key, value)
        self._waiting.append(Waiting(source, number, version))
        return [StatusEvent("numbered", {"version": version}), *self._replicate(now)]

    def _is_one_more(self, service: str, key: str, value: bytes | None) -> bool:
        return value is not None and key not in self.log.snapshot.get(service, {})

    def _replicate(self, now: int) -> list[Action]:
        made: list[Action] = []
        for number, follower in self._followers.items():
            if self._due(now, follower):
                made += self._append(now, number, follower)
        return made + self._commit(now)

    def _due(self, now: int, follower: Follower) -> bool:
        """Whether it is to be written to."""
        if now - follower.sent_at >= HEARTBEAT:
            return True
        if now - follower.heard_at > SILENT or follower.has == self.log.last:
            return False
        return not follower.waiting or now - follower.sent_at >= RESEND

    def _append(self, now: int, number: int, follower: Follower) -> list[Action]:
        """What the replica lacks: one datagram, or some where it is sure to follow."""
        if follower.waiting:  # what was sent is lost, or its answer
            follower.sure = False
        follower.sent_at = now
        entries = self.log.after(follower.has) if self.log.holds(follower.has) else None
        if entries is None:
            follower.waiting = True
            return [self._to(number, Behind(self.epoch, follower.has))]
        made, previous, follower.waiting = list[Action](), follower.has, bool(entries)
        age = (now - self.in_touch_at(now)) // MS
        for _ in range(AHEAD if follower.sure else 1):
            fit, more = fitting(entries)
            body = Append(self.epoch, previous, fit, self.log.committed, self.log.last, age)
            made.append(self._to(number, body))
            if not more:
                break
            previous, entries = fit[-1].version, entries[len(fit) :]
        follower.sent = fit[-1].version if fit else previous
        return made

    def accepted(self, now: int, replica: int, born: int, told: Accepted) -> list[Action]:
        """A replica's answer."""
        follower = self._followers.get(replica)
        if follower is None or born < follower.born:
            return []
        if born > follower.born:  # what a former process said holds no longer
            follower.born, follower.acked, follower.sure = born, NOTHING, False
        follower.heard_at = now
        if told.matched and told.version >= follower.has:
            follower.has, follower.sure = told.version, True
            follower.waiting = follower.waiting and told.version < follower.sent
        elif not told.matched and not (follower.sure and follower.waiting):  # else it comes out of order
            follower.has, follower.waiting, follower.sure = told.version, False, False
        if told.matched and told.whole:
            follower.acked = max(follower.acked, told.version)
        return self._replicate(now)

    def in_touch_at(self, now: int) -> int:
        """When a majority was last heard, this one included."""
        heard = sorted((f.heard_at for f in self._followers.values()), reverse=True)
        return heard[self.settings.majority - 2] if self.settings.majority > 1 else now

    def _commit(self, now: int) -> list[Action]:
        """What a majority has now; all are told at once."""
        versions = sorted((self.log.last, *(f.acked for f in self._followers.values())), reverse=True)
        upto = versions[self.settings.majority - 1]
        if upto.epoch != self.epoch or upto <= self.log.committed:
            return []
        made: list[Action] = [StatusEvent("committed", {"entries": tuple(self.log.commit(upto))})]
        done = [each for each in self._waiting if each.version <= upto]
        self._waiting = [each for each in self._waiting if each.version > upto]
        made += [Send(each.to, Done(each.number, each.version)) for each in done]
        for number, follower in self._followers.items():
            if not follower.waiting and now - follower.heard_at <= SILENT:
                made += self._append(now, number, follower)
        return made
