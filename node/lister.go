package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// listTimeout is the timeout of one request for the instance list.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the list, which has some hundred bytes for each instance.
	maxListBytes = 4 << 20
)

// lister fetches the platform's instance list.
type lister struct {
	url    string
	client *http.Client
}

// newLister returns a lister that opens a connection for each request, so that no earlier
// list can arrive in place of the present one.
func newLister(url string) *lister {
	return &lister{url: url, client: &http.Client{
		Timeout: listTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: trunk.MaxHeaderBytes},
	}}
}

// read fetches the list and returns its members.
func (lister *lister) read(ctx context.Context) ([]fleet.Member, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, lister.url, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := lister.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if err := trunk.CheckHead(response); err != nil {
		return nil, merry.Prepend(err, "instance list")
	}
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("instance list: status %s", response.Status)
	}
	// The whole body is read, as one that breaks off behind the document is no list either.
	document, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, merry.Prepend(err, "instance list")
	}
	var list plat.InstanceList
	if err := json.Unmarshal(document, &list); err != nil {
		return nil, merry.Prepend(err, "instance list")
	}
	if list.Instances == nil {
		return nil, merry.New("instance list: the field \"instances\" is missing")
	}
	members := make([]fleet.Member, 0, len(list.Instances))
	for _, instance := range list.Instances {
		members = append(members, decodeInstance(instance))
	}
	return members, nil
}

func decodeInstance(instance plat.Instance) fleet.Member {
	state := fleet.StateLive
	if instance.Leaving {
		state = fleet.StateLeaving
	}
	return fleet.NewMember(fleet.MemberConfig{
		Instance: names.Instance(instance.Name),
		Role:     fleet.Role(instance.Role),
		State:    state,
		Address:  instance.Address,
		Domain:   names.FailureDomain(instance.FailureDomain),
		Region:   names.Region(instance.Region),
		Server:   names.BackendServer(instance.BackendServer),
		Service:  names.Service(instance.Service),
	})
}
