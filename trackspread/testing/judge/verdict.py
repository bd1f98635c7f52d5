"""What comes of a ledger: the rules that were broken, the figures, and whether the run says anything."""

from __future__ import annotations

from typing import Literal

import msgspec

State = Literal["kept", "broken", "void"]
Rule = Literal["answers", "effects", "drains", "cold", "ceilings", "quotas", "crash"]


class Violation(msgspec.Struct, frozen=True, order=True):
    """One breach. `timed`: it hangs on a measured time, so that a lagging stand-in could have made it up."""

    at: int
    rule: Rule
    text: str
    timed: bool = False


class Figures(msgspec.Struct, frozen=True):
    """Counts over a run; tries are requests as clients sent them, each with an id of its own."""

    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0  # at gateways that were killed, or by clients that hung up
    attempts: int = 0
    units: float = 0.0  # sent on
    beyond: float = 0.0  # of these, beyond quotas
    refused_with_room: int = 0  # refused while half of the customer's quota was unused
    lag: int = 0  # ns, the worst of any stand-in

    @property
    def beyond_share(self) -> float:
        return self.beyond / self.units if self.units else 0.0


class Verdict(msgspec.Struct, frozen=True):
    """`kept`, `broken`, or `void` where a stand-in lagged and nothing that needs no clock was broken."""

    state: State
    violations: tuple[Violation, ...]
    figures: Figures

    def broken(self) -> set[str]:
        return {each.rule for each in self.violations}
