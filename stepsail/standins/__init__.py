"""Stand-ins for all that an umpire meets: boxes, release control, roster, clients, and faulty links between them.

They run as tasks of one loop, so that everything they write down is on one clock.
"""
