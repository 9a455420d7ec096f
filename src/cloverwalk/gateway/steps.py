"""Runs long computations in short steps, so that they don't block the event loop."""

from collections.abc import Generator
from typing import TypeVar

import curio

Result = TypeVar("Result")

Steps = Generator[None, None, Result]
"""A computation that yields after each step and returns its result."""


def run_steps(steps: Steps[Result]) -> Result:
    """Run all steps at once and return the result.

    >>> def add(numbers):
    ...     total = 0
    ...     for number in numbers:
    ...         total += number
    ...         yield
    ...     return total
    >>> run_steps(add([1, 2]))
    3
    """
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result


async def run_in_steps(steps: Steps[Result]) -> Result:
    """Run the steps, switching to other tasks after each, and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result
        await curio.sleep(0)
