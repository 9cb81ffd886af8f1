"""Seeded random choices for the generator of days."""

import random


class RandomSource:
    """A random number generator; the same key parts give the same choices."""

    def __init__(self, *key):
        self._random = random.Random(":".join(str(part) for part in key))

    def number(self, low: float, high: float) -> float:
        """Returns a number between low and high, rounded to two decimals."""
        return round(self._random.uniform(low, high), 2)

    def integer(self, low: int, high: int) -> int:
        """Returns an integer from low to high, both included."""
        return self._random.randint(low, high)

    def chance(self, probability: float) -> bool:
        """Returns true with the given probability."""
        return self._random.random() < probability

    def pick(self, choices):
        """Returns one of the choices."""
        return self._random.choice(choices)

    def sample(self, choices, count: int) -> list:
        """Returns up to `count` of the choices in random order, each position at most once."""
        return self._random.sample(list(choices), min(count, len(choices)))

    def words(self, *groups) -> str:
        """Picks one word from each group and joins the words with spaces. An empty word adds nothing."""
        chosen = [self.pick(group) for group in groups]
        return " ".join(word for word in chosen if word)
