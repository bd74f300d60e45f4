"""Qualification: runs real instances on loopback under random faults and checks the platform's rules.

The checks use only what clients, servers and endpoint discovery recorded.
"""
