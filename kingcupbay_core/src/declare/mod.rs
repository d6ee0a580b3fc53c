//! Declarations of operators, and the changes that carry them out.
