package config

import (
	"fmt"
	"math"
	"strings"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// Validate returns a *[ValidationError] with every fault of snapshot, or nil.
func Validate(snapshot *Snapshot) error {
	if faults := Faults(snapshot); len(faults) > 0 {
		return &ValidationError{Faults: faults}
	}
	return nil
}

// Faults returns every fault of snapshot.
func Faults(snapshot *Snapshot) []Fault {
	validator := &validator{snapshot: snapshot}
	validator.checkAccounts()
	validator.checkKeys()
	validator.checkModels()
	validator.checkRoutes()
	validator.checkObjectives()
	validator.checkSigningKeys()
	validator.checkSizes()
	return validator.faults
}

// validator collects the faults of one snapshot.
type validator struct {
	snapshot *Snapshot
	faults   []Fault
}

func (validator *validator) fault(path, format string, arguments ...any) {
	validator.faults = append(validator.faults, Fault{Path: path, Problem: fmt.Sprintf(format, arguments...)})
}

func (validator *validator) require(ok bool, path, problem string) {
	if !ok {
		validator.fault(path, "%s", problem)
	}
}

func (validator *validator) checkCount(path string, count, limit int) {
	if count > limit {
		validator.faults = append(validator.faults, countFault(path, count, limit))
	}
}

func countFault(path string, count, limit int) Fault {
	return Fault{Path: path, Problem: fmt.Sprintf("has %d entries, more than %d", count, limit)}
}

// checkName checks that name is valid and not in seen, and adds it to seen.
func (validator *validator) checkName(seen map[string]bool, path, name string) {
	if problem := nameProblem(name); problem != "" {
		validator.fault(path, "%s", problem)
	}
	validator.require(!seen[name], path, "appears twice")
	seen[name] = true
}

// nameProblem returns what is wrong with name, or an empty string.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "has no name"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("has a name of %d bytes, more than %d", len(name), MaxNameBytes)
	case strings.ContainsFunc(name, isNotNameRune):
		return "has a name with characters other than letters, digits and ._-@:/+"
	default:
		return ""
	}
}

func isNotNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("._-@:/+", r)
	}
}

func (validator *validator) checkAccounts() {
	validator.checkCount("accounts", len(validator.snapshot.Accounts()), MaxAccounts)
	seen := map[string]bool{}
	for _, account := range validator.snapshot.Accounts() {
		path := "accounts/" + string(account.Name())
		validator.checkName(seen, path, string(account.Name()))
		rate := float64(account.Rate())
		validator.require(rate >= 0 && !math.IsInf(rate, 0), path+"/rate", "is not a finite number of at least 0")
		validator.require(account.Burst() >= 0, path+"/burst", "is negative")
		validator.require(account.Weight() > 0, path+"/weight", "is not positive")
	}
}

func (validator *validator) checkKeys() {
	validator.checkCount("keys", len(validator.snapshot.Keys()), MaxKeys)
	seen := map[string]bool{}
	hashes := map[string]names.Key{}
	for _, key := range validator.snapshot.Keys() {
		path := "keys/" + string(key.Name())
		validator.checkName(seen, path, string(key.Name()))
		_, ok := validator.snapshot.Account(key.Account())
		validator.require(ok, path+"/account", "names no client account")
		validator.require(isHash(key.Hash()), path+"/hash", "is not a keyed hash of 64 hexadecimal digits")
		if other, taken := hashes[key.Hash()]; taken {
			validator.fault(path+"/hash", "is also the hash of key %s", other)
		}
		hashes[key.Hash()] = key.Name()
	}
}

func isHash(text string) bool {
	return len(text) == hashDigits && strings.Trim(text, "0123456789abcdef") == ""
}

func (validator *validator) checkModels() {
	validator.checkCount("models", len(validator.snapshot.Models()), MaxModels)
	seen := map[string]bool{}
	for _, model := range validator.snapshot.Models() {
		path := "models/" + string(model.Name())
		validator.checkName(seen, path, string(model.Name()))
		validator.require(model.WeightBytes() > 0, path+"/weightBytes", "is not positive")
		validator.require(model.CacheBytesPerToken() > 0, path+"/cacheBytesPerToken", "is not positive")
		validator.checkAdapters(path+"/adapters", model.Adapters())
	}
}

func (validator *validator) checkAdapters(path string, adapters []Adapter) {
	validator.checkCount(path, len(adapters), MaxAdapters)
	seen := map[string]bool{}
	for _, adapter := range adapters {
		adapterPath := path + "/" + string(adapter.Name())
		validator.checkName(seen, adapterPath, string(adapter.Name()))
		validator.require(adapter.WeightBytes() > 0, adapterPath+"/weightBytes", "is not positive")
	}
}

func (validator *validator) checkRoutes() {
	validator.checkCount("routes", len(validator.snapshot.Routes()), MaxRoutes)
	seen := map[Route]bool{}
	for i, route := range validator.snapshot.Routes() {
		path := fmt.Sprintf("routes/%d", i)
		if problem := nameProblem(string(route.Service())); problem != "" {
			validator.fault(path+"/service", "%s", problem)
		}
		validator.require(strings.Trim(route.Method(), "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == "", path+"/method", "is not in capital letters")
		validator.require(strings.HasPrefix(route.PathPrefix(), "/"), path+"/pathPrefix", "does not start with /")
		validator.require(len(route.PathPrefix()) <= MaxPathBytes, path+"/pathPrefix", "is too long")
		validator.require(isKind(route.Kind()), path+"/kind", "is not a kind of request")
		validator.require(route.Tokens() >= 0, path+"/tokens", "is negative")
		match := NewRoute(RouteConfig{Service: route.Service(), Method: route.Method(), PathPrefix: route.PathPrefix()})
		validator.require(!seen[match], path, "repeats an earlier route's service, method and path")
		seen[match] = true
	}
}

func isKind(kind call.Kind) bool {
	_, err := call.ParseKind(kind.String())
	return err == nil
}

func (validator *validator) checkObjectives() {
	for kind, objective := range validator.snapshot.config.Objectives {
		path := "objectives/" + kind.String()
		validator.require(isKind(kind), path, "is not a kind of request")
		bounded := objective.FirstToken() >= 0 && objective.BetweenTokens() >= 0 && objective.Whole() >= 0
		validator.require(bounded, path, "has a negative bound")
		validator.require(objective.Share() > 0 && objective.Share() <= 1, path+"/share", "is not in (0, 1]")
	}
}

func (validator *validator) checkSigningKeys() {
	validator.checkCount("signingKeys", len(validator.snapshot.SigningKeys()), MaxSigningKeys)
	seen := map[string]bool{}
	for _, signingKey := range validator.snapshot.SigningKeys() {
		path := "signingKeys/" + signingKey.ID()
		validator.checkName(seen, path, signingKey.ID())
		validator.require(signingKey.VerifyUntil().After(signingKey.SignFrom()), path+"/verifyUntil", "is not after signFrom")
	}
}

// checkSizes checks that every shard fits into a value of the store.
func (validator *validator) checkSizes() {
	for name, shard := range shards(validator.snapshot) {
		encoded := encodeShard(shard)
		if len(encoded) > store.MaxValueBytes {
			validator.fault("sections/"+name.String(), "takes %d bytes, more than %d", len(encoded), store.MaxValueBytes)
		}
	}
}
