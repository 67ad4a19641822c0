"""A dispatcher for services made of many sub-second tasks."""

__version__ = "0.1.0"
