package place

// Version is the version of a plan. It rises with each plan, whichever instance
// made it.
type Version int64
