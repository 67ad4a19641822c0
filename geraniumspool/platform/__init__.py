"""Translation of the platform's names, formats and calls; it contains no scheduling policy."""
