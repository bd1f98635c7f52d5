"""What an operator's command asks of the replicas: a change, a new history, what each of them holds.

Blocking, for commands and tests alone. May know: the replicas' addresses, the fleet's key.
"""

from __future__ import annotations

import random
import socket
import time

from .terms import (
    Address,
    Begin,
    Bodies,
    Done,
    Full,
    Message,
    NotLeader,
    Put,
    Refused,
    Show,
    Shown,
    Version,
)
from .wire import DATAGRAM, Wire

PATIENCE = 5.0  # s for a change to be committed
ANSWER = 0.4  # s for one answer
PAUSE = 0.1  # s before others are asked, where nobody leads


class Unanswered(Exception):
    """Nobody that leads has answered in time."""


class TooMany(Exception):
    """No more keys are taken; the text says how many there may be."""


class Client:
    """One command's. A change that is asked for again, as its answer was lost, may get two versions with the
    same value."""

    def __init__(
        self,
        wire: Wire,
        replicas: tuple[Address, ...],
        patience: float = PATIENCE,
        first: int | None = None,
    ) -> None:
        """`first`: the replica that is asked first; any, where it is left out."""
        self._first = first
        self._wire, self._replicas, self._patience = wire, replicas, patience
        self._random = random.SystemRandom()

    def put(self, service: str, key: str, value: bytes | None) -> Version:
        """The version under which it is committed; raises `Unanswered`, `TooMany`."""
        number = self._random.getrandbits(40)
        return self._lead(Put(number, service, key, value), number)

    def begin(self) -> Version:
        """Has a new history begun, if none goes on; raises `Unanswered`."""
        number = self._random.getrandbits(40)
        return self._lead(Begin(number), number)

    def show(self, replica: int, service: str = "", key: str = "") -> Shown | None:
        """What one replica holds; None where it does not answer."""
        number = self._random.getrandbits(40)
        with self._socket() as line:
            for _ in range(3):
                answer = self._ask(line, replica, Show(number, service, key), number)
                if isinstance(answer, Shown):
                    return answer
        return None

    def _socket(self) -> socket.socket:
        line = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        line.settimeout(ANSWER)
        return line

    def _lead(self, body: Put | Begin, number: int) -> Version:
        """Asks who leads, until it has done so. One that gives no answer, or does not lead yet, may have a
        minority alone that believes in it: others are asked in turn before it is asked again."""
        end, silent = time.monotonic() + self._patience, set[int]()
        replica = self._first if self._first is not None else self._random.randrange(len(self._replicas))
        with self._socket() as line:
            while time.monotonic() < end:
                answer = self._ask(line, replica, body, number)
                match answer:
                    case Done():
                        return answer.version
                    case Full(_, keys):
                        raise TooMany(f"found {keys} keys with a value, wanted fewer before one more is put")
                    case NotLeader(_, leader) if self._is_other(leader, replica) and leader not in silent:
                        replica = leader
                        continue
                    case Refused(_, again):
                        time.sleep(again / 1000)
                        continue
                if answer is None or (isinstance(answer, NotLeader) and answer.leader == replica):
                    silent.add(replica)  # it is not there, or is not established yet
                replica = (replica + 1) % len(self._replicas)
                if not replica:
                    silent.clear()
                time.sleep(PAUSE if answer is not None else 0.0)
        raise Unanswered(f"no replica that leads answered within {self._patience:g} s")

    def _is_other(self, leader: int, replica: int) -> bool:
        return 0 <= leader < len(self._replicas) and leader != replica

    def _ask(self, line: socket.socket, replica: int, body: Bodies, number: int) -> Bodies | None:
        line.sendto(self._wire.pack(Message(self._wire.fleet, -1, 0, body)), self._replicas[replica])
        end = time.monotonic() + ANSWER
        while time.monotonic() < end:
            try:
                message = self._wire.unpack(line.recv(DATAGRAM))
            except OSError:  # nobody there, or no answer in time
                return None
            answer = message.body if message is not None else None
            if isinstance(answer, Done | Full | NotLeader | Refused | Shown) and answer.number == number:
                return answer
        return None
