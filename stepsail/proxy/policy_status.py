"""Builds the status page of policies, whose field names operators' tools read."""

from __future__ import annotations

from typing import Any

from stepsail.consensus import RaftReplica
from stepsail.policy import PolicyCoordinator, PolicyParticipant
from stepsail.policy.commands import Propose

SHOWN_PROPOSALS = 10  # number of finished proposals on the page, the latest ones


def participant_status(participant: PolicyParticipant) -> dict[str, Any]:
    """Return the part of the status page about the instance's own policy."""
    return {
        "number": participant.version,
        "text": participant.text,
        "admitted": participant.admitted,
        "pending": participant.prepared.version if participant.prepared else None,
    }


def voter_status(raft: RaftReplica, coordinator: PolicyCoordinator) -> dict[str, Any]:
    """Return the additional part of a voter's status page: consensus and proposals."""
    state = coordinator.state_machine.state
    return {
        "role": raft.role.value,
        "leader": raft.leader,
        "term": raft.current_term,
        "decided": raft.commit_index,
        "members": sorted(state.members),
        "pending": _proposal_status(state.pending, coordinator) if state.pending else None,
        "past": [
            {
                "number": finished.version,
                "held": finished.committed,
                "why": finished.reason,
                "who": finished.author,
            }
            for finished in state.finished[-SHOWN_PROPOSALS:]
        ],
    }


def _proposal_status(proposal: Propose, coordinator: PolicyCoordinator) -> dict[str, Any]:
    return {
        "number": proposal.version,
        "who": proposal.author,
        "why": proposal.reason,
        "silent": coordinator.unprepared_members() if coordinator.is_leader else None,
    }
