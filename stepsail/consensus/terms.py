"""Every figure of the order's protocol, with its unit and reason.

Raft: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; pre-vote as in Ongaro's
dissertation (2014), 9.6.
"""

from __future__ import annotations

BEAT = 0.1  # s between a leader's words to each other keeper: ten words a second and keeper
ELECT = (0.6, 1.2)  # s without a leader until an election, drawn anew each time: six beats may be lost
DEAF = 2.4  # s without answers from most until a leader steps down: it may be heard by those whom it does not hear
MOST_ENTRY = 16 * 1024  # bytes of one entry: a policy's text and what goes with it
MOST_BATCH = 8  # entries sent to a follower at once
MOST_LOG = 64  # entries kept behind a snapshot until the next one is taken
MOST_WAITING = 64  # proposals in the log that are not decided; further ones are refused
