"""Applies the endpoint lists from all calls to discovery in the order of their index."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stepsail.decisions.interface import EndpointState
from stepsail.decisions.list_lease import ListLease
from stepsail.loop import Event, Loop
from stepsail.platform import wire_names
from stepsail.platform.endpoint_records import MAX_LISTING_DELAY, EndpointParser, EndpointUpdate
from stepsail.platform.endpoint_table import EndpointTable
from stepsail.platform.errors import MissedChanges
from stepsail.platform.json_fields import require, require_integer
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.settings.model import InstanceSettings

MAX_LOGGED_NAMES = 12  # most server names in one log line


class EndpointListReceiver:
    """Applies endpoint lists and ignores a list that a newer list has superseded.

    Attributes:
        index: Discovery's version number of the current list; 0 if there is no list or a snapshot is needed.
        lists_received: How many lists were applied, whichever call to discovery delivered them.
        first_list_received: Set once a list other than the cached list was applied.
    """

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        log: Logger,
        lease: ListLease,
        unix_offset: Callable[[], float],
    ) -> None:
        """Create a receiver; `unix_offset` returns Unix time minus the loop's time in seconds."""
        self.loop = loop
        self.host = host
        self.log = log
        self.lease = lease
        self.unix_offset = unix_offset
        self.index = 0
        self.lists_received = 0
        self.first_list_received = Event(loop)
        self.table = EndpointTable(loop, host)
        self.parser = EndpointParser(settings.zones, self.table.endpoints, log, self._to_loop_time)

    def receive(self, message: Any, lists_received_at_call: int, cached: bool = False) -> bool:
        """Apply one endpoint list.

        The list of another call may have arrived after the call for this list was made, and an outdated
        snapshot would make a draining server ready again. A list with a lower index than the current list is
        therefore applied only if no list was received since its call was made: in that case discovery has
        restarted its index.

        Args:
            message: The decoded list.
            lists_received_at_call: Value of `lists_received` when the call for this list was made.
            cached: Whether the list is from before the start.

        Returns:
            Whether the list was applied; False if it was superseded.

        Raises:
            InvalidField: The message is not a valid list.
            MissedChanges: The message contains changes to a list older than the current list, so that a
                snapshot is needed.
        """
        index = require_integer(message, wire_names.LIST_INDEX)
        snapshot = require(message, wire_names.LIST_IS_SNAPSHOT, bool)
        updates = self._parse_records(require(message, wire_names.LIST_ENDPOINTS, list))
        if not cached and index < self.index:
            if self.lists_received > lists_received_at_call:
                self.log.info("endpoint_list_outdated", index=index, current_index=self.index)
                return False
            self._accept_earlier_index(index, snapshot)
        self._log_list(index, updates, snapshot, cached)
        self.index = index
        self.lists_received += 1
        self.host.call_router(self.table.apply, updates, snapshot, cached)
        self.table.remove_expired()
        if not cached:
            self.first_list_received.set()
        return True

    def request_snapshot(self) -> None:
        """Make the next watch request a complete list instead of changes."""
        self.index = 0

    def _parse_records(self, records: list[Any]) -> list[EndpointUpdate]:
        updates = (self.parser.parse(record) for record in records)
        return [update for update in updates if update is not None]

    def _accept_earlier_index(self, index: int, snapshot: bool) -> None:
        current_index = self.index
        if not snapshot:
            self.request_snapshot()
            raise MissedChanges(index, current_index)
        self.log.warning("endpoint_index_reset", previous_index=current_index, index=index)

    def _log_list(self, index: int, updates: list[EndpointUpdate], snapshot: bool, cached: bool) -> None:
        unavailable = [
            update.name.decode() for update in updates if update.endpoint.state is not EndpointState.READY
        ]
        self.log.info(
            "endpoint_list_received",
            index=index,
            previous_index=self.index,
            snapshot=snapshot,
            cached=cached,
            endpoints=len(updates),
            unavailable=len(unavailable),
            first_unavailable=unavailable[:MAX_LOGGED_NAMES],
        )

    def _to_loop_time(self, unix_started_at: float) -> float:
        """Convert a server's start time from Unix time to the loop's clock.

        If the wall clock is stepped between the start and the listing, a server that is still warming up
        could seem to have started long ago. The result is therefore limited: a server that was not in the
        last confirmed list cannot have started much earlier than that list was confirmed.
        """
        started_at = min(unix_started_at - self.unix_offset(), self.loop.now())
        return max(started_at, self.lease.confirmed_at - MAX_LISTING_DELAY)
