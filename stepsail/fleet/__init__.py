"""Starts, watches and rolls many umpires on one machine, from one file."""
