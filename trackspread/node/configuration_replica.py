"""Creates a control machine's replica of the distributed configuration.

The n-th address of `configuration.replicas` is on the n-th machine of `fleet.control`. The replicas hold no
election of their own: the control machines' leader leads them, and its lease is checked at each use. This
module makes no decisions.
"""

from __future__ import annotations

import time
from pathlib import Path

from ..cells.controller import Controller
from ..config.operator import Operator
from ..distribution.host import ReplicaHost
from ..distribution.settings import ReplicaSettings
from ..membership.identifiers import Epoch
from ..distribution.wire import Wire
from ..membership.host import created_now_ms
from .fleet_keys import read_keys
from .random_seed import random_seed


def make_replica(operator: Operator, core: Controller) -> ReplicaHost | None:
    """Returns this control machine's replica, not started, or None if no configuration is distributed.

    Raises `ConfigError`, and `OSError` if its record cannot be written.
    """
    table = operator.configuration
    if not table.replicas:
        return None
    addresses = table.addresses()
    number = core.settings.machines.index(core.machine)

    def leading_epoch() -> Epoch | None:
        member = core.control_member
        if member.coordinator is None or not member.is_coordinator(now()):
            return None
        return member.coordinator.epoch

    def superseded(epoch: Epoch) -> None:
        # Recording the newer round gives up the lease, and makes the next ballot higher than that round.
        core.control_member.coordination.acceptor.record_round(epoch[0])

    now = time.monotonic_ns
    return ReplicaHost(
        ReplicaSettings(number, created_now_ms(), addresses),
        addresses[number],
        Wire(operator.fleet.name, read_keys(operator.fleet)),
        random_seed(),
        now,
        leading_epoch,
        superseded,
        Path(table.record) if table.record else None,
    )
