"""Checks that reject, before the parser runs, heads that proxies are known to interpret differently.

This prevents request smuggling (RFC 9112 sections 2.2, 5.1, 5.2, 6.3), in which one hop reads a head as one
request and the next hop reads it as two. Old clients that fold header lines, or end lines with a bare LF, are
rejected too, which RFC 9112 allows.
"""

from __future__ import annotations

import re

from stepsail.http.message import Headers, InvalidMessage

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
REQUEST_LINE = re.compile(rb"[A-Z]{1,20} [!-~]+ HTTP/1\.[01]\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-9][0-9]{2}(?: [\t -~\x80-\xff]*)?\r\n")
HEADER_LINES = re.compile(rb"(?:" + TOKEN + rb":[\t -~\x80-\xff]*\r\n)*\r\n")
MAX_HEADERS = 100  # header lines in a head


def check_head(head: bytes, is_request: bool) -> None:
    """Check that a head, which ends in an empty line, strictly follows the syntax.

    Raises:
        InvalidMessage: The head does not follow the syntax, or has too many header lines.
    """
    start_line = (REQUEST_LINE if is_request else STATUS_LINE).match(head)
    if not start_line:
        raise InvalidMessage(400, "the first line is no HTTP/1.1 line")
    if not HEADER_LINES.fullmatch(head, start_line.end()):
        raise InvalidMessage(400, _describe_fault(head[start_line.end() :]))
    if head.count(b"\r\n") > MAX_HEADERS + 2:
        raise InvalidMessage(431, f"over {MAX_HEADERS} header lines")


def _describe_fault(lines: bytes) -> str:
    if b"\0" in lines:
        return "a NUL in a header"
    if re.search(rb"(?<!\r)\n", lines):
        return "a line that ends in a bare LF"
    if re.search(rb"\r(?!\n)", lines):
        return "a bare CR"
    if re.search(rb"^[ \t]", lines, re.MULTILINE):
        return "a folded header line"
    if re.search(rb"^" + TOKEN + rb"[ \t]+:", lines, re.MULTILINE):
        return "a space before the colon"
    return "a malformed header line"


def body_length(headers: Headers, is_request: bool, version: str) -> int | None:
    """Return the length of the body in bytes.

    Returns:
        The length; None if the body is chunked, -1 if it ends when the connection closes (responses only).

    Raises:
        InvalidMessage: The headers that determine the length are invalid or contradict one another.
    """
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if codings:
        if lengths:
            raise InvalidMessage(400, "both a length and a transfer coding")
        if version != "1.1":
            raise InvalidMessage(400, "a transfer coding in HTTP/1.0")
        if len(codings) > 1 or codings[0].strip().lower() != b"chunked":
            raise InvalidMessage(400, "a transfer coding other than chunked")
        return None
    if len(lengths) > 1:
        raise InvalidMessage(400, "two lengths")
    if lengths:
        text = lengths[0].strip(b" \t")
        if not re.fullmatch(rb"[0-9]{1,15}", text):
            raise InvalidMessage(400, "a length that is no number")
        return int(text)
    return 0 if is_request else -1
