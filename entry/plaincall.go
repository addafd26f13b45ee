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
	// idempotencyHeader names a call over its repeats.
	idempotencyHeader = "Idempotency-Key"
	// idempotencyBytes bounds the value of that header.
	idempotencyBytes = 200
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
	wait           time.Duration
}

func (server *Server) readPlain(writer http.ResponseWriter, request *http.Request, accepted *plainCall) error {
	if err := accepted.readIdempotencyKey(request.Header); err != nil {
		return err
	}
	body, err := readBody(writer, request, server.config.Limits.BodyBytes)
	if err != nil {
		return err
	}
	accepted.body = body
	accepted.wait, err = parseTimeout(request.Header)
	if err != nil {
		return err
	}
	return accepted.strip(request)
}

// readIdempotencyKey takes the name of a call over its repeats. Anonymous
// callers have none on a route where it would bring up a recorded answer: the
// same name from two of them would show one the answer of the other.
func (accepted *plainCall) readIdempotencyKey(header http.Header) error {
	accepted.idempotencyKey = header.Get(idempotencyHeader)
	if len(accepted.idempotencyKey) > idempotencyBytes {
		return badRequest(idempotencyHeader + ": too long")
	}
	if accepted.idempotencyKey != "" && accepted.route.Open() && !accepted.route.Idempotent() {
		return badRequest(idempotencyHeader + ": not taken on a route open to all, since callers there cannot be told apart")
	}
	return nil
}

// strip leaves out of what is forwarded all that may be a credential, also
// where the route is open and the key shown was not looked at.
func (accepted *plainCall) strip(request *http.Request) error {
	forwardedRequest := ident.ForwardedRequest{Header: request.Header, Path: accepted.path, Query: request.URL.RawQuery}
	for _, credential := range presented(request.Header) {
		var err error
		forwardedRequest, err = ident.StripCredentials(forwardedRequest.Header, forwardedRequest.Path, forwardedRequest.Query, credential)
		if err != nil {
			return err
		}
	}
	accepted.header, accepted.path = forwardedRequest.Header, forwardedRequest.Path
	if forwardedRequest.Query != "" {
		accepted.path += "?" + forwardedRequest.Query
	}
	return nil
}

// fingerprint tells calls apart that use one idempotency key.
func (accepted *plainCall) fingerprint() claim.Fingerprint {
	path := string(accepted.route.Service()) + accepted.path
	return claim.NewFingerprint(accepted.method, path, accepted.header.Get("Content-Type"), accepted.body)
}

func plainJob(accepted *plainCall, deadline time.Time) job {
	return job{
		request: accepted.request, account: accepted.caller.account, kind: accepted.route.Kind(),
		deadline: deadline, idempotent: accepted.route.Idempotent(),
		query: route.Query{
			Target: route.Target{Service: accepted.route.Service()},
			Kind:   accepted.route.Kind(), Idempotent: accepted.route.Idempotent(),
		},
		work: func(message *wire.ServeRequest, _ int64) {
			message.Work = &wire.ServeRequest_Plain{Plain: &wire.Plain{
				Service: string(accepted.route.Service()), Method: accepted.method, Path: accepted.path,
				Headers: codec.EncodeHeaders(accepted.header), Body: accepted.body,
			}}
		},
	}
}
