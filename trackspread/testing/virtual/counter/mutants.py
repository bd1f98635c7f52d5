"""The lease manager with one fault each, for the invariant, the account and calm worlds to convict.

Each breaks one rule that stands at the top of a file of `counter/`, by a patch that is taken back.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from ....counter import failure_detector, lease, lease_manager
from ....counter.failure_detector import FailureDetector
from ....counter.lease import Lease, UsableShares
from ....counter.lease_manager import LeaseManager, PartitionState
from ....counter.calls import Reply
from ....counter.claims import Claim
from ....counter.timing import LEASE_NS
from ....decide.time_units import SECOND
from . import schedules
from ..patches import applied


def _proof_not_awaited() -> list[Any]:
    """A raise of a ceiling counts with the answer that shows room."""
    real = Lease.on_reply

    def mutant(self: Lease, *words: Any) -> None:
        real(self, *words)
        self.proven_share = max(self.proven_share, self.claimed_share)

    return [patch.object(Lease, "on_reply", mutant)]


def _proof_without_heartbeats() -> list[Any]:
    return [patch.object(FailureDetector, "have_all_advanced_since", lambda self, marks: True)]


def _proof_without_delay() -> list[Any]:
    return [patch.object(lease, "PROOF_NS", 0)]


def _lost_claims_forgotten() -> list[Any]:
    """What the counter has lost is forgotten here too."""
    real = Lease._merge_claims

    def mutant(self: Lease, sent: int, claims: dict[int, Claim], seen: FailureDetector) -> None:
        real(self, sent, claims, seen)
        self.other_claims = {slot: claim for slot, claim in self.other_claims.items() if slot in claims}
        self._claims_read_at_ns = {slot: at for slot, at in self._claims_read_at_ns.items() if slot in claims}

    return [patch.object(Lease, "_merge_claims", mutant), patch.object(lease, "PROOF_NS", 0)]


def _share_not_reduced() -> list[Any]:
    return [patch.object(Lease, "reduce_to_fit", lambda self, seen: None)]


def _static_share_at_once() -> list[Any]:
    """Up to the even slice as soon as the counter is lost."""
    return [patch.object(FailureDetector, "is_static_share_free", lambda self, now: True)]


def _heartbeats_after_failure() -> list[Any]:
    return [patch.object(FailureDetector, "on_failure", lambda self: None)]


def _heartbeat_before_claims_restored() -> list[Any]:
    real = LeaseManager._heartbeat

    def mutant(self: LeaseManager, now: int, index: int, part: PartitionState) -> Any:
        part.unwritten_tenants.clear()
        return real(self, now, index, part)

    return [patch.object(LeaseManager, "_heartbeat", mutant)]


def _alive_since_reading() -> list[Any]:
    """A beat counts from when it was seen, not from when it can have been written."""
    real = FailureDetector.on_reply

    def mutant(self: FailureDetector, now: int, sent: int, wrote: bool, reply: Reply) -> None:
        before = {slot: seen.heartbeats_seen for slot, seen in self.observations.items()}
        real(self, now, sent, wrote, reply)
        for slot, seen in self.observations.items():
            if seen.heartbeats_seen > before.get(slot, seen.heartbeats_seen):
                seen.alive_since_ns = now

    return [patch.object(FailureDetector, "on_reply", mutant)]


def _older_claims_accepted() -> list[Any]:
    """A claim that a lagging replica brings up again replaces the newer one."""
    real = Lease._merge_claims

    def mutant(self: Lease, sent: int, claims: dict[int, Claim], seen: FailureDetector) -> None:
        for slot in claims:
            self.other_claims.pop(slot, None)
            self._claims_read_at_ns.pop(slot, None)
        real(self, sent, claims, seen)

    return [patch.object(Lease, "_merge_claims", mutant), patch.object(lease, "PROOF_NS", 0)]


def _raised_before_reply() -> list[Any]:
    real = Lease.next_claim

    def mutant(self: Lease, *words: Any) -> bytes:
        made = real(self, *words)
        self.proven_share = self.claimed_share = max(self.proven_share, self.announced_share)
        return made

    return [patch.object(Lease, "next_claim", mutant)]


def _lease_never_expires() -> list[Any]:
    return [
        patch.object(
            FailureDetector,
            "is_known_alive",
            lambda self, now: self.acknowledged_at_ns != failure_detector.NEVER,
        ),
        patch.object(lease, "LEASE_NS", 1 << 62),
    ]


def _expiry_too_short() -> list[Any]:
    return [patch.object(failure_detector, "EXPIRY_NS", LEASE_NS // 2)]


def _return_ignored() -> list[Any]:
    """Who is seen again counts at once as if it had never been away."""
    real = FailureDetector.review

    def mutant(self: FailureDetector, now: int) -> None:
        real(self, now)
        self.returned = {}

    return [patch.object(FailureDetector, "review", mutant)]


def _guarantee_exceeds_limit() -> list[Any]:
    """All of a ceiling lies in even slices beside the pool."""
    return [patch.object(lease, "GUARANTEED_PART", 1.5)]


def _late_replies_accepted() -> list[Any]:
    """An answer to a call that had failed still counts."""
    real = LeaseManager.on_reply

    def mutant(self: LeaseManager, now: int, number: int, reply: Reply) -> Any:
        sent = self._pending_calls.get(number)
        if sent is not None:
            sent.sent_at_ns = max(sent.sent_at_ns, now - 8 * SECOND + 1)
        return real(self, now, number, reply)

    return [
        patch.object(LeaseManager, "on_reply", mutant),
        patch.object(lease_manager, "CALL_TIMEOUT_NS", 8 * SECOND),
    ]


def _spending_elsewhere_ignored() -> list[Any]:
    """What others spent of a quota stays in the store here."""
    real = Lease._merge_claims

    def mutant(self: Lease, *words: Any) -> None:
        real(self, *words)
        self.spent_elsewhere_units = 0.0

    return [patch.object(Lease, "_merge_claims", mutant)]


def _first_burst_full() -> list[Any]:
    """A member that comes to a gateway for the first time has its whole burst there."""
    return [patch.object(Lease, "_tokens_from_claims", lambda self, *words: self.terms.burst)]


def _missing_field_ignored() -> list[Any]:
    """Who finds his own field gone goes on with his proofs."""
    real = Lease.on_reply

    def mutant(self: Lease, now: int, sent: int, said: float, reply: Reply, seen: FailureDetector) -> None:
        real(self, now, sent, said, replace(reply, field_was_missing=False), seen)

    return [patch.object(Lease, "on_reply", mutant)]


def _entire_quota_without_replies() -> list[Any]:
    """A quota stays whole here while no call is answered."""
    real = Lease.usable_shares

    def mutant(self: Lease, now: int, seen: FailureDetector) -> UsableShares:
        return replace(real(self, now, seen), quota=1.0)

    return [patch.object(Lease, "usable_shares", mutant)]


def _share_never_released() -> list[Any]:
    """What is not asked for any more is never given back."""
    real = Lease._choose_share

    def mutant(self: Lease, now: int, seen: FailureDetector, want: float) -> None:
        real(self, now, seen, want if want >= 1.0 else max(1.0, self.terms.rate_per_s))

    return [patch.object(Lease, "_choose_share", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    each.__name__.strip("_").replace("_", "-"): each
    for each in (
        _proof_not_awaited,
        _proof_without_heartbeats,
        _proof_without_delay,
        _lost_claims_forgotten,
        _share_not_reduced,
        _static_share_at_once,
        _heartbeats_after_failure,
        _heartbeat_before_claims_restored,
        _alive_since_reading,
        _older_claims_accepted,
        _raised_before_reply,
        _lease_never_expires,
        _expiry_too_short,
        _return_ignored,
        _guarantee_exceeds_limit,
        _late_replies_accepted,
        _spending_elsewhere_ignored,
        _first_burst_full,
        _missing_field_ignored,
        _entire_quota_without_replies,
        _share_never_released,
    )
}


KINDS = {
    "deaf": schedules.deaf_world,
    "tight": schedules.tight_world,
    "calm": schedules.calm_world,
    "faults": schedules.play_seed,
}


def first_detection(name: str, seeds: int) -> tuple[str, int] | None:
    """The kind and the first seed of a world that shows the mutant; None if none of so many of each has."""
    with applied(MUTANTS[name]()):
        return next(
            ((kind, seed) for kind, play in KINDS.items() for seed in range(seeds) if play(seed)), None
        )


def is_detected(name: str, kind: str, seed: int) -> bool:
    """Whether this world shows the mutant."""
    with applied(MUTANTS[name]()):
        return bool(KINDS[kind](seed))
