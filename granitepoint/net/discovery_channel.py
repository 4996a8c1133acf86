"""One connection to discovery, and the classification of failed calls on it."""

from __future__ import annotations

import asyncio
import math
import time
from typing import Any, cast

import httptools

from granitepoint.membership.evidence import Failure, classify
from granitepoint.net.answer_lines import AnswerLine
from granitepoint.net.config import Address

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8 << 20  # of an answer: the bytes received, and its decoded body


class Channel(asyncio.Protocol):
    """A persistent connection to discovery, which carries one call at a time."""

    def __init__(self, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        self.max_answer_bytes = max_answer_bytes  # limit of the bytes received, and of the decoded body
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None  # of the call in progress: code and body
        self.parser: Any = None
        self.answer_line = AnswerLine()
        self.answered_at = -math.inf  # monotonic, of the last answer on this connection
        self.previous_answer_at = -math.inf  # the same, of the answer before the current call
        self.body = bytearray()
        self.bytes_received = 0  # of the current answer, on the wire
        self.request_sent = False  # by the current call; a failure after that is not a LOCAL_ERROR

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        self.answered_at = -math.inf

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the call in progress, if there is one."""
        self.transport = self.parser = None
        self._fail(ConnectionError("discovery closed the connection"))

    def data_received(self, data: bytes) -> None:
        """Parses data; after malformed or unexpected data the call fails and the connection is closed."""
        self.bytes_received += len(data)
        try:
            if self.answer is None or self.answer.done() or self.bytes_received > self.max_answer_bytes:
                raise ValueError("unexpected data, or an answer above the size limit")
            self.answer_line.on_data(data)
            self.parser.feed_data(data)
        except Exception as error:  # after any error the rest of the stream can't be parsed
            self._fail(ValueError(f"malformed answer: {error}"))
            self.close()

    # parser callbacks
    def on_headers_complete(self) -> None:
        """Raises ValueError if the answer is not one of HTTP/1.1 or HTTP/1.0."""
        self.answer_line.check_version(self.parser)

    def on_body(self, chunk: bytes) -> None:
        """Adds a part of the body. Raises ValueError above the size limit."""
        self.body += chunk
        if len(self.body) > self.max_answer_bytes:
            raise ValueError("the answer is too large")

    def on_message_complete(self) -> None:
        """Ends the call with its complete answer."""
        self.answered_at = time.monotonic()
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((self.parser.get_status_code(), bytes(self.body)))
        if not self.parser.should_keep_alive():
            self.close()

    def _fail(self, error: Exception) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(error)

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    async def get(self, address: Address, request_target: str, timeout: float) -> tuple[int, bytes]:
        """Sends a GET request and returns the status code and the body of the answer.

        Connects first if necessary. `timeout` is in seconds. Raises TimeoutError, another OSError such as
        ConnectionError, or ValueError if the answer is malformed; the connection is closed then.
        """
        loop = asyncio.get_running_loop()
        self.request_sent = False
        try:
            async with asyncio.timeout(timeout):
                if self.transport is None:
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        await loop.create_connection(lambda: self, *address)
                assert self.transport is not None
                self.previous_answer_at = self.answered_at
                self.parser = httptools.HttpResponseParser(self)
                self.answer_line = AnswerLine()
                self.body.clear()
                self.bytes_received = 0
                self.answer = loop.create_future()
                self.transport.write(
                    f"GET {request_target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n".encode()
                )
                self.request_sent = True
                return await self.answer
        except BaseException:
            self.close()
            raise
        finally:
            self.answer = None


def classify_failure(error: Exception, request_sent: bool, waited: float, continued: bool) -> Failure:
    """Returns how a call to discovery failed.

    `request_sent`: the request had been written. `waited`: seconds from the start of the call to its failure.
    `continued` is passed to `classify`.
    """
    if isinstance(error, ConnectionRefusedError):
        return Failure.REFUSED
    if isinstance(error, TimeoutError):
        return Failure.SILENT
    if not request_sent and not isinstance(error, ConnectionError):
        return Failure.LOCAL_ERROR  # a local, usually temporary problem: no socket, no port, no route
    if isinstance(error, OSError) and not isinstance(error, ConnectionError):
        return Failure.SILENT  # the connection broke because the other side did not respond
    return classify(waited, continued)
