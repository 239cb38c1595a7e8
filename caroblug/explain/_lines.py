"""Parses the log lines of any number of instances."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

_HEADER_FIELDS = frozenset(
    {"timestamp", "instance", "message_type", "task_uuid", "task_level"}
)


@attrs.frozen
class LogLine:
    """A parsed log line.

    Attributes:
        at_s: Time in seconds since 1970, by the clock of the instance.
        instance: Name of the instance that wrote the line.
        kind: Dotted name of the event.
        fields: All other fields.
    """

    at_s: float
    instance: str
    kind: str
    fields: dict[str, Any]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the parsed log lines among `lines`.

    Text before the JSON object is ignored, such as a time and a name that a log
    collector adds. Lines of other programs are skipped.
    """
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogLine(
                float(fields["timestamp"]),
                str(fields["instance"]),
                str(fields["message_type"]),
                {k: v for k, v in fields.items() if k not in _HEADER_FIELDS},
            )
        except (ValueError, KeyError, TypeError):
            # The line is truncated or comes from another program.
            continue
