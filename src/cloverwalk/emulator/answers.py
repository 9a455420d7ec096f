"""Generates the answer text of an emulated engine from its prompt, so that callers can check it."""

import xxhash

_VOCABULARY = [
    f" {first}{second}{third}"
    for first in ("ka", "lo", "mi", "nu", "pe", "ra", "so", "ti")
    for second in ("b", "d", "l", "m", "n", "r", "s", "t")
    for third in ("a", "e", "i", "o")
]
_GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15
_MASK_64 = (1 << 64) - 1


def prompt_seed(prompt: str) -> int:
    """Return the seed from which the answer to a prompt is generated."""
    return int(xxhash.xxh64_intdigest(prompt.encode()))


def answer_tokens(seed: int, first: int, count: int) -> str:
    """Return ``count`` tokens starting at position ``first``; each is a space and a word.

    >>> seed = prompt_seed("hello")
    >>> answer_tokens(seed, 0, 4) == answer_tokens(seed, 0, 2) + answer_tokens(seed, 2, 2)
    True
    """
    words = []
    for position in range(first + 1, first + count + 1):
        mixed = ((seed + position * _GOLDEN_RATIO_64) & _MASK_64) * 0xBF58476D1CE4E5B9 & _MASK_64
        words.append(_VOCABULARY[mixed >> 56])
    return "".join(words)


def whole_answer(prompt: str, max_tokens: int) -> str:
    """Return the complete answer of an engine to a prompt."""
    return answer_tokens(prompt_seed(prompt), 0, max_tokens)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text; each word is a token."""
    return len(text.split())
