"""Stand-ins for an instance's environment: servers, release control, endpoint discovery, clients, faulty links.

All stand-ins run as tasks of one event loop, so every line of the transcript is dated by the same clock.
"""
