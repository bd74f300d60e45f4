"""The strings used in stored transcripts: the source of a line (`at`) and its event (`what`).

The values are part of a stored format and must not change; the rest of the package uses the members' names.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

Line = dict[str, Any]  # one decoded line of a transcript


class Source(StrEnum):
    """The part of the emulated platform that wrote a line."""

    RUN = "day"
    CLIENT = "client"
    SERVER = "box"
    RELEASE_CONTROL = "conveyor"
    DISCOVERY = "roster"
    INSTANCE = "umpire"
    LINK = "link"
    GOSSIP = "words"
    POLICY = "policy"


class RunEvent(StrEnum):
    """Events of the run itself."""

    SETTINGS = "facts"
    MEMBERSHIP_SETTINGS = "view"
    POLICY_SETTINGS = "policy"
    ENDING = "ends"


class ClientEvent(StrEnum):
    """Events that clients report."""

    SENT = "send"
    ANSWER = "answer"
    EXTRA_ANSWER = "extra"
    LATE_ANSWER = "late"
    NO_ANSWER = "no answer"
    WRONG_ANSWER = "wrong"


class ServerEvent(StrEnum):
    """Events that servers report."""

    STARTED = "start"
    ENDED = "end"
    STALLED = "stalled"
    ATTEMPT = "relay"
    COMPLETED = "ran"
    REJECTED = "full"
    DROPPED = "dropped"
    UNDELIVERED = "unheard"
    OVERLOADED = "fell"


ATTEMPT_ENDS = frozenset(
    {ServerEvent.COMPLETED, ServerEvent.REJECTED, ServerEvent.DROPPED, ServerEvent.UNDELIVERED}
)


class ReleaseEvent(StrEnum):
    """Events that release control reports."""

    NOTIFIED = "told"
    OFFERED = "offered"
    STATE = "state"
    VOTE = "vote"


class DiscoveryEvent(StrEnum):
    """Events that endpoint discovery reports."""

    NOTIFIED = "told"


class InstanceEvent(StrEnum):
    """Events in the life of an instance's process."""

    STARTED = "started"
    KILLED = "killed"
    ENDED = "ended"
    STOPPED = "stopped"
    CONTINUED = "continued"
    SHUTDOWN_REQUESTED = "told to leave"


class LinkEvent(StrEnum):
    """Starts and ends of the faults injected into network links."""

    CUT = "cut"
    SLOW = "slow"
    NORMAL_SPEED = "usual"
    PARTITIONED = "apart"
    REJOINED = "joined"


class GossipEvent(StrEnum):
    """Changes to the faults injected into the datagrams between instances."""

    CUT = "cut"
    HEALED = "healed"
    # Shares of datagrams that are lost, duplicated or replayed, and the delay of all.
    DATAGRAM_FAULTS = "ways"


class PolicyEvent(StrEnum):
    """Events that concern policy changes."""

    OUTCOME = "past"


class RequestOutcome(StrEnum):
    """The outcome of a request as its client sees it."""

    SERVED = "handled"
    REJECTED = "denied"


class Idempotency(StrEnum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "redoable"
    IDEMPOTENCY_KEY = "labelled"
    NON_IDEMPOTENT = "irreversible"


class DeduplicationScope(StrEnum):
    """Which servers recognize an idempotency key that one of them has received."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReleasePhase(StrEnum):
    """Phases of a release."""

    CANARY = "trial"
    RELEASED = "released"
    ROLLING_BACK = "reverting"


# The servers, as a service from which an instance can be partitioned. The other two services are named by
# `Source.RELEASE_CONTROL` and `Source.DISCOVERY`.
SERVERS = "boxes"

# States of a server in an endpoint list. A server that a full list leaves out counts as gone.
READY = "ready"
GONE = "gone"
