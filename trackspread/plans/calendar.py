"""Keeps the calendar of reservations, which are rates that tenants book ahead of time.

- A reservation is admitted if, at every time within its span, the fleet can serve all valid reservations and
  the rate kept for all other tenants within the latency objective. The queuing model of the fleet consists of
  one delay and one shared queue. A rejection says which rate would fit.
- A reservation is valid until its end, or until it is cancelled.
- An amount of units is reserved as its mean rate over the span.
- A reservation in force raises the limits of its tenant. While the tenant sends nothing, the reservation does
  not reduce what other tenants get.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Annotated

import msgspec

from ..decide.mean_value_analysis import mean_values
from .notice import NOTICE_MS, PlanError

MS_PER_S = 1000
MS_PER_DAY = 86_400_000
MAX_IN_FLIGHT = 4_096  # limit on requests in flight in the model; the queue saturates at far fewer
MAX_SPAN_DAYS = 92  # limit for one reservation
MAX_SPAN_MS = MAX_SPAN_DAYS * MS_PER_DAY
TENANT_BURST_S = 2.0  # the burst of a reserved rate in seconds of that rate, added to the plan's burst
Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describes all backends together for the queuing model; the field names are stored.

    `delay_ms` is the shortest latency of one unit, `demand_ms` the service time of one unit at the shared
    queue (1000 divided by the highest rate), `aim_ms` the latency objective, and `kept` the units per second
    that are kept for tenants without a reservation.
    """

    delay_ms: Positive
    demand_ms: Positive
    aim_ms: Positive
    kept: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0


class Reservation(msgspec.Struct, frozen=True):
    """Describes the booked rate of one tenant.

    The field names are stored, `tenant` as "customer". `rate` is in units per second and is added to the
    plan's rate. `start`, `end`, `made` and `cancelled` are Unix times in ms; `cancelled` is 0 for a
    reservation that was not cancelled.
    """

    number: int
    tenant: int = msgspec.field(name="customer")
    rate: float
    start: int
    end: int
    made: int
    note: str
    cancelled: int = 0

    def ends(self) -> int:
        """Returns the Unix time in ms from which the reservation is no longer valid."""
        if not self.cancelled:
            return self.end
        return min(self.end, max(self.start, self.cancelled))


@lru_cache(maxsize=16)
def capacity_per_s(fleet: Fleet) -> float:
    """Returns the units per second that the fleet serves within its latency objective.

    The result is 0 if even a single request in flight exceeds the objective.
    """
    latencies_ms = mean_values(fleet.demand_ms, fleet.delay_ms, MAX_IN_FLIGHT)
    rates_within_objective = (
        MS_PER_S * in_flight / latencies_ms[in_flight]
        for in_flight in range(1, len(latencies_ms))
        if latencies_ms[in_flight] <= fleet.aim_ms
    )
    return max(rates_within_objective, default=0.0)


def reserved_rates(reservations: tuple[Reservation, ...], now_ms: int) -> dict[int, float]:
    """Returns the rate in units per second that each tenant has reserved at `now_ms`, by tenant."""
    rates: dict[int, float] = {}
    for reservation in reservations:
        if reservation.start <= now_ms < reservation.ends():
            rates[reservation.tenant] = rates.get(reservation.tenant, 0.0) + reservation.rate
    return rates


def change_times(reservations: tuple[Reservation, ...]) -> list[int]:
    """Returns the sorted Unix times in ms at which a reservation begins or ends."""
    return sorted({time_ms for each in reservations for time_ms in (each.start, each.ends())})


def available_per_s(fleet: Fleet, reservations: tuple[Reservation, ...], start_ms: int, end_ms: int) -> float:
    """Returns the rate in units per second that can still be reserved over the complete span."""
    times_ms = [start_ms, *(time_ms for time_ms in change_times(reservations) if start_ms < time_ms < end_ms)]
    peak_reserved = max(sum(reserved_rates(reservations, time_ms).values()) for time_ms in times_ms)
    return max(0.0, capacity_per_s(fleet) - fleet.kept - peak_reserved)


def admit_reservation(
    fleet: Fleet | None,
    reservations: tuple[Reservation, ...],
    tenant: int,
    rate: float,
    start_ms: int,
    end_ms: int,
    now_ms: int,
    note: str,
) -> Reservation:
    """Returns a new reservation of `rate` units per second.

    Raises `PlanError`, which names the rate that would fit. `fleet` is None while the registry does not
    describe the fleet.
    """
    if fleet is None:
        raise PlanError("fleet: must be described first with `trackspread reserve fleet`, got nothing")
    if start_ms < now_ms + NOTICE_MS:
        raise PlanError(
            f"from: must be at least {NOTICE_MS / MS_PER_S:g} s from now, because gateways read it first, "
            f"got {(start_ms - now_ms) / MS_PER_S:.1f} s"
        )
    if not start_ms < end_ms <= start_ms + MAX_SPAN_MS:
        raise PlanError(
            f"to: must be after the start by at most {MAX_SPAN_DAYS} days, got "
            f"{(end_ms - start_ms) / MS_PER_S:.0f} s"
        )
    if not rate > 0.0:
        raise PlanError(f"rate: must be greater than 0, got {rate:g}")
    available = available_per_s(fleet, reservations, start_ms, end_ms)
    if rate > available:
        raise PlanError(
            f"rate: must be at most {available:.6g} units per second, which is available over the complete "
            f"span besides existing reservations and {fleet.kept:g} kept for others, got {rate:g}"
        )
    number = max((each.number for each in reservations), default=0) + 1
    return Reservation(number, tenant, rate, start_ms, end_ms, now_ms, note)


def cancel_reservation(
    reservations: tuple[Reservation, ...], number: int, now_ms: int
) -> tuple[Reservation, ...]:
    """Returns the reservations, of which `number` is cancelled from `now_ms` on; raises `PlanError`."""
    reservation = next((each for each in reservations if each.number == number and not each.cancelled), None)
    if reservation is None or reservation.end <= now_ms:
        raise PlanError(f"reservation: {number} does not exist, was cancelled or has ended")
    changed = msgspec.structs.replace(reservation, cancelled=now_ms)
    return tuple(changed if each is reservation else each for each in reservations)
