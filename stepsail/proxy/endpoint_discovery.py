"""Receives endpoint lists by polling or long polling, and passes them to the router in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stepsail.loop import Event, Loop, Task
from stepsail.proxy.backoff import Backoff
from stepsail.proxy.control_messages import ENDPOINT_LIST
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.endpoint_cache import EndpointCache, read_cache
from stepsail.proxy.json_client import CallError, JsonClient
from stepsail.proxy.trail_recorder import TrailRecorder
from stepsail.proxy.wire_names import ENDPOINT_GONE, ENDPOINT_READY, ENDPOINT_STATES
from stepsail.settings import InstanceSettings
from stepsail.trail.entries import EntryKind

# Longest time in seconds that discovery may delay its response to wait for a change of the endpoint list.
LONG_POLL_WAIT = 5.0
# Seconds by which the timeout of a call to discovery exceeds the time that discovery may delay its response.
LONG_POLL_SLACK = 2.0
# Timeout in seconds of a single request for the complete endpoint list.
POLL_TIMEOUT = 2.0
# Another value would change the random retry delays that are drawn for a given seed.
JITTER_SALT = "roster"
# Name used for each server's start in a cached endpoint list, instead of the name in that list.
CACHED_START = "kept"

# One entry of an endpoint list, as defined by `control_messages.ENDPOINT`.
Endpoint = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ServerStart:
    """Identifies one start of a server.

    Attributes:
        name: Name that the endpoint list gives to this start.
        started_at: Time of the start, on this instance's clock.
    """

    name: str
    started_at: float


class EndpointDiscovery:
    """Passes each endpoint list, complete or as changes, to the router in order of arrival.

    Attributes:
        sequence: Sequence number of the latest endpoint list; 0 before the first list and after a
            cached list.
        endpoints: Entries of the current endpoint list, by server address.
        has_endpoints: Event that is set once the endpoint list has had at least one entry.
    """

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        log: Logger,
        seed: int,
        trail_recorder: TrailRecorder,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.host = host
        self.log = log
        self.seed = seed
        self.trail_recorder = trail_recorder
        self.sequence = 0
        self.endpoints: dict[str, Endpoint] = {}
        self.known_starts: dict[str, ServerStart] = {}
        self.has_endpoints = Event(loop)
        self.watch_task: Task | None = None
        self.cache = EndpointCache(loop, settings.endpoint_cache_file, log, self._cacheable_endpoints)

    # -- calls to discovery ------------------------------------------------------------------------------

    def watch(self) -> None:
        """Start to receive changes of the endpoint list; has no effect while a watch is running."""
        if self.watch_task is None or self.watch_task.done:
            self.watch_task = self.loop.spawn(self._watch, name="watch endpoints")

    def _watch(self) -> None:
        client = JsonClient(self.loop, self.settings.discovery_address)
        backoff = Backoff(JITTER_SALT, self.seed)
        needs_complete_list = True
        try:
            while True:
                wait = 0.0 if needs_complete_list else LONG_POLL_WAIT
                after = 0 if needs_complete_list else self.sequence
                try:
                    endpoint_list = self._fetch_list(client, after, wait, wait + LONG_POLL_SLACK)
                except CallError as error:
                    self._poll_failed(error)
                    if self.settings.router.must_poll_endpoints:
                        return  # the router decides when to poll again
                    self.loop.sleep(backoff.next_delay())
                    needs_complete_list = True
                    continue
                backoff.reset()
                needs_complete_list = False
                self.apply_list(endpoint_list, is_cached=False)
        finally:
            client.close()

    def poll(self) -> None:
        """Request the complete endpoint list once."""
        self.loop.spawn(self._poll, name="poll endpoints")

    def _poll(self) -> None:
        client = JsonClient(self.loop, self.settings.discovery_address)
        try:
            self.apply_list(self._fetch_list(client, 0, 0.0, POLL_TIMEOUT), is_cached=False)
        except CallError as error:
            self._poll_failed(error)
        finally:
            client.close()

    def _fetch_list(self, client: JsonClient, after: int, wait: float, timeout: float) -> dict[str, Any]:
        instance = self.settings.router.instance_index
        target = f"/roster?after={after}&umpire={instance}&wait={wait:g}"
        endpoint_list: dict[str, Any] = client.call(b"GET", target.encode(), None, ENDPOINT_LIST, timeout)
        return endpoint_list

    def _poll_failed(self, error: CallError) -> None:
        self.log.warning("endpoint_poll_failed", error=str(error))
        self.host.call_router(self.host.router.endpoint_poll_failed)

    # -- events for the router ---------------------------------------------------------------------------

    def apply_list(self, endpoint_list: dict[str, Any], is_cached: bool) -> None:
        """Pass all entries of an endpoint list to the router, then report that the list was received.

        All these calls to the router see the same reading of the clock.
        """
        is_complete = endpoint_list["whole"]
        entries = endpoint_list["servers"]
        if not is_complete and endpoint_list["seq"] <= self.sequence:
            return
        if is_complete and not is_cached and not entries and self.endpoints:
            self.log.warning("endpoint_list_empty", before=len(self.endpoints))
        self.sequence = endpoint_list["seq"]
        if is_complete:
            self.endpoints = {}
        for entry in entries:
            address = entry["address"]
            previous_state = self.endpoints.get(address, {}).get("state")
            if entry["state"] != ENDPOINT_READY and entry["state"] != previous_state:
                self.trail_recorder.record(EntryKind.ENDPOINT_STATE, server=address, state=entry["state"])
            self.endpoints[address] = entry
        self.host.call_router(self._update_router, entries, is_complete, is_cached)
        if self.endpoints:
            self.has_endpoints.set()
        if not is_cached:
            self.cache.schedule_write()

    def _update_router(self, entries: list[Endpoint], is_complete: bool, is_cached: bool) -> None:
        for entry in entries:
            server = self.host.add_server(entry["address"].encode())
            if entry["zone"] not in self.settings.zones:
                self.log.warning("zone_unknown", server=entry["address"], zone=entry["zone"])
                continue
            server.update_endpoint(
                self.settings.zones.index(entry["zone"]),
                entry.get("cell", 0),
                entry["build"],
                ENDPOINT_STATES[entry["state"]],
                self._started_at(entry, is_cached),
                float(entry.get("size", 1.0)),
            )
        self.host.router.endpoint_list_received(is_complete, is_cached)

    def _started_at(self, entry: Endpoint, is_cached: bool) -> float:
        """Return when the server started, on this instance's clock.

        The time is computed only when this start of the server is first seen.

        The ages in a cached list are out of date. Its servers count as started now, so that a server that is
        warming up is not treated as warm.
        """
        start_name = CACHED_START if is_cached else entry.get("start", "")
        known_start = self.known_starts.get(entry["address"])
        if known_start and known_start.name == start_name:
            return known_start.started_at
        age = 0.0 if is_cached else entry.get("age")
        started_at = 0.0 if age is None else self.host.clock - float(age)
        self.known_starts[entry["address"]] = ServerStart(start_name, started_at)
        return started_at

    # -- cache on disk -----------------------------------------------------------------------------------

    def _cacheable_endpoints(self) -> list[Endpoint]:
        return [entry for entry in self.endpoints.values() if entry["state"] != ENDPOINT_GONE]

    def write_cache(self) -> None:
        """Write the endpoint list to disk before this process stops."""
        if self.endpoints:
            self.cache.write_now()

    def load_cache(self) -> bool:
        """Pass the cached endpoint list to the router; return False if there is no valid cached list."""
        endpoint_list = read_cache(self.settings.endpoint_cache_file)
        if endpoint_list is None:
            return False
        self.apply_list(endpoint_list, is_cached=True)
        self.sequence = 0
        return True
