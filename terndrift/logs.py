"""Structured logging with structlog: JSON lines or console text, on standard error by default."""

import logging
import sys

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def configure_logging(level="info", log_format="console", stream=None):
    """Configure logging for the process and return its logger; to be called once.

    `level`: a key of `LEVELS`, else KeyError is raised; `log_format`: "json" or "console"; `stream`: a text
    file, standard error by default.
    """
    as_json = log_format == "json"
    renderer = structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    # Libraries log at ERROR and above: closed connections and malformed messages are routine, bugs are not.
    logging.basicConfig(level=logging.ERROR, stream=stream or sys.stderr)
    return structlog.get_logger()


def event_logger(log):
    """Return a `watch` callable for `core.Core` that logs its events to `log`.

    Answers are logged at info, exceptions of the decision logic and answers given without it at error, and
    every other event at debug.
    """

    def watch(event, playback, **facts):
        if event == "fault":
            error = facts.pop("error")
            log.error("fault of the decisions", pb=playback.id if playback else None, exc_info=error)
        elif event == "last word":
            log.error("answered without a decision", pb=playback.id)
        elif event == "answer":
            log.info(
                "answer",
                pb=playback.id,
                plan=playback.request.plan,
                title=playback.request.title,
                tries=playback.attempts,
                streamer=playback.streamer.id if playback.streamer else None,
                rung=playback.rung,
                **facts,
            )
        else:
            log.debug(event, pb=playback.id, stage=playback.stage.value, **facts)

    return watch
