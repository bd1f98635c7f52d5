"""Defines mutants of the lease manager, which the simulated worlds of `schedules.py` must detect.

Each plants one fault by patches that are reverted, and breaks one rule that a module of `counter/` states at
its top.
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
    """Counts a raised share of a hard limit as proven with the first reply that shows it as available."""
    real = Lease.on_reply

    def mutant(self: Lease, *arguments: Any) -> None:
        real(self, *arguments)
        self.proven_share = max(self.proven_share, self.claimed_share)

    return [patch.object(Lease, "on_reply", mutant)]


def _proof_without_heartbeats() -> list[Any]:
    """Proves a raised share although the other gateways have sent no heartbeats since."""
    return [patch.object(FailureDetector, "have_all_advanced_since", lambda self, marks: True)]


def _proof_without_delay() -> list[Any]:
    """Proves a raised share without a wait for gateways whose claims the counter lost."""
    return [patch.object(lease, "PROOF_NS", 0)]


def _lost_claims_forgotten() -> list[Any]:
    """Forgets the claims of others that the counter has lost."""
    real = Lease._merge_claims

    def mutant(self: Lease, sent_at_ns: int, claims: dict[int, Claim], detector: FailureDetector) -> None:
        real(self, sent_at_ns, claims, detector)
        self.other_claims = {each: claim for each, claim in self.other_claims.items() if each in claims}
        self._claims_read_at_ns = {each: at for each, at in self._claims_read_at_ns.items() if each in claims}

    return [patch.object(Lease, "_merge_claims", mutant), patch.object(lease, "PROOF_NS", 0)]


def _share_not_reduced() -> list[Any]:
    """Keeps a share that does not fit beside the static shares of unresponsive gateways."""
    return [patch.object(Lease, "reduce_to_fit", lambda self, detector: None)]


def _static_share_at_once() -> list[Any]:
    """Uses the static share as soon as the counter is lost."""
    return [patch.object(FailureDetector, "is_static_share_free", lambda self, now: True)]


def _heartbeats_after_failure() -> list[Any]:
    """Sends heartbeats after a failed call without a read that was answered."""
    return [patch.object(FailureDetector, "on_failure", lambda self: None)]


def _heartbeat_before_claims_restored() -> list[Any]:
    """Sends a heartbeat after a loss of the counter before this gateway's claims are written anew."""
    real = LeaseManager._heartbeat

    def mutant(self: LeaseManager, now: int, index: int, part: PartitionState) -> Any:
        part.unwritten_tenants.clear()
        return real(self, now, index, part)

    return [patch.object(LeaseManager, "_heartbeat", mutant)]


def _alive_since_reading() -> list[Any]:
    """Counts a gateway as alive when its heartbeat was read, not when the heartbeat can have been written."""
    real = FailureDetector.on_reply

    def mutant(self: FailureDetector, now: int, sent_at_ns: int, wrote: bool, reply: Reply) -> None:
        before = {gateway: each.heartbeats_seen for gateway, each in self.observations.items()}
        real(self, now, sent_at_ns, wrote, reply)
        for gateway, observation in self.observations.items():
            if observation.heartbeats_seen > before.get(gateway, observation.heartbeats_seen):
                observation.alive_since_ns = now

    return [patch.object(FailureDetector, "on_reply", mutant)]


def _older_claims_accepted() -> list[Any]:
    """Replaces a newer claim with an older one that a lagging replica returns."""
    real = Lease._merge_claims

    def mutant(self: Lease, sent_at_ns: int, claims: dict[int, Claim], detector: FailureDetector) -> None:
        for gateway in claims:
            self.other_claims.pop(gateway, None)
            self._claims_read_at_ns.pop(gateway, None)
        real(self, sent_at_ns, claims, detector)

    return [patch.object(Lease, "_merge_claims", mutant), patch.object(lease, "PROOF_NS", 0)]


def _raised_before_reply() -> list[Any]:
    """Uses a raised share as soon as its claim is sent."""
    real = Lease.next_claim

    def mutant(self: Lease, *arguments: Any) -> bytes:
        claim = real(self, *arguments)
        self.proven_share = self.claimed_share = max(self.proven_share, self.announced_share)
        return claim

    return [patch.object(Lease, "next_claim", mutant)]


