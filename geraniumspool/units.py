"""Conversion factors between units; imports no other module, so any module may import it."""

MS_PER_SECOND = 1000.0
