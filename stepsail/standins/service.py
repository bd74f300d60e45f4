"""What release control and roster have in common: JSON over HTTP, long polls, lateness and stalls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import msgspec

from stepsail.http import BadMessage, Bounds, Inlet, Request, encode_response
from stepsail.loop import Event, Listener, Loop, Stream
from stepsail.loop.driver import Address

Handle = Callable[[str, dict[str, str], Any, Stream], Any]
JSON = (b"content-type", b"application/json")


class Service:
    """Answers requests by `handle(path, query, body, stream)`. Stalled: silent, in error, or well."""

    def __init__(self, loop: Loop, name: str, handle: Handle, at: Address = ("127.0.0.1", 0)) -> None:
        self.loop, self.handle, self.stalled = loop, handle, ""
        self.listener = Listener(loop, at, 10000)
        self.address = self.listener.address
        self.changed = Event(loop)
        loop.spawn(self.listener.serve, self._serve, name, name=name)

    def change(self) -> None:
        """Wake the long polls."""
        self.changed.set()
        self.changed = Event(self.loop)

    def _serve(self, stream: Stream) -> None:
        inlet = Inlet(self.loop, stream, Bounds(idle=300.0))
        while True:
            try:
                request = inlet.next()
            except BadMessage:
                return
            if request is None:
                return
            while self.stalled == "silence":
                self.loop.sleep(0.05)
            if self.stalled == "errors":
                stream.write(encode_response(500, []), 5.0)
                continue
            answer = self._said(request, stream)
            if answer is not None:
                stream.write(encode_response(200, [JSON], msgspec.json.encode(answer)), 5.0)

    def _said(self, request: Request, stream: Stream) -> Any:
        url = urlsplit(request.target.decode("latin-1"))
        body = msgspec.json.decode(request.body) if request.body else None
        return self.handle(url.path, dict(parse_qsl(url.query)), body, stream)
