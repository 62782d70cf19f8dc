"""A log reader that falls behind must not block the process that writes the log."""

import os

from terndrift.log_stream import MAX_LINE_BYTES, LogStream


def read_available(reader):
    """Return all text that is in the pipe, without waiting for more."""
    os.set_blocking(reader, False)
    data = bytearray()
    while True:
        try:
            chunk = os.read(reader, 65536)
        except BlockingIOError:
            return data.decode()
        if not chunk:
            return data.decode()
        data += chunk


def test_full_pipe_drops_lines_and_reports_how_many():
    reader, writer = os.pipe()
    stream, line = LogStream(writer), "x" * 1000 + "\n"
    for _ in range(1000):  # more than the 64 KiB that a pipe takes: a blocking file would hang here
        assert stream.write(line) == len(line)
    dropped = stream.dropped
    assert 0 < dropped < 1000
    lines = read_available(reader).splitlines()
    assert len(lines) == 1000 - dropped and set(lines) == {line.strip()}
    stream.write("after\n")
    assert read_available(reader).splitlines() == [
        f'{{"event": "log lines dropped", "count": {dropped}}}',
        "after",
    ]
    stream.write("later\n")
    assert read_available(reader) == "later\n"
    os.close(reader)
    os.close(writer)


def test_write_after_the_reader_closed_drops_the_line_without_an_error():
    reader, writer = os.pipe()
    os.close(reader)
    stream = LogStream(writer)
    stream.write("lost\n")
    assert stream.dropped == 1
    os.close(writer)


def test_too_long_line_keeps_its_beginning_and_end():
    reader, writer = os.pipe()
    LogStream(writer).write("first" + "y" * 10 * MAX_LINE_BYTES + "last\n")
    text = read_available(reader)
    assert text.startswith("firsty") and text.endswith("ylast\n") and len(text) <= MAX_LINE_BYTES
    os.close(reader)
    os.close(writer)
