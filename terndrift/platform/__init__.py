"""The operators' platform: their protocol as one more way in and out of the same core and decisions.

`message` and `link` are free of I/O; `settings` reads what a controller is told at its start, `feed` the
control feed, `front` faces viewers, `carrier` streamers; `service` starts and stops all of it.
"""
