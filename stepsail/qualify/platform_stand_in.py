"""Stand-ins for the platform's servers, discovery and release control, with faults that a run sets.

They implement the platform's published protocol. Servers record attempts, discovery the lists that it sent.
"""

from __future__ import annotations

from enum import Enum
from functools import partial
from typing import Any

import msgspec

from stepsail.http import ConnectionLimits, Request, ServerConnection, encode_response
from stepsail.http.message import chunk
from stepsail.loop import Listener, Loop, Stream
from stepsail.qualify.records import Arrival, ListChange, ListSent, Records
from stepsail.standins.instances import free_address

STREAM_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
RELEASE_STATE = {"build": 1, "stage": 1, "phase": "live", "cap": 1.0, "age_ms": 0}
BACKLOG = 1000  # connections
HEARTBEAT_INTERVAL = 2.0  # s
RELEASE_HEARTBEAT_INTERVAL = 1.0  # s
POLL_INTERVAL = 0.05  # s between two checks whether there is something to send on a watch
WRITE_TIMEOUT = 1.0  # s
HANG_TIME = 30.0  # s; longer than any client timeout
SLOW_TIME = 0.3  # s
OVERLOAD_WAIT = 0.5  # s until overloaded discovery answers a call with 503
MISSING_BYTES = 2  # bytes that a truncated answer lacks at its end
MILLISECONDS = 1000.0  # in a second
REJECTION_HEADER = (b"x-rejected", b"1")

# A server's entry in an endpoint list, and an endpoint list; the keys are the platform's names of fields.
Endpoint = dict[str, Any]
EndpointList = dict[str, Any]


class ServerFault(Enum):
    """How a server handles requests."""

    NONE = "answers at once"
    SLOW = "answers after a delay"
    HANGS = "accepts the request and does not answer"
    RESETS = "accepts the request and resets the connection"
    CUTS_SHORT = "closes the connection in the middle of its answer"
    ERRS = "answers 500"
    REJECTS = "rejects requests before they run"


class Server:
    """A stand-in for one server.

    Attributes:
        status: Status in endpoint lists, "up" or "draining".
        fault: How it handles the requests that arrive from now on.
        body: Body of its complete answers.
    """

    def __init__(self, loop: Loop, records: Records, name: str, zone: str) -> None:
        self.loop = loop
        self.records = records
        self.name = name
        self.zone = zone
        self.status = "up"
        self.fault = ServerFault.NONE
        self.body = b"served"
        self.listener = Listener(loop, free_address(), BACKLOG)
        loop.spawn(self.listener.serve, self._serve, "server", name=f"server {name}")

    def endpoint(self) -> Endpoint:
        """Return the server's entry in an endpoint list."""
        return {
            "name": self.name,
            "address": "{}:{}".format(*self.listener.address),
            "zone": self.zone,
            "type": "m2",
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": 0,
            "revision_no": 1,
        }

    def _serve(self, stream: Stream) -> None:
        connection = ServerConnection(self.loop, stream, ConnectionLimits())
        while (request := connection.next()) is not None:
            fault = self.fault
            self._record(request, fault)
            if not self._answer(stream, fault):
                return

    def _record(self, request: Request, fault: ServerFault) -> None:
        request_id = (request.header(b"x-call-id") or b"").decode()
        self.records.arrivals.append(
            Arrival(
                at=self.loop.now(),
                request_id=request_id,
                instance=request_id.partition("-")[0],
                server=self.name,
                zone=self.zone,
                ran=fault is not ServerFault.REJECTS,
                stated_budget=int(request.header(b"x-budget-ms") or 0) / MILLISECONDS,
            )
        )

    def _answer(self, stream: Stream, fault: ServerFault) -> bool:
        """Answer a request; return whether the connection stays open."""
        if fault is ServerFault.HANGS:
            self.loop.sleep(HANG_TIME)
        if fault is ServerFault.RESETS:
            stream.abort()
            return False
        if fault is ServerFault.SLOW:
            self.loop.sleep(SLOW_TIME)
        if fault is ServerFault.REJECTS:
            stream.write(encode_response(503, [REJECTION_HEADER], b"full"), WRITE_TIMEOUT)
        elif fault is ServerFault.ERRS:
            stream.write(encode_response(500, [], b"error"), WRITE_TIMEOUT)
        elif fault is ServerFault.CUTS_SHORT:
            stream.write(encode_response(200, [], self.body)[:-MISSING_BYTES], WRITE_TIMEOUT)
            return False
        else:
            stream.write(encode_response(200, [], self.body), WRITE_TIMEOUT)
        return True


