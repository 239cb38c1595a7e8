"""Argument types of `caroblug-bundle`: files, addresses and keys.

The functions are used as `type` of argparse arguments. They raise
ArgumentTypeError, which ends the program with exit code 2 and a one-line error
message.
"""

import argparse
import pathlib
import tomllib
from typing import Any

import attrs
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from caroblug.core.state import BundleRecord, decode_record

_PUBLIC_KEY_BYTES = 32
_MAX_PORT = 65535


@attrs.frozen
class BundleFile:
    """A bundle file written by an operator.

    Attributes:
        path: Path of the file.
        table: Its parsed TOML.
    """

    path: pathlib.Path
    table: dict[str, Any]


@attrs.frozen
class RecordFile:
    """A file with a signed record.

    Attributes:
        path: Path of the file.
        record: The decoded record.
    """

    path: pathlib.Path
    record: BundleRecord


@attrs.frozen
class HostPort:
    """Network address from the command line."""

    host: str
    port: int


def bundle_file(value: str) -> BundleFile:
    """Reads and parses a bundle file."""
    path = pathlib.Path(value)
    try:
        return BundleFile(path, tomllib.loads(_read_bytes(path).decode()))
    except UnicodeDecodeError:
        raise _make_argument_error(f"{value}: is not UTF-8") from None
    except tomllib.TOMLDecodeError as error:
        raise _make_argument_error(f"{value}: is not TOML: {error}") from None


def record_file(value: str) -> RecordFile:
    """Reads and decodes a record file."""
    path = pathlib.Path(value)
    record = decode_record(_read_bytes(path))
    if record is None:
        raise _make_argument_error(f"{value}: is not a bundle record")
    return RecordFile(path, record)


def private_key_file(value: str) -> bytes:
    """Reads an operator's private key from a file."""
    data = _read_bytes(pathlib.Path(value))
    try:
        key = bytes.fromhex(data.decode("ascii").strip())
        Ed25519PrivateKey.from_private_bytes(key)
    except (UnicodeDecodeError, ValueError):
        raise _make_argument_error(
            f"{value}: is not a private key written by `keygen`"
        ) from None
    return key


def public_key(value: str) -> str:
    """Checks an operator's public key and returns it in lower case."""
    try:
        length = len(bytes.fromhex(value))
    except ValueError:
        length = 0
    if length != _PUBLIC_KEY_BYTES:
        raise _make_argument_error(
            f"{value!r} is not a public key printed by `keygen`"
        )
    return value.lower()


def host_port(value: str) -> HostPort:
    """Parses HOST:PORT."""
    host, _, port = value.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise _make_argument_error(f"{value!r} is not HOST:PORT")
    if not 0 < int(port) <= _MAX_PORT:
        raise _make_argument_error(
            f"{value!r} has no port from 1 to {_MAX_PORT}"
        )
    return HostPort(host, int(port))


def whole_number(value: str) -> int:
    """Parses a positive integer."""
    if not value.isascii() or not value.isdigit() or int(value) < 1:
        raise _make_argument_error(f"{value!r} is not a positive integer")
    return int(value)


def _read_bytes(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise _make_argument_error(f"{path}: {error.strerror}") from None


def _make_argument_error(message: str) -> argparse.ArgumentTypeError:
    return argparse.ArgumentTypeError(message)
