"""Qualification: real instances on loopback under drawn faults, judged from what their far ends recorded."""
