"""The calendar of commitments: allowance that members reserve ahead, admitted if the model says it fits.

May know: figures, moments, the queuing model's mean value analysis. May not know: files, clocks. Rules:

- A reservation is admitted if, at every moment of its span, all reservations that stand and what is kept for
  everybody else hold beside it: their rates together are reached by the fleet, as one delay and one shared
  queue, within the aim. What does not fit is refused with what would.
- It stands until it is over or cancelled; a cancelled one gives its rate back from that moment on.
- An amount of units is held as its mean rate over the span.
- In service it widens the member's own limits and takes nothing from anybody until the member asks: what is
  not asked for is in nobody's count, so others' caps are solved without it.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Annotated

import msgspec

from ..decide.mean_value_analysis import mean_values
from .notice import NOTICE_MS, PlanError

IN_FLIGHT_MOST = 4_096  # requests in flight that the model is solved for: past it a queue is long saturated
SPAN_MOST_MS = 92 * 86_400_000  # of one reservation
MEMBERS_BURST_S = 2.0  # s of a reserved rate that may come at once, on top of the plan's burst
Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all nodes together are, for the model. `delay_ms`: the shortest latency of one unit; `demand_ms`:
    the shared queue's time for one unit (1000 / units a second at the most); `aim_ms`: within which answers
    are to come; `kept`: units a second for everybody without a reservation."""

    delay_ms: Positive
    demand_ms: Positive
    aim_ms: Positive
    kept: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0


class Reservation(msgspec.Struct, frozen=True):
    """`rate`: units a second, on top of the plan's. Moments are Unix ms; `cancelled` 0: it stands."""

    number: int
    customer: int
    rate: float
    start: int
    end: int
    made: int
    note: str
    cancelled: int = 0

    def ends(self) -> int:
        """When it stops to count."""
        return min(self.end, max(self.start, self.cancelled)) if self.cancelled else self.end


@lru_cache(maxsize=16)
def capacity(fleet: Fleet) -> float:
    """Units a second that the fleet gives with answers within the aim; 0 where even one in flight is late."""
    times = mean_values(fleet.demand_ms, fleet.delay_ms, IN_FLIGHT_MOST)
    return max((1000.0 * n / times[n] for n in range(1, len(times)) if times[n] <= fleet.aim_ms), default=0.0)


def reserved(reservations: tuple[Reservation, ...], now: int) -> dict[int, float]:
    """By member, the rate that is reserved at `now`."""
    rates: dict[int, float] = {}
    for each in reservations:
        if each.start <= now < each.ends():
            rates[each.customer] = rates.get(each.customer, 0.0) + each.rate
    return rates


def change_times(reservations: tuple[Reservation, ...]) -> list[int]:
    """Those at which something begins or ends, in order."""
    return sorted({moment for each in reservations for moment in (each.start, each.ends())})


def room(fleet: Fleet, reservations: tuple[Reservation, ...], start: int, end: int) -> float:
    """The rate that still fits over the whole of a span."""
    points = [start, *(moment for moment in change_times(reservations) if start < moment < end)]
    taken = max(sum(reserved(reservations, point).values()) for point in points)
    return max(0.0, capacity(fleet) - fleet.kept - taken)


def admitted(
    fleet: Fleet | None,
    reservations: tuple[Reservation, ...],
    customer: int,
    rate: float,
    start: int,
    end: int,
    now: int,
    note: str,
) -> Reservation:
    """The reservation, if it fits; raises `PlanError` with what would."""
    if fleet is None:
        raise PlanError("fleet: found nothing, wanted its figures (`trackspread reserve fleet`)")
    if start < now + NOTICE_MS:
        raise PlanError(
            f"from: found a moment {(start - now) / 1000:.1f} s from now, wanted at least "
            f"{NOTICE_MS / 1000:g} s: gateways have to read it first"
        )
    if not start < end <= start + SPAN_MOST_MS:
        raise PlanError(
            f"to: found a span of {(end - start) / 1000:.0f} s, wanted one of up to "
            f"{SPAN_MOST_MS // 86_400_000} days"
        )
    if not rate > 0.0:
        raise PlanError(f"rate: found {rate:g}, wanted more than 0")
    fits = room(fleet, reservations, start, end)
    if rate > fits:
        raise PlanError(
            f"rate: found {rate:g} units a second, of which {fits:.6g} would fit over the whole "
            f"span beside {fleet.kept:g} kept for others and what is reserved"
        )
    number = max((each.number for each in reservations), default=0) + 1
    return Reservation(number, customer, rate, start, end, now, note)


def cancelled(reservations: tuple[Reservation, ...], number: int, now: int) -> tuple[Reservation, ...]:
    """With one taken back; what of it is over stays as it was. Raises `PlanError`."""
    found = next((each for each in reservations if each.number == number and not each.cancelled), None)
    if found is None or found.end <= now:
        raise PlanError(f"reservation: found {number}, wanted one that stands and is not over")
    changed = msgspec.structs.replace(found, cancelled=now)
    return tuple(changed if each is found else each for each in reservations)
