"""Runs child processes with limited descriptors and a lower priority that do not outlive their parent."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

# An intermediate process sets the limits. A function before the exec would copy the parent with its complete
# ledger and block its event loop meanwhile. In prctl(2), 1 is PR_SET_PDEATHSIG and 9 is SIGKILL. The priority
# is lower so that many starts at once do not take the cores from the test harness.
EXEC_WITH_LIMITS = (
    "import ctypes, os, resource, sys; ctypes.CDLL(None).prctl(1, 9); most = int(sys.argv[1]); "
    "resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)); os.nice(5); "
    "os.execv(sys.argv[2], sys.argv[2:])"
)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD = 11  # index in /proc/PID/stat, counted after the command's name
SYSTEM_TICKS_FIELD = 12


def limited_command(max_descriptors: int, *arguments: str) -> tuple[str, ...]:
    """Returns the command that runs this interpreter with at most `max_descriptors` open files."""
    step = (sys.executable, "-I", "-S", "-c", EXEC_WITH_LIMITS, str(max_descriptors))
    return *step, sys.executable, *arguments


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used so far in s, or 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])) / TICKS_PER_S


class LimitedProcess:
    """Manages one child process at a time, which writes its output to the file `log`."""

    def __init__(self, name: str, log: Path) -> None:
        self.name = name
        self.log = log
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Returns whether it was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Returns the last process's id, or 0 before the first start."""
        return self._process.pid if self._process is not None else 0

    async def _spawn(
        self,
        command: Sequence[str],
        environment: Mapping[str, str],
        inherited_descriptors: Sequence[int] = (),
    ) -> asyncio.subprocess.Process:
        """Starts a process; `environment` is added to this process's own."""
        with self.log.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                *command,
                stdout=log,
                stderr=log,
                env={**os.environ, **environment},
                pass_fds=inherited_descriptors,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def log_tail(self, lines: int = 5) -> str:
        """Returns the last lines of its log as one line."""
        return " | ".join(self.log.read_text(errors="replace").splitlines()[-lines:])
