package names

// Request identifies one request of a caller; all attempts of a request share it.
type Request string
