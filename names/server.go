package names

// BackendServer identifies the model engine or plain service beside one agent.
type BackendServer string
