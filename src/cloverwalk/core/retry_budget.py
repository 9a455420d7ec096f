"""A retry budget, which limits retries to a fraction of first tries.

Without it, retries would multiply the load while the fleet is already overloaded.
"""


class RetryBudget:
    """Each first try adds ``ratio`` retries to the budget, up to ``reserve``.

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
        """Add the share of one first try to the budget."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether it was available."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
