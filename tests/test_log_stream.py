"""A log whose reader falls behind holds nobody up."""

import os

from terndrift.log_stream import MAX_LINE_BYTES, LogStream


def drained(reader):
    os.set_blocking(reader, False)
    data = bytearray()
    while True:
        try:
            piece = os.read(reader, 65536)
        except BlockingIOError:
            return data.decode()
        if not piece:
            return data.decode()
        data += piece


def test_a_full_pipe_drops_lines_and_says_how_many():
    reader, writer = os.pipe()
    stream, line = LogStream(writer), "x" * 1000 + "\n"
    for _ in range(1000):  # a pipe takes 64 KiB: a file that waits would stand here for good
        assert stream.write(line) == len(line)
    dropped = stream.dropped
    assert 0 < dropped < 1000
    kept = drained(reader).splitlines()
    assert len(kept) == 1000 - dropped and set(kept) == {line.strip()}
    stream.write("after\n")
    assert drained(reader).splitlines() == [f'{{"event": "log lines dropped", "count": {dropped}}}', "after"]
    stream.write("later\n")
    assert drained(reader) == "later\n"
    os.close(reader)
    os.close(writer)


def test_a_log_that_nobody_reads_any_more_is_no_fault():
    reader, writer = os.pipe()
    os.close(reader)
    stream = LogStream(writer)
    stream.write("lost\n")
    assert stream.dropped == 1
    os.close(writer)


def test_a_line_too_long_for_one_write_keeps_its_beginning_and_end():
    reader, writer = os.pipe()
    LogStream(writer).write("first" + "y" * 10 * MAX_LINE_BYTES + "last\n")
    text = drained(reader)
    assert text.startswith("firsty") and text.endswith("ylast\n") and len(text) <= MAX_LINE_BYTES
    os.close(reader)
    os.close(writer)
