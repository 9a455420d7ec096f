"""HTTP/1.1 over curio sockets, by h11 on both sides."""
