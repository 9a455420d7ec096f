"""Runs a main task on a kernel of its own, and ends the tasks that it leaves."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import curio

Result = TypeVar("Result")


def run_until_ended(main: Callable[..., Awaitable[Result]], *args: Any, **options: Any) -> Result:
    """Run a coroutine function, then cancel all tasks that are left; return its result.

    ``curio.run`` cancels the tasks that exist when the main task returns one by one, while the
    others run on. It raises an ``AssertionError`` if one of them has started a task meanwhile, as
    a connection does that gets a request. Here all are cancelled at once, and again until none has
    started another. ``options`` are those of ``curio.Kernel``.
    """
    with curio.Kernel(**options) as kernel:
        try:
            result: Result = kernel.run(main, *args)
        finally:
            kernel.run(_cancel_all, kernel)
        return result


async def _cancel_all(kernel: Any) -> None:
    """Cancel the other tasks of a kernel until there are none."""
    this = await curio.current_task()
    while tasks := [task for task in kernel._tasks.values() if task is not this]:
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()
