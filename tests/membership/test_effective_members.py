"""Tests of which views of the membership the router's decisions are based on."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from stepsail.membership import EffectiveMembers, MembershipView, MemberState, MemberStatus


def make_view(
    present: list[int], dead: list[int] | None = None, settled: bool = True, displaced: bool = False
) -> MembershipView:
    members = tuple(MemberStatus(n, 1, "a", ("127.0.0.1", n), MemberState.ALIVE, 0.0) for n in present)
    return MembershipView(1, members, tuple(dead or ()), settled, len(present) <= len(dead or ()), displaced)


def test_no_view_is_adopted_before_one_with_another_member_has_settled() -> None:
    effective = EffectiveMembers(3)
    assert effective.update(make_view([0, 1, 2], settled=False)) is None
    assert (
        effective.update(make_view([0])) is None
    )  # no other member has answered: not a fleet of one instance
    assert effective.update(make_view([0, 1, 2])) == (0, 1, 2)
    assert effective.update(make_view([0, 1, 2])) is None  # unchanged
    # Once a view has settled, later views are adopted at once.
    assert effective.update(make_view([0, 1], [2], settled=False)) == (0, 1)


def test_view_without_a_majority_is_not_adopted() -> None:
    effective = EffectiveMembers(6)
    assert effective.update(make_view([0, 1, 2, 3, 4, 5])) == (0, 1, 2, 3, 4, 5)
    assert effective.update(make_view([0, 1, 2], [3, 4, 5])) is None  # exactly half is no majority
    assert effective.update(make_view([0, 1, 2, 3], [4, 5])) == (0, 1, 2, 3)
    assert effective.update(make_view([0, 1], [2, 3, 4, 5])) is None
    grown = EffectiveMembers(2)
    assert grown.update(make_view([0, 1, 2, 3, 4])) == (0, 1, 2, 3, 4)
    # Two members are a majority of the two configured instances, but not of the five known ones.
    assert grown.update(make_view([0, 1], [2, 3, 4])) is None


def test_view_of_a_displaced_process_is_not_adopted() -> None:
    effective = EffectiveMembers(3)
    assert effective.update(make_view([0, 1, 2], displaced=True)) is None


@given(st.integers(1, 12), st.lists(st.sets(st.integers(0, 11)), min_size=1, max_size=8))
def test_two_sides_of_a_partition_are_never_both_adopted(configured: int, sides: list[set[int]]) -> None:
    """Guards against both sides of a partition acting as the whole fleet.

    In each of several partitions, both sides regard the other one as dead; only a majority adopts its view.
    """
    effective = {n: EffectiveMembers(configured) for n in range(12)}
    for number in effective:
        assert effective[number].update(make_view(list(range(12)))) == tuple(range(12))
    for side in sides:
        adopted_views = set()
        for number in effective:
            present = sorted(side if number in side else set(range(12)) - side)
            adopted = effective[number].update(make_view(present, sorted(set(range(12)) - set(present))))
            if adopted is not None:
                assert adopted == tuple(present)
                adopted_views.add(adopted)
        assert len(adopted_views) <= 1 and all(
            2 * len(adopted) > max(configured, 12) for adopted in adopted_views
        )
