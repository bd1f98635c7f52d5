"""One member of the fleet: what comes and what time it is in, what is to be sent and what came to be out.

The host calls `start` once, `tick` every `TICK`, `received` for each datagram that was whole and of this
fleet, `table` and `merge` for each exchange over a connection, and does what each returns in order. All that
is kept is bounded by the settings' `most`. May know: words, its clock. May not know: sockets, bytes, files.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from math import log10

from msgspec import structs

from . import terms
from .acceptor import Acceptor, Votes
from .asking import RENEW, Asking
from .coordinating import Coordinating
from .gossip import GossipQueue
from .member_table import MemberEntry, MemberTable
from .parts import SPAN
from .probing import HELPERS, Probing
from .slots import from_bytes, text, to_bytes
from .slowness import Slowness
from .suspicion import grace

TICK = 50 * terms.MS  # ns between two calls of `tick`
LOOK_AT = 6.0  # members, on average, that look at a suspect at once when they hear of it
UNLED = 3 * SPAN  # ns after the last grant from which a slow seed would lead rather than nobody
SEEK = 500 * terms.MS  # ns between exchanges with seeds while nobody else is known
REACH = 1 * terms.SECOND  # ns between looks for those that are gone, or seeds that are not known
DIFFER = 700 * terms.MS  # ns between exchanges with those that know another fleet
ENTROPY = 10 * terms.SECOND  # ns between exchanges with one at random among ten; longer with the logarithm
INLINE = 32  # members of a view that still fit into a datagram
HELPED_MOST = 64  # pings under way for others; more are not helped


class Member:
    """The core. `seed`: of all its chances; `born` in the settings: wall clock, ms, at its start."""

    def __init__(self, settings: terms.Settings, now: int, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        alive, version = terms.State.ALIVE, settings.version
        me = terms.GossipUpdate(settings.name, settings.born, 0, alive, *settings.address, version)
        self.member_table = MemberTable(me, settings.most)
        self.gossip = GossipQueue()
        self.probing = Probing(settings.period, self.rng)
        self.slowness = Slowness()
        self.asking = Asking(now, settings.place)
        self.holding = self.asking.holding
        self.view: terms.View | None = None
        self.leader: terms.Leader | None = None
        self.coordinating: Coordinating | None = None
        self.acceptor = Acceptor(settings, now, self.rng)
        self._touch_at = self._seek_at = self._reach_at = self._differ_at = now
        self._entropy_at = now + ENTROPY
        self._helping: dict[int, tuple[int, terms.Address, int]] = {}  # our number: theirs, whose, until when
        self._out: list[terms.Action] = []
        self.begun = now
        self.gone = False  # left, or fenced off: nothing is said any more
        self.fenced = False

    # What hangs on the view.

    @property
    def who(self) -> terms.Who:
        return self.member_table.me.who

    def number(self) -> terms.Number:
        return self.view.number if self.view else terms.NO_NUMBER

    def part(self, now: int) -> int:
        """The slots of all that is shared that this member may act on at this instant."""
        return 0 if self.gone else self.holding.part(now)

    def owns(self, now: int) -> bool:
        return self.coordinating is not None and self.acceptor.owns(now)

    # What the host calls.

    def start(self, now: int) -> list[terms.Action]:
        self.gossip.add(self.member_table.me)
        self._told("started", who=self.who, address=self.settings.address)
        self._seek(now)
        return self._done()

    def tick(self, now: int) -> list[terms.Action]:
        if not self.gone:
            self._probe(now)
            self._judge(now)
            self._lead(now)
            self._renew(now)
            self._reach(now)
        return self._done()

    def received(self, now: int, message: terms.MemberMessage, source: terms.Address) -> list[terms.Action]:
        """A datagram of this fleet; `source`: where it came from."""
        if self.gone or message.who == self.who:
            return []
        if isinstance(message.body, terms.Forget):
            self._forget(now, message.body.name, source)
            return self._done()
        if message.name == self.member_table.me.name:
            self._namesake(now, message.born, source)
            return self._done()
        for word in message.updates:
            self._word(now, word, message.name)
        if message.leader is not None:
            self._leader(now, message.leader)
        self._body(now, message.who, message.body, source)
        if message.digest != self.member_table.digest() and not self.gossip and now >= self._differ_at:
            # Nothing is on its way that would settle it, as far as is known: words got lost.
            self._differ_at = now + int(DIFFER * self.rng.uniform(0.7, 1.3))
            self._out.append(terms.Exchange(source))
        return self._done()

    def table(self, now: int) -> terms.Table:
        members = self.member_table
        updates = (members.me, *(each.update for each in members.by_name.values()))
        return terms.Table(self.settings.fleet, *self.who, updates, self.view, self.leader)

    def merge(self, now: int, table: terms.Table) -> list[terms.Action]:
        """What another holds."""
        if self.gone or table.fleet != self.settings.fleet:
            return []
        for word in table.updates[: 2 * self.settings.most]:
            self._word(now, word, table.name)
        if table.leader is not None:
            self._leader(now, table.leader)
        if table.view is not None:
            self._adopt(now, table.view)
        return self._done()

    def leave(self, now: int) -> list[terms.Action]:
        """In good order: told to as many as hear of it at once, and the part is given up."""
        if not self.gone:
            self.member_table.me = structs.replace(self.member_table.me, state=terms.State.LEFT)
            self.gossip.add(self.member_table.me)
            self.holding.drop()
            some = self.member_table.here()
            self.rng.shuffle(some)
            for person in some[: 2 * HELPERS]:
                self._ping(person.update, self.probing.number())
            if self.leader is not None:
                self._say(self.leader.address, terms.Ping(self.probing.number(), self.leader.who))
            self._told("left")
            self.gone = True
        return self._done()

    def make_way(self) -> list[terms.Action]:
        """Another process goes on under this name: the fleet is told nothing but that the part is free."""
        if not self.gone:
            self._release()
            self._told("made way")
            self.gone = True
        return self._done()

    def _release(self) -> None:
        """Said twice: where both get lost, others wait for the part's end."""
        self.holding.drop()
        if self.leader is not None and self.leader.who != self.who:
            for _ in range(2):
                self._say(self.leader.address, terms.Release(self.leader.epoch))

    def send_data(self, names: Iterable[str], data: bytes) -> list[terms.Action]:
        """To those of these that are here, in one message that is the same for all."""
        body = terms.PeerData(data, to_bytes(self.holding.granted))
        message = terms.MemberMessage(self.settings.fleet, *self.who, body, self.member_table.digest())
        held = (self.member_table.by_name.get(name) for name in names)
        return [terms.Say(each.update.address, message) for each in held if each is not None and each.here]

    def _done(self) -> list[terms.Action]:
        out, self._out = self._out, []
        return out

    # Saying.

    def _say(self, to: terms.Address, body: terms.Bodies, more: tuple[terms.GossipUpdate, ...] = ()) -> None:
        updates, digest = (*more, *self.gossip.some(self.member_table.count())), self.member_table.digest()
        message = terms.MemberMessage(self.settings.fleet, *self.who, body, digest, updates, self.leader)
        self._out.append(terms.Say(to, message))

    def _told(self, kind: str, **about: object) -> None:
        self._out.append(terms.Noticed(kind, about))

    def _ping(self, word: terms.GossipUpdate, seq: int) -> None:
        # Whoever is suspected hears of it by this very ping, and can clear itself at once.
        suspected = word.state in (terms.State.SUSPECT, terms.State.DEAD)
        self._say(word.address, terms.Ping(seq, word.who), (word,) if suspected else ())

    # Words on members.

    def _word(self, now: int, word: terms.GossipUpdate, teller: str) -> None:
        member_table = self.member_table
        before = member_table.by_name.get(word.name)
        was = before.update if before is not None else None
        if not member_table.take(now, word, teller):
            if member_table.fenced is not None:
                self._fence(now)
            return
        if word.name == member_table.me.name:
            self.gossip.add(member_table.me)
            self.probing.worse()
            self._told("cleared", life=member_table.me.life)
            return
        held = member_table.by_name[word.name]
        self.gossip.add(word)
        if was is None or was.rank != word.rank:
            if was is None or (was.state, was.born, was.slow) != (word.state, word.born, word.slow):
                state = terms.State(word.state).name
                self._told("member", who=word.who, state=state, life=word.life, slow=word.slow, by=teller)
            part = LOOK_AT / max(1, member_table.count())
            looks = word.state == terms.State.SUSPECT and self.rng.random() < part
            if looks and (probe := self.probing.extra(now, held.update.who)) is not None:
                self._ping(held.update, probe.seq)
        if not held.here:
            self.slowness.forget(word.name)
        if self.coordinating is None:
            return
        if word.state == terms.State.LEFT:
            self.coordinating.parts.released(word.who)  # it had given it up before it said so
        if was is not None and was.born < word.born and was.address == word.address:
            self.coordinating.parts.released(was.who)  # an address is one process's: the former one is gone

    def _fence(self, now: int) -> None:
        """A newer process under this name. One at this very address can only be a former self whose clock was
        ahead; else this one is the older of two, and gives up what it holds."""
        word, self.member_table.fenced = self.member_table.fenced, None
        if word is None:
            return
        if word.address == self.settings.address or word.state >= terms.State.DEAD:
            self.member_table.me = structs.replace(self.member_table.me, born=word.born + 1, life=0)
            self.holding.drop()
            self.gossip.add(self.member_table.me)
            self._told("renamed", who=self.who)
        else:
            self._give_up(word)

    def _namesake(self, now: int, born: int, source: terms.Address) -> None:
        """Word from another process under this name: the newer stays."""
        me = self.member_table.me
        if born > me.born:
            self._give_up(terms.GossipUpdate(me.name, born, 0, terms.State.ALIVE, *source))
        else:
            self._say(source, terms.Ping(self.probing.number(), (me.name, born)), (me,))

    def _give_up(self, word: terms.GossipUpdate) -> None:
        self._release()
        self.coordinating = None
        self.gone = self.fenced = True
        self._told("fenced", by=word.who, at=word.address)

    # Probing and judging.

    def _probe(self, now: int) -> None:
        member_table = self.member_table
        if self.probing.due(now):
            member_table.forget(now)
            probe = self.probing.begin(now, [p.update.who for p in member_table.here()])
            if probe is not None:
                self._ping(member_table.by_name[probe.who[0]].update, probe.seq)
        for probe in self.probing.wanting(now):
            held = member_table.by_name.get(probe.who[0])
            others = [p for p in member_table.here() if p is not held and p.update.state == terms.State.ALIVE]
            if held is None:
                continue
            self._late(now, held, True)
            chosen = self.rng.sample(others, min(HELPERS, len(others)))
            probe.helpers = len(chosen)
            word = held.update
            for helper in chosen:
                self._say(helper.update.address, terms.Help(probe.seq, word.who, word.host, word.port))
            self._ping(word, probe.seq)  # once more: the first may be lost
        for who in self.probing.failed(now):
            held = member_table.by_name.get(who[0])
            if held is not None and held.update.who == who and held.here:
                word = held.update
                self._word(now, structs.replace(word, state=terms.State.SUSPECT), member_table.me.name)
        for seq in [s for s, (_, _, until) in self._helping.items() if now >= until]:
            theirs, whose, _ = self._helping.pop(seq)
            self._say(whose, terms.Nack(theirs))

    def _late(self, now: int, held: MemberEntry, late: bool) -> None:
        """Whether it answered late; it is told of what is found, while that lasts."""
        slow = self.slowness.noted(now, held.update.name, late)
        if slow is not None:
            self._say(held.update.address, terms.Report(held.update.who, slow))

    def _judge(self, now: int) -> None:
        """Suspects whose time is over are dead; and whether this member is slow itself."""
        name = self.member_table.me.name
        for suspect in [p for p in self.member_table.here() if p.update.state == terms.State.SUSPECT]:
            if now - suspect.since >= self._grace(suspect):
                self._word(now, structs.replace(suspect.update, state=terms.State.DEAD), name)
        me = self.member_table.me
        slow = self.slowness.slow(now, self.member_table.count(), self.probing.health)
        if slow != me.slow:
            self.member_table.me = structs.replace(me, life=me.life + 1, slow=slow)
            self.gossip.add(self.member_table.me)
            self._told("slow" if slow else "well")

    def _grace(self, suspect: MemberEntry) -> int:
        period, stretch = self.settings.period, self.probing.stretch()
        return grace(len(suspect.suspected_by), self.member_table.count(), period, stretch)

    # One datagram's body.

    def _body(self, now: int, who: terms.Who, body: terms.Bodies, source: terms.Address) -> None:
        match body:
            case terms.Ping():
                if body.to == self.who:
                    self._say(source, terms.Ack(body.seq, self.holding.first))
                elif body.to[0] == self.member_table.me.name:
                    # A former process is meant.
                    self._say(source, terms.Nack(body.seq), (self.member_table.me,))
            case terms.Ack():
                self._acked(now, body)
            case terms.Nack():
                self.probing.nacked(body.seq)
            case terms.Help():
                if len(self._helping) < HELPED_MOST:
                    seq = self.probing.number()
                    self._helping[seq] = body.seq, source, now + self.settings.period // 3
                    self._say((body.host, body.port), terms.Ping(seq, body.to))
            case terms.Vote():
                self._votes(self.acceptor.heard(now, body))
            case terms.Renew():
                self._asked(now, who, body, source)
            case terms.Grant():
                self._take(now, body)
                if body.number > self.number():
                    self._out.append(terms.Exchange(source))
            case terms.Release():
                if self.coordinating is not None and self._coordinates(now, body.epoch):
                    self.coordinating.parts.released(who)
            case terms.Fresh():
                if body.view is not None:
                    self._adopt(now, body.view)
                elif body.number > self.number():
                    self._out.append(terms.Exchange(source))
            case terms.PeerData():
                if self.member_table.holds(who):
                    self._out.append(terms.Heard(who[0], body.data, from_bytes(body.part)))
            case terms.Report():
                if body.of == self.who:
                    self.slowness.reported(now, who[0], body.slow)

    def _acked(self, now: int, ack: terms.Ack) -> None:
        seq = ack.seq
        if seq in self._helping:
            theirs, whose, _ = self._helping.pop(seq)
            self._say(whose, terms.Ack(theirs))
        elif self.asking.touched(seq, ack.first):
            self._held(now)
        elif (over := self.probing.acked(now, seq)) is not None:
            held = self.member_table.by_name.get(over[0][0])
            if held is not None:
                self._late(now, held, not over[1])

    # The coordinator and the view.

    def _votes(self, votes: Votes) -> None:
        for to, vote in votes:
            self._say(to, vote)

    def _lead(self, now: int) -> None:
        # Who is slow leaves it to others to lead, unless nobody can or does.
        alone = len(self.settings.seeds) == 1
        if alone or not self.member_table.me.slow or now - self.asking.led_at > UNLED:
            self._votes(self.acceptor.tick(now))
        if not self.acceptor.owns(now) or self.acceptor.election is None:
            if self.coordinating is not None:
                self.coordinating = None
                self._told("leads no more")
            return
        epoch = (self.acceptor.election.epoch, self.acceptor.number)
        if self.coordinating is None or self.coordinating.epoch != epoch:
            settings = self.settings
            self.coordinating = Coordinating(now, epoch, self.view, len(settings.seeds), settings.keep)
            self._leader(now, terms.Leader(epoch, self.who, *self.settings.address))
            self._told("leads", epoch=epoch)
            for person in self.member_table.here():
                self._say(person.update.address, terms.Fresh(self.number(), None))
        if (view := self.coordinating.tick(now, self.member_table.live())) is not None:
            self._told("issued", number=view.number, parent=view.parent, members=view.members)
            self._adopt(now, view)
            for name, born in view.members:
                held = self.member_table.by_name.get(name)
                if held is not None and held.update.born == born:
                    inline = view if len(view.members) <= INLINE else None
                    self._say(held.update.address, terms.Fresh(view.number, inline))

    def _leader(self, now: int, leader: terms.Leader) -> None:
        if self.leader is None or leader.epoch > self.leader.epoch:
            self.leader = leader
            self.acceptor.newer(leader.epoch[0])
            self._told("leader", epoch=leader.epoch, who=leader.who)
            self.asking.at = now

    def _renew(self, now: int) -> None:
        """Ask for the part anew; the coordinator asks itself."""
        self._touch(now)
        if self.leader is None or self.member_table.me.state == terms.State.LEFT:
            return
        body = self.asking.due(now, self.leader.epoch, self.number())
        if body is None:
            return
        if self.leader.who == self.who:
            if (grant := self._grant(now, self.who, body)) is not None:
                self._take(now, grant)
        else:
            self._say(self.leader.address, body)

    def _touch(self, now: int) -> None:
        """While the coordinator does not answer: whether some seed of the view is there, oneself perhaps."""
        if now < self._touch_at or not self.asking.unled(now):
            return
        self._touch_at = now + RENEW
        if self.acceptor.number >= 0:
            self.holding.touched(now)
            self._held(now)
        for word in [p.update for p in self.member_table.here() if p.update.address in self.settings.seeds]:
            seq = self.probing.number()
            self.asking.touch(now, seq)
            self._ping(word, seq)

    def _held(self, now: int) -> None:
        part, lasts = text(self.holding.granted), max(0, self.holding.until - now)
        self._told("part", part=part, lasts=lasts, epoch=self.holding.epoch, serial=self.holding.serial)

    def _coordinates(self, now: int, epoch: terms.Epoch) -> bool:
        return self.coordinating is not None and self.coordinating.epoch == epoch and self.owns(now)

    def _grant(self, now: int, who: terms.Who, body: terms.Renew) -> terms.Grant | None:
        """What this member, as the coordinator that is asked, grants; nothing where it is not."""
        if self.coordinating is None or not self._coordinates(now, body.epoch):
            return None
        word = self.member_table.me if who == self.who else self.member_table.by_name[who[0]].update
        address, seeds = word.address, self.settings.seeds
        acceptor = seeds.index(address) if address in seeds else -1
        serial, part = self.coordinating.asked(now, who, acceptor, body)
        keep = self.coordinating.keep
        return terms.Grant(body.stamp, body.epoch, serial, to_bytes(part), self.number(), keep)

    def _take(self, now: int, grant: terms.Grant) -> None:
        if self.asking.take(now, grant):
            self._held(now)

    def _asked(self, now: int, who: terms.Who, body: terms.Renew, source: terms.Address) -> None:
        if not self.member_table.holds(who):
            if self._coordinates(now, body.epoch):
                self._out.append(terms.Exchange(source))  # it is not known here: it, or word of it, is new
        elif (grant := self._grant(now, who, body)) is not None:
            self._say(source, grant)

    def _adopt(self, now: int, view: terms.View) -> None:
        if view.number > self.number():
            self.view = view
            self.asking.at = min(self.asking.at, now + int(self.rng.random() * TICK))
            self._told("view", number=view.number, parent=view.parent, members=view.members)

    def _forget(self, now: int, name: str, source: terms.Address) -> None:
        """Only the coordinator answers: who asks has asked all seeds."""
        if self.coordinating is None or not self.owns(now):
            return
        runs = name in {self.member_table.me.name, *(p.update.name for p in self.member_table.here())}
        slots = 0 if runs else self.coordinating.parts.forgotten(now, name)
        self._told("spared" if runs else "forgot", name=name, slots=text(slots))
        self._say(source, terms.Forgotten(name, runs, slots.bit_count()))

    # Finding others.

    def _seek(self, now: int) -> None:
        self._seek_at = now + SEEK
        if others := [seed for seed in self.settings.seeds if seed != self.settings.address]:
            self._out.append(terms.Exchange(self.rng.choice(others)))

    def _reach(self, now: int) -> None:
        """Nobody is given up for ever: who is gone may be on the other side of a cut that has healed."""
        member_table = self.member_table
        if now >= self._seek_at and not member_table.here():
            self._seek(now)
        if now >= self._reach_at:
            self._reach_at = now + int(REACH * self.rng.uniform(0.7, 1.3))
            if gone := [p for p in member_table.by_name.values() if p.update.state == terms.State.DEAD]:
                self._ping(self.rng.choice(gone).update, self.probing.number())
            known = {p.update.address for p in member_table.here()} | {self.settings.address}
            unknown = [seed for seed in self.settings.seeds if seed not in known]
            if unknown and member_table.here():
                self._out.append(terms.Exchange(self.rng.choice(unknown)))
        here = member_table.here()
        if now >= self._entropy_at and here:
            scale = max(1.0, log10(member_table.count()))
            self._entropy_at = now + int(ENTROPY * scale * self.rng.uniform(0.7, 1.3))
            self._out.append(terms.Exchange(self.rng.choice(here).update.address))
