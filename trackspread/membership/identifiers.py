"""Defines the identifiers of members, coordinators and views, and units of time.

Times are integer nanoseconds on each process's own monotonic clock. Messages carry only durations, and
timestamps that are returned to their sender. A member is identified by (name, creation time): a process that
restarts under a name is another member, so that nothing which was reported about, promised by or granted to
the former process applies to it.
"""

from __future__ import annotations

from ..planning.timing import CLOCK_DRIFT as CLOCK_DRIFT

MS = 1_000_000  # ns
SECOND = 1000 * MS  # ns

Address = tuple[str, int]  # host and port
MemberId = tuple[str, int]  # name, and wall-clock time in ms at which the process was created
ListPosition = tuple[int, int]  # index in the platform's list of gateways, and the length of that list
NO_POSITION: ListPosition = (-1, 0)  # the position of a gateway that is not in the list
# An observer may vote and coordinate and is in views, but holds no slots.
OBSERVER: ListPosition = (-2, 0)
Epoch = tuple[int, int]  # round of the winning ballot, and the index of the seed that won it
NO_EPOCH: Epoch = (0, -1)
ViewNumber = tuple[int, int, int]  # epoch and the view's count within it; the greater number is newer
NO_VIEW: ViewNumber = (0, -1, 0)
