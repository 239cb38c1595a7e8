"""Frames on a connection: length, authentication code, thrift payload.

Each connection has its own key, derived from the shared key and both ends'
nonces; each frame's code also covers its direction and number. A frame that
is forged, replayed, reflected, dropped or reordered does not verify.
"""

import hashlib
import hmac
import struct

from gevent import socket
from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from caroblug.gen.wire import ttypes as wire

MAX_FRAME_BYTES = 16 * 1024 * 1024
NONCE_BYTES = 16
PROTOCOL = 1
_CODE_BYTES = 16
_HEADER = struct.Struct(">I16s")
_NUMBER = struct.Struct(">Q")
_NO_CODE = bytes(_CODE_BYTES)
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
    fallback=False,
)


class FrameError(Exception):
    """A frame that is over-long, does not verify or does not decode."""


class FrameAuthenticator:
    """Seals and checks the frames of one direction.

    Args:
        key: Key of the connection.
        direction: Instance that sends in this direction.
    """

    def __init__(self, key: bytes, direction: str) -> None:
        self._base = hashlib.blake2b(
            direction.encode(), key=key, digest_size=_CODE_BYTES
        )
        self._number = 0

    def code(self, payload: bytes) -> bytes:
        """Returns the code of the next frame."""
        state = self._base.copy()
        state.update(_NUMBER.pack(self._number))
        state.update(payload)
        self._number += 1
        return state.digest()

    def check(self, payload: bytes, code: bytes) -> None:
        """Raises FrameError unless this is the next frame, untouched."""
        if not hmac.compare_digest(self.code(payload), code):
            raise FrameError("authentication code does not match")


def derive_key(shared_key: bytes, first: wire.Hello, second: wire.Hello):
    """Returns the key of a connection.

    Args:
        shared_key: Key from the settings.
        first: Hello of the end that dialled.
        second: Hello of the end that accepted.
    """
    state = hashlib.blake2b(key=shared_key)
    for hello in (first, second):
        state.update(serialize(hello, _FACTORY))
    return state.digest()


def read_exactly(sock: socket.socket, length: int) -> bytes | None:
    """Returns `length` bytes, or None at the end of the connection."""
    parts = []
    while length:
        part = sock.recv(min(length, 1 << 18))
        if not part:
            return None
        parts.append(part)
        length -= len(part)
    return b"".join(parts)


def read_payload(sock: socket.socket) -> tuple[bytes, bytes] | None:
    """Returns (payload, code) of the next frame, or None at the end."""
    header = read_exactly(sock, _HEADER.size)
    if header is None:
        return None
    length, code = _HEADER.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {length} bytes is over the limit")
    payload = read_exactly(sock, length)
    if payload is None:
        return None
    return payload, code


def pack_payload(payload: bytes, code: bytes = _NO_CODE) -> bytes:
    """Returns the bytes of a frame on the wire."""
    return _HEADER.pack(len(payload), code) + payload


def encode(message: object) -> bytes:
    """Returns a thrift struct as compact bytes."""
    return serialize(message, _FACTORY)


def decode(cls: type, payload: bytes):
    """Returns the thrift struct of class `cls`; raises FrameError."""
    try:
        return deserialize(cls(), payload, _FACTORY)
    except (TException, TProtocolException, EOFError, ValueError) as error:
        raise FrameError(f"frame does not decode: {error}") from error
    except (TypeError, OverflowError, UnicodeDecodeError) as error:
        raise FrameError(f"frame does not decode: {error}") from error
