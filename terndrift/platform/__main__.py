"""Entry point of `python -m terndrift.platform`: runs one controller, configured by the environment."""

import os
import signal

# Signals stay blocked until their handlers are installed. With the default action SIGHUP would kill the
# process during its imports, and a configuration that changes between reading the file and installing the
# handler would be missed.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))

from terndrift.platform.service import main  # noqa: E402

main(os.environ)
