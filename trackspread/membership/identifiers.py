"""Names of members, coordinators and views, and units of time.

Times are integer nanoseconds on each process's own monotonic clock. Only durations travel, and timestamps
that come back to whoever made them. A member is (name, creation time): a process that restarts under a name
is another member, so that nothing which was reported of, promised by or granted to the former one holds for
it.
"""

from __future__ import annotations

from ..planning.timing import CLOCK_DRIFT as CLOCK_DRIFT

MS = 1_000_000  # ns
SECOND = 1000 * MS  # ns

Address = tuple[str, int]  # host and port
MemberId = tuple[str, int]  # name, and wall clock in ms when the process of this name was created
ListPosition = tuple[int, int]  # in the platform's list of gateways: index and length of the list
NO_POSITION: ListPosition = (-1, 0)  # of a gateway that is not in the list
# Of a member that may vote and coordinate and is in views, but holds no slots.
OBSERVER: ListPosition = (-2, 0)
Epoch = tuple[int, int]  # round of the ballot that won, and the index of the seed that won it
NO_EPOCH: Epoch = (0, -1)
ViewNumber = tuple[int, int, int]  # epoch and count in it; the greater is the newer
NO_VIEW: ViewNumber = (0, -1, 0)
