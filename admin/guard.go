package admin

import (
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ident"
)

// handler handles an operator's request and returns the response's status and
// JSON document.
type handler func(request *http.Request, operator Operator, body []byte) (status int, document any, err error)

// guard wraps handle: it admits only operators whose role includes role, bounds
// the request body and writes the response.
func (server *Server) guard(role Role, handle handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		operator, err := server.authenticate(request, role)
		if err != nil {
			event.OperatorRefused.Log(server.config.Logger, logrus.Fields{"path": request.URL.Path, "error": err})
			writeError(writer, err)
			return
		}
		body, err := readBody(writer, request)
		if err != nil {
			writeError(writer, err)
			return
		}
		status, document, err := handle(request, operator, body)
		if err != nil {
			writeError(writer, err)
			return
		}
		writeJSON(writer, status, document)
	})
}

// authenticate returns the operator whose token the request carries, or an
// error if there is none or the operator lacks the role.
func (server *Server) authenticate(request *http.Request, role Role) (Operator, error) {
	token, err := ident.SecretFromHeader(request.Header)
	operator, ok := server.operators[server.config.Hasher.Hash(token)]
	if err != nil || token == "" || !ok {
		return Operator{}, &APIError{Status: http.StatusUnauthorized, Code: codeUnauthorized, Message: "present an operator's token as Authorization: Bearer <token>"}
	}
	return operator, authorize(operator, role)
}

func authorize(operator Operator, role Role) error {
	if operator.Role().includes(role) {
		return nil
	}
	return &APIError{Status: http.StatusForbidden, Code: codeForbidden, Message: "this needs the role " + string(role)}
}

func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if request.Method != http.MethodPost {
		return nil, nil
	}
	media, _, err := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if err != nil || media != mediaJSON {
		return nil, &APIError{Status: http.StatusUnsupportedMediaType, Code: codeBadRequest, Message: "send " + mediaJSON}
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &APIError{Status: http.StatusRequestEntityTooLarge, Code: codeTooLarge, Message: "the body is too large"}
	}
	if err != nil {
		return nil, &APIError{Status: http.StatusBadRequest, Code: codeBadRequest, Message: "the body could not be read"}
	}
	return body, nil
}
