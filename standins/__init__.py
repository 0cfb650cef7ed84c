"""Stand-ins for what surrounds a fleet, and the programs that drive them."""
