"""One member's lease table at its planner: rights that are out never sum to more than the limit.

The rules of this file:
- What may be out counts as out: of all grants to one holder since the newest that it is known to have, the
  greatest rate and burst, each until `LEASE` longer by the drift has passed since it was granted.
- Fill: the rates that are out and the rate at which the table's own tokens fill sum to the planned rate.
- Stock: the bursts that are out and the table's own tokens sum to the planned burst at most. Tokens are
  handed out from the stock alone; what a holder loses with a lease that runs out comes back by the fill.
- Learning: a table that knows nothing renews what holders say they hold and hands out nothing else, until
  all that a planner before it granted has run out.
- Turns (`turns.py`): where the burst is too small to give each who asks a whole request's, those whose
  turn it is share the rate.

May know: its own clock, asks in the order in which they come. May not know: other members, who is planner.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .terms import BEAT, DRIFT, LEASE, ROUNDING, SECOND, Ask, Cap, Grant, Limit, Number
from .turns import Turns, Who

OUT = int(LEASE * (1.0 + 2 * DRIFT))  # ns for which a grant counts as out, on a clock that may run fast
FLOOR = 0.1  # of an even share that whoever asks at all gets: it can start at once when its demand grows
PLAN_EVERY = BEAT // 4  # ns for which shares are as they were reckoned
NOTHING = Limit(0.0, 0.0)
IDLE = 0.02  # units a second under which a holder without a waiting request needs no rate


@dataclass(slots=True)
class _Holder:
    """One start of one forwarder."""

    sequence: int = -1
    rate: float = 0.0  # its demand
    waits: float = 0.0  # units of the request that waits there, if any
    seen: int = 0  # when it last asked
    out: list[tuple[Number, Limit, int]] = field(default_factory=list)  # grants, and until when each counts
    most: Limit = NOTHING  # the greatest rate and burst of these

    def wants(self) -> bool:
        return self.rate > IDLE or self.waits > 0.0


def _grant(ask: Ask, number: Number, right: Limit, tokens: float) -> Grant:
    return Grant(number[0], ask.member, ask.which, ask.sequence, ask.base, number, right, tokens)


class LeaseTable:
    """The leases on one cap of one member, under one epoch."""

    def __init__(
        self, cap: Cap, least: float, epoch: int, now: int, learns_until: int, turns: Turns | None = None
    ) -> None:
        """`least`: units of the smallest right of use, the largest request. `turns`: those of the member,
        which all its tables share. A table starts with an empty stock: what others granted before it may
        still be spent."""
        rate, burst = cap.limit
        self.limit = Limit(rate * cap.planned / (1.0 + DRIFT), burst * cap.planned)
        self.least, self.epoch, self.learns_until = least, epoch, learns_until
        self.stock, self.at, self.count = 0.0, now, 0
        self.holders: dict[tuple[int, int], _Holder] = {}
        self._rate = self._burst = 0.0  # what may be out in all
        self._expires = now + OUT  # nothing runs out before
        self._planned_at, self._planned_for, self._wanting = -PLAN_EVERY, 0, 1
        self._turns, self._whole = turns or Turns(), cap.planned >= 1.0
        self._places = max(1, int(self.limit.burst / least + ROUNDING))  # of whole requests in the burst
        self._floor = self._part = self._scale = 0.0

    def out(self) -> Limit:
        """What may be out in all."""
        return Limit(self._rate, self._burst)

    def _set(self, holder: _Holder, out: list[tuple[Number, Limit, int]]) -> None:
        """Another list of what may be out there; the sums follow."""
        most = Limit(
            max((limit.rate for _, limit, _ in out), default=0.0),
            max((limit.burst for _, limit, _ in out), default=0.0),
        )
        self._rate += most.rate - holder.most.rate
        self._burst += most.burst - holder.most.burst
        holder.out, holder.most = out, most
        self._expires = min([self._expires, *(until for _, _, until in out)])

    def advance(self, now: int) -> None:
        """Fill the stock, then drop what has run out: what it leaves was not its to fill before."""
        if now > self.learns_until:
            span = (now - max(self.at, self.learns_until)) / SECOND
            self._keep(self.stock + max(0.0, self.limit.rate - self._rate) * span)
        self.at = now
        if now < self._expires:
            return
        self._expires = now + OUT
        for key, holder in list(self.holders.items()):
            self._set(holder, [grant for grant in holder.out if grant[2] > now])
            if not holder.out:
                # Silent for longer than its lease: what it asked for is no demand any more.
                holder.rate = holder.waits = 0.0
                self._planned_at = -PLAN_EVERY
                if now - holder.seen > 4 * OUT:
                    del self.holders[key]
        # Sums of floats drift; from here they start anew.
        self._rate = sum(holder.most.rate for holder in self.holders.values())
        self._burst = sum(holder.most.burst for holder in self.holders.values())

    def ask(self, now: int, ask: Ask) -> Grant | None:
        """The answer to one ask; None where it is older than one that was answered."""
        self.advance(now)
        holder = self.holders.setdefault((ask.forwarder, ask.incarnation), _Holder())
        if ask.sequence <= holder.sequence:
            return None
        holder.sequence, holder.rate, holder.waits, holder.seen = ask.sequence, ask.rate, ask.least, now
        out = [grant for grant in holder.out if grant[0] >= ask.base]
        if ask.base[0] < self.epoch and ask.held.burst > 0.0:
            # Granted under an epoch before: it counts as out, whoever granted it.
            out.append((ask.base, ask.held, now + OUT))
        self._set(holder, out)
        self.count += 1
        number = self.epoch, self.count
        if now < self.learns_until:
            self._set(holder, [*holder.out, (number, ask.held, now + OUT)])
            return _grant(ask, number, ask.held, 0.0)
        self._keep(self.stock + ask.returned)
        right = self._share(now, holder, (ask.forwarder, ask.incarnation))
        self._set(holder, [*holder.out, (number, right, now + OUT)])
        tokens = min(self.stock, max(0.0, right.burst - ask.level))
        self._keep(self.stock - tokens)
        return _grant(ask, number, right, tokens)

    def _keep(self, stock: float) -> None:
        self.stock = min(stock, max(0.0, self.limit.burst - self._burst))

    def _share(self, now: int, holder: _Holder, who: Who) -> Limit:
        """By demand, as far as what the others may hold leaves room."""
        if not (holder.wants() and self.limit.rate):
            return NOTHING
        if now - self._planned_at >= PLAN_EVERY or len(self.holders) != self._planned_for:
            self._plan(now)
        own = holder.most
        room = Limit(self.limit.rate - (self._rate - own.rate), self.limit.burst - (self._burst - own.burst))
        rate = max(0.0, min(room.rate, min(max(self._floor, holder.rate), self._part) * self._scale))
        burst = self.limit.burst * rate / self.limit.rate
        if burst < self.least:
            burst = self.least
            if room.burst < self.least * self._wanting:
                self._turns.among(self._places, self._whole)
                rate = self.limit.rate / min(self._places, self._turns.places)
                if not self._turns.wants(now, who, holder.waits > 0.0, holder.rate >= rate):
                    return NOTHING
                rate = max(0.0, min(room.rate, rate))
        burst = min(burst, room.burst)
        return Limit(rate, burst) if burst >= self.least else NOTHING

    def _plan(self, now: int) -> None:
        """Max-min: nobody gets more than it asks for while another gets less than its part; what is left when
        all have theirs goes to all by what they ask. Looked at anew some times a beat, not for every ask."""
        wants = [holder for holder in self.holders.values() if holder.wants()]
        self._planned_at, self._planned_for, self._wanting = now, len(self.holders), max(1, len(wants))
        whole = 1.01 * self.limit.rate * self.least / max(self.least, self.limit.burst)
        few = whole * self._wanting <= self.limit.rate / 2  # enough for one request each, and half for demand
        self._floor = max(FLOOR * self.limit.rate / self._wanting, whole * few)
        asked = sorted(max(self._floor, holder.rate) for holder in wants)
        left, self._part, self._scale = self.limit.rate, self.limit.rate, 1.0
        for number, rate in enumerate(asked):
            part = left / (len(asked) - number)
            if rate > part:
                self._part = part
                return
            left -= rate
        self._scale = self.limit.rate / max(1e-9, self.limit.rate - left)
