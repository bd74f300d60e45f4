"""The simulator's binary protocol: it sends batches of event records, and gets batches of command records.

A batch is a header followed by records without padding. A record is a code of one byte, followed by fields of
a fixed layout. Some records end with a tail of variable length, which a field states. Times in records are in
milliseconds. Codes and layouts have the names that the records have in the simulator.
"""

from __future__ import annotations

from enum import IntEnum
from struct import Struct
from typing import Any, BinaryIO

BATCH_HEADER = Struct("<Id")  # length of the batch including this header, clock
REPLY_HEADER = Struct("<II")  # number of records, length of the reply including this header
MILLISECONDS = 1000.0  # in a second


class EventCode(IntEnum):
    """Codes of the event records, which the simulator sends."""

    BELL = 16  # a timer is due
    ROLLOUT_STATE = 17  # the state of the release, or the answer to a vote
    POWER_ON = 18  # an instance starts
    NEIGHBOUR_SAYS = 19  # a message from a peer
    DISCOVERY = 20  # an endpoint list for an instance, or a failed poll for one
    WITHDRAWN = 21  # a client has disconnected
    METRICS = 22  # release control's counts of attempts at a build
    COMPLETED = 23  # an attempt has ended
    CONTESTED = 24  # a client has disputed an answer
    CALL = 25  # a request
    REGISTER = 26  # the entries of an endpoint list
    KILLED = 27  # an instance was killed
    STARTED = 28  # the first byte of a streamed answer
    ECHO = 29  # a health check has finished


class CommandCode(IntEnum):
    """Codes of the command records, which the adapter sends."""

    PLACE = 16  # send an attempt
    BUSY = 17  # reject a request
    GIVE_UP = 18  # fail a request
    WITHDRAW = 19  # cancel an attempt
    DEFER = 20  # set a timer
    SAMPLE = 21  # check the health of a server
    LET_GO = 22  # close idle connections to a server
    PUBLISH = 23  # send a message to one peer or to all
    SAY_LOG = 24  # log a decision
    BUG = 25  # report an exception
    KEEP_INFORMED = 26  # watch the endpoint list
    READ_LIST = 27  # poll the endpoint list
    BALLOT = 28  # cast a vote


# Layouts of the fields of event records, without the code.
POWER_ON = Struct("<HQI")
REGISTER = Struct("<HI")
REGISTER_ENTRY = Struct("<6sBHHfBfd")
DISCOVERY = Struct("<HBQH")
CALL = Struct("<HQHBddQB")
CONTESTED = Struct("<H6sBd")
NEIGHBOUR_SAYS = Struct("<HHH")
ROLLOUT_STATE = Struct("<HdfHBBHB")
ECHO = Struct("<H6sdHB")
METRICS = Struct("<HHBIIdd")
COMPLETED = Struct("<HQHBHd6sB")
STARTED = Struct("<HQdH6s")
KILLED = Struct("<H")
WITHDRAWN = Struct("<HQ")
BELL = Struct("<HQ")
# The load report at the end of `Echo` and `Completed` records, by its number of columns.
LOAD_REPORTS = tuple(Struct(f"<{columns}f") for columns in range(256))

# Layouts of command records, including the code.
PLACE = Struct("<BHQ6sd")
BUSY = Struct("<BHQd")
GIVE_UP = Struct("<BHQ")
WITHDRAW = Struct("<BHQH")
DEFER = Struct("<BHdQ")
SAMPLE = Struct("<BH6s")
LET_GO = Struct("<BH6s")
PUBLISH = Struct("<BHHH")
TEXT_RECORD = Struct("<BHH")  # `SayLog` and `Bug`; the text follows
KEEP_INFORMED = Struct("<BHB")
READ_LIST = Struct("<BH")
BALLOT = Struct("<BHHBB")
MAX_TEXT_SIZE = 0xFFFF  # bytes

# Messages between instances: kind, the sender's clock, content. The simulator forwards them unchanged.
OUTCOMES_HEADER = Struct("<cd")
OUTCOME = Struct("<6sHBB")  # server, build, class index, bin index; repeated after the header
MAX_MESSAGE_SIZE = 256  # bytes
OUTCOMES_PER_MESSAGE = (MAX_MESSAGE_SIZE - OUTCOMES_HEADER.size) // OUTCOME.size
STALLED_CLASSES_HEADER = Struct("<cd")  # class indices of one byte each follow
VERDICT = Struct("<cdHBB")  # build, stage, verdict


class MalformedBatch(Exception):
    """The input does not have the layout of the protocol."""


class Batch:
    """A batch of event records, which are read in order, and its clock in seconds."""

    __slots__ = ("body", "clock", "offset")

    def __init__(self, body: bytes, clock: float) -> None:
        self.body = body
        self.clock = clock
        self.offset = 0

    def next_code(self) -> int | None:
        """Read and return the code of the next record, or None at the end of the batch."""
        if self.offset == len(self.body):
            return None
        self.offset += 1
        return self.body[self.offset - 1]

    def read_fields(self, layout: Struct) -> tuple[Any, ...]:
        """Read and return the next fields of a record, or raise MalformedBatch if bytes are missing."""
        start = self.offset
        self.offset = start + layout.size
        if self.offset > len(self.body):
            raise MalformedBatch(
                f"record at byte {start}: expected {layout.size} bytes, found {len(self.body) - start}"
            )
        return layout.unpack_from(self.body, start)

    def read_tail(self, size: int) -> bytes:
        """Read and return the tail of a record, or raise MalformedBatch if bytes are missing."""
        start = self.offset
        self.offset = start + size
        if self.offset > len(self.body):
            raise MalformedBatch(
                f"field at byte {start}: expected {size} bytes, found {len(self.body) - start}"
            )
        return self.body[start : self.offset]


class Reply:
    """The reply to one batch: the command records, in order."""

    __slots__ = ("count", "records")

    def __init__(self) -> None:
        self.count = 0
        self.records = bytearray()

    def add(self, layout: Struct, *values: Any, tail: bytes = b"") -> None:
        """Append a command record."""
        self.records += layout.pack(*values)
        self.records += tail
        self.count += 1

    def encode(self) -> bytes:
        """Return the encoded reply, including its header."""
        return REPLY_HEADER.pack(self.count, REPLY_HEADER.size + len(self.records)) + bytes(self.records)


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read and return the next batch, or None at the end of input. Raises MalformedBatch."""
    header = _read(stream, BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise MalformedBatch(f"end of input in a batch header ({len(header)} of {BATCH_HEADER.size} bytes)")
    length, clock = BATCH_HEADER.unpack(header)
    if length < BATCH_HEADER.size:
        raise MalformedBatch(f"batch length {length}: expected at least {BATCH_HEADER.size}")
    body = _read(stream, length - BATCH_HEADER.size)
    if len(body) < length - BATCH_HEADER.size:
        raise MalformedBatch(f"end of input in a batch ({len(body) + BATCH_HEADER.size} of {length} bytes)")
    return Batch(body, clock / MILLISECONDS)


def _read(stream: BinaryIO, size: int) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        part = stream.read(size - len(parts))
        if not part:
            break
        parts += part
    return bytes(parts)
