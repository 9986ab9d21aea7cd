//! Which entry instances dispatch for a service.
