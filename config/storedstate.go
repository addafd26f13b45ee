package config

// storedState is one version of the repository's root, layout and history. It
// does not include the objects of the configuration. It is immutable.
type storedState struct {
	root    *Root
	layout  *Layout
	history history
}

func emptyStoredState() storedState { return storedState{root: &Root{}, layout: newLayout(0, nil)} }

// refs returns references to all objects of the state, including the objects of
// the configuration.
func (storedState storedState) refs() []Ref {
	refs := append(storedState.layout.Refs(), storedState.history.pages...)
	return append(refs, storedState.root.layout, storedState.root.history)
}

// objectKeys returns the store keys of all objects to which the state refers.
func (storedState storedState) objectKeys() map[string]bool {
	keys := map[string]bool{}
	for _, ref := range storedState.refs() {
		keys[ref.Key()] = true
	}
	return keys
}
