package conns_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilkeel/basilkeel/conns"
)

func TestPoolKeepsOneConnectionAnAddress(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	pool := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
	}})
	first, err := pool.Get("127.0.0.1:1")
	g.Expect(err).NotTo(HaveOccurred())
	second, err := pool.Get("127.0.0.1:2")
	g.Expect(err).NotTo(HaveOccurred())
	again, err := pool.Get("127.0.0.1:1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(first))

	pool.Retain([]string{"127.0.0.1:2"})
	g.Expect(first.GetState()).To(Equal(connectivity.Shutdown))
	g.Expect(second.GetState()).NotTo(Equal(connectivity.Shutdown))
	anew, err := pool.Get("127.0.0.1:1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(anew).NotTo(BeIdenticalTo(first))

	pool.Close()
	g.Expect(second.GetState()).To(Equal(connectivity.Shutdown))
	g.Expect(anew.GetState()).To(Equal(connectivity.Shutdown))
	_, err = pool.Get("127.0.0.1:1")
	g.Expect(err).To(HaveOccurred())
}
