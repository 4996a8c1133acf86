"""Structured logs: one event per line with named values, as logfmt or as JSON.

A logfmt line consists of `key=value` words; a value that is empty, or has blanks, quotes, `=` or anything but
printable ASCII, is quoted as in JSON. Every line starts with `time` (UTC, in milliseconds), `level`, `event`
and `part` (the last part of the logger's name).
"""

from __future__ import annotations

import json
import logging
import math
import re
import time
from collections import Counter
from collections.abc import Mapping
from enum import Enum
from typing import Any, TextIO

MAX_LINES_PER_EVENT = 20  # in each rate-limit window
RATE_LIMIT_WINDOW_S = 10.0
# Replaced by `_` in the keys of a text line: a key may contain the name of a request class.
INVALID_KEY_CHARACTERS = re.compile(r"[^\w.-]+", re.ASCII)
UNQUOTED_VALUE = re.compile(r"[!#-<>-~]+")  # matches a value that needs no quotes
MAX_VALUE_CHARACTERS = 400  # longer text, for example from a peer, is truncated


class Format(Enum):
    """The format of a log line."""

    TEXT = "text"
    JSON = "json"


class EventLogger:
    """Logs the events of one module.

    An event is a constant name in snake case. Its values are numbers, strings or None, with the unit at the
    end of the key (`_s`, `_bytes`). None is left out; a request's id has the key `id`.
    """

    __slots__ = ("logger",)

    def __init__(self, name: str) -> None:
        self.logger = logging.getLogger(name)

    @property
    def debug_enabled(self) -> bool:
        """Whether per-request events are logged; check it before computing their values."""
        return self.logger.isEnabledFor(logging.DEBUG)

    def debug(self, event: str, **values: object) -> None:
        """Logs an event of one request."""
        if self.logger.isEnabledFor(logging.DEBUG):
            self.logger.debug(event, extra={"values": values})

    def info(self, event: str, **values: object) -> None:
        """Logs an event of normal operation."""
        if self.logger.isEnabledFor(logging.INFO):
            self.logger.info(event, extra={"values": values})

    def warning(self, event: str, **values: object) -> None:
        """Logs a problem that was handled."""
        self.logger.warning(event, extra={"values": values})

    def error(self, event: str, **values: object) -> None:
        """Logs a failure."""
        self.logger.error(event, extra={"values": values})

    def exception(self, event: str, **values: object) -> None:
        """Logs a failure with the traceback of the exception being handled."""
        self.logger.exception(event, extra={"values": values})


class LineFormatter(logging.Formatter):
    """Formats a record as one line; for a record not from EventLogger the message is the event."""

    def __init__(self, line_format: Format) -> None:
        super().__init__()
        self.line_format = line_format
        self.second, self.stamp = -1, ""  # the last Unix second formatted, and its text

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line without a newline at its end."""
        second = int(record.created)
        if second != self.second:
            self.second, self.stamp = second, time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        line: dict[str, object] = {
            "time": f"{self.stamp}.{int(record.created % 1 * 1e3):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            "part": record.name.rpartition(".")[2],
        }
        for key, value in getattr(record, "values", {}).items():
            if value is not None:
                line[key] = _normalize(value)
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        if self.line_format is Format.JSON:
            return json.dumps(line, default=str)
        return " ".join(
            f"{INVALID_KEY_CHARACTERS.sub('_', key)}={_logfmt_value(value)}" for key, value in line.items()
        )


def _normalize(value: object) -> object:
    if isinstance(value, float):
        # Times have microsecond precision; JSON has no infinity and no NaN.
        return round(value, 6) if math.isfinite(value) else str(value)
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    if isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
        return value[:MAX_VALUE_CHARACTERS]
    return value


def _logfmt_value(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    return text if UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)


class RateLimitFilter(logging.Filter):
    """Limits the lines per event, so that bad input can't flood the log. DEBUG lines are opt-in: all pass."""

    def __init__(self) -> None:
        super().__init__()
        self.window_end = 0.0  # monotonic, of the current rate-limit window
        self.line_counts: Counter[object] = Counter()  # lines per event in that window

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the record is written."""
        if record.levelno <= logging.DEBUG:
            return True
        now = time.monotonic()
        if now >= self.window_end:
            self.window_end = now + RATE_LIMIT_WINDOW_S
            self.line_counts.clear()
        self.line_counts[record.msg] += 1  # keyed by the event, without its values
        return self.line_counts[record.msg] <= MAX_LINES_PER_EVENT


def read_log_options(environ: Mapping[str, str]) -> tuple[Format, int]:
    """Returns the format and level set by EDGE_LOG_FORMAT and EDGE_LOG_LEVEL. Raises ValueError."""
    line_format, level = environ.get("EDGE_LOG_FORMAT") or "text", environ.get("EDGE_LOG_LEVEL") or "info"
    if line_format not in [option.value for option in Format]:
        raise ValueError(f"EDGE_LOG_FORMAT is text or json, not {line_format!r}")
    if level not in ("debug", "info", "warning", "error"):
        raise ValueError(f"EDGE_LOG_LEVEL is debug, info, warning or error, not {level!r}")
    return Format(line_format), int(getattr(logging, level.upper()))


def configure(stream: TextIO, line_format: Format = Format.TEXT, level: int = logging.INFO) -> None:
    """Sends all logs of the process to the stream, one line per record."""
    handler: logging.StreamHandler[Any] = logging.StreamHandler(stream)
    handler.setFormatter(LineFormatter(line_format))
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # Skips collecting the caller, thread, process and task of each record: they aren't logged.
    logging._srcfile = None  # documented in the logging HOWTO, section Optimization
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
