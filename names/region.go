package names

// Region identifies a set of failure domains that are close to each other.
type Region string
