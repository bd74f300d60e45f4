"""Endpoint discovery: keeps the list of servers up to date by watches and polls, and maintains its lease."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stepsail.decisions.call_pacing import CallPacing
from stepsail.decisions.list_lease import LeaseTerms, ListLease, ListState
from stepsail.loop import Loop, Task
from stepsail.platform.discovery_client import DiscoveryClient
from stepsail.platform.endpoint_list import EndpointListReceiver
from stepsail.platform.endpoint_table import EndpointTable
from stepsail.platform.endpoint_watch import EndpointWatcher
from stepsail.platform.errors import PlatformError
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.json_client import CallError
from stepsail.settings.model import Address, InstanceSettings

MAX_LOGGED_ERROR = 200  # longest error text in a log line, in characters


class PlatformDiscovery:
    """Maintains the endpoint list of one instance; the router decides when to watch and when to poll.

    Attributes:
        receiver: Applies the endpoint lists from all watches and polls.
        watcher: Keeps a watch on the endpoint list open.
        lease: Determines until when requests may be routed according to the current endpoint list.
        poll_task: The poll in progress, or the last poll; None if no poll was started.
    """

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        log: Logger,
        address: Address,
        unix_offset: Callable[[], float],
    ) -> None:
        """Initialize without a call to discovery.

        `unix_offset` returns Unix time minus the loop's time in seconds.
        """
        self.loop = loop
        self.host = host
        self.log = log
        self.client = DiscoveryClient(loop, address)
        pushed = not settings.router.must_poll_endpoints
        self.lease = ListLease(LeaseTerms(pushed, settings.router.drain_grace, settings.unwatched_list_ttl))
        self.list_state = ListState.MISSING
        self.receiver = EndpointListReceiver(loop, settings, host, log, self.lease, unix_offset)
        # If endpoint lists are pushed, an agent serves this instance alone, so that its calls
        # compete with the calls of no other instance.
        callers = 1 if pushed else settings.router.instance_count
        pacing = CallPacing("discovery", settings.seed or 0, callers)
        self.watcher = EndpointWatcher(loop, self.client, self.receiver, self.lease, pacing, host, log)
        self.poll_task: Task | None = None

    @property
    def table(self) -> EndpointTable:
        """The servers of the current list."""
        return self.receiver.table

    @property
    def address(self) -> Address:
        """The address at which discovery is currently called."""
        return self.client.address

    def load_cached_list(self, message: Any) -> None:
        """Load the endpoint list from before the start if there is one.

        The list may be outdated, so that it does not confirm the lease.
        """
        if message is not None:
            self.receiver.receive(message, self.receiver.lists_received, cached=True)

    def is_list_usable(self) -> bool:
        """Return whether the current endpoint list may be used to route requests.

        A change of the lease's state is logged.
        """
        now = self.loop.now()
        state = self.lease.state(now)
        if state is not self.list_state:
            self.log.info(
                "endpoint_list_state",
                state=state.name.lower(),
                previous_state=self.list_state.name.lower(),
                index=self.receiver.index,
                confirmed_ago=round(now - self.lease.confirmed_at, 3),
            )
            self.list_state = state
        return self.lease.usable(now)

    def set_address(self, address: Address) -> None:
        """Apply the address of discovery from a new configuration.

        If the address has changed, the watch is restarted at the same list index.
        """
        changed = address != self.client.address
        self.lease.address_read(self.loop.now(), moved=changed)
        if changed:
            self.client.address = address
            self.watcher.restart()

    def watch(self) -> None:
        """Start to keep a watch on the endpoint list open."""
        self.watcher.start()

    def poll(self) -> None:
        """Request the endpoint list once.

        Nothing is done while a poll is in progress, because a second poll would return the same list.
        """
        if self.poll_task is None or self.poll_task.done:
            self.poll_task = self.loop.spawn(self._poll, name="poll discovery")

    def _poll(self) -> None:
        lists_received_at_call = self.receiver.lists_received
        called_at = self.loop.now()
        try:
            if self.receiver.receive(self.client.poll(), lists_received_at_call):
                self.lease.confirm(called_at, by_watch=False)
        except (CallError, PlatformError) as error:
            self.lease.record_failed_call()
            self.log.warning(
                "endpoint_poll_failed",
                error=str(error)[:MAX_LOGGED_ERROR],
                duration=round(self.loop.now() - called_at, 3),
            )
            self.host.call_router(self.host.router.endpoint_poll_failed)
