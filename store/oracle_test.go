package store_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/store"
)

// oracleRow is the oracle's state of one key.
type oracleRow struct {
	value    string
	revision store.Revision
	lease    store.LeaseID
}

// oracle models the key-value service with two maps.
type oracle struct {
	rows   map[string]oracleRow
	leases map[store.LeaseID]time.Time
}

func (oracle *oracle) expire(now time.Time) {
	for lease, end := range oracle.leases {
		if !now.Before(end) {
			oracle.end(lease)
		}
	}
}

func (oracle *oracle) end(lease store.LeaseID) {
	delete(oracle.leases, lease)
	for key, row := range oracle.rows {
		if row.lease == lease {
			delete(oracle.rows, key)
		}
	}
}

// TestStoreAgainstOracle makes random calls to the service over gRPC and to the
// oracle, and compares the results.
func TestStoreAgainstOracle(t *testing.T) {
	fixture := newFixture(t)
	rapid.Check(t, func(t *rapid.T) {
		machine := newMachine(t, fixture)
		t.Repeat(map[string]func(*rapid.T){
			"":        machine.check,
			"swap":    machine.swap,
			"delete":  machine.delete,
			"grant":   machine.grant,
			"renew":   machine.renew,
			"revoke":  machine.revoke,
			"advance": machine.advance,
		})
	})
}

type machine struct {
	*fixture
	oracle oracle
	leases []store.LeaseID
}

func newMachine(t *rapid.T, fixture *fixture) *machine {
	ctx := context.Background()
	entries, err := fixture.client.List(ctx, "")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, entry := range entries {
		NewWithT(t).Expect(fixture.client.Delete(ctx, entry.Key(), entry.Revision())).To(Succeed())
	}
	return &machine{
		fixture: fixture,
		oracle:  oracle{rows: map[string]oracleRow{}, leases: map[store.LeaseID]time.Time{}},
		leases:  []store.LeaseID{{}},
	}
}

func (machine *machine) key(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
}

func (machine *machine) expected(t *rapid.T, key string) store.Revision {
	wrong := rapid.IntRange(0, 4).Draw(t, "wrong") == 0
	if wrong {
		return machine.oracle.rows[key].revision + 1
	}
	return machine.oracle.rows[key].revision
}

func (machine *machine) lease(t *rapid.T) store.LeaseID {
	return rapid.SampledFrom(machine.leases).Draw(t, "lease")
}

func (machine *machine) swap(t *rapid.T) {
	g := NewWithT(t)
	swap := store.Swap{Key: machine.key(t), Lease: machine.lease(t)}
	swap.Value = []byte(rapid.StringN(0, 3, 8).Draw(t, "value"))
	swap.Expected = machine.expected(t, swap.Key)
	revision, err := machine.client.Swap(context.Background(), swap)
	_, live := machine.oracle.leases[swap.Lease]
	var conflictError *store.ConflictError
	var leaseError *store.LeaseError
	switch {
	case swap.Expected != machine.oracle.rows[swap.Key].revision:
		g.Expect(errors.As(err, &conflictError)).To(BeTrue())
		g.Expect(conflictError.Actual).To(Equal(machine.oracle.rows[swap.Key].revision))
	case !swap.Lease.IsZero() && !live:
		g.Expect(errors.As(err, &leaseError)).To(BeTrue())
	default:
		g.Expect(err).NotTo(HaveOccurred())
		machine.oracle.rows[swap.Key] = oracleRow{value: string(swap.Value), revision: revision, lease: swap.Lease}
	}
}

func (machine *machine) delete(t *rapid.T) {
	key := machine.key(t)
	expected := machine.expected(t, key)
	err := machine.client.Delete(context.Background(), key, expected)
	if expected != machine.oracle.rows[key].revision {
		var conflictError *store.ConflictError
		NewWithT(t).Expect(errors.As(err, &conflictError)).To(BeTrue())
		return
	}
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	delete(machine.oracle.rows, key)
}

func (machine *machine) grant(t *rapid.T) {
	lease, err := machine.client.Grant(context.Background(), leaseTTL)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	machine.oracle.leases[lease] = machine.clock.Now().Add(leaseTTL)
	machine.leases = append(machine.leases, lease)
}

func (machine *machine) renew(t *rapid.T) {
	lease := machine.lease(t)
	err := machine.client.Renew(context.Background(), lease)
	if machine.live(t, lease, err) {
		machine.oracle.leases[lease] = machine.clock.Now().Add(leaseTTL)
	}
}

func (machine *machine) revoke(t *rapid.T) {
	lease := machine.lease(t)
	err := machine.client.Revoke(context.Background(), lease)
	if machine.live(t, lease, err) {
		machine.oracle.end(lease)
	}
}

// live reports whether the lease exists, and checks that err agrees.
func (machine *machine) live(t *rapid.T, lease store.LeaseID, err error) bool {
	_, live := machine.oracle.leases[lease]
	if live {
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return true
	}
	var leaseError *store.LeaseError
	NewWithT(t).Expect(errors.As(err, &leaseError)).To(BeTrue())
	return false
}

func (machine *machine) advance(t *rapid.T) {
	machine.clock.Advance(time.Duration(rapid.IntRange(1, 11).Draw(t, "seconds")) * time.Second)
	machine.oracle.expire(machine.clock.Now())
}

func (machine *machine) check(t *rapid.T) {
	g := NewWithT(t)
	entries, err := machine.client.List(context.Background(), "")
	g.Expect(err).NotTo(HaveOccurred())
	got := map[string]oracleRow{}
	for _, entry := range entries {
		got[entry.Key()] = oracleRow{value: string(entry.Value()), revision: entry.Revision()}
	}
	want := map[string]oracleRow{}
	for key, row := range machine.oracle.rows {
		want[key] = oracleRow{value: row.value, revision: row.revision}
	}
	g.Expect(got).To(Equal(want))
}
