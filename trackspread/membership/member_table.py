"""Who is there: the table of members, and how words on them merge.

| told of a member | held: nothing | held: lesser rank | held: the same or greater |
| --- | --- | --- | --- |
| ALIVE | taken up, told on | taken up, told on | passed over |
| SUSPECT | taken up, told on; a time to clear itself begins | likewise | passed over, but its teller counts |
| DEAD, LEFT | kept as gone | taken up, told on | passed over |

A rank is (born, life, state): the order in which words come makes no difference, so that all tables become
equal once all words have come everywhere. Of itself a member holds nothing that others say: to a suspicion it
answers with a new life. May know: words, times handed in. May not know: how they come, what hangs on them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash
from msgspec import structs

from .terms import SECOND, GossipUpdate, State, Who

GONE_KEPT = 60 * SECOND  # ns for which a gone member is remembered: over the longest that an old word travels


@dataclass(slots=True)
class MemberEntry:
    """One member as it is known here."""

    update: GossipUpdate
    since: int  # when this state was first held here
    suspected_by: set[str] = field(default_factory=set)  # names, of those that said so

    @property
    def here(self) -> bool:
        """Alive or suspected: not yet known to be gone."""
        return self.update.state <= State.SUSPECT


class MemberTable:
    """All members known here but oneself, by name; bounded."""

    def __init__(self, me: GossipUpdate, most: int) -> None:
        self.me, self._most = me, most
        self.by_name: dict[str, MemberEntry] = {}
        self.left_out = 0  # words on members beyond the bound
        self.fenced: GossipUpdate | None = None  # a newer process under one's own name
        self._digest: tuple[tuple[int, int], int] | None = None  # by what of oneself it was made with
        self._here: tuple[MemberEntry, ...] | None = None  # until a word is news: asked several times a tick

    def take(self, now: int, word: GossipUpdate, teller: str) -> bool:
        """Whether the word was news: the caller then tells it on."""
        if word.name == self.me.name:
            return self._of_me(word)
        held = self.by_name.get(word.name)
        if held is None:
            if len(self.by_name) >= 2 * self._most and not self._make_room():
                self.left_out += 1
                return False
            held = self.by_name[word.name] = MemberEntry(word, now)
        elif word.rank > held.update.rank:
            if word.state != held.update.state or word.born != held.update.born:
                held.since = now
            held.update = word
            held.suspected_by.clear()
        else:
            if word.rank == held.update.rank and word.state == State.SUSPECT:
                return self._one_more(held, teller)
            return False
        self._digest = self._here = None
        if word.state == State.SUSPECT:
            held.suspected_by.add(teller)
        return True

    @staticmethod
    def _one_more(held: MemberEntry, teller: str) -> bool:
        """Another that suspects it; told on while it shortens the time that the suspect is given."""
        news = teller not in held.suspected_by and len(held.suspected_by) < 4
        held.suspected_by.add(teller)
        return news

    def _of_me(self, word: GossipUpdate) -> bool:
        me = self.me
        if word.born > me.born:
            self.fenced = word
            return False
        if word.born == me.born and word.state != State.ALIVE and (word.life, word.state) >= (me.life, 0):
            if me.state != State.LEFT:
                self.me = _alive(me, word.life + 1)
                return True
        elif word.born == me.born and word.life > me.life:
            self.me = _alive(me, word.life + 1)  # a word of mine that I can't have said: beyond it
            return True
        return False

    def _make_room(self) -> bool:
        """By whoever has been gone longest."""
        gone = [p for p in self.by_name.values() if not p.here]
        if not gone:
            return False
        del self.by_name[min(gone, key=lambda p: p.since).update.name]
        return True

    def forget(self, now: int) -> None:
        """Those that have been gone for long."""
        for name in [n for n, p in self.by_name.items() if not p.here and now - p.since > GONE_KEPT]:
            del self.by_name[name]

    def digest(self) -> int:
        """Of who is live, 32 bits: whoever has the same knows the same."""
        own = self.me.born, self.me.state
        if self._digest is None or self._digest[0] != own:
            text = ";".join(f"{name}:{born}" for name, born in self.live())
            self._digest = own, xxhash.xxh32_intdigest(text.encode())
        return self._digest[1]

    def holds(self, who: Who) -> bool:
        """Whether this very process is here, as far as is known."""
        if who == self.me.who:
            return True
        held = self.by_name.get(who[0])
        return held is not None and held.here and held.update.born == who[1]

    def here(self) -> list[MemberEntry]:
        """Members that are not known to be gone; a list of the caller's own."""
        return list(self._members_here())

    def count(self) -> int:
        """Of those here, oneself included."""
        return 1 + len(self._members_here())

    def _members_here(self) -> tuple[MemberEntry, ...]:
        if self._here is None:
            self._here = tuple(p for p in self.by_name.values() if p.here)
        return self._here

    def live(self) -> tuple[Who, ...]:
        """All that are here and have not left, oneself included, sorted."""
        own = () if self.me.state == State.LEFT else (self.me.who,)
        return tuple(sorted((*own, *(p.update.who for p in self.here()))))


def _alive(me: GossipUpdate, life: int) -> GossipUpdate:
    return structs.replace(me, life=life, state=State.ALIVE)