class Discovery:
    """A stand-in for endpoint discovery.

    Each instance has addresses of its own, so that the records show which list was sent to which instance.

    Attributes:
        index: Number of the current endpoint list.
        is_overloaded: Calls are delayed and answered with 503.
        is_silent: Open watches stay open without data, and no call is answered.
        is_down: Connections are reset and new ones refused.
    """

    def __init__(self, loop: Loop, records: Records, servers: list[Server]) -> None:
        self.loop = loop
        self.records = records
        self.servers = servers
        self.index = 1
        self.is_overloaded = False
        self.is_silent = False
        self.is_down = False
        self._sent_index: dict[Stream, int] = {}  # index of the last list sent, by open watch
        self._listeners: dict[str, list[Listener]] = {}  # open addresses, the current one last, by instance

    def endpoint_list(self) -> EndpointList:
        """Return the current endpoint list."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [server.endpoint() for server in self.servers],
        }

    def open(self, instance: str) -> str:
        """Open another address for an instance and return it as HOST:PORT."""
        listener = self._listen(instance, free_address())
        if self.is_down:
            listener.drop()
        self._listeners.setdefault(instance, []).append(listener)
        return "{}:{}".format(*listener.address)

    def _listen(self, instance: str, address: tuple[str, int]) -> Listener:
        listener = Listener(self.loop, address, BACKLOG)
        self.loop.spawn(
            listener.serve, partial(self._serve, instance), "discovery", name=f"discovery of {instance}"
        )
        return listener

    def change(self, server: Server, status: str) -> float:
        """Change a server's status and return the time of the change."""
        server.status = status
        self.index += 1
        self.records.changes.append(ListChange(self.loop.now(), self.index, server.name, status))
        return self.loop.now()

    def end_watches(self) -> None:
        """Reset all open watches."""
        for stream in tuple(self._sent_index):
            stream.abort()

    def set_down(self, is_down: bool) -> None:
        """Reset all connections and refuse new ones, or listen again at the same addresses."""
        if is_down and not self.is_down:
            for listener in [item for listeners in self._listeners.values() for item in listeners]:
                listener.drop()
        elif self.is_down and not is_down:
            for instance, listeners in self._listeners.items():
                listeners[:] = [self._listen(instance, listener.address) for listener in listeners]
        self.is_down = is_down

    def close_all_but_last(self, instance: str) -> None:
        """Close an instance's earlier addresses of discovery, and their connections."""
        *previous, last = self._listeners[instance]
        for listener in previous:
            listener.drop()
        self._listeners[instance] = [last]

    def _serve(self, instance: str, stream: Stream) -> None:
        if ServerConnection(self.loop, stream, ConnectionLimits()).next() is None:
            return
        if self.is_overloaded:
            self.loop.sleep(OVERLOAD_WAIT)
            stream.write(encode_response(503, [], b""), WRITE_TIMEOUT)
            return
        while self.is_silent:
            self.loop.sleep(POLL_INTERVAL)
        stream.write(STREAM_HEAD, WRITE_TIMEOUT)
        try:
            self._watch(instance, stream)
        finally:
            self._sent_index.pop(stream, None)

    def _watch(self, instance: str, stream: Stream) -> None:
        """Send each new endpoint list on a watch, and heartbeats between them."""
        self._sent_index[stream] = 0
        sent_at = self.loop.now()
        while True:
            if self.is_silent:
                sent_at = self.loop.now()
            elif self._sent_index[stream] < self.index:
                self._sent_index[stream] = self.index
                sent_at = self.loop.now()
                stream.write(chunk(msgspec.json.encode(self.endpoint_list()) + b"\n"), WRITE_TIMEOUT)
                self.records.lists_sent.append(ListSent(sent_at, instance, self._sent_index[stream]))
            elif self.loop.now() >= sent_at + HEARTBEAT_INTERVAL:
                sent_at = self.loop.now()
                stream.write(chunk(b"\n"), WRITE_TIMEOUT)
            self.loop.sleep(POLL_INTERVAL)


class ReleaseControl:
    """A stand-in for release control: reports that one build is released, and then sends heartbeats."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.listener = Listener(loop, free_address(), BACKLOG)
        loop.spawn(self.listener.serve, self._serve, "release control", name="release control")

    @property
    def address(self) -> str:
        """The address of release control as HOST:PORT."""
        return "{}:{}".format(*self.listener.address)

    def _serve(self, stream: Stream) -> None:
        if ServerConnection(self.loop, stream, ConnectionLimits()).next() is None:
            return
        stream.write(STREAM_HEAD, WRITE_TIMEOUT)
        stream.write(
            chunk(msgspec.json.encode({"type": "ROLLOUT", "object": RELEASE_STATE}) + b"\n"), WRITE_TIMEOUT
        )
        while True:
            stream.write(chunk(b"{}\n"), WRITE_TIMEOUT)
            self.loop.sleep(RELEASE_HEARTBEAT_INTERVAL)
