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
	// maxIdempotencyKeyBytes bounds the value of that header.
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

// readIdempotencyKey takes the name of a call over its repeats. Anonymous
// callers have none on a route where it would bring up a recorded answer: the
// same name from two of them would show one the answer of the other.
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

// strip leaves out of what is forwarded all that may be a credential, also
// where the route is open and the key shown was not looked at.
func (plainCall *plainCall) strip(request *http.Request) error {
	forwarded := ident.Forwarded{Header: request.Header, Path: plainCall.path, Query: request.URL.RawQuery}
	for _, credential := range presentedCredentials(request.Header) {
		var err error
		forwarded, err = ident.Strip(forwarded.Header, forwarded.Path, forwarded.Query, credential)
		if err != nil {
			return err
		}
	}
	plainCall.header, plainCall.path = forwarded.Header, forwarded.Path
	if forwarded.Query != "" {
		plainCall.path += "?" + forwarded.Query
	}
	return nil
}

// fingerprint tells calls apart that use one idempotency key.
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
