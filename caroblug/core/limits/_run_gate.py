"""Serialization of equal requests until one of them has run its prompt.

A caller that sends one bad request many times at once would crash as many
engines before the first crash is known. Requests with the same fingerprint
therefore run one at a time, until one of them has had its first token: by
then every stage has run the whole prompt, the fingerprint counts as proved,
and all its requests may run. When the running request ends without a token,
the next one runs.
"""

import collections

import attrs

MAX_WAITING = 64
_MAX_PROVED = 4096


@attrs.frozen
class Ticket:
    """Identity of one request at one entry.

    Attributes:
        entry: Name of the entry.
        number: Number of the request at that entry.
    """

    entry: str
    number: int


@attrs.define
class _Queue:
    holder: Ticket
    end_ms: int
    waiting: collections.deque[Ticket] = attrs.field(factory=collections.deque)


class RunGate:
    """Admits one request at a time per fingerprint that is not proved.

    Args:
        term_ms: How long an admitted request may keep others waiting, and how
            long a fingerprint stays proved. Guards against an entry that has
            died without ending its requests.
    """

    def __init__(self, term_ms: int) -> None:
        self.term_ms = term_ms
        self._queues: dict[str, _Queue] = {}
        self._proved: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._queues)

    def enter(self, fingerprint: str, ticket: Ticket, now_ms: int) -> bool:
        """Returns whether a request may run now; queues it if not."""
        if self.is_proved(fingerprint, now_ms):
            return True
        queue = self._queues.get(fingerprint)
        if queue is None:
            self._queues[fingerprint] = _Queue(ticket, now_ms + self.term_ms)
            return True
        if queue.holder == ticket:
            return True
        if ticket not in queue.waiting and len(queue.waiting) < MAX_WAITING:
            queue.waiting.append(ticket)
        return False

    def is_proved(self, fingerprint: str, now_ms: int) -> bool:
        """Returns whether an equal request has recently run its prompt."""
        return now_ms < self._proved.get(fingerprint, now_ms)

    def mark_proved(self, fingerprint: str, now_ms: int) -> list[Ticket]:
        """Marks a fingerprint as proved and returns the requests waiting."""
        self._proved.pop(fingerprint, None)
        self._proved[fingerprint] = now_ms + self.term_ms
        if len(self._proved) > _MAX_PROVED:
            self._proved.popitem(last=False)
        queue = self._queues.pop(fingerprint, None)
        return list(queue.waiting) if queue else []

    def revoke_proved(self, fingerprint: str) -> None:
        """Ends the proved state, after a crash with the request in flight."""
        self._proved.pop(fingerprint, None)

    def leave(
        self, fingerprint: str, ticket: Ticket, now_ms: int
    ) -> Ticket | None:
        """Removes a request and returns the next one that may run, if any."""
        queue = self._queues.get(fingerprint)
        if queue is None:
            return None
        if queue.holder != ticket:
            if ticket in queue.waiting:
                queue.waiting.remove(ticket)
            return None
        return self._advance(fingerprint, queue, now_ms)

    def drop_entry(self, entry: str, now_ms: int) -> list[tuple[str, Ticket]]:
        """Removes all requests of an entry and returns those that may run."""
        ended = []
        for fingerprint, queue in list(self._queues.items()):
            remaining = (t for t in queue.waiting if t.entry != entry)
            queue.waiting = collections.deque(remaining)
            if queue.holder.entry == entry:
                ended.append((fingerprint, queue))
        return self._admit_next(ended, now_ms)

    def drop_expired(self, now_ms: int) -> list[tuple[str, Ticket]]:
        """Removes admitted requests past their term; returns the next ones."""
        ended = [
            (fingerprint, queue)
            for fingerprint, queue in self._queues.items()
            if now_ms >= queue.end_ms
        ]
        return self._admit_next(ended, now_ms)

    def _admit_next(
        self, queues: list[tuple[str, _Queue]], now_ms: int
    ) -> list[tuple[str, Ticket]]:
        admitted = []
        for fingerprint, queue in queues:
            ticket = self._advance(fingerprint, queue, now_ms)
            if ticket is not None:
                admitted.append((fingerprint, ticket))
        return admitted

    def _advance(
        self, fingerprint: str, queue: _Queue, now_ms: int
    ) -> Ticket | None:
        if not queue.waiting:
            del self._queues[fingerprint]
            return None
        queue.holder = queue.waiting.popleft()
        queue.end_ms = now_ms + self.term_ms
        return queue.holder
