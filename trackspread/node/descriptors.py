"""Limits the descriptors of the configuration to those of the process, and has their table allocated."""

from __future__ import annotations

import fcntl
import logging
import os
import resource
from dataclasses import replace

from ..config import platform

log = logging.getLogger(__name__)


def limit_descriptors(config: platform.Config) -> platform.Config:
    """Returns the configuration with at most as many descriptors as the system allows the process.

    With a higher limit in the settings, idle clients would use up the descriptors that the connection to
    discovery, attempts and the admin server need.
    """
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY or limit >= config.sockets:
        return config
    return replace(config, sockets=limit)


def allocate_table(descriptors: int) -> None:
    """Has the kernel's table of this process's descriptors hold so many from now on.

    The kernel doubles the table when a descriptor does not fit. In a process with several threads, the system
    call that needs it then waits until all processors have passed a scheduling point: 20 ms and more, in
    which no request is served, and this while many clients connect.
    """
    null = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.close(fcntl.fcntl(null, fcntl.F_DUPFD_CLOEXEC, descriptors - 1))
    except OSError as error:
        log.warning("descriptors: the table of %d is not allocated in advance: %s", descriptors, error)
    finally:
        os.close(null)
