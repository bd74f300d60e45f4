"""Defines the timeouts and size limits of the consensus protocol."""

from __future__ import annotations

HEARTBEAT_INTERVAL = 0.1  # s between heartbeats of a leader
# A follower starts an election after a random time without a heartbeat, between these limits (s). It is drawn
# again at each reset of the timeout. Six heartbeats in a row may be lost before the minimum has passed.
MIN_ELECTION_TIMEOUT = 0.6
MAX_ELECTION_TIMEOUT = 1.2
CHECK_QUORUM_TIMEOUT = 2.4  # s without responses from a majority after which a leader steps down
MAX_ENTRY_BYTES = 16 * 1024  # size of a command; a longer one is rejected
MAX_ENTRIES_PER_MESSAGE = 8
SNAPSHOT_THRESHOLD = 64  # number of applied entries in the log from which it is compacted
MAX_UNCOMMITTED_ENTRIES = 64  # a leader with so many uncommitted entries rejects further proposals
