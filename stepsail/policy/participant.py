"""The instance's side of policy changes: decides under which policy it may accept a request, if any."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf

from stepsail.policy.messages import VERSION, Message, MessageKind
from stepsail.policy.parameters import (
    MAX_RETRY_INTERVAL,
    MIN_RETRY_INTERVAL,
    PREPARED_TIMEOUT,
    RETRY_BACKOFF,
)


def accept_any(text: str) -> str:
    """Accept every policy."""
    del text
    return ""


@dataclass(frozen=True, slots=True)
class PreparedPolicy:
    """A policy that the participant has prepared without knowing yet whether it is committed or aborted."""

    version: int
    text: str


class PolicyParticipant:
    """The policy of one process. It does no I/O; time is an argument.

    Attributes:
        voters: Instance numbers of the voters to which requests are sent in turn.
        validate: Returns the reason why this instance cannot use a policy's text; empty if it can.
        incarnation: Number that has to be higher than that of any earlier process of the instance; it is
            raised until the process is admitted.
        version: Version of the policy in use.
        text: Text of the policy in use.
        prepared: The prepared policy, which may replace the policy in use; None if no policy is prepared.
        valid_until: Time in seconds on this process's clock at which the policy in use expires, unless the
            outcome of the prepared policy is learned before.
        next_timeout: Time in seconds by which `tick` has to be called.
    """

    def __init__(
        self,
        instance: int,
        incarnation: int,
        host: str,
        port: int,
        voters: Sequence[int],
        now: float,
        validate: Callable[[str], str] = accept_any,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.host = host
        self.port = port
        self.voters = tuple(voters)
        self.validate = validate
        self.next_voter = instance
        self.admitted = False
        self.left = False
        self.version = 0
        self.text = ""
        self.prepared: PreparedPolicy | None = None
        self.valid_until = inf
        self.now = now
        self.retry_at = now
        self.retry_interval = MIN_RETRY_INTERVAL
        self.next_timeout = now
        self.messages: list[tuple[int, Message]] = []

    def version_at(self, now: float) -> int | None:
        """Return the version under which a request may be accepted now; None if no policy is valid.

        An expired policy does not become valid again if the clock is set back.
        """
        self.now = max(self.now, now)
        valid = self.admitted and not self.left and self.now < self.valid_until
        return self.version if valid else None

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a rejected client may try again."""
        return max(MIN_RETRY_INTERVAL, self.retry_at - now)

    def tick(self, now: float) -> None:
        """Request admission, or the outcome of the prepared policy, if a request is due."""
        if self._waits_for_answer() and now >= self.retry_at:
            # Only the leader can admit a process, so requests for admission go to all voters. A process that
            # missed its ADMITTED may have prepared a policy already. It requests admission first, and the
            # outcome afterwards.
            if self.admitted:
                self._request_status(self.prepared.version if self.prepared else 0)
            else:
                for _ in self.voters:
                    self._request_status(0)
            self.retry_at = now + self.retry_interval
            self.retry_interval = min(MAX_RETRY_INTERVAL, self.retry_interval * RETRY_BACKOFF)
        self.next_timeout = self.retry_at if self._waits_for_answer() else inf

    def receive(self, message: Message, voter: int, now: float) -> None:
        """Handle a voter's message; ignore a message for another incarnation or with outdated content."""
        self.now = max(self.now, now)
        if message.instance != self.instance or self.left:
            return
        if message.kind is MessageKind.STALE_INCARNATION and not self.admitted:
            self.incarnation = max(self.incarnation, message.incarnation + 1)
            return
        if message.incarnation != self.incarnation:
            return
        if message.kind is MessageKind.ADMITTED and not self.admitted:
            self.admitted = True
            self._use(message.policy_version, message.text)
        elif message.kind is MessageKind.PREPARE and message.policy_version > self.version:
            self._prepare(message, voter)
        elif message.kind is MessageKind.COMMITTED and message.policy_version > self.version:
            self._commit(message)
        elif message.kind is MessageKind.ABORTED:
            self._abort(message)
        self.tick(self.now)

    def leave(self) -> None:
        """Stop accepting requests, and send LEAVE to all voters."""
        self.left = True
        for _ in self.voters:
            self._send(MessageKind.LEAVE, self._pick_voter())

    def take_messages(self) -> list[tuple[int, Message]]:
        """Return the messages to send, each with the voter that receives it, and clear the outbox."""
        messages = self.messages
        self.messages = []
        return messages

    def _waits_for_answer(self) -> bool:
        return not self.left and (not self.admitted or self.prepared is not None)

    def _pick_voter(self) -> int:
        voter = self.voters[self.next_voter % len(self.voters)]
        self.next_voter += 1
        return voter

    def _request_status(self, policy_version: int) -> None:
        self._send(MessageKind.STATUS_REQUEST, self._pick_voter(), policy_version)

    def _send(self, kind: MessageKind, voter: int, policy_version: int = 0, text: str = "") -> None:
        message = Message(
            VERSION, kind, self.instance, self.incarnation, policy_version, text, self.host, self.port
        )
        self.messages.append((voter, message))

    def _prepare(self, message: Message, voter: int) -> None:
        """Prepare the proposed policy and answer the coordinator with PREPARED or REFUSED.

        From then on the policy in use is valid for at most `PREPARED_TIMEOUT`. Neither a repeated PREPARE nor
        that of the next proposal extends this time, because the earlier proposal may have been committed.
        """
        version = message.policy_version
        if self.prepared and self.prepared.version > version:
            return
        if self.prepared is None or self.prepared.version < version:
            refusal = self.validate(message.text)
            if refusal:
                self._send(MessageKind.REFUSED, voter, version, refusal)
                return
            self.prepared = PreparedPolicy(version, message.text)
            self.valid_until = min(self.valid_until, self.now + PREPARED_TIMEOUT)
            self.retry_interval = MIN_RETRY_INTERVAL
            self.retry_at = self.now + MIN_RETRY_INTERVAL
        self._send(MessageKind.PREPARED, voter, version)

    def _commit(self, message: Message) -> None:
        if not self.admitted:
            return
        if self.prepared and self.prepared.version == message.policy_version:
            self._use(message.policy_version, self.prepared.text)
        elif message.text:
            self._use(message.policy_version, message.text)

    def _abort(self, message: Message) -> None:
        """Drop the prepared policy.

        An earlier proposal may have been committed without this process learning of it; the message then
        holds the committed policy.
        """
        if self.prepared is None or self.prepared.version != message.policy_version:
            return
        self.prepared = None
        if message.committed_version > self.version:
            self._use(message.committed_version, message.text)
        else:
            self._use(self.version, self.text)

    def _use(self, version: int, text: str) -> None:
        """Use a policy from now on; while a later policy is prepared, `valid_until` still applies."""
        self.version = version
        self.text = text
        self.retry_interval = MIN_RETRY_INTERVAL
        if self.prepared and self.prepared.version <= version:
            self.prepared = None
        if self.prepared is None:
            self.valid_until = inf
