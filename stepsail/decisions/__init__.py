"""This package makes all routing and release decisions of one proxy instance, without I/O.

The host supplies the time, and random numbers are computed from a seed and a counter, so that decisions can
be replayed. The table lists the modules and what each decides:

| module | decides |
| --- | --- |
| `interface` | nothing: defines the incoming events, the outgoing commands and the settings |
| `router` | which module handles an event; owns all other parts, the timer and the random draws |
| `attempt` | nothing: holds one attempt, with its server's build, zone and cell when it was sent |
| `request` | when a request is retried (given its idempotency and key window), given up or rejected |
| `server` | when a server is ejected; tracks its slow start, load, connection and latency |
| `selection` | which server gets the next attempt; keeps statistics on connections and network paths |
| `admission` | how many attempts may be in flight; in which order waiting requests are dispatched |
| `stall_detection` | which request classes and tenants are stalled, that is, answered late by all servers |
| `exposure` | whether a build on canary may get another attempt; which builds may get a sticky key |
| `histogram`, `evidence` | nothing: define deadline-scaled latency histograms and their sequential tests |
| `observations` | which recent outcomes show the fleet's latency, and how old outcomes lose weight |
| `canary`, `pause` | whether a build is promoted or rolled back; whether pausing it ends a general slowdown |
| `voting` | when a vote to promote or roll back a build is cast, repeated or left to other instances |
| `gossip` | what instances send to each other, and which instances judge the pooled outcomes |
| `averages`, `timing` | nothing: define running statistics and intervals that several modules share |
| `list_lease` | until when an endpoint list may be used |
| `call_pacing` | when a failed call to a shared service is retried |

The package exports the classes that a snapshot in a capture file may name. Former names of these classes are
listed in `stepsail/capture/stored_names.py`.
"""

from stepsail.decisions.admission import Admission
from stepsail.decisions.attempt import Attempt
from stepsail.decisions.averages import DecayingMean, TimestampWindow
from stepsail.decisions.canary import Canary
from stepsail.decisions.exposure import Exposure, ExposureWindow, ReleaseState
from stepsail.decisions.gossip import Gossip
from stepsail.decisions.histogram import LatencyHistogram
from stepsail.decisions.interface import (
    AttemptOutcome,
    DeduplicationScope,
    EndpointState,
    Idempotency,
    PromotionControl,
    RejectionReason,
    ReleasePhase,
    Verdict,
    VoteReceipt,
)
from stepsail.decisions.observations import Observations
from stepsail.decisions.pause import PauseExperiment
from stepsail.decisions.request import Request
from stepsail.decisions.router import Router
from stepsail.decisions.selection import ServerPool
from stepsail.decisions.server import Server
from stepsail.decisions.stall_detection import StallDetection, StallDetector
from stepsail.decisions.voting import Ballot, VotingRules

__all__ = [
    "Admission",
    "Attempt",
    "AttemptOutcome",
    "Ballot",
    "Canary",
    "DecayingMean",
    "DeduplicationScope",
    "EndpointState",
    "Exposure",
    "ExposureWindow",
    "Gossip",
    "Idempotency",
    "LatencyHistogram",
    "Observations",
    "PauseExperiment",
    "PromotionControl",
    "RejectionReason",
    "ReleasePhase",
    "ReleaseState",
    "Request",
    "Router",
    "Server",
    "ServerPool",
    "StallDetection",
    "StallDetector",
    "TimestampWindow",
    "Verdict",
    "VoteReceipt",
    "VotingRules",
]
