"""Extracts the part of a client command that is the same at every hop, so that rating nodes can check it."""

from __future__ import annotations

OPTIONS_WORD = 3  # index of a command's options, which are separated by commas
DEADLINE_OPTION = b"d="

CommandForms = dict[str, bytes]  # command forms by request


def command_form(words: list[bytes]) -> bytes:
    """Returns a command without the value of its deadline, which each hop shortens."""
    options = b""
    if len(words) > OPTIONS_WORD:
        unchanged = (o for o in words[OPTIONS_WORD].split(b",") if not o.startswith(DEADLINE_OPTION))
        options = b",".join(unchanged)
    return b" ".join([*words[:OPTIONS_WORD], options, *words[OPTIONS_WORD + 1 :]])
