package coord_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/coord"
)

func TestOnlyTheSameInstanceAtTheSameAddressIsAPredecessor(t *testing.T) {
	self := coord.Identity{Instance: "edge-1", Address: "10.0.0.1:7600", Process: "b"}
	cases := []struct {
		name  string
		other coord.Identity
		want  bool
	}{
		{name: "a former process", other: coord.Identity{Instance: "edge-1", Address: "10.0.0.1:7600", Process: "a"}, want: true},
		{name: "this process", other: self},
		{name: "another instance", other: coord.Identity{Instance: "edge-2", Address: "10.0.0.1:7600", Process: "a"}},
		{name: "another address, where a process may still run", other: coord.Identity{Instance: "edge-1", Address: "10.0.0.2:7600", Process: "a"}},
		{name: "nobody", other: coord.Identity{}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(self.Replaces(each.other)).To(Equal(each.want))
		})
	}
}
