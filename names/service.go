package names

// Service identifies a plain service behind /svc/<service>/.
type Service string
