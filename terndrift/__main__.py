"""`python -m terndrift`: the command line."""

from terndrift.cli.main import main

main()
