//! Which role each engine of a service should play.
