package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// maxReplyBytes bounds the part of an answer that a client reads.
const maxReplyBytes = 64 << 20

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

// DocumentWrite is a document to apply.
type DocumentWrite struct {
	Name string
	INI  []byte
	// ChangeID identifies the write when it is sent again.
	ChangeID string
	// IfMatch is the If-Match header: a revision, "*", or "" for a new document.
	IfMatch string
}

// Apply writes a document and returns its revision.
func (c *Client) Apply(ctx context.Context, w DocumentWrite) (StoredDocument, error) {
	var s StoredDocument
	header := http.Header{changeIDHeader: {w.ChangeID}}
	if w.IfMatch != "" {
		header.Set("If-Match", w.IfMatch)
	}
	err := c.call(ctx, http.MethodPut, "/operator/documents/"+w.Name, header, w.INI, &s)
	return s, err
}

// Get reads a document.
func (c *Client) Get(ctx context.Context, name string) (StoredDocument, error) {
	var s StoredDocument
	err := c.call(ctx, http.MethodGet, "/operator/documents/"+name, nil, nil, &s)
	return s, err
}

// List reads all documents.
func (c *Client) List(ctx context.Context) ([]StoredDocument, error) {
	var s []StoredDocument
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

// InForce reads the revision of a document that is in force on the node.
func (c *Client) InForce(ctx context.Context, name string) (uint64, error) {
	var s InForce
	err := c.call(ctx, http.MethodGet, "/operator/inforce/"+name, nil, nil, &s)
	return s.Revision, err
}

// StartRollout orders a rollout at a keeper and returns its state.
func (c *Client) StartRollout(ctx context.Context, service string, r rollout.Request) (rollout.Status, error) {
	var s rollout.Status
	body, err := json.Marshal(r)
	if err != nil {
		return s, errors.Wrap(err, "encode order")
	}
	err = c.call(ctx, http.MethodPost, rolloutPath(service), nil, body, &s)
	return s, err
}

// Rollout reads the state of a service's last rollout at a keeper.
func (c *Client) Rollout(ctx context.Context, service string) (rollout.Status, error) {
	var s rollout.Status
	err := c.call(ctx, http.MethodGet, rolloutPath(service), nil, nil, &s)
	return s, err
}

// RevertRollout ends a running rollout at a keeper and returns its state.
func (c *Client) RevertRollout(ctx context.Context, service string) (rollout.Status, error) {
	var s rollout.Status
	err := c.call(ctx, http.MethodPost, rolloutPath(service)+"/revert", nil, nil, &s)
	return s, err
}

func rolloutPath(service string) string { return "/operator/rollouts/" + url.PathEscape(service) }

// Placement asks an entry where a request would go now; the query describes the request.
func (c *Client) Placement(ctx context.Context, query url.Values) (fleet.Placement, error) {
	var p fleet.Placement
	err := c.call(ctx, http.MethodGet, "/operator/placement?"+query.Encode(), nil, nil, &p)
	return p, err
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

// WaitInForce waits until the revision is in force on every node that is alive.
// It returns the names of the nodes where it isn't when ctx ends.
func (c *Client) WaitInForce(ctx context.Context, name string, revision uint64) ([]string, error) {
	const pollInterval = 50 * time.Millisecond
	nodes, err := c.Nodes(ctx)
	if err != nil {
		return nil, err
	}
	lagging := nodes
	for {
		lagging = laggingNodes(ctx, lagging, name, revision)
		if len(lagging) == 0 {
			return nil, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			names := make([]string, 0, len(lagging))
			for _, n := range lagging {
				names = append(names, n.Name)
			}
			return names, nil
		}
	}
}

// laggingNodes returns the nodes that serve an older revision or don't answer.
func laggingNodes(ctx context.Context, nodes []member.NodeInfo, name string, revision uint64) []member.NodeInfo {
	var lagging []member.NodeInfo
	for _, n := range nodes {
		inForce, err := NewClient(n.Address).InForce(ctx, name)
		if err != nil || inForce < revision {
			lagging = append(lagging, n)
		}
	}
	return lagging
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, reply any) error {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
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
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, reply), "decode answer")
}

// MatchRevision returns the IfMatch of a write that replaces the revision.
func MatchRevision(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }
