package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/result"
)

// maxReply bounds what a client reads of an answer.
const maxReply = 64 << 20

// clientTimeout bounds one call of an operator.
const clientTimeout = 15 * time.Second

// Client calls the operators' interface of one node.
type Client struct {
	address netip.AddrPort
	http    *http.Client
}

// NewClient returns a client for the node at the address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// Write is one document to apply.
type Write struct {
	Name string
	INI  []byte
	// ChangeID identifies the write across resends.
	ChangeID string
	// Match is the If-Match header: a revision, "*", or "" for a new document.
	Match string
}

// Apply writes a document and returns its revision.
func (c *Client) Apply(ctx context.Context, w Write) (Stored, error) {
	var s Stored
	header := http.Header{headerChange: {w.ChangeID}}
	if w.Match != "" {
		header.Set("If-Match", w.Match)
	}
	err := c.call(ctx, http.MethodPut, "/operator/documents/"+w.Name, header, w.INI, &s)
	return s, err
}

// Get reads a document.
func (c *Client) Get(ctx context.Context, name string) (Stored, error) {
	var s Stored
	err := c.call(ctx, http.MethodGet, "/operator/documents/"+name, nil, nil, &s)
	return s, err
}

// List reads all documents.
func (c *Client) List(ctx context.Context) ([]Stored, error) {
	var s []Stored
	err := c.call(ctx, http.MethodGet, "/operator/documents", nil, nil, &s)
	return s, err
}

// Nodes lists the nodes that are alive.
func (c *Client) Nodes(ctx context.Context) ([]member.NodeInfo, error) {
	var n []member.NodeInfo
	err := c.call(ctx, http.MethodGet, "/operator/nodes", nil, nil, &n)
	return n, err
}

// Status reads the node's view of its services.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/operator/status", nil, nil, &s)
	return s, err
}

// InForce reads the revision of a document by which the node serves.
func (c *Client) InForce(ctx context.Context, name string) (uint64, error) {
	var s InForce
	err := c.call(ctx, http.MethodGet, "/operator/inforce/"+name, nil, nil, &s)
	return s.Revision, err
}

// Drain asks the node to drain and stop.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/operator/drain", nil, nil, nil)
}

// Dump reads the node's state.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var d json.RawMessage
	err := c.call(ctx, http.MethodGet, "/debug/dump", nil, nil, &d)
	return d, err
}

// WaitInForce waits until every live node serves by the revision and returns
// the names of those that did not within the time of ctx.
func (c *Client) WaitInForce(ctx context.Context, name string, revision uint64) ([]string, error) {
	const pollInterval = 50 * time.Millisecond
	nodes, err := c.Nodes(ctx)
	if err != nil {
		return nil, err
	}
	behind := nodes
	for {
		behind = stillBehind(ctx, behind, name, revision)
		if len(behind) == 0 {
			return nil, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			names := make([]string, 0, len(behind))
			for _, n := range behind {
				names = append(names, n.Name)
			}
			return names, nil
		}
	}
}

func stillBehind(ctx context.Context, nodes []member.NodeInfo, name string, revision uint64) []member.NodeInfo {
	var behind []member.NodeInfo
	for _, n := range nodes {
		held, err := NewClient(n.Address).InForce(ctx, name)
		if err != nil || held < revision {
			behind = append(behind, n)
		}
	}
	return behind
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	if header != nil {
		r.Header = header
	}
	response, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "call node")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		p := &result.Error{}
		if json.Unmarshal(data, p) != nil || p.Code == 0 {
			return errors.Errorf("node %s answered %d", c.address, response.StatusCode)
		}
		return p
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode answer")
}

// MatchRevision is the Match of a write over the given revision.
func MatchRevision(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }
