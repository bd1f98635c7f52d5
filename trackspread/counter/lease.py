"""Holds the lease of one tenant at this gateway: the claimed share, its usable part, and when both change.

Rules:
- A claim is written first and read afterwards, and it counts once the same reply shows that all claims fit.
  If two gateways claim at the same time, the later one sees both claims, so no transaction is needed.
- A share is lowered here first and announced afterwards; it is raised only after the reply. A call whose
  reply was lost changes nothing here, whatever it did on the counter.
- A quota is soft: each gateway uses the complete token bucket less the parts of unresponsive gateways, and
  subtracts what others report as spent. Before it is notified, a gateway may spend tokens that another has
  spent too; this is limited to a part of the burst (`REPORT_AFTER_PART`) and never happens twice.
- A raise of a hard limit's share counts only when it is proven: every other gateway has sent two heartbeats
  since, or has been unresponsive for so long that it can hold only its static share, and a further read shows
  that all claims still fit. By then every gateway whose claim the counter has lost has written it anew.
- Claims of others stay in force although the counter has lost them: a claim that is missing, or that was
  replaced by an older one, counts unchanged for `EXPIRY_NS`. A gateway that releases its share writes a claim
  that says so; a field never just ends.
- Unresponsive gateways keep their static shares: all gateways that are seen reduce theirs in proportion until
  the sum fits.
- Without a reply to a claim for `LEASE_NS` a gateway reduces its share to its static share. A gateway that
  holds less may raise its share to the static share only from `EXPIRY_NS` on.

The module does no I/O and does not know other tenants or when calls are made.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from ..decide.time_units import SECOND
from .calls import Reply
from .claims import Claim, pack_claim, unpack_claim
from .failure_detector import FailureDetector
from .fair_shares import desired_share, fair_shares
from .lease_terms import LeaseTerms, static_share
from .timing import (
    CLAIM_RENEWAL_NS,
    EPSILON,
    EXPIRY_NS,
    FIRST_CLAIM_PART,
    GUARANTEED_PART,
    IDLE_NS,
    LEASE_NS,
    MINIMUM_PART,
    PROOF_NS,
    REPORT_AFTER_PART,
    TURN_MS,
)

DEMAND_MEMORY_NS = 6 * SECOND // 10  # time constant of the demand, which is followed within two renewals
DEMAND_SAMPLE_NS = SECOND // 10  # shortest time over which requests are counted
FOLLOW_UP_NS = CLAIM_RENEWAL_NS // 4  # interval between claims while more is needed than is held
MIN_CHANGE = 0.05  # relative difference between the held and the fair share from which the share is changed
MAX_UNPROVEN_RAISES = 6  # raises that wait for their proof; further ones are merged with the last
WRITTEN_PRECISION = 1e-6  # rounding of a written share, as claims are written with floats of four bytes
MIN_DEMAND_PER_S = 0.01  # units per second; a lower demand counts as none
NO_COUNT_UNITS = -1.0  # says that no count of the decision module was read yet


@dataclass(slots=True)
class UnprovenRaise:
    """Holds a raise of the claimed share to `share` that is not proven yet.

    `heartbeat_counts` has the heartbeats seen of each gateway at the time of the raise.
    """

    share: float
    claimed_at_ns: int
    heartbeat_counts: dict[int, int]


@dataclass(frozen=True, slots=True)
class UsableShares:
    """Holds the shares of one tenant's limits that this gateway may use now, from 0 to 1."""

    quota: float
    hard_limit: float
    concurrency: float


