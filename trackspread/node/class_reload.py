"""Applies the request classes of a reloaded configuration to the requests that arrive from now on.

This module may depend on the roster of classes and on requests, not on files or sockets.
"""

from __future__ import annotations

from dataclasses import replace

from ..config.platform import Config
from ..config.roster import classes_changed
from ..fronts.resp import RespClientAdapter
from .request_handler import RequestHandler


def reload_classes(handler: RequestHandler, front: RespClientAdapter, new_config: Config) -> None:
    """Applies the classes and the number of attempts of `new_config`; open requests keep theirs."""
    in_use = {request.call.request_class for request in handler.requests.values()}
    roster, predecessors = handler.roster.reload(new_config.classes, new_config.settings.classes, in_use)
    max_attempts = new_config.settings.max_attempts
    if roster == handler.roster and max_attempts == handler.config.settings.max_attempts:
        return
    handler.roster = roster
    settings = replace(
        handler.config.settings, classes=new_config.settings.classes, max_attempts=max_attempts
    )
    handler.config = replace(handler.config, classes=new_config.classes, settings=settings)
    handler.handle(classes_changed(roster, predecessors, max_attempts))
    front.configure(roster)
    handler.counters.set_classes(new_config.classes)
