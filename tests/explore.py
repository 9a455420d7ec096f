"""Runs many seeds of the chaos run; prints the seed and failures of each violation."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent / "simulated"))

from chaos import run_seed  # noqa: E402


def main() -> int:
    """Run seeds FIRST to LAST (default 1000 to 1050); return the number that failed."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    last = int(sys.argv[2]) if len(sys.argv) > 2 else 1050
    failed = 0
    for seed in range(first, last):
        started = time.monotonic()
        violations, injected = run_seed(seed)
        verdict = "ok" if not violations else "FAILED"
        print(f"seed {seed}: {verdict} ({time.monotonic() - started:.1f} s)", flush=True)
        if violations:
            failed += 1
            print("  injected:", "; ".join(injected))
            for violation in violations[:10]:
                print("  violation:", violation)
    print(f"{last - first - failed} passed, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(min(main(), 1))
