"""What the operators' tool is given: files, addresses, public keys.

Each function is a type of argparse: a mistake ends the program with exit
code 2 and one line that names it.
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
    """A bundle as an operator wrote it.

    Attributes:
        path: The file.
        table: The parsed TOML.
    """

    path: pathlib.Path
    table: dict[str, Any]


@attrs.frozen
class RecordFile:
    """A signed record.

    Attributes:
        path: The file.
        record: Its record.
    """

    path: pathlib.Path
    record: BundleRecord


@attrs.frozen
class HostPort:
    """An address on the command line."""

    host: str
    port: int


def bundle_file(value: str) -> BundleFile:
    """Reads a bundle."""
    path = pathlib.Path(value)
    try:
        return BundleFile(path, tomllib.loads(_read_bytes(path).decode()))
    except UnicodeDecodeError:
        raise _make_argument_error(f"{value}: is not UTF-8") from None
    except tomllib.TOMLDecodeError as error:
        raise _make_argument_error(f"{value}: is not TOML: {error}") from None


def record_file(value: str) -> RecordFile:
    """Reads a record."""
    path = pathlib.Path(value)
    record = decode_record(_read_bytes(path))
    if record is None:
        raise _make_argument_error(f"{value}: is not a bundle record")
    return RecordFile(path, record)


def private_key_file(value: str) -> bytes:
    """Reads an operator's private key."""
    data = _read_bytes(pathlib.Path(value))
    try:
        key = bytes.fromhex(data.decode("ascii").strip())
        Ed25519PrivateKey.from_private_bytes(key)
    except (UnicodeDecodeError, ValueError):
        raise _make_argument_error(
            f"{value}: is no key as `keygen` writes it"
        ) from None
    return key


def public_key(value: str) -> str:
    """Checks an operator's public key."""
    try:
        length = len(bytes.fromhex(value))
    except ValueError:
        length = 0
    if length != _PUBLIC_KEY_BYTES:
        raise _make_argument_error(
            f"{value!r} is no public key as `keygen` prints it"
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
    """Parses a whole number above zero."""
    if not value.isascii() or not value.isdigit() or int(value) < 1:
        raise _make_argument_error(f"{value!r} is no whole number above 0")
    return int(value)


def _read_bytes(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise _make_argument_error(f"{path}: {error.strerror}") from None


def _make_argument_error(message: str) -> argparse.ArgumentTypeError:
    return argparse.ArgumentTypeError(message)
