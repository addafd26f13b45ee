package stand

// KVKind is a kind of call on the key-value service.
type KVKind string

// The kinds of calls.
const (
	KVGet    KVKind = "get"
	KVList   KVKind = "list"
	KVSwap   KVKind = "swap"
	KVDelete KVKind = "delete"
	KVWatch  KVKind = "watch"
	KVGrant  KVKind = "grant"
	KVRenew  KVKind = "renew"
	KVRevoke KVKind = "revoke"
)

// writes reports whether calls of the kind are writes.
func (kind KVKind) writes() bool {
	switch kind {
	case KVSwap, KVDelete, KVGrant, KVRenew, KVRevoke:
		return true
	default:
		return false
	}
}
