package trial

import (
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/ident"
)

const (
	// keySecret is the secret with which a cluster hashes keys and tokens.
	keySecret = "a secret that hashes access keys"
	// adminTimeout bounds a call of the administration API, which waits a while for
	// a change to be in force on all live instances.
	adminTimeout = 30 * time.Second
)

// OperatorArguments returns the arguments for [Config.EntryArguments] that give
// each of names the role of an editor.
func OperatorArguments(names ...string) []string {
	hasher := ident.NewHasher([]byte(keySecret))
	arguments := make([]string, 0, 2*len(names))
	for _, name := range names {
		arguments = append(arguments, "--operator", name+":editor:"+hasher.Hash(OperatorToken(name)))
	}
	return arguments
}

// OperatorToken returns the token of an operator named in [OperatorArguments].
func OperatorToken(name string) string { return "token-of-" + name }

// Admin returns a client of the entry's administration API that authenticates as
// operator.
func (entry *Entry) Admin(operator string) *admin.Client {
	return admin.NewClient(admin.ClientConfig{
		URL: entry.OperatorURL, Token: OperatorToken(operator), HTTP: &http.Client{Timeout: adminTimeout},
	})
}
