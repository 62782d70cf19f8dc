"""Rehearsals: whole days on loopback, processes of their own, judged from what passed on the sockets."""
