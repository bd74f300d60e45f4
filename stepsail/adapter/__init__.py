"""The adapter between the simulator's binary protocol and the routers, which make all decisions."""
