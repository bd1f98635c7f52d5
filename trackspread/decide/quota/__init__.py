"""Quotas over all gateways: which requests are within a tenant's token bucket and limits.

`facade.py` is what a broker calls. How a quota is shared between gateways is a strategy behind the
interface in `sharing.py`, one module each: `gossip_sharing.py`, `owner_sharing.py`, `counter_sharing.py`,
`lease_sharing.py`, `static_sharing.py`. What the limits themselves are is beside them: `token_bucket.py`,
`hard_limit.py`, `concurrency_limit.py`, `overdraft.py`. May know: settings, accounts, messages of peers,
the counter, the fleet as the host sees it. May not know: backends, the queue model.
"""

from __future__ import annotations

from .counter_calls import UNITS_PER_ATTEMPT
from .facade import Quota
from .freshness import FRESH_NS, UNRESPONSIVE_NS
from .overdraft import OVERAGE_PRICE
from .state import RETURN_WINDOW_NS

__all__ = ["FRESH_NS", "OVERAGE_PRICE", "RETURN_WINDOW_NS", "UNITS_PER_ATTEMPT", "UNRESPONSIVE_NS", "Quota"]
