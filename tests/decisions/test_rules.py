"""Checks the router against a slow, simple reference model of the five rules, on generated histories."""

from __future__ import annotations

from typing import Any

from helpers import FakeHost
from hypothesis import example, given, settings
from hypothesis import strategies as st

from stepsail.decisions.interface import AttemptOutcome, DeduplicationScope, Idempotency, ReleasePhase
from stepsail.decisions.request import Request
from stepsail.decisions.server import Server

DID_NOT_RUN = {AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT}


class RuleModel(FakeHost):
    """Checks each attempt and final answer against the literal rules, using the complete history."""

    # s that an attempt takes to reach its server, where it counts towards the exposure limit
    arrival_delay = 0.0

    def __init__(self, **changed: Any) -> None:
        self.attempts: dict[int, list[dict[str, Any]]] = {}
        self.answered: set[int] = set()
        self.accepted_at: list[tuple[float, int]] = []
        self.canary_arrivals: list[tuple[float, int]] = []
        self.release_state = (2, 0, 0.2)
        self.canary_keys: set[int] = set()  # keys that the new build has answered
        super().__init__(builds=(1, 1, 1, 2, 2), **changed)

    def may_have_run(self, request: Request) -> list[dict[str, Any]]:
        return [a for a in self.attempts.setdefault(request.number, []) if a["end"] not in DID_NOT_RUN]

    def send_attempt(self, request: Any, server: Any, deadline: float) -> None:
        super().send_attempt(request, server, deadline)
        request_class = request.request_class
        assert request.number not in self.answered and self.clock < request.deadline
        assert server.state == 1
        earlier = self.may_have_run(request)
        assert all(a["end"] is not None for a in earlier)  # no hedging in this test
        if earlier and request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert (
                request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                and self.clock <= earlier[0]["at"] + request_class.key_window
            )
            assert (
                request_class.deduplication_scope is not DeduplicationScope.ZONE
                or earlier[0]["server"].zone == server.zone
            )
        build, stage, exposure_limit = self.release_state
        assert (
            not (self.router.settings.sticky_keys and request.key in self.canary_keys)
            or server.build >= build
        )
        if server.build >= build:
            assert exposure_limit > 0 and (stage >= 1 or request_class.idempotency is Idempotency.IDEMPOTENT)
            self.canary_arrivals.append((self.clock + self.arrival_delay, request_class.index))
            class_indices = [
                i for i in range(3) if not self.router.settings.exposure_per_class or i == request_class.index
            ]
            sent = sum(at > self.clock - 3.0 and c in class_indices for at, c in self.canary_arrivals)
            assert sent <= 2.0 + exposure_limit * sum(
                at > self.clock - 3.0 and c in class_indices for at, c in self.accepted_at
            )
        attempts = self.attempts.setdefault(request.number, [])
        attempts.append({"server": server, "at": self.clock, "end": None})

    def reject(self, request: Any, retry_after: float) -> None:
        assert request.number not in self.answered
        assert not self.may_have_run(request) or request.request_class.idempotency is Idempotency.IDEMPOTENT
        self.answered.add(request.number)

    def fail(self, request: Any) -> None:
        assert request.number not in self.answered
        self.answered.add(request.number)

    def end_attempt(self, request: Request, attempt_index: int, outcome: AttemptOutcome) -> None:
        attempt = self.attempts[request.number][attempt_index]
        if attempt["end"] is None:
            attempt["end"] = outcome
            if (
                outcome is AttemptOutcome.SERVED
                and attempt["server"].build >= self.release_state[0]
                and self.release_state[2] > 0
            ):
                self.canary_keys.add(request.key)
            is_final = outcome is AttemptOutcome.SERVED and request.number not in self.answered
            if is_final:
                self.answered.add(request.number)
            request.attempt_ended(attempt_index, outcome, is_final, self.clock - attempt["at"], ())


