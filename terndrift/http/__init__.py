"""HTTP/1.1 on Tornado's connection classes: a small server and client, the front and its transport."""
