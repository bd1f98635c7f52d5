"""Calls to a shared counter, and what its answers mean.

A number for each tenant stands for the bucket: units taken since its name began, and UNITS_PER_ATTEMPT for
each attempt in flight. Names change with time, so that an error does not last."""

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

NAME_LIFETIME_NS = 60 * SECOND  # the longest that a name may live by the platform's rules
TIME_BITS = 16  # of a name; the tenant is in those above
TIME_MASK = (1 << TIME_BITS) - 1
UNITS_PER_ATTEMPT = 10_000.0  # above all units that can be taken while a name lives
CORRECTED_LAG = 0.125  # part of a burst by which the number may lag behind a full bucket
RATE_STEP_UP = 0.01  # of the chance of a call, for an answer ...
RATE_FACTOR_DOWN = 0.7  # ... and for none: an overloaded counter answers nobody
MIN_CALL_RATE = 0.05


class _Bucket(NamedTuple):
    """The counter's number, read as a bucket as it was before the call that it answers."""

    attempts: float  # in flight at all gateways, an integer
    surplus_units: float  # refill since the name began, less units taken; above 0 the bucket was full


def units_of_attempt(state: QuotaState, account: TenantAccount) -> float:
    """What an attempt in flight adds to the counter where the plan limits their number, else 0.0."""
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
    """Add units, which may be below 0, and what earlier calls left to correct."""
    name = account.tenant << TIME_BITS | (now // NAME_LIFETIME_NS) & TIME_MASK
    correction_units = account.counter.correction_units
    account.counter.correction_units = 0.0
    calls = state.counter_calls.setdefault(name, deque())
    calls.append(CounterCall(query, units, is_correction, correction_units))
    return AddToCounter(name, NAME_LIFETIME_NS, units + correction_units)


def receive_counter_answer(sharing: QuotaSharing, now: int, event: CounterAnswered) -> QuotaAnswer:
    """Take in an answer: whether the bucket has what was asked for, and what to send to put the number
    right."""
    state = sharing.state
    calls = state.counter_calls.get(event.key)
    account = state.accounts.get(event.key >> TIME_BITS)
    if not calls or account is None:
        return QuotaAnswer(NO_QUERY, None, [])
    call = calls.popleft()
    if event.outcome is not Outcome.OK:
        state.counter_call_rate = max(MIN_CALL_RATE, state.counter_call_rate * RATE_FACTOR_DOWN)
        _note_failed_call(state, account, call, event.outcome)
        return QuotaAnswer(call.query, None, [])
    state.counter_call_rate = min(1.0, state.counter_call_rate + RATE_STEP_UP)
    bucket = _bucket_before(state, now, account, call, event)
    token_bucket.refill(sharing, now, account)
    if call.is_correction or call.units <= 0:
        return QuotaAnswer(NO_QUERY, None, _undo_second_correction(state, now, account, call, bucket))
    return _decide(state, now, account, call, bucket)


def _note_failed_call(state: QuotaState, account: TenantAccount, call: CounterCall, outcome: Outcome) -> None:
    """What is to be corrected after a call without an answer."""
    if outcome is Outcome.TIMEOUT:
        # It surely was added, late, and no attempt came of it.
        if call.query:
            account.counter.correction_units -= units_of_attempt(state, account)
        return
    # It surely was not added.
    missing_units = call.correction_units
    if not call.query and not call.is_correction:
        missing_units += call.units
    account.counter.correction_units += missing_units


def _bucket_before(
    state: QuotaState, now: int, account: TenantAccount, call: CounterCall, event: CounterAnswered
) -> _Bucket:
    """The number without the call itself, as of when the call was made."""
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
    """Take a correction back where another gateway made it first."""
    if call.is_correction and bucket.surplus_units < call.units / 2:
        return [call_counter(state, now, account, -call.units)]
    return []


def _decide(
    state: QuotaState, now: int, account: TenantAccount, call: CounterCall, bucket: _Bucket
) -> QuotaAnswer:
    """Whether the request that was counted is within quota and concurrency limit. Else it is taken off the
    number again; a number that lags behind a full bucket is put right."""
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
    state.learn_tokens(now, account, tokens - units if granted else tokens, granted)
    return QuotaAnswer(call.query, granted, calls)
