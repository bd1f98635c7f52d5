"""What the old process and the new one do at each step of a handover, whatever happens to the other.

May know: steps, waits in seconds. May not know: sockets, clocks, what is handed over. Events in, actions
out: the same code runs on sockets and in virtual time. The right to serve passes from the old process
to the new one with the single message TAKEN: before it is written the old one serves on, from then
on the new one alone.
"""

from __future__ import annotations

from enum import Enum, StrEnum, auto
from typing import NamedTuple

PROTOCOL = 1  # of the messages between both; with a process that speaks another one a start is cold
HELLO_TIMEOUT_S = 2.5  # until the old process answers; it may be busy with another new process first
# That the platform gives a new process; one that has sent no request by then never will.
READY_TIMEOUT_S = 6.0
STATE_TIMEOUT_S = 1.0  # from the state's first byte until TAKEN: no request is served meanwhile
REQUEST_TIMEOUT_S = 2.0  # from the request on: over the state's, so that the old process decides first
MAX_ROUNDS = 2  # of a new process before it starts cold


class Event(Enum):
    """What happens to either side."""

    HELLO_RECEIVED = auto()  # the other side said hello, in this protocol
    INVALID_MESSAGE = auto()  # of another protocol, or one that cannot be read
    READY = auto()  # new: this process has its endpoint list and could serve
    STATE_REQUESTED = auto()  # old: the new one can serve and wants to take over
    STATE_RECEIVED = auto()  # new: the complete state has arrived, and its checksum is right
    TAKEN_OVER = auto()  # old: the new one serves
    CONNECTION_LOST = auto()  # to the other side
    TIMED_OUT = auto()  # the wait of the last action is over


class Action(Enum):
    """What a side does then."""

    SEND_HELLO = auto()
    REQUEST_STATE = auto()  # new
    TAKE_OVER = auto()  # new: restore the state, write TAKEN, serve
    START_COLD = auto()  # new: serve without any state of the old process
    RECONNECT = auto()  # new: look for the old process once more
    SEND_STATE = auto()  # old: stop serving and send the complete state
    PASS_CLIENTS = auto()  # old: pass the clients' connections on, end the requests that are open
    RESUME = auto()  # old: serve on as if nothing had been
    DISCONNECT = auto()  # from the other side


class TimedAction(NamedTuple):
    """An action, and the wait that begins with it; 0 for none."""

    action: Action
    wait_s: float


Actions = list[TimedAction]


class PredecessorStep(StrEnum):
    """Where the old process is."""

    SERVING = "serving"
    MET = "met"
    SENDING = "sending"
    HANDED_OVER = "handed over"


class SuccessorStep(StrEnum):
    """Where the new process is."""

    SEEKING = "seeking"
    GREETING = "greeting"
    MET = "met"
    REQUESTING = "requesting"
    TAKING = "taking"
    SERVING = "serving"
    COLD = "cold"


class PredecessorSteps:
    """The old process, towards one new process at a time."""

    def __init__(self) -> None:
        self.step = PredecessorStep.SERVING

    def handle(self, event: Event) -> Actions:
        """What is to be done after the event, and the next step taken."""
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
                # It ended after TAKEN, or before it: only this process can serve.
                return self._resume()
            case PredecessorStep.SENDING, (Event.TIMED_OUT | Event.INVALID_MESSAGE):
                return self._resume()
            case PredecessorStep.HANDED_OVER, _:
                return []
            case _, (Event.TIMED_OUT | Event.CONNECTION_LOST | Event.INVALID_MESSAGE):
                self.step = PredecessorStep.SERVING
                return [TimedAction(Action.DISCONNECT, 0.0)]
        return []  # out of turn: a repeat

    def _resume(self) -> Actions:
        self.step = PredecessorStep.SERVING
        return [TimedAction(Action.DISCONNECT, 0.0), TimedAction(Action.RESUME, 0.0)]


class SuccessorSteps:
    """The new process."""

    def __init__(self) -> None:
        self.step = SuccessorStep.SEEKING
        self._is_ready = False
        self._rounds = 0

    def found(self, is_there: bool) -> Actions:
        """Whether a process listens where an old one would."""
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
        """What is to be done after the event, and the next step taken."""
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
        # It may have handed over to another new process meanwhile: that one is there now.
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
        """Whether TAKEN could be written: if not, the old process had stopped waiting for this one."""
        if self.step is not SuccessorStep.TAKING:
            return []
        if not is_written:
            return self.handle(Event.CONNECTION_LOST)
        self.step = SuccessorStep.SERVING
        return []
