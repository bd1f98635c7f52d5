"""Plans as data with a history: versions of their figures, each with the moment from which it is in force."""
