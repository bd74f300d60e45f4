"""Whom an umpire's decisions reckon with, read off its view. No I/O, no clock: a rule over views."""

from __future__ import annotations

from stepsail.membership.view import View


class Counted:
    """`told`: how many umpires the settings name. What is read here may be late or wrong; it may cost service."""

    def __init__(self, told: int) -> None:
        self.told, self.settled = told, False
        self.present: tuple[int, ...] = ()

    def read(self, view: View) -> tuple[int, ...] | None:
        """The numbers of those who are there, in order, where that has changed; None where all stays as it was.

        Guards against a view that is only being made (nothing counts before it has settled once), and against a
        part that is cut off: it cannot know whether the others have ended or go on without it, and if each part
        took itself for the fleet, each would take all servers' room and decide on builds by what little it sees. So
        whoever does not see over half of the settings' umpires, or of those ever known, goes on as before. Harms
        where over half have ended: their part is not taken over until settings, or they, are brought up to date.
        """
        present = tuple(m.number for m in view.members)
        self.settled |= view.settled and len(present) > 1
        most = 2 * len(present) > max(self.told, len(present) + len(view.gone))
        if not self.settled or not most or view.displaced or present == self.present:
            return None
        self.present = present
        return present
