"""Lets the first of several calls through, also where one interrupts another."""


class OnceFlag:
    """For signal handlers that set an event with a lock, such as curio's ``UniversalEvent``.

    A signal may interrupt the handler of the one before while that holds the event's lock. Waiting
    for it there, on the same thread, would never end.

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
        """Let the next caller through."""
        self._is_taken = False
