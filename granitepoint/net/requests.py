"""Requests of callers as the driver gets them, and the checks that each one passes first."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from granitepoint.interface import Effect
from granitepoint.net.headers import HOP_BY_HOP_HEADERS
from granitepoint.net.request_lines import BadRequest

CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # in a header's value
TARGET_PATTERN = re.compile(rb"/[\x21-\x7e]*")  # a path, maybe with a query
BUDGET_PATTERN = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])")  # milliseconds or microseconds
REMOVED_HEADERS = HOP_BY_HOP_HEADERS | {b"x-budget", b"expect", b"x-load-report"}  # not sent to backends
Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(slots=True)
class Request:
    """A complete and valid request."""

    id: bytes
    cls: str  # its class, the first part of the path
    budget: float  # s, counted from when the client sent the request
    tenant: str
    session_id: str  # the sid cookie; empty if there is none
    work: float  # s of server time, the client's estimate; 0 if unknown
    resent: bool  # the client marks it as a retry
    head: bytes  # request line and headers for the backend, without x-budget and the final blank line
    body: bytes
    received_at: float  # s, monotonic


def _single_header(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    values = [value for key, value in headers if key == name]
    if len(values) > 1:
        raise BadRequest(400, f"more than one {name.decode()}")
    return values[0] if values else b""


def read_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    received_at: float,
    effects: Mapping[str, Effect],
) -> Request:
    """Validates a parsed request against its class; `received_at` is monotonic, in s.

    Raises BadRequest if a header, the target, the method or the body is invalid.
    """
    if not TARGET_PATTERN.fullmatch(target):
        raise BadRequest(400, "the target is not a path")
    if any(CONTROL_CHARACTERS.search(value) for _, value in headers):
        raise BadRequest(400, "a header holds what a backend might not read")
    if sum(name == b"host" for name, _ in headers) != 1:  # RFC 9112, section 3.2
        raise BadRequest(400, "a request of HTTP/1.1 has one Host")
    cls = target[1:].split(b"?", 1)[0].split(b"/", 1)[0].decode("latin-1")
    effect = effects.get(cls)
    if effect is None:
        raise BadRequest(404, "no such class")
    id, key = _single_header(headers, b"x-call-id"), _single_header(headers, b"idempotency-key")
    if not id:
        raise BadRequest(400, "X-Call-Id is missing")
    budget = BUDGET_PATTERN.fullmatch(_single_header(headers, b"x-budget"))
    if budget is None:
        raise BadRequest(400, "X-Budget is missing or malformed")
    if method != (b"GET" if effect is Effect.REPEATABLE else b"POST"):
        raise BadRequest(400, "wrong method for the class")
    if (effect is Effect.BY_KEY) != bool(key):
        raise BadRequest(400, "Idempotency-Key goes with a keyed class, and only with one")
    if body and method == b"GET":
        raise BadRequest(400, "a GET has no body")
    try:
        work = max(0.0, float(_single_header(headers, b"x-call-cost") or 0)) / 1e6
    except ValueError:
        raise BadRequest(400, "X-Call-Cost is malformed") from None
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers if name not in REMOVED_HEADERS]
    if method == b"POST":
        lines.append(b"content-length: %d" % len(body))
    session_id = ""
    for part in _single_header(headers, b"cookie").split(b";"):
        name, _, value = part.strip().partition(b"=")
        if name == b"sid":
            session_id = value.decode("latin-1")
    return Request(
        id=id,
        cls=cls,
        budget=float(budget[1]) / (1e3 if budget[2] == b"m" else 1e6),
        tenant=_single_header(headers, b"x-caller").decode("latin-1"),
        session_id=session_id,
        work=work if work - work == 0.0 else 0.0,
        resent=_single_header(headers, b"x-again") == b"1",
        head=b"\r\n".join(lines) + b"\r\n",
        body=body,
        received_at=received_at,
    )
