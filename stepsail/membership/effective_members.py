"""Selects the members on which the router's decisions are based."""

from __future__ import annotations

from stepsail.membership.view import MembershipView


class EffectiveMembers:
    """Follows the membership view, but only while this instance can rely on it.

    Attributes:
        configured_count: Number of instances in the settings.
        has_settled: Whether any view so far was settled and had another present member.
        present: Instance numbers of the present members of the last view that was adopted, in order.
    """

    def __init__(self, configured_count: int) -> None:
        self.configured_count = configured_count
        self.has_settled = False
        self.present: tuple[int, ...] = ()

    def update(self, view: MembershipView) -> tuple[int, ...] | None:
        """Return the numbers of the present instances, in order, or None if they have not changed.

        A view is adopted only after a view with another present member has once been settled, and only if the
        present members are a majority both of the configured instances and of all known members. The minority
        side of a partition cannot know whether the other instances have died. If each side regarded itself as
        the whole fleet, each would use all of the servers' capacity, and would judge builds by its few
        requests. So if more than half of the fleet has died, the remaining instances do not take over the
        share of the dead instances until the settings change.
        """
        present = tuple(member.instance for member in view.members)
        if view.settled and len(present) > 1:
            self.has_settled = True
        known_count = len(present) + len(view.dead)
        has_majority = 2 * len(present) > max(self.configured_count, known_count)
        if not self.has_settled or not has_majority or view.displaced or present == self.present:
            return None
        self.present = present
        return present
