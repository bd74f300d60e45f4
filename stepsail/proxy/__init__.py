"""The serving process: reports socket events to the router and carries out the router's commands."""
