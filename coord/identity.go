package coord

import "encoding/json"

// Identity is what a coordinator publishes of itself.
type Identity struct {
	Instance string
	Address  string
	// Process tells a restarted process from its predecessor.
	Process string
}

type identityDocument struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Process  string `json:"process"`
}

// Encode returns the identity as text.
func (identity Identity) Encode() string {
	data, err := json.Marshal(identityDocument(identity))
	if err != nil {
		// Three strings can always be encoded.
		panic(err)
	}
	return string(data)
}

// DecodeIdentity reads what [Identity.Encode] wrote.
func DecodeIdentity(text string) (Identity, error) {
	var document identityDocument
	err := json.Unmarshal([]byte(text), &document)
	return Identity(document), err
}

// Replaces tells whether other was a former process of the same instance. It
// has ended: this one listens at its address.
func (identity Identity) Replaces(other Identity) bool {
	return other.Instance == identity.Instance && other.Address == identity.Address && other.Process != identity.Process
}
