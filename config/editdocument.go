package config

import (
	"fmt"

	"github.com/basilkeel/basilkeel/names"
)

// Names of the edit operations in JSON.
const (
	operationPutAccount       = "putAccount"
	operationRemoveAccount    = "removeAccount"
	operationPutKey           = "putKey"
	operationRemoveKey        = "removeKey"
	operationWithdrawKey      = "withdrawKey"
	operationPutModel         = "putModel"
	operationRemoveModel      = "removeModel"
	operationPutAdapter       = "putAdapter"
	operationRemoveAdapter    = "removeAdapter"
	operationPutRoutes        = "putRoutes"
	operationPutObjective     = "putObjective"
	operationPutSigningKey    = "putSigningKey"
	operationRemoveSigningKey = "removeSigningKey"
)

// editDocument is the JSON form of an [Edit].
type editDocument struct {
	Operation  string              `json:"operation"`
	Name       string              `json:"name,omitempty"`
	OfModel    string              `json:"ofModel,omitempty"`
	Account    *accountDocument    `json:"account,omitempty"`
	Key        *keyDocument        `json:"key,omitempty"`
	Model      *modelDocument      `json:"model,omitempty"`
	Adapter    *adapterDocument    `json:"adapter,omitempty"`
	Routes     []routeDocument     `json:"routes,omitempty"`
	Objective  *objectiveDocument  `json:"objective,omitempty"`
	SigningKey *signingKeyDocument `json:"signingKey,omitempty"`
}

func encodeEdit(edit Edit) editDocument {
	switch edit := edit.(type) {
	case PutAccount:
		return editDocument{Operation: operationPutAccount, Account: pointer(encodeAccount(edit.Account))}
	case RemoveAccount:
		return editDocument{Operation: operationRemoveAccount, Name: string(edit.Name)}
	case PutKey:
		return editDocument{Operation: operationPutKey, Key: pointer(encodeKey(edit.Key))}
	case RemoveKey:
		return editDocument{Operation: operationRemoveKey, Name: string(edit.Name)}
	case WithdrawKey:
		return editDocument{Operation: operationWithdrawKey, Name: string(edit.Name)}
	case PutModel:
		return editDocument{Operation: operationPutModel, Model: pointer(encodeModel(edit.Model))}
	case RemoveModel:
		return editDocument{Operation: operationRemoveModel, Name: string(edit.Name)}
	case PutAdapter:
		return editDocument{Operation: operationPutAdapter, OfModel: string(edit.Model), Adapter: pointer(encodeAdapter(edit.Adapter))}
	case RemoveAdapter:
		return editDocument{Operation: operationRemoveAdapter, OfModel: string(edit.Model), Name: string(edit.Name)}
	case PutRoutes:
		return editDocument{Operation: operationPutRoutes, Name: string(edit.Service), Routes: convert(edit.Routes, encodeRoute)}
	case PutObjective:
		return editDocument{Operation: operationPutObjective, Objective: pointer(encodeObjective(edit.Kind, edit.Objective))}
	case PutSigningKey:
		return editDocument{Operation: operationPutSigningKey, SigningKey: pointer(encodeSigningKey(edit.SigningKey))}
	case RemoveSigningKey:
		return editDocument{Operation: operationRemoveSigningKey, Name: edit.ID}
	}
	return editDocument{}
}

func pointer[T any](value T) *T { return &value }

// decode returns the edit, or a fault whose path begins with path.
func (document editDocument) decode(path string) (Edit, *Fault) {
	if edit := document.decodeRemoval(); edit != nil {
		return edit, nil
	}
	edit, missing := document.decodePut()
	if edit != nil {
		return edit, nil
	}
	if missing != "" {
		return nil, &Fault{Path: path + "/" + missing, Problem: "is missing"}
	}
	return nil, &Fault{Path: path + "/operation", Problem: fmt.Sprintf("is unknown: %q", document.Operation)}
}

func (document editDocument) decodeRemoval() Edit {
	switch document.Operation {
	case operationRemoveAccount:
		return RemoveAccount{Name: names.ClientAccount(document.Name)}
	case operationRemoveKey:
		return RemoveKey{Name: names.Key(document.Name)}
	case operationWithdrawKey:
		return WithdrawKey{Name: names.Key(document.Name)}
	case operationRemoveModel:
		return RemoveModel{Name: names.Model(document.Name)}
	case operationRemoveAdapter:
		return RemoveAdapter{Model: names.Model(document.OfModel), Name: names.Adapter(document.Name)}
	case operationRemoveSigningKey:
		return RemoveSigningKey{ID: document.Name}
	default:
		return nil
	}
}

// decodePut returns the edit, or the name of the required field that the
// document lacks. Both are empty for an operation that is not a put.
func (document editDocument) decodePut() (edit Edit, missing string) {
	switch document.Operation {
	case operationPutAccount:
		if document.Account == nil {
			return nil, "account"
		}
		return PutAccount{Account: document.Account.decode()}, ""
	case operationPutKey:
		if document.Key == nil {
			return nil, "key"
		}
		return PutKey{Key: document.Key.decode()}, ""
	case operationPutModel:
		if document.Model == nil {
			return nil, "model"
		}
		return PutModel{Model: document.Model.decode()}, ""
	case operationPutAdapter:
		if document.Adapter == nil {
			return nil, "adapter"
		}
		return PutAdapter{Model: names.Model(document.OfModel), Adapter: document.Adapter.decode()}, ""
	case operationPutRoutes:
		return PutRoutes{Service: names.Service(document.Name), Routes: convert(document.Routes, routeDocument.decode)}, ""
	case operationPutObjective:
		if document.Objective == nil {
			return nil, "objective"
		}
		kind, objective := document.Objective.decode()
		return PutObjective{Kind: kind, Objective: objective}, ""
	case operationPutSigningKey:
		if document.SigningKey == nil {
			return nil, "signingKey"
		}
		return PutSigningKey{SigningKey: document.SigningKey.decode()}, ""
	default:
		return nil, ""
	}
}
