"""The lease on the list, row by row and in drawn orders of loss and delay, against the page's reckoning."""

from __future__ import annotations

import random

import pytest

from stepsail.decisions.list_lease import (
    CHANGE_COUNTS_AFTER,
    MOVE_COUNTS_AFTER,
    SEND_DELAY,
    WRITE_DELAY,
    LeaseTerms,
    ListLease,
    ListState,
)

GRACE = 0.5
ASKED = LeaseTerms(pushed=False, drain_grace=GRACE, unwatched_ttl=10.0)
PUSHED = LeaseTerms(pushed=True, drain_grace=GRACE, unwatched_ttl=0.0)


@pytest.mark.parametrize("terms", [ASKED, PUSHED])
def test_no_list_is_usable_before_the_first_confirmation(terms: LeaseTerms) -> None:
    lease = ListLease(terms)
    lease.failed()
    assert not lease.usable(0.0) and lease.state(0.0) is ListState.MISSING
    lease.confirm(0.0, by_watch=True)
    assert lease.usable(0.0) and lease.state(0.0) is ListState.CURRENT


@pytest.mark.parametrize("terms", [ASKED, PUSHED])
def test_a_watch_that_says_nothing_more_is_good_for_less_than_what_counts_as_told(terms: LeaseTerms) -> None:
    lease = ListLease(terms)
    lease.confirm(10.0, by_watch=True)
    assert lease.usable(10.0 + CHANGE_COUNTS_AFTER - WRITE_DELAY - 0.01)
    assert lease.state(10.0 + CHANGE_COUNTS_AFTER) is ListState.EXPIRED
    lease.watch_ended(12.5, by_peer=False)  # given up for want of a word: the same
    assert lease.usable_until() == 10.0 + CHANGE_COUNTS_AFTER - WRITE_DELAY


def test_failed_calls_extend_nothing() -> None:
    lease = ListLease(ASKED)
    lease.confirm(10.0, by_watch=True)
    lease.watch_ended(11.0, by_peer=True)
    until = lease.usable_until()
    for _ in range(20):
        lease.failed()
    assert lease.usable_until() == until == 10.0 + CHANGE_COUNTS_AFTER - WRITE_DELAY
    assert lease.state(12.0) is ListState.UNCONFIRMED


@pytest.mark.parametrize(
    ("ask_within", "failed", "held"),
    [(2.0, False, 1.5), (1.0, True, 3.5), (2.0, True, 5.5), (10.0, False, 5.5), (0.0, False, 5.5)],
)
def test_without_a_watch_the_settings_may_hold_to_less(ask_within: float, failed: bool, held: float) -> None:
    lease = ListLease(LeaseTerms(False, GRACE, ask_within))
    lease.confirm(10.0, by_watch=True)
    lease.watch_ended(10.1, by_peer=True)
    if failed:
        lease.failed()
    assert lease.usable_until() == pytest.approx(10.0 + held)


def test_pushed_lists_are_good_for_the_grace_once_discovery_has_ended_the_watch() -> None:
    lease = ListLease(PUSHED)
    lease.confirm(10.0, by_watch=True)
    lease.watch_ended(10.5, by_peer=True)
    assert lease.usable_until() == 10.5 + GRACE - SEND_DELAY
    lease.confirm(10.6, by_watch=False)  # a list that was asked for tells of nothing that comes after it
    assert lease.usable_until() == 10.5 + GRACE - SEND_DELAY
    lease.confirm(10.7, by_watch=True)
    assert lease.state(10.8) is ListState.CURRENT


def test_a_new_configuration_counts_after_four_seconds_until_its_discovery_is_heard() -> None:
    lease = ListLease(ASKED)
    lease.confirm(10.0, by_watch=True)
    lease.configuration_changed(11.0)
    lease.confirm(11.5, by_watch=True)  # the address of before still speaks
    assert lease.usable_until() == 11.0 + MOVE_COUNTS_AFTER - WRITE_DELAY
    lease.address_read(11.6, moved=True)
    lease.watch_ended(11.6, by_peer=False)
    assert lease.usable_until() == 11.0 + MOVE_COUNTS_AFTER - WRITE_DELAY
    lease.confirm(11.5, by_watch=False)  # the answer to a call of before
    assert not lease.usable(15.0)
    lease.confirm(11.7, by_watch=True)
    assert lease.usable_until() == 11.7 + CHANGE_COUNTS_AFTER - WRITE_DELAY


