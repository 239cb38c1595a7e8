"""What the kernel knows about the end of a connection."""

import fcntl
import struct
import termios

from gevent import socket

_TCP_CLOSE = 7
"""State of a connection that was reset; one that its peer has closed is in
CLOSE_WAIT (`tcp_states.h` of Linux)."""


def has_peer_received_all(sock: socket.socket) -> bool:
    """Returns whether a peer that has closed had received all that was sent.

    A kernel that doesn't tell has still reported resets to reads and writes.

    Args:
        sock: Socket on which the end of the stream was read.
    """
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        size = struct.pack("i", 0)
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size)
    except OSError:
        return True
    return state != _TCP_CLOSE and not struct.unpack("i", size)[0]
