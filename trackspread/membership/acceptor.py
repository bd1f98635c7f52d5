"""Takes part in the seeds' election of a coordinator on behalf of a member that is a seed.

Messages of the election to other seeds become votes; messages to the member itself are delivered at once.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from ..planning.election import Election, ElectionMessage
from .identifiers import MS, Address, Epoch
from .messages import Vote
from .settings import MemberSettings

# The round of a process's first ballot counts wall-clock intervals of this length, so that processes created
# later bid with greater rounds.
BALLOT_ROUND_NS = 100 * MS


class AddressedVote(NamedTuple):
    """Holds a vote and the address of the seed that it is for."""

    address: Address
    vote: Vote


class Acceptor:
    """Votes for one member.

    `seed_index` is -1 for a member that is no seed; such a member never owns the election.
    """

    def __init__(self, settings: MemberSettings, now_ns: int, rng: random.Random) -> None:
        self._seeds = settings.seeds
        self.seed_index = -1
        self.election: Election | None = None
        if settings.address in self._seeds:
            self.seed_index = self._seeds.index(settings.address)
            self.election = Election(self.seed_index, len(self._seeds), now_ns, rng)
        self.record_round(settings.created_at_ms * MS // BALLOT_ROUND_NS)

    def is_owner(self, now_ns: int) -> bool:
        """Returns whether this member owns the election at this instant."""
        return self.election is not None and self.election.owns(now_ns)

    def epoch(self) -> Epoch | None:
        """Returns the epoch of the ballot that this member won last, or None for a member that is no seed."""
        return (self.election.epoch, self.seed_index) if self.election is not None else None

    def record_round(self, round_number: int) -> None:
        """Records that a ballot of this round was won, so that the next bid has a greater round."""
        if self.election is not None:
            self.election.on_newer_epoch(round_number)

    def tick(self, now_ns: int) -> list[AddressedVote]:
        """Returns the votes that are due now."""
        return self._deliver(now_ns, self.election.tick(now_ns)) if self.election is not None else []

    def receive(self, now_ns: int, vote: Vote) -> list[AddressedVote]:
        """Returns the votes that answer this one."""
        if self.election is None or not 0 <= vote.seed < len(self._seeds):
            return []
        ballot = vote.round, vote.ballot_seed
        message = ElectionMessage(vote.kind, ballot, vote.owner)  # type: ignore[arg-type]
        return self._deliver(now_ns, self.election.on_message(now_ns, vote.seed, message))

    def _deliver(
        self, now_ns: int, messages: list[tuple[int | None, ElectionMessage]]
    ) -> list[AddressedVote]:
        votes: list[AddressedVote] = []
        for recipient, message in messages:
            for seed in range(len(self._seeds)) if recipient is None else (recipient,):
                if seed != self.seed_index:
                    round_number, ballot_seed = message.ballot
                    vote = Vote(self.seed_index, message.kind, round_number, ballot_seed, message.owner)
                    votes.append(AddressedVote(self._seeds[seed], vote))
                elif self.election is not None:
                    votes += self._deliver(now_ns, self.election.on_message(now_ns, seed, message))
        return votes
