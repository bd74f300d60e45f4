"""Tests of the detection of stalled classes and tenants."""

from __future__ import annotations

from helpers import FakeHost

from stepsail.decisions.gossip import JUDGE_COUNT
from stepsail.decisions.histogram import EDGES, OVERDUE
from stepsail.decisions.interface import (
    AttemptOutcome,
    ReleasePhase,
    Verdict,
)


def test_stalled_tenant_does_not_affect_other_tenants() -> None:
    # One tenant's requests waited at all servers. Their late answers narrowed the concurrency window until 19
    # of 20 requests of all tenants were rejected, got the servers ejected and counted as evidence against the
    # build on canary.
    host = FakeHost(
        builds=(1, 1, 1, 2), tenant_shares=(0.5, 0.5), burst_allowance=9.0, idempotent_only_stages=0
    )
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 0.5)
    pending, rejected, accepted = [], 0, 0
    for number in range(600):
        tenant = number % 2
        request = host.router.accept_request(number, 0, tenant, None, host.clock + 3.0, 0, False)
        pending.append((host.clock + (2.0 if tenant else 0.1), request))
        for _, due in [x for x in pending if x[0] <= host.clock]:
            if due.attempts and not due.attempts[0].ended:
                due.attempt_ended(0, AttemptOutcome.SERVED, True, host.clock - due.attempts[0].sent_at, ())
        pending = [x for x in pending if x[0] > host.clock]
        host.advance(0.05)
        if number > 200:
            accepted += not tenant
            rejected += not tenant and request in host.rejected
    detectors = host.router.stalls.detectors
    second_tenant = detectors[-2]  # the last detector is for unknown tenants
    assert second_tenant.stalled and not any(d.stalled for d in detectors if d is not second_tenant)
    assert rejected < 0.02 * accepted and host.router.admission.window > 3
    assert all(s.available() for s in host.servers) and (2, 0, Verdict.ROLL_BACK) not in host.votes
    stalled = [r for r, _, sent_at, _ in host.sent if sent_at > 120 and r.stall_detectors[1].stalled]
    assert 0 < len(stalled) < 60  # a few requests are sent to detect the end of the stall
    for _, due in pending:
        if due.attempts and not due.attempts[0].ended:
            due.attempt_ended(0, AttemptOutcome.SERVED, True, 2.0, ())
    for _ in range(300):
        request = host.router.accept_request(
            9000 + host.next_request_number(), 0, 1, None, host.clock + 3.0, 0, False
        )
        host.advance(0.1)
        if request.attempts and not request.attempts[0].ended:
            request.attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    assert not detectors[-1].stalled


def test_requests_of_a_stalled_class_are_rejected_at_once() -> None:
    host = FakeHost(builds=(1, 1), instance_count=10**6)
    host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    host.router.stalls.detectors[0].found_until, host.router.admission.window = host.clock + 9, 0.0
    requests = [host.accept(0) for _ in range(20)]
    assert set(requests) <= set(host.rejected) and len(host.sent) == 1
    assert host.accept(1) not in host.rejected


