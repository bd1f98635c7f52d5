"""Who plans a slot of members: a majority's lease, without a disk (PaxosLease, Trencseni and others 2012).

The rules of this file:
- An acceptor that starts says nothing for the longest lease: it may have promised before, and has forgotten.
- A lease counts for its owner from before it was proposed, shorter by the drift; for an acceptor from when it
  was accepted, longer by it. So no two planners own one slot at the same instant, whatever is lost or late.
- The epoch is the round of the ballot that won the slot; whoever hears of a newer one is not the owner.

| told | acceptor | proposer |
| --- | --- | --- |
| prepare(b) | b >= promised: promise(b, owner of what it accepted); else nack(promised) | |
| promise(b, owner) | | majority without another owner: propose(b), and the lease's clock starts |
| propose(b) | b >= promised: accept, accepted(b); else nack(promised) | |
| accepted(b) | | majority: owner until the clock that started with propose ends |
| nack(p) | | the next ballot's round is beyond p's |

May know: its own clock, messages in any order, any number of times. May not know: members, tables, sockets.
"""

from __future__ import annotations

import random
from typing import Literal, NamedTuple

from .terms import DRIFT

TERM = 1_000_000_000  # ns that a planner owns a slot for; renewed at a third of it
OWNED = int(TERM * (1.0 - DRIFT))  # for the owner, whose clock may run slow
ACCEPTED = int(TERM * (1.0 + 2 * DRIFT))  # for acceptors, whose clocks may run fast
RENEW = TERM // 3  # ns of ownership after which it is asked for anew
TRY = 250_000_000  # ns, the mean wait before a free slot is tried for; drawn, or planners would duel

Ballot = tuple[int, int]  # round, planner
Kind = Literal["prepare", "promise", "propose", "accepted", "nack"]


class ElectionMessage(NamedTuple):
    """One message; `owner` is -1 for nobody; for a nack `ballot` is the one promised."""

    kind: Kind
    ballot: Ballot
    owner: int = -1


Out = list[tuple[int | None, ElectionMessage]]  # to whom (None: to all, oneself too), and what


class Election:
    """One slot at one planner: acceptor and proposer."""

    def __init__(self, me: int, planners: int, now: int, rng: random.Random) -> None:
        self.me, self._majority, self._rng = me, planners // 2 + 1, rng
        self._silent_until = now + ACCEPTED
        self._promised: Ballot = (0, -1)
        self._accepted: tuple[int, int] = (-1, 0)  # owner, and until when
        self._round = 0
        self._ballot: Ballot = (0, -1)
        self._votes: set[int] = set()
        self._proposed_at = -1
        self._until = 0
        self.epoch = 0
        self._next = now + ACCEPTED + self._pause()

    def owns(self, now: int) -> bool:
        """Whether this planner may speak for the slot at this instant."""
        return now < self._until

    def _pause(self) -> int:
        return int(TRY * self._rng.uniform(0.2, 1.8))

    def newer(self, epoch: int) -> None:
        """Somebody was heard of a newer epoch: this planner does not own the slot, and bids beyond it."""
        self._round = max(self._round, epoch)
        if epoch > self.epoch:
            self._until = 0

    def tick(self, now: int) -> Out:
        """To be called several times in a term."""
        if now < self._next or now < self._silent_until:
            return []
        if not self.owns(now) and self._accepted[0] not in (-1, self.me) and now < self._accepted[1]:
            self._next = self._accepted[1] + self._pause()
            return []
        self._round = max(self._round, self._promised[0]) + 1
        self._ballot, self._votes, self._proposed_at = (self._round, self.me), set(), -1
        self._next = now + (RENEW // 2 if self.owns(now) else TRY + self._pause())
        return [(None, ElectionMessage("prepare", self._ballot))]

    def heard(self, now: int, sender: int, word: ElectionMessage) -> Out:
        """One message, in any order, any number of times."""
        match word.kind:
            case "prepare" | "propose":
                return self._accept(now, sender, word) if now >= self._silent_until else []
            case "nack":
                self._round = max(self._round, word.ballot[0])
                return []
        if word.ballot != self._ballot:
            return []
        if word.kind == "promise" and self._proposed_at < 0:
            if word.owner in (-1, self.me):
                self._votes.add(sender)
            if len(self._votes) >= self._majority:
                self._votes, self._proposed_at = set(), now
                return [(None, ElectionMessage("propose", self._ballot))]
        elif word.kind == "accepted" and self._proposed_at >= 0:
            self._votes.add(sender)
            if len(self._votes) >= self._majority and now < self._proposed_at + OWNED:
                if not self.owns(now):
                    self.epoch = self._ballot[0]
                self._until = max(self._until, self._proposed_at + OWNED)
                self._next = max(self._next, self._proposed_at + RENEW)
        return []

    def _accept(self, now: int, sender: int, word: ElectionMessage) -> Out:
        if word.ballot < self._promised:
            return [(sender, ElectionMessage("nack", self._promised))]
        self._promised = word.ballot
        if word.kind == "propose":
            self._accepted = word.ballot[1], now + ACCEPTED
            return [(sender, ElectionMessage("accepted", word.ballot))]
        owner = self._accepted[0] if now < self._accepted[1] else -1
        return [(sender, ElectionMessage("promise", word.ballot, owner))]