def _lease_never_expires() -> list[Any]:
    """Keeps the share of a lease, however long the counter sends no reply."""
    return [
        patch.object(
            FailureDetector,
            "is_known_alive",
            lambda self, now: self.acknowledged_at_ns != failure_detector.NEVER,
        ),
        patch.object(lease, "LEASE_NS", 1 << 62),
    ]


def _expiry_too_short() -> list[Any]:
    """Counts the shares of unresponsive gateways as released before these have released them."""
    return [patch.object(failure_detector, "EXPIRY_NS", LEASE_NS // 2)]


def _return_ignored() -> list[Any]:
    """Counts a gateway that is seen again as if it had never been unresponsive."""
    real = FailureDetector.review

    def mutant(self: FailureDetector, now: int) -> None:
        real(self, now)
        self.returned = {}

    return [patch.object(FailureDetector, "review", mutant)]


def _guarantee_exceeds_limit() -> list[Any]:
    """Guarantees static shares that sum to more than the hard limit."""
    return [patch.object(lease, "GUARANTEED_PART", 1.5)]


def _late_replies_accepted() -> list[Any]:
    """Accepts the reply to a call that has timed out."""
    real = LeaseManager.on_reply

    def mutant(self: LeaseManager, now: int, call_id: int, reply: Reply) -> Any:
        pending = self._pending_calls.get(call_id)
        if pending is not None:
            pending.sent_at_ns = max(pending.sent_at_ns, now - 8 * SECOND + 1)
        return real(self, now, call_id, reply)

    return [
        patch.object(LeaseManager, "on_reply", mutant),
        patch.object(lease_manager, "CALL_TIMEOUT_NS", 8 * SECOND),
    ]


def _spending_elsewhere_ignored() -> list[Any]:
    """Leaves the tokens that others spent of a quota in the bucket of this gateway."""
    real = Lease._merge_claims

    def mutant(self: Lease, *arguments: Any) -> None:
        real(self, *arguments)
        self.spent_elsewhere_units = 0.0

    return [patch.object(Lease, "_merge_claims", mutant)]


def _first_burst_full() -> list[Any]:
    """Grants a tenant its full burst at a gateway that it uses for the first time."""
    return [patch.object(Lease, "_tokens_from_claims", lambda self, *arguments: self.terms.burst_units)]


def _missing_field_ignored() -> list[Any]:
    """Continues proofs although the counter has lost this gateway's own claim."""
    real = Lease.on_reply

    def mutant(
        self: Lease, now: int, sent_at_ns: int, share: float, reply: Reply, detector: FailureDetector
    ) -> None:
        real(self, now, sent_at_ns, share, replace(reply, field_was_missing=False), detector)

    return [patch.object(Lease, "on_reply", mutant)]


def _entire_quota_without_replies() -> list[Any]:
    """Uses the entire quota at this gateway while the counter sends no reply."""
    real = Lease.usable_shares

    def mutant(self: Lease, now: int, detector: FailureDetector) -> UsableShares:
        return replace(real(self, now, detector), quota=1.0)

    return [patch.object(Lease, "usable_shares", mutant)]


def _share_never_released() -> list[Any]:
    """Never releases a share for which the demand has ended."""
    real = Lease._choose_share

    def mutant(self: Lease, now: int, detector: FailureDetector, demand: float) -> None:
        real(self, now, detector, demand if demand >= 1.0 else max(1.0, self.terms.rate_per_s))

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
    "without counter": schedules.play_without_counter,
    "moved traffic": schedules.play_moved_traffic,
    "without faults": schedules.play_without_faults,
    "faults": schedules.play_seed,
}


def first_detection(name: str, seeds: int) -> tuple[str, int] | None:
    """Returns the kind and first seed of a world that detects the mutant.

    It tries the seeds below `seeds` with each kind, and returns None if no world detects the mutant.
    """
    with applied(MUTANTS[name]()):
        return next(
            ((kind, seed) for kind, play in KINDS.items() for seed in range(seeds) if play(seed)), None
        )


def is_detected(name: str, kind: str, seed: int) -> bool:
    """Returns whether the world of this kind and seed detects the mutant."""
    with applied(MUTANTS[name]()):
        return bool(KINDS[kind](seed))
