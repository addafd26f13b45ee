package names

// ClientAccount identifies the tenant on whose behalf a request runs.
type ClientAccount string
