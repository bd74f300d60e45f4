"""Connections to the servers, and the relays on them."""

from __future__ import annotations

import errno
from collections import deque

import msgspec

from stepsail.charter import Orders
from stepsail.charter.orders import Address
from stepsail.http import BadMessage, Bounds, Outlet, Progress, Request, Response, encode_request
from stepsail.http.message import Headers, encode_request_start, end_to_end
from stepsail.interface import Outcome, ServerHandle
from stepsail.loop import Cancelled, Channel, Closed, Loop, Stream, Task, TimedOut
from stepsail.umpire.endings import NOT_RUN, Close, outcome
from stepsail.umpire.host import Held, Host

PARTS = 4  # parts of a large answer that may wait for a slow client
SWEEP = 1.0  # s between looks at idle connections
REPORT = b"endpoint-load-metrics"  # ORCA's header; the text form is `TEXT name=value, …`
ORCA_NAMES = {"q": "named_metrics.queue", "rif": "named_metrics.inflight", "busy": "cpu_utilization",
              "lat_ms": "named_metrics.latency_ms"}
OURS = (b"host", b"request-timeout")  # headers that each hop writes anew
MOST_REPORT = 2000  # bytes of a load report that are read
PROBE_TARGET, PROBE_WITHIN, MOST_PROBES = b"/.stepsail/load", 0.25, 64  # path; s; probes at once


