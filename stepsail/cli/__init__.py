"""The command line of `stepsail`."""
