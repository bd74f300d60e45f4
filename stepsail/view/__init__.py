"""Shows a capture in the terminal: its entries, servers and canary, stepping forward and backward."""
