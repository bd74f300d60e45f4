"""stepsail: a transaction router and release judge."""
