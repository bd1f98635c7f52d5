"""One replica: follows the newest epoch that it has promised, leads when it is told to, and serves gateways.

The rules of this file:
- Who leads is said from outside, by the lease election of the control tier (`leads`: the epoch, or none).
- A replica accepts entries of the newest epoch that it has promised alone, and behind what its leader has
  before them.
- There is no lasting disk. A replica that starts is not *whole*: it counts for no majority until it has heard
  the promises of a majority of whole others, has the state of a leader that is no older than any of them, and
  its log has reached all that this leader had when it was asked.
- Where fewer than a majority is whole, nothing is committed and nobody becomes whole any more: what the whole
  ones hold is still served, and an operator begins a new history with the best that is left.

May know: its own clock, words in any order, any number of times. May not know: how words travel.
"""

from __future__ import annotations

from .leading import AHEAD, Leading
from .log import Log, fitting
from .serving import Serving
from .subscriber import Subscriber
from .terms import (
    MS,
    NAME_MOST,
    SECOND,
    VALUE_MOST,
    Accepted,
    Action,
    Address,
    Append,
    Begin,
    Behind,
    Bodies,
    Done,
    Epoch,
    StatusEvent,
    NotLeader,
    Poll,
    Prepare,
    Promise,
    Put,
    Recover,
    Refused,
    ReplicaSettings,
    Send,
    Show,
    Shown,
    Stale,
    Standing,
    Subscribe,
    SubscriberSettings,
    Tail,
    TailEntries,
    Version,
)

RECOVER = 300 * MS  # ns between questions of one that is not whole
EARLY_MOST = 2 * AHEAD  # words of the leader that came too early and are kept
LONG = 3600 * SECOND  # ns: nothing was ever heard
FIRST: Epoch = (0, -1)


