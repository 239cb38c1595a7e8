"""Tokenizers for model prompts and responses."""

import abc

import xxhash


class Tokenizer(abc.ABC):
    """Converts text to a model's tokens and back."""

    @abc.abstractmethod
    def encode(self, text: str) -> list[int]:
        """Returns the tokens of a text."""

    @abc.abstractmethod
    def decode(self, tokens: list[int]) -> str:
        """Returns the text of a list of tokens."""


class WordTokenizer(Tokenizer):
    """Maps each word to a token by its hash; made for stand-in models.

    Args:
        vocabulary: Number of distinct tokens.
    """

    def __init__(self, vocabulary: int) -> None:
        self.vocabulary = vocabulary

    def encode(self, text: str) -> list[int]:
        """Returns one token for each word."""
        return [
            xxhash.xxh32_intdigest(word.encode()) % self.vocabulary
            for word in text.split()
        ]

    def decode(self, tokens: list[int]) -> str:
        """Returns a word for each token, each followed by a space."""
        return "".join(f"w{token} " for token in tokens)


def make_tokenizer(vocabulary: int) -> Tokenizer:
    """Returns a tokenizer for a model's vocabulary."""
    return WordTokenizer(vocabulary)
