"""Entry point of the simulator adapter, `python -m terndrift.adapter`.

The simulator starts it and writes batches of events to its standard input; each batch is answered with the
actions of the controllers on standard output. Standard output must carry nothing else; diagnostics go to
standard error. Malformed input ends the process with status 2.
"""

import sys

from terndrift.adapter import codec
from terndrift.adapter.host import Host


def serve(source, sink):
    """Answers batches read from `source` on `sink` until the input ends.

    Returns None, or the error message for the line at which the input was malformed.
    """
    host, line_number = Host(), 0

    def lines():
        """Yields the non-empty lines of the current batch up to its `go`."""
        nonlocal line_number
        for line in source:
            line_number += 1
            line = line.rstrip("\r\n")
            if line == "go":
                return
            if line:
                yield line
        raise codec.MalformedInputError("the input ends in the middle of a batch")

    for line in source:
        line_number += 1
        line = line.rstrip("\r\n")
        try:
            if not line:
                continue
            name, fields = codec.parse_line(line)
            if name != "sync":
                raise codec.MalformedInputError(f"expected 'sync', got '{name}'")
            reply = host.process_batch(codec.read_int(fields, "now_ns"), lines())
        except codec.MalformedInputError as error:
            return f"terndrift: line {line_number}: {error}"
        sink.write("\n".join([*reply, "end", ""]))
        sink.flush()
    return None


def main():
    """Serves standard input and output; exits with status 2 on malformed input."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    error = serve(sys.stdin, sys.stdout)
    if error:
        print(error, file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
