"""Random choices of one day, repeatable from the seed."""

import random


class RandomSource:
    """A random generator with the few operations that the generator of days needs."""

    def __init__(self, *key):
        self._random = random.Random(":".join(str(part) for part in key))

    def number(self, low: float, high: float) -> float:
        """A number between low and high, rounded as people write it."""
        return round(self._random.uniform(low, high), 2)

    def integer(self, low: int, high: int) -> int:
        """A whole number from low to high, both included."""
        return self._random.randint(low, high)

    def chance(self, probability: float) -> bool:
        """True with the given probability."""
        return self._random.random() < probability

    def pick(self, choices):
        """One of the choices."""
        return self._random.choice(choices)

    def sample(self, choices, count: int) -> list:
        """Several different ones of the choices, in random order."""
        return self._random.sample(list(choices), min(count, len(choices)))

    def words(self, *groups) -> str:
        """One word of each group, joined; an empty word leaves its group out."""
        chosen = [self.pick(group) for group in groups]
        return " ".join(word for word in chosen if word)
