"""Reading log lines of any number of instances."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

_HEADER_FIELDS = frozenset(
    {"timestamp", "instance", "message_type", "task_uuid", "task_level"}
)


@attrs.frozen
class LogLine:
    """One line.

    Attributes:
        at_s: When it was written, in seconds since 1970, by the instance's
            own clock.
        instance: Who wrote it.
        kind: Dotted name of what happened.
        fields: Everything else it says.
    """

    at_s: float
    instance: str
    kind: str
    fields: dict[str, Any]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the log lines among `lines`.

    A line may have anything before its JSON, as when a collector puts a time
    and a name there. Lines of other programs are passed over.
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
            # Another program's line, or one that was cut; it tells nothing.
            continue
