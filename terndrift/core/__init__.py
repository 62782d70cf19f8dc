"""The session core: hosts the decisions, carries out what they say, owns each playback's one answer.

No protocol and no clock of its own: every call brings the time in whole nanoseconds.
"""
