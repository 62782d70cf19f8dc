"""`python -m terndrift.platform`: one controller, as the platform starts it."""

import os

from terndrift.platform.service import main

main(os.environ)