# Steps: t: accept a request, e: end an attempt, w: wait, r: list a server as ready, d: list it as draining,
# s: begin the next stage, b: roll the build back, n: disconnect a client.
STEPS = st.lists(
    st.tuples(st.sampled_from("ttttttteeeeewwrdsnb"), st.integers(0, 7), st.integers(0, 4)), max_size=120
)


@settings(derandomize=True, max_examples=120, deadline=None)
@given(STEPS, st.booleans(), st.booleans())
@example([("t", 0, 3), ("e", 0, 0), ("w", 0, 0)] * 60, False, True)  # the same key again and again
# A backlog of requests that were read late, and requests soon after it has left the exposure window; then
# attempts that count later, by the time that connecting takes.
@example([("t", 0, 3), ("e", 0, 0)] * 20 + [("w", 5, 0)] * 2 + [("t", 0, 0), ("e", 0, 0)] * 20, False, False)
@example(
    [("t", 3, 1), ("e", 0, 0)] * 20 + [("w", 7, 0)] * 7 + [("w", 5, 0)] + [("t", 3, 1), ("e", 0, 0)] * 20,
    False,
    False,
)
def test_router_does_only_what_the_reference_model_allows(
    steps: list[tuple[str, int, int]], exposure_per_class: bool, sticky_keys: bool
) -> None:
    model = RuleModel(exposure_per_class=exposure_per_class, sticky_keys=sticky_keys)
    model.receive_release_state(2, 0, ReleasePhase.CANARY, 0.2)
    requests: list[Request] = []
    for step, pick, server in steps:
        if step == "t":
            # s for which the request waited unread while the process was paused
            age = (0.0, 0.0, 0.4, 2.5)[(pick + server) % 4]
            model.arrival_delay = 0.125 * (pick % 5)
            model.accepted_at.append((model.clock - age, pick % 3))
            timeout = 0.3 + 0.4 * server
            key = 1 + (pick + server) % 4
            requests.append(
                model.router.accept_request(
                    len(requests), pick % 3, 0, None, model.clock + timeout, key, False, age
                )
            )
        elif step == "e" and requests:
            request = requests[-1 - pick % len(requests)]
            if model.attempts.get(request.number):
                model.end_attempt(request, len(model.attempts[request.number]) - 1, AttemptOutcome(pick))
        elif step == "w":
            model.advance(0.05 * (pick + 1))
        elif step == "r" or step == "d":
            updated: Server = model.servers[server]
            updated.update_endpoint(
                updated.zone, updated.cell, updated.build, int(step == "r"), model.clock - pick, 1.0
            )
            model.router.endpoint_list_received(False, False)
        elif step == "s":
            model.release_state = (2, 1, 0.6)
            model.receive_release_state(2, 1, ReleasePhase.CANARY, 0.6)
        elif step == "b":
            model.release_state = (2, 1, 0.0)
            model.canary_keys.clear()  # these keys may go to earlier builds again
            model.receive_release_state(2, 1, ReleasePhase.ROLLING_BACK, 0.0)
        elif step == "n" and requests:
            requests[pick % len(requests)].client_disconnected()
            model.answered.add(requests[pick % len(requests)].number)
        for request in requests:  # an attempt ends at the request's deadline at the latest
            for attempt_index, attempt in enumerate(model.attempts.get(request.number, [])):
                if attempt["end"] is None and model.clock >= request.deadline:
                    model.end_attempt(request, attempt_index, AttemptOutcome.TIMED_OUT)
    for _ in range(4):  # waiting requests may be sent once other attempts have ended
        for request in requests:
            for attempt_index, attempt in enumerate(model.attempts.get(request.number, [])):
                if attempt["end"] is None:
                    model.clock = max(model.clock, request.deadline)
                    model.end_attempt(request, attempt_index, AttemptOutcome.TIMED_OUT)
        model.advance(1.0)
    assert {r.number for r in requests} == model.answered
