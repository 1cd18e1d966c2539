"""A serving layer for language model prompts of widely differing lengths on borrowed instances."""

__all__ = ["__version__"]

__version__ = "0.1.0"
