package config

// Patch turns one object into another with a common prefix and suffix.
type Patch struct {
	// Prefix and Suffix are the lengths of the common prefix and suffix, in bytes.
	Prefix, Suffix int
	// Middle is the content between prefix and suffix in the new object.
	Middle []byte
}

func newPatch(before, after []byte) Patch {
	shorter := min(len(before), len(after))
	prefix := 0
	for prefix < shorter && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return Patch{Prefix: prefix, Suffix: suffix, Middle: after[prefix : len(after)-suffix]}
}

// apply returns the new object, or false if before is too short for the patch
// or a length is negative.
func (patch Patch) apply(before []byte) ([]byte, bool) {
	if patch.Prefix < 0 || patch.Suffix < 0 || patch.Prefix > len(before) || patch.Suffix > len(before)-patch.Prefix {
		return nil, false
	}
	after := make([]byte, 0, patch.Prefix+len(patch.Middle)+patch.Suffix)
	after = append(after, before[:patch.Prefix]...)
	after = append(after, patch.Middle...)
	return append(after, before[len(before)-patch.Suffix:]...), true
}
