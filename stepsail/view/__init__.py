"""A terminal view of a capture: time line, servers, trial, decisions; step forward and back."""
