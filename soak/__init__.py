"""A randomized soak of real daemons with faults from outside them."""
