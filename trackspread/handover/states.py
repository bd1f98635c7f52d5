"""Decides what the old process and the new one do at each step of a handover, also if the other side fails.

This module may depend on steps and waits in seconds, not on sockets, clocks or the state that is handed over.
It takes events and returns actions, so the same code runs on sockets and in virtual time. The right to serve
passes from the old process to the new one with the single message TAKEN. Before TAKEN is written only the old
process may serve; from then on only the new one may.
"""

from __future__ import annotations

from enum import Enum, StrEnum, auto
from typing import NamedTuple

PROTOCOL = 1  # version of the messages; if the other process has another version, the new process starts cold
HELLO_TIMEOUT_S = 2.5  # for the old process's HELLO; it may be handing over to another new process first
# The platform gives a new process this time to become ready; later it will not request the state any more.
READY_TIMEOUT_S = 6.0
STATE_TIMEOUT_S = 1.0  # from the state's first byte until TAKEN; no request is served in this time
REQUEST_TIMEOUT_S = 2.0  # for the state; longer than `STATE_TIMEOUT_S`, so that the old process decides first
MAX_ROUNDS = 2  # connections that a new process tries before it starts cold


class Event(Enum):
    """Names what can happen to either side."""

    HELLO_RECEIVED = auto()  # either side: the other side sent HELLO in the same protocol version
    INVALID_MESSAGE = auto()  # either side: the message has another protocol version or cannot be read
    READY = auto()  # new process: it has its endpoint list and could serve
    STATE_REQUESTED = auto()  # old process: the new process can serve and requests the state
    STATE_RECEIVED = auto()  # new process: the complete state has arrived, and its checksum is right
    TAKEN_OVER = auto()  # old process: the new process serves
    CONNECTION_LOST = auto()  # either side: the connection to the other side has ended
    TIMED_OUT = auto()  # either side: the wait of the last action has ended


class Action(Enum):
    """Names what a side does in response."""

    SEND_HELLO = auto()  # either side
    REQUEST_STATE = auto()  # new process
    TAKE_OVER = auto()  # new process: restore the state, write TAKEN, serve
    START_COLD = auto()  # new process: serve without any state of the old process
    RECONNECT = auto()  # new process: connect to the serving process once more
    SEND_STATE = auto()  # old process: stop serving and send the complete state
    PASS_CLIENTS = auto()  # old process: pass the clients' connections on, and finish the open requests
    RESUME = auto()  # old process: serve again, as before the handover
    DISCONNECT = auto()  # either side: close the connection to the other side


class TimedAction(NamedTuple):
    """Holds an action and the wait in seconds that starts with it; 0 means no wait."""

    action: Action
    wait_s: float


Actions = list[TimedAction]


class PredecessorStep(StrEnum):
    """Names the steps of the old process."""

    SERVING = "serving"  # it serves, and no new process has sent HELLO
    MET = "met"  # it serves, and has exchanged HELLO with a new process
    SENDING = "sending"  # it has stopped serving, sends the state and waits for TAKEN
    HANDED_OVER = "handed over"  # the new process serves; this one finishes its open requests


class SuccessorStep(StrEnum):
    """Names the steps of the new process."""

    SEEKING = "seeking"  # it connects to the old process
    GREETING = "greeting"  # it has sent HELLO and waits for the old process's
    MET = "met"  # it has exchanged HELLO, and cannot serve yet
    REQUESTING = "requesting"  # it has requested the state and waits for it
    TAKING = "taking"  # it has the state and restores it
    SERVING = "serving"  # it serves with the old process's state
    COLD = "cold"  # it serves without the old process's state


