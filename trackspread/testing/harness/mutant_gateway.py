"""Runs a gateway with one planted fault.

Usage: `python -m trackspread.testing.harness.mutant_gateway NAME --file FILE`.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any, cast
from unittest.mock import patch

from ...backends.pools import ConnectionPools
from ...fair_scheduler import TimeSlice
from ...fronts.bodies import BodyMemory
from ...fronts.client import ClientConnection
from ...fronts.connections import ClientConnections
from ...fronts.response_slot import ResponseSlot
from ...handover.wire import PIECE_BYTES
from ...memory import read_buffer
from ...memory.overload import Overload
from ...node import serve
from ...node.gateway import Gateway
from ..judge.verdict import Rule
from ..virtual.cells import mutants as celled_mutants
from ..virtual.membership import mutants as membered_mutants
from ..virtual.mutants import MUTANTS
from ..virtual.patches import applied

FAULT_INTERVAL = 15  # one fault in this number of calls
REQUESTS_UNTIL_CRASH = 20 * FAULT_INTERVAL
CRASH_STATUS = 70
LONG_READ_BYTES = 256 << 10


def _answers_twice() -> list[Any]:
    real = ResponseSlot.send_rejection
    calls = 0

    def mutant(self: ResponseSlot, call: Any, wait_ms: int) -> None:
        nonlocal calls
        real(self, call, wait_ms)
        calls += 1
        if calls % FAULT_INTERVAL == 0 and not self.client.slots:
            self.client.write(b"-BUSY\r\n")

    return [patch.object(ResponseSlot, "send_rejection", mutant)]


def _answers_lost(instead: Callable[[ResponseSlot], None] = lambda slot: None) -> list[Any]:
    """Returns patches that call `instead` for every `FAULT_INTERVAL`th answer and do not write it."""
    real = ResponseSlot.send_value
    calls = 0

    def mutant(self: ResponseSlot, call: Any, value: bytes) -> None:
        nonlocal calls
        calls += 1
        if calls % FAULT_INTERVAL:
            real(self, call, value)
        else:
            instead(self)

    return [patch.object(ResponseSlot, "send_value", mutant)]


def _connection_ended() -> list[Any]:
    return _answers_lost(lambda slot: cast(ClientConnection, slot.client).abort())


def _written_late() -> list[Any]:
    """Returns patches with which a drained backend gets earlier decided attempts, however late."""
    real = ConnectionPools.update_backend

    def mutant(
        self: ConnectionPools, backend: int, address: Any, is_old: bool = False, incarnation: int = 0
    ) -> None:
        if address is not None:
            real(self, backend, address, is_old, incarnation)

    return [patch.object(ConnectionPools, "update_backend", mutant), *MUTANTS["drains-ignored"].patches()]


def _crashes() -> list[Any]:
    real = Gateway.take

    def mutant(self: Gateway, call: Any, slot: Any, waited: float) -> None:
        real(self, call, slot, waited)
        if next(self._request_numbers) > REQUESTS_UNTIL_CRASH:
            os._exit(CRASH_STATUS)

    return [patch.object(Gateway, "take", mutant)]


def _bodies_wait() -> list[Any]:
    """Returns patches with which a long body waits for memory until other bodies end by themselves."""
    return [patch.object(BodyMemory, "end_waits", lambda self: None)]


def _long_input_stays() -> list[Any]:
    """Returns patches with which a connection with much input is not handed over, and not read either."""
    real = ClientConnections.pass_on_connection

    def mutant(self: ClientConnections, client: ClientConnection) -> None:
        if client.input_bytes <= PIECE_BYTES:
            real(self, client)

    return [patch.object(ClientConnections, "pass_on_connection", mutant)]


def _turn_unbounded() -> list[Any]:
    """Returns patches with which all input of a read is processed in one turn of the loop."""
    return [patch.object(TimeSlice, "is_over", lambda self: False), _long_reads()]


def _input_unbounded() -> list[Any]:
    """Returns patches with which clients are read while their input waits, however much of it is kept."""
    return [
        patch.object(ClientConnection, "_update_reading", lambda self: None),
        patch.object(ClientConnections, "limit_unprocessed", lambda self: None),
        patch.object(Overload, "relieve", lambda self: 0),
        _long_reads(),
    ]


def _long_reads() -> Any:
    """Returns a patch with which a read takes all that a socket holds; short reads alone bound a turn."""
    return patch.object(read_buffer, "_view", memoryview(bytearray(LONG_READ_BYTES)))


def _memory_unbounded() -> list[Any]:
    """Returns patches with which no owner gives up memory, however much all keep."""
    return [patch.object(Overload, "relieve", lambda self: 0)]


# These are faults of the running gateway; `virtual.mutants` has those of its decisions.
ON_SOCKETS: dict[str, tuple[Rule, Callable[[], list[Any]]]] = {
    "socket-answers-twice": ("answers", _answers_twice),
    "socket-answers-lost": ("answers", _answers_lost),
    "socket-connection-ended": ("answers", _connection_ended),
    "socket-written-late": ("drains", _written_late),
    "socket-crashes": ("crash", _crashes),
    "socket-bodies-wait": ("answers", _bodies_wait),
    "socket-long-input-stays": ("answers", _long_input_stays),
    "socket-turn-unbounded": ("answers", _turn_unbounded),
    "socket-input-unbounded": ("memory", _input_unbounded),
    "socket-memory-unbounded": ("memory", _memory_unbounded),
}

# Only runs in virtual time detect these.
VIRTUAL_ONLY = {
    # The connection pool's own grace time stops what the decisions send to a draining backend.
    "drains-ignored",
    # The scenarios lack the clients or the warming node that these need.
    "hard-limit-granted-by-each",
    "warming-up-overloaded",
    "window-ignored",
    # No scenario has connections that are established so late.
    "written-after-window",
    # No scenario on processes plays this one yet.
    "used-units-refunded",
    # These are faults of the virtual host.
    "replies-lost",
    "replies-duplicated",
    "replies-late",
    "replies-swapped",
    "forwarded-after-reply",
}
# Only upgrades detect these, and no scenario of faults has any.
UPGRADES_ONLY = {"socket-long-input-stays"}
PROCESSES = tuple(name for name in (*MUTANTS, *ON_SOCKETS) if name not in VIRTUAL_ONLY)


def rule(name: str) -> Rule:
    """Returns the rule that a mutant breaks."""
    return ON_SOCKETS[name][0] if name in ON_SOCKETS else MUTANTS[name].rule


def command(name: str) -> tuple[str, ...]:
    """Returns the command that runs a mutant, for `Fleet`."""
    return "-m", "trackspread.testing.harness.mutant_gateway", name


def _patches(name: str) -> list[Any]:
    if name in ON_SOCKETS:
        return ON_SOCKETS[name][1]()
    if name in celled_mutants.MUTANTS:
        return celled_mutants.MUTANTS[name]()
    return MUTANTS[name].patches() if name in MUTANTS else membered_mutants.MUTANTS[name]()


if __name__ == "__main__":
    with applied(_patches(sys.argv[1])):
        serve.run(sys.argv[-1])
