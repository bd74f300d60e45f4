"""One order of entries kept by a few processes: Raft's deciding part, without I/O."""

from stepsail.consensus.entries import Entry, Kept, Write
from stepsail.consensus.messages import BadMessage, Message, decode, encode
from stepsail.consensus.raft import Raft, Role

__all__ = ["BadMessage", "Entry", "Kept", "Message", "Raft", "Role", "Write", "decode", "encode"]
