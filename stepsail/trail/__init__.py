"""The audit trail: an append-only log of decisions and final answers, hash-chained and signed."""
