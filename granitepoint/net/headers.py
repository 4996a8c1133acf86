"""Headers that the proxy does not pass on, and the form in which it keeps the others."""

from __future__ import annotations

HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade content-length".split()
)


def normalize_header(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """Returns the header with a lower-case name and without blanks around its value.

    httptools leaves trailing blanks in place. It does not recognize a transfer coding that is followed by a
    tab, so such a value is kept as it is.
    """
    name = name.lower()
    return name, value.strip(b" " if name == b"transfer-encoding" else b" \t")
