"""Runs the code that normally runs on sockets in virtual time and on a simulated network.

`simulator` contains the clock and the processes, `network` and the port modules connect the processes, and
`driver` gives a process's loop access to both. `instances` runs the daemon on simulated processes, and `play`
runs a whole rehearsal.
"""
