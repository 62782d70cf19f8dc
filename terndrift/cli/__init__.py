"""The command line, on click: `terndrift --help`."""
