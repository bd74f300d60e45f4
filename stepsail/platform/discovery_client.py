"""Makes the calls to endpoint discovery at its current address."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import msgspec

from stepsail.loop import Loop
from stepsail.platform import wire_names
from stepsail.platform.streaming_response import StreamingResponse, call
from stepsail.proxy.json_client import CallError
from stepsail.settings.model import Address

POLL_TIMEOUT = 2.0  # longest duration in seconds of a poll of the endpoint list


class DiscoveryClient:
    """Makes the calls to discovery; `address` may be changed between two calls."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop = loop
        self.address = address

    def watch(self, index: int, timeout: float) -> StreamingResponse:
        """Open a stream of the changes after an endpoint list's index; index 0 requests a snapshot first.

        Raises:
            CallError: Discovery did not respond with a stream in time.
        """
        return StreamingResponse(self.loop, self.address, wire_names.WATCH_PATH % index, timeout)

    def poll(self) -> Any:
        """Request a snapshot of the endpoint list once and return the decoded snapshot.

        Raises:
            CallError: Discovery did not respond with a JSON body in time.
        """
        response = call(self.loop, self.address, b"GET", wire_names.ENDPOINTS_PATH, None, POLL_TIMEOUT)
        if response.status != HTTPStatus.OK:
            raise CallError(f"expected status 200, found {response.status}")
        try:
            return msgspec.json.decode(response.body)
        except msgspec.DecodeError as error:
            raise CallError(str(error)) from None
