"""The simulator's wire: `codec` reads and writes its lines, `host` runs the instances."""
