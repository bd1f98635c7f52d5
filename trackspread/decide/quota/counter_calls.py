"""Makes calls to a shared counter and interprets its answers.

For each tenant, one number on the counter represents the bucket. It is the sum of the units taken since its
name came into use and UNITS_PER_ATTEMPT for each attempt in flight. Names change with time, so that an error
does not persist.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ..actions import Action, AddToCounter
from ..events import CounterAnswered, Outcome
from ..tenant_account import TenantAccount
from ..time_units import SECOND
from . import token_bucket
from .sharing import QuotaSharing
from .state import NO_QUERY, CounterCall, QuotaAnswer, QuotaState

NAME_LIFETIME_NS = 60 * SECOND  # longest lifetime of a name under the platform's rules
TIME_BITS = 16  # lowest bits of a name; the tenant is in the bits above
TIME_MASK = (1 << TIME_BITS) - 1
UNITS_PER_ATTEMPT = 10_000.0  # more than all units that can be taken in a name's lifetime
CORRECTED_LAG = 0.125  # part of a burst by which the number may lag behind a full bucket
RATE_STEP_UP = 0.01  # increase of the probability of a call after an answer
# Factor on that probability after a missing answer, because an overloaded counter does not answer.
RATE_FACTOR_DOWN = 0.7
MIN_CALL_RATE = 0.05


class _Bucket(NamedTuple):
    """Holds the counter's number, read as a bucket, from before the call that it answers."""

    attempts: float  # in flight at all gateways, an integer
    # Refill since the name came into use less the units taken; the bucket was full if it is above 0.
    surplus_units: float


def units_of_attempt(state: QuotaState, account: TenantAccount) -> float:
    """Returns what an attempt in flight adds to the counter; 0.0 if the plan has no concurrency limit."""
    if state.uses_counter and account.plan.concurrency_limit > 0:
        return UNITS_PER_ATTEMPT
    return 0.0


def call_counter(
    state: QuotaState,
    now: int,
    account: TenantAccount,
    units: float,
    query: int = NO_QUERY,
    is_correction: bool = False,
) -> Action:
    """Returns the call that adds units, which may be negative, and the corrections left by earlier calls."""
    name = account.tenant << TIME_BITS | (now // NAME_LIFETIME_NS) & TIME_MASK
    correction_units = account.counter.correction_units
    account.counter.correction_units = 0.0
    calls = state.counter_calls.setdefault(name, deque())
    calls.append(CounterCall(query, units, is_correction, correction_units))
    return AddToCounter(name, NAME_LIFETIME_NS, units + correction_units)


def receive_counter_answer(sharing: QuotaSharing, now: int, event: CounterAnswered) -> QuotaAnswer:
    """Processes an answer: decides a waiting request, and returns calls that correct the number."""
    state = sharing.state
    calls = state.counter_calls.get(event.key)
    account = state.accounts.get(event.key >> TIME_BITS)
    if not calls or account is None:
        return QuotaAnswer(NO_QUERY, None, [])
    call = calls.popleft()
    if event.outcome is not Outcome.OK:
        state.counter_call_rate = max(MIN_CALL_RATE, state.counter_call_rate * RATE_FACTOR_DOWN)
        _record_failure(state, account, call, event.outcome)
        return QuotaAnswer(call.query, None, [])
    state.counter_call_rate = min(1.0, state.counter_call_rate + RATE_STEP_UP)
    bucket = _bucket_before(state, now, account, call, event)
    token_bucket.refill(sharing, now, account)
    if call.is_correction or call.units <= 0:
        return QuotaAnswer(NO_QUERY, None, _undo_second_correction(state, now, account, call, bucket))
    return _decide(state, now, account, call, bucket)


def _record_failure(state: QuotaState, account: TenantAccount, call: CounterCall, outcome: Outcome) -> None:
    """Records what has to be corrected after a call without an answer."""
    if outcome is Outcome.TIMEOUT:
        # The call was added late, and no attempt followed from it.
        if call.query:
            account.counter.correction_units -= units_of_attempt(state, account)
        return
    # The call was certainly not added.
    missing_units = call.correction_units
    if not call.query and not call.is_correction:
        missing_units += call.units
    account.counter.correction_units += missing_units


def _bucket_before(
    state: QuotaState, now: int, account: TenantAccount, call: CounterCall, event: CounterAnswered
) -> _Bucket:
    """Returns the bucket without the call itself, as of the time when the call was made."""
    number = event.total - call.units
    attempts = 0.0
    if units_of_attempt(state, account):
        attempts = (number + UNITS_PER_ATTEMPT / 2) // UNITS_PER_ATTEMPT
    refilled_ns = (now - event.elapsed_ns) % NAME_LIFETIME_NS
    refilled_units = account.plan.rate_per_s * refilled_ns / SECOND
    return _Bucket(attempts, refilled_units - (number - attempts * UNITS_PER_ATTEMPT))


def _undo_second_correction(
    state: QuotaState, now: int, account: TenantAccount, call: CounterCall, bucket: _Bucket
) -> list[Action]:
    """Reverts a correction that another gateway had already made."""
    if call.is_correction and bucket.surplus_units < call.units / 2:
        return [call_counter(state, now, account, -call.units)]
    return []


def _decide(
    state: QuotaState, now: int, account: TenantAccount, call: CounterCall, bucket: _Bucket
) -> QuotaAnswer:
    """Decides whether the counted request is within quota and concurrency limit.

    If it is not, it is subtracted from the number again. A number that lags behind a full bucket is
    corrected.
    """
    plan = account.plan
    units = call.units - units_of_attempt(state, account)
    tokens = min(plan.burst_units, plan.burst_units + bucket.surplus_units)
    is_within = not plan.rate_per_s or tokens >= min(units, plan.burst_units / 2)
    is_limited = units_of_attempt(state, account) > 0.0
    granted = is_within and (not is_limited or bucket.attempts < plan.concurrency_limit)
    account.counter.in_flight_known_at_ns = now
    account.counter.in_flight_elsewhere = max(0, int(bucket.attempts) - account.in_flight)
    pays_overage = plan.overage_weight > plan.overage_cost
    calls: list[Action] = []
    if not granted and (call.query or pays_overage):
        calls.append(call_counter(state, now, account, -call.units))
    elif bucket.surplus_units * state.counter_call_rate > plan.burst_units * CORRECTED_LAG:
        calls.append(call_counter(state, now, account, bucket.surplus_units, is_correction=True))
    state.record_answer(now, account, tokens - units if granted else tokens, granted)
    return QuotaAnswer(call.query, granted, calls)
