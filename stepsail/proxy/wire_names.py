"""The names of phases, receipts, verdicts, states and outcomes in the daemon's messages and stored entries.

JSON messages (`control_messages`) and the audit trail contain them, so they must not change when the
enumerations in the code are renamed.
"""

from __future__ import annotations

from stepsail.decisions.interface import AttemptOutcome, EndpointState, ReleasePhase, Verdict, VoteReceipt
from stepsail.proxy.in_flight import FinalAnswer

PHASES = {
    "trial": ReleasePhase.CANARY,
    "reverting": ReleasePhase.ROLLING_BACK,
    "released": ReleasePhase.RELEASED,
    "withdrawn": ReleasePhase.WITHDRAWN,
}
CANARY_PHASES = ("trial", "reverting")  # phases in which attempts at the newest build count as exposure
RECEIPTS = {
    "counted": VoteReceipt.COUNTED,
    "error": VoteReceipt.ERROR,
    "full": VoteReceipt.RATE_LIMITED,
    "unknown": VoteReceipt.UNKNOWN,
    "moot": VoteReceipt.OUTDATED,
}
ENDPOINT_READY = "ready"
ENDPOINT_GONE = "gone"
ENDPOINT_STATES = {
    "draining": EndpointState.DRAINING,
    ENDPOINT_READY: EndpointState.READY,
    ENDPOINT_GONE: EndpointState.GONE,
}
VERDICT_NAMES = {
    Verdict.NONE: "none",
    Verdict.PROMOTE: "on",
    Verdict.PAUSE: "hold",
    Verdict.ROLL_BACK: "back",
}
RECEIPT_NAMES = {receipt: name for name, receipt in RECEIPTS.items()}
FINAL_ANSWER_NAMES = {
    FinalAnswer.SERVED: "handled",
    FinalAnswer.REJECTED: "denied",
    FinalAnswer.FAILED: "errored",
    FinalAnswer.CANCELLED_BY_CLIENT: "left",
}
OPEN_ATTEMPT = "out"  # recorded instead of an outcome for an attempt that is still open
OUTCOME_NAMES = {
    AttemptOutcome.SERVED: "handled",
    AttemptOutcome.FAILED: "errored",
    AttemptOutcome.REJECTED: "full",
    AttemptOutcome.TIMED_OUT: "late",
    AttemptOutcome.CONNECT_FAILED: "unreached",
    AttemptOutcome.CONNECTION_LOST: "broken",
    AttemptOutcome.CANCELLED: "withdrawn",
    AttemptOutcome.NOT_SENT: "unsent",
}
