"""A control machine's replica of the configuration that is distributed; its leader is the machines' leader.

The n-th of `configuration.replicas` is on the n-th of `fleet.control`. No election is held here: the lease of
the control machines' own view says who leads, and is checked at each use. Decides nothing.
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
    """The replica of this control machine, not yet started; None where no configuration is distributed.

    Raises `ConfigError`, and `OSError` where its record cannot be written.
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
        # The lease is given up, and the next ballot is beyond it.
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
