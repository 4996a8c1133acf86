"""Checks that an answer begins with a status line of HTTP/1.1 or HTTP/1.0.

The parser also takes status lines of other versions and protocols. A server may answer a request of HTTP/1.1
with HTTP/1.0, so that is allowed.
"""

from __future__ import annotations

from typing import Any

PROTOCOL_NAME = b"HTTP/"
VERSIONS = frozenset(("1.0", "1.1"))


class AnswerLine:
    """The first bytes of one answer, as far as they have arrived."""

    __slots__ = ("_start",)

    def __init__(self) -> None:
        self._start = b""

    def on_data(self, data: bytes) -> None:
        """Data arrived, before it is parsed. Raises ValueError if it begins with another protocol's name."""
        if len(self._start) < len(PROTOCOL_NAME):
            self._start = (self._start + data).lstrip(b"\r\n")[: len(PROTOCOL_NAME)]
            if not PROTOCOL_NAME.startswith(self._start):
                raise ValueError("not an answer of HTTP")

    @staticmethod
    def check_version(parser: Any) -> None:
        """The parser has read the headers of an answer. Raises ValueError for any other version of HTTP."""
        if parser.get_http_version() not in VERSIONS:
            raise ValueError("not an answer of HTTP/1.1")
