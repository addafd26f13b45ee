package entry

import (
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/claim"
	"github.com/basilkeel/basilkeel/codec"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// idempotencyHeader is the header with the key that identifies a call and
	// its retries.
	idempotencyHeader = "Idempotency-Key"
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 200
)

// plainCall is an accepted call on a plain service.
type plainCall struct {
	request        names.Request
	caller         caller
	route          config.Route
	method         string
	path           string
	header         http.Header
	body           []byte
	idempotencyKey string
	timeout        time.Duration
}

func (server *Server) readPlain(writer http.ResponseWriter, request *http.Request, plainCall *plainCall) error {
	if err := plainCall.readIdempotencyKey(request.Header); err != nil {
		return err
	}
	body, err := readBody(writer, request, server.config.Limits.BodyBytes)
	if err != nil {
		return err
	}
	plainCall.body = body
	plainCall.timeout, err = parseTimeout(request.Header)
	if err != nil {
		return err
	}
	return plainCall.strip(request)
}

// readIdempotencyKey reads the idempotency key of a call. It refuses a key of
// an anonymous caller on a route where a repeated key returns a recorded
// response: if two such callers used the same key, one would receive the
// response of the other.
func (plainCall *plainCall) readIdempotencyKey(header http.Header) error {
	plainCall.idempotencyKey = header.Get(idempotencyHeader)
	if len(plainCall.idempotencyKey) > maxIdempotencyKeyBytes {
		return badRequest(idempotencyHeader + ": too long")
	}
	if plainCall.idempotencyKey != "" && plainCall.route.Open() && !plainCall.route.Idempotent() {
		return badRequest(idempotencyHeader + ": not taken on a route open to all, since callers there cannot be told apart")
	}
	return nil
}

// strip sets the headers and the path to forward, without anything that may be
// a credential. This includes keys on open routes, which are not checked.
func (plainCall *plainCall) strip(request *http.Request) error {
	forwardedRequest := ident.ForwardedRequest{Header: request.Header, Path: plainCall.path, Query: request.URL.RawQuery}
	for _, credential := range presentedCredentials(request.Header) {
		var err error
		forwardedRequest, err = ident.StripCredentials(forwardedRequest.Header, forwardedRequest.Path, forwardedRequest.Query, credential)
		if err != nil {
			return err
		}
	}
	plainCall.header, plainCall.path = forwardedRequest.Header, forwardedRequest.Path
	if forwardedRequest.Query != "" {
		plainCall.path += "?" + forwardedRequest.Query
	}
	return nil
}

// fingerprint distinguishes calls that use the same idempotency key.
func (plainCall *plainCall) fingerprint() claim.Fingerprint {
	path := string(plainCall.route.Service()) + plainCall.path
	return claim.NewFingerprint(plainCall.method, path, plainCall.header.Get("Content-Type"), plainCall.body)
}

func plainJob(plainCall *plainCall, deadline time.Time) job {
	return job{
		request: plainCall.request, account: plainCall.caller.account, kind: plainCall.route.Kind(),
		deadline: deadline, idempotent: plainCall.route.Idempotent(),
		query: route.Query{
			Target: route.Target{Service: plainCall.route.Service()},
			Kind:   plainCall.route.Kind(), Idempotent: plainCall.route.Idempotent(),
		},
		setWork: func(message *wire.ServeRequest, _ int64) {
			message.Work = &wire.ServeRequest_Plain{Plain: &wire.Plain{
				Service: string(plainCall.route.Service()), Method: plainCall.method, Path: plainCall.path,
				Headers: codec.EncodeHeaders(plainCall.header), Body: plainCall.body,
			}}
		},
	}
}
