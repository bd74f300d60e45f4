"""Experiments: grids of emulated days, kept as one row a run, compared in pairs; and the search for trouble."""
