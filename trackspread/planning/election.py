"""Elects the planner that owns a slot of tenants by a majority's lease, without a disk.

The protocol is PaxosLease (Trencseni and others 2012).

Rules:
- An acceptor that starts does not answer for the longest lease, as it may have lost a promise that it gave.
- For its owner a lease counts from before it was proposed and is shortened by the clock drift; for an
  acceptor it counts from when it was accepted and is lengthened by the drift. So no two planners own one slot
  at the same instant, whatever messages are lost or late.
- The epoch is the round of the ballot that won the slot; a planner that sees a newer epoch is not the owner.

| message | acceptor | proposer |
| --- | --- | --- |
| prepare(b) | b >= promised: promise(b, owner of what it accepted); else nack(promised) | |
| promise(b, owner) | | majority without another owner: propose(b), and the lease starts |
| propose(b) | b >= promised: accept, accepted(b); else nack(promised) | |
| accepted(b) | | majority: owner until the lease that started with propose ends |
| nack(p) | | the next ballot's round is beyond p's |

An election knows its own clock and accepts messages in any order, any number of times. The module does no
I/O.
"""

from __future__ import annotations

import random
from typing import Literal, NamedTuple

from ..decide.time_units import MILLISECOND, SECOND
from .timing import CLOCK_DRIFT

TERM_NS = 1 * SECOND  # the term for which a planner owns a slot
OWNED_NS = int(TERM_NS * (1.0 - CLOCK_DRIFT))  # for the owner, whose clock may run slow
ACCEPTED_NS = int(TERM_NS * (1.0 + 2 * CLOCK_DRIFT))  # for acceptors, whose clocks may run fast
RENEWAL_NS = TERM_NS // 3  # after a proposal, when the owner proposes itself again
MEAN_BACKOFF_NS = 250 * MILLISECOND  # before a proposal for a free slot; jitter keeps planners from colliding
NO_OWNER = -1

Ballot = tuple[int, int]  # round, planner
MessageKind = Literal["prepare", "promise", "propose", "accepted", "nack"]


class ElectionMessage(NamedTuple):
    """Holds one message between planners.

    `owner` is set in a promise, and is `NO_OWNER` if none was accepted. In a nack `ballot` is the promised
    one.
    """

    kind: MessageKind
    ballot: Ballot
    owner: int = NO_OWNER


# Each message with its recipient; None stands for all planners, the sender included.
Outbox = list[tuple[int | None, ElectionMessage]]


class Election:
    """Acts as the acceptor and the proposer of one planner for one slot."""

    def __init__(self, planner: int, planners: int, now: int, rng: random.Random) -> None:
        self.planner = planner
        self._majority = planners // 2 + 1
        self._rng = rng
        self._abstains_until_ns = now + ACCEPTED_NS
        self._promised: Ballot = (0, -1)
        self._accepted: tuple[int, int] = (NO_OWNER, 0)  # the owner, and until when in nanoseconds
        self._round = 0
        self._ballot: Ballot = (0, -1)
        self._votes: set[int] = set()
        self._proposed_at_ns = -1
        self._owned_until_ns = 0
        self.epoch = 0
        self._next_attempt_ns = now + ACCEPTED_NS + self._random_backoff_ns()

    def owns(self, now: int) -> bool:
        """Returns whether this planner owns the slot at this instant."""
        return now < self._owned_until_ns

    def _random_backoff_ns(self) -> int:
        return int(MEAN_BACKOFF_NS * self._rng.uniform(0.2, 1.8))

    def on_newer_epoch(self, epoch: int) -> None:
        """Gives the slot up if the epoch is newer; the next ballot's round is beyond it."""
        self._round = max(self._round, epoch)
        if epoch > self.epoch:
            self._owned_until_ns = 0

    def tick(self, now: int) -> Outbox:
        """Returns the messages that are due; has to be called several times in a term."""
        if now < self._next_attempt_ns or now < self._abstains_until_ns:
            return []
        if not self.owns(now) and self._accepted[0] not in (-1, self.planner) and now < self._accepted[1]:
            self._next_attempt_ns = self._accepted[1] + self._random_backoff_ns()
            return []
        self._round = max(self._round, self._promised[0]) + 1
        self._ballot = self._round, self.planner
        self._votes = set()
        self._proposed_at_ns = -1
        if self.owns(now):
            self._next_attempt_ns = now + RENEWAL_NS // 2
        else:
            self._next_attempt_ns = now + MEAN_BACKOFF_NS + self._random_backoff_ns()
        return [(None, ElectionMessage("prepare", self._ballot))]

    def on_message(self, now: int, sender: int, message: ElectionMessage) -> Outbox:
        """Handles a message, which may come in any order, any number of times, and returns the answers."""
        match message.kind:
            case "prepare" | "propose":
                return self._vote(now, sender, message) if now >= self._abstains_until_ns else []
            case "nack":
                self._round = max(self._round, message.ballot[0])
                return []
        if message.ballot != self._ballot:
            return []
        if message.kind == "promise" and self._proposed_at_ns < 0:
            return self._on_promise(now, sender, message)
        if message.kind == "accepted" and self._proposed_at_ns >= 0:
            self._on_accepted(now, sender)
        return []

    def _on_promise(self, now: int, sender: int, message: ElectionMessage) -> Outbox:
        if message.owner in (NO_OWNER, self.planner):
            self._votes.add(sender)
        if len(self._votes) < self._majority:
            return []
        self._votes = set()
        self._proposed_at_ns = now
        return [(None, ElectionMessage("propose", self._ballot))]

    def _on_accepted(self, now: int, sender: int) -> None:
        self._votes.add(sender)
        if len(self._votes) < self._majority or now >= self._proposed_at_ns + OWNED_NS:
            return
        if not self.owns(now):
            self.epoch = self._ballot[0]
        self._owned_until_ns = max(self._owned_until_ns, self._proposed_at_ns + OWNED_NS)
        self._next_attempt_ns = max(self._next_attempt_ns, self._proposed_at_ns + RENEWAL_NS)

    def _vote(self, now: int, sender: int, message: ElectionMessage) -> Outbox:
        if message.ballot < self._promised:
            return [(sender, ElectionMessage("nack", self._promised))]
        self._promised = message.ballot
        if message.kind == "propose":
            self._accepted = message.ballot[1], now + ACCEPTED_NS
            return [(sender, ElectionMessage("accepted", message.ballot))]
        owner = self._accepted[0] if now < self._accepted[1] else NO_OWNER
        return [(sender, ElectionMessage("promise", message.ballot, owner))]
