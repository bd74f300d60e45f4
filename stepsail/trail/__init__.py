"""The audit trail: what was decided, and the final answer of every transaction taken, in signed chains of entries."""
