//! Rate and burst of an organisation, divided over entries and conserved.
