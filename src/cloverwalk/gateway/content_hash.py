"""Names a request by what it asks for, so that a repetition under another id is known again."""

import hashlib

from cloverwalk.gateway.messages import ClientRequest

CONTENT_BYTES = 10
"""Length of a name: two of 4,096 are alike by chance once in 10^17 processes. The hash is a
cryptographic one: a caller could else make a request that is taken for another one."""


def hash_request(request: ClientRequest) -> str:
    """Return the name of a request's content: caller, host, method, target and body.

    Neither the body nor a key can be found out by it.
    """
    return hash_content(
        request.tenant, request.host, request.method, request.target, body=request.body
    )


def hash_content(*parts: str, body: bytes) -> str:
    """Return the name of the content that consists of some texts and a body.

    >>> hash_content("t", "h", body=b"") == hash_content("th", "", body=b"")
    False
    >>> len(hash_content("t", "h", body=b"12"))
    20
    """
    digest = hashlib.blake2b(digest_size=CONTENT_BYTES)
    for part in parts:
        raw = part.encode()
        digest.update(b"%d:" % len(raw))
        digest.update(raw)
    digest.update(body)
    return digest.hexdigest()
