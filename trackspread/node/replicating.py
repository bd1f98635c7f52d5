"""A control machine's replica of the configuration that is handed down: led by whoever leads the machines.

The n-th of `configuration.replicas` is on the n-th of `fleet.control`. No election is held here: the lease of
the control machines' own view says who leads, and is asked at each instant. Decides nothing.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

from ..cells.controller import Controller
from ..config.operator import Operator
from ..distribution.host import ReplicaHost
from ..distribution.terms import Epoch, ReplicaSettings
from ..distribution.wire import Wire
from ..membership.host import created_now_ms
from .membered import keys


def made(operator: Operator, core: Controller) -> ReplicaHost | None:
    """The replica of this control machine, not yet started; None where no configuration is handed down.
    Raises `ConfigError`, and `OSError` where its record can't be written."""
    table = operator.configuration
    if not table.replicas:
        return None
    addresses = table.addresses()
    number = core.settings.machines.index(core.machine)

    def leads() -> Epoch | None:
        tier = core.control_member
        return tier.coordinator.epoch if tier.coordinator is not None and tier.is_coordinator(now()) else None

    def outdone(epoch: Epoch) -> None:
        core.control_member.coordination.acceptor.record_round(
            epoch[0]
        )  # the lease is given up, and the next bid is beyond it

    now = time.monotonic_ns
    return ReplicaHost(
        ReplicaSettings(number, created_now_ms(), addresses),
        addresses[number],
        Wire(operator.fleet.name, keys(operator.fleet)),
        int.from_bytes(os.urandom(8)),
        now,
        leads,
        outdone,
        Path(table.record) if table.record else None,
    )
