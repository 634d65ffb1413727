//! Starts real processes on loopback for tests, and cuts the connections between them.
