"""Limits of a tenant over all forwarders, and how far they can be divided. Pure arithmetic."""

from __future__ import annotations

from typing import NamedTuple

ROUNDING = 1e-9  # of parts: a burst of 3 x 0.2 units among three is not under 0.2 for a float's sake


class Limit(NamedTuple):
    """A token bucket's rate and burst."""

    rate_per_s: float
    burst_units: float


class TenantLimit(NamedTuple):
    """One limit of a tenant over all forwarders.

    `planned_part`: of it that planners hand out; the rest lies in static shares that need no planner. A soft
    limit (a quota) goes on as in the last lease where no planner answers; a hard limit is never passed."""

    limit: Limit
    planned_part: float
    is_soft: bool

    def fitted(self, min_units: float, forwarders: int) -> TenantLimit:
        """The same with parts that can serve: a part in which no complete request fits would lie idle.

        `min_units`: of the largest request. The planned part is widened to one of these; where what is left
        for static shares holds none, all is planned. Planners and forwarders must use the same limits. Raises
        `ValueError` where the burst holds no request."""
        burst = self.limit.burst_units
        if burst < min_units:
            raise ValueError(f"a burst of {burst:g} units holds no request of {min_units:g}")
        planned = max(self.planned_part, min_units / burst) if self.planned_part else 0.0
        has_static_shares = max_parts(burst * (1.0 - planned), min_units, forwarders) > 0
        return self._replace(planned_part=planned if has_static_shares else 1.0)


def max_parts(burst_units: float, min_units: float, forwarders: int) -> int:
    """Among how many forwarders a burst can be divided so that each part holds a request of `min_units`."""
    return min(forwarders, int(burst_units / min_units + ROUNDING))
