package crash_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestThirdServerQuarantinesOverAllEntries(t *testing.T) {
	g := NewWithT(t)
	request := crash.Of("crew", "POST", "/draft/1", []byte("prompt"))
	first, second, tally := crash.NewBook(), crash.NewBook(), crash.NewTally()
	first.Saw(crash.Sighting{Fingerprint: request, Server: "i-1"}, epoch)
	first.Saw(crash.Sighting{Fingerprint: request, Server: "i-2"}, epoch)
	second.Saw(crash.Sighting{Fingerprint: request, Server: "i-2"}, epoch)
	tally.Add(first.Sightings(epoch), epoch)
	tally.Add(second.Sightings(epoch), epoch)
	g.Expect(tally.Quarantined(epoch)).To(BeEmpty(), "two servers, one of them seen twice")
	second.Saw(crash.Sighting{Fingerprint: request, Server: "i-3"}, epoch)
	tally.Add(second.Sightings(epoch), epoch)
	g.Expect(tally.Quarantined(epoch)).To(Equal([]crash.Fingerprint{request}))
	first.Quarantine(tally.Quarantined(epoch))
	g.Expect(first.Quarantined(request)).To(BeTrue())
	g.Expect(first.Quarantined(crash.Of("crew", "POST", "/draft/1", []byte("other")))).To(BeFalse())
	g.Expect(tally.Quarantined(epoch.Add(time.Hour))).To(BeEmpty())
}

func TestFingerprintsTellRequestsApart(t *testing.T) {
	g := NewWithT(t)
	seen := map[crash.Fingerprint]bool{}
	for _, each := range [][4]string{
		{"a", "GET", "/x", ""}, {"a", "GET", "/x", "y"}, {"a", "GET", "/xy", ""}, {"b", "GET", "/x", ""}, {"a", "POST", "/x", ""}, {"aG", "ET", "/x", ""},
	} {
		seen[crash.Of("", each[0]+each[1], each[2], []byte(each[3]))] = true
		seen[crash.Of("account", each[1], each[2], []byte(each[3]+each[0]))] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">=", 10))
}

func TestBookIsBounded(t *testing.T) {
	g := NewWithT(t)
	book := crash.NewBook()
	for index := range 10_000 {
		book.Saw(crash.Sighting{Fingerprint: crash.Fingerprint(index), Server: "i-1"}, epoch)
	}
	g.Expect(len(book.Sightings(epoch))).To(BeNumerically("<=", 256))
}
