"""A distributed dispatcher for jobs that consist of many sub-second tasks."""

__version__ = "0.1.0"
