"""Units of measure shared by all parts; imports nothing."""

MS_PER_SECOND = 1000.0