def test_overload_is_not_taken_for_a_stall() -> None:
    host = FakeHost(builds=(1, 1), tenant_shares=(0.5, 0.5))
    for number in range(200):
        host.router.admission.window = 4.0
        host.router.accept_request(number, number % 2, number // 2 % 2, None, host.clock + 3.0, 0, False)
        for attempt in list(host.router.admission.in_flight):
            attempt.request.attempt_ended(
                attempt.request.attempts.index(attempt), AttemptOutcome.SERVED, True, 2.0, ()
            )
        host.advance(0.1)
    assert not any(d.stalled for d in host.router.stalls.detectors)


def test_judge_finds_a_stalled_class_from_peers_outcomes_and_reports_it() -> None:
    # At one request a second, each of 400 instances sent several requests of a stalled class before it
    # detected the stall; together these occupied the servers.
    instance = FakeHost(builds=(1, 1), instance_count=400, gossip_enabled=True, cancel_allowed=False)
    judge = FakeHost(
        builds=(1, 1),
        instance_count=400,
        gossip_enabled=True,
        instance_index=instance.router.gossip.judges[0],
    )
    overdue = instance.accept(0)
    assert overdue.attempts
    instance.advance(1.6)  # past its latency objective of 0.75 s, before its client timeout of 3 s
    assert len(instance.outcomes_sent) == JUDGE_COUNT and instance.outcomes_sent[0][1][0][3] == OVERDUE
    judge.accept(1).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    for _ in range(12):
        judge.router.peer_outcome_received(judge.servers[0], 1, 0, OVERDUE)
        judge.router.peer_outcome_received(judge.servers[0], 1, 1, 3)
    judge.advance(0.3)
    assert judge.stalled_classes_sent == [[0]] and not judge.router.observations.recent.get(0)
    other = next(n for n in range(400) if n not in instance.router.gossip.judges)
    for peer, is_stalled in ((other, False), (judge.router.settings.instance_index, True)):
        instance.router.peer_stalled_classes_received(peer, (0, 77))
        assert (
            instance.router.stalls.detectors[0].stalled is is_stalled
            and not instance.router.stalls.detectors[1].stalled
        )
    instance.advance(2.6)
    assert not instance.router.stalls.detectors[0].stalled  # a report expires unless it is repeated


def test_peers_outcomes_stall_no_class_where_there_are_tenants() -> None:
    # One stalled tenant had all requests of a class rejected, as peers' reports name no tenant.
    judge = FakeHost(builds=(1, 1), instance_count=1, gossip_enabled=True, tenant_shares=(0.5, 0.5))
    judge.accept(1).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    for _ in range(12):
        judge.router.peer_outcome_received(judge.servers[0], 1, 0, OVERDUE)
        judge.router.peer_outcome_received(judge.servers[0], 1, 1, 3)
    assert not any(d.stalled for d in judge.router.stalls.detectors)


def test_overdue_attempt_counts_once() -> None:
    # Late attempts were reported both when overdue and when they ended. So a class under overload looked
    # stalled, and half of its requests were rejected.
    judge = FakeHost(builds=(1, 1), instance_count=1, gossip_enabled=True)
    judge.accept(1).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    for _ in range(40):
        for bin_index in (OVERDUE, len(EDGES) - 1, 3, 3):  # one of three attempts is late
            judge.router.peer_outcome_received(judge.servers[0], 1, 0, bin_index)
        judge.router.peer_outcome_received(judge.servers[0], 1, 1, 3)
    assert (
        not any(d.stalled for d in judge.router.stalls.detectors)
        and judge.router.stalls.detectors[0].own_late_share.mean() < 0.45
    )


def test_second_stalled_class_is_detected_while_another_is_stalled() -> None:
    # While one class was stalled, no other could be detected, and a second one occupied all servers for
    # twenty seconds.
    judge = FakeHost(builds=(1, 1), instance_count=1, gossip_enabled=True)
    judge.accept(1).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    for stalled in ((0,), (0, 1)):
        for _ in range(24):
            for class_index in range(3):
                bin_index = OVERDUE if class_index in stalled else 3
                judge.router.peer_outcome_received(judge.servers[0], 1, class_index, bin_index)
        assert [i for i, d in enumerate(judge.router.stalls.detectors[:3]) if d.stalled] == list(stalled)


def test_requests_of_unknown_tenants_do_not_count_for_a_known_tenant() -> None:
    # A tenant index beyond the known tenants counted as the last of them, which then looked stalled.
    host = FakeHost(tenant_shares=(0.6, 0.4), tenant_quotas=(9.0, 6.0))
    requests = [
        host.router.accept_request(number, 0, tenant, None, 103.0, 0, False)
        for number, tenant in enumerate((0, 1, 2))
    ]
    detectors, first_tenant = host.router.stalls.detectors, len(host.router.settings.request_classes)
    assert len(detectors) == first_tenant + 3
    assert [detectors.index(r.stall_detectors[1]) - first_tenant for r in requests] == [0, 1, 2]
