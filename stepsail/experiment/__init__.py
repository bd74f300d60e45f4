"""Experiments on simulated days and load tests.

A grid of simulated days is stored as one row per run, and two routers or commits are compared by paired
differences. A day that violates a rule is shrunk to a smaller one. A load generator measures a running
instance.
"""
