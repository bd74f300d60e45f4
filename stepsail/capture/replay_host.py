"""The router's host in a replay: feeds captured events to the router and collects its commands.

The host executes none of these commands.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from types import ModuleType
from typing import Any

from stepsail.capture.entries import Command, Entry, Event, Values
from stepsail.capture.snapshot_names import names_by_id, objects_by_name
from stepsail.capture.state import deserialize, serialize
from stepsail.decisions.interface import AttemptOutcome, ReleasePhase, RouterSettings, Verdict, VoteReceipt


@dataclass(frozen=True, slots=True)
class Response:
    """The response of the router to one event: its commands, and the error that it raised (empty if none)."""

    commands: list[Values]
    error: str


class ReplayHost:
    """Runs the router of one build of the decision module, and keeps the router's handles and timers."""

    def __init__(self, module: ModuleType, settings: RouterSettings) -> None:
        self.module = module
        self.settings = settings
        self.clock = 0.0
        self.commands: list[Values] = []
        self.router: Any = None
        self.servers: list[Any] = []
        self.server_numbers: dict[int, int] = {}  # key: id() of the server's handle
        self.requests: dict[int, Any] = {}
        self.timers: dict[int, Callable[[], None]] = {}
        self.timer_count = 0

    # -- snapshots ---------------------------------------------------------------------------------------

    def restore(self, snapshot: bytes) -> None:
        """Restore the router, its handles and its timers from a snapshot. Raises SnapshotError."""
        root = deserialize(snapshot, self.module, objects_by_name(self.settings, self))
        self.router, self.servers, self.requests, self.timers, self.timer_count, self.clock = root
        self.server_numbers = {id(server): number for number, server in enumerate(self.servers)}

    def snapshot(self) -> bytes:
        """Return a snapshot of the router, and of its handles and timers. Raises SnapshotError."""
        root = [
            self.router,
            list(self.servers),
            dict(self.requests),
            dict(self.timers),
            self.timer_count,
            self.clock,
        ]
        return serialize(root, names_by_id(self.settings, self))

    # -- events ------------------------------------------------------------------------------------------

    def feed(self, entry: Entry) -> Response:
        """Feed one event to the router, and return its response."""
        self.clock = entry.clock
        self.commands = []
        error = ""
        try:
            EVENT_HANDLERS[Event(entry.kind)](self, entry.values)
        except Exception as raised:
            error = f"{type(raised).__name__}: {raised}"
        return Response(self.commands, error)

    def start(self, seed: int) -> None:
        """Create the router."""
        self.router = self.module.Router(self.settings, self, seed)

    def add_server(self, address: bytes) -> None:
        """Add a server to the router, and give it the next number."""
        server = self.router.add_server(address)
        self.server_numbers[id(server)] = len(self.servers)
        self.servers.append(server)

    def forget_if_finished(self, number: int) -> None:
        """Drop the handle of a request if it is finished."""
        if self.requests[number].finished():
            del self.requests[number]

    # -- commands ----------------------------------------------------------------------------------------

    def send_attempt(self, request: Any, server: Any, deadline: float) -> None:
        """See `RouterHost.send_attempt`."""
        self.requests.setdefault(request.number, request)
        self._add_command(Command.SEND_ATTEMPT, request.number, self.server_numbers[id(server)], deadline)

    def cancel_attempt(self, request: Any, attempt: int) -> None:
        """See `RouterHost.cancel_attempt`."""
        self._add_command(Command.CANCEL_ATTEMPT, request.number, attempt)

    def reject(self, request: Any, retry_after: float) -> None:
        """See `RouterHost.reject`."""
        self._add_command(Command.REJECT, request.number, retry_after)

    def fail(self, request: Any) -> None:
        """See `RouterHost.fail`."""
        self._add_command(Command.FAIL, request.number)

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """See `RouterHost.call_later`."""
        self.timer_count += 1
        self.timers[self.timer_count] = call
        self._add_command(Command.CALL_LATER, delay, self.timer_count)

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """See `RouterHost.cast_vote`."""
        self._add_command(Command.CAST_VOTE, build, stage, int(verdict))

    def check_health(self, server: Any) -> None:
        """See `RouterHost.check_health`."""
        self._add_command(Command.CHECK_HEALTH, self.server_numbers[id(server)])

    def close_idle_connections(self, server: Any) -> None:
        """See `RouterHost.close_idle_connections`."""
        self._add_command(Command.CLOSE_IDLE_CONNECTIONS, self.server_numbers[id(server)])

    def poll_endpoints(self) -> None:
        """See `RouterHost.poll_endpoints`."""
        self._add_command(Command.POLL_ENDPOINTS)

    def watch_endpoints(self) -> None:
        """See `RouterHost.watch_endpoints`."""
        self._add_command(Command.WATCH_ENDPOINTS)

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[Any, int, int, int]]) -> None:
        """See `RouterHost.gossip_outcomes`."""
        numbered = [(self.server_numbers[id(server)], *rest) for server, *rest in outcomes]
        self._add_command(Command.GOSSIP_OUTCOMES, peer, numbered)

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """See `RouterHost.gossip_verdict`."""
        self._add_command(Command.GOSSIP_VERDICT, build, stage, int(verdict))

    def gossip_stalled_classes(self, request_classes: Sequence[int]) -> None:
        """See `RouterHost.gossip_stalled_classes`."""
        self._add_command(Command.GOSSIP_STALLED_CLASSES, tuple(request_classes))

    def log_decision(self, text: str) -> None:
        """See `RouterHost.log_decision`."""
        self._add_command(Command.LOG_DECISION, text)

    def _add_command(self, command: Command, *values: Any) -> None:
        self.commands.append((int(command), *values))


