"""The calendar of reservations: rates that tenants book ahead, admitted if a queuing model has capacity.

- A reservation is admitted if, at every time within its span, the fleet can serve all valid reservations and
  the rate kept for everybody else within the latency objective. The model of the fleet is one delay and one
  shared queue. A rejection says which rate would fit.
- A reservation counts until its end, or until it is cancelled.
- An amount of units is reserved as its mean rate over the span.
- In service a reservation raises the tenant's own limits. While the tenant sends nothing, it does not reduce
  what others get.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Annotated

import msgspec

from ..decide.mean_value_analysis import mean_values
from .notice import NOTICE_MS, PlanError

MS_PER_S = 1000
MS_PER_DAY = 86_400_000
MAX_IN_FLIGHT = 4_096  # requests in flight that the model is solved for; the queue is saturated long before
MAX_SPAN_DAYS = 92  # of one reservation
MAX_SPAN_MS = MAX_SPAN_DAYS * MS_PER_DAY
TENANT_BURST_S = 2.0  # burst of a reserved rate, as seconds of it, on top of the plan's burst
Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All backends together, as the model sees them; the field names are stored.

    `delay_ms` is the shortest latency of one unit, `demand_ms` the service time of one unit at the shared
    queue (1000 divided by the highest rate), `aim_ms` the latency objective, and `kept` the units per second
    for everybody without a reservation.
    """

    delay_ms: Positive
    demand_ms: Positive
    aim_ms: Positive
    kept: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0


class Reservation(msgspec.Struct, frozen=True):
    """One tenant's booked rate; the field names are stored.

    `rate` is in units per second, on top of the plan's; `start`, `end`, `made` and `cancelled` are Unix times
    in ms, and `cancelled` is 0 for a reservation that was not cancelled.
    """

    number: int
    customer: int
    rate: float
    start: int
    end: int
    made: int
    note: str
    cancelled: int = 0

    def ends(self) -> int:
        """Returns the Unix time in ms at which it stops to count."""
        if not self.cancelled:
            return self.end
        return min(self.end, max(self.start, self.cancelled))


@lru_cache(maxsize=16)
def capacity_per_s(fleet: Fleet) -> float:
    """Returns the units per second that the fleet serves within its latency objective.

    The result is 0 if even a single request in flight takes longer.
    """
    latencies_ms = mean_values(fleet.demand_ms, fleet.delay_ms, MAX_IN_FLIGHT)
    rates_within_objective = (
        MS_PER_S * in_flight / latencies_ms[in_flight]
        for in_flight in range(1, len(latencies_ms))
        if latencies_ms[in_flight] <= fleet.aim_ms
    )
    return max(rates_within_objective, default=0.0)


def reserved_rates(reservations: tuple[Reservation, ...], now_ms: int) -> dict[int, float]:
    """Returns the rate in units per second that each tenant has reserved at `now_ms`."""
    rates: dict[int, float] = {}
    for reservation in reservations:
        if reservation.start <= now_ms < reservation.ends():
            rates[reservation.customer] = rates.get(reservation.customer, 0.0) + reservation.rate
    return rates


def change_times(reservations: tuple[Reservation, ...]) -> list[int]:
    """Returns the Unix times in ms at which a reservation begins or ends, sorted."""
    return sorted({time_ms for each in reservations for time_ms in (each.start, each.ends())})


def available_per_s(fleet: Fleet, reservations: tuple[Reservation, ...], start_ms: int, end_ms: int) -> float:
    """Returns the rate in units per second that can still be reserved over the complete span."""
    times_ms = [start_ms, *(time_ms for time_ms in change_times(reservations) if start_ms < time_ms < end_ms)]
    peak_reserved = max(sum(reserved_rates(reservations, time_ms).values()) for time_ms in times_ms)
    return max(0.0, capacity_per_s(fleet) - fleet.kept - peak_reserved)


def admit_reservation(
    fleet: Fleet | None,
    reservations: tuple[Reservation, ...],
    customer: int,
    rate: float,
    start_ms: int,
    end_ms: int,
    now_ms: int,
    note: str,
) -> Reservation:
    """Returns a new reservation of `rate` units per second; raises `PlanError`, with the rate that would fit.

    `fleet` is None while the registry has no figures for it.
    """
    if fleet is None:
        raise PlanError("fleet: found nothing, wanted its figures (`trackspread reserve fleet`)")
    if start_ms < now_ms + NOTICE_MS:
        raise PlanError(
            f"from: found a moment {(start_ms - now_ms) / MS_PER_S:.1f} s from now, wanted at least "
            f"{NOTICE_MS / MS_PER_S:g} s: gateways have to read it first"
        )
    if not start_ms < end_ms <= start_ms + MAX_SPAN_MS:
        raise PlanError(
            f"to: found a span of {(end_ms - start_ms) / MS_PER_S:.0f} s, wanted one of up to "
            f"{MAX_SPAN_DAYS} days"
        )
    if not rate > 0.0:
        raise PlanError(f"rate: found {rate:g}, wanted more than 0")
    available = available_per_s(fleet, reservations, start_ms, end_ms)
    if rate > available:
        raise PlanError(
            f"rate: found {rate:g} units a second, of which {available:.6g} would fit over the whole "
            f"span beside {fleet.kept:g} kept for others and what is reserved"
        )
    number = max((each.number for each in reservations), default=0) + 1
    return Reservation(number, customer, rate, start_ms, end_ms, now_ms, note)


def cancel_reservation(
    reservations: tuple[Reservation, ...], number: int, now_ms: int
) -> tuple[Reservation, ...]:
    """Returns the reservations with one cancelled from `now_ms` on; raises `PlanError`."""
    found = next((each for each in reservations if each.number == number and not each.cancelled), None)
    if found is None or found.end <= now_ms:
        raise PlanError(f"reservation: found {number}, wanted one that stands and is not over")
    changed = msgspec.structs.replace(found, cancelled=now_ms)
    return tuple(changed if each is found else each for each in reservations)
