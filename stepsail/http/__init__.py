"""HTTP/1.1 client and server connections, built on the httptools parser.

Messages that proxies are known to interpret differently are rejected. The size of messages and the time to
receive them are limited.
"""

from stepsail.http.buffer_budget import BufferAccount, BufferBudget
from stepsail.http.client_connection import ClientConnection, Progress
from stepsail.http.message import (
    BodyStream,
    ConnectionLimits,
    InvalidMessage,
    Request,
    Response,
    TruncatedMessage,
    encode_request,
    encode_response,
)
from stepsail.http.server_connection import ClientState, ServerConnection

__all__ = [
    "BodyStream",
    "BufferAccount",
    "BufferBudget",
    "ClientConnection",
    "ClientState",
    "ConnectionLimits",
    "InvalidMessage",
    "Progress",
    "Request",
    "Response",
    "ServerConnection",
    "TruncatedMessage",
    "encode_request",
    "encode_response",
]
