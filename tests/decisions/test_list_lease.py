"""Tests of the lease on the endpoint list: single rules, and random orders of losses and delays."""

from __future__ import annotations

import random

import pytest

from stepsail.decisions.list_lease import (
    CHANGE_IN_FORCE_AFTER,
    MOVE_IN_FORCE_AFTER,
    SEND_DELAY,
    WRITE_DELAY,
    LeaseTerms,
    ListLease,
    ListState,
)

GRACE = 0.5
POLLED = LeaseTerms(pushed=False, drain_grace=GRACE, unwatched_ttl=10.0)
PUSHED = LeaseTerms(pushed=True, drain_grace=GRACE, unwatched_ttl=0.0)


@pytest.mark.parametrize("terms", [POLLED, PUSHED])
def test_no_list_is_usable_before_the_first_confirmation(terms: LeaseTerms) -> None:
    lease = ListLease(terms)
    lease.record_failed_call()
    assert not lease.usable(0.0) and lease.state(0.0) is ListState.MISSING
    lease.confirm(0.0, by_watch=True)
    assert lease.usable(0.0) and lease.state(0.0) is ListState.CURRENT


@pytest.mark.parametrize("terms", [POLLED, PUSHED])
def test_lease_of_a_silent_watch_expires_before_unreported_changes_are_in_force(terms: LeaseTerms) -> None:
    lease = ListLease(terms)
    lease.confirm(10.0, by_watch=True)
    assert lease.usable(10.0 + CHANGE_IN_FORCE_AFTER - WRITE_DELAY - 0.01)
    assert lease.state(10.0 + CHANGE_IN_FORCE_AFTER) is ListState.EXPIRED
    # The instance closes the watch for lack of events, which does not change the lease.
    lease.watch_ended(12.5, by_peer=False)
    assert lease.usable_until() == 10.0 + CHANGE_IN_FORCE_AFTER - WRITE_DELAY


def test_failed_calls_do_not_extend_the_lease() -> None:
    lease = ListLease(POLLED)
    lease.confirm(10.0, by_watch=True)
    lease.watch_ended(11.0, by_peer=True)
    until = lease.usable_until()
    for _ in range(20):
        lease.record_failed_call()
    assert lease.usable_until() == until == 10.0 + CHANGE_IN_FORCE_AFTER - WRITE_DELAY
    assert lease.state(12.0) is ListState.UNCONFIRMED


@pytest.mark.parametrize(
    ("unwatched_ttl", "failed", "expected_ttl"),
    [(2.0, False, 1.5), (1.0, True, 3.5), (2.0, True, 5.5), (10.0, False, 5.5), (0.0, False, 5.5)],
)
def test_settings_may_shorten_the_lease_without_a_watch(
    unwatched_ttl: float, failed: bool, expected_ttl: float
) -> None:
    lease = ListLease(LeaseTerms(False, GRACE, unwatched_ttl))
    lease.confirm(10.0, by_watch=True)
    lease.watch_ended(10.1, by_peer=True)
    if failed:
        lease.record_failed_call()
    assert lease.usable_until() == pytest.approx(10.0 + expected_ttl)


def test_pushed_list_is_usable_for_the_drain_grace_after_discovery_ends_the_watch() -> None:
    lease = ListLease(PUSHED)
    lease.confirm(10.0, by_watch=True)
    lease.watch_ended(10.5, by_peer=True)
    assert lease.usable_until() == 10.5 + GRACE - SEND_DELAY
    lease.confirm(10.6, by_watch=False)  # a polled list reports no later changes
    assert lease.usable_until() == 10.5 + GRACE - SEND_DELAY
    lease.confirm(10.7, by_watch=True)
    assert lease.state(10.8) is ListState.CURRENT


def test_new_configuration_is_in_force_after_four_seconds_unless_the_new_address_confirms() -> None:
    lease = ListLease(POLLED)
    lease.confirm(10.0, by_watch=True)
    lease.configuration_changed(11.0)
    lease.confirm(11.5, by_watch=True)  # the old address still sends events
    assert lease.usable_until() == 11.0 + MOVE_IN_FORCE_AFTER - WRITE_DELAY
    lease.address_read(11.6, moved=True)
    lease.watch_ended(11.6, by_peer=False)
    assert lease.usable_until() == 11.0 + MOVE_IN_FORCE_AFTER - WRITE_DELAY
    lease.confirm(11.5, by_watch=False)  # the answer to an earlier call
    assert not lease.usable(15.0)
    lease.confirm(11.7, by_watch=True)
    assert lease.usable_until() == 11.7 + CHANGE_IN_FORCE_AFTER - WRITE_DELAY


