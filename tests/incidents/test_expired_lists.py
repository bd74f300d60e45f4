"""Tests for incident 1, on real processes: requests were sent to drained servers by lists that were too old.

These tests take the platform's documentation alone for when a change is in force: 6 s after discovery
received it and could be reached, or, if lists are pushed, at once.
"""

from __future__ import annotations

from pathlib import Path

from process_fleet import ProcessFleet

# s after discovery received a change and could be reached
CHANGE_IN_FORCE_AFTER = 6.0
# s after discovery is no longer overloaded: the longest pause between two calls, and the time of a call
RECOVERY_TIMEOUT = 6.0


def kill_and_restart(fleet: ProcessFleet, numbers: list[int]) -> None:
    """Kill instances at once, as if most of a fleet failed, then restart each with the list from before."""
    for number in numbers:
        fleet.instances[number].kill()
    fleet.loop.sleep(0.2)
    for number in numbers:
        fleet.instances[number].start()


def test_no_process_uses_an_expired_list(tmp_path: Path) -> None:
    # Discovery is overloaded and rejects all calls. The instances that were not killed used their list until
    # they received another one; the restarted instances considered the list from before their start valid 6 s
    # later.
    def test(fleet: ProcessFleet) -> None:
        fleet.discovery.is_overloaded = True
        fleet.discovery.end_watches()
        changed_at = fleet.discovery.change(fleet.drained, "draining")
        fleet.loop.sleep(0.5)
        kill_and_restart(fleet, [0, 1, 2])
        fleet.loop.sleep(changed_at + CHANGE_IN_FORCE_AFTER + 3.5 - fleet.loop.now())
        late = fleet.late_arrivals(changed_at + CHANGE_IN_FORCE_AFTER)
        assert not late, (late, fleet.logs())
        recovered_at = fleet.loop.now()
        fleet.discovery.is_overloaded = False
        fleet.wait_until(
            lambda: all(fleet.served_since(instance, recovered_at) for instance in fleet.instances),
            RECOVERY_TIMEOUT,
        )
        assert not fleet.late_arrivals(changed_at + CHANGE_IN_FORCE_AFTER)

    ProcessFleet(tmp_path, 6, test)


def test_process_without_a_watch_uses_no_pushed_list(tmp_path: Path) -> None:
    # With pushed lists, each change that the local agent received is in force whether or not a watch is open,
    # and from the start of a new process.
    def test(fleet: ProcessFleet) -> None:
        fleet.discovery.is_overloaded = True
        fleet.discovery.end_watches()
        fleet.loop.sleep(0.3)
        changed_at = fleet.discovery.change(fleet.drained, "draining")
        kill_and_restart(fleet, [0])
        fleet.loop.sleep(changed_at + 8.0 - fleet.loop.now())
        late = fleet.late_arrivals(changed_at)
        assert not late, (late, fleet.logs())
        recovered_at = fleet.loop.now()
        fleet.discovery.is_overloaded = False
        fleet.wait_until(
            lambda: all(fleet.served_since(instance, recovered_at) for instance in fleet.instances),
            RECOVERY_TIMEOUT,
        )
        assert not fleet.late_arrivals(changed_at)

    ProcessFleet(tmp_path, 3, test, RegistryMode="pushed")
