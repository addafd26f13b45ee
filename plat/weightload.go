package plat

// WeightLoad is the body of POST /loads at the weight store, which responds
// once the weights have been transferred.
type WeightLoad struct {
	Model string `json:"model"`
	// Adapter is empty for a load of the model itself.
	Adapter string `json:"adapter,omitempty"`
}
