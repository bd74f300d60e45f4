"""Defines the timeouts and size limits of the consensus protocol."""

from __future__ import annotations

HEARTBEAT_INTERVAL = 0.1  # seconds between heartbeats of a leader
# A follower that receives no heartbeat starts an election after a random time between MIN_ELECTION_TIMEOUT
# and MAX_ELECTION_TIMEOUT, in seconds. The time is drawn again at each reset of the timeout. Six heartbeats
# in a row may be lost before the minimum has passed.
MIN_ELECTION_TIMEOUT = 0.6
MAX_ELECTION_TIMEOUT = 1.2
# Seconds without responses from a majority of the voters after which a leader steps down.
CHECK_QUORUM_TIMEOUT = 2.4
# Largest size of a command in a log entry, in bytes; a longer command is rejected.
MAX_ENTRY_BYTES = 16 * 1024
MAX_ENTRIES_PER_MESSAGE = 8
# Number of applied entries in the log at which the log is compacted.
SNAPSHOT_THRESHOLD = 64
# A leader with this many uncommitted log entries rejects further proposals.
MAX_UNCOMMITTED_ENTRIES = 64
