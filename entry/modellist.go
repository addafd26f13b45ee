package entry

// modelList is the JSON form of the models that callers can request.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (modelList *modelList) add(id string) {
	modelList.Data = append(modelList.Data, modelEntry{ID: id, Object: "model"})
}
