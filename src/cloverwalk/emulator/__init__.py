"""Stand-ins for the engines and the platform, and a discrete-event run of a whole fleet."""
