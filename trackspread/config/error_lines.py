"""Turns validation errors of msgspec into lines that name the key, what is valid and what was given."""

from __future__ import annotations

import difflib
import re
from typing import Any

import msgspec

_MESSAGE = re.compile(r"^(?P<fault>.*?)(?: - at `\$\.?(?P<path>.*)`)?$")
_UNKNOWN_KEY = re.compile(r"Object contains unknown field `(.*)`")
_MISSING_KEY = re.compile(r"Object missing required field `(.*)`")
_WRONG_TYPE = re.compile(r"Expected `(.*)`, got `.*`")
_PATH_STEP = re.compile(r"\[(\d+)\]|([^.\[\]]+)")


def error_line(message: str, raw: dict[str, Any], root: type[msgspec.Struct]) -> str:
    """Returns the line for a message of msgspec on the conversion of `raw` to `root`."""
    match = _MESSAGE.match(message)
    fault, path = (match["fault"], match["path"] or "") if match else (message, "")
    prefix = f"{path}." if path else ""
    if unknown := _UNKNOWN_KEY.fullmatch(fault):
        return f"{prefix}{unknown[1]}: unknown key; {_suggestion(unknown[1], _keys(path, root))}"
    if missing := _MISSING_KEY.fullmatch(fault):
        return f"{prefix}{missing[1]}: must be set, got nothing"
    value = _value_at(path, raw)
    if fault.startswith("Invalid enum value"):
        return f"{path}: must be one of {', '.join(map(repr, _choices(path, root)))}, got {value!r}"
    wrong_type = _WRONG_TYPE.fullmatch(fault)
    valid = wrong_type[1] if wrong_type else fault.removeprefix("Expected ").replace("`", "")
    return f"{path}: must be {valid}, got {value!r}"


def _suggestion(key: str, known: list[str]) -> str:
    similar = difflib.get_close_matches(key, known, 1)
    return f"did you mean {similar[0]}?" if similar else f"valid keys are {', '.join(known)}"


def _value_at(path: str, value: Any) -> Any:
    for index, key in _PATH_STEP.findall(path):
        value = value[int(index)] if index else value[key]
    return value


def _type_at(path: str, root: type[msgspec.Struct]) -> msgspec.inspect.Type:
    step_type: msgspec.inspect.Type = msgspec.inspect.type_info(root)
    for index, key in _PATH_STEP.findall(path):
        if index and isinstance(step_type, msgspec.inspect.VarTupleType):
            step_type = step_type.item_type
        elif isinstance(step_type, msgspec.inspect.StructType):
            step_type = next(field.type for field in step_type.fields if field.encode_name == key)
    return step_type


def _keys(path: str, root: type[msgspec.Struct]) -> list[str]:
    table = _type_at(path, root)
    if not isinstance(table, msgspec.inspect.StructType):
        return []
    return [field.encode_name for field in table.fields]


def _choices(path: str, root: type[msgspec.Struct]) -> tuple[Any, ...]:
    literal = _type_at(path, root)
    return literal.values if isinstance(literal, msgspec.inspect.LiteralType) else ()
