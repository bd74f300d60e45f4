"""A non-blocking socket as a port of the loop.

Names of errors and of what each call may return are those of Linux's manual pages, cited as accept(2).
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct

from stepsail.loop.driver import Address, Port
from stepsail.loop.waiting import WaitingPort

WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
# Errors of a connection that ended before it was accepted (accept(2)): others may still wait in the backlog.
ENDED_BEFORE_ACCEPT = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
    )
)
# Errors of recv, send and poll for want of memory: they pass, and tell nothing of the far end.
OUT_OF_MEMORY = frozenset((errno.ENOMEM, errno.ENOBUFS))
MAX_ENDED_IN_A_ROW = 64  # errors of ended connections in one call to accept; then the other tasks have a turn
TCP_INFO_SIZE = 64  # bytes of tcp_info (linux/tcp.h) that are asked for
LAST_DATA_RECEIVED_AT = 52  # offset in it of tcpi_last_data_recv, in ms
LAST_DATA_RECEIVED = struct.Struct("I")
SO_BINDTOIFINDEX = 62  # asm-generic/socket.h, since Linux 5.1; the socket module lacks it
NO_INTERFACE = 0x7FFFFFFF  # an index that no interface has: they are counted from 1
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends a reset


class SocketPort(WaitingPort):
    """A non-blocking socket with at most one waiter for each direction. See `driver.Port`."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        sock.setblocking(False)
        self.sock = sock
        self.fd = sock.fileno()
        self.mask = 0  # the poll events it is registered for

    def accept(self) -> tuple[Port, Address] | None:
        """The next connection and its far end; those that ended before they were accepted are passed over."""
        ended = 0
        while True:
            try:
                sock, peer = self.sock.accept()
                break
            except OSError as error:
                if error.errno in WOULD_BLOCK:
                    return None
                ended += 1
                if error.errno not in ENDED_BEFORE_ACCEPT or ended > MAX_ENDED_IN_A_ROW:
                    raise
        with contextlib.suppress(OSError):  # slower without it, and no worse
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return SocketPort(sock), (peer[0], peer[1])

    def stop_handshakes(self) -> None:
        """Refuse new connections on this listener. Raises OSError where the system cannot.

        A listener bound to an interface that does not exist is not found for a SYN, which the system then answers as
        for a closed port. A handshake under way knows its listener, and still ends in the accept queue.
        """
        self.sock.setsockopt(socket.SOL_SOCKET, SO_BINDTOIFINDEX, NO_INTERFACE)

    def recv(self, most: int) -> bytes | None:
        """Some bytes; none at the end of the stream. Raises OSError for what ends the connection."""
        try:
            return self.sock.recv(most)
        except OSError as error:
            return self._none_if_transient(error)

    def send(self, data: bytes | memoryview) -> int | None:
        """How many bytes the system took. Raises OSError for what ends the connection."""
        try:
            return self.sock.send(data)
        except OSError as error:
            return self._none_if_transient(error)

    @staticmethod
    def _none_if_transient(error: OSError) -> None:
        """None for a call that has to be made again; raises what ends the connection."""
        if error.errno not in WOULD_BLOCK and error.errno not in OUT_OF_MEMORY:
            raise error

    def recvfrom(self, most: int) -> tuple[bytes, Address] | None:
        """A datagram and its sender."""
        try:
            data, peer = self.sock.recvfrom(most)
        except (BlockingIOError, InterruptedError):
            return None
        except ConnectionError:  # an earlier datagram of ours found nobody; datagrams may be lost
            return None
        return data, (peer[0], peer[1])

    def sendto(self, data: bytes, to: Address) -> int | None:
        """Send a datagram; None where it would have to wait or nobody is there."""
        try:
            return self.sock.sendto(data, to)
        except (BlockingIOError, InterruptedError, ConnectionError):
            return None

    def connected(self) -> None:
        """Raise what became of a connect (SO_ERROR)."""
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))

    def half_close(self) -> None:
        """Send the end of the stream."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Make the close send a reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)

    def seconds_since_receive(self) -> float:
        """Seconds since the last bytes arrived, by tcp_info."""
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        return float(LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_AT)[0]) / 1000.0

    def name(self) -> Address:
        """The address of this end."""
        found = self.sock.getsockname()
        return found[0], found[1]
