"""Runs many instances on one machine, as described in one file.

Starts and monitors the instances, restarts those that exit, and restarts all of them in turn on request.
"""
