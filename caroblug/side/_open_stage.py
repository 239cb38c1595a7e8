"""One stream at a side process, with its newest open message."""

import copy
import functools

import attrs

from caroblug.core import recovery
from caroblug.core.recovery import StageStream
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress

_MAX_CACHED_ADDRESSES = 4096


def address_of(ref: wire.StageRef) -> PeerAddress:
    """Returns the address that a stage reference names."""
    return _make_address(ref.instance, ref.host, ref.port)


@functools.lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _make_address(instance: str, host: str, port: int) -> PeerAddress:
    return PeerAddress(instance, host, port)


@attrs.define
class OpenStage:
    """A stream with the newest open message that it has had.

    `in_flight_peer` is the instance that this stage feeds, empty if none.

    The session is the stream's name at the engine. It is never used again,
    so that a late answer for a forgotten stream can't reach its successor.
    """

    stream: StageStream
    open_message: wire.OpenStream
    expires_ms: int
    session: str
    in_flight_peer: str = ""

    @property
    def stage_ref(self) -> wire.StageRef:
        return self.open_message.chain[self.open_message.stage]

    @property
    def entry(self) -> PeerAddress:
        return address_of(self.open_message.entry)

    @property
    def first(self) -> PeerAddress:
        return address_of(self.open_message.chain[0])

    @property
    def previous(self) -> PeerAddress:
        return address_of(self.open_message.chain[self.open_message.stage - 1])

    @property
    def next(self) -> PeerAddress:
        return address_of(self.open_message.chain[self.open_message.stage + 1])

    @property
    def downstream_instance(self) -> str:
        """Instance to which this stage sends; empty if it is its own."""
        if not self.stream.is_last:
            return self.next.instance
        return "" if self.stream.is_first else self.first.instance


def has_same_layers(
    open_stage: OpenStage, open_message: wire.OpenStream
) -> bool:
    """Tells whether the kept outputs and cache fit the new chain."""
    stage_ref = open_message.chain[open_message.stage]
    return (
        open_stage.stage_ref.first_layer == stage_ref.first_layer
        and open_stage.stage_ref.end_layer == stage_ref.end_layer
    )


def make_next_open(
    open_message: wire.OpenStream, forward: recovery.ForwardOpen
) -> wire.OpenStream:
    """Returns the open message for the next stage.

    Guards against a field that the first stage knows and the others don't:
    everything is copied but what belongs to one stage alone.
    """
    next_message = copy.copy(open_message)
    next_message.stage = open_message.stage + 1
    next_message.tokens = []
    next_message.known_length = forward.known_length
    next_message.sends_from = forward.sends_from
    return next_message
