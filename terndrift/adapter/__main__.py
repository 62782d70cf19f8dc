"""`python -m terndrift.adapter`: batches on standard input, replies on standard output."""

import sys

from terndrift.adapter import codec
from terndrift.adapter.host import Host


def serve(source, sink):
    """Answers batches until the input ends; returns what is wrong with it, if anything."""
    host, at = Host(), 0

    def lines():
        """The lines of the batch in hand, up to its end."""
        nonlocal at
        for line in source:
            at += 1
            line = line.rstrip("\r\n")
            if line == "go":
                return
            if line:
                yield line
        raise codec.Malformed("the input ends within a batch")

    for line in source:
        at += 1
        line = line.rstrip("\r\n")
        try:
            if not line:
                continue
            name, f = codec.fields(line)
            if name != "sync":
                raise codec.Malformed(f"'sync' expected, not '{name}'")
            reply = host.batch(codec.whole(f, "now_ns"), lines())
        except codec.Malformed as wrong:
            return f"terndrift: line {at}: {wrong}"
        sink.write("\n".join([*reply, "end", ""]))
        sink.flush()
    return None


def main():
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    wrong = serve(sys.stdin, sys.stdout)
    if wrong:
        print(wrong, file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
