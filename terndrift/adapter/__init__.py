"""Simulator adapter: `codec` parses the lines of the text protocol, `host` runs the controller instances."""
