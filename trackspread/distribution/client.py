"""Sends operators' commands to the replicas: changes, the beginning of a new history, and inspections.

The client blocks; only commands and tests use it.
"""

from __future__ import annotations

import random
import socket
import time

from .messages import (
    BeginHistory,
    Committed,
    Inspect,
    Inspected,
    Message,
    MessageBody,
    NotLeader,
    Put,
    Rejected,
    TooManyKeys,
)
from .versions import Version
from ..membership.identifiers import Address
from .wire import Wire
from .wire import MAX_DATAGRAM_BYTES

COMMIT_TIMEOUT_S = 5.0  # until a change has to be committed
REPLY_TIMEOUT_S = 0.4  # until one answer has to arrive
PAUSE_S = 0.1  # between two replicas, after one has answered that it does not lead


class LeaderUnavailable(Exception):
    """Reports that no leader has answered in time."""


class KeyLimitReached(Exception):
    """Reports that no more keys are accepted; the text names how many have a value."""


class ReplicaClient:
    """Calls the replicas for one command.

    A change whose answer was lost is sent again and may get two versions with the same value.
    """

    def __init__(
        self,
        wire: Wire,
        replicas: tuple[Address, ...],
        timeout_s: float = COMMIT_TIMEOUT_S,
        first: int | None = None,
    ) -> None:
        """Takes in `first` the replica that is called first; None selects one at random."""
        self._first = first
        self._wire = wire
        self._replicas = replicas
        self._timeout_s = timeout_s
        self._random = random.SystemRandom()

    def put(self, service: str, key: str, value: bytes | None) -> Version:
        """Puts a change and returns the version under which it is committed.

        Raises `LeaderUnavailable` or `KeyLimitReached`.
        """
        number = self._random.getrandbits(40)
        return self._call_leader(Put(number, service, key, value), number)

    def begin(self) -> Version:
        """Requests a new history and returns its version, or the present one where a leader still commits.

        Raises `LeaderUnavailable`.
        """
        number = self._random.getrandbits(40)
        return self._call_leader(BeginHistory(number), number)

    def show(self, replica: int, service: str = "", key: str = "") -> Inspected | None:
        """Returns what one replica holds, or None where it does not answer."""
        number = self._random.getrandbits(40)
        with self._socket() as udp_socket:
            for _ in range(3):
                answer = self._call(udp_socket, replica, Inspect(number, service, key), number)
                if isinstance(answer, Inspected):
                    return answer
        return None

    def _socket(self) -> socket.socket:
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.settimeout(REPLY_TIMEOUT_S)
        return udp_socket

    def _call_leader(self, body: Put | BeginHistory, number: int) -> Version:
        """Calls replicas until the leader has committed the command, and returns its version.

        A replica that does not answer, or is not established yet, may be followed by a minority alone: the
        others are tried in turn before it is named as leader again.
        """
        deadline_s = time.monotonic() + self._timeout_s
        unresponsive = set[int]()
        replica = self._first if self._first is not None else self._random.randrange(len(self._replicas))
        with self._socket() as udp_socket:
            while time.monotonic() < deadline_s:
                answer = self._call(udp_socket, replica, body, number)
                match answer:
                    case Committed():
                        return answer.version
                    case TooManyKeys(_, keys):
                        raise KeyLimitReached(
                            f"{keys} keys have a value, which is the maximum; delete one to put another"
                        )
                    case NotLeader(_, leader) if (
                        self._is_other(leader, replica) and leader not in unresponsive
                    ):
                        replica = leader
                        continue
                    case Rejected(_, retry_after_ms):
                        time.sleep(retry_after_ms / 1000)
                        continue
                if answer is None or (isinstance(answer, NotLeader) and answer.leader == replica):
                    unresponsive.add(replica)  # It is unreachable, or not established yet.
                replica = (replica + 1) % len(self._replicas)
                if not replica:
                    unresponsive.clear()
                time.sleep(PAUSE_S if answer is not None else 0.0)
        raise LeaderUnavailable(f"no leader among the replicas answered within {self._timeout_s:g} s")

    def _is_other(self, leader: int, replica: int) -> bool:
        return 0 <= leader < len(self._replicas) and leader != replica

    def _call(
        self, udp_socket: socket.socket, replica: int, body: MessageBody, number: int
    ) -> MessageBody | None:
        udp_socket.sendto(self._wire.pack(Message(self._wire.fleet, -1, 0, body)), self._replicas[replica])
        deadline_s = time.monotonic() + REPLY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                message = self._wire.unpack(udp_socket.recv(MAX_DATAGRAM_BYTES))
            except OSError:  # The replica is unreachable, or did not answer in time.
                return None
            answer = message.body if message is not None else None
            if (
                isinstance(answer, Committed | TooManyKeys | NotLeader | Rejected | Inspected)
                and answer.number == number
            ):
                return answer
        return None
