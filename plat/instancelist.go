package plat

// InstanceList is the response to GET /instances.
type InstanceList struct {
	// Revision increases with each change of the list.
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}
