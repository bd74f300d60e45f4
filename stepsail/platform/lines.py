"""Calls to discovery and the platform: one answer, or one that stays open with a JSON object a line."""

from __future__ import annotations

from typing import Any

import msgspec

from stepsail.charter.shape import Address
from stepsail.http import BadMessage, Bounds, Outlet, Progress, Response, encode_request
from stepsail.loop import Closed, Loop, Stream, TimedOut

CONNECT = 1.0  # s for a connection to come up
MOST_LINE = 4 << 20  # bytes; a list of thousands of servers fits
ENDLESS = Bounds(body=1 << 60, hold=0, until_close=False)
WHOLE = Bounds(body=MOST_LINE, until_close=False)


class CallFailed(Exception):
    """No usable answer. `sent`: whether the whole of the call had left this process."""

    def __init__(self, why: str, sent: bool = True) -> None:
        super().__init__(why)
        self.sent = sent


def call(loop: Loop, to: Address, method: bytes, target: bytes, said: Any, within: float) -> Response:
    """One call on a connection of its own, which tells most surely whether it was carried out."""
    until, progress = loop.now() + within, Progress()
    outlet = None
    try:
        outlet = _connected(loop, to, until, WHOLE)
        return outlet.exchange(_encoded(to, method, target, said), until, progress)
    except (OSError, TimedOut, Closed, BadMessage) as trouble:
        raise CallFailed(_why(trouble), 0 < progress.whole <= progress.written) from None
    finally:
        if outlet:
            outlet.close()


def _encoded(to: Address, method: bytes, target: bytes, said: Any) -> bytes:
    head = [(b"host", b"%s:%d" % (to[0].encode(), to[1]))]
    if said is None:
        return encode_request(method, target, head)
    return encode_request(method, target, [*head, (b"content-type", b"application/json")], msgspec.json.encode(said))


def _connected(loop: Loop, to: Address, until: float, bounds: Bounds) -> Outlet:
    return Outlet(loop, Stream.connect(loop, to, max(0.0, min(CONNECT, until - loop.now()))), bounds)


def _why(trouble: Exception) -> str:
    return str(trouble) or type(trouble).__name__


class Lines:
    """An answer that stays open. Nothing more is sent on its connection; whatever cannot be read ends it."""

    def __init__(self, loop: Loop, to: Address, target: bytes, within: float) -> None:
        """Wait for its head and first bytes. Raises CallFailed."""
        self.loop, self.text, until = loop, b"", loop.now() + within
        self.outlet: Outlet | None = None
        try:
            self.outlet = _connected(loop, to, until, ENDLESS)
            answer = self.outlet.exchange(_encoded(to, b"GET", target, None), until, Progress())
            if answer.status != 200 or answer.flow is None:
                raise CallFailed(f"status {answer.status}, or an answer that does not stay open")
            self.flow, self.text = answer.flow, answer.body
        except (OSError, TimedOut, Closed, BadMessage) as trouble:
            self.close()
            raise CallFailed(_why(trouble)) from None
        except BaseException:
            self.close()
            raise

    def next(self, within: float) -> Any:
        """The next object; None for a line that only shows that the other end lives. Raises CallFailed."""
        until = self.loop.now() + within
        try:
            while b"\n" not in self.text:
                if len(self.text) > MOST_LINE:
                    raise CallFailed(f"a line of over {MOST_LINE} bytes")
                part = self.flow.more(max(0.0, until - self.loop.now()))
                if not part:
                    raise CallFailed("it has ended")
                self.text += part
            line, _, self.text = self.text.partition(b"\n")
            return msgspec.json.decode(line) if line.strip() else None
        except (OSError, TimedOut, Closed, BadMessage, msgspec.DecodeError) as trouble:
            raise CallFailed(_why(trouble)) from None

    def close(self) -> None:
        if self.outlet:
            self.outlet.close()