def read_report(headers: Headers, columns: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a load report by the charter's columns; empty unless all are there and are numbers."""
    if not columns:
        return ()
    text = next((value for name, value in headers if name == REPORT), b"")[:MOST_REPORT].decode("latin-1")
    form, _, rest = text.partition(" ")
    values: dict[str, float] = {}
    try:
        if form == "JSON":
            found = msgspec.json.decode(rest, type=dict[str, float | dict[str, float]])
            for key, value in found.items():
                inner = value.items() if isinstance(value, dict) else ()
                values |= {key: value} if isinstance(value, float) else {f"{key}.{k}": v for k, v in inner}
        elif form == "TEXT":
            values = {k.strip(): float(v) for k, v in (part.split("=", 1) for part in rest.split(","))}
        return tuple(values[ORCA_NAMES[c]] for c in columns)
    except (ValueError, KeyError, msgspec.MsgspecError):
        return ()


class Node:
    """The connections to one server: idle ones, latest used last, and how many there are in all."""

    def __init__(self, address: bytes) -> None:
        host, port = address.decode().rsplit(":", 1)
        self.address, self.to = address, (host, int(port))
        self.idle: deque[Outlet] = deque()
        self.open = 0


class PartsFlow:
    """An answer's parts on their way from a relay's task to the door's."""

    def __init__(self, parts: Channel[bytes]) -> None:
        self.parts, self.begun, self.done = parts, False, False

    def more(self, within: float) -> bytes:
        """Closed where the relay ended before the answer did."""
        self.begun = True
        part = self.parts.get(within)
        self.done = not part
        return part


class Nodes:
    """Bounds: `connections` to each server, in use or idle; idle ones end after `idle_for`."""

    def __init__(self, loop: Loop, orders: Orders, host: Host) -> None:
        self.loop, self.orders, self.host = loop, orders, host
        self.bounds = Bounds(orders.most_head, orders.most_body, orders.hold)
        self.nodes: dict[bytes, Node] = {}
        self.via = b"1.1 umpire-%d" % orders.charter.me
        self.probes, self.connects = 0, 0
        self.streaming: dict[int, Outlet] = {}  # connections whose answers are being passed on

    def node(self, address: bytes) -> Node:
        found = self.nodes.get(address)
        if found is None:
            found = self.nodes[address] = Node(address)
        return found

    def relay(self, held: Held, server: ServerHandle, until: float) -> Task:
        number = len(held.relays)
        return self.loop.spawn(self._relay, held, number, self.node(server.address), until, name="relay")

    def _relay(self, held: Held, number: int, node: Node, until: float) -> None:
        start, progress = self.loop.now(), Progress()
        until = min(until, held.until)
        answer: Response | None = None
        try:
            close, answer = self._exchange(held, node, until, progress)
        except Cancelled:
            close = Close.WITHDRAWN
        if close is Close.ANSWERED and answer and answer.flow:
            close = self._pass_on(held, number, node, answer, until)
        says = answer is not None and any(name == NOT_RUN for name, _ in answer.headers)
        ended = outcome(close, progress.written, answer.status if answer else 0, says)
        report = read_report(answer.headers, self.orders.charter.report_columns) if answer else ()
        if answer is not None and ended is Outcome.HANDLED and number != held.streams:
            self._mark(answer, node)
        self.host.relay_ended(held, number, ended, self.loop.now() - start, report, answer)

    def _mark(self, answer: Response, node: Node) -> None:
        answer.headers = [*end_to_end(answer.headers), (b"via", b"%s (%s)" % (self.via, node.address))]

    def _pass_on(self, held: Held, number: int, node: Node, answer: Response, until: float) -> Close:
        """A large answer goes to the client as it comes. From its first byte on it is the final answer; should
        it break, the client's connection is reset. A client that reads slowly holds up the server in turn."""
        flow, outlet, loop = answer.flow, self.streaming.pop(id(answer)), self.loop
        assert flow
        parts: Channel[bytes] = Channel(loop, PARTS)
        close = Close.BROKE
        try:
            if answer.status >= 500 or held.closed:
                return Close.ANSWERED if answer.status >= 500 else Close.BROKE
            self._mark(answer, node)
            answer.flow, held.streams = PartsFlow(parts), number
            held.close("handled", answer)
            while part := flow.more(max(0.0, until - loop.now())):
                parts.put(part, max(0.0, until - loop.now()))
            parts.put(b"", max(0.0, until - loop.now()))
            close = Close.ANSWERED
        except TimedOut:
            close = Close.TIME_OVER
        except (OSError, Closed, BadMessage):
            close = Close.BROKE
        finally:
            parts.close()
            self._put_back(node, outlet)
        return close

    def _exchange(self, held: Held, node: Node, until: float,
                  progress: Progress) -> tuple[Close, Response | None]:
        """One relay. Only a connection on which not one byte was written is changed for another."""
        while True:
            begun = held.request.flow is not None and held.request.flow.begun
            if held.closed or self.loop.now() >= until or begun:
                return Close.NOT_BEGUN, None  # also where part of the body has gone to another server
            try:
                outlet = self._outlet(node, until)
            except TimedOut:
                return Close.NO_CONNECTION, None
            except OSError as trouble:
                # Our own want of descriptors or ports is no fault of the server's.
                ours = trouble.errno in (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS)
                return Close.NOT_BEGUN if ours else Close.NO_CONNECTION, None
            if outlet is None:
                return Close.NOT_BEGUN, None
            # The last look before the first byte: the client may have left, or another copy have answered,
            # or this process have stood still, while the connection was made.
            now = self.loop.now()
            if held.closed or now >= until:
                self._put_back(node, outlet)
                return Close.NOT_BEGUN, None
            fresh, kept, flow = outlet.fresh, False, held.request.flow
            try:
                answer = outlet.exchange(self._encode(held.request, node, until - now), until, progress,
                                         held.request.method == b"HEAD", flow, held.request.length is None)
                kept = answer.flow is not None
                if kept:
                    self.streaming[id(answer)] = outlet
                return Close.ANSWERED, answer
            except TimedOut:
                return Close.TIME_OVER, None
            except (OSError, Closed, BadMessage):
                if progress.written == 0 and not fresh:
                    continue  # an idle connection that had died; nothing of the request left this process
                return Close.BROKE, None
            finally:
                if not kept:
                    self._put_back(node, outlet)

    def _encode(self, request: Request, node: Node, left: float) -> bytes:
        headers = [pair for pair in end_to_end(request.headers) if pair[0] not in OURS]
        headers += [(b"host", node.address), (b"via", self.via), (b"request-timeout", b"%.3f" % left)]
        if request.flow:
            return encode_request_start(request.method, request.target, headers, request.body, request.length)
        return encode_request(request.method, request.target, headers, request.body)

    def _outlet(self, node: Node, until: float) -> Outlet | None:
        """An idle connection or a new one; None where the bound is reached. Raises OSError, TimedOut."""
        while node.idle:
            outlet = node.idle.pop()
            if not outlet.stale():
                return outlet
            self._end(node, outlet)
        if node.open >= self.orders.server_connections:
            return None
        node.open += 1
        self.connects += 1
        try:
            within = min(self.orders.connect_wait, until - self.loop.now())
            return Outlet(self.loop, Stream.connect(self.loop, node.to, within), self.bounds)
        except BaseException:
            node.open -= 1
            raise

    def _put_back(self, node: Node, outlet: Outlet) -> None:
        if outlet.usable:
            node.idle.append(outlet)
        else:
            self._end(node, outlet)

    def _end(self, node: Node, outlet: Outlet) -> None:
        node.open -= 1
        outlet.close()

    def sweep(self) -> None:
        """Close what has been idle too long, for ever."""
        while True:
            self.loop.sleep(SWEEP)
            before = self.loop.now() - self.orders.charter.idle_for
            for node in self.nodes.values():
                while node.idle and (node.idle[0].used_at < before or node.idle[0].stale()):
                    self._end(node, node.idle.popleft())

    def let_go(self, server: ServerHandle) -> None:
        """Close the idle connections to a server, so that it can take those of other umpires."""
        node = self.node(server.address)
        while node.idle:
            self._end(node, node.idle.popleft())

    def probe(self, server: ServerHandle) -> None:
        """Ask a server for its load; with MOST_PROBES out, a further one is answered as unsent."""
        self.loop.spawn(self._probe, server, self.node(server.address).to, name="probe")

    def _probe(self, server: ServerHandle, to: Address) -> None:
        start, progress, answer = self.loop.now(), Progress(), None
        close, until = Close.NOT_BEGUN, start + PROBE_WITHIN
        if self.probes < MOST_PROBES:
            self.probes += 1
            try:
                close = Close.NO_CONNECTION
                outlet = Outlet(self.loop, Stream.connect(self.loop, to, PROBE_WITHIN), self.bounds)
                close = Close.BROKE
                try:
                    head = [(b"host", server.address), (b"via", self.via)]
                    answer = outlet.exchange(encode_request(b"GET", PROBE_TARGET, head), until, progress)
                    close = Close.ANSWERED
                finally:
                    outlet.close()
            except TimedOut:
                close = Close.TIME_OVER if progress.written else close
            except (OSError, Closed, BadMessage):
                pass
            finally:
                self.probes -= 1
        report = read_report(answer.headers, self.orders.charter.report_columns) if answer else ()
        ended = outcome(close, progress.written, answer.status if answer else 0)
        self.host.tell(server.probed, self.loop.now() - start, ended, report)
