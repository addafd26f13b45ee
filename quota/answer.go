package quota

import "github.com/basilkeel/basilkeel/names"

// Answer is the response of an instance to an [Exchange].
type Answer struct {
	// Held reports whether the instance may lend from the seat. If it is false
	// there are no grants, and Holder and Address name the seat's holder, if known.
	Held    bool
	Holder  names.Instance
	Address string
	Grants  []Grant
}
