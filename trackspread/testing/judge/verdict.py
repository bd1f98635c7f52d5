"""Defines the result of judging a run: violated rules, counts, and whether the run is conclusive."""

from __future__ import annotations

from typing import Literal

import msgspec

State = Literal["kept", "broken", "void"]
Rule = Literal["answers", "effects", "drains", "cold", "ceilings", "quotas", "crash", "memory"]


class Violation(msgspec.Struct, frozen=True, order=True):
    """Holds one violation of a rule.

    `time_dependent` says that it follows from measured times, so a lagging stand-in could have caused it.
    """

    at: int
    rule: Rule
    text: str
    time_dependent: bool = False


class RunSummary(msgspec.Struct, frozen=True):
    """Holds counts over a run; a retry of a client counts as a request of its own."""

    requests: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    unanswered: int = 0  # held by killed gateways, or their clients disconnected
    attempts: int = 0
    forwarded_units: float = 0.0
    over_quota_units: float = 0.0  # part of the forwarded units
    rejected_with_quota_left: int = 0  # rejected while half of the tenant's burst was available
    max_lag_ns: int = 0  # of all stand-ins

    @property
    def over_quota_share(self) -> float:
        """Returns the share of the forwarded units that was beyond quotas, from 0 to 1."""
        return self.over_quota_units / self.forwarded_units if self.forwarded_units else 0.0

    @property
    def served_share(self) -> float:
        """Returns the served share of requests, not counting those rejected while the quota was used up."""
        servable = self.served + self.rejected_with_quota_left + self.failed + self.unanswered
        return self.served / max(1, servable)


class Verdict(msgspec.Struct, frozen=True):
    """Holds the judge's decision on one run.

    `state` is `kept`, `broken`, or `void` if a stand-in lagged and every violation depends on measured times.
    """

    state: State
    violations: tuple[Violation, ...]
    summary: RunSummary

    def broken_rules(self) -> set[str]:
        """Returns the names of the rules that were violated."""
        return {violation.rule for violation in self.violations}
