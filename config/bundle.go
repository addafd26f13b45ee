package config

// Bundle is one version of the configuration as it is stored: its layout and
// all objects of it. It is immutable.
type Bundle struct {
	layout  *Layout
	objects map[Hash][]byte
}

// NewBundle returns a holding. The caller must not change objects afterwards.
func NewBundle(layout *Layout, objects map[Hash][]byte) *Bundle {
	return &Bundle{layout: layout, objects: objects}
}

// Version numbers the configuration.
func (bundle *Bundle) Version() Version { return bundle.layout.Version() }

// Snapshot returns the configuration, or a *[ObjectError] or *[CodecError]
// where the holding is damaged.
func (bundle *Bundle) Snapshot() (*Snapshot, error) {
	return bundle.layout.Assemble(bundle.objects)
}
