"""Keeps a watch on the endpoint list open, by calls that each deliver a list and then its changes.

The changes that are missed when a watch falls silent count as known to the instance 6 s after the last event
(`decisions.list_lease`). The watch is replaced within that time: the silence timeout, one failed call and a
second call take 2.5 + 1.5 + 1.5 s. If no list has arrived by then, the lease expires.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stepsail.decisions.call_pacing import CallFailure, CallPacing
from stepsail.decisions.list_lease import ListLease
from stepsail.loop import Loop, Task
from stepsail.platform.discovery_client import DiscoveryClient
from stepsail.platform.endpoint_list import EndpointListReceiver
from stepsail.platform.errors import PlatformError
from stepsail.platform.streaming_response import StreamingResponse
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.json_client import CallError

# Time in seconds without an event after which a watch is closed. Discovery sends keep-alives every 2 s.
SILENCE_TIMEOUT = 2.5
MIN_WATCH_INTERVAL = 0.3  # shortest time in seconds between the starts of two watches
MAX_LOGGED_ERROR = 200  # longest error text in a log line, in characters
MAX_LOGGED_CRASH = 500  # longest text of an unexpected exception in a log line, in characters


@dataclass(frozen=True, slots=True)
class CallBudget:
    """Limits of the calls that open a watch.

    Attributes:
        calls: Number of consecutive failed calls after which the call pacing delays the next call.
        list_timeout: Time in seconds from the start of a call within which the endpoint list has to arrive.
    """

    calls: int
    list_timeout: float


# The default limits. The timeout is long because many instances may call discovery at the same time, and
# discovery answers them one after the other.
DEFAULT_BUDGET = CallBudget(calls=1, list_timeout=3.0)
# Limits for replacing a watch. The timeout is short because the silence of the previous watch has already
# used up a part of the lease.
REPLACEMENT_BUDGET = CallBudget(calls=2, list_timeout=1.5)


@dataclass(slots=True)
class Watch:
    """The state of one watch.

    Attributes:
        called_at: Time at which the call that opened the watch was made.
        requested_index: Index of the current endpoint list when the call was made.
        lists_received: Number of lists received from all calls when this watch last delivered a list.
        last_event_at: Time at which the last event, a list or a keep-alive, arrived.
        connected: Whether discovery accepted the connection.
        established: Whether the watch has delivered a list, so that its keep-alives confirm the current list.
        only_keep_alives: Whether the watch has delivered keep-alives but no list.
        ended_by_peer: Whether discovery closed or reset the watch, rather than falling silent.
    """

    called_at: float
    requested_index: int
    lists_received: int
    last_event_at: float
    connected: bool = True
    established: bool = False
    only_keep_alives: bool = False
    ended_by_peer: bool = False


class EndpointWatcher:
    """Keeps a watch on the endpoint list open; `task` is None before the first start."""

    def __init__(
        self,
        loop: Loop,
        client: DiscoveryClient,
        receiver: EndpointListReceiver,
        lease: ListLease,
        pacing: CallPacing,
        host: DecisionHost,
        log: Logger,
    ) -> None:
        self.loop = loop
        self.client = client
        self.receiver = receiver
        self.lease = lease
        self.pacing = pacing
        self.host = host
        self.log = log
        self.task: Task | None = None

    def start(self) -> None:
        """Start to keep a watch open; do nothing if a watch is kept open already."""
        if self.task is None or self.task.done:
            delay = 0.0 if self.receiver.first_list_received.is_set else self.pacing.start_delay()
            self._spawn(DEFAULT_BUDGET, delay)

    def restart(self) -> None:
        """Close the watch and open another watch at once, because discovery has a new address."""
        if self.task:
            self.task.cancel()
        self._spawn(REPLACEMENT_BUDGET, 0.0)

    def _spawn(self, budget: CallBudget, delay: float) -> None:
        self.task = self.loop.spawn(self._run, budget, delay, name="discovery")

    def _run(self, budget: CallBudget, delay: float) -> None:
        """Open one watch after another until cancelled, each at the current list's index."""
        self.loop.sleep(delay)
        calls_left = budget.calls
        while True:
            started_at = self.loop.now()
            watch = self._run_watch(budget.list_timeout)
            if watch.established:
                self.pacing.succeeded()
                # If discovery closed the watch, there was no silence before its end, so there is time for
                # the default timeout.
                budget = DEFAULT_BUDGET if watch.ended_by_peer else REPLACEMENT_BUDGET
                calls_left = budget.calls
            else:
                self.lease.record_failed_call()
                calls_left -= 1
            if calls_left:
                self.loop.sleep(max(0.0, MIN_WATCH_INTERVAL - (self.loop.now() - started_at)))
                continue
            self.host.call_router(self.host.router.endpoint_poll_failed)
            failure = CallFailure.classify(watch.connected, self.loop.now() - watch.called_at)
            self.loop.sleep(self.pacing.next_delay(failure))
            budget = DEFAULT_BUDGET
            calls_left = budget.calls

    def _run_watch(self, list_timeout: float) -> Watch:
        """Run one watch until it ends, and return its state."""
        now = self.loop.now()
        watch = Watch(now, self.receiver.index, self.receiver.lists_received, last_event_at=now)
        try:
            with self.client.watch(self.receiver.index, list_timeout) as response:
                self._receive_events(watch, response, list_timeout)
        except (CallError, PlatformError) as error:
            self._record_end(watch, error)
        except Exception as error:  # A bug here must not leave the endpoint list outdated for ever.
            self._report_crash(error)
        finally:
            if watch.established:
                self.lease.watch_ended(self.loop.now(), watch.ended_by_peer)
        return watch

    def _receive_events(self, watch: Watch, response: StreamingResponse, list_timeout: float) -> None:
        while True:
            time_for_list = max(0.0, watch.called_at + list_timeout - self.loop.now())
            message = response.next_message(SILENCE_TIMEOUT if watch.established else time_for_list)
            self._handle_event(watch, message, response.received_at)

    def _handle_event(self, watch: Watch, message: Any, received_at: float) -> None:
        """Handle an event of a watch, which is a list or a keep-alive.

        Once the watch is established, a keep-alive confirms the current list.
        """
        watch.last_event_at = self.loop.now()
        if message is None and not watch.established:
            watch.only_keep_alives = True
            return
        if message is not None:
            applied = self.receiver.receive(message, watch.lists_received)
            watch.lists_received = self.receiver.lists_received
            if not applied:
                return
        if watch.established:
            self.lease.confirm(received_at, by_watch=True)
        else:
            self._establish(watch)

    def _establish(self, watch: Watch) -> None:
        # The lease is confirmed only as of the call, because discovery may have created the first list at any
        # time since then.
        self.lease.confirm(watch.called_at, by_watch=True)
        watch.established = True
        watch.only_keep_alives = False
        self.log.info(
            "watch_established",
            requested_index=watch.requested_index,
            duration=round(self.loop.now() - watch.called_at, 3),
        )

    def _report_crash(self, error: Exception) -> None:
        self.log.error("watch_crashed", error=repr(error)[:MAX_LOGGED_CRASH])

    def _record_end(self, watch: Watch, error: Exception) -> None:
        watch.connected = not isinstance(error, CallError) or error.may_have_run
        watch.ended_by_peer = self.loop.now() < watch.last_event_at + SILENCE_TIMEOUT
        # The watch has delivered no list, because discovery waits for a change. The next watch therefore
        # requests a snapshot.
        if watch.only_keep_alives:
            self.receiver.request_snapshot()
        self.log.warning(
            "watch_ended",
            error=str(error)[:MAX_LOGGED_ERROR],
            established=watch.established,
            index=self.receiver.index,
            duration=round(self.loop.now() - watch.called_at, 3),
            since_last_event=round(self.loop.now() - watch.last_event_at, 3),
        )
