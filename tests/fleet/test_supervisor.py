"""Tests which instances the supervisor starts, stops or kills, and when."""

from __future__ import annotations

import pytest

from stepsail.fleet.supervisor import (
    FIRST_BACKOFF,
    MAX_BACKOFF,
    STABLE_AFTER,
    START_TIMEOUT,
    STOP_TIMEOUT,
    InstanceAction,
    InstanceState,
    ProcessAction,
    Supervisor,
)


def supervisor_with_all_ready(count: int = 10, share: float = 0.2) -> Supervisor:
    """Return a supervisor whose instances are all ready at 0 s."""
    supervisor = Supervisor(count, share, 1, 0.0)
    assert supervisor.due_actions(0.0) == [InstanceAction(n, ProcessAction.START) for n in range(count)]
    for number in range(count):
        supervisor.instance_ready(number, 0.0)
    return supervisor


def test_backoff_doubles_up_to_its_maximum_and_resets_after_a_stable_run() -> None:
    supervisor, now, delays = supervisor_with_all_ready(), 1.0, []
    for _ in range(12):
        supervisor.instance_exited(3, 1, now)
        delay = supervisor.next_action_at() - now
        assert supervisor.due_actions(now + delay - 1e-6) == [] and supervisor.due_actions(now + delay) == [
            InstanceAction(3, ProcessAction.START)
        ]
        delays.append(delay)
        now += delay + 0.1
    assert all(
        FIRST_BACKOFF * 2**index / 2 <= delay <= min(MAX_BACKOFF, FIRST_BACKOFF * 2**index)
        or delay >= MAX_BACKOFF / 2
        for index, delay in enumerate(delays)
    )
    assert max(delays) <= MAX_BACKOFF
    supervisor.instance_ready(3, now)
    supervisor.instance_exited(3, 1, now + STABLE_AFTER + 1)
    assert supervisor.next_action_at() - now - STABLE_AFTER - 1 <= FIRST_BACKOFF


def test_instances_that_exit_together_do_not_start_together() -> None:
    supervisor = supervisor_with_all_ready(100)
    for number in range(100):
        supervisor.instance_exited(number, -9, 1.0)
    start_times = {round(instance.next_action_at, 3) for instance in supervisor.instances}
    assert len(start_times) > 50 and all(
        1.0 < start_time <= 1.0 + FIRST_BACKOFF for start_time in start_times
    )


def test_rolling_restart_keeps_unavailable_instances_within_the_share() -> None:
    supervisor, now, restarted = supervisor_with_all_ready(), 10.0, set[int]()
    # Instance 9 exits unexpectedly, and is not started again yet when the rolling restart begins.
    supervisor.instance_exited(9, 1, now)
    supervisor.restart_all()
    for _ in range(200):
        for action in supervisor.due_actions(now):
            assert sum(instance.state is not InstanceState.READY for instance in supervisor.instances) <= 2
            if action.action is ProcessAction.STOP:
                restarted.add(action.number)
                supervisor.instance_exited(action.number, 0, now)
        for instance in supervisor.instances:
            if instance.state is InstanceState.STARTING and now - instance.since > 0.5:
                supervisor.instance_ready(instance.number, now)
        now += 0.1
    # Instance 9 was started again after its backoff; the rolling restart did not have to stop it.
    assert restarted == set(range(9)) and not supervisor.restarting
    assert all(instance.state is InstanceState.READY for instance in supervisor.instances)


def test_rolling_restart_halts_at_an_instance_that_does_not_become_ready() -> None:
    supervisor, now = supervisor_with_all_ready(share=0.1), 10.0
    supervisor.restart_all()
    assert supervisor.due_actions(now) == [InstanceAction(0, ProcessAction.STOP)]
    supervisor.instance_exited(0, 0, now)
    assert supervisor.due_actions(now) == [InstanceAction(0, ProcessAction.START)]
    actions = [action for step in range(400) for action in supervisor.due_actions(now + step * 0.1)]
    assert (
        actions == [InstanceAction(0, ProcessAction.KILL)]
        and "instance 0 was not ready" in supervisor.halt_reason
        and not supervisor.restarting
    )


@pytest.mark.parametrize("ignores_stop", [False, True])
def test_stop_ends_all_instances_and_kills_those_that_do_not_exit(ignores_stop: bool) -> None:
    supervisor = supervisor_with_all_ready(3)
    supervisor.instance_exited(2, 1, 1.0)
    assert supervisor.stop_all(1.1) == [
        InstanceAction(0, ProcessAction.STOP),
        InstanceAction(1, ProcessAction.STOP),
    ]
    if ignores_stop:
        assert supervisor.due_actions(1.1 + STOP_TIMEOUT) == [
            InstanceAction(0, ProcessAction.KILL),
            InstanceAction(1, ProcessAction.KILL),
        ]
    for number in (0, 1):
        supervisor.instance_exited(number, 0, 30.0)
    assert supervisor.finished and supervisor.due_actions(1000.0) == []


def test_instance_that_is_not_ready_in_time_is_killed_and_counts_as_exited() -> None:
    supervisor = Supervisor(1, 1.0, 1, 0.0)
    supervisor.due_actions(0.0)
    assert supervisor.due_actions(START_TIMEOUT) == [InstanceAction(0, ProcessAction.KILL)]
    supervisor.instance_exited(0, -9, START_TIMEOUT + 0.1)
    assert (
        supervisor.instances[0].state is InstanceState.WAITING and supervisor.instances[0].exits_in_a_row == 1
    )
