"""One member's right at this gateway: what it claimed, what of that is usable, and until when.

The rules of this file:
- Claim, then look: a claim is written first and counts once the same answer shows that all claims fit. Of two
  who claim at once the later sees both. No transaction is needed.
- Lowered here first, told afterwards; raised only after the answer. A call whose answer was lost changes
  nothing here, whatever it did there.
- A raise counts for a quota at once, for a ceiling only when it is proven: every other gateway has shown two
  beats since, or has been silent until it can hold its even slice alone, and a further look shows that all
  claims still fit. By then whoever held something that the counter has lost has written it anew.
- What others said is not forgotten because the counter forgot it: a claim that is gone, or that went back to
  an older one, counts as it was for `OUT`. Who lets go says so; nobody's field just ends.
- Where others fall silent, their even slices are theirs: all who are seen come down alike until it fits.
- Without word of its own (`KEPT`) a gateway comes down to its even slice; up to it only from `OUT` on.

May know: its terms, the witness, answers. May not know: other members, when calls are made.
"""

from __future__ import annotations

from math import exp

from .allot import allot, desired
from .terms import (
    EPSILON, FIRST, FLOOR, GUARANTEED, IDLE, KEPT, OUT, PROVE, RENEW, SECOND, TURN_MS, Claim, Reply, Terms,
    even, pack_claim, unpack_claim,
)
from .witness import Witness

MEMORY = 2 * SECOND  # ns, time constant of what is asked for here: steady over a renewal, followed within two
SHORT = RENEW // 4  # ns between words while something is wanted that is not had
CHANGE = 0.05  # of a share by which what is fair must differ before anything moves
WANT_LEAST = 0.01  # units a second below which nothing is asked for any more


