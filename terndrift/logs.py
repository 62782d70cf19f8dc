"""Structured logs on structlog: JSON lines or a console form, on standard error."""

import logging
import sys

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def setup(level="info", form="console", stream=None):
    """Called once a process; returns its logger."""
    lines = form == "json"
    shape = structlog.processors.JSONRenderer() if lines else structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            shape,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    # the libraries' own words: closed connections and malformed messages are daily bread, bugs are not
    logging.basicConfig(level=logging.ERROR, stream=stream or sys.stderr)
    return structlog.get_logger()


def watcher(log):
    """What the core tells of its playbacks, as log lines: answers at info, every other change at debug."""

    def watch(event, carried, **facts):
        if event == "fault":
            error = facts.pop("error")
            log.error("fault of the decisions", pb=carried.id if carried else None, exc_info=error)
        elif event == "last word":
            log.error("answered without a decision", pb=carried.id)
        elif event == "answer":
            log.info(
                "answer",
                pb=carried.id,
                plan=carried.wanted.plan,
                title=carried.wanted.title,
                tries=carried.tries,
                streamer=carried.streamer.id if carried.streamer else None,
                rung=carried.rung,
                **facts,
            )
        else:
            log.debug(event, pb=carried.id, stage=carried.stage.value, **facts)

    return watch
