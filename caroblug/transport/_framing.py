"""Framing of a connection: length, authentication code, thrift payload.

Each connection has its own key, derived from the shared key and the nonces of
both ends. The message authentication code (MAC) of a frame also covers its
sender and its sequence number, so that a frame that is forged, replayed,
reflected, dropped or reordered fails verification.
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
MAX_HANDSHAKE_BYTES = 4096
"""Limit on a frame of a peer that has not shown the shared key yet."""

NONCE_BYTES = 16
PROTOCOL_VERSION = 1
_MAC_BYTES = 16
_HEADER = struct.Struct(">I16s")
_SEQUENCE = struct.Struct(">Q")
_EMPTY_MAC = bytes(_MAC_BYTES)
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
    fallback=False,
)


class FrameError(Exception):
    """Raised for a frame that is too long, not authentic or not decodable."""


class FrameAuthenticator:
    """Computes and verifies the MACs of one direction of a connection.

    Args:
        key: Key of the connection.
        sender: Name of the instance that sends in this direction.
    """

    def __init__(self, key: bytes, sender: str) -> None:
        self._keyed_hash = hashlib.blake2b(
            sender.encode(), key=key, digest_size=_MAC_BYTES
        )
        self._next_number = 0

    def compute_mac(self, payload: bytes) -> bytes:
        """Returns the MAC of the next frame and advances the sequence."""
        state = self._keyed_hash.copy()
        state.update(_SEQUENCE.pack(self._next_number))
        state.update(payload)
        self._next_number += 1
        return state.digest()

    def verify(self, payload: bytes, mac: bytes) -> None:
        """Verifies that a payload is that of the next frame.

        Raises:
            FrameError: If the MAC does not match.
        """
        if not hmac.compare_digest(self.compute_mac(payload), mac):
            raise FrameError("message authentication code does not match")


def derive_key(shared_key: bytes, dialler: wire.Hello, acceptor: wire.Hello):
    """Returns the key of a connection.

    Args:
        shared_key: Shared key of all instances, from the settings.
        dialler: Hello of the end that opened the connection.
        acceptor: Hello of the end that accepted the connection.
    """
    state = hashlib.blake2b(key=shared_key)
    for hello in (dialler, acceptor):
        state.update(serialize(hello, _PROTOCOL_FACTORY))
    return state.digest()


def read_exactly(sock: socket.socket, length: int) -> bytes | None:
    """Returns `length` bytes, or None if the connection has ended."""
    parts = []
    while length:
        part = sock.recv(min(length, 1 << 18))
        if not part:
            return None
        parts.append(part)
        length -= len(part)
    return b"".join(parts)


def read_payload(
    sock: socket.socket, max_bytes: int = MAX_FRAME_BYTES
) -> tuple[bytes, bytes] | None:
    """Returns the payload and MAC of the next frame.

    Args:
        sock: Socket of the connection.
        max_bytes: Limit on the length of the payload.

    Returns:
        None if the connection has ended.

    Raises:
        FrameError: If the announced length exceeds the limit.
    """
    header = read_exactly(sock, _HEADER.size)
    if header is None:
        return None
    length, mac = _HEADER.unpack(header)
    if length > max_bytes:
        raise FrameError(f"frame of {length} bytes exceeds the limit")
    payload = read_exactly(sock, length)
    if payload is None:
        return None
    return payload, mac


def pack_payload(payload: bytes, mac: bytes = _EMPTY_MAC) -> bytes:
    """Returns a frame as bytes, with an all-zero MAC by default."""
    return _HEADER.pack(len(payload), mac) + payload


def encode(message: object) -> bytes:
    """Returns a thrift struct encoded with the compact protocol."""
    return serialize(message, _PROTOCOL_FACTORY)


def decode(cls: type, payload: bytes):
    """Returns the thrift struct of class `cls` that a payload encodes.

    Raises:
        FrameError: If the payload is not such a struct.
    """
    try:
        return deserialize(cls(), payload, _PROTOCOL_FACTORY)
    except (TException, TProtocolException, EOFError, ValueError) as error:
        raise FrameError(f"frame cannot be decoded: {error}") from error
    except (TypeError, OverflowError, UnicodeDecodeError) as error:
        raise FrameError(f"frame cannot be decoded: {error}") from error