class Lease:
    """Holds the lease of one tenant at this gateway.

    `claimed_share` is the claimed share of the hard limit's pool, `proven_share` the part of it that may be
    used, `announced_share` the share in the last written claim, and `share_under_proof` the share that the
    pending call may prove. `due_ns` is when the next claim is due. `is_established` says that a claim of this
    lease was answered. `spent_elsewhere_units` is what others spent, and `tokens` the level of the quota's
    token bucket as others know it; both wait for the next grant to the decision module. `spent_units` is what
    was spent here.
    """

    def __init__(self, tenant: int, terms: LeaseTerms, gateway: int, now: int) -> None:
        self.tenant = tenant
        self.gateway = gateway
        self.change_terms(terms)
        self.claimed_share = 0.0
        self.proven_share = 0.0
        self.announced_share = 0.0
        self.share_under_proof = 0.0
        self.other_claims: dict[int, Claim] = {}  # claims of other gateways, by gateway
        self._claims_read_at_ns: dict[int, int] = {}  # last time at which each of these claims was read
        self._unproven_raises: deque[UnprovenRaise] = deque()  # in order of time, the oldest first
        self._sequence = 0
        self.demand_per_s = 0.0
        self.requested_units = 0.0  # units requested since the demand was last measured
        self.demand_measured_at_ns = now
        self.last_request_ns = now
        self._unreported_units = 0.0  # units requested since the last claim
        self.counter_clock_ms = 0
        self.read_at_ns = -CLAIM_RENEWAL_NS
        self.due_ns = now
        self.is_established = False
        self.spent_elsewhere_units = 0.0
        self.tokens: float | None = None
        self.spent_units = 0.0
        self._module_count_units = NO_COUNT_UNITS  # the decision module's last count of spent units

    def change_terms(self, terms: LeaseTerms) -> None:
        """Replaces the limits; the share stays, as it is a fraction of whatever the limits are."""
        self.terms = terms
        self._static_shares = {each: static_share(self.tenant, terms, each) for each in terms.gateways}
        self.static_share = self._static_shares.get(self.gateway, 0.0)
        # Shares of the quota by gateway while others are unresponsive; they follow the last claimed demands.
        self._fallback_shares = dict(self._static_shares)

    def record_request(self, now: int, units: float) -> None:
        """Counts a request that has arrived."""
        self.requested_units += units
        self.last_request_ns = now
        self._unreported_units += units
        if self._unreported_units >= self.terms.burst_units * REPORT_AFTER_PART and self.is_established:
            self.due_ns = min(self.due_ns, self.read_at_ns + FOLLOW_UP_NS)

    def measure_demand(self, now: int) -> float:
        """Returns the demand here in units per second.

        The first sample covers at least one second.
        """
        span = now - self.demand_measured_at_ns
        if span < DEMAND_SAMPLE_NS and self.demand_per_s:
            return self.demand_per_s
        sample_span = span if self.demand_per_s else max(span, SECOND)
        sample = self.requested_units * SECOND / sample_span
        sample = min(sample, self.terms.rate_per_s)  # a higher value would only be remembered longer
        weight = exp(-span / DEMAND_MEMORY_NS) if self.demand_per_s else 0.0
        demand = self.demand_per_s * weight + sample * (1.0 - weight)
        self.demand_per_s = 0.0 if demand < MIN_DEMAND_PER_S else demand
        self.requested_units = 0.0
        self.demand_measured_at_ns = now
        return self.demand_per_s

    def is_idle(self, now: int) -> bool:
        """Returns whether no request has arrived for so long that the lease is to be released."""
        return now - self.last_request_ns > IDLE_NS

    def share_of_unresponsive(self, detector: FailureDetector) -> float:
        """Returns the sum of the shares of gateways that are not seen.

        Each counts with its static share, or with its claim if that is larger and may still be in use.
        """
        total = 0.0
        for gateway in detector.unresponsive:
            claim = self.other_claims.get(gateway)
            claimed = claim.share if claim is not None and gateway not in detector.expired else 0.0
            total += max(self._static_shares.get(gateway, 0.0), claimed)
        for gateway in detector.returned:
            claim = self.other_claims.get(gateway)
            claimed = claim.share if claim is not None else 0.0
            total += max(0.0, self._static_shares.get(gateway, 0.0) - claimed)
        return total

    def share_of_others(self, detector: FailureDetector) -> float:
        """Returns the sum of the shares claimed by gateways that are seen.

        Gateways that the tenant's requests usually do not reach count too.
        """
        total = 0.0
        for gateway, claim in self.other_claims.items():
            known = detector.observations.get(gateway)
            is_outdated = known is not None and claim.incarnation < known.heartbeat.incarnation
            if gateway not in detector.unresponsive and not is_outdated:
                total += claim.share
        return total

    def available_share(self, detector: FailureDetector) -> float:
        """Returns the largest share that this gateway may hold."""
        return max(0.0, 1.0 - self.share_of_others(detector) - self.share_of_unresponsive(detector))

    def reduce_to_fit(self, detector: FailureDetector) -> None:
        """Lowers this gateway's share until the static shares of unresponsive gateways fit.

        All gateways that are seen do the same.
        """
        unresponsive = sum(
            share for gateway, share in self._static_shares.items() if gateway in detector.unresponsive
        )
        if not unresponsive:
            return
        others = self.share_of_others(detector)
        proven = self.proven_share
        if proven and proven + others > 1.0 - unresponsive + EPSILON:
            self.proven_share = proven * max(0.0, 1.0 - unresponsive) / (proven + others)
            self._limit_to_claimed_share()
        claimed = self.claimed_share
        if claimed and claimed + others > 1.0 - unresponsive + EPSILON:
            self._reduce_claim(claimed * max(0.0, 1.0 - unresponsive) / (claimed + others))

    def _reduce_claim(self, share: float) -> None:
        self.claimed_share = share
        self._limit_to_claimed_share()

    def _limit_to_claimed_share(self) -> None:
        """Limits the proven share and the unproven raises to the lowered claimed share."""
        self.proven_share = min(self.proven_share, self.claimed_share)
        raises = self._unproven_raises
        while raises and raises[-1].share > self.claimed_share + EPSILON:
            last = raises.pop()
            if not raises or raises[-1].share < self.claimed_share - EPSILON:
                raises.append(UnprovenRaise(self.claimed_share, last.claimed_at_ns, last.heartbeat_counts))
                break
        self.due_ns = min(self.due_ns, self.read_at_ns)  # the reduction is announced at once

    def usable_shares(self, now: int, detector: FailureDetector) -> UsableShares:
        """Returns the shares that may be used from now on, until anything changes."""
        is_current = now - self.read_at_ns <= LEASE_NS or not self.claimed_share
        is_held = detector.is_known_alive(now) and is_current
        if is_held:
            self.reduce_to_fit(detector)
            concurrency = self.claimed_share
            pooled = self.proven_share
        elif detector.is_static_share_free(now):
            concurrency = self.static_share
            pooled = self.static_share
        else:  # also if this gateway's claim is too old: if the counter lost it, others may use its share
            concurrency = min(self.claimed_share, self.static_share)
            pooled = min(self.proven_share, self.static_share)
        hard_limit = GUARANTEED_PART * self.static_share + (1.0 - GUARANTEED_PART) * pooled
        return UsableShares(max(0.0, self._usable_quota(detector, is_held)), hard_limit, concurrency)

    def _usable_quota(self, detector: FailureDetector, is_held: bool) -> float:
        if not self.is_established:
            return MINIMUM_PART * self.static_share
        if is_held and detector.may_write:
            shares = self._fallback_shares.items()
            return 1.0 - sum(share for gateway, share in shares if gateway in detector.unresponsive)
        return self._fallback_shares.get(self.gateway, 0.0)

    def next_claim(
        self, now: int, detector: FailureDetector, module_count_units: float, tokens: float
    ) -> bytes:
        """Returns the claim to write now, which counts once it was answered.

        `module_count_units` is the decision module's count of units of the quota that were spent here, from
        any starting point. `tokens` is the level of the decision module's token bucket.
        """
        self.due_ns = now + CLAIM_RENEWAL_NS
        self._unreported_units = 0.0
        self._count_spent(module_count_units)
        demand = 0.0 if self.is_idle(now) else self.measure_demand(now)
        if not detector.is_known_alive(now):
            self._claim_used_share(now, detector)
        else:
            self.reduce_to_fit(detector)
            self._choose_share(now, detector, demand)
        self.share_under_proof = self._provable_share(now, detector)
        # The sequence follows the clock, so that it still grows if a lease is released and opened again.
        self._sequence = max(self._sequence + 1, now)
        if not self.is_established:
            tokens = self.terms.burst_units  # the level of the bucket is not known here yet
        clock_ms = detector.counter_clock_ms(now)
        return pack_claim(
            Claim(
                incarnation=detector.incarnation,
                sequence=self._sequence,
                share=self.announced_share,
                demand_per_s=demand,
                spent_units=self.spent_units,
                tokens=tokens,
                clock_ms=clock_ms if self.is_established else 0,
            )
        )

    def _count_spent(self, module_count_units: float) -> None:
        last = self._module_count_units
        if last >= 0.0:
            # A lower count was started anew, after the decision module had forgotten the tenant.
            self.spent_units += (
                module_count_units - last if module_count_units >= last else module_count_units
            )
        self._module_count_units = module_count_units

    def _claim_used_share(self, now: int, detector: FailureDetector) -> None:
        """Claims the share that is used now.

        After a loss of the counter this comes before others can see that this gateway is alive.
        """
        if detector.is_static_share_free(now):
            share = self.static_share
        else:
            share = min(self.proven_share, self.static_share)
        self.claimed_share = share
        self.proven_share = share
        self.announced_share = share
        self._unproven_raises.clear()

    def _provable_share(self, now: int, detector: FailureDetector) -> float:
        """Returns the highest share whose proof the next reply may complete."""
        provable = [
            each.share
            for each in self._unproven_raises
            if now - each.claimed_at_ns >= PROOF_NS
            and detector.have_all_advanced_since(each.heartbeat_counts)
        ]
        return max(provable, default=0.0)

    def _choose_share(self, now: int, detector: FailureDetector, demand: float) -> None:
        """Sets the share that the next claim announces.

        It is the fair share if that differs enough from the held one, and the held share otherwise.
        """
        seen = {
            gateway: claim
            for gateway, claim in self.other_claims.items()
            if gateway not in detector.unresponsive
        }
        fair = self._fair_shares(detector, seen, demand)
        own_fair_share = fair.get(self.gateway, 0.0) if demand else 0.0
        available = self.available_share(detector)
        held = self.claimed_share
        are_others_short = any(
            claim.share < fair.get(gateway, 0.0) * (1.0 - MIN_CHANGE) for gateway, claim in seen.items()
        )
        if own_fair_share < held * (1.0 - MIN_CHANGE) and (are_others_short or not demand):
            self.announced_share = own_fair_share
            self._reduce_claim(own_fair_share)
            self.due_ns = now + CLAIM_RENEWAL_NS
        elif own_fair_share > held * (1.0 + MIN_CHANGE):
            self.announced_share = self._raised_share(own_fair_share, available)
        else:
            self.announced_share = held
        min_share = self.terms.min_share - WRITTEN_PRECISION
        if 0.0 < self.announced_share < min_share:
            self.announced_share = held if held >= min_share else 0.0  # less would not hold a request
        if self.announced_share < self.claimed_share:
            self._reduce_claim(self.announced_share)
            self.due_ns = now + CLAIM_RENEWAL_NS

    def _fair_shares(
        self, detector: FailureDetector, seen: Mapping[int, Claim], demand: float
    ) -> dict[int, float]:
        """Returns the fair shares by gateway; all gateways that read the same claims compute the same."""
        budget = max(0.0, 1.0 - self.share_of_unresponsive(detector))
        demands = {gateway: claim.demand_per_s for gateway, claim in seen.items()}
        turn = self.counter_clock_ms // TURN_MS
        return fair_shares(
            self.tenant, self.terms, self._static_shares, {**demands, self.gateway: demand}, budget, turn
        )

    def _raised_share(self, own_fair_share: float, available: float) -> float:
        held = self.claimed_share
        if not self.other_claims and not held and available > own_fair_share:
            # The first gateway leaves a part for the next one.
            return min(available, max(self.terms.min_share, FIRST_CLAIM_PART * available))
        return max(held, min(own_fair_share, available))

    def on_reply(
        self, now: int, sent_at_ns: int, claimed_share: float, reply: Reply, detector: FailureDetector
    ) -> None:
        """Handles the reply to a claim of `claimed_share` that was sent at `sent_at_ns`."""
        claims = self._claims_of_others(reply)
        self._check_counter_state(now, reply, claims, detector)
        self._merge_claims(sent_at_ns, claims, detector)
        self.counter_clock_ms = reply.clock_ms
        self.read_at_ns = sent_at_ns
        if not detector.is_known_alive(now):
            return
        self._update_fallback_shares(detector)
        available = self.available_share(detector)
        self._raise_claim(now, claimed_share, available, detector)
        self._accept_proof(available)
        if claimed_share > available + EPSILON and self.claimed_share > self.proven_share:
            # The claims sum to more than the limit, so a gateway whose share is not proven reduces it.
            self._reduce_claim(max(self.proven_share, min(self.claimed_share, available)))
        if self.claimed_share < claimed_share - EPSILON:
            self.announced_share = self.claimed_share
            self.due_ns = now + FOLLOW_UP_NS
        self.share_under_proof = 0.0
        if self.needs_more(now):
            self.due_ns = min(self.due_ns, now + FOLLOW_UP_NS)

    def _claims_of_others(self, reply: Reply) -> dict[int, Claim]:
        return {
            gateway: claim
            for gateway, data in reply.fields.items()
            if gateway != self.gateway and (claim := unpack_claim(data)) is not None
        }

    def _check_counter_state(
        self, now: int, reply: Reply, claims: dict[int, Claim], detector: FailureDetector
    ) -> None:
        """Takes the quota's tokens from a first reply, and checks later ones for lost claims."""
        if not self.is_established:
            self.is_established = True
            self.tokens = self._tokens_from_claims(now, reply, detector, claims)
            self.due_ns = min(self.due_ns, now + FOLLOW_UP_NS)
        elif reply.field_was_missing:
            # Others' claims may be lost too, so all proofs start anew.
            self._unproven_raises = deque(
                UnprovenRaise(each.share, now, detector.heartbeat_counts()) for each in self._unproven_raises
            )
            self.share_under_proof = 0.0
            self.due_ns = min(self.due_ns, now + FOLLOW_UP_NS)

    def _raise_claim(
        self, now: int, claimed_share: float, available: float, detector: FailureDetector
    ) -> None:
        """Raises the claimed share as far as it is available, and starts its proof."""
        before = self.claimed_share
        if claimed_share <= before + EPSILON:
            return
        self.claimed_share = max(before, min(claimed_share, available))
        if self.claimed_share > before + EPSILON:
            if len(self._unproven_raises) >= MAX_UNPROVEN_RAISES:
                self._unproven_raises.pop()
            raised = UnprovenRaise(self.claimed_share, now, detector.heartbeat_counts())
            self._unproven_raises.append(raised)

    def _accept_proof(self, available: float) -> None:
        """Raises the proven share to the share under proof if all claims still fit."""
        share = min(self.claimed_share, self.share_under_proof)
        if share > available + EPSILON:
            return
        self.proven_share = max(self.proven_share, share)
        raises = self._unproven_raises
        while raises and raises[0].share <= self.proven_share + EPSILON:
            raises.popleft()

    def _update_fallback_shares(self, detector: FailureDetector) -> None:
        """Computes each gateway's share of the quota for the case that the others become unresponsive.

        A part of it is static, so that new gateways have it too, and the rest is in proportion to demand. All
        gateways know nearly the same demands.
        """
        if detector.unresponsive or not detector.may_write:
            return
        demands = {gateway: claim.demand_per_s for gateway, claim in self.other_claims.items()}
        demands |= {self.gateway: self.demand_per_s}
        total = sum(demands.values())
        if total:
            self._fallback_shares = {
                gateway: MINIMUM_PART * self._static_shares.get(gateway, 0.0)
                + (1.0 - MINIMUM_PART) * demands.get(gateway, 0.0) / total
                for gateway in self._static_shares.keys() | demands.keys()
            }

    def _tokens_from_claims(
        self, now: int, reply: Reply, detector: FailureDetector, claims: dict[int, Claim]
    ) -> float:
        """Returns the tokens of the quota's bucket, refilled up to the reply.

        They come from the claims of gateways that knew the bucket. If there is no such claim, the tokens are
        what was refilled since this counter is known.
        """
        own = reply.fields.get(self.gateway)
        known = list(claims.values())
        if own is not None and (claim := unpack_claim(own)) is not None:
            known.append(claim)
        rate, burst = self.terms.rate_per_s, self.terms.burst_units
        tokens = [
            claim.tokens + rate * max(0, reply.clock_ms - claim.clock_ms) / 1000
            for claim in known
            if claim.clock_ms
        ]
        tokens = tokens or [rate * (now - detector.token_since_ns) / SECOND]
        return max(-burst, min(burst, *tokens))

    def _merge_claims(self, sent_at_ns: int, claims: dict[int, Claim], detector: FailureDetector) -> None:
        """Updates the claims of others and adds what they spent since their last claims."""
        for gateway, claim in claims.items():
            known = self.other_claims.get(gateway)
            if self._is_outdated(gateway, claim, known, detector):
                continue
            if known is not None and claim.incarnation == known.incarnation:
                # A lower count was started anew, after that gateway had released the tenant's lease.
                grown = claim.spent_units - known.spent_units
                self.spent_elsewhere_units += grown if grown >= 0.0 else claim.spent_units
            elif self._claims_read_at_ns or self.tokens is None:
                # This count started after the last claim that was read here; the tokens in that reply already
                # account for what was spent before.
                self.spent_elsewhere_units += claim.spent_units
            self.other_claims[gateway] = claim
            self._claims_read_at_ns[gateway] = sent_at_ns
        expired = [g for g, read_at in self._claims_read_at_ns.items() if sent_at_ns - read_at > EXPIRY_NS]
        for gateway in expired:
            del self.other_claims[gateway]
            del self._claims_read_at_ns[gateway]

    @staticmethod
    def _is_outdated(gateway: int, claim: Claim, known: Claim | None, detector: FailureDetector) -> bool:
        """Returns whether a claim is older than the known one.

        A lagging replica or a healed network partition may return older claims again.
        """
        seen = detector.observations.get(gateway)
        if seen is not None and claim.incarnation < seen.heartbeat.incarnation:
            return True
        if known is None:
            return False
        if claim.incarnation == known.incarnation:
            return claim.sequence < known.sequence
        return claim.incarnation < known.incarnation and gateway not in detector.expired

    def needs_more(self, now: int) -> bool:
        """Returns whether this gateway needs a larger share than it holds."""
        needed = desired_share(self.terms, self.demand_per_s, self.static_share)
        return (
            self.claimed_share < needed * (1.0 - MIN_CHANGE)
            or self.proven_share < self.claimed_share - EPSILON
        )