def test_watch_lost_within_four_seconds_of_a_move_extends_nothing() -> None:
    # Changes at the new address are in force 4 s after a new configuration, and no watch reports them any
    # more.
    lease = ListLease(POLLED)
    lease.configuration_changed(11.0)
    lease.address_read(11.0, moved=True)
    lease.confirm(11.01, by_watch=True)
    lease.watch_ended(11.02, by_peer=True)
    assert lease.usable_until() <= 11.0 + MOVE_IN_FORCE_AFTER


def test_unread_configuration_limits_the_lease_until_the_old_address_would_have_closed() -> None:
    lease = ListLease(POLLED)
    lease.confirm(10.0, by_watch=True)
    lease.configuration_changed(11.0)
    lease.confirm(12.9, by_watch=True)
    assert not lease.usable(15.0)
    lease.confirm(13.1, by_watch=True)  # events still come from the old address: discovery has not moved
    assert lease.usable(15.0)


def test_second_configuration_with_the_same_address_does_not_change_the_first_move() -> None:
    lease = ListLease(POLLED)
    lease.confirm(10.0, by_watch=True)
    lease.configuration_changed(11.0)
    lease.address_read(11.0, moved=True)
    lease.configuration_changed(12.0)
    lease.configuration_changed(12.1)
    lease.address_read(12.2, moved=False)
    assert lease.usable_until() == 11.0 + MOVE_IN_FORCE_AFTER - WRITE_DELAY
    lease.confirm(12.3, by_watch=True)
    assert lease.usable(15.5)
    lease.configuration_changed(16.0)
    lease.address_read(16.0, moved=False)
    assert lease.usable_until() == 12.3 + CHANGE_IN_FORCE_AFTER - WRITE_DELAY


class SimulatedDiscovery:
    """Discovery for one instance: the changes that it was not notified of, and when each comes into force."""

    def __init__(self, pushed: bool) -> None:
        self.pushed, self.watch_open, self.silent, self.silent_since = pushed, False, False, 0.0
        self.closed_as_silent = False  # whether the instance closed the last watch for lack of events
        self.unreported: dict[float, float] = {}

    def change(self, now: float) -> None:
        is_immediate = self.pushed and not self.watch_open and not self.closed_as_silent
        self.unreported[now] = now if is_immediate else now + CHANGE_IN_FORCE_AFTER

    def report(self, written_at: float) -> None:
        """Report all changes up to `written_at`; the open watch brings the later ones."""
        self.unreported = {
            change: change + CHANGE_IN_FORCE_AFTER for change in self.unreported if change > written_at
        }


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_outdated_list_is_never_used_in_a_random_order_of_events(seed: int, pushed: bool) -> None:
    # In steps of 0.1 s, discovery may receive a change, send an event, fall silent, end a watch, reject a
    # call or answer late.
    generator, lease, discovery = (
        random.Random(seed),
        ListLease(PUSHED if pushed else POLLED),
        SimulatedDiscovery(pushed),
    )
    usable_steps = 0
    for step in range(1, 3000):
        now = step / 10.0
        if generator.random() < 0.05:
            discovery.change(now)
        if discovery.watch_open and not discovery.silent and generator.random() < 0.3:
            discovery.report(now)
            lease.confirm(now, by_watch=True)
        event = generator.random()
        if discovery.watch_open and event < 0.02 and not discovery.silent:
            discovery.silent, discovery.silent_since = True, now
        elif discovery.watch_open and event < 0.04:
            lease.watch_ended(now, by_peer=True)
            discovery.watch_open = discovery.silent = discovery.closed_as_silent = False
        elif discovery.silent and now > discovery.silent_since + 2.5:
            lease.watch_ended(now, by_peer=False)
            discovery.watch_open, discovery.silent, discovery.closed_as_silent = False, False, True
        elif not discovery.watch_open and event < 0.1:
            waited = generator.choice((0.0, 0.5, 2.0))
            discovery.watch_open = True
            discovery.report(now - generator.uniform(0.0, waited))
            lease.confirm(now - waited, by_watch=True)
        elif not discovery.watch_open and event < 0.4:
            lease.record_failed_call()
        if lease.usable(now):
            usable_steps += 1
            # A request that is sent now takes up to 0.15 s to arrive, which the drain grace covers.
            assert all(
                now + 0.15 < in_force_at + GRACE + 0.05 for in_force_at in discovery.unreported.values()
            ), (now, discovery.unreported)
    assert usable_steps > 300
