"""SIP: a stack in layers, each of bytes or events and a time in, bytes and events out; the second front."""
