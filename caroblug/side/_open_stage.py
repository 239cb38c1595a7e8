"""One stream at a side process, with its newest open message."""

import copy
import functools

import attrs

from caroblug.core import recovery
from caroblug.core.recovery import StageStream
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress

_ADDRESSES = 4096


def address_of(ref: wire.StageRef) -> PeerAddress:
    """Returns the address that a stage reference names."""
    return _make_address(ref.instance, ref.host, ref.port)


@functools.lru_cache(maxsize=_ADDRESSES)
def _make_address(instance: str, host: str, port: int) -> PeerAddress:
    return PeerAddress(instance, host, port)


@attrs.define
class OpenStage:
    """A stream with the newest open message that it has had.

    `watched` is the instance that this stage feeds, empty if none.

    The session is the stream's name at the engine. It is never used again,
    so that a late answer for a forgotten stream can't reach its successor.
    """

    stream: StageStream
    opened: wire.OpenStream
    end_ms: int
    session: str
    watched: str = ""

    @property
    def stage(self) -> wire.StageRef:
        return self.opened.chain[self.opened.stage]

    @property
    def entry(self) -> PeerAddress:
        return address_of(self.opened.entry)

    @property
    def first(self) -> PeerAddress:
        return address_of(self.opened.chain[0])

    @property
    def previous(self) -> PeerAddress:
        return address_of(self.opened.chain[self.opened.stage - 1])

    @property
    def next(self) -> PeerAddress:
        return address_of(self.opened.chain[self.opened.stage + 1])

    @property
    def fed(self) -> str:
        """Instance to which this stage sends; empty if it is its own."""
        if not self.stream.is_last:
            return self.next.instance
        return "" if self.stream.is_first else self.first.instance


def has_same_layers(known: OpenStage, opened: wire.OpenStream) -> bool:
    """Tells whether the kept outputs and cache fit the new chain."""
    stage = opened.chain[opened.stage]
    return (
        known.stage.first_layer == stage.first_layer
        and known.stage.end_layer == stage.end_layer
    )


def make_next_open(
    opened: wire.OpenStream, forward: recovery.ForwardOpen
) -> wire.OpenStream:
    """Returns the open message for the next stage.

    Guards against a field that the first stage knows and the others don't:
    everything is copied but what belongs to one stage alone.
    """
    following = copy.copy(opened)
    following.stage = opened.stage + 1
    following.tokens = []
    following.known_length = forward.known_length
    following.sends_from = forward.sends_from
    return following
