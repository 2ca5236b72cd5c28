"""Short descriptions of invalid values for error messages."""

from __future__ import annotations

MAX_SHOWN_CHARACTERS = 60
_ELLIPSIS = "..."


def describe_value(value: object) -> str:
    """Returns a decoded JSON value as one line of at most MAX_SHOWN_CHARACTERS printable ASCII characters.

    The content of objects and arrays is left out, as it may be long.  Unlike the values of messages, which
    protocol/message_fields.py shows, a value may have any JSON type, and a text that is cut off is marked.
    """
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return f"an array of length {len(value)}"
    if isinstance(value, str):
        value = value[: MAX_SHOWN_CHARACTERS + 1]  # the rest would be cut off below
    text = ascii(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[: MAX_SHOWN_CHARACTERS - len(_ELLIPSIS)] + _ELLIPSIS
    return text