class Holding:
    """`soft` and `hard`: shares that were claimed and may be used, of a quota and of a ceiling's pool."""

    def __init__(self, member: int, terms: Terms, slot: int, now: int) -> None:
        self.member, self.slot = member, slot
        self.change(terms)
        self.soft = self.hard = self.said = 0.0
        self.others: dict[int, Claim] = {}
        self._heard: dict[int, int] = {}  # when each was last read as it is
        self._number = 0
        self.want, self.asked, self.asked_at, self.last = 0.0, 0.0, now, now
        self.raised_at = now
        self.marks: dict[int, int] = {}
        self.lowered = 0  # ms of the counter's clock
        self.clock, self.read_at = 0, -RENEW
        self.due = now  # when the next word is due
        self.proving = False  # whether the call that is out may prove the raise
        self.gift = 0.0  # of the quota's burst, not handed over yet
        self.short = False  # asked for more since the last word

    def change(self, terms: Terms) -> None:
        """Other figures from now on. The share stays: it is one of whatever the figures are."""
        self.terms = terms
        self.even = even(self.member, terms, self.slot)
        self._evens = {each: even(self.member, terms, each) for each in terms.slots}

    # What is asked for.

    def ask(self, now: int, units: float) -> None:
        self.asked, self.last = self.asked + units, now

    def rate(self, now: int) -> float:
        """Units a second asked for here; a first request stands for one second of it."""
        span = now - self.asked_at
        if span >= SECOND // 10 or not self.want:
            fresh = self.asked * SECOND / max(span, SECOND)
            left = exp(-span / MEMORY) if self.want else 0.0
            self.want = self.want * left + fresh * (1.0 - left)
            self.asked, self.asked_at = 0.0, now
            self.want = 0.0 if self.want < WANT_LEAST else self.want
        return self.want

    def idle(self, now: int) -> bool:
        return now - self.last > IDLE

    # What the words of others leave.

    def reserved(self, witness: Witness) -> float:
        """Shares of those who are not seen: their even slice, or what they claimed while they may hold it."""
        total = 0.0
        for slot in witness.quiet:
            claim = self.others.get(slot)
            held = claim.share if claim is not None and slot not in witness.gone else 0.0
            total += max(self._evens.get(slot, 0.0), held)
        for slot in witness.back:
            claim = self.others.get(slot)
            total += max(0.0, self._evens.get(slot, 0.0) - (claim.share if claim is not None else 0.0))
        return total

    def claimed(self, witness: Witness) -> float:
        """By others who are seen, whether or not the member's requests usually come there."""
        total = 0.0
        for slot, claim in self.others.items():
            known = witness.seen.get(slot)
            dead = known is not None and claim.incarnation == known.former != 0
            if slot not in witness.quiet and not dead:
                total += claim.share
        return total

    def free(self, witness: Witness) -> float:
        """What this gateway may hold in all."""
        return max(0.0, 1.0 - self.claimed(witness) - self.reserved(witness))

    def fit(self, witness: Witness) -> None:
        """Come down so that even slices of the silent have room; all who are seen do so alike."""
        kept = sum(share for slot, share in self._evens.items() if slot in witness.quiet)
        if not kept:
            return
        others = self.claimed(witness)
        for name in ("hard", "soft"):
            mine = getattr(self, name)
            if mine and mine + others > 1.0 - kept + EPSILON:
                self._lower(name, mine * max(0.0, 1.0 - kept) / (mine + others))

    def _lower(self, name: str, share: float) -> None:
        setattr(self, name, share)
        self.due = min(self.due, self.read_at)  # to be told at once
        self.lowered = max(self.lowered, self.clock)

    def usable(self, now: int, witness: Witness) -> tuple[float, float]:
        """Shares of quota and ceiling that may be spent from now on, until anything changes."""
        if witness.own(now) and (now - self.read_at <= KEPT or not self.soft):
            self.fit(witness)
            soft, hard = self.soft, self.hard
        elif witness.even_due(now):
            soft = hard = self.even
        else:  # also where its own word on this member is too old: what vanished may be another's by now
            soft, hard = min(self.soft, self.even), min(self.hard, self.even)
        hard = GUARANTEED * self.even + (1.0 - GUARANTEED) * hard
        return max(soft, FLOOR * self.even), hard

    # Words with the counter.

    def word(self, now: int, witness: Witness) -> bytes:
        """What to write now; it counts once it was answered."""
        self.due, self.short = now + RENEW, False
        want = 0.0 if self.idle(now) else self.rate(now)
        if not witness.own(now):
            # Back from a loss: what is used now is written down before anybody hears that this one lives.
            held = self.even if witness.even_due(now) else min(self.hard, self.even)
            self.soft = self.hard = self.said = held
            self.proving = False
        else:
            self.fit(witness)
            self._aim(now, witness, want)
            self.proving = (
                self.hard < self.soft - EPSILON and now - self.raised_at >= PROVE
                and witness.beaten(self.marks)
            )
        self._number = max(self._number + 1, now)  # by the clock: a member that comes again goes on
        return pack_claim(Claim(witness.incarnation, self._number, self.said, want, self.lowered))

    def _aim(self, now: int, witness: Witness, want: float) -> None:
        budget = max(0.0, 1.0 - self.reserved(witness))
        seen = {slot: claim for slot, claim in self.others.items() if slot not in witness.quiet}
        wants = {slot: claim.want for slot, claim in seen.items()}
        fair = allot(self.member, self.terms, {**wants, self.slot: want}, budget, self.clock // TURN_MS)
        mine, room = fair.get(self.slot, 0.0), self.free(witness)
        unmet = any(claim.share < fair.get(slot, 0.0) * (1.0 - CHANGE) for slot, claim in seen.items())
        if not want:
            mine = 0.0
        held = self.soft
        if mine < held * (1.0 - CHANGE) and (unmet or not want):
            self.said = mine
            self._lower("soft", mine)
            self.hard = min(self.hard, mine)
            self.due = now + RENEW
        elif mine > held * (1.0 + CHANGE):
            first = not self.others and not held
            self.said = max(held, min(mine, room * FIRST if first and room > mine else room))
            if first:
                self.said = max(self.said, min(room, max(self.terms.least, FIRST * room)))
        else:
            self.said = held
        if 0.0 < self.said < self.terms.least - EPSILON and self.terms.least <= 1.0:
            self.said = held if held >= self.terms.least else 0.0  # it would not hold a request

    def told(self, now: int, sent: int, said: float, reply: Reply, witness: Witness) -> None:
        """The answer to a word that claimed `said`, sent at `sent`."""
        claims = {slot: claim for slot, data in reply.fields.items()
                  if slot != self.slot and (claim := unpack_claim(data)) is not None}
        known = bool(claims) or self.slot in reply.fields
        age = self._free_for(reply, claims) if known else 0
        first = not claims and not self.lowered and not self.soft
        self._merge(sent, claims, witness)
        self.clock, self.read_at = reply.clock, sent
        if not witness.own(now):
            return
        room = self.free(witness)
        before = self.soft
        if said > before + EPSILON:
            self.soft = max(before, min(said, room))
            if self.soft > before + EPSILON:
                self.raised_at, self.marks = now, witness.marks()
                fill, sound = self.terms.fill_s, witness.state(now) == "sound"
                full = sound and now - witness.token_since > fill * SECOND
                idle = 1.0 if first else min(1.0, age / 1000 / max(fill, 1e-3))
                self.gift += (self.soft - before) * idle * full
        elif self.proving and said <= room + EPSILON:
            self.hard = max(self.hard, min(self.soft, said))
        elif said > room + EPSILON and self.soft > self.hard:
            # More is claimed than there is: who has not proven his part gives way.
            self._lower("soft", max(self.hard, min(self.soft, room)))
        if self.soft < said - EPSILON:
            self.said, self.due = self.soft, now + SHORT
        self.proving = False
        if self.wanting(now):
            self.due = min(self.due, now + SHORT)

    def _merge(self, sent: int, claims: dict[int, Claim], witness: Witness) -> None:
        for slot, claim in claims.items():
            known = self.others.get(slot)
            if known is not None and slot in witness.seen:
                older = claim.incarnation == known.incarnation and claim.number < known.number
                if older or claim.incarnation == witness.seen[slot].former != 0:
                    continue
            self.others[slot], self._heard[slot] = claim, sent
        for slot in [slot for slot, at in self._heard.items() if sent - at > OUT]:
            del self.others[slot], self._heard[slot]

    def _free_for(self, reply: Reply, claims: dict[int, Claim]) -> int:
        """ms for which what is free now has been so."""
        last = max([self.lowered, *(claim.lowered for claim in claims.values())])
        return max(0, reply.clock - last) if last else reply.clock

    def wanting(self, now: int) -> bool:
        """Whether more would be taken than is held."""
        return self.soft < desired(self.terms, self.want) * (1.0 - CHANGE) or self.hard < self.soft - EPSILON

    def shortly(self, now: int) -> None:
        """A request found too little: the next word is due now, unless one has just been had."""
        self.short = True
        if now - self.read_at >= SHORT:
            self.due = min(self.due, now)
