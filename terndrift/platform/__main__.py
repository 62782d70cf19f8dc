"""`python -m terndrift.platform`: one controller, as the platform starts it."""

import os
import signal

# Signals wait until the program can act on them: by the system's own way SIGHUP would end it while it loads,
# and a new configuration that came between reading the old one and the handler would be missed.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))

from terndrift.platform.service import main  # noqa: E402

main(os.environ)
