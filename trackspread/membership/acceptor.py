"""A member's vote in the seeds' election of a coordinator, where it is a seed.

What the election says to other seeds goes out as datagrams, what it says to itself is heard at once. May
know: the seeds' addresses, the election. May not know: what a coordinator does.
"""

from __future__ import annotations

import random

from ..planning.election import Election, ElectionMessage
from .terms import MS, Address, Settings, Vote

ROUND = 100 * MS  # ns of wall clock for which a first ballot's round stands: later processes bid beyond it

Votes = list[tuple[Address, Vote]]


class Acceptor:
    """`number` is -1 for a member that is no seed, which never owns anything."""

    def __init__(self, settings: Settings, now: int, rng: random.Random) -> None:
        self._seeds = settings.seeds
        self.number = self._seeds.index(settings.address) if settings.address in self._seeds else -1
        self.election = Election(self.number, len(self._seeds), now, rng) if self.number >= 0 else None
        self.newer(settings.born * MS // ROUND)

    def owns(self, now: int) -> bool:
        return self.election is not None and self.election.owns(now)

    def newer(self, round_: int) -> None:
        """A ballot of this round was won: the next bid is beyond it."""
        if self.election is not None:
            self.election.on_newer_epoch(round_)

    def tick(self, now: int) -> Votes:
        return self._sent(now, self.election.tick(now)) if self.election is not None else []

    def heard(self, now: int, vote: Vote) -> Votes:
        if self.election is None or not 0 <= vote.seed < len(self._seeds):
            return []
        word = ElectionMessage(vote.kind, (vote.round, vote.by), vote.owner)  # type: ignore[arg-type]
        return self._sent(now, self.election.on_message(now, vote.seed, word))

    def _sent(self, now: int, out: list[tuple[int | None, ElectionMessage]]) -> Votes:
        """To the seeds; to oneself at once."""
        made: Votes = []
        for to, word in out:
            for voter in range(len(self._seeds)) if to is None else (to,):
                if voter != self.number:
                    vote = Vote(self.number, word.kind, word.ballot[0], word.ballot[1], word.owner)
                    made.append((self._seeds[voter], vote))
                elif self.election is not None:
                    made += self._sent(now, self.election.on_message(now, voter, word))
        return made
