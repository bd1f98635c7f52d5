"""Times, shares and bounds of the lease protocol on a shared counter (`docs/design/counter.md`)."""

from __future__ import annotations

from ..decide.time_units import MILLISECOND, SECOND

HEARTBEAT_NS = 400 * MILLISECOND  # between heartbeats in a partition: one lost call is no silence
CALL_TIMEOUT_NS = 250 * MILLISECOND  # a counter slower than this is as good as lost
CLAIM_RENEWAL_NS = 800 * MILLISECOND  # between claims on a tenant: what vanished is back within it
CLOCK_DRIFT = 0.02  # by which two clocks may run apart
LEASE_NS = int(2 * SECOND * (1.0 - CLOCK_DRIFT))  # from the answer that a share rests on: two lost calls
# From the last heartbeat that anyone can have seen: by then whoever counted on it has let go. A reader sees
# a heartbeat up to one interval and one call late, and so does the reader whom it stands for.
EXPIRY_NS = int((2 * SECOND + 2 * HEARTBEAT_NS + 2 * CALL_TIMEOUT_NS) * (1.0 + CLOCK_DRIFT))
# That a raise waits: whoever holds what the counter lost has written it anew by then.
PROOF_NS = CLAIM_RENEWAL_NS + 2 * CALL_TIMEOUT_NS
IDLE_NS = 5 * SECOND  # without a request after which a lease is given back
# Of a hard limit that is never pooled: each gateway's at once, whatever the counter says.
GUARANTEED_PART = 0.5
MINIMUM_PART = 0.25  # of a static share of a quota that is usable before any answer
REPORT_AFTER_PART = 0.25  # of a quota's burst that may be requested here before others are notified
HEADROOM = 2.0  # a claim over the demand: bursts pass without a call
FIRST_CLAIM_PART = 0.5  # of what is free that a first claim takes: the rest is for who comes next
TURN_MS = 2_000  # of the counter's clock, after which gateways that can't all hold a share change places
KEY_LIFETIME_MS = 60_000  # of a key after its last write; longer than any bucket takes to fill here
MAX_TENANTS = 50_000  # leased at once: some 400 bytes of memory each
EPSILON = 1e-9  # rounding of shares
