package config

// Bundle is one version of the configuration in stored form: a layout and the
// objects that it refers to. It is immutable.
type Bundle struct {
	layout  *Layout
	objects map[Hash][]byte
}

// NewBundle returns a bundle of layout and objects. The caller must not change
// objects afterwards.
func NewBundle(layout *Layout, objects map[Hash][]byte) *Bundle {
	return &Bundle{layout: layout, objects: objects}
}

// Version returns the version of the configuration.
func (bundle *Bundle) Version() Version { return bundle.layout.Version() }

// Snapshot returns the configuration, or an *[ObjectError] or *[CodecError] if
// the bundle is damaged.
func (bundle *Bundle) Snapshot() (*Snapshot, error) {
	return bundle.layout.Assemble(bundle.objects)
}
