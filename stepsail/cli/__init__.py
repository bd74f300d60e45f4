"""The command `stepsail`."""
