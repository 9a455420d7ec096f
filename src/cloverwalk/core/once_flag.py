"""A flag that only the first caller gets, safe for use in signal handlers."""


class OnceFlag:
    """Guards signal handlers that set an event with a lock, such as curio's ``UniversalEvent``.

    A signal may interrupt the handler of an earlier signal while that holds the event's lock.
    Waiting for the lock on the same thread would deadlock.

    >>> flag = OnceFlag()
    >>> flag.take(), flag.take()
    (True, False)
    >>> flag.reset()
    >>> flag.take()
    True
    """

    def __init__(self) -> None:
        self._is_taken = False

    def take(self) -> bool:
        """Return True to the first caller since the start or a reset."""
        if self._is_taken:
            return False
        self._is_taken = True
        return True

    def reset(self) -> None:
        """Reset the flag: the next :meth:`take` returns True."""
        self._is_taken = False
