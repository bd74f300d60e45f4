"""The umpires' own view of the fleet, decided without I/O: who is there, since when, who has gone."""

from stepsail.membership.members import Members
from stepsail.membership.records import Identity, Record, Standing
from stepsail.membership.terms import Promises, Terms
from stepsail.membership.view import Change, Present, View

__all__ = ["Change", "Identity", "Members", "Present", "Promises", "Record", "Standing", "Terms", "View"]
