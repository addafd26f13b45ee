package store_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/store"
)

func TestRevisionsOrderErasBeforeNumbers(t *testing.T) {
	g := NewWithT(t)
	var former store.Revision
	for _, each := range []struct {
		era    store.Era
		number int64
		text   string
	}{{0, 1, "1"}, {0, 1<<40 - 1, "1099511627775"}, {1, 0, "1/0"}, {1, 104, "1/104"}, {2, 3, "2/3"}, {1<<23 - 1, 1<<40 - 1, "8388607/1099511627775"}} {
		revision, err := store.NewRevision(each.era, each.number)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(revision).To(BeNumerically(">", former))
		g.Expect(revision.Era()).To(Equal(each.era))
		g.Expect(revision.Number()).To(Equal(each.number))
		g.Expect(revision.String()).To(Equal(each.text))
		former = revision
	}
	for _, each := range []struct {
		era    store.Era
		number int64
	}{{-1, 1}, {1 << 23, 1}, {0, -1}, {0, 1 << 40}} {
		_, err := store.NewRevision(each.era, each.number)
		var revisionError *store.RevisionError
		g.Expect(errors.As(err, &revisionError)).To(BeTrue(), "%+v", each)
	}
}
