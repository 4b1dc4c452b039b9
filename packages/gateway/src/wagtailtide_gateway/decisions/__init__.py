"""Pure decisions over frozen data; time is passed in, no I/O."""
