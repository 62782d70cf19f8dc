"""Small stand-ins for what lies outside: streamers with links and faults, and players."""
