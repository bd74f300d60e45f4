"""A non-blocking socket as a port of the loop.

Error names, and which call may return which error, follow Linux's manual pages, cited as accept(2).
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
# Errors of accept(2) for a connection that ended before it was accepted; the backlog may hold other
# connections.
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
# Errors of recv, send and poll if the system is out of memory: transient, and not caused by the peer.
OUT_OF_MEMORY = frozenset((errno.ENOMEM, errno.ENOBUFS))
# Number of ended connections that one call to `accept` skips. At the next ended connection the call raises
# the error, so that the other tasks can run.
MAX_ACCEPT_ERRORS = 64
TCP_INFO_SIZE = 64  # bytes of struct tcp_info (linux/tcp.h) to request
# Offset in bytes of the field tcpi_last_data_recv in struct tcp_info; the field's value is in milliseconds.
LAST_DATA_RECEIVED_OFFSET = 52
LAST_DATA_RECEIVED = struct.Struct("I")
SO_BINDTOIFINDEX = 62  # asm-generic/socket.h, since Linux 5.1; the socket module lacks it
NONEXISTENT_INTERFACE_INDEX = 0x7FFFFFFF  # no interface has this index: they are numbered from 1 up
ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends a reset


class SocketPort(WaitingPort):
    """Wraps a non-blocking socket with at most one waiter per direction; implements `driver.Port`."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        sock.setblocking(False)
        self.sock = sock
        self.fd = sock.fileno()
        self.mask = 0  # the poll events that the socket is registered for

    def accept(self) -> tuple[Port, Address] | None:
        """Return the next connection and its peer's address; skip any that ended before being accepted."""
        errors = 0
        while True:
            try:
                sock, peer = self.sock.accept()
                break
            except OSError as error:
                if error.errno in WOULD_BLOCK:
                    return None
                errors += 1
                if error.errno not in ENDED_BEFORE_ACCEPT or errors > MAX_ACCEPT_ERRORS:
                    raise
        with contextlib.suppress(OSError):  # without TCP_NODELAY the connection is only slower
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return SocketPort(sock), (peer[0], peer[1])

    def stop_handshakes(self) -> None:
        """Refuse new connections on this listener. Raises OSError if the system does not support this.

        The listener is bound to an interface that does not exist. The system then finds no listener for a new
        SYN and answers it as for a closed port. A handshake that has begun refers to its listener already, so
        its connection still reaches the accept queue.
        """
        self.sock.setsockopt(socket.SOL_SOCKET, SO_BINDTOIFINDEX, NONEXISTENT_INTERFACE_INDEX)

    def recv(self, max_bytes: int) -> bytes | None:
        """Return received bytes, b"" at the end of the stream. Raises OSError if the connection failed."""
        try:
            return self.sock.recv(max_bytes)
        except OSError as error:
            return self._none_if_transient(error)

    def send(self, data: bytes | memoryview) -> int | None:
        """Send bytes and return how many the system accepted. Raises OSError if the connection has failed."""
        try:
            return self.sock.send(data)
        except OSError as error:
            return self._none_if_transient(error)

    @staticmethod
    def _none_if_transient(error: OSError) -> None:
        """Return None for an error after which the call can be retried; raise any other error."""
        if error.errno not in WOULD_BLOCK and error.errno not in OUT_OF_MEMORY:
            raise error

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address] | None:
        """Return a datagram and its sender's address."""
        try:
            data, peer = self.sock.recvfrom(max_bytes)
        except (BlockingIOError, InterruptedError):
            return None
        # An earlier datagram sent from this socket was refused; datagrams may be lost, so this is ignored.
        except ConnectionError:
            return None
        return data, (peer[0], peer[1])

    def sendto(self, data: bytes, to: Address) -> int | None:
        """Send a datagram and return its size; None if that would block or the receiver is unreachable."""
        try:
            return self.sock.sendto(data, to)
        except (BlockingIOError, InterruptedError, ConnectionError):
            return None

    def raise_connect_error(self) -> None:
        """Raise OSError if the connect failed, as reported by SO_ERROR."""
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))

    def half_close(self) -> None:
        """Shut down the sending direction."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Make the following close send a reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)

    def seconds_since_receive(self) -> float:
        """Return the seconds since the last bytes arrived, as reported by tcp_info."""
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        return float(LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)[0]) / 1000.0

    def local_address(self) -> Address:
        """Return the address that the socket is bound to."""
        sockname = self.sock.getsockname()
        return sockname[0], sockname[1]
