"""HTTP/1.1 client and server on curio sockets, with h11 for the protocol."""