def test_watch_lost_within_four_seconds_of_a_move_extends_nothing() -> None:
    # What discovery has to tell counts 4 s after a new configuration, and nobody tells it any more.
    lease = ListLease(ASKED)
    lease.configuration_changed(11.0)
    lease.address_read(11.0, moved=True)
    lease.confirm(11.01, by_watch=True)
    lease.watch_ended(11.02, by_peer=True)
    assert lease.usable_until() <= 11.0 + MOVE_COUNTS_AFTER


def test_a_configuration_that_stays_unread_counts_until_the_old_address_would_have_closed() -> None:
    lease = ListLease(ASKED)
    lease.confirm(10.0, by_watch=True)
    lease.configuration_changed(11.0)
    lease.confirm(12.9, by_watch=True)
    assert not lease.usable(15.0)
    lease.confirm(13.1, by_watch=True)  # it speaks on: discovery has not moved
    assert lease.usable(15.0)


def test_a_second_configuration_with_the_same_address_leaves_the_first_move_as_it_was() -> None:
    lease = ListLease(ASKED)
    lease.confirm(10.0, by_watch=True)
    lease.configuration_changed(11.0)
    lease.address_read(11.0, moved=True)
    lease.configuration_changed(12.0)
    lease.configuration_changed(12.1)
    lease.address_read(12.2, moved=False)
    assert lease.usable_until() == 11.0 + MOVE_COUNTS_AFTER - WRITE_DELAY
    lease.confirm(12.3, by_watch=True)
    assert lease.usable(15.5)
    lease.configuration_changed(16.0)
    lease.address_read(16.0, moved=False)
    assert lease.usable_until() == 12.3 + CHANGE_COUNTS_AFTER - WRITE_DELAY


class FarEnd:
    """Discovery as one instance meets it: changes that this one was not told of, and from when each counts."""

    def __init__(self, pushed: bool) -> None:
        self.pushed, self.watch_open, self.silent, self.silent_since = pushed, False, False, 0.0
        self.given_up_silent = False  # whether the last watch was given up as it fell silent
        self.untold: dict[float, float] = {}

    def change(self, now: float) -> None:
        at_once = self.pushed and not self.watch_open and not self.given_up_silent
        self.untold[now] = now if at_once else now + CHANGE_COUNTS_AFTER

    def tell(self, written_at: float) -> None:
        """All changes up to then are told; a later one comes on the watch that is open."""
        self.untold = {change: change + CHANGE_COUNTS_AFTER for change in self.untold if change > written_at}


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_no_drawn_order_of_events_lets_an_old_list_be_used(seed: int, pushed: bool) -> None:
    # In steps of 0.1 s discovery changes, speaks, falls silent, ends watches, turns calls away, answers late.
    draw, lease, far = random.Random(seed), ListLease(PUSHED if pushed else ASKED), FarEnd(pushed)
    used = 0
    for step in range(1, 3000):
        now = step / 10.0
        if draw.random() < 0.05:
            far.change(now)
        if far.watch_open and not far.silent and draw.random() < 0.3:
            far.tell(now)
            lease.confirm(now, by_watch=True)
        event = draw.random()
        if far.watch_open and event < 0.02 and not far.silent:
            far.silent, far.silent_since = True, now
        elif far.watch_open and event < 0.04:
            lease.watch_ended(now, by_peer=True)
            far.watch_open = far.silent = far.given_up_silent = False
        elif far.silent and now > far.silent_since + 2.5:
            lease.watch_ended(now, by_peer=False)
            far.watch_open, far.silent, far.given_up_silent = False, False, True
        elif not far.watch_open and event < 0.1:
            waited = draw.choice((0.0, 0.5, 2.0))
            far.watch_open = True
            far.tell(now - draw.uniform(0.0, waited))
            lease.confirm(now - waited, by_watch=True)
        elif not far.watch_open and event < 0.4:
            lease.failed()
        if lease.usable(now):
            used += 1
            # What is decided now is on its way for up to 0.15 s, and the grace covers that.
            assert all(now + 0.15 < at + GRACE + 0.05 for at in far.untold.values()), (now, far.untold)
    assert used > 300
