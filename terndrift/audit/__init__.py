"""Judges a run by what passed on the sockets of stand-ins: the six rules, and figures."""
