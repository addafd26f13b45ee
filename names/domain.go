package names

// FailureDomain identifies a set of instances that may fail together, such as a zone.
type FailureDomain string
