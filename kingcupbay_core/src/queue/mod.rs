//! Which request runs next, fair over organisations.
