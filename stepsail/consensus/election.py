"""Implements leader election with pre-vote (Ongaro's dissertation, 2014, section 9.6)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stepsail.consensus.messages import Message, MessageKind
from stepsail.consensus.parameters import MIN_ELECTION_TIMEOUT
from stepsail.consensus.persistent_state import NO_VOTE
from stepsail.consensus.replica_state import ReplicaState, Role


class Election:
    """Runs elections as a candidate, and responds to the vote requests of other candidates.

    Attributes:
        on_elected: Called when a majority has granted this replica its vote.
        pre_vote: Whether the current candidacy is still in its pre-vote phase.
        votes: The voters that granted their vote, or their pre-vote, in the current candidacy.
    """

    def __init__(self, replica: ReplicaState, on_elected: Callable[[], None]) -> None:
        self.replica = replica
        self.on_elected = on_elected
        self.pre_vote = False
        self.votes: set[int] = set()

    def start(self, pre_vote: bool = True) -> None:
        """Become a candidate and request votes, or pre-votes.

        The pre-vote does not increment the term, so a replica that returns from a network partition does not
        force the current leader to step down.
        """
        replica = self.replica
        self.pre_vote = pre_vote
        self.votes = {replica.voter}
        replica.leader = None
        replica.reset_election_timeout()
        replica.role = Role.CANDIDATE
        if not pre_vote:
            replica.save_vote(replica.persistent.current_term + 1, replica.voter)
        kind = MessageKind.PRE_VOTE_REQUEST if pre_vote else MessageKind.VOTE_REQUEST
        for peer in replica.peers:
            replica.send(peer, kind, replica.persistent.last_index, replica.persistent.last_term)
        self._check_majority()

    def handle_pre_vote_request(self, request: Message) -> None:
        """Grant a pre-vote if this replica would vote for the candidate.

        This replica refuses if it received a heartbeat from a leader within the minimum election timeout. The
        response carries the voters' identities, which `handle_pre_vote_response` uses.
        """
        replica = self.replica
        persistent = replica.persistent
        no_leader = replica.now - replica.last_heartbeat >= MIN_ELECTION_TIMEOUT
        granted = (
            no_leader
            and replica.role is not Role.LEADER
            and request.term >= persistent.current_term
            and self.is_up_to_date(request)
        )
        identities = msgspec.msgpack.encode(persistent.identities) if persistent.identities_index else b""
        replica.send(
            request.sender,
            MessageKind.PRE_VOTE_RESPONSE,
            persistent.identities_index,
            success=granted,
            payload=identities,
        )

    def handle_pre_vote_response(self, response: Message) -> None:
        """Count a pre-vote, and start the election itself once a majority has granted it.

        A replica that was down or partitioned while another voter's storage was replaced does not know that
        voter's new identity, ignores its messages, and might never reach a majority. Therefore it adopts
        newer identities from any response.
        """
        replica = self.replica
        if response.log_index > replica.persistent.identities_index:
            identities = msgspec.msgpack.decode(response.payload, type=dict[int, int])
            replica.save_identities(identities, response.log_index)
        current_term = replica.persistent.current_term
        is_pre_candidate = self.pre_vote and replica.role is Role.CANDIDATE
        if response.success and is_pre_candidate and response.term <= current_term:
            self.votes.add(response.sender)
            self._check_majority()
        elif response.term > current_term:
            replica.step_down(response.term)

    def handle_vote_request(self, request: Message) -> None:
        """Vote for a candidate whose log is up to date, and for at most one candidate per term."""
        replica = self.replica
        persistent = replica.persistent
        granted = (
            request.term == persistent.current_term
            and persistent.voted_for in (NO_VOTE, request.sender)
            and self.is_up_to_date(request)
            and replica.role is not Role.LEADER
        )
        if granted and persistent.voted_for != request.sender:
            replica.save_vote(persistent.current_term, request.sender)
        if granted:
            replica.reset_election_timeout()
        replica.send(request.sender, MessageKind.VOTE_RESPONSE, success=granted)

    def handle_vote_response(self, response: Message) -> None:
        """Count a vote that was granted in the current term."""
        if response.success and response.term == self.replica.persistent.current_term and not self.pre_vote:
            self.votes.add(response.sender)
            self._check_majority()

    def is_up_to_date(self, request: Message) -> bool:
        """Return whether the candidate's log is at least as up to date as this replica's.

        The comparison is that of Raft, section 5.4.1.
        """
        persistent = self.replica.persistent
        return (request.log_term, request.log_index) >= (persistent.last_term, persistent.last_index)

    def _check_majority(self) -> None:
        if self.replica.role is not Role.CANDIDATE or len(self.votes) < self.replica.majority:
            return
        if self.pre_vote:
            self.start(pre_vote=False)
        else:
            self.on_elected()
