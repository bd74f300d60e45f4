"""Stores the servers of the current endpoint list and reports them to the router."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from stepsail.decisions.interface import EndpointState
from stepsail.loop import Loop
from stepsail.platform.endpoint_records import Endpoint, EndpointUpdate
from stepsail.proxy.decision_host import DecisionHost
from stepsail.settings.model import Address

# Time in seconds after which a server that is gone is removed. Late results of attempts at the server have
# arrived by then.
GONE_ENDPOINT_TTL = 30.0


class EndpointTable:
    """The servers of the endpoint list, keyed by name.

    `on_stale_connections` is called with the name of a server whose connections have become unusable.
    """

    def __init__(self, loop: Loop, host: DecisionHost) -> None:
        self.loop = loop
        self.host = host
        self.endpoints: dict[bytes, Endpoint] = {}
        self.on_stale_connections: Callable[[bytes], None] = _do_nothing

    def locate(self, name: bytes) -> tuple[Address, object]:
        """Return a server's address and identity; attempts assigned under another identity are stale."""
        endpoint = self.endpoints[name]
        return endpoint.address, endpoint.identity

    def apply(self, updates: Iterable[EndpointUpdate], snapshot: bool, cached: bool) -> None:
        """Apply the updates of one endpoint list and report them to the router with one clock reading.

        Args:
            updates: The updates that the list contains.
            snapshot: Whether the list is complete, so that servers without a record are gone.
            cached: Whether the list is from before the start.
        """
        updates = list(updates)
        if snapshot:
            self._mark_missing_as_gone({update.name for update in updates})
        for update in updates:
            self._apply_update(update)
        self.host.router.endpoint_list_received(snapshot, cached)

    def remove_expired(self) -> None:
        """Remove servers that are long gone from this table and the host, in order to bound memory use."""
        gone_before = self.loop.now() - GONE_ENDPOINT_TTL
        expired = [
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.state is EndpointState.GONE and endpoint.gone_at < gone_before
        ]
        for name in expired:
            if not self._has_open_attempt(name.decode()):
                del self.endpoints[name]
                self.host.servers.pop(name, None)

    def _mark_missing_as_gone(self, listed: set[bytes]) -> None:
        for name in [name for name in self.endpoints if name not in listed]:
            endpoint = self.endpoints[name]
            if endpoint.state is not EndpointState.GONE:
                endpoint.state = EndpointState.GONE
                endpoint.gone_at = self.host.clock
                self.on_stale_connections(name)

    def _apply_update(self, update: EndpointUpdate) -> None:
        endpoint = update.endpoint
        previous = self.endpoints.get(update.name)
        if previous is None and endpoint.state is EndpointState.GONE:
            return
        if previous is not None and previous.identity != endpoint.identity:
            self.on_stale_connections(update.name)
        self.endpoints[update.name] = endpoint
        self.host.add_server(update.name).update_endpoint(
            endpoint.zone, update.cell, endpoint.build, endpoint.state, endpoint.started_at, update.weight
        )
        if endpoint.state is EndpointState.GONE:
            endpoint.gone_at = self.host.clock

    def _has_open_attempt(self, name: str) -> bool:
        return any(
            attempt.server == name for request in self.host.in_flight.values() for attempt in request.attempts
        )


def _do_nothing(name: bytes) -> None:
    """Do nothing, because there are no connections to servers yet."""
