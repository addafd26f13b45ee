package names

// Instance identifies one process of the system; a restarted process gets a new identifier.
type Instance string
