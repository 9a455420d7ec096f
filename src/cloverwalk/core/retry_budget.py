"""A retry budget: retries are a bounded share of first tries.

Without one, a brown-out multiplies load by the number of retries just when the fleet
can bear it least.
"""


class RetryBudget:
    """Each first try earns ``ratio`` of a retry; at most ``reserve`` may be saved up.

    >>> budget = RetryBudget(ratio=0.5, reserve=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn(); budget.spend()
    True
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def earn(self) -> None:
        """Count a first try."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def spend(self) -> bool:
        """Take one retry if the budget has it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
