"""Errors that decoding foreign bytes may raise."""

import msgspec

# To be caught wherever bytes are decoded that another program may have written. Data that is nested
# deeply raises RecursionError.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