class PredecessorSteps:
    """Decides the actions of the old process towards one new process at a time."""

    def __init__(self) -> None:
        self.step = PredecessorStep.SERVING

    def handle(self, event: Event) -> Actions:
        """Returns the actions after an event, and moves on to the next step."""
        match self.step, event:
            case PredecessorStep.SERVING, Event.HELLO_RECEIVED:
                self.step = PredecessorStep.MET
                return [TimedAction(Action.SEND_HELLO, READY_TIMEOUT_S)]
            case PredecessorStep.MET, Event.STATE_REQUESTED:
                self.step = PredecessorStep.SENDING
                return [TimedAction(Action.SEND_STATE, STATE_TIMEOUT_S)]
            case PredecessorStep.SENDING, Event.TAKEN_OVER:
                self.step = PredecessorStep.HANDED_OVER
                return [TimedAction(Action.PASS_CLIENTS, 0.0)]
            case ((PredecessorStep.SENDING | PredecessorStep.HANDED_OVER), Event.CONNECTION_LOST):
                # The new process ended, before or after TAKEN, so only this process can serve.
                return self._resume()
            case PredecessorStep.SENDING, (Event.TIMED_OUT | Event.INVALID_MESSAGE):
                return self._resume()
            case PredecessorStep.HANDED_OVER, _:
                return []
            case _, (Event.TIMED_OUT | Event.CONNECTION_LOST | Event.INVALID_MESSAGE):
                self.step = PredecessorStep.SERVING
                return [TimedAction(Action.DISCONNECT, 0.0)]
        return []  # the event is a duplicate or not valid at this step

    def _resume(self) -> Actions:
        self.step = PredecessorStep.SERVING
        return [TimedAction(Action.DISCONNECT, 0.0), TimedAction(Action.RESUME, 0.0)]


class SuccessorSteps:
    """Decides the actions of the new process."""

    def __init__(self) -> None:
        self.step = SuccessorStep.SEEKING
        self._is_ready = False
        self._rounds = 0

    def found(self, is_there: bool) -> Actions:
        """Returns the actions after the attempt to connect; `is_there`: whether an old process listens."""
        if self.step is not SuccessorStep.SEEKING:
            return []
        if not is_there:
            return self._start_cold()
        self.step = SuccessorStep.GREETING
        return [TimedAction(Action.SEND_HELLO, HELLO_TIMEOUT_S)]

    def _start_cold(self) -> Actions:
        self.step = SuccessorStep.COLD
        return [TimedAction(Action.DISCONNECT, 0.0), TimedAction(Action.START_COLD, 0.0)]

    def handle(self, event: Event) -> Actions:
        """Returns the actions after an event, and moves on to the next step."""
        if event is Event.READY:
            self._is_ready = True
        match self.step, event:
            case SuccessorStep.GREETING, Event.HELLO_RECEIVED:
                self.step = SuccessorStep.MET
                return self._request_state()
            case SuccessorStep.MET, Event.READY:
                return self._request_state()
            case SuccessorStep.REQUESTING, Event.STATE_RECEIVED:
                self.step = SuccessorStep.TAKING
                return [TimedAction(Action.TAKE_OVER, 0.0)]
            case (
                (
                    SuccessorStep.GREETING
                    | SuccessorStep.MET
                    | SuccessorStep.REQUESTING
                    | SuccessorStep.TAKING
                ),
                Event.CONNECTION_LOST,
            ):
                return self._reconnect()
            case (
                (SuccessorStep.GREETING | SuccessorStep.MET | SuccessorStep.REQUESTING),
                (Event.TIMED_OUT | Event.INVALID_MESSAGE),
            ):
                return self._start_cold()
        return []

    def _reconnect(self) -> Actions:
        # The old process may have handed over to another new process, which listens there now.
        self._rounds += 1
        if self._rounds >= MAX_ROUNDS:
            return self._start_cold()
        self.step = SuccessorStep.SEEKING
        return [TimedAction(Action.DISCONNECT, 0.0), TimedAction(Action.RECONNECT, 0.0)]

    def _request_state(self) -> Actions:
        if not self._is_ready:
            return []
        self.step = SuccessorStep.REQUESTING
        return [TimedAction(Action.REQUEST_STATE, REQUEST_TIMEOUT_S)]

    def taken_over(self, is_written: bool) -> Actions:
        """Returns the actions after the attempt to write TAKEN.

        If TAKEN could not be written, the old process had stopped waiting for this one.
        """
        if self.step is not SuccessorStep.TAKING:
            return []
        if not is_written:
            return self.handle(Event.CONNECTION_LOST)
        self.step = SuccessorStep.SERVING
        return []
