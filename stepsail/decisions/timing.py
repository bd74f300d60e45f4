"""Time intervals that several modules share."""

TICK_INTERVAL = 0.2  # s between checks of the attempts in flight and of the canary
TICK_INTERVAL_WHILE_WAITING = 0.05  # s between these checks while requests are waiting
CLOCK_MARGIN = 0.02  # s of safety margin on time limits, as clocks are read and timers fire slightly late
