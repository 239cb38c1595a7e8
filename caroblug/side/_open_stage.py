"""State of one stream at a side process."""

import copy
import functools

import attrs

from caroblug.core import recovery
from caroblug.core.recovery import StageStream
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress

_MAX_CACHED_ADDRESSES = 4096


def address_of(ref: wire.StageRef) -> PeerAddress:
    """Returns the peer address in a stage reference."""
    return _make_address(ref.instance, ref.host, ref.port)


@functools.lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _make_address(instance: str, host: str, port: int) -> PeerAddress:
    return PeerAddress(instance, host, port)


@attrs.define
class OpenStage:
    """A stream that is open at this stage.

    Attributes:
        stream: State of the stream at this stage.
        open_message: Newest open message of the stream.
        expires_ms: Time after which the stream is removed.
        session: Identifier of the stream at the engine. It is never reused, so
            that a late result for a removed stream can't reach its successor.
        in_flight_peer: Instance to which this stage sends and whose work in
            flight is counted; empty if there is none.
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
        """Instance to which this stage sends; empty if it is this one."""
        if not self.stream.is_last:
            return self.next.instance
        return "" if self.stream.is_first else self.first.instance


def has_same_layers(
    open_stage: OpenStage, open_message: wire.OpenStream
) -> bool:
    """Returns whether journal and cache are valid for a new chain.

    Args:
        open_stage: The stream as it is open here.
        open_message: Open message with the new chain.
    """
    stage_ref = open_message.chain[open_message.stage]
    return (
        open_stage.stage_ref.first_layer == stage_ref.first_layer
        and open_stage.stage_ref.end_layer == stage_ref.end_layer
    )


def make_next_open(
    open_message: wire.OpenStream, forward: recovery.ForwardOpen
) -> wire.OpenStream:
    """Returns the open message for the next stage.

    All fields are copied except those that belong to one stage, so that a new
    field of the message reaches every stage.
    """
    next_message = copy.copy(open_message)
    next_message.stage = open_message.stage + 1
    next_message.tokens = []
    next_message.known_length = forward.known_length
    next_message.sends_from = forward.sends_from
    return next_message
