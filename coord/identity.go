package coord

import "encoding/json"

// Identity identifies a coordinator's process to other entries.
type Identity struct {
	Instance string
	Address  string
	// Process distinguishes a restarted process from its predecessor.
	Process string
}

type identityDocument struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Process  string `json:"process"`
}

// Encode returns the identity as JSON.
func (identity Identity) Encode() string {
	data, err := json.Marshal(identityDocument(identity))
	if err != nil {
		// Three strings can always be encoded.
		panic(err)
	}
	return string(data)
}

// DecodeIdentity decodes the result of [Identity.Encode].
func DecodeIdentity(text string) (Identity, error) {
	var document identityDocument
	err := json.Unmarshal([]byte(text), &document)
	return Identity(document), err
}

// Replaces reports whether other was a former process of the same instance. Such a
// process has certainly ended, as this one listens at its address.
func (identity Identity) Replaces(other Identity) bool {
	return other.Instance == identity.Instance && other.Address == identity.Address && other.Process != identity.Process
}
