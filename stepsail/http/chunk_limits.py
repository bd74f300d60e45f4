"""Limits the framing of chunked bodies, whose cost grows with the number of chunks and not with their size."""

from __future__ import annotations

# Largest number of bytes received per byte of content in a chunked body, beyond FREE_CHUNK_OVERHEAD. This
# limits attacks with tiny chunks.
MAX_CHUNK_OVERHEAD = 4
# Number of bytes that a chunked body may take on the wire in addition to MAX_CHUNK_OVERHEAD times its size.
FREE_CHUNK_OVERHEAD = 65536
# Smallest mean size of the chunks of a request in bytes, beyond FREE_CHUNKS. Each chunk costs about the same
# time however small it is, and clients are not trusted to spend it; servers may stream in small chunks.
MIN_MEAN_CHUNK = 32
FREE_CHUNKS = 256


def is_mostly_framing(is_request: bool, body_bytes: int, wire_bytes: int, chunks: int) -> bool:
    """Return whether a chunked body has too much framing.

    Args:
        is_request: Whether it is the body of a request.
        body_bytes: Number of bytes of content.
        wire_bytes: Number of bytes received, including the framing.
        chunks: Number of chunks.
    """
    if wire_bytes > MAX_CHUNK_OVERHEAD * body_bytes + FREE_CHUNK_OVERHEAD:
        return True
    return is_request and chunks > body_bytes // MIN_MEAN_CHUNK + FREE_CHUNKS
