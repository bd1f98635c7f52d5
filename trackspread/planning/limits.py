"""Defines the limits of a tenant over all forwarders and computes how far they can be divided."""

from __future__ import annotations

from typing import NamedTuple

# Tolerance for parts: the float quotient of a burst of 3 x 0.2 units by 0.2 may fall short of 3.
ROUNDING = 1e-9


class Limit(NamedTuple):
    """Holds the rate and the burst of a token bucket."""

    rate_per_s: float
    burst_units: float


class TenantLimit(NamedTuple):
    """Holds one limit of a tenant over all forwarders.

    `planned_part` is the fraction that planners grant; the rest is in static shares that need no planner. If
    no planner answers, a soft limit (a quota) continues as in the last lease; a hard limit is never exceeded.
    """

    limit: Limit
    planned_part: float
    is_soft: bool

    def fitted(self, min_units: float, forwarders: int) -> TenantLimit:
        """Returns the limit with parts that each hold a complete request, as a smaller part would be unused.

        `min_units` are the units of the largest request. The planned part is increased to hold one; if the
        rest for static shares holds none, all is planned. Planners and forwarders must use the same limits.
        Raises `ValueError` if the burst holds no request.
        """
        burst = self.limit.burst_units
        if burst < min_units:
            raise ValueError(f"a burst of {burst:g} units holds no request of {min_units:g}")
        planned = max(self.planned_part, min_units / burst) if self.planned_part else 0.0
        has_static_shares = max_parts(burst * (1.0 - planned), min_units, forwarders) > 0
        return self._replace(planned_part=planned if has_static_shares else 1.0)


def max_parts(burst_units: float, min_units: float, forwarders: int) -> int:
    """Returns among how many forwarders a burst can be divided if each part holds `min_units`."""
    return min(forwarders, int(burst_units / min_units + ROUNDING))
