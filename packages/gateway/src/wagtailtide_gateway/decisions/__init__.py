"""Pure functions over frozen data: the time is an argument, and no I/O."""
