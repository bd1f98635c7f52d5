"""One member's right at this gateway: what it claimed, what of that is usable, and until when.

The rules of this file:
- Claim, then look: a claim is written first and counts once the same answer shows that all claims fit. Of two
  who claim at once the later sees both. No transaction is needed.
- Lowered here first, told afterwards; raised only after the answer. A call whose answer was lost changes
  nothing here, whatever it did there.
- A quota is soft: each keeps the whole store less the parts of who is silent, and takes off what others say
  that they spent. Until told, one may spend what another has: a part of the burst (`REPORT_AFTER`), never
  twice.
- A ceiling is hard: its raise counts only when it is proven: every other gateway has shown two beats since,
  or has been silent until it can hold its even slice alone, and a further look shows that all claims still
  fit. By then whoever held something that the counter has lost has written it anew.
- What others said is not forgotten because the counter forgot it: a claim that is gone, or that went back to
  an older one, counts as it was for `OUT`. Who lets go says so; nobody's field just ends.
- Where others fall silent, their even slices are theirs: all who are seen come down alike until it fits.
- Without an answer to a claim (`KEPT`) a gateway comes down to its even slice; up to it only from `OUT` on.

May know: its terms, the detector, answers. May not know: other members, when calls are made.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import exp

from .allot import allot, desired
from .failure_detector import FailureDetector
from .terms import (
    EPSILON,
    FIRST,
    FLOOR,
    GUARANTEED,
    IDLE,
    KEPT,
    OUT,
    PROVE,
    RENEW,
    REPORT_AFTER,
    SECOND,
    TURN_MS,
    Claim,
    Reply,
    Terms,
    even,
    pack_claim,
    unpack_claim,
)

MEMORY = 6 * SECOND // 10  # ns, time constant of what is asked for here: followed within two renewals
SHORT = RENEW // 4  # ns between claims while something is wanted that is not had
CHANGE = 0.05  # of a share by which what is fair must differ before anything moves
STEPS_MOST = 6  # raises of a ceiling's share that wait for their proof; more are one
WRITTEN = 1e-6  # of a share: claims are written as floats of four bytes
WANT_LEAST = 0.01  # units a second below which nothing is asked for any more


@dataclass(slots=True)
class Step:
    """A raise that is not proven: up to `share`, claimed `at`, with the beats seen until then."""

    share: float
    at: int
    marks: dict[int, int]


class Lease:
    """`claimed` and `proven`: shares of a ceiling's pool that were claimed, and of these what may be used."""

    def __init__(self, member: int, terms: Terms, slot: int, now: int) -> None:
        self.member, self.slot = member, slot
        self.change(terms)
        self.claimed = self.proven = self.said = 0.0
        self.others: dict[int, Claim] = {}
        self._heard: dict[int, int] = {}  # when each was last read as it is
        self._number = 0
        self.want, self.asked, self.asked_at, self.last = 0.0, 0.0, now, now
        self._steps: deque[Step] = deque()  # raises that are not proven, the oldest first
        self.clock, self.read_at = 0, -RENEW
        self.due = now  # when the next claim is due
        self.proving = 0.0  # the share that the call that is out may prove
        self.known = False  # whether a claim of this lease was answered
        self.taken = 0.0  # units that others spent, not handed over yet
        self.level: float | None = None  # what they know of the quota's store, not handed over yet
        self.spent, self._base = 0.0, -1.0  # units spent here; the module's own count of them
        self._since = 0.0  # units asked for since the last claim

    def change(self, terms: Terms) -> None:
        """Other figures from now on. The share stays: it is one of whatever the figures are."""
        self.terms = terms
        self._evens = {each: even(self.member, terms, each) for each in terms.slots}
        self.even = self._evens.get(self.slot, 0.0)
        self._parts = dict(self._evens)  # of a quota, for when others are not heard: by their last wants

    # What is asked for.

    def ask(self, now: int, units: float) -> None:
        """A request of so many units has come."""
        self.asked, self.last, self._since = self.asked + units, now, self._since + units
        if self._since >= self.terms.burst * REPORT_AFTER and self.known:
            self.due = min(self.due, self.read_at + SHORT)

    def rate(self, now: int) -> float:
        """Units a second asked for here; a first request stands for one second of it."""
        span = now - self.asked_at
        if span >= SECOND // 10 or not self.want:
            fresh = self.asked * SECOND / (span if self.want else max(span, SECOND))
            fresh = min(fresh, self.terms.rate)  # more would say no more, and be remembered for longer
            left = exp(-span / MEMORY) if self.want else 0.0
            self.want = self.want * left + fresh * (1.0 - left)
            self.asked, self.asked_at = 0.0, now
            self.want = 0.0 if self.want < WANT_LEAST else self.want
        return self.want

    def idle(self, now: int) -> bool:
        """Whether no request has come for so long that the lease is given back."""
        return now - self.last > IDLE

    # What the claims of others leave.

    def reserved(self, detector: FailureDetector) -> float:
        """Shares of those who are not seen: their even slice, or what they claimed while they may hold it."""
        total = 0.0
        for slot in detector.quiet:
            claim = self.others.get(slot)
            held = claim.share if claim is not None and slot not in detector.gone else 0.0
            total += max(self._evens.get(slot, 0.0), held)
        for slot in detector.back:
            claim = self.others.get(slot)
            total += max(0.0, self._evens.get(slot, 0.0) - (claim.share if claim is not None else 0.0))
        return total

    def others_hold(self, detector: FailureDetector) -> float:
        """By others who are seen, whether or not the member's requests usually come there."""
        total = 0.0
        for slot, claim in self.others.items():
            known = detector.seen.get(slot)
            dead = known is not None and claim.incarnation < known.beat.incarnation
            if slot not in detector.quiet and not dead:
                total += claim.share
        return total

    def free(self, detector: FailureDetector) -> float:
        """What this gateway may hold in all."""
        return max(0.0, 1.0 - self.others_hold(detector) - self.reserved(detector))

    def fit(self, detector: FailureDetector) -> None:
        """Come down so that even slices of the silent have room; all who are seen do so alike."""
        kept = sum(share for slot, share in self._evens.items() if slot in detector.quiet)
        if not kept:
            return
        others = self.others_hold(detector)
        for name in ("proven", "claimed"):
            mine = getattr(self, name)
            if mine and mine + others > 1.0 - kept + EPSILON:
                self._lower(name, mine * max(0.0, 1.0 - kept) / (mine + others))

    def _lower(self, name: str, share: float) -> None:
        setattr(self, name, share)
        self.proven = min(self.proven, self.claimed)
        while self._steps and self._steps[-1].share > self.claimed + EPSILON:
            last = self._steps.pop()
            if not self._steps or self._steps[-1].share < self.claimed - EPSILON:
                self._steps.append(Step(self.claimed, last.at, last.marks))
                break
        self.due = min(self.due, self.read_at)  # to be told at once

    def usable(self, now: int, detector: FailureDetector) -> tuple[float, float, float]:
        """Shares of quota, ceiling and open attempts that may be used from now on, until anything changes."""
        own = detector.own(now) and (now - self.read_at <= KEPT or not self.claimed)
        if own:
            self.fit(detector)
            places, hard = self.claimed, self.proven
        elif detector.even_due(now):
            places = hard = self.even
        else:  # also where its own claim on this member is too old: what vanished may be another's by now
            places, hard = min(self.claimed, self.even), min(self.proven, self.even)
        if own and detector.trusting and self.known:
            soft = 1.0 - sum(part for slot, part in self._parts.items() if slot in detector.quiet)
        else:
            soft = self._parts.get(self.slot, 0.0) if self.known else FLOOR * self.even
        return max(0.0, soft), GUARANTEED * self.even + (1.0 - GUARANTEED) * hard, places

    # Claims written to the counter.

    def next_claim(self, now: int, detector: FailureDetector, sent: float, level: float) -> bytes:
        """What to write now; it counts once it was answered. `sent`: units of the quota that the module has
        spent here, counted from whenever; `level`: in its store."""
        self.due, self._since = now + RENEW, 0.0
        if self._base >= 0.0:
            # A count that went back was begun anew, after the module had forgotten the member.
            self.spent += sent - self._base if sent >= self._base else sent
        self._base = sent
        want = 0.0 if self.idle(now) else self.rate(now)
        if not detector.own(now):
            # Back from a loss: what is used now is written down before anybody hears that this one lives.
            held = self.even if detector.even_due(now) else min(self.proven, self.even)
            self.claimed = self.proven = self.said = held
            self._steps.clear()
        else:
            self.fit(detector)
            self._aim(now, detector, want)
        ripe = [
            step.share
            for step in self._steps
            if now - step.at >= PROVE and detector.advanced_since(step.marks)
        ]
        self.proving = max(ripe, default=0.0)
        self._number = max(self._number + 1, now)  # by the clock: a member that comes again goes on
        if not self.known:
            level = self.terms.burst  # nothing is known of it here
        clock = detector.clock(now)
        return pack_claim(
            Claim(
                detector.incarnation,
                self._number,
                self.said,
                want,
                self.spent,
                level,
                clock if self.known else 0,
            )
        )

    def _aim(self, now: int, detector: FailureDetector, want: float) -> None:
        budget = max(0.0, 1.0 - self.reserved(detector))
        seen = {slot: claim for slot, claim in self.others.items() if slot not in detector.quiet}
        wants = {slot: claim.want for slot, claim in seen.items()}
        turn = self.clock // TURN_MS
        fair = allot(self.member, self.terms, self._evens, {**wants, self.slot: want}, budget, turn)
        mine, room = fair.get(self.slot, 0.0), self.free(detector)
        unmet = any(claim.share < fair.get(slot, 0.0) * (1.0 - CHANGE) for slot, claim in seen.items())
        if not want:
            mine = 0.0
        held = self.claimed
        if mine < held * (1.0 - CHANGE) and (unmet or not want):
            self.said = mine
            self._lower("claimed", mine)
            self.due = now + RENEW
        elif mine > held * (1.0 + CHANGE):
            if not self.others and not held and room > mine:  # the first leaves some for who comes next
                self.said = min(room, max(self.terms.least, FIRST * room))
            else:
                self.said = max(held, min(mine, room))
        else:
            self.said = held
        least = self.terms.least - WRITTEN
        if 0.0 < self.said < least:
            self.said = held if held >= least else 0.0  # it would not hold a request
        if self.said < self.claimed:
            self._lower("claimed", self.said)
            self.due = now + RENEW

    def answered(self, now: int, sent: int, said: float, reply: Reply, detector: FailureDetector) -> None:
        """The answer to a claim of `said`, sent at `sent`."""
        claims = {
            slot: claim
            for slot, data in reply.fields.items()
            if slot != self.slot and (claim := unpack_claim(data)) is not None
        }
        if not self.known:
            self.known, self.level = True, self._level_from_claims(now, reply, detector, claims)
            self.due = min(self.due, now + SHORT)
        elif reply.fresh:
            # The name lost what was written: so may others' claims be lost, and proofs begin anew.
            self._steps = deque(Step(step.share, now, detector.marks()) for step in self._steps)
            self.proving, self.due = 0.0, min(self.due, now + SHORT)
        self._merge(sent, claims, detector)
        self.clock, self.read_at = reply.clock, sent
        if not detector.own(now):
            return
        self._share_out(detector)
        room = self.free(detector)
        self._raise(now, said, room, detector)
        self._prove(room)
        if said > room + EPSILON and self.claimed > self.proven:
            # More is claimed than there is: who has not proven his part gives way.
            self._lower("claimed", max(self.proven, min(self.claimed, room)))
        if self.claimed < said - EPSILON:
            self.said, self.due = self.claimed, now + SHORT
        self.proving = 0.0
        if self.wanting(now):
            self.due = min(self.due, now + SHORT)

    def _raise(self, now: int, said: float, room: float, detector: FailureDetector) -> None:
        """What was claimed counts as far as there is room, and begins its proof."""
        before = self.claimed
        if said <= before + EPSILON:
            return
        self.claimed = max(before, min(said, room))
        if self.claimed > before + EPSILON:
            if len(self._steps) >= STEPS_MOST:
                self._steps.pop()
            self._steps.append(Step(self.claimed, now, detector.marks()))

    def _prove(self, room: float) -> None:
        """What the answered call was to prove is proven, if all claims still fit."""
        if min(self.claimed, self.proving) <= room + EPSILON:
            self.proven = max(self.proven, min(self.claimed, self.proving))
            while self._steps and self._steps[0].share <= self.proven + EPSILON:
                self._steps.popleft()

    def _share_out(self, detector: FailureDetector) -> None:
        """What each would have of the quota if nobody heard of anybody from now on: a part even, which those
        have too who are new, and the rest as it is asked for. All know nearly the same wants."""
        if detector.quiet or not detector.trusting:
            return
        wants = {slot: claim.want for slot, claim in self.others.items()} | {self.slot: self.want}
        total = sum(wants.values())
        if total:
            self._parts = {
                slot: FLOOR * self._evens.get(slot, 0.0) + (1.0 - FLOOR) * wants.get(slot, 0.0) / total
                for slot in self._evens.keys() | wants.keys()
            }

    def _level_from_claims(
        self, now: int, reply: Reply, detector: FailureDetector, claims: dict[int, Claim]
    ) -> float:
        """The quota's store by the claims of those who knew it, filled since; where nobody did, what it
        filled by since this counter is known."""
        own = reply.fields.get(self.slot)
        known = [*claims.values(), *([mine] if own is not None and (mine := unpack_claim(own)) else [])]
        rate, burst = self.terms.rate, self.terms.burst
        levels = [
            claim.level + rate * max(0, reply.clock - claim.clock) / 1000 for claim in known if claim.clock
        ]
        levels = levels or [rate * (now - detector.token_since) / SECOND]
        return max(-burst, min(burst, *levels))

    def _merge(self, sent: int, claims: dict[int, Claim], detector: FailureDetector) -> None:
        for slot, claim in claims.items():
            known, seen = self.others.get(slot), detector.seen.get(slot)
            if seen is not None and claim.incarnation < seen.beat.incarnation:
                continue
            if known is not None and claim.incarnation < known.incarnation and slot not in detector.gone:
                continue
            if known is not None and claim.incarnation == known.incarnation:
                if claim.number < known.number:
                    continue  # what a lagging replica or a healed half brings up again
                # A count that went back was begun anew, after that gateway had given the member up.
                grown = claim.spent - known.spent
                self.taken += grown if grown >= 0.0 else claim.spent
            elif self._heard or self.level is None:
                self.taken += claim.spent  # begun since the last claim; the level read covers what was before
            self.others[slot], self._heard[slot] = claim, sent
        for slot in [slot for slot, at in self._heard.items() if sent - at > OUT]:
            del self.others[slot], self._heard[slot]

    def wanting(self, now: int) -> bool:
        """Whether more would be taken than is held."""
        needed = desired(self.terms, self.want, self.even)
        return self.claimed < needed * (1.0 - CHANGE) or self.proven < self.claimed - EPSILON