# -- one function per kind of event; it passes the values of an entry to the router ------------------------


def _started(host: ReplayHost, values: Values) -> None:
    host.start(*values)


def _server_added(host: ReplayHost, values: Values) -> None:
    host.add_server(*values)


def _endpoint_updated(host: ReplayHost, values: Values) -> None:
    server, *arguments = values
    host.servers[server].update_endpoint(*arguments)


def _endpoint_list_received(host: ReplayHost, values: Values) -> None:
    host.router.endpoint_list_received(*values)


def _endpoint_poll_failed(host: ReplayHost, _: Values) -> None:
    host.router.endpoint_poll_failed()


def _release_state_received(host: ReplayHost, values: Values) -> None:
    *arguments, phase = values
    host.router.release_state_received(*arguments, ReleasePhase(phase))


def _release_counts_received(host: ReplayHost, values: Values) -> None:
    host.router.release_counts_received(*values)


def _vote_acknowledged(host: ReplayHost, values: Values) -> None:
    (receipt,) = values
    host.router.vote_acknowledged(VoteReceipt(receipt))


def _request_accepted(host: ReplayHost, values: Values) -> None:
    number = values[0]
    host.requests[number] = host.router.accept_request(*values)
    host.forget_if_finished(number)


def _attempt_ended(host: ReplayHost, values: Values) -> None:
    number, attempt, outcome, final, elapsed, report = values
    request = host.requests[number]
    request.attempt_ended(attempt, AttemptOutcome(outcome), final, elapsed, tuple(report))
    host.forget_if_finished(number)


def _client_disconnected(host: ReplayHost, values: Values) -> None:
    (number,) = values
    host.requests[number].client_disconnected()
    host.forget_if_finished(number)


def _health_check_finished(host: ReplayHost, values: Values) -> None:
    server, elapsed, outcome, report = values
    host.servers[server].health_check_finished(elapsed, AttemptOutcome(outcome), tuple(report))


def _answer_disputed(host: ReplayHost, values: Values) -> None:
    server, request_class, since = values
    host.servers[server].answer_disputed(request_class, since)


def _peer_outcome_received(host: ReplayHost, values: Values) -> None:
    server, *arguments = values
    host.router.peer_outcome_received(host.servers[server], *arguments)


def _peer_verdict_received(host: ReplayHost, values: Values) -> None:
    *arguments, verdict = values
    host.router.peer_verdict_received(*arguments, Verdict(verdict))


def _timer_fired(host: ReplayHost, values: Values) -> None:
    (timer,) = values
    host.timers.pop(timer)()


def _peer_stalled_classes_received(host: ReplayHost, values: Values) -> None:
    peer, request_classes = values
    host.router.peer_stalled_classes_received(peer, tuple(request_classes))


def _membership_changed(host: ReplayHost, values: Values) -> None:
    (members,) = values
    host.router.membership_changed(tuple(members))


EVENT_HANDLERS: dict[Event, Callable[[ReplayHost, Values], None]] = {
    Event.STARTED: _started,
    Event.SERVER_ADDED: _server_added,
    Event.ENDPOINT_UPDATED: _endpoint_updated,
    Event.ENDPOINT_LIST_RECEIVED: _endpoint_list_received,
    Event.ENDPOINT_POLL_FAILED: _endpoint_poll_failed,
    Event.RELEASE_STATE_RECEIVED: _release_state_received,
    Event.RELEASE_COUNTS_RECEIVED: _release_counts_received,
    Event.VOTE_ACKNOWLEDGED: _vote_acknowledged,
    Event.REQUEST_ACCEPTED: _request_accepted,
    Event.ATTEMPT_ENDED: _attempt_ended,
    Event.CLIENT_DISCONNECTED: _client_disconnected,
    Event.HEALTH_CHECK_FINISHED: _health_check_finished,
    Event.ANSWER_DISPUTED: _answer_disputed,
    Event.PEER_OUTCOME_RECEIVED: _peer_outcome_received,
    Event.PEER_VERDICT_RECEIVED: _peer_verdict_received,
    Event.TIMER_FIRED: _timer_fired,
    Event.PEER_STALLED_CLASSES_RECEIVED: _peer_stalled_classes_received,
    Event.MEMBERSHIP_CHANGED: _membership_changed,
}
