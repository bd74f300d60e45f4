"""Runs an instance on a hosting platform, using the protocols that the platform defines.

The protocols are those for clients, servers, endpoint discovery and release control. All decisions are made
by the router in `stepsail.decisions`, as in every other mode.
"""
