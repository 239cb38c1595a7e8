"""Callers on many connections that send what they like and read nothing."""

import os
import pathlib
import socket
import time
from collections.abc import Iterator

import attrs

_PIECE_BYTES = 65536
_RECEIVE_BYTES = 4096
"""Buffer for answers, which are never read."""

_CONNECT_TIMEOUT_S = 10.0
_STALLED_S = 1.5
"""Time without a byte accepted after which a crowd has nothing more to do."""

_LISTENING_STATE = "0A"
_BYTES_PER_KB = 1024
_BYTES_PER_MB = 1 << 20


@attrs.define
class Footprint:
    """What a process has kept at most, sampled from the kernel.

    Attributes:
        pid: Id of the process.
        ports: Ports that it listens on.
        max_bytes: Largest sum of resident memory and received, unread bytes.
        max_descriptors: Largest number of open descriptors.
    """

    pid: int
    ports: tuple[int, ...]
    max_bytes: int = 0
    max_descriptors: int = 0

    @property
    def max_mb(self) -> float:
        """The largest memory in MB."""
        return self.max_bytes / _BYTES_PER_MB

    def sample(self) -> None:
        """Reads the present footprint."""
        held = max(self._read_status("VmHWM"), self._read_status("VmRSS"))
        self.max_bytes = max(self.max_bytes, held + self._count_unread())
        descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        self.max_descriptors = max(self.max_descriptors, descriptors)

    def _read_status(self, field: str) -> int:
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith(field))
        return int(line.split()[1]) * _BYTES_PER_KB

    def _count_unread(self) -> int:
        """Returns the bytes that wait in the sockets of the ports."""
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            port = int(fields[1].partition(":")[2], 16)
            if port in self.ports and fields[3] != _LISTENING_STATE:
                unread += int(fields[4].partition(":")[2], 16)
        return unread


@attrs.define
class _Member:
    """One connection and what it still has to send."""

    sock: socket.socket
    pieces: Iterator[bytes]
    rest: bytes = b""
    done: bool = False


class Crowd:
    """Connections to one port, which stay open until the crowd leaves.

    Args:
        port: Port to connect to.
        footprint: Footprint of the process that is crowded.
        max_mb: Memory at which the crowd stops sending, so that a process
            without limits doesn't take the machine's memory.
    """

    def __init__(self, port: int, footprint: Footprint, max_mb: float) -> None:
        self._port = port
        self._footprint = footprint
        self._max_mb = max_mb
        self._members: list[_Member] = []

    def join(self, pieces: Iterator[bytes]) -> None:
        """Opens a connection that is to send pieces."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        sock.settimeout(_CONNECT_TIMEOUT_S)
        sock.connect(("127.0.0.1", self._port))
        sock.setblocking(False)
        self._members.append(_Member(sock, pieces))

    def send_all(self) -> None:
        """Sends in turns until all is sent or nothing is accepted any more."""
        progress_s = time.monotonic()
        while time.monotonic() - progress_s < _STALLED_S:
            accepted = [self._send(member) for member in self._members]
            if any(accepted):
                progress_s = time.monotonic()
            self._footprint.sample()
            if all(member.done for member in self._members):
                break
            if self._footprint.max_mb > self._max_mb:
                break
        self._footprint.sample()

    def leave(self) -> None:
        """Closes all connections."""
        for member in self._members:
            member.sock.close()

    def _send(self, member: _Member) -> bool:
        """Sends what is accepted at once; returns whether that is a byte."""
        if member.done:
            return False
        if not member.rest:
            member.rest = next(member.pieces, b"")
            member.done = not member.rest
        try:
            sent = member.sock.send(member.rest) if member.rest else 0
        except BlockingIOError:
            return False
        except OSError:
            # The process has closed the connection.
            member.done = True
            return False
        member.rest = member.rest[sent:]
        return sent > 0


def in_pieces(data: bytes, times: int = 1) -> Iterator[bytes]:
    """Yields data in pieces, a number of times."""
    for _ in range(times):
        for start in range(0, len(data), _PIECE_BYTES):
            yield data[start : start + _PIECE_BYTES]
