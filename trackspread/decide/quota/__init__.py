"""Applies tenants' quotas over all gateways: which requests are within the token bucket and the limits.

A broker uses `facade.py`. The ways of sharing a quota between gateways are strategies behind the interface in
`sharing.py`, one module each: `gossip_sharing.py`, `owner_sharing.py`, `counter_sharing.py`,
`lease_sharing.py` and `static_sharing.py`. The limits themselves are defined in `token_bucket.py`,
`hard_limit.py`, `concurrency_limit.py` and `overdraft.py`.

This package may depend on settings, accounts, messages of peers, the counter, and the fleet as the host
reports it. It must not depend on backends or the queue model.
"""

from __future__ import annotations

from .counter_calls import UNITS_PER_ATTEMPT
from .facade import Quota
from .freshness import FRESH_NS, UNRESPONSIVE_NS
from .overdraft import OVERAGE_PRICE
from .state import RETURN_WINDOW_NS

__all__ = ["FRESH_NS", "OVERAGE_PRICE", "RETURN_WINDOW_NS", "UNITS_PER_ATTEMPT", "UNRESPONSIVE_NS", "Quota"]
