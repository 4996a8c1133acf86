"""Structured logs: one event a line, a name with named values, as key=value or as JSON.

Source of the first form: logfmt, words of `key=value` with a value in JSON's quotes where it holds blanks,
quotes, `=` or control characters. Each line has `time` (UTC, to the millisecond), `level` and `event` first.
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

MAX_LINES_PER_EVENT = 20  # of one event
RATE_LIMIT_WINDOW_S = 10.0  # s for which no more are written
INVALID_KEY_CHARACTERS = re.compile(r"[^\w.-]+", re.ASCII)  # in a key, which may hold a class's name
UNQUOTED_VALUE = re.compile(r"[!#-<>-~]+")  # a value that needs no quotes
MAX_VALUE_CHARACTERS = 400  # characters of a value that came from elsewhere


class Format(Enum):
    """How a line is written."""

    TEXT = "text"
    JSON = "json"


class EventLogger:
    """Where a part of the program tells what happened.

    An event is a constant name in snake case. Its values are numbers, strings or None, their units
    at the end of their names (`_s`, `_bytes`); None is left out, and a request's id stands under `id`.
    """

    __slots__ = ("logger",)

    def __init__(self, name: str) -> None:
        self.logger = logging.getLogger(name)

    @property
    def debug_enabled(self) -> bool:
        """Whether each request's own lines are wanted: ask before you make their values."""
        return self.logger.isEnabledFor(logging.DEBUG)

    def debug(self, event: str, **values: object) -> None:
        if self.logger.isEnabledFor(logging.DEBUG):
            self.logger.debug(event, extra={"values": values})

    def info(self, event: str, **values: object) -> None:
        if self.logger.isEnabledFor(logging.INFO):
            self.logger.info(event, extra={"values": values})

    def warning(self, event: str, **values: object) -> None:
        self.logger.warning(event, extra={"values": values})

    def error(self, event: str, **values: object) -> None:
        self.logger.error(event, extra={"values": values})

    def exception(self, event: str, **values: object) -> None:
        """An error with the traceback of the exception that is handled now."""
        self.logger.exception(event, extra={"values": values})


class LineFormatter(logging.Formatter):
    """A record as one line; what `Events` did not write has its text as the event."""

    def __init__(self, line_format: Format) -> None:
        super().__init__()
        self.line_format = line_format
        self.second, self.stamp = -1, ""  # the last whole second, and how it is written

    def format(self, record: logging.LogRecord) -> str:
        whole = int(record.created)
        if whole != self.second:
            self.second, self.stamp = whole, time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole))
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
        # To a microsecond, where it is a time; JSON has no endless numbers.
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
    """A flood of bad input must not become a flood of lines. Those for debugging are asked for: all pass."""

    def __init__(self) -> None:
        super().__init__()
        self.window_end = 0.0
        self.line_counts: Counter[object] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno <= logging.DEBUG:
            return True
        now = time.monotonic()
        if now >= self.window_end:
            self.window_end = now + RATE_LIMIT_WINDOW_S
            self.line_counts.clear()
        self.line_counts[record.msg] += 1  # the event, not its values
        return self.line_counts[record.msg] <= MAX_LINES_PER_EVENT


def read_log_options(environ: Mapping[str, str]) -> tuple[Format, int]:
    """The form and the level that EDGE_LOG_FORMAT and EDGE_LOG_LEVEL ask for. Raises ValueError."""
    line_format, level = environ.get("EDGE_LOG_FORMAT") or "text", environ.get("EDGE_LOG_LEVEL") or "info"
    if line_format not in [each.value for each in Format]:
        raise ValueError(f"EDGE_LOG_FORMAT is text or json, not {line_format!r}")
    if level not in ("debug", "info", "warning", "error"):
        raise ValueError(f"EDGE_LOG_LEVEL is debug, info, warning or error, not {level!r}")
    return Format(line_format), int(getattr(logging, level.upper()))


def configure(stream: TextIO, line_format: Format = Format.TEXT, level: int = logging.INFO) -> None:
    """From here on all that the process logs goes to that stream, a line each."""
    handler: logging.StreamHandler[Any] = logging.StreamHandler(stream)
    handler.setFormatter(LineFormatter(line_format))
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # Nothing of this is written: who called, and which thread, process and task it was.
    logging._srcfile = None  # as the library's own page on speed says
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
