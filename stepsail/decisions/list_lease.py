"""The lease on the endpoint list: until when a router instance may send requests to the servers on its list.

An endpoint list goes out of date. Some seconds after discovery received a change, the change is in force: the
platform expects each instance to act on the change, whether or not the instance was notified. So an instance
that hears nothing from discovery may use its list for that time and no longer (a lease after Gray
and Cheriton, 1989, with discovery as the server). Once the lease has expired, any server may have been told
to drain, and no server gets a request until an endpoint list is confirmed again. A failed call to discovery
never extends the lease. A refusal, a reset and a timeout look the same whether discovery is down, overloaded
or unreachable, and only while discovery is down do changes not come into force.

All times are in seconds on one monotonic clock. The module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

# If discovery can be reached, a change of the endpoint list is in force this many seconds after discovery
# received the change: each instance must then act on it, whether or not the instance was notified.
CHANGE_IN_FORCE_AFTER = 6.0
# Seconds from a new configuration, which may give discovery a new address, until the changes of the endpoint
# list at the new address are in force.
MOVE_IN_FORCE_AFTER = 4.0
# Seconds from a new configuration until discovery sends nothing more from its old address. Discovery closes
# the connections at the old address within 1.5 s.
OLD_ADDRESS_CLOSED_AFTER = 2.0
# Seconds by which the lease on the endpoint list is shortened, because discovery writes changes to the open
# watches only some tenths of a second after it received the changes.
WRITE_DELAY = 0.5
# Seconds by which the drain grace period is shortened, to allow for the time between reading the clock and
# sending the first byte of a request.
SEND_DELAY = 0.25
# If the last call to discovery failed, an endpoint list may be used without a watch for this many times as
# long as otherwise.
FAILED_CALL_FACTOR = 4.0


class ListState(Enum):
    """How current the endpoint list (the list of servers) is."""

    MISSING = "no list has been confirmed since the start"
    CURRENT = "a watch is open and reports changes"
    UNCONFIRMED = "no watch is open; the lease on the last list has not expired"
    EXPIRED = "the lease has expired: any server may have been told to drain"


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The settings that limit the use of an endpoint list.

    All times are in seconds.

    Attributes:
        pushed: Whether discovery pushes changes of the endpoint list over a watch. If not, discovery is
            polled.
        drain_grace: Drain grace period: the time after a server was told to drain during which the server
            may still get new requests.
        unwatched_ttl: Time for which an endpoint list from polling may be used; 0 if the settings set no
            limit.
    """

    pushed: bool
    drain_grace: float
    unwatched_ttl: float


class ListLease:
    """The lease of one router instance on its endpoint list.

    The methods that record events must be called in the order in which the events happened.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        # The endpoint list contains all changes that discovery had sent up to this time.
        self.confirmed_at = -inf
        # Time at which the last watch on the endpoint list ended; None while a watch is open.
        self.watch_ended_at: float | None = -inf
        self.ended_by_peer = False  # whether discovery closed or reset the last watch on the endpoint list
        self.call_failed = False  # whether the last call to discovery for an endpoint list or a watch failed
        # Time at which the changes at a new discovery address are in force, while no endpoint list from this
        # address has been confirmed; `inf` if there is no such address.
        self.move_in_force_at = inf
        # If the endpoint list is confirmed as of this time or later, the confirmation comes from the current
        # address of discovery.
        self.address_current_from = inf
        # While a new configuration has not been read: `move_in_force_at` and `address_current_from` from
        # before this configuration.
        self.before_change: tuple[float, float] | None = None

    def confirm(self, as_of: float, by_watch: bool) -> None:
        """Renew the lease on an endpoint list that contains all changes discovery had sent up to `as_of`."""
        self.confirmed_at = max(self.confirmed_at, as_of)
        self.call_failed = False
        if by_watch:
            self.watch_ended_at = None
        if as_of >= self.address_current_from:
            self.move_in_force_at = inf
            self.address_current_from = inf
            self.before_change = None

    def watch_ended(self, now: float, by_peer: bool) -> None:
        """Record the end of the open watch on the endpoint list.

        Args:
            now: The current time.
            by_peer: Whether discovery closed or reset the watch. If not, this instance closed the watch
                because it received no events or because the address of discovery has changed.
        """
        self.watch_ended_at = now
        self.ended_by_peer = by_peer

    def record_failed_call(self) -> None:
        """Record that a call to discovery for an endpoint list or for a watch has failed."""
        self.call_failed = True

    def configuration_changed(self, now: float) -> None:
        """Record a new configuration that has not been read yet and may give discovery a new address."""
        self.before_change = self.before_change or (self.move_in_force_at, self.address_current_from)
        self.move_in_force_at = min(self.move_in_force_at, now + MOVE_IN_FORCE_AFTER)
        self.address_current_from = now + OLD_ADDRESS_CLOSED_AFTER

    def address_read(self, now: float, moved: bool) -> None:
        """Record that the new configuration has been read.

        If discovery has moved, it is called at its new address from `now` on. If discovery has not moved, the
        times from before the new configuration are restored.
        """
        if moved:
            self.move_in_force_at = min(self.move_in_force_at, now + MOVE_IN_FORCE_AFTER)
            self.address_current_from = now
        elif self.before_change:
            self.move_in_force_at, self.address_current_from = self.before_change
        self.before_change = None

    def usable_until(self) -> float:
        """Return the time up to which the endpoint list may be used if no further event is recorded."""
        until = min(self.confirmed_at + CHANGE_IN_FORCE_AFTER, self.move_in_force_at) - WRITE_DELAY
        if self.watch_ended_at is None:
            return until
        if self.terms.pushed and self.ended_by_peer:
            # While no watch is open, a change of the endpoint list is in force at once, so the list may be
            # used only for the drain grace period.
            return min(until, self.watch_ended_at + max(0.0, self.terms.drain_grace - SEND_DELAY))
        if not self.terms.pushed and self.terms.unwatched_ttl:
            ttl = self.terms.unwatched_ttl * (FAILED_CALL_FACTOR if self.call_failed else 1.0)
            until = min(until, self.confirmed_at + ttl - WRITE_DELAY)
        return until

    def usable(self, now: float) -> bool:
        """Whether a request may be sent to a server that the endpoint list shows as ready."""
        return now < self.usable_until()

    def state(self, now: float) -> ListState:
        """Return how current the endpoint list is, for use in log messages."""
        if self.confirmed_at == -inf:
            return ListState.MISSING
        if not self.usable(now):
            return ListState.EXPIRED
        return ListState.CURRENT if self.watch_ended_at is None else ListState.UNCONFIRMED