class Replica:
    """`whole`: it has forgotten nothing that it ever accepted or promised, or has caught up since."""

    def __init__(self, settings: ReplicaSettings, now: int, seed: int) -> None:
        self.settings, self._seed = settings, seed
        self.log = Log(settings.recent)
        self.serving = Serving(self.log, settings.pieces)
        self.promised: Epoch = FIRST
        self.whole = False
        self.leading: Leading | None = None
        self.leader = -1  # the replica that leads, as far as is known
        self._last_led = FIRST  # the epoch of the election's last word that this one leads
        self._heard_at = now - LONG  # when all that the leader had committed then was here
        self._begun: Epoch | None = None  # in which this process promised to begin a new history
        self._early: dict[Version, Append] = {}  # by what they follow
        self._standing: dict[int, Epoch] = {}  # what whole others have promised, by replica
        self._goal: tuple[Epoch, Version] | None = None  # what it needs to become whole
        self._pull: Subscriber | None = None  # takes a snapshot from another replica
        self._asked_at = now - RECOVER

    @property
    def role(self) -> str:
        if self.leading is not None:
            return "leader" if self.leading.established else "establishing"
        return "follower" if self.whole else "recovering"

    def lead(self, now: int, epoch: Epoch | None) -> list[Action]:
        """The election's word, to be handed in whenever it may have changed."""
        if epoch is None or (epoch < self.promised and epoch == self._last_led):
            self.leading = None
            return []
        if epoch == self._last_led:
            return []
        self._last_led = epoch
        if epoch < self.promised:
            self.leading = None
            return [StatusEvent("outdone", {"by": self.promised})]
        self.promised, self.leader = epoch, self.settings.number
        self.leading = Leading(self.settings, self.log, epoch, now, self.whole)
        return self.leading.tick(now)

    def tick(self, now: int) -> list[Action]:
        made: list[Action] = []
        if self.leading is not None:
            made += self._led(now, self.leading.tick(now))
            if self.leading.wants_snapshot and (source := self.leading.adopting) is not None:
                made += self._begin_pull(now, self.settings.replicas[source])
        elif not self.whole and now - self._asked_at >= RECOVER:
            self._asked_at = now
            made += [Send(at, Recover()) for at in self._others()]
        if self._pull is not None:
            made += self._pulled(now, self._pull.tick(now))
        return made

    def _others(self) -> list[Address]:
        return [at for n, at in enumerate(self.settings.replicas) if n != self.settings.number]

    def _led(self, now: int, made: list[Action]) -> list[Action]:
        """What the leader's part wants done; an established one is whole, and hears itself."""
        if self.leading is not None and self.leading.established:
            if not self.whole:
                self._become_whole()
            self._pull, self._heard_at = None, self.leading.in_touch_at(now)
        return made

    def _become_whole(self) -> None:
        self.whole, self._goal, self._pull = True, None, None
        self._standing.clear()

    def received(self, now: int, replica: int, born: int, body: Bodies, source: Address) -> list[Action]:
        """`replica`: the sender's number, -1 for a gateway or a command; `born`: which process of it."""
        match body:
            case Poll():
                return [Send(source, each) for each in self._answer(now, body, replica >= 0)]
            case Subscribe():
                self.serving.subscriptions.take(source, body)
                return []
            case Put() | Begin() | Show():
                return self._operator(now, body, source)
        if self._pull is not None:
            made = self._pulled(now, self._pull.received(now, body, source))
            if made:
                return made
        if not 0 <= replica < len(self.settings.replicas) or replica == self.settings.number:
            return []
        return self._from_replica(now, replica, born, body, source)

    def _answer(self, now: int, poll: Poll, replica: bool) -> list[Bodies]:
        if not self.whole:
            return [Refused(poll.number, 0)]
        return self.serving.answer(now, poll, self._heard_at, bounded=not replica)

    def _from_replica(
        self,
        now: int,
        replica: int,
        born: int,
        body: Bodies,
        source: Address,
    ) -> list[Action]:
        match body:
            case Prepare():
                return self._prepare(body, source)
            case Append():
                return self._append(now, replica, body, source)
            case Behind():
                return self._behind(now, replica, body, source)
            case Tail():
                return self._tail(body, source)
            case Recover():
                return [Send(source, self._my_standing(born))] if self.whole else []
            case Standing():
                return self._stands(now, replica, body)
            case Stale(promised) if promised > self.promised:
                self.promised, self.leader, self.leading = promised, -1, None
                return [StatusEvent("outdone", {"by": promised})]
        if self.leading is None:
            return []
        match body:
            case Promise() if body.epoch == self.leading.epoch:
                return self._led(now, self.leading.promised(now, replica, born, body))
            case TailEntries() if body.epoch == self.leading.epoch:
                return self._led(now, self.leading.tail(now, replica, body))
            case Accepted() if body.epoch == self.leading.epoch and self.leading.established:
                return self.leading.accepted(now, replica, born, body)
        return []

    # Following.

    def _prepare(self, told: Prepare, source: Address) -> list[Action]:
        if told.epoch < self.promised:
            return [Send(source, Stale(self.promised))]
        if told.epoch > self.promised:
            self.promised, self.leader, self.leading = told.epoch, -1, None
        if told.begin and not self.whole:
            self._begun = told.epoch
        return [Send(source, Promise(told.epoch, told.round, self.whole, self.log.committed, self.log.last))]

    def _follows(self, replica: int, epoch: Epoch) -> bool:
        """Whether this replica is a leader to be followed; from now on it is."""
        if epoch < self.promised:
            return False
        if epoch > self.promised:
            self.promised, self.leading = epoch, None
        if self.leading is not None:
            return False
        self.leader = replica
        return True

    def _append(self, now: int, replica: int, told: Append, source: Address) -> list[Action]:
        if not self._follows(replica, told.epoch):
            return [Send(source, Stale(self.promised))] if told.epoch < self.promised else []
        if self.whole and told.last.history != self.log.last.history:
            return self._forget(now)
        if not self.whole and (self._goal is None or self._goal[0] != told.epoch):
            return []
        if not self.log.accept(told.previous, told.entries):
            self._keep_early(told)
            return [Send(source, Accepted(told.epoch, False, self.whole, self.log.committed))]
        upto = told.entries[-1].version if told.entries else told.previous
        while (early := self._early.pop(upto, None)) is not None and early.epoch == told.epoch:
            self.log.accept(upto, early.entries)
            upto = early.entries[-1].version
        made: list[Action] = []
        done = self.log.commit(min(upto, told.committed))
        if self.log.committed >= told.committed:
            self._heard_at = max(self._heard_at, now - told.age * MS)
        if done:
            made.append(StatusEvent("committed", {"entries": tuple(done)}))
        if self.whole:
            self._pull = None  # nothing is missing here
        if self._goal is not None and not self.whole and upto >= self._goal[1]:
            self._become_whole()
            made.append(StatusEvent("whole", {"version": upto}))
        return [*made, Send(source, Accepted(told.epoch, True, self.whole, upto))]

    def _keep_early(self, told: Append) -> None:
        """Entries that came before those that they follow."""
        if any(each.epoch != told.epoch for each in self._early.values()):
            self._early.clear()
        if told.entries and len(self._early) < EARLY_MOST:
            self._early[told.previous] = told

    def _behind(self, now: int, replica: int, told: Behind, source: Address) -> list[Action]:
        if self.leading is not None and self.leading.adopts(replica, told.epoch):
            return self._begin_pull(now, source)
        if not self._follows(replica, told.epoch):
            return []
        if self.log.committed > told.version:
            return [Send(source, Accepted(told.epoch, False, self.whole, self.log.committed))]
        return self._begin_pull(now, source)

    def _forget(self, now: int) -> list[Action]:
        """Another history has begun: what was held of the former one holds no longer."""
        self.whole, self._asked_at = False, now - RECOVER
        self.log = Log(self.settings.recent)
        self.serving.replace(self.log)
        self._standing.clear()
        self._goal, self._begun = None, self.promised
        return [StatusEvent("forgot", {})]

    def _tail(self, told: Tail, source: Address) -> list[Action]:
        """For a new leader, whose log is shorter."""
        if told.epoch != self.promised or not self.whole:
            return []
        entries = self.log.after(told.after) if self.log.holds(told.after) else None
        if entries is None:
            return [Send(source, Behind(told.epoch, told.after))]
        fit, _ = fitting(entries)
        return [Send(source, TailEntries(told.epoch, told.after, fit, self.log.last))]

    # Becoming whole.

    def _my_standing(self, born: int) -> Standing:
        leads = self.leading is not None and self.leading.established
        return Standing(born, self.promised, leads, self.log.last)

    def _stands(self, now: int, replica: int, told: Standing) -> list[Action]:
        if self.whole or self.leading is not None or told.born != self.settings.born:
            return []
        self._standing[replica] = told.promised
        self.promised = max(self.promised, told.promised)
        enough = len(self._standing) >= self.settings.majority or self._begun == told.promised
        if not told.leads or told.promised != self.promised or not enough:
            return []
        if self._goal is None or self._goal[0] != told.promised:
            self._goal = told.promised, told.last
            self.leader = replica
            return self._begin_pull(now, self.settings.replicas[replica])
        return []

    def _begin_pull(self, now: int, source: Address) -> list[Action]:
        """Takes a snapshot from there, unless one is being taken."""
        if self._pull is not None and self._pull.settings.replicas == (source,):
            return []
        self._pull = Subscriber(SubscriberSettings((source,), None), now, self._seed)
        return self._pull.tick(now)

    def _pulled(self, now: int, made: list[Action]) -> list[Action]:
        """The pull's own; what it has got is taken into the log."""
        pull = self._pull
        if pull is None or pull.fresh_at is None:
            if made and self.leading is not None and pull is not None and pull.answered_at == now:
                self.leading.progressed(now)
            return [each for each in made if isinstance(each, Send)]
        self._pull, made = None, []
        if pull.version > self.log.committed:
            self.log.install(pull.snapshot, pull.version)
        if self.leading is not None:
            self.leading.pulled(now)
        elif self.leader >= 0:
            has = Accepted(self.promised, False, self.whole, self.log.committed)
            made = [Send(self.settings.replicas[self.leader], has)]
        return [*made, StatusEvent("installed", {"version": pull.version, "keys": len(self.log)})]

    # For operators.

    def _operator(self, now: int, body: Put | Begin | Show, source: Address) -> list[Action]:
        if isinstance(body, Show):
            return [Send(source, self._shown(body))]
        if self.leading is None:
            return [Send(source, NotLeader(body.number, self.leader))]
        if isinstance(body, Begin):
            if self.leading.established and self.log.committed.epoch == self.leading.epoch:
                return [Send(source, Done(body.number, self.log.committed))]
            self.leading.want_begin(now)
            return [Send(source, NotLeader(body.number, self.settings.number))]
        if not _fits(body):
            return []
        return self.leading.put(now, source, body.number, body.service, body.key, body.value)

    def _shown(self, asked: Show) -> Shown:
        entry = self.log.snapshot.get(asked.service, {}).get(asked.key)
        return Shown(
            asked.number, self.role, self.promised, self.log.committed, self.log.last, len(self.log), entry
        )


def _fits(put: Put) -> bool:
    """Within the bounds of an entry."""
    names = all(0 < len(each) <= NAME_MOST and "\0" not in each for each in (put.service, put.key))
    return names and len(put.value or b"") <= VALUE_MOST
