"""The list of streamers: where it comes from, and what of it is in force."""
