"""Implements Raft consensus (Ongaro and Ousterhout 2014) among a fixed set of voters, without I/O."""

from stepsail.consensus.messages import InvalidMessageError, Message, decode, encode
from stepsail.consensus.persistent_state import LogEntry, PersistentState, StateWrite
from stepsail.consensus.raft_replica import RaftReplica
from stepsail.consensus.replica_state import Role

__all__ = [
    "InvalidMessageError",
    "LogEntry",
    "Message",
    "PersistentState",
    "RaftReplica",
    "Role",
    "StateWrite",
    "decode",
    "encode",
]
