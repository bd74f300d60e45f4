"""The clients' end: takes transactions, and gives each its one final answer inside the client's time."""

from __future__ import annotations

import hashlib
import math
import os
import re

import msgspec

from stepsail.charter import Orders
from stepsail.http import BadMessage, Bounds, Inlet, Request, Response, encode_response
from stepsail.http.message import chunk, encode_response_start
from stepsail.loop import Closed, Listener, Loop, Stream, TimedOut
from stepsail.umpire.account import Account
from stepsail.umpire.host import Held, Host, Log
from stepsail.umpire.messages import CONTESTED

OWN = b"/.stepsail/"  # paths that are this daemon's own and never a product's
TIME_LEFT, LABEL, REPEAT = b"request-timeout", b"idempotency-key", b"idempotency-repeat"
JSON = (b"content-type", b"application/json")
DENIED = b'{"answer":"denied","again":"trying again is harmless","stay_away":%.3f}\n'
ERRORED = b'{"answer":"errored","again":"nothing is promised: it may have run"}\n'


def _said(status: int, text: str) -> Response:
    return Response(status, [JSON], msgspec.json.encode({"error": text}) + b"\n")


class Door:
    """Bounds: `door_connections` clients, `most_open` transactions; beyond those a transaction is denied at
    once, before the module hears of it, and nothing has run."""

    def __init__(self, loop: Loop, orders: Orders, host: Host, log: Log, account: Account) -> None:
        self.loop, self.orders, self.host, self.log, self.account = loop, orders, host, log, account
        self.bounds = Bounds(orders.most_head, orders.most_body, orders.hold, orders.door_idle,
                             orders.slow_sender)
        self.listener: Listener | None = None
        self.leaving, self.ready, self.number = False, False, 0
        self.tenants = {name.encode(): at for at, name in enumerate(orders.tenants)}
        self.tenant_header = orders.tenant_header.lower().encode()
        self.subject_header = orders.subject_header.lower().encode()
        self.idle: dict[Stream, None] = {}
        self.secret = orders.subject_secret[:64] or os.urandom(16)  # blake2b takes a key of 64 bytes at most
        routes = sorted(orders.routes, key=lambda r: -len(r.path))
        self.routes = [(r.method.encode(), r.path.encode(), r.product) for r in routes]

    def open(self) -> None:
        """Begin to accept; raises OSError where the address cannot be had."""
        self.listener = Listener(self.loop, self.orders.listen, self.orders.door_connections)
        self.loop.spawn(self.listener.serve, self.client, "client", name="door", essential=True)

    def leave(self) -> None:
        """Accept nothing new; connections without a transaction end now, the others after their answer."""
        self.leaving = True
        if self.listener:
            self.listener.close()
        for stream in tuple(self.idle):
            stream.close()

    def client(self, stream: Stream) -> None:
        inlet = Inlet(self.loop, stream, self.bounds)
        while not self.leaving:
            self.idle[stream] = None
            try:
                request = inlet.next()
            except BadMessage as trouble:
                if not stream.port.closed:
                    stream.write(self._encode(_said(trouble.status, str(trouble)), None, False), 1.0)
                    stream.half_close()
                    self._drain(stream)
                return
            finally:
                self.idle.pop(stream, None)
            if request is None:
                return
            if not self._serve(inlet, stream, request):
                return

    def _drain(self, stream: Stream) -> None:
        """Read on for a moment: a close over unread bytes resets the client before it reads our answer."""
        try:
            with self.loop.timeout(0.5):
                while stream.read():
                    pass
        except OSError:
            pass

    def _serve(self, inlet: Inlet, stream: Stream, request: Request) -> bool:
        """Answer one request; whether the connection goes on."""
        if request.target.startswith(OWN):
            answer = self._own(request)
        else:
            product = self._product(request)
            if product is None:
                answer = _said(404, "no product has this method and path")
            else:
                return self._transaction(inlet, stream, request, product)
        return self._refuse(stream, request, answer)

    def _refuse(self, stream: Stream, request: Request, answer: Response) -> bool:
        """Answer what is no transaction; a body that is still coming is not waited for."""
        keep = request.keep_alive and not self.leaving and request.flow is None
        stream.write(self._encode(answer, request, keep), self.bounds.slow)
        if request.flow is not None:
            stream.half_close()
            self._drain(stream)
        return keep

    def _encode(self, answer: Response, request: Request | None, keep: bool) -> bytes:
        head_only = request is not None and request.method == b"HEAD"
        return encode_response(answer.status, answer.headers, answer.body, keep, head_only)

    def _product(self, request: Request) -> int | None:
        for method, path, product in self.routes:
            if request.method == method and request.target.startswith(path):
                rest = request.target[len(path):len(path) + 1]
                if rest in (b"", b"/", b"?") or path.endswith(b"/"):
                    return product
        return None

    def _own(self, request: Request) -> Response:
        if request.target == OWN + b"ready" and request.method == b"GET":
            ready = self.ready and not self.leaving
            return Response(200, [], b"ready\n") if ready else _said(503, "not ready")
        if request.target == OWN + b"contested" and request.method == b"POST":
            return self._contested(request)
        return _said(404, "nothing here")

    def _contested(self, request: Request) -> Response:
        """A client says that an answer was wrong; told of by server, product and age in seconds."""
        try:
            said = msgspec.json.decode(request.body)
        except msgspec.DecodeError as trouble:
            return _said(400, str(trouble))
        fault = next(CONTESTED.iter_errors(said), None)
        if fault:
            return _said(400, f"{fault.json_path}: {fault.message[:200]}")
        server = self.host.servers.get(said["server"].encode())
        if server is None or said["product"] not in self.orders.names:
            return _said(404, "no such server or product")
        self.host.tell(server.contested, self.orders.names.index(said["product"]), said["age"])
        return Response(202, [])

    def _transaction(self, inlet: Inlet, stream: Stream, request: Request, product: int) -> bool:
        charter, now = self.orders.charter, self.loop.now()
        left = charter.products[product].abandon
        told = request.header(TIME_LEFT)
        if told is not None:
            if not re.fullmatch(rb"\d{1,9}(\.\d{1,9})?", told):
                said = "request-timeout is the seconds that the client still waits, such as 2.5"
                return self._refuse(stream, request, _said(400, said))
            left = min(left, float(told))
        # Guards against this process's own pauses: a request that lay unread while it stood still is as old
        # as its bytes. Also holds against a full backlog. It never makes a client's time longer.
        client_until = now + left - stream.waited()
        if client_until <= now:
            stream.abort()  # nobody waits any more, and nothing was begun
            return False
        slack = self.orders.answer_slack + self.orders.trail_commit
        held = Held(self.number, request, client_until - slack, client_until)
        self.number += 1
        full = len(self.host.held) >= self.orders.most_open or not self.account.takes_new()
        if full or held.until <= now:
            held.stay_away = charter.longest_stay_away
            held.close("denied")
        else:
            subject = request.header(self.subject_header)
            key = 0 if subject is None else self._hashed(subject)
            tenant = self.tenants.get(request.header(self.tenant_header) or b"", 0)
            self.account.taken += 1
            self.host.take(held, product, tenant, key, request.header(REPEAT) is not None)
            if not self._await(inlet, held):
                return False
        return self._answer(stream, request, held, product)

    def _hashed(self, subject: bytes) -> int:
        """What the module knows a subject by: equal for equal ones, and telling nothing without the secret."""
        found = hashlib.blake2b(subject, digest_size=8, key=self.secret).digest()
        return int.from_bytes(found, "big") or 1

    def _await(self, inlet: Inlet, held: Held) -> bool:
        """Wait for the final answer; False when the client is gone."""
        # Time is left to keep and to write it.
        loop, forced_at = self.loop, held.until + self.orders.answer_slack / 2
        while not held.closed:
            held.waiter = waiter = loop.waiter()
            try:
                # The relay reads a large body; whether the client is there shows in that.
                armed = held.request.flow is None and inlet.arm(waiter)
                try:
                    loop.park(waiter, "a final answer", max(0.0, forced_at - loop.now()))
                finally:
                    if armed:
                        inlet.stream.disarm(waiter)
                if not held.closed:
                    inlet.look()  # a client that closes its side still reads; one that resets is gone
            except TimedOut:
                # The module owed an answer by `until`. Guards against a fault in it, and against a pause of
                # this process that ate the time: whatever may have run, nothing is promised.
                if held.close("errored"):
                    self.log.error("answer_forced", transaction=held.number)
            except OSError:
                self.host.client_left(held)
                self.host.counts["left"] += 1
                return False
        return True

    def _answer(self, stream: Stream, request: Request, held: Held, product: int) -> bool:
        now = self.loop.now()
        self.host.counts[held.verdict] += 1
        if now >= held.client_until:
            stream.abort()  # its time is up: nothing is sent after it
            late = round(now - held.client_until, 3)
            self.log.warning("answer_too_late", transaction=held.number, late=late)
            return False
        answer = held.answer
        if answer is None and held.verdict == "denied":
            wait = b"%d" % math.ceil(held.stay_away) if held.stay_away > 0 else b"0"
            answer = Response(503, [JSON, (b"retry-after", wait)], DENIED % held.stay_away)
        elif answer is None:
            answer = Response(504 if now >= held.until - 0.1 else 502, [JSON], ERRORED)
        if not self.account.answering(held, product, answer, held.client_until):
            stream.abort()  # no client may hold an answer that the trail lacks
            self.log.warning("answer_not_kept", transaction=held.number)
            self.host.forget_if_over(held)
            return False
        now = self.loop.now()
        if now >= held.client_until:
            stream.abort()
            return False
        whole = False
        keep = request.keep_alive and not self.leaving and (request.flow is None or request.flow.done)
        try:
            if answer.flow:
                keep &= answer.length is not None or request.chunks_known
                self._stream(stream, request, held, answer, keep)
            else:
                stream.write(self._encode(answer, request, keep), held.client_until - now)
            whole = True
        except TimedOut:
            stream.abort()
            self.log.warning("client_read_too_slowly", transaction=held.number)
            return False
        except Closed:
            stream.abort()  # the server's answer broke off: a reset tells the client that it is not whole
            return False
        finally:
            self.account.answered(held, whole)
            self.host.forget_if_over(held)
        if not keep and request.flow is not None:
            stream.half_close()
            self._drain(stream)
        return keep

    def _stream(self, stream: Stream, request: Request, held: Held, answer: Response, keep: bool) -> None:
        """Pass a large answer on as it comes."""
        def left() -> float:
            return max(0.0, held.client_until - self.loop.now())
        assert answer.flow
        chunked = answer.length is None and request.chunks_known
        stream.write(encode_response_start(answer.status, answer.headers, answer.body, answer.length, keep, chunked),
                     left())
        while part := answer.flow.more(left()):
            stream.write(chunk(part) if chunked else part, left())
        if chunked:
            stream.write(chunk(b""), left())
