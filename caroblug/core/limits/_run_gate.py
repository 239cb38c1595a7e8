"""One at a time: requests with the same fingerprint, before they are proved.

A caller that sends one bad request many times at once would crash as many
engines before anybody knows of the first crash. So equal requests wait until
the one in front has had its first token, by which every stage has run the
whole prompt; then they are proved, and all may run. If the one in front is
given up, the next has its turn.
"""

import collections

import attrs

MAX_WAITING = 64
_MAX_PROVED = 4096


@attrs.frozen
class Ticket:
    """One request at one entry.

    Attributes:
        entry: The entry.
        number: Its number there.
    """

    entry: str
    number: int


@attrs.define
class _Line:
    holder: Ticket
    end_ms: int
    waiting: collections.deque[Ticket] = attrs.field(factory=collections.deque)


class RunGate:
    """The requests that have not been proved, by fingerprint.

    Args:
        term_ms: How long a request may hold its place, and how long one
            counts as proved; guards against an entry that has died without
            a word.
    """

    def __init__(self, term_ms: int) -> None:
        self.term_ms = term_ms
        self._lines: dict[str, _Line] = {}
        self._proved: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._lines)

    def enter(self, fingerprint: str, ticket: Ticket, now_ms: int) -> bool:
        """Returns whether a request may run now; else it waits in line."""
        if self.is_proved(fingerprint, now_ms):
            return True
        line = self._lines.get(fingerprint)
        if line is None:
            self._lines[fingerprint] = _Line(ticket, now_ms + self.term_ms)
            return True
        if line.holder == ticket:
            return True
        if ticket not in line.waiting and len(line.waiting) < MAX_WAITING:
            line.waiting.append(ticket)
        return False

    def is_proved(self, fingerprint: str, now_ms: int) -> bool:
        """Tells whether an equal request has lately run its whole prompt."""
        return now_ms < self._proved.get(fingerprint, now_ms)

    def mark_proved(self, fingerprint: str, now_ms: int) -> list[Ticket]:
        """Takes it that a request ran its prompt; returns who may run."""
        self._proved.pop(fingerprint, None)
        self._proved[fingerprint] = now_ms + self.term_ms
        if len(self._proved) > _MAX_PROVED:
            self._proved.popitem(last=False)
        line = self._lines.pop(fingerprint, None)
        return list(line.waiting) if line else []

    def revoke_proved(self, fingerprint: str) -> None:
        """Takes back a proof, after a crash with the request in flight."""
        self._proved.pop(fingerprint, None)

    def leave(
        self, fingerprint: str, ticket: Ticket, now_ms: int
    ) -> Ticket | None:
        """Takes a request out; returns the next one that may run."""
        line = self._lines.get(fingerprint)
        if line is None:
            return None
        if line.holder != ticket:
            if ticket in line.waiting:
                line.waiting.remove(ticket)
            return None
        return self._next(fingerprint, line, now_ms)

    def drop_entry(self, entry: str, now_ms: int) -> list[tuple[str, Ticket]]:
        """Takes out all requests of an entry; returns who may run now."""
        released = []
        for fingerprint, line in list(self._lines.items()):
            kept = (t for t in line.waiting if t.entry != entry)
            line.waiting = collections.deque(kept)
            if line.holder.entry == entry:
                released.append((fingerprint, line))
        return self._release(released, now_ms)

    def drop_expired(self, now_ms: int) -> list[tuple[str, Ticket]]:
        """Takes out holders past their term; returns who may run now."""
        released = [
            (fingerprint, line)
            for fingerprint, line in self._lines.items()
            if now_ms >= line.end_ms
        ]
        return self._release(released, now_ms)

    def _release(
        self, lines: list[tuple[str, _Line]], now_ms: int
    ) -> list[tuple[str, Ticket]]:
        admitted = []
        for fingerprint, line in lines:
            ticket = self._next(fingerprint, line, now_ms)
            if ticket is not None:
                admitted.append((fingerprint, ticket))
        return admitted

    def _next(
        self, fingerprint: str, line: _Line, now_ms: int
    ) -> Ticket | None:
        if not line.waiting:
            del self._lines[fingerprint]
            return None
        line.holder = line.waiting.popleft()
        line.end_ms = now_ms + self.term_ms
        return line.holder
