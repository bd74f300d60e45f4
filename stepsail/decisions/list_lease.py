"""The lease on the endpoint list: until when an instance may send requests by the list that it has.

A list goes out of date. The platform expects an instance to act on each change some seconds after discovery
received it, whether or not the instance was notified: the change is in force. So an instance that hears
nothing may use its list for that time and no longer (a lease after Gray and Cheriton, 1989, with discovery as
the server). Once the lease has expired, any server may have been told to drain, and no server gets a request
until a list is confirmed again. A failed call never extends the lease: a refusal, a reset and a timeout look
the same whether discovery is down, overloaded or unreachable, and changes do not come into force only while
it is down.

All times are in seconds on one monotonic clock. The module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

# Seconds from when discovery receives a change until it is in force for an instance, notified or not, if
# discovery could be reached.
CHANGE_IN_FORCE_AFTER = 6.0
# Seconds from a new configuration until the changes at the new discovery address are in force.
MOVE_IN_FORCE_AFTER = 4.0
# Seconds from a new configuration until the old address is silent; it closes its connections in 1.5 s.
OLD_ADDRESS_CLOSED_AFTER = 2.0
# Seconds by which the lease is shortened: discovery writes changes to its watches some tenths of a second
# after it receives them.
WRITE_DELAY = 0.5
# Seconds by which the drain grace is shortened: the time from reading the clock to a request's first byte.
SEND_DELAY = 0.25
FAILED_CALL_FACTOR = 4.0  # factor of the time that an unwatched list may be used if the last call failed


class ListState(Enum):
    """How current the list of servers is."""

    MISSING = "no list has been confirmed since the start"
    CURRENT = "a watch is open and reports changes"
    UNCONFIRMED = "no watch is open; the lease on the last list has not expired"
    EXPIRED = "the lease has expired: any server may have been told to drain"


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The settings for endpoint lists. Times are in seconds.

    Attributes:
        pushed: Whether discovery pushes changes over a watch, rather than being polled.
        drain_grace: Time after a server was told to drain from which it must get no new requests.
        unwatched_ttl: Time for which a polled list may be used; 0 where the settings set no limit.
    """

    pushed: bool
    drain_grace: float
    unwatched_ttl: float


class ListLease:
    """One instance's lease on its endpoint list. Its methods must be called in the order of the events."""

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        self.confirmed_at = -inf  # the list holds all changes that discovery had sent by this time
        self.watch_ended_at: float | None = -inf  # None while a watch is open
        self.ended_by_peer = False  # whether discovery closed or reset the last watch
        self.call_failed = False  # whether the last call for a list failed
        # When changes at an address that has not confirmed a list yet are in force; `inf` if there is none.
        self.move_in_force_at = inf
        # A confirmation as of this time or later comes from the current address.
        self.address_current_from = inf
        # The two times above as they were before a configuration that has not been read yet.
        self.before_change: tuple[float, float] | None = None

    def confirm(self, as_of: float, by_watch: bool) -> None:
        """Renew the lease: the list holds at least all changes that discovery had sent by `as_of`."""
        self.confirmed_at = max(self.confirmed_at, as_of)
        self.call_failed = False
        if by_watch:
            self.watch_ended_at = None
        if as_of >= self.address_current_from:
            self.move_in_force_at = inf
            self.address_current_from = inf
            self.before_change = None

    def watch_ended(self, now: float, by_peer: bool) -> None:
        """Record the end of the open watch.

        Args:
            now: The current time.
            by_peer: Whether discovery closed or reset the watch. If not, this instance closed it, as it
                received no events or the address of discovery has changed.
        """
        self.watch_ended_at = now
        self.ended_by_peer = by_peer

    def record_failed_call(self) -> None:
        """Record that a call for a list or for a watch has failed."""
        self.call_failed = True

    def configuration_changed(self, now: float) -> None:
        """Record a new configuration that has not been read yet: discovery may have a new address."""
        self.before_change = self.before_change or (self.move_in_force_at, self.address_current_from)
        self.move_in_force_at = min(self.move_in_force_at, now + MOVE_IN_FORCE_AFTER)
        self.address_current_from = now + OLD_ADDRESS_CLOSED_AFTER

    def address_read(self, now: float, moved: bool) -> None:
        """Record that the new configuration has been read.

        If discovery has moved, it is called at its new address from `now` on. If not, the state from before
        the configuration is restored.
        """
        if moved:
            self.move_in_force_at = min(self.move_in_force_at, now + MOVE_IN_FORCE_AFTER)
            self.address_current_from = now
        elif self.before_change:
            self.move_in_force_at, self.address_current_from = self.before_change
        self.before_change = None

    def usable_until(self) -> float:
        """Return the time up to which the list may be used if no further event comes."""
        until = min(self.confirmed_at + CHANGE_IN_FORCE_AFTER, self.move_in_force_at) - WRITE_DELAY
        if self.watch_ended_at is None:
            return until
        if self.terms.pushed and self.ended_by_peer:
            # While no watch is open, a change is in force at once, and only the drain grace remains.
            return min(until, self.watch_ended_at + max(0.0, self.terms.drain_grace - SEND_DELAY))
        if not self.terms.pushed and self.terms.unwatched_ttl:
            ttl = self.terms.unwatched_ttl * (FAILED_CALL_FACTOR if self.call_failed else 1.0)
            until = min(until, self.confirmed_at + ttl - WRITE_DELAY)
        return until

    def usable(self, now: float) -> bool:
        """Whether a request may go to a server that is ready by the list."""
        return now < self.usable_until()

    def state(self, now: float) -> ListState:
        """Return how current the list is, for logs."""
        if self.confirmed_at == -inf:
            return ListState.MISSING
        if not self.usable(now):
            return ListState.EXPIRED
        return ListState.CURRENT if self.watch_ended_at is None else ListState.UNCONFIRMED
