"""What the old process and the new one do at each step of a handover, whatever becomes of the other.

May know: steps, waits in seconds. May not know: sockets, clocks, what is carried over. Events in, actions
out: the same code runs on sockets and in virtual time. The right to serve passes from the old process
to the new one with the single message TAKEN: before it is written the old one serves on, from then
on the new one alone.
"""

from __future__ import annotations

from enum import Enum, auto

PROTOCOL = 1  # of the messages between both; a process that speaks another one is a stranger: a cold start
GREETING_MOST = 2.5  # s until the old process answers; it may be busy with another newcomer first
READY_MOST = 6.0  # s that the platform gives a new process; one that has not asked by then never will
GIVING_MOST = 1.0  # s from the state's first byte until TAKEN: nobody is served meanwhile
ASKING_MOST = 2.0  # s from the asking on: over the giving, so that the old process decides first
TRIES = 2  # rounds of a newcomer before it starts cold


class Event(Enum):
    """What befalls either side."""

    MET = auto()  # the other side said hello, in this protocol
    STRANGE = auto()  # it said so in another one, or nothing that can be read
    READY = auto()  # new: this process has its list and could serve
    ASKED = auto()  # old: the new one can serve and asks to take over
    GIVEN = auto()  # new: all that is carried over has come, and checks
    TAKEN = auto()  # old: the new one serves
    LOST = auto()  # the connection to the other has ended
    LATE = auto()  # the wait that was asked for last has passed


class Action(Enum):
    """What a side does then."""

    GREET = auto()  # say hello
    ASK = auto()
    TAKE = auto()  # new: take up what was carried over, write TAKEN, serve
    COLD = auto()  # new: serve with nothing carried over
    SEEK = auto()  # new: look for the old process once more
    GIVE = auto()  # old: stop serving and hand over all that is known
    PASS = auto()  # old: pass the clients' connections on, end what was taken
    RESUME = auto()  # old: serve on as if nothing had been
    DROP = auto()  # end the connection to the other


Actions = list[tuple[Action, float]]  # with the wait from then on, in seconds, 0 for none


class PredecessorSteps:
    """The old process, towards one newcomer at a time."""

    def __init__(self) -> None:
        self.step = "serving"

    def handle(self, what: Event) -> Actions:
        """What is to be done after `what`, and the next step taken."""
        match self.step, what:
            case "serving", Event.MET:
                self.step = "met"
                return [(Action.GREET, READY_MOST)]
            case "met", Event.ASKED:
                self.step = "giving"
                return [(Action.GIVE, GIVING_MOST)]
            case "giving", Event.TAKEN:
                self.step = "handed"
                return [(Action.PASS, 0.0)]
            case (("giving" | "handed"), Event.LOST):
                # It died after TAKEN, or before it: nobody serves but this process.
                self.step = "serving"
                return [(Action.DROP, 0.0), (Action.RESUME, 0.0)]
            case "giving", (Event.LATE | Event.STRANGE):
                self.step = "serving"
                return [(Action.DROP, 0.0), (Action.RESUME, 0.0)]
            case "handed", _:
                return []
            case _, (Event.LATE | Event.LOST | Event.STRANGE):
                self.step = "serving"
                return [(Action.DROP, 0.0)]
        return []  # out of turn: a repeat


class SuccessorSteps:
    """The new process."""

    def __init__(self) -> None:
        self.step, self._ready, self._tries = "seeking", False, 0

    def found(self, there: bool) -> Actions:
        """Whether somebody listens where an old process would."""
        if self.step != "seeking":
            return []
        if not there:
            return self._cold()
        self.step = "greeting"
        return [(Action.GREET, GREETING_MOST)]

    def _cold(self) -> Actions:
        self.step = "cold"
        return [(Action.DROP, 0.0), (Action.COLD, 0.0)]

    def handle(self, what: Event) -> Actions:
        """What is to be done after `what`, and the next step taken."""
        if what is Event.READY:
            self._ready = True
        match self.step, what:
            case "greeting", Event.MET:
                self.step = "met"
                return self._ask()
            case "met", Event.READY:
                return self._ask()
            case "asking", Event.GIVEN:
                self.step = "taking"
                return [(Action.TAKE, 0.0)]
            case (("greeting" | "met" | "asking" | "taking"), Event.LOST):
                # It may have handed over to another newcomer meanwhile: that one is there now.
                self._tries += 1
                if self._tries >= TRIES:
                    return self._cold()
                self.step = "seeking"
                return [(Action.DROP, 0.0), (Action.SEEK, 0.0)]
            case (("greeting" | "met" | "asking"), (Event.LATE | Event.STRANGE)):
                return self._cold()
        return []

    def _ask(self) -> Actions:
        if not self._ready:
            return []
        self.step = "asking"
        return [(Action.ASK, ASKING_MOST)]

    def took(self, written: bool) -> Actions:
        """Whether TAKEN could be written: if not, the old process had given this one up."""
        if self.step != "taking":
            return []
        if not written:
            return self.handle(Event.LOST)
        self.step = "serving"
        return []
