"""The door between the wire and the umpires: frames, instances, timers and ids; it decides nothing."""
