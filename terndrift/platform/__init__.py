"""Controller process for the operators' platform: their wire protocol in front of the shared core.

The placement decisions and the core are the same as behind the other fronts; this package only adds the
platform's protocol, configuration and process control.

`message` and `message_reader` do no I/O. `settings` parses the configuration a controller is started with,
`feed` polls the control feed, `front` serves viewers and `transport` talks to streamers. `service` starts and
stops all of them.
"""
